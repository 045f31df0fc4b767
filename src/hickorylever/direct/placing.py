"""Endpoint selection for one request.

Prompts with long shared prefixes go to an endpoint that has the prefix cached, which saves its
prefill. During bursts, the endpoint with the least prefill queued goes first. Endpoints that fail
or stop responding are avoided although the store still lists them as ready.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from heapq import nlargest

import xxhash

from .endpoints import Endpoint
from .records import Engine, Part
from .room import has_room

FETCH_SHARE = 0.3  # Cost of copying a cached token, relative to prefilling it.
RUN_TOKENS = 40.0  # Delay that each running request causes to a new one, in prefill tokens.
RANK_TOKENS = 300.0  # For each step down the rendezvous order.
FAR_TOKENS = 150.0  # For an endpoint in another failure domain.
COLD_TOKENS = 4000.0  # For an endpoint that is still warming up.
FAILING_TOKENS = 60000.0  # For an endpoint whose responses are all failures.
RANKED = 4  # Further steps down the rendezvous order cost no more.
FAR_REQUESTS = 3.0  # For a plain endpoint in another failure domain.
FAILING_REQUESTS = 40.0  # For a plain endpoint whose responses are all failures.
SILENT_TOKENS = 40000.0  # For an endpoint with requests in flight that sends no data.
SILENT_REQUESTS = 20.0  # For such a plain endpoint.
BOUND_SLACK = 2
BOUND_PART = 0.4  # Share of the allowed excess in use, as peers' loads arrive late.


@dataclass(frozen=True, slots=True)
class Ask:
    """A request to place and the limits that apply.

    :param now: monotonic seconds.
    :param multiple: maximum load of an endpoint as a multiple of the service's mean.
    :param engine: properties of the service's engines; None for a plain service.
    :param parts: parts of the prompt; empty for a plain service.
    :param failure_domain: failure domain of this router.
    :param avoid: names of endpoints that have been tried.
    """

    now: float
    failure_domain: str
    multiple: float
    engine: Engine | None = None
    parts: Sequence[Part] = ()
    prompt_tokens: int = 0
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Choice:
    """Selected endpoint.

    :param uncached: prompt tokens that the endpoint has to prefill, with copied tokens weighted.
    :param source: endpoint with a longer cached prefix, to copy it from.
    :param rank: position of the endpoint in the rendezvous order.
    :param cost: cost of the choice in prefill tokens.
    :param room: whether the endpoint can start the request soon.
    """

    endpoint: Endpoint
    uncached: float = 0.0
    source: Endpoint | None = None
    rank: int = 0
    cost: float = 0.0
    room: bool = True


def shared(parts: Sequence[Part]) -> Sequence[Part]:
    """Return the parts that other requests may share: all but the last one."""
    return parts[:-1] or parts


def agreed_order(pool: Iterable[Endpoint], parts: Sequence[Part]) -> list[Endpoint]:
    """Return a pool ordered by rendezvous hashing of a prompt's shared prefix.

    All routers compute the same order without communication.
    """
    key = shared(parts)[-1].id if parts else ""

    def score(endpoint: Endpoint) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{endpoint.name}".encode())

    return sorted(pool, key=score, reverse=True)


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with the properties that the selection compares.

    :param requests: requests in flight there from all known routers.
    :param prefill: prompt tokens that it has yet to read.
    :param held: tokens of the prompt's prefix that it has cached.
    :param room: whether it can start one more request soon.
    :param rank: its position in the rendezvous order.
    """

    endpoint: Endpoint
    requests: int
    prefill: float
    room: bool
    held: int = 0
    rank: int = 0


def measure(endpoint: Endpoint, ask: Ask, held: int = 0, rank: int = 0) -> Candidate:
    """Return an endpoint's current load as a candidate."""
    requests, prefill = endpoint.load()
    room = has_room(endpoint.entry, ask.engine, requests, prefill)
    return Candidate(endpoint, requests, prefill, room, held, rank)


def within_bound(candidates: list[Candidate], multiple: float) -> list[Candidate]:
    """Return the candidates whose load is within a multiple of the mean, or all if there are none.

    Of these, those with capacity are returned if there are any.
    """
    mean = sum(candidate.requests for candidate in candidates) / max(1, len(candidates))
    limit = (1.0 + BOUND_PART * (multiple - 1.0)) * mean + BOUND_SLACK
    allowed = [entry for entry in candidates if entry.requests + 1 <= limit] or candidates
    return [entry for entry in allowed if entry.room] or allowed


def place(pool: list[Endpoint], ask: Ask) -> Choice | None:
    """Return the best endpoint for a request, or None if no endpoint is usable."""
    usable = [
        endpoint
        for endpoint in pool
        if endpoint.usable(ask.now) and endpoint.name not in ask.avoid
    ]
    if not usable:
        return None
    if ask.engine is not None and ask.parts:
        return place_prompt(pool, usable, ask)
    return place_plain(usable, ask)


def place_plain(usable: list[Endpoint], ask: Ask) -> Choice:
    """Return the endpoint with the fewest requests, weighted by locality and health."""
    candidates = [measure(endpoint, ask) for endpoint in usable]

    def cost(candidate: Candidate) -> tuple[float, str]:
        endpoint = candidate.endpoint
        far = endpoint.entry.failure_domain != ask.failure_domain
        total = (
            candidate.requests
            + FAR_REQUESTS * far
            + FAILING_REQUESTS * endpoint.failures(ask.now)
            + SILENT_REQUESTS * endpoint.silent(ask.now)
        )
        return total, endpoint.name

    best = min(within_bound(candidates, ask.multiple), key=cost)
    return Choice(best.endpoint, room=best.room)


def place_prompt(pool: list[Endpoint], usable: list[Endpoint], ask: Ask) -> Choice:
    """Return the engine that can finish the prefill of a prompt first."""
    order = agreed_order(pool, ask.parts)
    held = {endpoint.name: endpoint.held.cached(ask.parts) for endpoint in order}
    sources = best_sources(order, held, ask.now)
    names = {endpoint.name for endpoint in usable}
    candidates = [
        measure(endpoint, ask, held[endpoint.name], rank)
        for rank, endpoint in enumerate(order)
        if endpoint.name in names
    ]
    choices = [
        choose_source(candidate, sources, held, ask)
        for candidate in within_bound(candidates, ask.multiple)
    ]
    return min(choices, key=lambda choice: choice.cost)


def best_sources(order: list[Endpoint], held: dict[str, int], now: float) -> list[Endpoint]:
    """Return the two reachable endpoints with the longest cached prefixes of a prompt."""
    able = [endpoint for endpoint in order if now >= endpoint.paused_until]
    return nlargest(2, able, key=lambda endpoint: held[endpoint.name])


def choose_source(
    candidate: Candidate, sources: list[Endpoint], held: dict[str, int], ask: Ask
) -> Choice:
    """Return the choice of a candidate, including the endpoint to copy cached tokens from."""
    endpoint = candidate.endpoint
    others = [other for other in sources if other is not endpoint]
    source = others[0] if others and held[others[0].name] > candidate.held else None
    copied = held[source.name] - candidate.held if source else 0
    total = max(ask.prompt_tokens, sum(part.tokens for part in ask.parts))
    uncached = total - candidate.held - copied * (1.0 - FETCH_SHARE)
    cost = uncached + standing_cost(candidate, ask)
    return Choice(endpoint, uncached, source, candidate.rank, cost, candidate.room)


def standing_cost(candidate: Candidate, ask: Ask) -> float:
    """Return the prompt-independent cost of a candidate, in prefill tokens."""
    endpoint = candidate.endpoint
    far = endpoint.entry.failure_domain != ask.failure_domain
    return (
        candidate.prefill
        + RUN_TOKENS * candidate.requests
        + RANK_TOKENS * min(candidate.rank, RANKED)
        + FAR_TOKENS * far
        + COLD_TOKENS * (ask.now < endpoint.warm_at)
        + FAILING_TOKENS * endpoint.failures(ask.now)
        + SILENT_TOKENS * endpoint.silent(ask.now)
    )
