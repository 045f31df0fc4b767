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

from hickorylever.bench.simulation import ProtocolSimulation

TOTALS = collections.Counter()
NUMBERS = st.integers(0, 1000)


def pick(entries, number):
    return entries[number % len(entries)]


def live_attempts(simulation):
    return [(sidecar, name) for sidecar in simulation.sidecars for name in sidecar.live]


def calls_waiting_for_sidecar(simulation):
    """Return the calls that wait for a sidecar."""
    busy = [call for router in simulation.routers for call in router.waiting]
    busy += [
        call
        for router in simulation.routers
        if router.pending_write
        for call in router.pending_write.calls
    ]
    return [call for call in simulation.calls if call.attempt is not None and call not in busy]


def progress(simulation):
    """Return the possible fault-free actions with their arguments."""
    writers = [
        router for router in simulation.routers if router.waiting and router.pending_write is None
    ]
    return [
        *((simulation.deliver, (message,)) for message in simulation.messages),
        *((simulation.run, pair) for pair in live_attempts(simulation)),
        *((simulation.begin_write, (router,)) for router in writers),
        *((simulation.land, (pending, False)) for pending in simulation.writes),
    ]


def messages(simulation):
    return [(message,) for message in simulation.messages]


def routers(simulation):
    return [(router,) for router in simulation.routers]


def sidecars(simulation):
    return [(sidecar,) for sidecar in simulation.sidecars]


def router_sidecar_pairs(simulation):
    return [(router, sidecar) for router in simulation.routers for sidecar in simulation.sidecars]


def calls(simulation):
    return [(call,) for call in calls_waiting_for_sidecar(simulation)]


def toggle_outage(simulation):
    simulation.counts["outage"] += 1
    simulation.store.outage = not simulation.store.outage


# Maps each fault to a function that returns its targets and to its action.
FAULT_ACTIONS = {
    "lose": (messages, ProtocolSimulation.lose),
    "duplicate": (messages, ProtocolSimulation.duplicate),
    "ask": (calls, ProtocolSimulation.ask),
    "give_up": (calls, ProtocolSimulation.give_up),
    "crash": (live_attempts, ProtocolSimulation.crash),
    "time_out": (
        lambda simulation: [(r,) for r in simulation.routers if r.pending_write],
        ProtocolSimulation.time_out,
    ),
    "lose_reply": (
        lambda simulation: [(pending, True) for pending in simulation.writes],
        ProtocolSimulation.land,
    ),
    "learn": (router_sidecar_pairs, ProtocolSimulation.learn),
    "restart_sidecar": (sidecars, ProtocolSimulation.restart_sidecar),
    "restart_router": (routers, ProtocolSimulation.restart_router),
    "drop_responses": (sidecars, ProtocolSimulation.drop_responses),
    "outage": (lambda simulation: [()], toggle_outage),
    "pass_time": (lambda simulation: [(1.0,), (250.0,), (700.0,)], ProtocolSimulation.pass_time),
}


FAULTS = tuple(name for name in FAULT_ACTIONS if name not in ("ask", "learn"))
TRANSIENT_FAULTS = ("lose", "duplicate", "ask", "crash", "time_out", "lose_reply")


class Machine(RuleBasedStateMachine):
    """Two routers, two endpoints and three keys; each rule is an action or a fault."""

    def __init__(self):
        super().__init__()
        self.simulation = ProtocolSimulation(random.Random(0))
        for router in self.simulation.routers:
            for sidecar in self.simulation.sidecars:
                self.simulation.learn(router, sidecar)

    def teardown(self):
        TOTALS.update(self.simulation.counts)
        TOTALS.update(
            {f"told {ran}": count for ran, count in self.simulation.reported_counts.items()}
        )

    @rule(router=NUMBERS, key=st.integers(0, 2), guarded=st.booleans())
    def submit(self, router, key, guarded):
        name = b"%d" % key if guarded else self.simulation.new_name("u").encode()
        self.simulation.submit(pick(self.simulation.routers, router), name, guarded)

    @rule(numbers=st.lists(NUMBERS, min_size=1, max_size=5))
    def advance(self, numbers):
        """Advance messages, attempts and writes in any order."""
        for number in numbers:
            possible = progress(self.simulation)
            if possible:
                action, arguments = pick(possible, number)
                action(*arguments)

    @rule(name=st.sampled_from(tuple(FAULT_ACTIONS)), number=NUMBERS)
    def fault(self, name, number):
        targets, action = FAULT_ACTIONS[name]
        found = targets(self.simulation)
        if found:
            action(self.simulation, *pick(found, number))

    @rule(name=st.sampled_from(TRANSIENT_FAULTS), number=NUMBERS)
    def fault_under_way(self, name, number):
        """Advance one step first, so that faults with transient targets occur more often."""
        self.advance([number])
        targets, action = FAULT_ACTIONS[name]
        found = targets(self.simulation)
        if found:
            action(self.simulation, *pick(found, number))

    @invariant()
    def no_violations(self):
        assert not self.simulation.violations, self.simulation.violations


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
