"""Endpoint selection for one request.

Prompts with long shared prefixes go to an endpoint that has the prefix cached, which saves its
prefill. During bursts, the endpoint with the least prefill queued goes first. Endpoints that fail
or stop responding are avoided although the store still lists them as ready.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from .capacity import DEFAULT_ESTIMATE, Estimate, has_capacity
from .endpoints import Endpoint
from .pool import Pool
from .records import Engine, PromptPart
from .slow_start import MAX_STARTING_RATIO, start_discount

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
    :param version: software version that the endpoint must have, or None for any.
    :param objective: seconds within which the response, or its first event, is on time; None for
        no limit.
    """

    now: float
    failure_domain: str
    load_multiple: float
    engine: Engine | None = None
    parts: Sequence[PromptPart] = ()
    prompt_tokens: int = 0
    avoid: frozenset[str] = frozenset()
    version: str | None = None
    objective: float | None = None


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


class Candidate(msgspec.Struct, frozen=True, gc=False):
    """An endpoint with the properties that the selection compares.

    :param requests: requests in flight there from all known routers.
    :param prefill: prompt tokens that it has yet to read.
    :param cached_tokens: tokens of the prompt's prefix that it has cached.
    :param rank: its position in the rendezvous order.
    :param estimate: expected times of work there.
    """

    endpoint: Endpoint
    requests: int
    prefill: float
    cached_tokens: int = 0
    rank: int = 0
    estimate: Estimate = DEFAULT_ESTIMATE

    def available(self, request: PlacementRequest) -> bool:
        """Return whether it can start one more request soon."""
        return has_capacity(
            self.endpoint.entry,
            request.engine,
            self.requests,
            self.prefill,
            self.estimate,
            request.objective,
            request.prompt_tokens - self.cached_tokens,
        )

    def within_window(self) -> bool:
        """Return whether its slow-start window, if it has one, permits one more request."""
        start = self.endpoint.active_slow_start
        return start is None or start.permits(self.requests, self.endpoint.running)


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


def within_load_bound(
    candidates: list[Candidate], request: PlacementRequest
) -> tuple[list[Candidate], bool]:
    """Return the candidates that can take one more request within the bound, or all if none can.

    The bound is :func:`load_limit` of the candidates' mean. Candidates whose rate limit permits no
    request now are left out first. Those of other versions than the request's and cold ones that
    take no request now count only in the mean. Of the returned candidates, only those with
    capacity and within their slow-start windows are kept if there are any; the second value says
    whether that is so.
    """
    permitted = within_rate_limit(candidates, request)
    eligible = of_version(permitted, request)
    if not eligible:
        return of_version(candidates, request), False
    counted = permitted
    if len(permitted) < len(candidates):
        counted = within_rate_limit(candidates, request, include_cold_limits=False)
    mean = mean_requests(counted)
    limit = load_limit(mean, request.load_multiple)
    allowed = [entry for entry in eligible if entry.requests + 1 <= limit]
    if not allowed:
        if len(counted) > len(permitted) and not within_multiple(eligible, mean, request):
            return eligible, False
        allowed = eligible
    available = [entry for entry in allowed if entry.available(request)]
    if windows_apply(eligible):
        available, allowed = apply_windows(available, allowed, eligible, request)
    return (available, True) if available else (allowed, False)


def mean_requests(candidates: list[Candidate]) -> float:
    """Return the mean number of requests in flight."""
    return sum([candidate.requests for candidate in candidates]) / len(candidates)


def apply_windows(
    available: list[Candidate],
    allowed: list[Candidate],
    eligible: list[Candidate],
    request: PlacementRequest,
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the first two lists without candidates whose slow-start window is used up.

    They are returned unchanged if nothing would be available although endpoints beyond the load
    bound have capacity, since a window must not lead to refusals then.

    :param available: candidates within the load bound that have capacity.
    :param allowed: candidates within the load bound.
    :param eligible: candidates that can serve the request, also beyond the load bound.
    """
    within = [entry for entry in available if entry.within_window()]
    others = [entry for entry in eligible if entry.endpoint.active_slow_start is None]
    if not within and any(entry.available(request) for entry in others):
        return available, allowed
    return within, [entry for entry in allowed if entry.within_window()] or allowed


def load_limit(mean: float, load_multiple: float) -> float:
    """Return the number of requests that an endpoint may have in flight.

    It leaves a margin to the load multiple, of whose excess over 1 only `BOUND_EXCESS_RATIO` is
    used.

    :param mean: mean requests in flight of the candidates.
    """
    multiple = 1.0 + BOUND_EXCESS_RATIO * (load_multiple - 1.0)
    return multiple * mean + BOUND_SLACK_REQUESTS


def windows_apply(candidates: list[Candidate]) -> bool:
    """Return whether slow-start windows limit the choice.

    Where most endpoints are starting, the others could not take what the windows keep out.
    """
    windows = [candidate.endpoint.slow_start for candidate in candidates]
    if not any(windows):
        return False
    starting = sum([window is not None and window.active for window in windows])
    return 0 < starting <= MAX_STARTING_RATIO * len(candidates)


def within_multiple(candidates: list[Candidate], mean: float, request: PlacementRequest) -> bool:
    """Return whether one of the candidates can take a request within the whole load multiple.

    While others are held back as they are cold, the few that are warm must not take all requests.

    :param mean: mean requests in flight of the candidates, with those that are held back.
    """
    limit = request.load_multiple * mean + BOUND_SLACK_REQUESTS
    return any(candidate.requests + 1 <= limit for candidate in candidates)


def within_rate_limit(
    candidates: list[Candidate], request: PlacementRequest, include_cold_limits: bool = True
) -> list[Candidate]:
    """Return the candidates without a rate limit and those whose limit permits a request now.

    :param include_cold_limits: whether the limits of cold endpoints count as well.
    """
    return [
        candidate
        for candidate in candidates
        if ((limit := candidate.endpoint.rate_limit) is None or limit.permits(request.now))
        and not (include_cold_limits and candidate.endpoint.held(request.now))
    ]


def of_version(candidates: list[Candidate], request: PlacementRequest) -> list[Candidate]:
    """Return the candidates of the version that the request needs."""
    if request.version is None:
        return candidates
    return [entry for entry in candidates if entry.endpoint.entry.version == request.version]


def place(pool: Pool, request: PlacementRequest) -> Choice | None:
    """Return the best endpoint for a request, or None if no endpoint is usable."""
    if request.engine is not None and request.parts:
        return place_prompt(pool, request)
    return place_plain(pool, request)


def is_usable(endpoint: Endpoint, request: PlacementRequest) -> bool:
    """Return whether the request may be sent to an endpoint."""
    return endpoint.usable(request.now) and endpoint.entry.name not in request.avoid


def place_plain(pool: Pool, request: PlacementRequest) -> Choice | None:
    """Return the endpoint with the fewest requests, weighted by locality and health."""
    candidates = [
        Candidate(endpoint, *endpoint.load(), estimate=endpoint.estimate(request.now))
        for endpoint in pool
        if is_usable(endpoint, request)
    ]
    if not of_version(candidates, request):
        return None
    allowed, available = within_load_bound(candidates, request)
    best = min(
        allowed, key=lambda entry: (plain_cost(entry, request), entry.endpoint.name)
    ).endpoint
    return Choice(best, available=available, held=best.held(request.now))


def plain_cost(candidate: Candidate, request: PlacementRequest) -> float:
    """Return the cost of a plain endpoint in requests, 0 for an idle one with the usual pace."""
    endpoint = candidate.endpoint
    return (
        (candidate.requests + 1) * candidate.estimate.pace
        - 1
        + REMOTE_COST_REQUESTS * is_remote(endpoint, request)
        + FAILURE_COST_REQUESTS * endpoint.failure_rate(request.now)
        + SILENCE_COST_REQUESTS * endpoint.silent(request.now)
    )


def place_prompt(pool: Pool, request: PlacementRequest) -> Choice | None:
    """Return the engine that can finish the prefill of a prompt first."""
    order = pool.ranked(request.parts)
    cached_tokens = [
        endpoint.prompt_cache.cached_prefix_tokens(request.parts) for endpoint in order
    ]
    candidates = [
        Candidate(
            endpoint, *endpoint.load(), cached_tokens[rank], rank, endpoint.estimate(request.now)
        )
        for rank, endpoint in enumerate(order)
        if is_usable(endpoint, request)
    ]
    if not of_version(candidates, request):
        return None
    sources = copy_sources(order, cached_tokens, request.now)
    allowed, available = within_load_bound(candidates, request)
    total = max(request.prompt_tokens, sum(part.tokens for part in request.parts))
    mean = mean_requests(candidates)
    cost, _, best = min(
        (
            prompt_cost(candidate, uncached_tokens(candidate, sources, total), request, mean),
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


def prompt_cost(
    candidate: Candidate, uncached: float, request: PlacementRequest, mean: float
) -> float:
    """Return the cost of a candidate, in prefill tokens at the default rate.

    Queued prompts count by the expected time until they are read. Reading or copying this prompt
    also takes time from the requests that run there, so it counts in full at any usual rate.

    :param uncached: prompt tokens that the candidate has to prefill.
    :param mean: mean requests in flight of the candidates.
    """
    tokens = uncached * candidate.estimate.pace
    cost = tokens + base_cost(candidate, request)
    start = candidate.endpoint.slow_start
    if start is not None and start.active:
        cost -= start_discount(start.window, candidate.requests, mean, tokens)
    return cost


def base_cost(candidate: Candidate, request: PlacementRequest) -> float:
    """Return the prompt-independent cost of a candidate, in prefill tokens at the default rate."""
    endpoint = candidate.endpoint
    estimate = candidate.estimate
    remote = endpoint.entry.failure_domain != request.failure_domain
    return (
        candidate.prefill * estimate.token_cost
        + RUNNING_COST_TOKENS * candidate.requests * estimate.pace
        + RANK_COST_TOKENS * min(candidate.rank, MAX_RANK_STEPS)
        + REMOTE_COST_TOKENS * remote
        + WARMUP_COST_TOKENS * (request.now < endpoint.warm_at)
        + FAILURE_COST_TOKENS * endpoint.failure_rate(request.now)
        + SILENCE_COST_TOKENS * endpoint.silent(request.now)
    )


def base_cost_items(candidate: Candidate, request: PlacementRequest) -> dict[str, float]:
    """Return the items that :func:`base_cost` adds up, by name.

    The sum is computed separately, since it is needed for each candidate of each request.
    """
    endpoint = candidate.endpoint
    estimate = candidate.estimate
    return {
        "queued prompts": candidate.prefill * estimate.token_cost,
        "running": RUNNING_COST_TOKENS * candidate.requests * estimate.pace,
        "rank": RANK_COST_TOKENS * min(candidate.rank, MAX_RANK_STEPS),
        "other domain": REMOTE_COST_TOKENS * is_remote(endpoint, request),
        "warm-up": WARMUP_COST_TOKENS * (request.now < endpoint.warm_at),
        "failures": FAILURE_COST_TOKENS * endpoint.failure_rate(request.now),
        "silence": SILENCE_COST_TOKENS * endpoint.silent(request.now),
    }


def plain_cost_items(candidate: Candidate, request: PlacementRequest) -> dict[str, float]:
    """Return the items that :func:`plain_cost` adds up, by name."""
    endpoint = candidate.endpoint
    return {
        "running": (candidate.requests + 1) * candidate.estimate.pace - 1,
        "other domain": REMOTE_COST_REQUESTS * is_remote(endpoint, request),
        "failures": FAILURE_COST_REQUESTS * endpoint.failure_rate(request.now),
        "silence": SILENCE_COST_REQUESTS * endpoint.silent(request.now),
    }


def is_remote(endpoint: Endpoint, request: PlacementRequest) -> bool:
    """Return whether an endpoint is in another failure domain than the router."""
    return endpoint.entry.failure_domain != request.failure_domain
