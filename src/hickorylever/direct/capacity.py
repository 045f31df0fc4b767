"""Estimate of whether an endpoint can start another request soon.

Requests that an overloaded endpoint can't start soon stay queued at the router, where they are
ordered by priority and can still go to another endpoint.
"""

import msgspec

from .records import EndpointEntry, Engine

PREFILL_TOKENS_PER_SECOND = 40_000.0  # Lower bound for an engine.
SLOT_SECONDS = 2.0  # Time for which a request occupies a slot of an engine.
MAX_BACKLOG_SECONDS = 0.4  # Work queued at an engine, up to which it has capacity.
# Half of what counts as unread is read already, so engines would become idle at half of this.
MIN_BACKLOG_SECONDS = 0.3
PLAIN_REQUESTS_PER_SLOT = 2.0
PLAIN_OBJECTIVE_RATIO = 0.8  # Share of the objective in which a plain response is expected.


class Estimate(msgspec.Struct, frozen=True, gc=False):
    """What work takes at an endpoint; the defaults hold where nothing has been estimated.

    All times but the pace are those of a machine that works as usual.

    :param pace: how long work takes now, as a multiple of the usual time.
    :param tokens_per_second: prompt tokens that an engine reads.
    :param first_delay: seconds until the first event besides the time for reading the prompt.
    :param slot_seconds: time for which a request occupies a slot of an engine.
    :param plain_seconds: service time of a plain request; 0 when unknown.
    :param known: whether the service's endpoints state their pace.
    :param token_cost: time to read a prompt token now, relative to that at the default rate.
    """

    pace: float = 1.0
    tokens_per_second: float = PREFILL_TOKENS_PER_SECOND
    first_delay: float = 0.0
    slot_seconds: float = SLOT_SECONDS
    plain_seconds: float = 0.0
    known: bool = False
    token_cost: float = 1.0

    def first_event_seconds(self, tokens: float) -> float:
        """Return the expected time to the first event of a request that runs at once.

        :param tokens: prompt tokens to read before it.
        """
        return self.pace * (self.first_delay + tokens / self.tokens_per_second)


DEFAULT_ESTIMATE = Estimate()


def slot_count(entry: EndpointEntry, engine: Engine | None) -> int:
    """Return the requests that an endpoint can run concurrently; 0 when unknown.

    :param engine: capacity of the service's engines; None for a plain service.
    """
    return entry.slots or (engine.slots if engine else 0)


def backlog_seconds(
    slots: int, requests: int, prefill: float, estimate: Estimate = DEFAULT_ESTIMATE
) -> float:
    """Return the seconds until an engine can start a new request.

    :param requests: in flight there.
    :param prefill: prompt tokens that it has yet to read.
    """
    queued = max(0, requests - slots)
    return estimate.pace * (
        prefill / estimate.tokens_per_second + queued * estimate.slot_seconds / max(1, slots)
    )


def max_backlog_seconds(estimate: Estimate, objective: float | None, tokens: float) -> float:
    """Return the work queued at an engine, in seconds, up to which it has capacity.

    :param objective: seconds within which the first event is on time, or None.
    :param tokens: prompt tokens of the request that the engine would have to read.
    """
    if objective is None:
        return MAX_BACKLOG_SECONDS
    left = objective - estimate.first_event_seconds(tokens)
    return min(MAX_BACKLOG_SECONDS, max(MIN_BACKLOG_SECONDS, left))


def plain_requests_per_slot(estimate: Estimate, objective: float | None) -> float:
    """Return the requests in flight for each slot up to which a plain endpoint has capacity.

    :param objective: seconds within which the response is on time, or None.
    """
    seconds = estimate.pace * estimate.plain_seconds
    if objective is None or not seconds:
        return PLAIN_REQUESTS_PER_SLOT
    return min(PLAIN_REQUESTS_PER_SLOT, max(1.0, PLAIN_OBJECTIVE_RATIO * objective / seconds))


def has_capacity(
    entry: EndpointEntry,
    engine: Engine | None,
    requests: int,
    prefill: float,
    estimate: Estimate = DEFAULT_ESTIMATE,
    objective: float | None = None,
    tokens: float = 0.0,
) -> bool:
    """Return whether an endpoint can start one more request soon.

    :param engine: None for a plain endpoint, which always has capacity if its slots are unknown.
    :param requests: in flight there.
    :param prefill: prompt tokens that it has yet to read.
    :param objective: seconds within which the response, or its first event, is on time.
    :param tokens: prompt tokens of the request that the endpoint would have to read.
    """
    slots = slot_count(entry, engine)
    if engine is None:
        return slots == 0 or requests < plain_requests_per_slot(estimate, objective) * slots
    if requests >= slots:
        return False
    if not estimate.known:
        return backlog_seconds(slots, requests, prefill) <= MAX_BACKLOG_SECONDS
    backlog = backlog_seconds(slots, requests, prefill, estimate)
    return backlog <= max_backlog_seconds(estimate, objective, tokens)
