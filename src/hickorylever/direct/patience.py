"""How long an attempt waits for an endpoint that sends nothing.

Answers two loads: an endpoint that fell silent, where another one can still be on time; and a pool
with more work than it can do at once, where an attempt that is given up only adds work.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .records import Engine, Route
from .room import backlog_time

PLAIN_OBJECTIVES = 4.0  # Objectives after which a silent plain endpoint is given up.
STREAM_OBJECTIVES = 0.6  # The same for engines, so that the next one can still be on time.
PAUSE_GAPS = 3.0  # Longest pauses on time, after which a stream is resumed elsewhere.
MIN_FIRST_BYTE = 0.6  # Seconds.
CALLER_SECONDS = 2.0  # Without an event, after which callers leave a stream at the soonest.
CALLER_OBJECTIVES = 4.0  # The same in objectives; the longest of the three counts.
CALLER_GAPS = 8.0  # The same in longest pauses on time.
CHECK_INTERVAL = 0.1  # Seconds until an attempt that could not go elsewhere is looked at again.


@dataclass(frozen=True, slots=True)
class Patience:
    """What an attempt waits for.

    :param first: monotonic time by which an answer should have begun.
    :param pause: seconds that a stream may pause, or None for no limit.
    :param movable: tells whether the request could go on at another endpoint now.
    """

    first: float
    pause: float | None
    movable: Callable[[], bool]


def first_answer_time(route: Route, engine: Engine | None, requests: int, prefill: float) -> float:
    """Return the seconds after which an answer should have begun.

    :param requests: under way at the endpoint, this one included.
    :param prefill: prompt tokens that the endpoint has still to read, this one's included.
    """
    if engine is None:
        return max(MIN_FIRST_BYTE, PLAIN_OBJECTIVES * route.latency_objective)
    return STREAM_OBJECTIVES * route.latency_objective + backlog_time(
        engine.slots, requests, prefill
    )


def longest_pause(route: Route) -> float | None:
    """Return the pause after which a stream is resumed elsewhere, if it may be."""
    return None if route.max_gap is None else PAUSE_GAPS * route.max_gap


def caller_patience(route: Route) -> float:
    """Return the seconds without an event after which callers leave a stream."""
    by_gap = CALLER_GAPS * (route.max_gap or 0.0)
    return max(CALLER_SECONDS, CALLER_OBJECTIVES * route.latency_objective, by_gap)
