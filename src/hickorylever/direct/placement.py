"""Endpoint selection for one request.

Prompts with long shared prefixes go to an endpoint that has the prefix cached, which saves its
prefill. During bursts, the endpoint with the least prefill queued goes first. Endpoints that fail
or stop responding are avoided although the store still lists them as ready.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from heapq import nlargest

import xxhash

from .capacity import has_capacity
from .endpoints import Endpoint
from .records import Engine, PromptPart

COPY_COST_RATIO = 0.3  # Cost of copying a cached token, relative to prefilling it.
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
BOUND_SLACK_REQUESTS = 2
BOUND_EXCESS_RATIO = 0.4  # Share of the allowed excess in use, as peers' loads arrive late.


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request to place and the limits that apply.

    :param now: monotonic seconds.
    :param load_multiple: limit on the requests at an endpoint, as a multiple of the mean of the
        candidates.
    :param engine: properties of the service's engines; None for a plain service.
    :param parts: parts of the prompt; empty for a plain service.
    :param failure_domain: failure domain of this router.
    :param avoid: names of endpoints that have been tried.
    """

    now: float
    failure_domain: str
    load_multiple: float
    engine: Engine | None = None
    parts: Sequence[PromptPart] = ()
    prompt_tokens: int = 0
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Choice:
    """Selected endpoint.

    :param uncached: prompt tokens that the endpoint has to prefill, with copied tokens weighted.
    :param source: endpoint with a longer cached prefix, to copy it from.
    :param rank: position of the endpoint in the rendezvous order.
    :param cost: cost of the choice in prefill tokens.
    :param available: whether the endpoint can start the request soon.
    """

    endpoint: Endpoint
    uncached: float = 0.0
    source: Endpoint | None = None
    rank: int = 0
    cost: float = 0.0
    available: bool = True


def shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts that other requests may share: all but the last one."""
    return parts[:-1] or parts


def rendezvous_order(pool: Iterable[Endpoint], parts: Sequence[PromptPart]) -> list[Endpoint]:
    """Return a pool ordered by rendezvous hashing of a prompt's shared prefix.

    All routers compute the same order without communication.
    """
    key = shared_parts(parts)[-1].id if parts else ""

    def score(endpoint: Endpoint) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{endpoint.name}".encode())

    return sorted(pool, key=score, reverse=True)


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with the properties that the selection compares.

    :param requests: requests in flight there from all known routers.
    :param prefill: prompt tokens that it has yet to read.
    :param cached_tokens: tokens of the prompt's prefix that it has cached.
    :param available: whether it can start one more request soon.
    :param rank: its position in the rendezvous order.
    """

    endpoint: Endpoint
    requests: int
    prefill: float
    available: bool
    cached_tokens: int = 0
    rank: int = 0


def make_candidate(
    endpoint: Endpoint, request: PlacementRequest, cached_tokens: int = 0, rank: int = 0
) -> Candidate:
    """Return an endpoint's current load as a candidate."""
    requests, prefill = endpoint.load()
    available = has_capacity(endpoint.entry, request.engine, requests, prefill)
    return Candidate(endpoint, requests, prefill, available, cached_tokens, rank)


def within_load_bound(candidates: list[Candidate], load_multiple: float) -> list[Candidate]:
    """Return the candidates that can take one more request within the bound, or all if none can.

    The bound is a multiple of the candidates' mean, of whose excess over 1 only the share
    `BOUND_EXCESS_RATIO` is used, plus `BOUND_SLACK_REQUESTS`. Of the returned candidates, only
    those with capacity are kept if there are any.
    """
    mean = sum(candidate.requests for candidate in candidates) / max(1, len(candidates))
    limit = (1.0 + BOUND_EXCESS_RATIO * (load_multiple - 1.0)) * mean + BOUND_SLACK_REQUESTS
    allowed = [entry for entry in candidates if entry.requests + 1 <= limit] or candidates
    return [entry for entry in allowed if entry.available] or allowed


def place(pool: list[Endpoint], request: PlacementRequest) -> Choice | None:
    """Return the best endpoint for a request, or None if no endpoint is usable."""
    usable = [
        endpoint
        for endpoint in pool
        if endpoint.usable(request.now) and endpoint.name not in request.avoid
    ]
    if not usable:
        return None
    if request.engine is not None and request.parts:
        return place_prompt(pool, usable, request)
    return place_plain(usable, request)


def place_plain(usable: list[Endpoint], request: PlacementRequest) -> Choice:
    """Return the endpoint with the fewest requests, weighted by locality and health."""
    candidates = [make_candidate(endpoint, request) for endpoint in usable]

    def cost(candidate: Candidate) -> tuple[float, str]:
        endpoint = candidate.endpoint
        remote = endpoint.entry.failure_domain != request.failure_domain
        total = (
            candidate.requests
            + REMOTE_COST_REQUESTS * remote
            + FAILURE_COST_REQUESTS * endpoint.failure_rate(request.now)
            + SILENCE_COST_REQUESTS * endpoint.silent(request.now)
        )
        return total, endpoint.name

    best = min(within_load_bound(candidates, request.load_multiple), key=cost)
    return Choice(best.endpoint, available=best.available)


def place_prompt(
    pool: list[Endpoint], usable: list[Endpoint], request: PlacementRequest
) -> Choice:
    """Return the engine that can finish the prefill of a prompt first."""
    order = rendezvous_order(pool, request.parts)
    cached_tokens = {
        endpoint.name: endpoint.prompt_cache.cached_prefix_tokens(request.parts)
        for endpoint in order
    }
    sources = copy_sources(order, cached_tokens, request.now)
    names = {endpoint.name for endpoint in usable}
    candidates = [
        make_candidate(endpoint, request, cached_tokens[endpoint.name], rank)
        for rank, endpoint in enumerate(order)
        if endpoint.name in names
    ]
    choices = [
        with_source(candidate, sources, cached_tokens, request)
        for candidate in within_load_bound(candidates, request.load_multiple)
    ]
    return min(choices, key=lambda choice: choice.cost)


def copy_sources(
    order: list[Endpoint], cached_tokens: dict[str, int], now: float
) -> list[Endpoint]:
    """Return the two reachable endpoints with the longest cached prefixes of a prompt."""
    reachable = [endpoint for endpoint in order if now >= endpoint.paused_until]
    return nlargest(2, reachable, key=lambda endpoint: cached_tokens[endpoint.name])


def with_source(
    candidate: Candidate,
    sources: list[Endpoint],
    cached_tokens: dict[str, int],
    request: PlacementRequest,
) -> Choice:
    """Return the choice of a candidate, including the endpoint to copy cached tokens from."""
    endpoint = candidate.endpoint
    others = [other for other in sources if other is not endpoint]
    source = (
        others[0] if others and cached_tokens[others[0].name] > candidate.cached_tokens else None
    )
    copied = cached_tokens[source.name] - candidate.cached_tokens if source else 0
    total = max(request.prompt_tokens, sum(part.tokens for part in request.parts))
    uncached = total - candidate.cached_tokens - copied * (1.0 - COPY_COST_RATIO)
    cost = uncached + base_cost(candidate, request)
    return Choice(endpoint, uncached, source, candidate.rank, cost, candidate.available)


def base_cost(candidate: Candidate, request: PlacementRequest) -> float:
    """Return the prompt-independent cost of a candidate, in prefill tokens."""
    endpoint = candidate.endpoint
    remote = endpoint.entry.failure_domain != request.failure_domain
    return (
        candidate.prefill
        + RUNNING_COST_TOKENS * candidate.requests
        + RANK_COST_TOKENS * min(candidate.rank, MAX_RANK_STEPS)
        + REMOTE_COST_TOKENS * remote
        + WARMUP_COST_TOKENS * (request.now < endpoint.warm_at)
        + FAILURE_COST_TOKENS * endpoint.failure_rate(request.now)
        + SILENCE_COST_TOKENS * endpoint.silent(request.now)
    )
