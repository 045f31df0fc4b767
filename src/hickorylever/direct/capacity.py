"""Estimate of whether an endpoint can start another request soon.

Requests that an overloaded endpoint can't start soon stay queued at the router, where they are
ordered by priority and can still go to another endpoint.
"""

from .records import EndpointEntry, Engine

PREFILL_TOKENS_PER_SECOND = 40_000.0  # Lower bound for an engine.
SLOT_SECONDS = 2.0  # Time for which a request occupies a slot of an engine.
MAX_BACKLOG_SECONDS = 0.4  # Work queued at an engine, up to which it has capacity.
PLAIN_REQUESTS_PER_SLOT = 2.0


def backlog_seconds(slots: int, requests: int, prefill: float) -> float:
    """Return the seconds until an engine can start a new request.

    :param requests: in flight there.
    :param prefill: prompt tokens that it has yet to read.
    """
    queued = max(0, requests - slots)
    return prefill / PREFILL_TOKENS_PER_SECOND + queued * SLOT_SECONDS / max(1, slots)


def has_capacity(
    entry: EndpointEntry, engine: Engine | None, requests: int, prefill: float
) -> bool:
    """Return whether an endpoint can start one more request soon.

    :param engine: None for a plain endpoint, which always has capacity if its slots are unknown.
    :param requests: in flight there.
    :param prefill: prompt tokens that it has yet to read.
    """
    slots = entry.slots or (engine.slots if engine else 0)
    if engine is None:
        return slots == 0 or requests < PLAIN_REQUESTS_PER_SLOT * slots
    return requests < slots and backlog_seconds(slots, requests, prefill) <= MAX_BACKLOG_SECONDS
