"""What to do with a request when no endpoint of its service is usable.

This answers the load that is left when all endpoints of a pool pause at once, such as after a
burst that made each of them turn requests away for some time. A request waits for the first one
that comes back if it can still be on time; others are refused at once and told when to come back.
"""

from collections.abc import Iterable, Sequence

from .endpoints import Endpoint

ON_TIME_RATIO = 0.7  # Share of the objective before which a request must be placed to meet it.
MIN_RETRY_AFTER_SECONDS = 0.25
MAX_RETRY_AFTER_SECONDS = 5.0
CALLER_WAIT_DIVISOR = 3  # Callers wait for at most a third of their remaining time.
EVACUATED_RETRY_AFTER_SECONDS = 2.0  # An evacuation lasts until an operator ends it.


def resumes_at(pool: Iterable[Endpoint]) -> float | None:
    """Return when the first endpoint of a pool is usable again, in monotonic seconds.

    None means that no endpoint of the pool takes new requests. The end of an evacuation is not
    known.
    """
    return min(
        (endpoint.usable_at for endpoint in pool if endpoint.accepting and not endpoint.evacuated),
        default=None,
    )


def wait_until(
    pool: Iterable[Endpoint], now: float, arrived_at: float, objective: float
) -> float | None:
    """Return until when a request waits for an endpoint, or None if it is refused at once.

    Only endpoints that said themselves when they want requests again are waited for.

    :param arrived_at: arrival of the request in monotonic seconds.
    :param objective: seconds within which the response is on time.
    """
    deferring = [
        endpoint for endpoint in pool if endpoint.deferred_until > max(now, endpoint.paused_until)
    ]
    until = resumes_at(deferring)
    if until is None or until > arrived_at + ON_TIME_RATIO * objective:
        return None
    return until


def retry_after(pool: Sequence[Endpoint], now: float, time_left: float) -> float:
    """Return the seconds after which a caller that is refused now should retry.

    :param time_left: seconds until the caller's deadline.
    """
    until = resumes_at(pool)
    if until is not None:
        return bounded_retry_after(until - now, time_left)
    evacuated = any(endpoint.accepting and endpoint.evacuated for endpoint in pool)
    return bounded_retry_after(EVACUATED_RETRY_AFTER_SECONDS if evacuated else 0.0, time_left)


def longest_retry_after(time_left: float) -> float:
    """Return the longest Retry-After in seconds that a caller honours.

    :param time_left: seconds until the caller's deadline.
    """
    return min(MAX_RETRY_AFTER_SECONDS, time_left / CALLER_WAIT_DIVISOR)


def bounded_retry_after(seconds: float, time_left: float) -> float:
    """Return a Retry-After time that callers honour.

    :param time_left: seconds until the caller's deadline.
    """
    return max(MIN_RETRY_AFTER_SECONDS, min(longest_retry_after(time_left), seconds))
