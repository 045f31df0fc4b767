import dataclasses
import random

import pytest
from reference_placement import place_prompt

from hickorylever.direct.candidates import PlacementRequest
from hickorylever.direct.endpoints import Endpoint, PeerLoad
from hickorylever.direct.placement import place
from hickorylever.direct.pool import MAX_ORDERS, Pool
from hickorylever.direct.records import EndpointEntry, Engine, PromptPart

PARTS = (PromptPart("a1", 300), PromptPart("b2", 10000), PromptPart("c3", 200))
LOAD_MULTIPLE = 2.0
ENGINE = Engine(slots=64, memory_tokens=500_000, tokens_per_event=5)


def pool(count=6, domains="abc"):
    return Pool(
        Endpoint(
            EndpointEntry(f"i-{n}", "engines", "10.0.0.1", 80 + n, domains[n % len(domains)], 64)
        )
        for n in range(count)
    )


def rendezvous_order(endpoints, parts):
    return Pool(endpoints).ranked(parts)


def engine_request(**more):
    known = {"now": 100.0, "failure_domain": "a", "load_multiple": LOAD_MULTIPLE, "engine": ENGINE}
    return PlacementRequest(**{**known, "parts": PARTS, **more})


def plain_request(**more):
    return engine_request(engine=None, parts=(), **more)


def test_routers_choose_the_same_endpoint():
    first = [place(pool(), engine_request()).endpoint.name for _ in range(3)]
    reversed_pool = Pool(reversed(pool()))
    assert {*first, place(reversed_pool, engine_request()).endpoint.name} == {first[0]}


def test_removing_an_endpoint_moves_only_its_prompts():
    endpoints = pool()
    keys = [
        (PromptPart("s", 100), PromptPart(f"{n:x}", 500), PromptPart("own", 20))
        for n in range(200)
    ]
    before = [rendezvous_order(endpoints, key)[0].name for key in keys]
    after = [rendezvous_order(endpoints[1:], key)[0].name for key in keys]
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {"i-0"}


def test_prompt_goes_to_endpoint_that_cached_it():
    endpoints = pool()
    holder = rendezvous_order(endpoints, PARTS)[2]
    holder.prompt_cache.add(PARTS, 0)
    choice = place(endpoints, engine_request())
    assert choice.endpoint is holder
    assert choice.uncached == 0


def test_cached_prefix_is_copied_from_busy_endpoint():
    endpoints = pool()
    holder = rendezvous_order(endpoints, PARTS)[0]
    holder.prompt_cache.add(PARTS, 0)
    holder.prefill = 50000.0
    choice = place(endpoints, engine_request())
    assert choice.endpoint is not holder
    assert choice.source is holder


@pytest.mark.parametrize("engine", [ENGINE, None])
def test_load_bound(engine):
    """The load bound holds even if almost all requests share one prompt."""
    endpoints = pool()
    for _ in range(120):
        place(endpoints, engine_request(engine=engine)).endpoint.running += 1
    mean = 120 / len(endpoints)
    assert max(endpoint.running for endpoint in endpoints) <= LOAD_MULTIPLE * mean + 3


def test_peer_loads_expire():
    endpoints = pool(2, "aa")
    endpoints[0].set_peer_load("10.0.0.9", PeerLoad(9, 0, 99.5))
    assert place(endpoints, plain_request()).endpoint.name == "i-1"
    endpoints[1].running = 2
    for endpoint in endpoints:
        endpoint.expire_loads(200.0)
    assert place(endpoints, plain_request(now=200.0)).endpoint.name == "i-0"


def test_loads_are_summed_over_routers():
    (endpoint,) = pool(1)
    endpoint.running, endpoint.prefill = 1, 10.0
    for router, requests, prefill, total in [
        ("10.0.0.8", 2, 100, (3, 110.0)),
        ("10.0.0.9", 3, 1000, (6, 1110.0)),
        ("10.0.0.8", 5, 0, (9, 1010.0)),
        ("10.0.0.9", 0, 0, (6, 10.0)),
        ("10.0.0.8", 0, 0, (1, 10.0)),
    ]:
        endpoint.set_peer_load(router, PeerLoad(requests, prefill, 100.0))
        assert endpoint.load() == total
    assert not endpoint.peers


@pytest.mark.parametrize(
    ("holders", "paused", "source"),
    [
        ({1: PARTS[:1], 2: PARTS[:2]}, (), 2),
        ({1: PARTS[:1], 2: PARTS[:2]}, (2,), 1),
        ({0: PARTS[:2], 2: PARTS[:2]}, (), None),
        ({}, (), None),
    ],
)
def test_longest_cached_prefix_is_copied(holders, paused, source):
    candidates = pool()
    endpoints = candidates.ranked(PARTS)
    for number, parts in holders.items():
        endpoints[number].prompt_cache.add(parts, 0)
        endpoints[number].prefill = 90000.0
    for number in paused:
        endpoints[number].paused_until = 101.0
    if 0 in holders:
        endpoints[0].prefill = 0.0
    choice = place(candidates, engine_request())
    assert choice.endpoint is endpoints[0]
    assert choice.source is (None if source is None else endpoints[source])


@pytest.mark.parametrize(
    ("change", "value"),
    [("paused_until", 101.0), ("failure_average", 1.0), ("running", 10)],
)
def test_plain_request_avoids_unhealthy_or_loaded_endpoint(change, value):
    endpoints = pool(2, "ab")
    assert place(endpoints, plain_request()).endpoint.name == "i-0"
    setattr(endpoints[0], change, value)
    endpoints[0].failure_average_at = 100.0
    assert place(endpoints, plain_request()).endpoint.name == "i-1"


def test_no_usable_endpoint():
    endpoints = pool(1)
    assert place(endpoints, engine_request(avoid=frozenset({"i-0"}))) is None
    assert place(Pool(), plain_request()) is None


@pytest.mark.parametrize(
    ("change", "engine", "available"),
    [
        ({"running": 63}, ENGINE, True),
        ({"running": 64}, ENGINE, False),
        ({"prefill": 15_000.0}, ENGINE, True),
        ({"prefill": 20_000.0}, ENGINE, False),
        ({"running": 127}, None, True),
        ({"running": 128}, None, False),
    ],
)
def test_choice_reports_capacity(change, engine, available):
    (endpoint,) = endpoints = pool(1)
    for name, value in change.items():
        setattr(endpoint, name, value)
    assert place(endpoints, engine_request(engine=engine)).available is available


def test_capacity_goes_before_cached_prompt():
    """A prompt's requests overflow to another engine when all slots of theirs are taken."""
    endpoints = pool(2, "aa")
    holder = place(endpoints, engine_request()).endpoint
    holder.prompt_cache.add(PARTS, 0)
    holder.running = 64
    (other,) = [endpoint for endpoint in endpoints if endpoint is not holder]
    other.running = 60
    choice = place(endpoints, engine_request())
    assert (choice.endpoint, choice.available, choice.source) == (other, True, holder)


@pytest.mark.parametrize("request_of", [engine_request, plain_request])
def test_silent_endpoint_is_avoided(request_of):
    """Silence with requests in flight is noticed before the endpoint's entry changes."""
    endpoints = pool(2, "aa")
    first = place(endpoints, request_of(load_multiple=4.0)).endpoint
    first.add_request(0.0, 100.0)
    first.last_byte_at = 100.1
    soon = request_of(load_multiple=4.0, now=100.3)
    assert place(endpoints, soon).endpoint is first or request_of is plain_request
    later = request_of(load_multiple=4.0, now=100.9)
    assert place(endpoints, later).endpoint is not first


def random_pool(rng, count):
    """Return endpoints in all states that the selection looks at."""
    endpoints = pool(count)
    for endpoint in endpoints:
        for _ in range(rng.randrange(4)):
            endpoint.add_request(rng.choice((0.0, 500.0, 9000.0)), rng.uniform(98.0, 100.0))
        endpoint.set_peer_load("10.0.0.9", PeerLoad(rng.randrange(5), rng.randrange(3000), 100.0))
        if rng.random() < 0.2:
            endpoint.paused_until = rng.uniform(99.0, 101.0)
        if rng.random() < 0.2:
            endpoint.record_answer(True, rng.uniform(95.0, 100.0))
        endpoint.leaving = rng.random() < 0.1
        endpoint.prompt_cache.add(PARTS[: rng.randrange(4)], 0)
    return endpoints


@pytest.mark.parametrize("count", [1, 2, 7, 60])
def test_the_selection_is_that_of_the_reference(count):
    """The pool is changed between requests, so that a remembered order must not outlive it."""
    rng = random.Random(count)
    for _ in range(60):
        endpoints = random_pool(rng, count)
        avoid = frozenset(f"i-{rng.randrange(count)}" for _ in range(rng.randrange(3)))
        request = engine_request(avoid=avoid, prompt_tokens=rng.choice((0, 12_000)))
        assert place(endpoints, request) == place_prompt(list(endpoints), request)
        del endpoints[rng.randrange(count)]
        fewer = Pool(endpoints, previous=endpoints)
        expected = place_prompt(list(fewer), request) if fewer else None
        assert place(fewer, request) == expected


def test_remembered_orders_are_bounded():
    endpoints = pool(3)
    for number in range(MAX_ORDERS + 10):
        endpoints.ranked((PromptPart(f"{number:x}", 9),))
    assert len(endpoints.orders) == MAX_ORDERS


def test_orders_are_kept_while_the_names_stay():
    """A changed entry or a restart does not make all prompts be ordered anew."""
    endpoints = pool(3)
    endpoints.ranked(PARTS)
    assert Pool(pool(3), previous=endpoints).orders is endpoints.orders
    assert not Pool(pool(4), previous=endpoints).orders


def endpoints_of_versions(*versions):
    endpoints = pool(len(versions))
    for endpoint, version in zip(endpoints, versions, strict=True):
        endpoint.entry = dataclasses.replace(endpoint.entry, version=version)
    return endpoints


def test_cached_prefix_is_not_copied_from_another_version():
    endpoints = endpoints_of_versions("v1", "v2", "v2")
    old, *new = endpoints
    old.prompt_cache.add(PARTS, 0)
    old.prefill = 50000.0
    new[0].prompt_cache.add(PARTS[:1], 0)
    new[0].prefill = 5000.0
    choice = place(endpoints, engine_request())
    assert choice.endpoint is new[1]
    assert choice.source is new[0]


@pytest.mark.parametrize("engine", [ENGINE, None])
def test_only_endpoints_of_the_version_are_chosen_within_the_bound_of_all(engine):
    """The mean of the load bound is that of the service, not of the version."""
    endpoints = endpoints_of_versions("v1", "v1", "v2", "v2", "v2", "v2")
    endpoints[0].running = 30
    endpoints[1].running = 20
    choice = place(endpoints, engine_request(engine=engine, version="v1"))
    assert choice.endpoint is endpoints[1]
    assert place(endpoints, engine_request(engine=engine, version="v3")) is None
    endpoints[0].running = 4
    endpoints[0].failure_average = 1.0
    choice = place(endpoints, engine_request(engine=engine, version="v1"))
    assert choice.endpoint is endpoints[0]
