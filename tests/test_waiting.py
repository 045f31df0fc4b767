"""Simulations of the wait queue of an overloaded pool."""

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass

import pytest

from hickorylever.direct.waiting import MAX_RETURN, MIN_RETURN, Line, Wish

SLOTS = 12
WORK = 0.24  # Mean time for which a request occupies a slot.
CAPACITY = SLOTS / WORK  # Requests per second.
OBJECTIVES = (0.5, 1.0, 0.6)  # By rank.
PATIENCE = (3.2, 4.0, 3.0)  # Time until callers leave, by rank.
SECONDS = 20.0


@dataclass
class Seen:
    """Outcomes of the requests of one rank."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0


def play(load, seed, burst=None):
    """Return the outcomes by rank, and the refusals as (time waited, retry after).

    :param load: offered load as a multiple of the capacity.
    :param burst: seconds after which no more requests arrive.
    """
    chance = random.Random(seed)
    line, seen, refusals = Line(), defaultdict(Seen), []
    tickets, ends, now = {}, [], 0.0
    until = burst or SECONDS
    arrivals = []
    while now < until:
        now += chance.expovariate(load * CAPACITY)
        arrivals.append(now)
    now, step = 0.0, 0.005
    while now < SECONDS + 10.0:
        now += step
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        while arrivals and arrivals[0] <= now:
            begun, rank = arrivals.pop(0), chance.choices((0, 1, 2), (4, 3, 3))[0]
            seen[rank].asked += 1
            wish = Wish(rank, begun, OBJECTIVES[rank], begun + PATIENCE[rank])
            tickets[line.join(wish, now)] = begun
        for ticket in [ticket for ticket in line.tickets if line.hopeless(ticket, now)]:
            line.leave(ticket, False, now)
            begun = tickets.pop(ticket)
            seen[ticket.rank].refused += 1
            pause = line.retry_after(now, begun + PATIENCE[ticket.rank] - now)
            refusals.append((now - begun, pause))
        while line.tickets and len(ends) < SLOTS:
            ticket = line.first(now)
            line.leave(ticket, True, now)
            heapq.heappush(ends, now + chance.uniform(0.5, 1.5) * WORK)
            on_time = now - tickets.pop(ticket) <= OBJECTIVES[ticket.rank]
            seen[ticket.rank].on_time += on_time
            seen[ticket.rank].late += not on_time
    assert not line.tickets
    return seen, refusals


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [0.3, 0.5])
def test_nobody_is_refused_or_late_while_there_is_room(load, seed):
    seen, refusals = play(load, seed)
    assert not refusals
    assert all(entry.on_time == entry.asked for entry in seen.values())


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [1.3, 2.0])
def test_most_of_what_a_full_pool_does_is_on_time_and_urgent(load, seed):
    """With a first-come, first-served queue nearly all requests would be late."""
    seen, refusals = play(load, seed)
    done = sum(entry.on_time + entry.late for entry in seen.values())
    assert sum(entry.on_time for entry in seen.values()) >= 0.85 * done
    assert done >= 0.9 * CAPACITY * SECONDS
    assert seen[0].on_time >= 0.9 * seen[0].asked
    asked = sum(entry.asked for entry in seen.values())
    assert all(entry.on_time / entry.asked >= 0.25 * done / asked for entry in seen.values())
    assert all(waited <= 0.8 * max(PATIENCE) for waited, _ in refusals)


def test_a_short_burst_is_served_late_rather_than_refused():
    seen, refusals = play(4.0, 1, burst=0.5)
    for rank in (0, 1):
        assert seen[rank].refused <= 0.05 * seen[rank].asked


def test_refused_callers_come_back_one_after_the_other():
    line = Line()
    tickets = [line.join(Wish(0, 0.0, 1.0, 9.0), 0.0) for _ in range(40)]
    for number, ticket in enumerate(tickets, 1):
        line.leave(ticket, True, number * 0.05)
    pauses = [line.retry_after(2.0, 15.0) for _ in range(30)]
    assert pauses == sorted(pauses)
    assert pauses[-1] - pauses[5] == pytest.approx(24 / line.rate(2.0), rel=0.05)
    assert pauses[0] >= MIN_RETURN
    assert max(line.retry_after(2.0, 15.0) for _ in range(500)) <= MAX_RETURN
    assert line.retry_after(2.0, 0.9) <= 0.3
    assert line.retry_after(2.0, 0.1) == MIN_RETURN


@pytest.mark.parametrize(
    ("wishes", "now", "order"),
    [
        ([(1, 0.0, 1.0), (0, 0.1, 1.0), (1, 0.2, 1.0)], 0.3, [1, 0, 2]),
        ([(0, 0.0, 1.0), (1, 0.5, 1.0), (2, 0.6, 1.0)], 0.9, [1, 2, 0]),
    ],
)
def test_requests_that_can_be_on_time_go_first_then_urgent_ones(wishes, now, order):
    line = Line()
    tickets = [
        line.join(Wish(rank, begun, objective, 20.0), begun) for rank, begun, objective in wishes
    ]
    seen = []
    while line.tickets:
        seen.append(tickets.index(line.first(now)))
        line.leave(line.first(now), True, now)
    assert seen == order


def test_a_router_that_shuts_down_keeps_nobody_waiting():
    line = Line()
    ticket = line.join(Wish(0, 0.0, 1.0, 20.0, draining=True), 0.0)
    assert ticket.wait_until < 0.5
