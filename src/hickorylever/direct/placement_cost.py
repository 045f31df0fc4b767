"""Costs by which endpoints are compared for a request.

The cost of a prompt is the expected time until its first event, and preferences, in prefill tokens
at `capacity.PREFILL_TOKENS_PER_SECOND`. That of a plain request is in requests in flight.
"""

from .candidates import Candidate, PlacementRequest, is_remote
from .slow_start import start_discount

RUNNING_COST_TOKENS = 40.0  # For each running request, which slows down a new one.
RANK_COST_TOKENS = 300.0  # For each step down the rendezvous order.
REMOTE_COST_TOKENS = 150.0  # For an endpoint in another failure domain.
WARMUP_COST_TOKENS = 4000.0  # For an endpoint that is still warming up.
FAILURE_COST_TOKENS = 60000.0  # For an endpoint whose responses are all failures.
MAX_RANK_STEPS = 4  # Further steps down the rendezvous order cost no more.
REMOTE_COST_REQUESTS = 3.0  # For a plain endpoint in another failure domain.
FAILURE_COST_REQUESTS = 40.0  # For a plain endpoint whose responses are all failures.
# For an endpoint that has requests of this router in flight and sends it no data.
SILENCE_COST_TOKENS = 40000.0
SILENCE_COST_REQUESTS = 20.0  # For such a plain endpoint.

# What makes up the costs, in the order in which the functions below return it.
PROMPT_COSTS = (
    "unread prompt",
    "queued prompts",
    "running",
    "rank",
    "other domain",
    "warm-up",
    "failures",
    "silence",
    "slow start",
)
PLAIN_COSTS = ("running", "other domain", "failures", "silence")


def prompt_costs(
    candidate: Candidate, uncached: float, request: PlacementRequest, mean: float
) -> tuple[float, ...]:
    """Return the parts of the cost of a prompt, named by `PROMPT_COSTS`.

    Queued prompts count by the expected time until they are read. Reading or copying this prompt
    also takes time from the requests that run there, so it counts in full at any usual rate.

    :param uncached: prompt tokens that the candidate has to prefill.
    :param mean: mean requests in flight of the candidates.
    """
    endpoint = candidate.endpoint
    estimate = candidate.estimate
    now = request.now
    unread = uncached * estimate.pace
    start = endpoint.slow_start
    discount = 0.0
    if start is not None and start.active:
        discount = start_discount(start.window, candidate.requests, mean, unread)
    return (
        unread,
        candidate.prefill * estimate.token_cost,
        RUNNING_COST_TOKENS * candidate.requests * estimate.pace,
        RANK_COST_TOKENS * min(candidate.rank, MAX_RANK_STEPS),
        REMOTE_COST_TOKENS * is_remote(endpoint, request),
        WARMUP_COST_TOKENS * (now < endpoint.warm_at),
        FAILURE_COST_TOKENS * endpoint.failure_rate(now),
        SILENCE_COST_TOKENS * endpoint.silent(now),
        -discount,
    )


def plain_costs(candidate: Candidate, request: PlacementRequest) -> tuple[float, ...]:
    """Return the parts of the cost of a plain request, named by `PLAIN_COSTS`.

    An idle endpoint with the usual pace costs nothing.
    """
    endpoint = candidate.endpoint
    return (
        (candidate.requests + 1) * candidate.estimate.pace - 1,
        REMOTE_COST_REQUESTS * is_remote(endpoint, request),
        FAILURE_COST_REQUESTS * endpoint.failure_rate(request.now),
        SILENCE_COST_REQUESTS * endpoint.silent(request.now),
    )
