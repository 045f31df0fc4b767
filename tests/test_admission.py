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
make_attempt = functools.partial(Attempt, "id", "e0", "i", 1.0)


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
    ((1000.0,) * 3, 1000.0, make_attempt(10.0), 1250.0),
    ((1000.0,) * 3, 1100.0, make_attempt(10.0), 1281.25),
    ((1000.0,) * 3, 1000.0, make_attempt(900.0), 1900.0),
    ((1000.0,) * 3, 1100.0, make_attempt(900.0), 1281.25),
    ((1000.0,) * 3, 1000.0, make_attempt(10.0, borrowed=True), 1100.0),
    ((1000.0,) * 3, 1000.0, make_attempt(900.0, borrowed=True), 1100.0),
    ((0.0,) * 3, 0.0, make_attempt(10.0), 100.0),
    ((), 50.0, make_attempt(10.0), 100.0),
    ((), 1000.0, make_attempt(900.0), 1250.0),
    ((1000.0,) * 3, 2100.0, make_attempt(10.0, mean=2000.0, mean_age=0.1, members=4), 2500.0),
    ((1000.0,) * 3, 2100.0, make_attempt(10.0, mean=2000.0, mean_age=9.0, members=4), 1593.75),
]


@pytest.mark.parametrize("peers, work, attempt, limit", LIMITS)
def test_max_work(peers, work, attempt, limit):
    assert admission.max_work(environment(*peers), MEMBERS[0], work, 1, attempt) == pytest.approx(
        limit
    )


def test_expired_reports_are_ignored():
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


class AdmissionModel:
    """Sidecars that admit attempts by the load reports they have received so far."""

    def __init__(self, bounded=True):
        self.bounded = bounded
        self.now = 0.0
        self.names = ["e0", "e1", "e2"]
        self.admitted = {member.name: [] for member in MEMBERS}
        self.environments = {member.name: self.environment(member) for member in MEMBERS}
        self.sent = {member.name: {} for member in MEMBERS}

    def environment(self, member):
        env = environment()
        env.clock = lambda: self.now
        env.loads.replace_groups(load_groups([MEMBERS], member.vm))
        return env

    def known_mean(self, name, attempt):
        """Return the mean of the reports that have not expired, or the router's if it is newer."""
        known = [entry for entry in self.sent[name].values() if entry[1] >= self.now - 5.0]
        known.append((sum(self.admitted[name]), self.now))
        age = self.now - sum(time for _, time in known) / len(known)
        if attempt.mean_age < age - 1e-9 and attempt.members >= len(known):
            return attempt.mean, attempt.members
        return sum(work for work, _ in known) / len(known), len(known)

    def admit(self, name, work, age, borrowed=False):
        admitted, running = sum(self.admitted[name]), len(self.admitted[name])
        reported = sum(map(sum, self.admitted.values())) / len(self.admitted)
        attempt = make_attempt(work, borrowed=borrowed, mean=reported, mean_age=age, members=4)
        known, members = self.known_mean(name, attempt)
        env, member = self.environments[name], MEMBERS.by_name[name]
        limit = admission.max_work(env, member, admitted, running, attempt)
        if self.bounded and running and admitted + work > limit:
            return
        self.admitted[name].append(work)
        within_bound = admitted + work <= max(100.0, 1.25 * known) + 1e-6
        below_mean = members > 1 and admitted <= known + 1e-6 and not borrowed
        assert within_bound or below_mean or not running

    def borrow(self, name, work, age):
        self.admit(name, work, age, borrowed=True)

    def finish(self, name, work, age):
        if self.admitted[name]:
            self.admitted[name].pop()

    def report(self, name, work, age):
        load = Load(name, sum(self.admitted[name]), 1, 1, time=self.now)
        for other in set(self.names) - {name}:
            admission.record_load(self.environments[other], load)
            self.sent[other][name] = (load.work, load.time)

    def wait(self, name, work, age):
        self.now += work / 100

    def join(self, name, work, age):
        self.names = sorted(set(self.names) ^ {name} | {"e0"})

    def run(self, plan):
        for action, number, work, age in plan:
            getattr(self, action)(f"e{number}", work, age)


@given(steps)
def test_load_bound_holds_in_any_order(plan):
    AdmissionModel().run(plan)


def test_model_detects_missing_load_bound():
    with pytest.raises(AssertionError):
        AdmissionModel(bounded=False).run([("admit", 0, 90.0, 9.0)] * 3)
