import pytest

from hickorylever.direct import timeouts
from hickorylever.direct.records import Engine, Route, RouteKind

ENGINE = Engine(slots=64, memory=500_000, event_tokens=5)


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
def test_first_byte_timeout_grows_with_load(engine, requests, prefill, seconds):
    timeout = timeouts.first_byte_timeout(route(), engine, requests, prefill)
    assert timeout == pytest.approx(seconds)


def test_plain_endpoints_have_minimum_timeout():
    timeout = timeouts.first_byte_timeout(route(objective=0.01), None, 1, 0)
    assert timeout == timeouts.MIN_FIRST_BYTE_TIMEOUT_SECONDS


@pytest.mark.parametrize(("max_gap", "idle_timeout"), [(0.4, 1.2), (None, None)])
def test_stream_idle_timeout(max_gap, idle_timeout):
    assert timeouts.stream_idle_timeout(route(max_gap=max_gap)) == (
        idle_timeout and pytest.approx(idle_timeout)
    )
