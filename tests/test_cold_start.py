"""The requests that several routers send to cold endpoints, in virtual time."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hickorylever.direct.cold_start import (
    WINDOW_SECONDS,
    ColdStart,
    cold_limit,
)
from hickorylever.direct.membership import Membership
from hickorylever.direct.records import Warmup

OVERAGE = 1.5
ALLOWANCE = 5
STEP_SECONDS = 0.01
MAX_DELAY_SECONDS = 0.1  # By which the network delays one request more than another.
RATES = [11.0, 17.0]


def allowed(rate):
    return rate * OVERAGE + ALLOWANCE


def most_in_a_second(times):
    times = sorted(times)
    most = start = 0
    for end, time in enumerate(times):
        while time - times[start] >= 1.0:
            start += 1
        most = max(most, end - start + 1)
    return most


class Fleet:
    """Routers with a store that lists them, and links that may be cut.

    Every router has requests for every endpoint at all times, as a burst at all routers gives it.
    """

    def __init__(self, rate, count, endpoints, rng):
        self.limit = cold_limit(Warmup(3.0, rate), OVERAGE, ALLOWANCE)
        self.rng = rng
        self.now = 0.0
        self.endpoints = endpoints
        self.stored = set()
        self.routers = {}
        self.group = {}
        self.arrivals = {name: [] for name in endpoints}
        for number in range(count):
            self.start(address(number))

    def start(self, name, group=0):
        """Start a router, which registers and then lists the others unless the store is out."""
        membership = Membership(name)
        self.group.setdefault(name, group)
        colds = [
            ColdStart(self.limit, key, membership, cold_until=math.inf) for key in self.endpoints
        ]
        self.routers[name] = (membership, colds)
        self.stored.add(name)
        membership.record_listed(self.stored, self.now)

    def kill(self, name):
        self.routers.pop(name, None)

    def leave(self, name):
        self.routers.pop(name, None)
        for membership, _ in self.routers.values():
            if self.linked(membership.own_address, name):
                membership.record_left(name, self.now)

    def linked(self, one, other):
        return self.group[one] == self.group[other]

    def exchange(self):
        """Let each router send a datagram to those that it knows and reaches."""
        for name, (membership, _) in self.routers.items():
            for other in list(membership.members):
                if other in self.routers and self.linked(name, other):
                    self.routers[other][0].record_heard(name, self.now)

    def run(self, seconds):
        until = self.now + seconds
        step = 0
        while self.now < until:
            if step % 50 == 0:
                self.exchange()
                for membership, _ in self.routers.values():
                    membership.expire(self.now)
            for _, colds in self.routers.values():
                for cold in colds:
                    if cold.permits(self.now):
                        cold.record_send(self.now)
                        delay = self.rng.uniform(0.0, MAX_DELAY_SECONDS)
                        self.arrivals[cold.key].append(self.now + delay)
            step += 1
            self.now += STEP_SECONDS

    def most(self):
        return max(most_in_a_second(times) for times in self.arrivals.values())


def address(number):
    return f"10.0.{number // 250}.{number % 250 + 1}"


def names(count):
    return [f"i-{number}" for number in range(count)]


@pytest.mark.parametrize("rate", RATES)
@pytest.mark.parametrize("count", [1, 2, 3, 4, 5, 7, 9, 11, 12, 13, 20, 36, 68, 300])
def test_all_routers_together_use_most_of_the_rate(rate, count):
    """Guards against a division that leaves shares unused or adds up to too much."""
    fleet = Fleet(rate, count, names(2), random.Random(count))
    seconds = 10 * WINDOW_SECONDS  # Whole windows, as routers send at the same moments of each.
    fleet.run(2.0 + seconds)
    for times in fleet.arrivals.values():
        per_second = sum(2.0 <= time < 2.0 + seconds for time in times) / seconds
        assert 0.85 * rate <= per_second <= rate
    assert fleet.most() <= allowed(rate)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["split", "cut", "heal", "restart", "kill", "restart_all", "add", "leave"]
        ),
        st.integers(1, 12),
        st.floats(0.0, 3.0),
    ),
    max_size=7,
)


@settings(max_examples=60)
@given(
    rate=st.sampled_from(RATES),
    count=st.integers(3, 68),
    actions=ACTIONS,
    seed=st.integers(0, 2**32),
)
def test_limit_holds_whatever_routers_know(rate, count, actions, seed):
    """Guards against shares that add up to too much while routers know different routers."""
    rng = random.Random(seed)
    fleet = Fleet(rate, count, names(2), rng)
    fleet.run(2.5)
    for action, number, pause in actions:
        apply_action(fleet, action, number, rng)
        fleet.run(pause)
    fleet.run(2.5)
    assert fleet.most() <= allowed(rate)
    for times in fleet.arrivals.values():
        assert len(times) <= rate * 1.2 * fleet.now + 10


def apply_action(fleet, action, number, rng):
    alive = sorted(fleet.routers)
    chosen = rng.sample(alive, min(number, len(alive)))
    if action == "split":
        for name in alive:
            fleet.group[name] = rng.randrange(number)
    elif action == "cut":
        for name in chosen:
            fleet.group[name] = rng.random()
    elif action == "heal":
        for name in fleet.group:
            fleet.group[name] = 0
    elif action == "restart":
        for name in chosen:
            fleet.start(name)
    elif action == "restart_all":
        for name in alive:
            fleet.kill(name)
        fleet.run(0.3)
        for name in alive[number // 4 :]:
            fleet.start(name)
    elif action == "kill" and len(alive) > number:
        for name in chosen:
            fleet.kill(name)
    elif action == "leave" and len(alive) > number:
        for name in chosen:
            fleet.leave(name)
    elif action == "add":
        for _ in range(number):
            fleet.start(address(1000 + len(fleet.group)), rng.choice([0, rng.random()]))
