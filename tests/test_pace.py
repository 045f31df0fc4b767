"""The pace of endpoints: headers, estimates, and loads played on several routers and engines."""

import dataclasses
import random

import pytest
from direct_harness import WELL, run_scenario
from pace_play import ENGINE, Load, Play

from hickorylever.direct.capacity import DEFAULT_ESTIMATE, Estimate, has_capacity
from hickorylever.direct.pace import EndpointPace, FirstEventSample, LinearFit, ServiceRates
from hickorylever.direct.records import EndpointEntry, Route, RouteKind
from hickorylever.direct.timeouts import first_byte_timeout
from hickorylever.direct.wait_queue import QueueParameters, WaitQueue
from hickorylever.platform import names, read_answer

ENTRY = EndpointEntry("i-0", "engines", "10.0.0.1", 80, "a", 64)
RATE, DELAY = 85_200.0, 0.04


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,1,64", (3, 1, 64, None)),
        (b"3, 1, 64, 250", (3, 1, 64, 2.5)),
        (b"3,1,64,100", (3, 1, 64, 1.0)),
        (b"3,1,64,0", (3, 1, 64, None)),
        (b"3,1,64,-5", (None,) * 4),
        (b"3,1,64,1e9", (None,) * 4),
        (b"3,1,64,100,7", (None,) * 4),
        (b"3,1", (None,) * 4),
    ],
)
def test_load_header_has_three_or_four_figures(value, expected):
    """A fourth figure made the adapter drop the whole header."""
    info = read_answer(200, [(names.LOAD, value)])
    assert (info.running, info.waiting, info.slots, info.pace) == expected


@pytest.mark.parametrize("stated", [None, 1.0])
def test_nothing_changes_before_the_fourth_figure(stated):
    """Endpoints that don't state their pace have no estimates and no windows."""
    play = Play(Load(seconds=2.0, stated=lambda *_: stated)).run()
    (node, *_) = play.nodes
    endpoints = node.directory.endpoints
    assert bool(node.paces.services) is (stated is not None)
    assert all((entry.pace is not None) is (stated is not None) for entry in endpoints)
    if stated is None:
        assert all(entry.estimate(2.0) is DEFAULT_ESTIMATE for entry in endpoints)


def responses(pace, count, actual, stated, rng, step=0.5):
    """Let an endpoint answer, and return the time of the last response."""
    now = 0.0
    for _ in range(count):
        now += step
        tokens = rng.choice((100.0, 3000.0, 11_000.0))
        seconds = actual(now) * (DELAY + tokens / RATE) * rng.uniform(0.9, 1.1)
        pace.record_statement(stated(now), now)
        sample = FirstEventSample(now - seconds, tokens, tokens, False, seconds)
        pace.record_first_event(sample, now)
    return now


def trained_rates():
    rates = ServiceRates()
    responses(EndpointPace(rates), 200, lambda now: 1.0, lambda now: 1.0, random.Random(1))
    return rates


@pytest.mark.parametrize(
    ("actual", "stated", "expected"),
    [
        (1.0, 1.0, 1.0),
        (3.0, 1.0, 3.0),  # A slow machine that does not say so.
        (2.5, 2.5, 2.5),
        (1.0, 100.0, 1.0),  # A false figure.
        (1.0, 0.01, 1.0),
        (3.0, 10.0, 3.0),
    ],
)
def test_responses_correct_the_stated_pace(actual, stated, expected):
    pace = EndpointPace(trained_rates())
    now = responses(pace, 30, lambda _: actual, lambda _: stated, random.Random(2))
    assert pace.pace(now) == pytest.approx(expected, rel=0.35)
    assert pace.confidence(now) > 0.5
    assert pace.confidence(now + 600.0) < 0.01


def test_stated_pace_is_followed_at_once_and_fades():
    pace = EndpointPace(trained_rates())
    now = responses(pace, 20, lambda _: 1.0, lambda _: 1.0, random.Random(3))
    pace.record_statement(2.5, now + 0.1)
    assert pace.pace(now + 0.1) == pytest.approx(2.5, rel=0.2)
    assert pace.pace(now + 5.0) == pytest.approx(1.0, rel=0.2)


def test_rates_of_a_service_resist_outliers():
    """One request in ten takes ten times as long, such as one behind others not yet known."""
    rng = random.Random(4)
    fit = LinearFit(0.03, 1 / 40_000, 10_000.0)
    for _ in range(500):
        tokens = rng.choice((0.0, 500.0, 5000.0, 11_000.0))
        seconds = (DELAY + tokens / RATE) * (10 if rng.random() < 0.1 else rng.uniform(0.9, 1.1))
        fit.add(tokens, seconds)
    assert 1 / fit.slope == pytest.approx(RATE, rel=0.25)
    assert fit.intercept == pytest.approx(DELAY, rel=0.5)


def test_requests_without_an_event_count_only_if_they_waited_longer_than_expected():
    """Callers that leave soon must not make an endpoint seem fast, nor slow."""
    pace = EndpointPace(trained_rates())
    now = responses(pace, 20, lambda _: 1.0, lambda _: 1.0, random.Random(5))
    before = pace.pace(now)
    pace.record_no_event(FirstEventSample(now - 0.01, 3000.0, 3000.0, False, 0.1), now)
    assert pace.pace(now) == before
    pace.record_no_event(FirstEventSample(now - 2.0, 3000.0, 3000.0, False, 0.1), now)
    assert pace.pace(now) > before


@pytest.mark.parametrize(
    ("pace", "rate", "prefill", "tokens", "objective", "expected"),
    [
        (1.0, 125_000.0, 40_000.0, 0, 0.6, True),
        (2.5, 125_000.0, 40_000.0, 0, 0.6, False),
        (1.0, 41_400.0, 16_000.0, 0, 0.6, True),
        (1.0, 41_400.0, 16_000.0, 10_000, 0.6, False),  # Its own prompt would be late.
        (1.0, 41_400.0, 5_000.0, 80_000, 0.6, True),  # Late anywhere; an idle engine takes it.
        (1.0, 125_000.0, 60_000.0, 0, 5.0, False),
    ],
)
def test_capacity_is_expected_time_against_the_objective(
    pace, rate, prefill, tokens, objective, expected
):
    estimate = Estimate(pace, rate, DELAY, known=True)
    assert has_capacity(ENTRY, ENGINE, 10, prefill, estimate, objective, tokens) is expected


def test_timeouts_and_queue_follow_the_estimate():
    """A slow machine's requests are neither abandoned early nor placed too late."""
    route = Route("r", "h", "/", RouteKind.STREAM, 15.0, 0.6, 0, ())
    usual, slow = (Estimate(pace, RATE, DELAY, known=True) for pace in (1.0, 2.5))
    timeouts = [first_byte_timeout(route, ENGINE, 5, 30_000.0, rate) for rate in (usual, slow)]
    assert timeouts[1] > 2.5 * 30_000 / RATE > timeouts[0] / 2
    soon, late = (
        QueueParameters(0, 10.0, 0.6, 15.0, expected=rate.first_event_seconds(10_000.0))
        for rate in (usual, slow)
    )
    assert late.on_time_until < soon.on_time_until < 10.6
    queues = WaitQueue(), WaitQueue()
    pauses = []
    for queue, rate in zip(queues, (0.0, 50.0), strict=True):
        for _ in range(20):
            queue.enqueue(soon, 10.0)
        pauses.append(queue.retry_after(10.0, 60.0, expected_rate=rate))
    assert pauses[0] > 2 * pauses[1]


def machine(period, seed=0):
    """Return a pace that is 2.5 for 15 % of the time and changes every `period` seconds."""

    def pace(engine, now):
        rng = random.Random(1000 * int(now / period + engine * 0.37) + engine + seed)
        return 2.5 if rng.random() < 0.15 else 1.0

    return pace


def all_slow(engine, now):
    return 2.5 if 6.0 < now < 9.0 else 1.0


def one_slow(engine, now):
    return 3.0 if engine == 7 else 1.0


SEEDS = (1, 2, 3, 4)
PROMPTS = {"own_tokens": 6000}
LOADS = {
    "one slow machine in fifty": Load(
        engines=50, rate=700.0, pace=one_slow, stated=lambda *_: 1.0, **PROMPTS
    ),
    "all machines slow at once": Load(rate=300.0, pace=all_slow, **PROMPTS),
    "changes every 600 ms": Load(
        rate=160.0, tokens_per_second=41_400.0, pace=machine(0.6), **PROMPTS
    ),
    "changes every 100 ms": Load(
        rate=160.0, tokens_per_second=41_400.0, pace=machine(0.1), **PROMPTS
    ),
    "a false figure": Load(
        rate=300.0, stated=lambda engine, _, pace: 10.0 if engine == 7 else pace, **PROMPTS
    ),
}


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_no_more_requests_are_late_than_without_estimates(load):
    """Estimates that lag, or that a false figure leads astray, would be worse than constants."""
    constant = dataclasses.replace(load, stated=lambda *_: None)
    results = [Play(load, seed).run().late(3.0) for seed in SEEDS]
    late, asked = map(sum, zip(*results, strict=True))
    before = sum(Play(constant, seed).run().late(3.0)[0] for seed in SEEDS)
    print(f"late: {late} of {asked}, with constants {before}")
    assert late <= before


def test_four_figures_reach_the_estimates_of_a_router():
    """The header of a real response enables the service, and its requests are still answered."""

    async def scenario(harness):
        for origin in harness.origins:
            origin.load = b"1,0,64,250"
        for _ in range(4):
            assert (await harness.send_request("/stream/x")).status == 200
        (service,) = harness.node.peer_sync.paces.services
        paces = [entry.pace for entry in harness.node.directory.pool(service)]
        assert 2.5 in [pace.stated for pace in paces]

    run_scenario(scenario, WELL, WELL)
