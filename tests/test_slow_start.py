"""Slow start of endpoints: the window, its exchange between routers, and plays of starts."""

import dataclasses
import itertools

import pytest
from pace_play import Load, Play, name_hash

from hickorylever.direct.candidates import Candidate
from hickorylever.direct.load_bound import windows_apply
from hickorylever.direct.slow_start import (
    INITIAL_WINDOW,
    MIN_WINDOW,
    SlowStart,
    is_in_time,
    router_share,
    start_discount,
)

ROUTERS = [f"10.1.0.{n}" for n in range(24)]


def test_window_doubles_while_responses_are_in_time_and_halves_otherwise():
    start, now = SlowStart(0.0), 0.0
    for expected in (8, 16, 32):
        for _ in range(start.window):
            now += 0.1
            start.record_first_event(now, True, now)
        assert start.window == expected
    start.record_first_event(now, False, now + 0.1)
    assert start.window == 16
    start.record_first_event(now, False, now + 0.2)  # Sent before the window was halved.
    assert start.window == 16
    for _ in range(9):
        now += 1.0
        start.record_first_event(now, False, now)
    assert start.window == MIN_WINDOW


def test_window_ends_beyond_what_the_endpoint_would_get():
    start = SlowStart(0.0)
    assert not start.end_beyond(2.0, 1.0)  # A quiet pool says nothing yet.
    for _ in range(4):
        start.record_first_event(1.0, True, 1.1)
    assert not start.end_beyond(8.0, 2.0)
    assert start.end_beyond(7.0, 2.0)
    assert not start.may_restart(3.0) and start.may_restart(60.0)


def test_routers_agree_whatever_the_order_of_their_reports():
    """A lost or late report must not undo a halving, nor an in-time count be added twice."""
    states = []
    for router, results in zip("abc", ((True, True), (True, False), (True,)), strict=True):
        start = SlowStart(0.0)
        for in_time in results:
            start.record_first_event(1.0, in_time, 1.0)
            states.append((router, start.state()))
    windows = set()
    for order in itertools.permutations(states):
        start = SlowStart(0.0)
        for router, state in (*order, order[0], order[-1]):
            start.merge(router, state, 2.0)
        windows.add((start.halvings, start.base))
    assert windows == {(1, 2)}


@pytest.mark.parametrize("window", [1, 4, 23, 24, 25, 100])
def test_shares_of_routers_add_up_to_the_window(window):
    """All routers would send to an idle endpoint at once, before they hear of each other."""
    shares = [
        router_share(window, 7, own, [router for router in ROUTERS if router != own])
        for own in ROUTERS
    ]
    assert sum(shares) == window
    assert max(shares) - min(shares) <= 1


def test_cost_of_an_idle_starting_endpoint_is_lower_than_that_of_a_cached_prompt():
    """An endpoint without cached parts stayed idle until a burst."""
    assert start_discount(4, 0, 10.0, 9000.0) > 9000.0
    assert start_discount(4, 4, 10.0, 9000.0) == 0.0
    assert 0.0 < start_discount(16, 5, 10.0, 9000.0) < 9000.0


@pytest.mark.parametrize(("seconds", "in_time"), [(0.1, True), (0.29, True), (0.31, False)])
def test_in_time(seconds, in_time):
    assert is_in_time(seconds, 0.1) is in_time


@pytest.mark.parametrize(("starting", "apply"), [(0, False), (3, True), (4, False), (6, False)])
def test_windows_do_not_apply_where_most_endpoints_start(starting, apply):
    """Requests would be refused although no endpoint is loaded."""
    endpoints = Play(Load(engines=6)).nodes[0].directory.endpoints
    for endpoint in endpoints[:starting]:
        endpoint.slow_start = SlowStart(0.0)
    assert windows_apply([Candidate(endpoint, 0, 0.0) for endpoint in endpoints]) is apply


def of_newcomer(play):
    """Return (seconds since its start, its requests in flight, mean of the others)."""
    others = play.load.engines - 1
    return [
        (time - play.load.joins, held[-1], sum(held[:-1]) / others)
        for time, held in play.history
        if time > play.load.joins
    ]


STARTS = {
    "12 routers": Load(joins=5.0, rate=300.0),
    "28 routers": Load(joins=5.0, rate=300.0, routers=28),
    "long prompts": Load(joins=5.0, rate=300.0, own_tokens=6000),
}


@pytest.mark.parametrize("load", STARTS.values(), ids=STARTS)
def test_new_endpoint_takes_its_share_without_a_burst(load):
    """Without history it was either sent a burst or left idle. The load bound holds throughout."""
    play = Play(load).run()
    seen = of_newcomer(play)
    assert all(held <= 2.0 * mean + 3 for _, held, mean in seen)
    assert all(held <= 2 * INITIAL_WINDOW for since, held, _ in seen if since < 0.3)
    reached = next(since for since, held, mean in seen if held >= mean / 2)
    print(f"half of the others' requests after {reached:.2f} s")
    assert reached <= 2.0
    later = [(held, mean) for since, held, mean in seen if since > 4.0]
    assert sum(held for held, _ in later) >= 0.7 * sum(mean for _, mean in later)
    late, asked = play.late(5.0, load.engines - 1)
    assert late == 0 and asked > 50


def test_window_is_not_left_to_routers_without_requests():
    """Where one router has all requests, the shares of the others left a new endpoint idle."""
    play = Play(Load(joins=5.0, rate=60.0, engines=6, routers=24, busy_routers=1)).run()
    reached = next(since for since, held, mean in of_newcomer(play) if held >= mean / 2)
    assert reached <= 5.0


def test_slow_new_endpoint_is_not_overloaded():
    """Its responses take five times as long as they should, and it does not say so."""
    load = Load(joins=5.0, rate=300.0, own_tokens=3000, stated=lambda *_: 1.0)
    slow = dataclasses.replace(load, pace=lambda engine, now: 5.0 if engine == 19 else 1.0)
    play = Play(slow).run()
    held = [held for _, held, _ in of_newcomer(play)]
    assert 0 < max(held) <= 2 * INITIAL_WINDOW
    assert play.late(5.0)[0] <= 0.01 * play.late(5.0)[1]


@pytest.mark.parametrize(
    ("failures", "status", "begins"),
    [(0, 200, False), (1, 200, False), (2, 200, True), (2, 421, False)],
)
def test_recovered_endpoint_begins_a_window_that_other_routers_take_over(failures, status, begins):
    first, second = Play(Load(routers=2, seconds=1.0)).run().nodes
    endpoint = first.directory.endpoints[3]
    for _ in range(failures):
        endpoint.pause(1.0)
    info = dataclasses.replace(first.latest_info, pace=None, status=status)
    first.paces.record_head(endpoint, info, 2.0)
    assert (endpoint.active_slow_start is not None) is begins
    updates = first.paces.take(2.0, 16)
    second.paces.apply("10.1.0.0", [], updates.get("windows", []), 2.1)
    other = second.directory.by_hash[name_hash(endpoint.name)]
    assert (other.active_slow_start is not None) is begins


def test_reports_of_another_incarnation_or_with_absurd_counts_are_ignored():
    (node,) = Play(Load(routers=1, seconds=1.0)).run().nodes
    endpoint = node.directory.endpoints[0]
    node.paces.begin_window(endpoint, "started", 1.0)
    (update,) = node.paces.take(1.0, 16)["windows"]
    endpoint.slow_start = None
    for change in ({"started_ms": 5}, {"base": -1}, {"in_time": 10**9}):
        fields = {name: getattr(update, name) for name in update.__struct_fields__} | change
        node.paces.apply("10.1.0.9", [], [type(update)(**fields)], 1.0)
        assert endpoint.slow_start is None
