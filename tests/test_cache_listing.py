"""What routers learn of the engines' caches when all of them have started, and when one has."""

import random

import curio
import msgspec
import pytest
from direct_harness import configuration, entry
from stream_fleet import StreamFleet
from test_peer_sync import NETWORK, Fleet
from test_peer_sync import play as play_fleet

from hickorylever.direct import cache_listing, cache_plan, rendezvous
from hickorylever.direct.cache_plan import CachePlan, Stage
from hickorylever.direct.peer_protocol import CacheListingUpdate
from hickorylever.direct.prompt_cache import PromptCacheIndex
from hickorylever.direct.records import PromptPart
from hickorylever.exceptions import ContentError
from hickorylever.platform.caches import read_cached_parts

ENGINE = {"max-batch-size": 8, "kv-capacity-tokens": 100000, "stride": 1}
SERVICE = {"name": "engines", "health-path": "/healthz", "max-connections": 100}
PARTS = 100  # More than a datagram holds.


def held(origin):
    number = int(origin.name[2:])
    return [["text", f"{number:04X}{part:04x}", 10, "m"] for part in range(PARTS)]


class EngineFleet(StreamFleet):
    """Routers that start together before engines which have parts cached."""

    engine = ENGINE
    listing = "well"

    async def start_all(self):
        service = {**SERVICE, "engine": self.engine} if self.engine else SERVICE
        await self.store.put("config", "main", configuration(version=2, services=[service]))
        for origin in self.origins:
            origin.cached = held(origin)
        self.origins[0].listing = self.listing
        await Fleet.start_all(self)
        await self.until(lambda: all(map(informed, self.nodes)))

    def knows(self, node, origin):
        parts = [PromptPart(entry[1].lower(), 10) for entry in held(origin)]
        cache = node.directory.endpoints[origin.name].prompt_cache
        return cache.cached_prefix_tokens(parts) == 10 * PARTS

    def known(self):
        return [self.knows(node, origin) for node in self.nodes for origin in self.origins]

    def calls(self):
        return [origin.list_calls for origin in self.origins]


def informed(node):
    return node.peer_sync.caches.plan.complete


def play(scenario, count=3, **attributes):
    fleet_class = type("SomeFleet", (EngineFleet,), attributes)
    play_fleet(scenario, count, fleet_class)


@pytest.mark.parametrize("count", [1, 3, 6])
def test_all_routers_learn_all_caches_with_one_call_for_each_engine(count):
    async def scenario(fleet):
        assert all(fleet.known())
        assert fleet.calls() == [1] * 4

    play(scenario, count)


def test_requests_go_to_the_engine_that_holds_their_parts_after_all_routers_restart():
    async def scenario(fleet):
        for node in tuple(fleet.nodes):
            await fleet.end(node)
        for number in range(2):
            await fleet.start(number)
        await fleet.until(lambda: all(map(informed, fleet.nodes)))
        for origin in fleet.origins[1:]:
            prompt = ",".join(f"{entry[1]}:10" for entry in held(origin)) + ",ff:5"
            for node in fleet.nodes:
                response = await fleet.send(node, parts=prompt)
                assert [run.request_id for run in origin.runs][-1] == response.request_id

    play(scenario, 2)


def test_a_router_that_restarts_beside_others_lists_nothing():
    """Each call delays an engine; a rolling restart must not make one for each router."""

    async def scenario(fleet):
        await fleet.end(fleet.nodes[0])
        starting = await fleet.start(0, seeds=[f"{NETWORK}.2"])
        await fleet.until(lambda: informed(starting))
        assert all(fleet.known())
        assert fleet.calls() == [1] * 4

    play(scenario, 3)


def test_a_router_restarts_beside_one_that_knows_and_one_that_does_not():
    async def scenario(fleet):
        await fleet.end(fleet.nodes[0])
        fleet.nodes[0].peer_sync.caches.plan.complete = False
        starting = await fleet.start(0, seeds=[f"{NETWORK}.2", f"{NETWORK}.3"])
        await fleet.until(lambda: informed(starting))
        assert all(fleet.knows(starting, origin) for origin in fleet.origins)
        assert fleet.calls() == [1] * 4

    play(scenario, 3)


@pytest.mark.parametrize("listing", ["fail", "hang", "garbled", "endless"])
def test_a_list_that_fails_is_ignored_and_not_asked_for_again(listing, monkeypatch):
    monkeypatch.setattr(cache_listing, "LISTING_TIMEOUT_SECONDS", 0.3)
    monkeypatch.setattr(cache_listing, "MAX_LISTING_BYTES", 256 * 1024)

    async def scenario(fleet):
        assert fleet.calls() == [1] * 4
        assert fleet.known() == [False, True, True, True] * 3

    play(scenario, listing=listing)


def test_services_without_engines_get_no_call():
    async def scenario(fleet):
        assert fleet.calls() == [0] * 4

    play(scenario, engine=None)


def test_an_engine_that_appears_later_gets_no_call():
    async def scenario(fleet):
        port = fleet.ports[3]
        await fleet.store.put("servers", "i-9", entry(port, version="v2"))
        await fleet.until(lambda: all("i-9" in node.directory.endpoints for node in fleet.nodes))
        await curio.sleep(0.1)
        assert fleet.calls() == [1] * 4

    play(scenario, 2)


@pytest.mark.parametrize("more", [{"state": "draining"}, {"warmup-left-ms": 60000}])
def test_engines_that_drain_or_are_cold_get_no_call(more, monkeypatch):
    monkeypatch.setattr(cache_plan, "GIVE_UP_SECONDS", 0.5)

    async def start_all(fleet):
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], **more))
        await EngineFleet.start_all(fleet)

    async def scenario(fleet):
        assert fleet.calls() == [0, 1, 1, 1]

    play(scenario, 2, start_all=start_all)


def test_an_engine_that_takes_no_connection_does_not_hold_up_the_others(monkeypatch):
    monkeypatch.setattr(cache_plan, "GIVE_UP_SECONDS", 1.0)

    async def start_all(fleet):
        await fleet.store.put("servers", "i-0", entry(1))
        await EngineFleet.start_all(fleet)

    async def scenario(fleet):
        assert fleet.calls() == [0, 1, 1, 1]
        assert fleet.known() == [False, True, True, True] * 2

    play(scenario, 2, start_all=start_all)


def test_routers_that_cannot_hear_each_other_list_all_engines_each():
    async def start_all(fleet):
        async def lose(*_):
            pass

        start = EngineFleet.start

        async def start_isolated(number):
            node = await start(fleet, number)
            node.peer_sync.send = node.peer_sync.handle_datagram = lose

        fleet.start = start_isolated
        fleet.count, count = 1, fleet.count
        await EngineFleet.start_all(fleet)
        for number in range(1, count):
            await start_isolated(number)
        await fleet.until(lambda: all(map(informed, fleet.nodes)))

    async def scenario(fleet):
        assert all(fleet.known())
        assert fleet.calls() == [2] * 4

    play(scenario, 2, start_all=start_all)


def test_routers_that_start_one_after_the_other_and_lose_datagrams_learn_all():
    async def start_all(fleet):
        rng = random.Random(7)
        start = EngineFleet.start

        async def start_lossy(number):
            node = await start(fleet, number, [f"{NETWORK}.1", f"{NETWORK}.99"])
            send = node.peer_sync.send

            async def lose_some(data, address):
                if rng.random() >= 0.1:
                    await send(data, address)

            node.peer_sync.send = lose_some
            await curio.sleep(0.05)

        fleet.start = start_lossy
        await EngineFleet.start_all(fleet)

    async def scenario(fleet):
        assert all(fleet.known())

    play(scenario, 4, start_all=start_all)


ROUTERS = [f"10.0.0.{number}" for number in range(1, 6)]


def plans(engines=range(20)):
    result = {address: CachePlan(address) for address in ROUTERS}
    for plan in result.values():
        plan.begin(engines, ROUTERS, 100.0)
    return result


def take(plan, now, heard=ROUTERS):
    return plan.take_calls(set(heard) - {plan.own_address}, lambda key: True, 100, now)


def test_engines_are_divided_without_overlap():
    calls = [key for plan in plans().values() for key in take(plan, 100.0)]
    assert sorted(calls) == list(range(20))


def test_engines_of_a_silent_router_are_taken_over_quickly():
    silent, *others = plans().items()
    left = set(take(silent[1], 100.0))
    heard = ROUTERS[1:]
    first = {key for _, plan in others for key in take(plan, 100.0, heard)}
    late = [key for _, plan in others for key in take(plan, 100.05, heard)]
    assert left and not left & first
    assert sorted(late) == sorted(left)


@pytest.mark.parametrize(
    ("stage", "called"), [(Stage.CALLED, 0), (Stage.LISTED, 0), (Stage.FAILED, 0), (9, 1)]
)
def test_an_engine_that_another_router_lists_gets_no_second_call(stage, called):
    plan = CachePlan(ROUTERS[0])
    plan.record(ROUTERS[1], CacheListingUpdate(7, stage), 99.9)
    plan.begin([7], ROUTERS, 100.0)
    assert (
        len(take(plan, 100.0 + cache_plan.CLAIM_SECONDS - 0.2) if plan.pending else []) == called
    )


def test_a_router_whose_call_never_ends_is_replaced():
    plan = CachePlan(ROUTERS[0])
    plan.begin([7], ROUTERS, 100.0)
    plan.record(ROUTERS[1], CacheListingUpdate(7, Stage.CALLED), 100.0)
    assert take(plan, 100.0 + cache_plan.CLAIM_SECONDS + 0.01) == [7]


def test_an_engine_that_took_no_connection_is_tried_once_by_each_router():
    """Reports that others did not reach it either must not make a router try without end."""
    plan = CachePlan(ROUTERS[0])
    plan.begin([7], ROUTERS[:1], 100.0)
    assert take(plan, 100.0) == [7]
    plan.record(ROUTERS[1], CacheListingUpdate(7, Stage.CALLED), 100.1)
    plan.record(ROUTERS[1], CacheListingUpdate(7, Stage.UNREACHED), 100.2)
    assert take(plan, 100.3) == []


def test_a_late_report_of_one_router_does_not_end_the_claim_of_another():
    plan = CachePlan(ROUTERS[0])
    plan.begin([7], ROUTERS[:1], 100.0)
    plan.record(ROUTERS[1], CacheListingUpdate(7, Stage.CALLED), 100.0)
    plan.record(ROUTERS[2], CacheListingUpdate(7, Stage.UNREACHED), 100.1)
    assert take(plan, 100.2) == []
    plan.record(ROUTERS[1], CacheListingUpdate(7, Stage.UNREACHED), 100.3)
    assert take(plan, 100.3) == [7]


def test_routers_that_become_known_later_share_the_engines():
    early, late = CachePlan(ROUTERS[0]), CachePlan(ROUTERS[0])
    early.begin(range(20), ROUTERS, 100.0)
    late.begin(range(20), ROUTERS[:2], 100.0)
    late.divide(ROUTERS)
    assert take(early, 100.0) == take(late, 100.0)


def test_a_failed_pull_leads_to_another_router_and_not_to_a_call():
    plan = CachePlan(ROUTERS[0])
    plan.begin([7], ROUTERS[:1], 100.0)
    plan.record(ROUTERS[1], CacheListingUpdate(7, Stage.LISTED), 100.0)
    assert plan.take_pulls("", set(), 100.0) == {ROUTERS[1]: [7]}
    plan.record_failed_pull([7])
    assert plan.take_pulls(ROUTERS[2], set(), 101.0) == {ROUTERS[2]: [7]}
    assert take(plan, 101.0) == []


def test_the_order_differs_by_engine():
    firsts = {
        min(ROUTERS, key=lambda name, key=key: rendezvous.score(key, name)) for key in range(50)
    }
    assert firsts == set(ROUTERS)


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        ([["t", "00Ab", 5, "m"], [None, "1f", 0, None]], [("00ab", 5), ("1f", 0)]),
        ([["t", "xy", 5, "m"], ["t", "ab", -1, "m"], ["t", "ab", True, "m"]], []),
        ([["t", "ab"], "ab", None, {}, ["t", 7, 5, "m"], ["t", "a" * 33, 5, "m"]], []),
        ([["t", "ab", 10**12, "m"], ["t", "ab", 1.5, "m"], ["t", "cd", 9]], [("cd", 9)]),
    ],
)
def test_malformed_entries_of_a_list_are_left_out(entries, expected):
    content = msgspec.json.encode({"epoch": 1, "next": 2, "held": entries})
    assert read_cached_parts(content) == [PromptPart(*part) for part in expected]


@pytest.mark.parametrize(
    "content", [b"", b"[]", b"{}", b'{"held": {}}', b'{"held": [', b"\xff", b"[" * 100000]
)
def test_a_malformed_list_is_rejected(content):
    with pytest.raises(ContentError):
        read_cached_parts(content)


def test_listed_parts_are_older_than_those_of_requests_and_within_the_memory():
    index = PromptCacheIndex()
    index.add([PromptPart("own", 40)], 100)
    index.add_oldest([PromptPart(name, 30) for name in ("a", "b", "own", "c")], 100)
    assert list(index.parts.items()) == [("b", 30), ("c", 30), ("own", 40)]
    assert index.tokens == 100
    index.add([PromptPart("new", 30)], 100)
    assert "b" not in index.parts


def test_parts_of_an_earlier_start_of_an_engine_are_left_out():
    async def scenario(fleet):
        node = fleet.nodes[0]
        endpoint = node.directory.endpoints["i-0"]
        key = next(k for k, e in node.directory.by_hash.items() if e is endpoint)
        cached = cache_listing.CachedParts(key, endpoint.entry.started_ms + 1, {"beef": 5})
        node.peer_sync.caches.plan.pending = {}
        node.peer_sync.caches.apply_pulled("10.0.0.9", [cached])
        assert "beef" not in endpoint.prompt_cache.parts

    play(scenario, 1)


def test_a_pull_with_a_malformed_query_is_refused():
    async def scenario(fleet):
        node = fleet.nodes[0]
        for query in ("", "?endpoints=x", "?endpoints=" + "9" * 30):
            status, _, _ = await fleet.client.fetch(
                node.settings.address, node.settings.peer_port, "GET", f"/caches{query}"
            )
            assert status == 400

    play(scenario, 1)
