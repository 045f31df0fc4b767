"""Choice of an endpoint for one request.

Answers two loads: prompts with long shared parts, where an endpoint that holds the parts saves
their prefill; bursts, where the endpoint with the least to read answers first; and endpoints that
fail or fall silent while their entry still says that they are ready.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from .endpoints import Endpoint
from .records import Part

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

    :param parts: of the prompt; empty for a plain service.
    :param failure_domain: of this router.
    :param avoid: endpoints that were tried.
    """

    now: float
    failure_domain: str
    parts: Sequence[Part] = ()
    prompt_tokens: int = 0
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a request goes.

    :param uncached: prompt tokens that the endpoint will read.
    :param source: an endpoint that holds more of the prompt, to copy from.
    :param rank: steps down the agreed order.
    """

    endpoint: Endpoint
    uncached: float = 0.0
    source: Endpoint | None = None
    rank: int = 0


def shared(parts: Sequence[Part]) -> Sequence[Part]:
    """Return the parts that other requests may share: all but the last."""
    return parts[:-1] or parts


def agreed_order(pool: Iterable[Endpoint], parts: Sequence[Part]) -> list[Endpoint]:
    """Return a pool in the order that all routers compute for a prompt, without talking."""
    key = shared(parts)[-1].id if parts else ""

    def score(endpoint: Endpoint) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{endpoint.name}".encode())

    return sorted(pool, key=score, reverse=True)


def within_bound(pool: list[Endpoint], multiple: float, now: float) -> list[Endpoint]:
    """Return the endpoints that hold no more than a multiple of the pool's mean."""
    loads = {endpoint.name: endpoint.load(now)[0] for endpoint in pool}
    mean = sum(loads.values()) / max(1, len(pool))
    limit = (1.0 + BOUND_PART * (multiple - 1.0)) * mean + BOUND_SLACK
    return [endpoint for endpoint in pool if loads[endpoint.name] + 1 <= limit] or pool


def place(pool: list[Endpoint], ask: Ask, engine: bool, multiple: float) -> Choice | None:
    """Return the best endpoint for a request, or None when none may be used."""
    usable = [
        endpoint
        for endpoint in pool
        if endpoint.usable(ask.now) and endpoint.name not in ask.avoid
    ]
    if not usable:
        return None
    allowed = within_bound(usable, multiple, ask.now)
    if engine and ask.parts:
        return place_prompt(pool, allowed, ask)
    return place_plain(allowed, ask)


def place_plain(allowed: list[Endpoint], ask: Ask) -> Choice:
    """Return the endpoint with the fewest requests, preferring near ones."""

    def cost(endpoint: Endpoint) -> tuple[float, str]:
        requests, _ = endpoint.load(ask.now)
        far = endpoint.entry.failure_domain != ask.failure_domain
        total = (
            requests
            + FAR_REQUESTS * far
            + FAILING_REQUESTS * endpoint.failures(ask.now)
            + SILENT_REQUESTS * endpoint.silent(ask.now)
        )
        return total, endpoint.name

    return Choice(min(allowed, key=cost))


def place_prompt(pool: list[Endpoint], allowed: list[Endpoint], ask: Ask) -> Choice:
    """Return the engine where a prompt is read soonest."""
    order = agreed_order(pool, ask.parts)
    choices = [
        (rank, endpoint, find_source(order, endpoint, ask))
        for rank, endpoint in enumerate(order)
        if endpoint in allowed
    ]
    best = min(choices, key=lambda entry: prompt_cost(*entry, ask))
    rank, endpoint, source = best
    return Choice(endpoint, uncached_tokens(endpoint, source, ask), source, rank)


def find_source(order: list[Endpoint], endpoint: Endpoint, ask: Ask) -> Endpoint | None:
    """Return the first endpoint of the order that holds more of the prompt, if any."""
    have = endpoint.held.cached(ask.parts)
    best = None
    for other in order:
        if other is endpoint or ask.now < other.paused_until:
            continue
        held = other.held.cached(ask.parts)
        if held > have:
            best, have = other, held
    return best


def uncached_tokens(endpoint: Endpoint, source: Endpoint | None, ask: Ask) -> float:
    """Return the prefill that a prompt costs an engine, copied tokens at their smaller cost."""
    total = max(ask.prompt_tokens, sum(part.tokens for part in ask.parts))
    held = endpoint.held.cached(ask.parts)
    copied = max(0, source.held.cached(ask.parts) - held) if source else 0
    return total - held - copied * (1.0 - FETCH_SHARE)


def prompt_cost(rank: int, endpoint: Endpoint, source: Endpoint | None, ask: Ask) -> float:
    """Return the cost of placing a prompt at an engine, in prefill tokens."""
    requests, prefill = endpoint.load(ask.now)
    far = endpoint.entry.failure_domain != ask.failure_domain
    return (
        prefill
        + uncached_tokens(endpoint, source, ask)
        + RUN_TOKENS * requests
        + RANK_TOKENS * min(rank, RANKED)
        + FAR_TOKENS * far
        + COLD_TOKENS * (ask.now < endpoint.warm_at)
        + FAILING_TOKENS * endpoint.failures(ask.now)
        + SILENT_TOKENS * endpoint.silent(ask.now)
    )
