"""Stateful fuzzer of the decisions on attempts and claims: ``machine.py SECONDS SEED``."""

import collections
import random
import sys
import time

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from hickorylever.bench.world import World

TOTALS = collections.Counter()
NUMBERS = st.integers(0, 1000)


def pick(entries, number):
    return entries[number % len(entries)]


def live(world):
    return [(sidecar, name) for sidecar in world.sidecars for name in sidecar.live]


def asking(world):
    """Return the calls that wait for a sidecar."""
    busy = [call for router in world.routers for call in router.waiting]
    busy += [call for router in world.routers if router.flight for call in router.flight.calls]
    return [call for call in world.calls if call.attempt is not None and call not in busy]


def progress(world):
    """Return the possible fault-free actions with their arguments."""
    writers = [router for router in world.routers if router.waiting and router.flight is None]
    return [
        *((world.deliver, (message,)) for message in world.messages),
        *((world.run, pair) for pair in live(world)),
        *((world.begin_write, (router,)) for router in writers),
        *((world.land, (flight, False)) for flight in world.writes),
    ]


def messages(world):
    return [(message,) for message in world.messages]


def routers(world):
    return [(router,) for router in world.routers]


def sidecars(world):
    return [(sidecar,) for sidecar in world.sidecars]


def pairs(world):
    return [(router, sidecar) for router in world.routers for sidecar in world.sidecars]


def calls(world):
    return [(call,) for call in asking(world)]


def toggle_outage(world):
    world.counts["outage"] += 1
    world.store.outage = not world.store.outage


# Maps each fault to a function that returns its targets and to its action.
FAULT_ACTIONS = {
    "lose": (messages, World.lose),
    "duplicate": (messages, World.duplicate),
    "ask": (calls, World.ask),
    "give_up": (calls, World.give_up),
    "crash": (live, World.crash),
    "time_out": (lambda world: [(r,) for r in world.routers if r.flight], World.time_out),
    "lose_reply": (lambda world: [(flight, True) for flight in world.writes], World.land),
    "learn": (pairs, World.learn),
    "restart_sidecar": (sidecars, World.restart_sidecar),
    "restart_router": (routers, World.restart_router),
    "drop_kept": (sidecars, World.drop_kept),
    "outage": (lambda world: [()], toggle_outage),
    "pass_time": (lambda world: [(1.0,), (250.0,), (700.0,)], World.pass_time),
}


FAULTS = tuple(name for name in FAULT_ACTIONS if name not in ("ask", "learn"))
FLEETING = ("lose", "duplicate", "ask", "crash", "time_out", "lose_reply")


class Machine(RuleBasedStateMachine):
    """Two routers, two endpoints and three keys; each rule is an action or a fault."""

    def __init__(self):
        super().__init__()
        self.world = World(random.Random(0))
        for router in self.world.routers:
            for sidecar in self.world.sidecars:
                self.world.learn(router, sidecar)

    def teardown(self):
        TOTALS.update(self.world.counts)
        TOTALS.update({f"told {ran}": count for ran, count in self.world.tolds.items()})

    @rule(router=NUMBERS, key=st.integers(0, 2), guarded=st.booleans())
    def submit(self, router, key, guarded):
        name = b"%d" % key if guarded else self.world.name("u").encode()
        self.world.submit(pick(self.world.routers, router), name, guarded)

    @rule(numbers=st.lists(NUMBERS, min_size=1, max_size=5))
    def advance(self, numbers):
        """Advance messages, attempts and writes in any order."""
        for number in numbers:
            possible = progress(self.world)
            if possible:
                action, arguments = pick(possible, number)
                action(*arguments)

    @rule(name=st.sampled_from(tuple(FAULT_ACTIONS)), number=NUMBERS)
    def fault(self, name, number):
        targets, action = FAULT_ACTIONS[name]
        found = targets(self.world)
        if found:
            action(self.world, *pick(found, number))

    @rule(name=st.sampled_from(FLEETING), number=NUMBERS)
    def fault_under_way(self, name, number):
        """Advance one step first, so that faults with transient targets occur more often."""
        self.advance([number])
        targets, action = FAULT_ACTIONS[name]
        found = targets(self.world)
        if found:
            action(self.world, *pick(found, number))

    @invariant()
    def promises_hold(self):
        assert not self.world.violations, self.world.violations


def fuzz(examples, number, steps=40, phases=tuple(Phase)):
    """Run the machine.

    :raises AssertionError: at a safety violation.
    """
    limits = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=False,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seed(number)(type("Machine", (Machine,), {})), settings=limits)


def report():
    """Return the counts of actions and faults."""
    actions = {name: count for name, count in TOTALS.items() if name not in FAULTS}
    faults = {name: TOTALS[name] for name in FAULTS}
    return f"actions {sum(actions.values())}: {actions}\nfaults {sum(faults.values())}: {faults}"


if __name__ == "__main__":
    end = time.monotonic() + float(sys.argv[1])
    number = int(sys.argv[2])
    while time.monotonic() < end:
        fuzz(200, number)
        number += 1
    print(report())
    print(f"seeds {sys.argv[2]} to {number - 1}: no safety violation")
