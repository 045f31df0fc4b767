"""Randomized testing of the claim simulation: weighted random actions and faults."""

import itertools
from collections.abc import Callable

from .actors import Call, Message, Sidecar
from .simulation import ProtocolSimulation

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
    "drop_responses": 0.3,
    "outage": 0.2,
    "pass_time": 0.3,
}


class Chaos:
    """Runs random actions, including faults, against a simulation.

    :param weights: relative frequency of each action, by method name of this class.
    :param keys: number of distinct idempotency keys.
    """

    def __init__(self, simulation: ProtocolSimulation, weights: dict[str, float], keys: int):
        self.simulation = simulation
        self.rng = simulation.rng
        self.keys = keys
        self.actions = [getattr(self, name) for name in weights]
        self.cumulative = list(itertools.accumulate(weights.values()))

    def step(self) -> None:
        """Run one random action; it does nothing if it has no target."""
        (action,) = self.rng.choices(self.actions, cum_weights=self.cumulative)
        action()

    def submit(self) -> None:
        """Submit a request, which may repeat the key of an earlier one."""
        if len(self.simulation.calls) > 20:
            return
        guarded = self.rng.random() < 0.7
        number = self.rng.randrange(self.keys)
        key = b"%d" % number if guarded else self.simulation.new_name("u").encode()
        self.simulation.submit(self.rng.choice(self.simulation.routers), key, guarded)

    def with_message(self, apply: Callable[[Message], None]) -> None:
        """Apply an action to a random message in transit."""
        if self.simulation.messages:
            apply(self.rng.choice(self.simulation.messages))

    def deliver(self) -> None:
        """Deliver a message."""
        self.with_message(self.simulation.deliver)

    def lose(self) -> None:
        """Lose a message."""
        self.with_message(self.simulation.lose)

    def duplicate(self) -> None:
        """Duplicate a message."""
        self.with_message(self.simulation.duplicate)

    def with_attempt(self, apply: Callable[[Sidecar, str], None]) -> None:
        """Apply an action to a random live attempt."""
        sidecar = self.rng.choice(self.simulation.sidecars)
        if sidecar.live:
            apply(sidecar, self.rng.choice(list(sidecar.live)))

    def run(self) -> None:
        """Advance an attempt."""
        self.with_attempt(self.simulation.run)

    def crash(self) -> None:
        """Crash the endpoint that runs an attempt."""
        self.with_attempt(self.simulation.crash)

    def with_call(self, apply: Callable[[Call], None]) -> None:
        """Apply an action to a random call that waits for its sidecar."""
        calls = [call for call in self.simulation.calls if call.attempt is not None]
        calls = [call for call in calls if call not in call.router.waiting]
        calls = [call for call in calls if not self.is_writing(call)]
        if calls:
            apply(self.rng.choice(calls))

    def is_writing(self, call: Call) -> bool:
        """Return whether a call waits for a write to the store."""
        pending = call.router.pending_write
        return pending is not None and call in pending.calls

    def ask(self) -> None:
        """Break a call's connection, so that the router queries the attempt on a new one."""
        self.with_call(self.simulation.ask)

    def give_up(self) -> None:
        """Have a router abandon a call."""
        self.with_call(self.simulation.give_up)

    def begin_write(self) -> None:
        """Start a write of a router's queued changes."""
        router = self.rng.choice(self.simulation.routers)
        if router.waiting and router.pending_write is None:
            self.simulation.begin_write(router)

    def land(self) -> None:
        """Apply a write in transit; its reply is lost in a fifth of the cases."""
        if self.simulation.writes:
            self.simulation.land(self.rng.choice(self.simulation.writes), self.rng.random() < 0.2)

    def time_out(self) -> None:
        """Have a router's pending write time out."""
        router = self.rng.choice(self.simulation.routers)
        if router.pending_write is not None:
            self.simulation.time_out(router)

    def learn(self) -> None:
        """Have a router read a sidecar's incarnation and clock."""
        router = self.rng.choice(self.simulation.routers)
        self.simulation.learn(router, self.rng.choice(self.simulation.sidecars))

    def restart_sidecar(self) -> None:
        """Restart a sidecar."""
        self.simulation.restart_sidecar(self.rng.choice(self.simulation.sidecars))

    def restart_router(self) -> None:
        """Restart a router."""
        self.simulation.restart_router(self.rng.choice(self.simulation.routers))

    def drop_responses(self) -> None:
        """Discard the retained responses of a sidecar."""
        self.simulation.drop_responses(self.rng.choice(self.simulation.sidecars))

    def outage(self) -> None:
        """Start or end an outage of the store."""
        self.simulation.counts["outage"] += 1
        self.simulation.store.outage = not self.simulation.store.outage

    def pass_time(self) -> None:
        """Advance the clock by one second to about twelve minutes."""
        self.simulation.pass_time(self.rng.choice((1.0, 100.0, 250.0, 700.0)))
