"""Endpoint selection while some or all endpoints of a pool are cold, in virtual time."""

import heapq
import random
from collections import defaultdict

import pytest

from hickorylever.direct.candidates import PlacementRequest
from hickorylever.direct.cold_start import ColdStart, cold_limit
from hickorylever.direct.endpoints import Endpoint, PeerLoad
from hickorylever.direct.membership import Membership
from hickorylever.direct.placement import place
from hickorylever.direct.pool import Pool
from hickorylever.direct.records import EndpointEntry, Engine, PromptPart, Warmup
from hickorylever.platform.standins.origin import most_in_a_second

RATE = 11.0
LIMIT = cold_limit(Warmup(3.0, RATE), 1.5, 5.0)
PARTS = (PromptPart("a1", 300), PromptPart("b2", 9000))
ENGINE = Engine(slots=64, memory_tokens=500_000, tokens_per_event=5)
REQUEST_SECONDS = 0.5
COLD_SECONDS = 3.0


def make_pool(membership, count, cold, cold_until=COLD_SECONDS):
    """Return a pool whose first endpoints are cold, as one router sees it."""
    endpoints = []
    for number in range(count):
        entry = EndpointEntry(f"i-{number:02}", "engines", "10.1.0.1", 80 + number, "a", 64)
        endpoint = Endpoint(entry)
        until = cold_until if number < cold else 0.0
        endpoint.cold = ColdStart(LIMIT, entry.name, membership, until)
        endpoints.append(endpoint)
    return Pool(endpoints)


def make_router(number, count):
    addresses = [f"10.0.0.{other + 1}" for other in range(count)]
    membership = Membership(addresses[number])
    membership.record_listed(addresses, -10.0)
    for address in addresses:
        membership.record_heard(address, -10.0)
    return membership


def request(now=1.0, **more):
    known = {"now": now, "failure_domain": "a", "load_multiple": 2.0}
    return PlacementRequest(**{**known, **more})


def engine_request(now=1.0):
    return request(now, engine=ENGINE, parts=PARTS, prompt_tokens=9300)


@pytest.mark.parametrize("make_request", [request, engine_request])
@pytest.mark.parametrize("router_count", [5, 20])
def test_pool_fills_its_cold_endpoints_and_keeps_the_limit(make_request, router_count):
    """Guards against cold endpoints of a pool of 39 that stay idle or get too much."""
    rng = random.Random(1)
    pools = [make_pool(make_router(n, router_count), 39, 13) for n in range(router_count)]
    sends = defaultdict(list)
    ends = []
    held = 0
    now = 0.0
    while now < COLD_SECONDS:
        now += rng.expovariate(900.0)
        while ends and ends[0][0] <= now:
            _, router, name = heapq.heappop(ends)
            change_load(pools, router, name, -1, now)
        router = rng.randrange(router_count)
        choice = place(pools[router], make_request(now))
        if choice.held:
            held += 1
            continue
        name = choice.endpoint.name
        if choice.endpoint.is_cold(now):
            sends[name].append(now)
        choice.endpoint.add_request(0.0, now)
        choice.endpoint.running -= 1
        change_load(pools, router, name, 1, now)
        heapq.heappush(ends, (now + REQUEST_SECONDS, router, name))
    assert held == 0
    assert max(map(most_in_a_second, sends.values())) <= RATE * 1.5 + 5
    per_second = sum(map(len, sends.values())) / COLD_SECONDS
    assert 0.75 * 13 * RATE <= per_second <= 1.1 * 13 * RATE


def change_load(pools, router, name, change, now):
    """Add a request to an endpoint, or remove one, as all routers see it at once."""
    for number, pool in enumerate(pools):
        endpoint = next(entry for entry in pool if entry.name == name)
        if number == router:
            endpoint.running += change
        else:
            known = endpoint.peers.get(str(router))
            requests = (known.requests if known else 0) + change
            endpoint.set_peer_load(str(router), PeerLoad(requests, 0, now))


def test_few_warm_endpoints_do_not_take_what_cold_ones_can_not():
    """Guards against warm endpoints that exceed the load bound while the others are cold."""
    pool = make_pool(Membership("10.0.0.1"), 20, cold=18)
    for endpoint in pool[18:]:
        endpoint.running = 4
    assert not place(pool, request()).available
    assert place(make_pool(Membership("10.0.0.1"), 20, cold=0), request()).available
    for endpoint in pool[18:]:
        endpoint.running = 1
    assert place(pool, request()).available


def test_no_cached_part_is_copied_from_a_cold_endpoint():
    """Guards against copies as further load on a cold endpoint."""
    pool = make_pool(make_router(0, 1), 3, cold=0)
    source = pool.ranked(PARTS)[0]
    source.prompt_cache.add(PARTS, 0)
    source.prefill = 50_000.0
    assert place(pool, engine_request()).source is source
    source.cold.cold_until = COLD_SECONDS
    assert place(pool, engine_request()).source is None


def test_choice_says_that_only_cold_endpoints_are_left():
    """Guards against a request that is sent past the limit as no other endpoint is left."""
    pool = make_pool(Membership("10.0.0.1"), 3, cold=3)
    for make_request in (request, engine_request):
        choice = place(pool, make_request())
        assert choice.held
        assert not choice.available
