import functools
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_routing_policies import pool

from hickorylever import admission
from hickorylever.decisions.loads import LoadTable
from hickorylever.decisions.pools import load_groups
from hickorylever.decisions.routing_policies import View
from hickorylever.records import VM, Attempt, Load

MEMBERS = pool(4, capacity=1)
make = functools.partial(Attempt, "id", "e0", "i", 1.0)


def environment(*works, now=1.0):
    loads = LoadTable(5.0)
    loads.replace_groups(load_groups([MEMBERS], "vm-e0"))
    for member, work in zip(MEMBERS[1:], works, strict=False):
        loads.update(Load(member.name, work, 1, 1, time=0.0))
    return SimpleNamespace(
        clock=lambda: now,
        loads=loads,
        view=View(multiple=1.25, floor=100.0),
        usable=lambda name: True,
        fleet=SimpleNamespace(vms=[VM("r", "", "", "", "entry")] * 2),
    )


LIMITS = [
    ((1000.0,) * 3, 1000.0, make(10.0), 1250.0),
    ((1000.0,) * 3, 1100.0, make(10.0), 1281.25),
    ((1000.0,) * 3, 1000.0, make(900.0), 1900.0),
    ((1000.0,) * 3, 1100.0, make(900.0), 1281.25),
    ((1000.0,) * 3, 1000.0, make(10.0, borrowed=True), 1100.0),
    ((1000.0,) * 3, 1000.0, make(900.0, borrowed=True), 1100.0),
    ((0.0,) * 3, 0.0, make(10.0), 100.0),
    ((), 50.0, make(10.0), 100.0),
    ((), 1000.0, make(900.0), 1250.0),
    ((1000.0,) * 3, 2100.0, make(10.0, mean=2000.0, mean_age=0.1, members=4), 2500.0),
    ((1000.0,) * 3, 2100.0, make(10.0, mean=2000.0, mean_age=9.0, members=4), 1593.75),
]


@pytest.mark.parametrize("peers, work, attempt, limit", LIMITS)
def test_max_work(peers, work, attempt, limit):
    assert admission.max_work(environment(*peers), MEMBERS[0], work, 1, attempt) == pytest.approx(
        limit
    )


def test_reports_that_are_too_old_are_left_out():
    env = environment(now=10.0)
    admission.record_load(env, Load("e1", 5000.0, 1, 1, time=4.9))
    assert env.loads.get("e1") is None


def test_quota_is_router_share_or_unused_capacity():
    env = environment(300.0, 0.0, 0.0)
    quota = admission.work_quota(env, MEMBERS, 100.0)
    assert (quota.limit, quota.router_share) == (1600.0 - 200.0, 800.0)


steps = st.lists(
    st.tuples(
        st.sampled_from(("admit", "borrow", "finish", "report", "wait", "join")),
        st.integers(0, 3),
        st.floats(1, 400),
        st.floats(0, 8),
    ),
    max_size=120,
)


class Peers:
    """Sidecars that admit by what has reached them, in the order of the steps."""

    def __init__(self, bounded=True):
        self.bounded = bounded
        self.now = 0.0
        self.names = ["e0", "e1", "e2"]
        self.held = {member.name: [] for member in MEMBERS}
        self.environments = {member.name: self.environment(member) for member in MEMBERS}
        self.sent = {member.name: {} for member in MEMBERS}

    def environment(self, member):
        env = environment()
        env.clock = lambda: self.now
        env.loads.replace_groups(load_groups([MEMBERS], member.vm))
        return env

    def known_mean(self, name, attempt):
        """The definition: reports of at most the age, or the router's if those are younger."""
        known = [entry for entry in self.sent[name].values() if entry[1] >= self.now - 5.0]
        known.append((sum(self.held[name]), self.now))
        age = self.now - sum(time for _, time in known) / len(known)
        if attempt.mean_age < age - 1e-9 and attempt.members >= len(known):
            return attempt.mean, attempt.members
        return sum(work for work, _ in known) / len(known), len(known)

    def admit(self, name, work, age, borrowed=False):
        held, running = sum(self.held[name]), len(self.held[name])
        told = sum(map(sum, self.held.values())) / len(self.held)
        attempt = make(work, borrowed=borrowed, mean=told, mean_age=age, members=4)
        known, members = self.known_mean(name, attempt)
        env, member = self.environments[name], MEMBERS.by_name[name]
        limit = admission.max_work(env, member, held, running, attempt)
        if self.bounded and running and held + work > limit:
            return
        self.held[name].append(work)
        within = held + work <= max(100.0, 1.25 * known) + 1e-6
        below = members > 1 and held <= known + 1e-6 and not borrowed
        assert within or below or not running

    def borrow(self, name, work, age):
        self.admit(name, work, age, borrowed=True)

    def finish(self, name, work, age):
        if self.held[name]:
            self.held[name].pop()

    def report(self, name, work, age):
        load = Load(name, sum(self.held[name]), 1, 1, time=self.now)
        for other in set(self.names) - {name}:
            admission.record_load(self.environments[other], load)
            self.sent[other][name] = (load.work, load.time)

    def wait(self, name, work, age):
        self.now += work / 100

    def join(self, name, work, age):
        self.names = sorted(set(self.names) ^ {name} | {"e0"})

    def play(self, plan):
        for action, number, work, age in plan:
            getattr(self, action)(f"e{number}", work, age)


@given(steps)
def test_nothing_is_admitted_above_the_bound_in_any_order(plan):
    Peers().play(plan)


def test_the_bound_check_fails_without_the_bound():
    with pytest.raises(AssertionError):
        Peers(bounded=False).play([("admit", 0, 90.0, 9.0)] * 3)
