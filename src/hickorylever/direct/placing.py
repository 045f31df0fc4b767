"""Choice of an endpoint for one request.

Answers two loads: prompts with long shared parts, where an endpoint that holds the parts saves
their prefill; bursts, where the endpoint with the least to read answers first; and endpoints that
fail or fall silent while their entry still says that they are ready.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from heapq import nlargest

import xxhash

from .endpoints import Endpoint
from .records import Engine, PromptPart
from .room import has_room

FETCH_SHARE = 0.3  # Cost of a copied token against one that is prefilled.
RUN_TOKENS = 40.0  # Prefill tokens that one running request slows a new one by.
RANK_TOKENS = 300.0  # For each step down the agreed order.
FAR_TOKENS = 150.0  # For an endpoint in another failure domain.
COLD_TOKENS = 4000.0  # For an endpoint that is still slow after its start.
FAILING_TOKENS = 60000.0  # For an endpoint all of whose answers fail.
RANKED = 4  # Steps of the agreed order that still differ.
FAR_REQUESTS = 3.0  # Requests that a plain endpoint nearby may have more than a far one.
FAILING_REQUESTS = 40.0
SILENT_TOKENS = 40000.0  # For an endpoint that has work and sends nothing.
SILENT_REQUESTS = 20.0
BOUND_SLACK = 2  # Requests.
BOUND_PART = 0.4  # Of the allowed excess over the mean that is used, since loads are known late.


@dataclass(frozen=True, slots=True)
class Ask:
    """What is to be placed.

    :param multiple: of the mean load; no endpoint should hold more.
    :param engine: shape of the service's engines; None for a plain service.
    :param parts: of the prompt; empty for a plain service.
    :param failure_domain: of this router.
    :param avoid: endpoints that were tried.
    """

    now: float
    failure_domain: str
    multiple: float
    engine: Engine | None = None
    parts: Sequence[PromptPart] = ()
    prompt_tokens: int = 0
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes.

    :param uncached: prompt tokens that the endpoint will read.
    :param source: an endpoint that holds more of the prompt, to copy from.
    :param rank: steps down the agreed order.
    :param cost: of the choice, in prefill tokens.
    :param room: the endpoint gets to the request soon.
    """

    endpoint: Endpoint
    uncached: float = 0.0
    source: Endpoint | None = None
    rank: int = 0
    cost: float = 0.0
    room: bool = True


def shared(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts that other requests may share: all but the last."""
    return parts[:-1] or parts


def agreed_order(pool: Iterable[Endpoint], parts: Sequence[PromptPart]) -> list[Endpoint]:
    """Return a pool in the order that all routers compute for a prompt, without talking."""
    key = shared(parts)[-1].id if parts else ""

    def score(endpoint: Endpoint) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{endpoint.name}".encode())

    return sorted(pool, key=score, reverse=True)


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with the figures that one choice needs.

    :param requests: under way there, by all routers that tell.
    :param prefill: prompt tokens that it has still to read.
    :param held: tokens at the prompt's start that it holds.
    :param room: it gets to one more request soon.
    :param rank: steps down the agreed order.
    """

    endpoint: Endpoint
    requests: int
    prefill: float
    room: bool
    held: int = 0
    rank: int = 0


def measure(endpoint: Endpoint, ask: Ask, held: int = 0, rank: int = 0) -> Candidate:
    """Return an endpoint as a candidate."""
    requests, prefill = endpoint.load()
    room = has_room(endpoint.entry, ask.engine, requests, prefill)
    return Candidate(endpoint, requests, prefill, room, held, rank)


def within_bound(candidates: list[Candidate], multiple: float) -> list[Candidate]:
    """Return the candidates that hold no more than a multiple of their mean.

    Those with room go before those without.
    """
    mean = sum(candidate.requests for candidate in candidates) / max(1, len(candidates))
    limit = (1.0 + BOUND_PART * (multiple - 1.0)) * mean + BOUND_SLACK
    allowed = [entry for entry in candidates if entry.requests + 1 <= limit] or candidates
    return [entry for entry in allowed if entry.room] or allowed


def place(pool: list[Endpoint], ask: Ask) -> Choice | None:
    """Return the best endpoint for a request, or None when none may be used."""
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
    """Return the endpoint with the fewest requests, preferring near ones."""
    candidates = [measure(endpoint, ask) for endpoint in usable]

    def cost(candidate: Candidate) -> tuple[float, str]:
        endpoint = candidate.endpoint
        far = endpoint.entry.failure_domain != ask.failure_domain
        total = (
            candidate.requests
            + FAR_REQUESTS * far
            + FAILING_REQUESTS * endpoint.failure_rate(ask.now)
            + SILENT_REQUESTS * endpoint.silent(ask.now)
        )
        return total, endpoint.name

    best = min(within_bound(candidates, ask.multiple), key=cost)
    return Choice(best.endpoint, room=best.room)


def place_prompt(pool: list[Endpoint], usable: list[Endpoint], ask: Ask) -> Choice:
    """Return the engine where a prompt is read soonest."""
    order = agreed_order(pool, ask.parts)
    held = {endpoint.name: endpoint.prompt_cache.cached(ask.parts) for endpoint in order}
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
    """Return the two endpoints that hold most of a prompt, of those that may be copied from."""
    able = [endpoint for endpoint in order if now >= endpoint.paused_until]
    return nlargest(2, able, key=lambda endpoint: held[endpoint.name])


def choose_source(
    candidate: Candidate, sources: list[Endpoint], held: dict[str, int], ask: Ask
) -> Choice:
    """Return the choice of a candidate, with what to copy from where."""
    endpoint = candidate.endpoint
    others = [other for other in sources if other is not endpoint]
    source = others[0] if others and held[others[0].name] > candidate.held else None
    copied = held[source.name] - candidate.held if source else 0
    total = max(ask.prompt_tokens, sum(part.tokens for part in ask.parts))
    uncached = total - candidate.held - copied * (1.0 - FETCH_SHARE)
    cost = uncached + standing_cost(candidate, ask)
    return Choice(endpoint, uncached, source, candidate.rank, cost, candidate.room)


def standing_cost(candidate: Candidate, ask: Ask) -> float:
    """Return what placing any prompt at a candidate costs, in prefill tokens."""
    endpoint = candidate.endpoint
    far = endpoint.entry.failure_domain != ask.failure_domain
    return (
        candidate.prefill
        + RUN_TOKENS * candidate.requests
        + RANK_TOKENS * min(candidate.rank, RANKED)
        + FAR_TOKENS * far
        + COLD_TOKENS * (ask.now < endpoint.warm_at)
        + FAILING_TOKENS * endpoint.failure_rate(ask.now)
        + SILENT_TOKENS * endpoint.silent(ask.now)
    )
