import pytest

from hickorylever.direct.endpoints import Endpoint, PeerLoad
from hickorylever.direct.placing import Ask, agreed_order, place
from hickorylever.direct.records import EndpointEntry, Engine, PromptPart

PARTS = (PromptPart("a1", 300), PromptPart("b2", 10000), PromptPart("c3", 200))
MULTIPLE = 2.0
ENGINE = Engine(slots=64, memory_tokens=500_000, tokens_per_event=5)


def pool(count=6, domains="abc"):
    return [
        Endpoint(
            EndpointEntry(f"i-{n}", "engines", "10.0.0.1", 80 + n, domains[n % len(domains)], 64)
        )
        for n in range(count)
    ]


def ask(**more):
    known = {"now": 100.0, "failure_domain": "a", "multiple": MULTIPLE, "engine": ENGINE}
    return Ask(**{**known, "parts": PARTS, **more})


def plain(**more):
    return ask(engine=None, parts=(), **more)


def test_routers_agree_without_talking():
    first = [place(pool(), ask()).endpoint.name for _ in range(3)]
    reversed_pool = list(reversed(pool()))
    assert {*first, place(reversed_pool, ask()).endpoint.name} == {first[0]}


def test_one_endpoint_less_moves_only_its_own_prompts():
    endpoints = pool()
    keys = [
        (PromptPart("s", 100), PromptPart(f"{n:x}", 500), PromptPart("own", 20))
        for n in range(200)
    ]
    before = [agreed_order(endpoints, key)[0].name for key in keys]
    after = [agreed_order(endpoints[1:], key)[0].name for key in keys]
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {"i-0"}


def test_a_prompt_goes_where_it_is_held():
    endpoints = pool()
    holder = agreed_order(endpoints, PARTS)[2]
    holder.prompt_cache.note(PARTS, 0)
    choice = place(endpoints, ask())
    assert choice.endpoint is holder
    assert choice.uncached == 0


def test_a_busy_holder_is_copied_from():
    endpoints = pool()
    holder = agreed_order(endpoints, PARTS)[0]
    holder.prompt_cache.note(PARTS, 0)
    holder.prefill = 50000.0
    choice = place(endpoints, ask())
    assert choice.endpoint is not holder
    assert choice.source is holder


@pytest.mark.parametrize("engine", [ENGINE, None])
def test_no_endpoint_gets_more_than_its_bound(engine):
    """Answers the load of one prompt that nearly all requests share."""
    endpoints = pool()
    for _ in range(120):
        place(endpoints, ask(engine=engine)).endpoint.running += 1
    mean = 120 / len(endpoints)
    assert max(endpoint.running for endpoint in endpoints) <= MULTIPLE * mean + 3


def test_peers_loads_count_while_they_are_fresh():
    endpoints = pool(2, "aa")
    endpoints[0].set_peer_load("10.0.0.9", PeerLoad(9, 0, 99.5))
    assert place(endpoints, plain()).endpoint.name == "i-1"
    endpoints[1].running = 2
    for endpoint in endpoints:
        endpoint.expire_loads(200.0)
    assert place(endpoints, plain(now=200.0)).endpoint.name == "i-0"


def test_loads_add_up_over_routers():
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
def test_a_prompt_is_copied_from_the_endpoint_that_holds_most(holders, paused, source):
    endpoints = agreed_order(pool(), PARTS)
    for number, parts in holders.items():
        endpoints[number].prompt_cache.note(parts, 0)
        endpoints[number].prefill = 90000.0
    for number in paused:
        endpoints[number].paused_until = 101.0
    if 0 in holders:
        endpoints[0].prefill = 0.0
    choice = place(endpoints, ask())
    assert choice.endpoint is endpoints[0]
    assert choice.source is (None if source is None else endpoints[source])


@pytest.mark.parametrize(
    ("change", "value"),
    [("paused_until", 101.0), ("failure_average", 1.0), ("running", 10)],
)
def test_plain_requests_avoid_an_endpoint(change, value):
    endpoints = pool(2, "ab")
    assert place(endpoints, plain()).endpoint.name == "i-0"
    setattr(endpoints[0], change, value)
    endpoints[0].failure_average_at = 100.0
    assert place(endpoints, plain()).endpoint.name == "i-1"


def test_nothing_usable():
    endpoints = pool(1)
    assert place(endpoints, ask(avoid=frozenset({"i-0"}))) is None
    assert place([], plain()) is None


@pytest.mark.parametrize(
    ("change", "engine", "room"),
    [
        ({"running": 63}, ENGINE, True),
        ({"running": 64}, ENGINE, False),
        ({"prefill": 15_000.0}, ENGINE, True),
        ({"prefill": 20_000.0}, ENGINE, False),
        ({"running": 127}, None, True),
        ({"running": 128}, None, False),
    ],
)
def test_a_choice_tells_whether_there_is_room(change, engine, room):
    (endpoint,) = endpoints = pool(1)
    for name, value in change.items():
        setattr(endpoint, name, value)
    assert place(endpoints, ask(engine=engine)).room is room


def test_an_endpoint_with_room_goes_before_one_that_holds_the_prompt():
    """Answers the load of more requests for one prompt than its engine has slots."""
    endpoints = pool(2, "aa")
    holder = place(endpoints, ask()).endpoint
    holder.prompt_cache.note(PARTS, 0)
    holder.running = 64
    (other,) = [endpoint for endpoint in endpoints if endpoint is not holder]
    other.running = 60
    choice = place(endpoints, ask())
    assert (choice.endpoint, choice.room, choice.source) == (other, True, holder)


@pytest.mark.parametrize("request_of", [ask, plain])
def test_an_endpoint_that_falls_silent_gets_no_more_requests(request_of):
    """Answers the load of an endpoint that goes dark with requests under way."""
    endpoints = pool(2, "aa")
    first = place(endpoints, request_of(multiple=4.0)).endpoint
    first.add_request(0.0, 100.0)
    first.last_byte_at = 100.1
    soon = request_of(multiple=4.0, now=100.3)
    assert place(endpoints, soon).endpoint is first or request_of is plain
    later = request_of(multiple=4.0, now=100.9)
    assert place(endpoints, later).endpoint is not first
