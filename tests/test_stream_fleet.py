"""Streams that callers take up at other routers than the ones that began them."""

import random
import time

import curio
import pytest
from direct_harness import (
    BREAKS,
    RESUMABLE,
    WELL,
    configuration,
    entry,
    quarantine_a_part,
    route,
    versions_in,
)
from stream_fleet import (
    CALLER_PORT,
    V1_WELL,
    assert_rejected,
    assert_whole,
    kind,
    play,
    stored_versions,
)
from test_peer_sync import NETWORK, TIMEOUT_SECONDS

from hickorylever.direct import peer_sync, streams, versions


@pytest.mark.parametrize("count", [2, 5])
def test_caller_goes_on_at_another_router_at_once(count):
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        assert_whole(first, await fleet.resume(fleet.nodes[-1], first))

    play(scenario, count)


@pytest.mark.parametrize("seconds", [0.0, 0.005, 0.1, 2.0])
def test_caller_goes_on_after_the_end_of_the_router_that_began(seconds):
    """A router that ends before it has told the others takes what it knew with it."""

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await curio.sleep(seconds)
        await fleet.end(fleet.nodes[0])
        rest = await fleet.resume(fleet.nodes[-1], first)
        if seconds < 2 * peer_sync.TICK_SECONDS and rest.status == 503:
            assert_rejected(fleet, rest)
        else:
            assert_whole(first, rest)

    play(scenario, 5)


def test_caller_goes_on_at_a_router_that_has_just_started():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        starting = await fleet.start(5, seeds=[f"{NETWORK}.1"])
        await fleet.until(starting.ready)
        assert_whole(first, await fleet.resume(starting, first))

    play(scenario)


def test_stream_is_rejected_by_a_router_that_cannot_ask():
    async def scenario(fleet):
        fleet.cut_off(fleet.nodes[1])
        first = await fleet.begin(fleet.nodes[0])
        assert_rejected(fleet, await fleet.resume(fleet.nodes[1], first))

    play(scenario)


def test_stream_is_rejected_by_a_router_that_has_not_heard_of_the_second_version(monkeypatch):
    """A router that is cut off takes no version for the only one."""
    monkeypatch.setattr(versions, "SETTLE_SECONDS", 0.3)
    monkeypatch.setattr("hickorylever.direct.resumption.CONTACT_SECONDS", 0.2)
    monkeypatch.setattr("hickorylever.direct.peer_table.CONTACT_SECONDS", 0.2)
    monkeypatch.setattr("hickorylever.direct.peer_table.WATCHING_LIFETIME_SECONDS", 0.1)

    async def scenario(fleet):
        cut, node = fleet.nodes
        fleet.cut_off(cut)
        await curio.sleep(0.3)
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], version="v2"))
        fleet.origins[0].version = "v2"
        await fleet.until(lambda: node.directory.endpoints["i-0"].entry.version == "v2")
        await curio.sleep(versions.SETTLE_SECONDS)
        fleet.steer(node, 0)
        first = await fleet.send(node)
        assert versions_in(first) == ["v2"] * 2
        assert_rejected(fleet, await fleet.resume(cut, first))

    play(scenario, scripts=(BREAKS, WELL, WELL), names=("v1", "v1", "v1"))


@pytest.mark.parametrize("fault", ["doubled", "late", "reordered", "first lost"])
def test_faults_of_datagrams_do_not_keep_a_stream_from_going_on(fault):
    async def scenario(fleet):
        send = fleet.nodes[1].peer_sync.send
        calls = []

        async def send_faultily(data, address):
            calls.append((data, address))
            if fault == "reordered":
                if len(calls) % 2 == 0:
                    await send(*calls[-1])
                    await send(*calls[-2])
                return
            if fault == "late":
                await curio.sleep(0.02)
            if fault != "first lost" or len(calls) > 1:
                await send(data, address)
            if fault == "doubled":
                await send(data, address)

        first = await fleet.begin(fleet.nodes[0])
        fleet.nodes[1].peer_sync.send = send_faultily
        assert_whole(first, await fleet.resume(fleet.nodes[1], first))

    play(scenario)


@pytest.mark.parametrize("ended", [False, True])
def test_a_stream_of_a_split_route_goes_on_at_the_service_that_began_it(ended):
    """Each service has one version, and the router would take that of the service that it draws.

    The router that began the stream may have ended.
    """

    async def scenario(fleet):
        for number in (2, 3):
            fleet.origins[number].version = "v2"
            content = entry(fleet.ports[number], service="others", version="v2", born=2)
            await fleet.store.put("servers", f"i-{number}", content)
        backends = [{"service": "engines", "weight": 1}, {"service": "others", "weight": 1}]
        split = route("resumable/stream", "streaming", None, resumable=True, backends=backends)
        await fleet.store.put("config", "main", configuration(version=2, routes=[split]))
        for node in fleet.nodes:
            await fleet.until(lambda node=node: len(node.directory.pool("others")) == 2)
            await fleet.until(lambda node=node: node.configuration_state.version == 2)
        first_node, *others = fleet.nodes
        first_node.rng.choices = lambda services, weights: [services[0]]
        first = await fleet.begin(first_node)
        if ended:
            await curio.sleep(2 * peer_sync.TICK_SECONDS)
            await fleet.end(first_node)
        for node in others:
            node.rng.choices = lambda services, weights: [services[1]]
            assert_whole(first, await fleet.resume(node, first))

    play(scenario, 3, names=("v1",) * 4)


@pytest.mark.parametrize(
    "fields",
    [
        {"resumes": "0123456789abcdef"},
        {"resumes": ""},
        {"resumes": "\x7f, ,"},
        {"key": "key-2"},
    ],
    ids=["unknown", "empty", "malformed", "of another account"],
)
def test_stream_that_is_not_the_callers_is_rejected(fields):
    async def scenario(fleet):
        accounts = [
            {"name": "clerks", "api-keys": ["key-1"]},
            {"name": "others", "api-keys": ["key-2"]},
        ]
        await fleet.store.put("config", "main", configuration(version=2, tenants=accounts))
        await fleet.until(
            lambda: all(node.configuration_state.version == 2 for node in fleet.nodes)
        )
        first = await fleet.begin(fleet.nodes[0])
        for node in fleet.nodes:
            assert_rejected(fleet, await fleet.resume(node, first, **fields))

    play(scenario)


def test_streams_go_on_while_three_in_a_hundred_datagrams_are_lost():
    async def scenario(fleet):
        rng = random.Random(1)
        for node in fleet.nodes:
            node.peer_sync.send = lose_some(rng, node.peer_sync.send)
        for number in range(20):
            for origin in fleet.origins:
                origin.script = ["broken"]
            first = await fleet.send(fleet.nodes[0], parts=f"{number + 1:x}:10")
            for origin in fleet.origins:
                origin.script = ["well"]
            rest = await fleet.resume(fleet.nodes[1 + number % 4], first)
            assert len(versions_in(first)) == 2
            assert versions_in(first, rest) == versions_in(first)[:1] * 6

    def lose_some(rng, send):
        async def send_some(data, address):
            if rng.random() >= 0.03:
                await send(data, address)

        return send_some

    play(scenario, 5)


def test_router_that_is_cut_off_from_the_store_alone_asks_the_others():
    async def scenario(fleet):
        for watcher in fleet.nodes[1].store_watchers:
            watcher.on_listing = watcher.on_changes = lambda *_: None
            watcher.record_success = lambda: None
        first = await fleet.begin(fleet.nodes[0])
        assert_whole(first, await fleet.resume(fleet.nodes[1], first))

    play(scenario)


def test_stream_that_was_forgotten_for_lack_of_memory_is_rejected(monkeypatch):
    monkeypatch.setattr(streams, "MAX_STREAMS", 1)

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        fleet.origins[0].script = list(BREAKS)
        second = await fleet.begin(fleet.nodes[0])
        (node,) = fleet.nodes
        assert_rejected(fleet, await fleet.resume(node, first))
        assert_whole(second, await fleet.resume(node, second))

    play(scenario, 1)


def test_stream_whose_part_is_in_quarantine_is_not_taken_up():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        for node in fleet.nodes:
            quarantine_a_part(node)
        rest = await fleet.resume(fleet.nodes[1], first, parts="5a:10,bad:10,1:10")
        assert_rejected(fleet, rest, "quarantined")

    play(scenario)


def test_later_resumes_name_the_first_request():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        second = await fleet.resume(fleet.nodes[1], first)
        assert (versions_in(first, second), second.body) == (["v1"] * 4, None)
        assert_whole(first, second, await fleet.resume(fleet.nodes[0], first, second))

    play(scenario, scripts=(BREAKS, BREAKS, WELL, WELL))


@pytest.mark.parametrize("step", ["broken_off", "broken_within_first", "unframed_empty"])
def test_stream_without_an_event_may_begin_at_any_version(step):
    async def scenario(fleet):
        fleet.nodes[0].budget.allowance = 100.0
        fleet.steer(fleet.nodes[0], 0)
        response = await fleet.send(fleet.nodes[0])
        assert response.body is not None
        assert set(versions_in(response)) == {"v2"}

    play(scenario, scripts=((step,), WELL, WELL), names=("v1", "v2", "v2"))


@pytest.mark.parametrize("ends_as", ["removed", "draining"])
def test_stream_whose_version_is_gone_is_rejected_without_hope(ends_as):
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        for number in (0, V1_WELL):
            if ends_as == "removed":
                await fleet.store.remove("servers", f"i-{number}")
            else:
                content = entry(fleet.ports[number], version="v1", state="draining")
                await fleet.store.put("servers", f"i-{number}", content)
        node = fleet.nodes[1]
        await fleet.until(
            lambda: (
                not node.directory.endpoints_of_version("engines", "v1")
                or all(
                    endpoint.entry.draining
                    for endpoint in node.directory.endpoints_of_version("engines", "v1")
                )
            )
        )
        rest = await fleet.resume(node, first)
        assert_rejected(fleet, rest, "version_gone")
        assert b"retry-after" not in rest.headers

    play(scenario)


def test_stream_may_be_tried_again_while_the_only_version_is_away():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        for number in (0, 1):
            await fleet.store.remove("servers", f"i-{number}")
        (node,) = fleet.nodes
        await fleet.until(lambda: not node.directory.endpoints)
        headers = fleet.headers(**{"last-event-id": "2", "resumes": first.request_id})
        address = node.settings.address
        rest = await fleet.send_request(
            RESUMABLE, headers=headers, address=address, port=CALLER_PORT
        )
        assert (rest.status, kind(rest)) == (503, "no_endpoint")
        assert b"retry-after" in rest.headers

    play(scenario, 1, scripts=(BREAKS, WELL), names=("v1", "v1"))


@pytest.mark.parametrize("held_by", ["load", "limit", "deferral"])
def test_stream_waits_for_the_last_endpoint_of_its_version(held_by):
    """Idle endpoints of another version don't take it meanwhile."""

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await fleet.store.remove("servers", "i-0")
        node = fleet.nodes[1]
        await fleet.until(lambda: "i-0" not in node.directory.endpoints)
        last = node.directory.endpoints[f"i-{V1_WELL}"]
        hold = {"load": 100, "limit": 0, "deferral": 0}[held_by]
        last.running = hold
        if held_by == "limit":
            last.limit_rate(0.5, 1, time.monotonic())
            last.rate_limit.next_at = time.monotonic() + TIMEOUT_SECONDS
        if held_by == "deferral":
            last.defer(0.05, time.monotonic())
        task = await curio.spawn(resume_unsteered, fleet, node, first)
        await curio.sleep(0.04)
        assert len(fleet.runs) == 1
        last.running -= hold
        last.rate_limit = None
        rest = await task.join()
        assert_whole(first, rest)

    async def resume_unsteered(fleet, node, first):
        fields = {"last-event-id": "2", "resumes": first.request_id}
        return await fleet.send(node, **fields)

    play(scenario)


def test_stream_goes_on_at_a_version_that_has_returned():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        node = fleet.nodes[1]
        for number in (0, V1_WELL):
            await fleet.store.remove("servers", f"i-{number}")
        await fleet.until(lambda: not node.directory.endpoints_of_version("engines", "v1"))
        await fleet.store.put("servers", "i-1", entry(fleet.ports[V1_WELL], version="v1"))
        await fleet.until(lambda: node.directory.endpoints_of_version("engines", "v1"))
        assert_whole(first, await fleet.resume(node, first))

    play(scenario)


def test_stream_of_an_endpoint_that_started_again_with_another_version_is_rejected():
    """Which of its processes wrote the events isn't known: its entry may have come late."""

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        content = entry(fleet.ports[0], version="v2", born=2)
        await fleet.store.put("servers", "i-0", content)
        await fleet.until(
            lambda: all(
                node.directory.endpoints["i-0"].entry.version == "v2" for node in fleet.nodes
            )
        )
        for node in fleet.nodes:
            assert_rejected(fleet, await fleet.resume(node, first))

    play(scenario)


def test_stream_of_an_only_version_goes_on_after_the_end_of_all_routers():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await fleet.until(lambda: stored_versions(fleet))
        await fleet.end(fleet.nodes[0])
        starting = await fleet.start(5)
        await fleet.until(lambda: starting.ready() and starting.directory.versions.complete)
        assert_whole(first, await fleet.resume(starting, first))

    play(scenario, 1, scripts=(BREAKS, WELL, WELL), names=("v1", "v1", "v1"))


def test_stream_taken_up_at_the_only_version_is_known_once_there_are_two():
    """The router that began it has ended, and the caller still names its first request."""

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await fleet.end(fleet.nodes[0])
        second, third = fleet.nodes
        middle = await fleet.resume(second, first)
        assert (versions_in(first, middle), middle.body) == (["v1"] * 4, None)
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], version="v2", born=2))
        await fleet.until(
            lambda: all(
                node.directory.endpoints["i-0"].entry.version == "v2" for node in fleet.nodes
            )
        )
        await fleet.until(lambda: third.peer_sync.streams.table.records)
        await fleet.end(second)
        assert_whole(first, middle, await fleet.resume(third, first, middle))

    play(scenario, 3, scripts=(BREAKS, WELL, BREAKS), names=("v1", "v1", "v1"))


def test_other_routers_are_told_only_while_a_service_has_several_versions():
    async def scenario(fleet):
        node, other = fleet.nodes
        await fleet.begin(node)
        await curio.sleep(5 * peer_sync.TICK_SECONDS)
        assert not other.peer_sync.streams.table.records
        content = entry(fleet.ports[1], version="v2", born=2)
        await fleet.store.put("servers", "i-1", content)
        await fleet.until(lambda: other.peer_sync.streams.table.records)

    play(scenario, scripts=(BREAKS, WELL), names=("v1", "v1"))


@pytest.mark.parametrize("others", [True, False], ids=["beside others", "alone"])
def test_streams_begin_at_a_new_version_only_when_all_routers_can_know_it(others):
    """Requests whose answers can't be taken up need not wait, nor do streams without a choice."""

    async def scenario(fleet):
        (node,) = fleet.nodes
        await fleet.store.put("servers", "i-1", entry(fleet.ports[1], version="v2", born=2))
        if not others:
            await fleet.store.remove("servers", "i-0")
        await fleet.until(lambda: ("i-0" in node.directory.endpoints) is others)
        await fleet.until(lambda: node.directory.endpoints["i-1"].entry.version == "v2")
        if others:
            node.directory.endpoints["i-0"].running = 1
        began = await fleet.send(node)
        address = node.settings.address
        await fleet.send_request("/safe/x", address=address, port=CALLER_PORT)
        assert began.body is not None
        assert [len(origin.runs) for origin in fleet.origins] == ([1, 1] if others else [0, 2])

    play(scenario, 1, scripts=(WELL, WELL), names=("v1", "v1"))
