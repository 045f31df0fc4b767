"""The requests that several routers send to cold endpoints, in virtual time."""

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hickorylever.direct.cold_start import (
    WINDOW_SECONDS,
    ColdLimit,
    ColdStart,
    cold_limit,
    due_after,
)
from hickorylever.direct.membership import Membership
from hickorylever.direct.records import Warmup
from hickorylever.direct.rendezvous import share
from hickorylever.platform.standins.origin import most_in_a_second

OVERAGE = 1.5
ALLOWANCE = 5
STEP_SECONDS = 0.01
SEEDS = 3  # Routers that the settings of each one name; they may be gone.
MAX_DELAY_SECONDS = 0.1  # By which the network delays one request more than another.
RATES = [11.0, 17.0]


def allowed(rate):
    return rate * OVERAGE + ALLOWANCE


class Fleet:
    """Routers with a store that lists them, and links that may be cut.

    Every router has requests for every endpoint at all times, as a burst at all routers gives it.
    """

    def __init__(self, rate, count, endpoints, rng):
        self.limit = cold_limit(Warmup(3.0, rate), OVERAGE, ALLOWANCE)
        self.rng = rng
        self.now = 0.0
        self.calm = False
        self.endpoints = endpoints
        self.stored = set()
        self.routers = {}
        self.contacts = {}
        self.group = {}
        self.arrivals = {name: [] for name in endpoints}
        for number in range(count):
            self.start(address(number))

    def start(self, name, group=0):
        """Start a router, which registers and then lists the others unless the store is out."""
        membership = Membership(name, seeded=bool(self.routers))
        self.group.setdefault(name, group)
        colds = [
            ColdStart(self.limit, key, membership, cold_until=math.inf) for key in self.endpoints
        ]
        self.routers[name] = (membership, colds)
        self.contacts[name] = {address(number) for number in range(SEEDS)} - {name}
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

    def lose(self, count):
        """Remove objects of routers from the store, so that later lists are incomplete."""
        for name in self.rng.sample(sorted(self.stored), min(count, len(self.stored))):
            self.stored.discard(name)

    def exchange(self):
        """Let each router send a datagram to those that it knows and reaches.

        It names those that the sender has heard, which the receiver sends to from then on.
        """
        for name, (membership, _) in self.routers.items():
            heard = {
                other
                for other, known in membership.members.items()
                if known.last_heard is not None
            }
            for other in self.contacts[name] | membership.members.keys():
                if other in self.routers and self.linked(name, other):
                    self.routers[other][0].record_heard(name, self.now)
                    self.contacts[other] |= heard

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
                    if not self.calm and cold.permits(self.now):
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


ACTION_NAMES = [
    "split",
    "cut",
    "heal",
    "restart",
    "kill",
    "restart_all",
    "add",
    "leave",
    "lose",
    "calm",
]
ACTIONS = st.lists(
    st.tuples(st.sampled_from(ACTION_NAMES), st.integers(1, 12), st.floats(0.0, 3.0)),
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
    fleet.calm = False
    fleet.run(2.5)
    assert fleet.most() <= allowed(rate)
    for times in fleet.arrivals.values():
        assert len(times) <= rate * 1.2 * fleet.now + 10


def apply_action(fleet, action, number, rng):
    alive = sorted(fleet.routers)
    fleet.calm = action == "calm"
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
    elif action == "lose":
        fleet.lose(number // 4)
    elif action == "add":
        for _ in range(number):
            fleet.start(address(1000 + len(fleet.group)), rng.choice([0, rng.random()]))


def test_cold_endpoints_of_a_pool_fill_at_once():
    """Guards against cold endpoints of a pool of 39 that stay idle beside warm ones."""
    fleet = Fleet(11.0, 68, names(13), random.Random(1))
    seconds = 4 * WINDOW_SECONDS
    fleet.run(2.0 + seconds)
    times = [time for arrivals in fleet.arrivals.values() for time in arrivals]
    per_second = sum(2.0 <= time < 2.0 + seconds for time in times) / seconds
    assert 0.9 * 13 * 11.0 <= per_second <= 13 * 11.0


@pytest.mark.parametrize("count", [5, 20, 36, 68])
def test_every_router_has_a_share_in_some_of_13_cold_endpoints(count):
    """Guards against routers that can send to none of the cold endpoints of a pool."""
    fleet = Fleet(11.0, count, names(13), random.Random(1))
    fleet.run(3.0)
    idle = [
        name
        for name, (_, colds) in fleet.routers.items()
        if all(cold.sent_at == -math.inf for cold in colds)
    ]
    assert idle == []


@pytest.mark.parametrize(
    ("warmup", "overage", "allowance", "per_window"),
    [
        (Warmup(3.0, 11.0), 1.5, 5.0, 12),
        (Warmup(3.0, 17.0), 1.5, 5.0, 19),
        (Warmup(3.0, 11.0), 1.0, 0.0, 7),
        (Warmup(3.0, 0.5), 1.5, 0.5, 1),
        (Warmup(3.0, 0.1), 1.5, 0.0, 0),
    ],
)
def test_divided_requests_leave_room_below_the_limit(warmup, overage, allowance, per_window):
    """Guards against a division of more than what the settings allow."""
    assert cold_limit(warmup, overage, allowance) == ColdLimit(3.0, per_window)


@pytest.mark.parametrize("per_window", [1, 12, 19])
@pytest.mark.parametrize("count", [1, 5, 12, 40])
def test_shares_add_up_to_the_whole(per_window, count):
    assert sum(share(per_window, rank, count) for rank in range(count)) == per_window


def settled_router(others=0, heard=0, complete=True, seeded=False):
    membership = Membership("10.0.0.1", seeded)
    if complete:
        membership.record_listed([address(5 + number) for number in range(others)], 0.0)
    for number in range(heard):
        membership.record_heard(address(5 + number), 0.0)
    return membership


def cold_start(membership=None, **more):
    return ColdStart(ColdLimit(3.0, 4), "i-1", membership or settled_router(), **more)


@pytest.mark.parametrize(
    ("membership", "permitted"),
    [
        (settled_router(), True),
        (settled_router(others=1), False),
        (settled_router(others=2, heard=1), True),
        (settled_router(others=3, heard=1), False),
        (settled_router(seeded=True), False),
        (settled_router(complete=False), False),
    ],
)
def test_router_waits_until_it_is_known(membership, permitted):
    """Guards against a started router that uses what the others think to be theirs."""
    cold = cold_start(membership, cold_until=20.0)
    assert not cold.permits(1.0)
    assert cold.permits(2.0) is permitted
    assert cold.permits(20.0)


def test_router_that_was_heard_before_keeps_its_share_when_it_is_gone():
    """Guards against a partition after which both sides use the whole."""
    membership = settled_router(others=3)
    for number in range(3):
        membership.record_heard(address(5 + number), 0.0)
    membership.expire(2000.0)
    assert membership.count == 4
    membership.record_heard(address(5), 2000.0)
    membership.record_heard(address(6), 2000.0)
    membership.expire(2000.0)
    assert membership.count == 3
    membership.record_left(address(5), 2000.0)
    membership.expire(2000.5)
    assert membership.count == 3
    membership.expire(2001.5)
    assert membership.count == 2


@pytest.mark.parametrize(("others", "heard", "left"), [(6, 3, 3), (6, 2, 6)])
def test_listed_routers_that_stay_silent_are_forgotten(others, heard, left):
    """Guards against no shares for long after a start at which routers were missing."""
    membership = settled_router(others, heard)
    assert membership.settled_at is None
    membership.expire(59.0)
    assert len(membership.members) == others
    for number in range(heard):
        membership.record_heard(address(5 + number), 60.0)
    membership.expire(61.0)
    assert len(membership.members) == left
    assert (membership.settled_at is not None) is (left == heard)


def test_reports_set_until_when_an_endpoint_is_cold():
    """Guards against old entries that hide a restart, and against faults that last."""
    cold = cold_start()
    cold.record_entry(3.0, 10.0)
    assert cold.cold_until == 13.0
    cold.record_answer(0.0, 10.4, 10.5)
    assert not cold.is_cold(10.5)
    cold.record_failed_connection(20.0)
    assert cold.is_cold(26.9)
    cold.record_entry(0.0, 21.0)  # Written before the failure, perhaps.
    assert cold.is_cold(21.0)
    cold.record_answer(None, 19.9, 21.0)  # To a request from before the failure.
    assert cold.is_cold(26.9)
    cold.record_answer(None, 21.5, 22.0)
    assert cold.cold_until == 25.0
    cold.record_entry(0.0, 22.5)
    assert not cold.is_cold(22.5)
    cold.record_answer(1e9, 23.0, 23.0)
    assert not cold.is_cold(84.0)


def test_wait_for_cold_endpoints_counts_the_requests_ahead():
    """Guards against callers that wait for nothing, or are refused although a place is free."""
    colds = [cold_start(cold_until=9.0), cold_start(cold_until=5.0, sent_at=2.0)]
    spacing = WINDOW_SECONDS / 4
    due = [due_after(colds, ahead, 2.0) for ahead in range(4)]
    assert due == pytest.approx([2.0, 2 + spacing, 2 + spacing, 2 + 2 * spacing])
    assert due_after(colds, 500, 2.0) == 5.0
    assert due_after([cold_start(settled_router(others=2), cold_until=9.0)], 0, 2.0) == 9.0
