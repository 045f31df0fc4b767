"""Response timeouts of an attempt.

A short timeout lets another endpoint still meet the objective when one stops responding. When all
endpoints of a pool are overloaded, abandoning an attempt only adds load, so that an attempt times
out only while another endpoint can take the request.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .capacity import DEFAULT_ESTIMATE, Estimate, backlog_seconds
from .records import Engine, Route

PLAIN_TIMEOUT_OBJECTIVES = 4.0  # Multiple of the objective after which a plain endpoint times out.
ENGINE_TIMEOUT_OBJECTIVES = 0.6  # Less than 1, so that a retry can still be on time.
STREAM_IDLE_GAPS = 3.0  # Multiple of the maximum gap after which a stream is resumed elsewhere.
ESTIMATE_MARGIN = 1.5  # Multiple of an estimated backlog, as the pace may change meanwhile.
MIN_FIRST_BYTE_TIMEOUT_SECONDS = 0.6  # Lower limit of the timeout of a plain endpoint.

# Callers don't leave a stream that sends no event before the longest of these three times.
CALLER_IDLE_SECONDS = 2.0
CALLER_IDLE_OBJECTIVES = 4.0  # Multiple of the objective.
CALLER_IDLE_GAPS = 8.0  # Multiple of the maximum gap.

RETRY_CHECK_INTERVAL_SECONDS = 0.1  # For late attempts that could not be retried elsewhere.


@dataclass(frozen=True, slots=True)
class ResponseTimeouts:
    """Timeouts of an attempt.

    :param respond_by: monotonic seconds by which the response should begin. After this time, the
        endpoint is abandoned as soon as `can_retry` returns true.
    :param idle_timeout: seconds allowed between chunks of a stream; None for no limit.
    :param can_retry: returns whether the request can be retried on another endpoint now.
    """

    respond_by: float
    idle_timeout: float | None
    can_retry: Callable[[], bool]


def first_byte_timeout(
    route: Route,
    engine: Engine | None,
    requests: int,
    prefill: float,
    estimate: Estimate = DEFAULT_ESTIMATE,
) -> float:
    """Return the seconds within which a response should begin.

    :param engine: None for a plain endpoint.
    :param requests: in flight at the endpoint, including this one.
    :param prefill: prompt tokens that the endpoint has yet to read, including this request's.
    :param estimate: what work takes at the endpoint.
    """
    if engine is None:
        return max(
            MIN_FIRST_BYTE_TIMEOUT_SECONDS, PLAIN_TIMEOUT_OBJECTIVES * route.latency_objective
        )
    backlog = backlog_seconds(engine.slots, requests, prefill, estimate)
    if estimate.known:
        backlog = ESTIMATE_MARGIN * (backlog + estimate.first_event_seconds(0.0))
    return ENGINE_TIMEOUT_OBJECTIVES * route.latency_objective + backlog


def stream_idle_timeout(route: Route) -> float | None:
    """Return the idle timeout of a stream in seconds, or None if the route sets no maximum gap."""
    return None if route.max_gap is None else STREAM_IDLE_GAPS * route.max_gap


def caller_idle_timeout(route: Route) -> float:
    """Return the seconds without an event before which no caller is assumed to leave a stream."""
    by_gap = CALLER_IDLE_GAPS * (route.max_gap or 0.0)
    return max(CALLER_IDLE_SECONDS, CALLER_IDLE_OBJECTIVES * route.latency_objective, by_gap)
