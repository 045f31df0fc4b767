"""Endpoint selection for one request.

Prompts with long shared prefixes go to an endpoint that has the prefix cached, which saves its
prefill. During bursts, the endpoint with the least prefill queued goes first. Endpoints that fail
or stop responding are avoided although the store still lists them as ready.
"""

from dataclasses import dataclass

from .candidates import Candidate, PlacementRequest, is_usable, mean_requests, of_version
from .endpoints import Endpoint
from .load_bound import within_load_bound
from .placement_cost import plain_costs, prompt_costs
from .pool import Pool

COPY_COST_RATIO = 0.3  # Cost of copying a cached token, relative to prefilling it.


@dataclass(frozen=True, slots=True)
class Choice:
    """Selected endpoint.

    :param uncached: prompt tokens that the endpoint has to prefill, with copied tokens weighted.
    :param source: endpoint with a longer cached prefix, to copy it from.
    :param rank: position of the endpoint in the rendezvous order.
    :param cost: expected time until the first event, and preferences, in prefill tokens at
        `capacity.PREFILL_TOKENS_PER_SECOND`.
    :param available: whether the endpoint can start the request soon.
    :param held: whether the endpoint is cold and its limit permits no request of this router now;
        it is chosen only if that is so for all.
    """

    endpoint: Endpoint
    uncached: float = 0.0
    source: Endpoint | None = None
    rank: int = 0
    cost: float = 0.0
    available: bool = True
    held: bool = False


@dataclass(frozen=True, slots=True)
class CopySources:
    """The two reachable endpoints of a version with the longest cached prefixes of a prompt.

    An endpoint does not copy from itself, which is why there is a second one.

    :param best_tokens: length of the prefix that `best` has cached.
    :param second_tokens: the same for `second`.
    """

    best: Endpoint | None = None
    best_tokens: int = 0
    second: Endpoint | None = None
    second_tokens: int = 0

    def for_candidate(self, candidate: Candidate) -> tuple[Endpoint | None, int]:
        """Return the endpoint to copy from and the tokens to copy, or None and 0."""
        if candidate.endpoint is self.best:
            source, tokens = self.second, self.second_tokens
        else:
            source, tokens = self.best, self.best_tokens
        if source is None or tokens <= candidate.cached_tokens:
            return None, 0
        return source, tokens - candidate.cached_tokens

    def with_endpoint(self, endpoint: Endpoint, tokens: int) -> "CopySources":
        """Return the sources with one more endpoint considered.

        :param tokens: length of the prefix that it has cached.
        """
        if tokens > self.best_tokens:
            return CopySources(endpoint, tokens, self.best, self.best_tokens)
        if tokens > self.second_tokens:
            return CopySources(self.best, self.best_tokens, endpoint, tokens)
        return self


NO_SOURCES = CopySources()


def place(pool: Pool, request: PlacementRequest) -> Choice | None:
    """Return the best endpoint for a request, or None if no endpoint is usable."""
    if request.engine is not None and request.parts:
        return place_prompt(pool, request)
    return place_plain(pool, request)


def place_plain(pool: Pool, request: PlacementRequest) -> Choice | None:
    """Return the endpoint with the fewest requests, weighted by locality and health."""
    candidates = [
        Candidate.of(endpoint, request.now) for endpoint in pool if is_usable(endpoint, request)
    ]
    if not of_version(candidates, request):
        return None
    allowed, available = within_load_bound(candidates, request)
    best = min(
        allowed, key=lambda entry: (sum(plain_costs(entry, request)), entry.endpoint.name)
    ).endpoint
    return Choice(best, available=available, held=best.held(request.now))


def place_prompt(pool: Pool, request: PlacementRequest) -> Choice | None:
    """Return the engine that can finish the prefill of a prompt first."""
    order = pool.ranked(request.parts)
    cached_tokens = [
        endpoint.prompt_cache.cached_prefix_tokens(request.parts) for endpoint in order
    ]
    candidates = [
        Candidate.of(endpoint, request.now, cached_tokens[rank], rank)
        for rank, endpoint in enumerate(order)
        if is_usable(endpoint, request)
    ]
    if not of_version(candidates, request):
        return None
    sources = copy_sources(order, cached_tokens, request.now)
    allowed, available = within_load_bound(candidates, request)
    total = request.prompt_length
    mean = mean_requests(candidates)
    cost, _, best = min(
        (
            sum(
                prompt_costs(candidate, uncached_tokens(candidate, sources, total), request, mean)
            ),
            n,
            candidate,
        )
        for n, candidate in enumerate(allowed)
    )
    return Choice(
        best.endpoint,
        uncached_tokens(best, sources, total),
        source_for(best, sources)[0],
        best.rank,
        cost,
        available,
        best.endpoint.held(request.now),
    )


def copy_sources(
    order: list[Endpoint], cached_tokens: list[int], now: float
) -> dict[str, CopySources]:
    """Return the two reachable endpoints with the longest cached prefixes, by version.

    Endpoints copy only from others of their own software version.

    :param cached_tokens: length of the prefix that each endpoint has cached.
    """
    sources: dict[str, CopySources] = {}
    for endpoint, tokens in zip(order, cached_tokens, strict=True):
        if not tokens or endpoint.evacuated or now < endpoint.paused_until:
            continue
        if endpoint.is_cold(now):
            continue
        version = endpoint.entry.version
        sources[version] = sources.get(version, NO_SOURCES).with_endpoint(endpoint, tokens)
    return sources


def source_for(
    candidate: Candidate, sources: dict[str, CopySources]
) -> tuple[Endpoint | None, int]:
    """Return the endpoint for a candidate to copy from and the tokens to copy, or None and 0."""
    return sources.get(candidate.endpoint.entry.version, NO_SOURCES).for_candidate(candidate)


def uncached_tokens(candidate: Candidate, sources: dict[str, CopySources], total: int) -> float:
    """Return the prompt tokens that a candidate has to prefill, with copied tokens weighted.

    :param total: length of the prompt.
    """
    copied = source_for(candidate, sources)[1]
    return total - candidate.cached_tokens - copied * (1.0 - COPY_COST_RATIO)
