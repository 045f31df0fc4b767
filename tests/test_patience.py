"""How long endpoints are waited for."""

import pytest

from hickorylever.direct import patience
from hickorylever.direct.records import Engine, Route, RouteKind

ENGINE = Engine(slots=64, memory_tokens=500_000, tokens_per_event=5)


def route(objective=0.5, max_gap=0.4):
    return Route("r", "h", "/", RouteKind.STREAM, 15.0, objective, 0, (), max_gap=max_gap)


@pytest.mark.parametrize(
    ("engine", "requests", "prefill", "seconds"),
    [
        (ENGINE, 1, 0, 0.3),
        (ENGINE, 64, 0, 0.3),
        (ENGINE, 1, 40_000, 1.3),
        (ENGINE, 96, 0, 1.3),
        (ENGINE, 96, 40_000, 2.3),
        (None, 90, 0, 2.0),
    ],
)
def test_a_busy_endpoint_is_waited_for_longer(engine, requests, prefill, seconds):
    due = patience.first_answer_time(route(), engine, requests, prefill)
    assert due == pytest.approx(seconds)


def test_plain_endpoints_have_a_least_time():
    due = patience.first_answer_time(route(objective=0.01), None, 1, 0)
    assert due == patience.MIN_FIRST_BYTE


@pytest.mark.parametrize(("max_gap", "pause"), [(0.4, 1.2), (None, None)])
def test_pauses(max_gap, pause):
    assert patience.longest_pause(route(max_gap=max_gap)) == (pause and pytest.approx(pause))
