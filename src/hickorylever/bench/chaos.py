"""Randomized testing of the claim simulation: weighted random actions and faults."""

import itertools
from collections.abc import Callable

from .actors import Call, Message, Sidecar
from .world import World

# Relative frequency of each action; faults make up about a tenth of the total.
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
    """Runs random actions, including faults, against a simulation.

    :param weights: relative frequency of each action, by method name of this class.
    :param keys: number of distinct idempotency keys.
    """

    def __init__(self, world: World, weights: dict[str, float], keys: int):
        self.world = world
        self.chance = world.chance
        self.keys = keys
        self.actions = [getattr(self, name) for name in weights]
        self.cumulative = list(itertools.accumulate(weights.values()))

    def step(self) -> None:
        """Run one random action; it does nothing if it has no target."""
        (action,) = self.chance.choices(self.actions, cum_weights=self.cumulative)
        action()

    def submit(self) -> None:
        """Submit a request, which may repeat the key of an earlier one."""
        if len(self.world.calls) > 20:
            return
        guarded = self.chance.random() < 0.7
        number = self.chance.randrange(self.keys)
        key = b"%d" % number if guarded else self.world.name("u").encode()
        self.world.submit(self.chance.choice(self.world.routers), key, guarded)

    def message(self, act: Callable[[Message], None]) -> None:
        """Apply an action to a random message in transit."""
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
        """Apply an action to a random live attempt."""
        sidecar = self.chance.choice(self.world.sidecars)
        if sidecar.live:
            act(sidecar, self.chance.choice(list(sidecar.live)))

    def run(self) -> None:
        """Advance an attempt."""
        self.live(self.world.run)

    def crash(self) -> None:
        """Crash the endpoint that runs an attempt."""
        self.live(self.world.crash)

    def waiting_call(self, act: Callable[[Call], None]) -> None:
        """Apply an action to a random call that waits for its sidecar."""
        calls = [call for call in self.world.calls if call.attempt is not None]
        calls = [call for call in calls if call not in call.router.waiting]
        calls = [call for call in calls if not self.writing(call)]
        if calls:
            act(self.chance.choice(calls))

    def writing(self, call: Call) -> bool:
        """Return whether a call waits for a write to the store."""
        flight = call.router.flight
        return flight is not None and call in flight.calls

    def ask(self) -> None:
        """Break a call's connection, so that the router queries the attempt on a new one."""
        self.waiting_call(self.world.ask)

    def give_up(self) -> None:
        """Have a router abandon a call."""
        self.waiting_call(self.world.give_up)

    def begin_write(self) -> None:
        """Start a write of a router's queued changes."""
        router = self.chance.choice(self.world.routers)
        if router.waiting and router.flight is None:
            self.world.begin_write(router)

    def land(self) -> None:
        """Apply a write in transit; its reply is lost in a fifth of the cases."""
        if self.world.writes:
            self.world.land(self.chance.choice(self.world.writes), self.chance.random() < 0.2)

    def time_out(self) -> None:
        """Have a router's pending write time out."""
        router = self.chance.choice(self.world.routers)
        if router.flight is not None:
            self.world.time_out(router)

    def learn(self) -> None:
        """Have a router read a sidecar's incarnation and clock."""
        router = self.chance.choice(self.world.routers)
        self.world.learn(router, self.chance.choice(self.world.sidecars))

    def restart_sidecar(self) -> None:
        """Restart a sidecar."""
        self.world.restart_sidecar(self.chance.choice(self.world.sidecars))

    def restart_router(self) -> None:
        """Restart a router."""
        self.world.restart_router(self.chance.choice(self.world.routers))

    def drop_kept(self) -> None:
        """Discard the retained responses of a sidecar."""
        self.world.drop_kept(self.chance.choice(self.world.sidecars))

    def outage(self) -> None:
        """Start or end an outage of the store."""
        self.world.counts["outage"] += 1
        self.world.store.outage = not self.world.store.outage

    def pass_time(self) -> None:
        """Advance the clock by one second to about twelve minutes."""
        self.world.pass_time(self.chance.choice((1.0, 100.0, 250.0, 700.0)))
