"""Response timeouts of an attempt.

A short timeout lets another endpoint still meet the objective when one stops responding. When all
endpoints of a pool are overloaded, abandoning an attempt only adds load, so that an attempt times
out only while another endpoint can take the request.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .records import Engine, Route
from .room import backlog_time

PLAIN_OBJECTIVES = 4.0  # Multiple of the objective after which a plain endpoint times out.
STREAM_OBJECTIVES = 0.6  # For engines; below 1, so that a retry can still meet the objective.
PAUSE_GAPS = 3.0  # Multiple of the maximum gap after which a stream is resumed elsewhere.
MIN_FIRST_BYTE = 0.6  # Lower limit of the timeout of a plain endpoint, in seconds.

# Callers are assumed to leave a stream that sends no event for the longest of these three times.
CALLER_SECONDS = 2.0
CALLER_OBJECTIVES = 4.0  # Multiple of the objective.
CALLER_GAPS = 8.0  # Multiple of the maximum gap.

CHECK_INTERVAL = 0.1  # Seconds between checks whether a late request can be retried elsewhere.


@dataclass(frozen=True, slots=True)
class Patience:
    """Timeouts of an attempt.

    :param first: monotonic seconds by which the response must begin.
    :param pause: seconds allowed between chunks of a stream; None for no limit.
    :param movable: returns whether the request can be retried on another endpoint now.
    """

    first: float
    pause: float | None
    movable: Callable[[], bool]


def first_answer_time(route: Route, engine: Engine | None, requests: int, prefill: float) -> float:
    """Return the seconds within which a response must begin.

    :param engine: None for a plain endpoint.
    :param requests: in flight at the endpoint, including this one.
    :param prefill: prompt tokens that the endpoint has yet to read, including this request's.
    """
    if engine is None:
        return max(MIN_FIRST_BYTE, PLAIN_OBJECTIVES * route.objective)
    return STREAM_OBJECTIVES * route.objective + backlog_time(engine.slots, requests, prefill)


def longest_pause(route: Route) -> float | None:
    """Return the idle timeout of a stream in seconds, or None if the route sets no maximum gap."""
    return None if route.max_gap is None else PAUSE_GAPS * route.max_gap


def caller_patience(route: Route) -> float:
    """Return the seconds without an event after which a caller is assumed to leave a stream."""
    by_gap = CALLER_GAPS * (route.max_gap or 0.0)
    return max(CALLER_SECONDS, CALLER_OBJECTIVES * route.objective, by_gap)
