"""Random actions and faults in the fake world, by weights."""

import itertools
from collections.abc import Callable

from .actors import Call, Message, Sidecar
from .world import World

# How often each action is tried; the faults together are about a tenth.
WEIGHTS = {
    "submit": 10,
    "deliver": 60,
    "run": 30,
    "begin_write": 12,
    "land": 16,
    "learn": 2,
    "lose": 3,
    "duplicate": 3,
    "ask": 4,
    "give_up": 0.6,
    "crash": 0.8,
    "time_out": 1.0,
    "restart_sidecar": 0.1,
    "restart_router": 0.1,
    "drop_kept": 0.3,
    "outage": 0.2,
    "pass_time": 0.3,
}


class Chaos:
    """Takes random actions in a world, with faults among them.

    :param weights: how often each action is tried, by the name of its method here.
    """

    def __init__(self, world: World, weights: dict[str, float], keys: int):
        self.world = world
        self.chance = world.chance
        self.keys = keys
        self.actions = [getattr(self, name) for name in weights]
        self.cumulative = list(itertools.accumulate(weights.values()))

    def step(self) -> None:
        """Take one action, if what it needs is there."""
        (action,) = self.chance.choices(self.actions, cum_weights=self.cumulative)
        action()

    def submit(self) -> None:
        """Send a new request, or repeat one of the last ones."""
        if len(self.world.calls) > 20:
            return
        guarded = self.chance.random() < 0.7
        number = self.chance.randrange(self.keys)
        key = b"%d" % number if guarded else self.world.name("u").encode()
        self.world.submit(self.chance.choice(self.world.routers), key, guarded)

    def message(self, act: Callable[[Message], None]) -> None:
        """Do something with a message that is under way."""
        if self.world.messages:
            act(self.chance.choice(self.world.messages))

    def deliver(self) -> None:
        """Deliver a message."""
        self.message(self.world.deliver)

    def lose(self) -> None:
        """Lose a message."""
        self.message(self.world.lose)

    def duplicate(self) -> None:
        """Duplicate a message."""
        self.message(self.world.duplicate)

    def live(self, act: Callable[[Sidecar, str], None]) -> None:
        """Do something with an attempt that is live."""
        sidecar = self.chance.choice(self.world.sidecars)
        if sidecar.live:
            act(sidecar, self.chance.choice(list(sidecar.live)))

    def run(self) -> None:
        """Let an attempt go on."""
        self.live(self.world.run)

    def crash(self) -> None:
        """Crash an endpoint under an attempt."""
        self.live(self.world.crash)

    def waiting_call(self, act: Callable[[Call], None]) -> None:
        """Do something with a call that waits for its sidecar."""
        calls = [call for call in self.world.calls if call.attempt is not None]
        calls = [call for call in calls if call not in call.router.waiting]
        calls = [call for call in calls if not self.writing(call)]
        if calls:
            act(self.chance.choice(calls))

    def writing(self, call: Call) -> bool:
        """Tell whether a call waits for a write."""
        flight = call.router.flight
        return flight is not None and call in flight.calls

    def ask(self) -> None:
        """Take a call's connection for dead."""
        self.waiting_call(self.world.ask)

    def give_up(self) -> None:
        """Let a router give up a call."""
        self.waiting_call(self.world.give_up)

    def begin_write(self) -> None:
        """Let a router write what waits."""
        router = self.chance.choice(self.world.routers)
        if router.waiting and router.flight is None:
            self.world.begin_write(router)

    def land(self) -> None:
        """Let a write land, and sometimes lose the reply."""
        if self.world.writes:
            self.world.land(self.chance.choice(self.world.writes), self.chance.random() < 0.2)

    def time_out(self) -> None:
        """Let a router time out on a write."""
        router = self.chance.choice(self.world.routers)
        if router.flight is not None:
            self.world.time_out(router)

    def learn(self) -> None:
        """Let a router ask a sidecar for its state."""
        router = self.chance.choice(self.world.routers)
        self.world.learn(router, self.chance.choice(self.world.sidecars))

    def restart_sidecar(self) -> None:
        """Restart a sidecar."""
        self.world.restart_sidecar(self.chance.choice(self.world.sidecars))

    def restart_router(self) -> None:
        """Kill a router."""
        self.world.restart_router(self.chance.choice(self.world.routers))

    def drop_kept(self) -> None:
        """Forget kept answers."""
        self.world.drop_kept(self.chance.choice(self.world.sidecars))

    def outage(self) -> None:
        """Begin or end an outage of the store."""
        self.world.counts["outage"] += 1
        self.world.store.outage = not self.world.store.outage

    def pass_time(self) -> None:
        """Let seconds or many minutes pass."""
        self.world.pass_time(self.chance.choice((1.0, 100.0, 250.0, 700.0)))
