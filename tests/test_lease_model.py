import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from models import assert_holds, failing

from hickorylever import defaults
from hickorylever.decisions.leases import FencingCheck, Lease, LeaseRecord, Step, Verdict
from spec.leases import leases


@pytest.mark.parametrize("checks, restarts", [(False, 1), (True, 2)])
def test_no_older_order_is_obeyed(checks, restarts):
    assert_holds(leases("", checks, 3, restarts))


BROKEN = [
    ("no_fencing", "no_older_order_obeyed"),
    ("no_read", "no_older_order_obeyed"),
    ("same_number", "one_holder_per_number"),
]


@pytest.mark.parametrize("variant, caught", BROKEN)
def test_broken_protocols_are_caught(variant, caught):
    assert failing(leases(variant, max_number=2)) == {caught}


class Store:
    """A stored lease, its candidates and the fencing check, driven by labels of the model."""

    def __init__(self):
        self.version = 0
        self.record = LeaseRecord()
        self.leases = [Lease(str(me)) for me in (0, 1)]
        self.fencing = FencingCheck()
        self.now = 0.0

    def read(self, lease):
        lease.observe(self.version, self.record, self.now)

    def write(self, me, step, lost=False):
        lease = self.leases[me]
        self.read(lease)
        if step is Step.TAKE:
            self.now += defaults.LEASE_TAKEOVER_SECONDS
        assert lease.next_step(self.now) is step
        record = lease.record_for(step)
        self.version += 1
        self.record = record
        if lost:
            lease.write_unconfirmed()
            self.read(lease)
            lease.held_until = 0.0
        else:
            lease.write_succeeded(self.version, record, self.now)

    def apply(self, label):
        action, _, argument = label.partition(" ")
        steps = {
            "take": lambda: self.write(int(argument), Step.TAKE),
            "take_lost": lambda: self.write(int(argument), Step.TAKE, lost=True),
            "renew": lambda: self.write(int(argument), Step.RENEW),
            "lapse": lambda: setattr(self.leases[int(argument)], "held_until", self.now),
            "validate": lambda: self.fencing.validate(int(argument)),
            "set_stored_number": lambda: self.fencing.set_stored_number(self.record.number),
            "restart": lambda: setattr(self, "fencing", FencingCheck()),
        }
        steps.get(action, lambda: None)()


@pytest.mark.parametrize("seed", range(20))
def test_traces_of_the_model_hold_for_the_code(seed):
    protocol = leases("", max_number=4, restarts=2)
    rng = random.Random(seed)
    state = protocol.initial
    store = Store()
    for _ in range(60):
        steps = protocol.transitions(state)
        label, state = rng.choice(steps)
        store.apply(label)
        assert store.record.number == state[1]
        assert (store.record.holder or "-1") == str(state[0])
        assert store.fencing.number == state[4]


class CompetingCandidates(RuleBasedStateMachine):
    """Candidates with separate clocks, pauses and lost replies that compete for one lease."""

    def __init__(self):
        super().__init__()
        self.version = 0
        self.record = LeaseRecord()
        self.clocks = [0.0, 500.0, -70.0]
        self.leases = [Lease(str(me)) for me in range(3)]
        self.granted = {}
        self.fencing = FencingCheck(0)
        self.obeyed = [0]
        self.orders = []

    me = st.integers(0, 2)

    @rule(me=me, seconds=st.floats(0, 30))
    def pass_time(self, me, seconds):
        self.clocks[me] += seconds

    @rule(me=me, reply=st.sampled_from(["arrives", "lost", "not_written"]))
    def step(self, me, reply):
        lease, now = self.leases[me], self.clocks[me]
        step = lease.next_step(now)
        if step is Step.READ:
            lease.observe(self.version, self.record, now)
        if step not in (Step.TAKE, Step.RENEW):
            return
        record = lease.record_for(step)
        if lease.version != self.version:
            lease.write_conflicted()
            return
        if reply == "not_written":
            lease.write_unconfirmed()
            return
        assert record.number >= self.record.number
        self.version += 1
        self.record = record
        self.granted.setdefault(record.number, record.holder)
        if reply == "lost":
            lease.write_unconfirmed()
        else:
            lease.write_succeeded(self.version, record, now)

    @rule(me=me)
    def order(self, me):
        lease = self.leases[me]
        if lease.holds(self.clocks[me]):
            assert self.granted[lease.record.number] == str(me)
            self.orders.append(lease.record.number)

    @rule(index=st.integers(0, 50))
    def deliver(self, index):
        if self.orders:
            number = self.orders[index % len(self.orders)]
            if self.fencing.validate(number) is Verdict.OBEY:
                self.obeyed.append(number)

    @rule()
    def restart_sidecar(self):
        self.fencing = FencingCheck()
        self.fencing.set_stored_number(self.record.number)

    @invariant()
    def no_older_order_is_obeyed(self):
        assert self.obeyed == sorted(self.obeyed)


CompetingCandidates.TestCase.settings = settings(max_examples=60, stateful_step_count=60)
TestCompetingCandidates = CompetingCandidates.TestCase
