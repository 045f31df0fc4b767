"""The selection of an endpoint written for clarity, without regard to the time that it takes."""

from heapq import nlargest

import xxhash

from hickorylever.direct import load_bound, placement, placement_cost
from hickorylever.direct.capacity import has_capacity
from hickorylever.direct.placement import Choice


def order_endpoints(endpoints, parts):
    key = (parts[:-1] or parts)[-1].id

    def score(endpoint):
        return xxhash.xxh3_64_intdigest(f"{key}\0{endpoint.name}".encode())

    return sorted(endpoints, key=score, reverse=True)


def has_room(endpoint, request):
    return has_capacity(endpoint.entry, request.engine, *endpoint.load())


def within_load_bound(endpoints, request):
    mean = sum(endpoint.load()[0] for endpoint in endpoints) / len(endpoints)
    multiple = 1.0 + load_bound.BOUND_EXCESS_RATIO * (request.load_multiple - 1.0)
    limit = multiple * mean + load_bound.BOUND_SLACK_REQUESTS
    allowed = [e for e in endpoints if e.load()[0] + 1 <= limit] or endpoints
    return [e for e in allowed if has_room(e, request)] or allowed


def place_prompt(endpoints, request):
    order = order_endpoints(endpoints, request.parts)
    usable = [e for e in order if e.usable(request.now) and e.name not in request.avoid]
    if not usable:
        return None
    reachable = [e for e in order if request.now >= e.paused_until]

    def cached(endpoint):
        return endpoint.prompt_cache.cached_prefix_tokens(request.parts)

    def choice(endpoint):
        others = [e for e in nlargest(2, reachable, key=cached) if e is not endpoint]
        source = others[0] if others and cached(others[0]) > cached(endpoint) else None
        copied = cached(source) - cached(endpoint) if source else 0
        total = max(request.prompt_tokens, sum(part.tokens for part in request.parts))
        uncached = total - cached(endpoint) - copied * (1.0 - placement.COPY_COST_RATIO)
        rank = order.index(endpoint)
        cost = uncached + base_cost(endpoint, rank, request)
        return Choice(endpoint, uncached, source, rank, cost, has_room(endpoint, request))

    return min(map(choice, within_load_bound(usable, request)), key=lambda entry: entry.cost)


def base_cost(endpoint, rank, request):
    requests, prefill = endpoint.load()
    return (
        prefill
        + placement_cost.RUNNING_COST_TOKENS * requests
        + placement_cost.RANK_COST_TOKENS * min(rank, placement_cost.MAX_RANK_STEPS)
        + placement_cost.REMOTE_COST_TOKENS
        * (endpoint.entry.failure_domain != request.failure_domain)
        + placement_cost.WARMUP_COST_TOKENS * (request.now < endpoint.warm_at)
        + placement_cost.FAILURE_COST_TOKENS * endpoint.failure_rate(request.now)
        + placement_cost.SILENCE_COST_TOKENS * endpoint.silent(request.now)
    )
