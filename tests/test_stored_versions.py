"""Versions that the store keeps for the case that all routers end, or that one is cut off."""

import time

import curio
import pytest
from direct_harness import entry
from stream_fleet import (
    V1_WELL,
    StreamFleet,
    assert_rejected,
    assert_whole,
    kind,
    play,
    stored_segments,
    stored_versions,
)
from test_peer_sync import NETWORK
from test_peer_sync import play as play_fleet

from hickorylever.direct import registration, versions

V2_OBJECT = registration.version_object_name("engines", "v2")


@pytest.mark.parametrize("recorded", [False, True])
def test_a_version_that_left_is_remembered_after_the_end_of_all_routers(monkeypatch, recorded):
    """The endpoints that are left are no proof that no other version began the stream.

    With a record of the stream itself, the caller learns that its version is gone.
    """
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)

    async def scenario(fleet):
        if not recorded:
            fleet.nodes[0].peer_sync.streams.records.add = lambda keys: None
        first = await fleet.begin(fleet.nodes[0])
        await fleet.until(lambda: len(stored_versions(fleet)) == 2)
        await fleet.until(lambda: bool(stored_segments(fleet)) is recorded)
        for number in (0, V1_WELL):
            await fleet.store.remove("servers", f"i-{number}")
        (node,) = fleet.nodes
        await fleet.until(lambda: not node.directory.endpoints_of_version("engines", "v1"))
        await fleet.end(node)
        starting = await fleet.start(5)
        await fleet.until(lambda: starting.ready() and starting.directory.versions.complete)
        expected = "version_gone" if recorded else "stream_unknown"
        assert_rejected(fleet, await fleet.resume(starting, first), expected)

    play(scenario, 1)


async def end_all(fleet):
    """End all routers as by a loss of power."""
    for node in list(fleet.nodes):
        await fleet.end(node)


async def start_again(fleet, count):
    """Start routers with empty memory, and return once they know the endpoints."""
    for number in range(count):
        await fleet.start(number, seeds=[f"{NETWORK}.1"])
    for node in fleet.nodes:
        await fleet.until(node.ready)
        await fleet.until(lambda node=node: node.directory.versions.complete)


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("store_writes", [True, False])
def test_a_release_while_all_routers_are_down_joins_no_streams(monkeypatch, count, store_writes):
    """Routers that start must not take the version of the present for the only one there was.

    Neither may they if their predecessors could not write the version to the store.
    """
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await curio.sleep(0.5)
        if not store_writes:
            assert not stored_versions(fleet)
        await end_all(fleet)
        for number, origin in enumerate(fleet.origins):
            origin.version = "v2"
            content = entry(fleet.ports[number], version="v2", born=2)
            await fleet.store.put("servers", origin.name, content)
        await start_again(fleet, count)
        for node in fleet.nodes:
            assert_rejected(fleet, await fleet.resume(node, first))

    class SilentFleet(StreamFleet):
        async def start(self, *args, **more):
            node = await super().start(*args, **more)
            if not store_writes:
                node.peer_sync.registration.store_facts = do_nothing
            return node

    play_fleet(scenario, count, SilentFleet, names=("v1",) * 4)


@pytest.mark.parametrize("count", [1, 3])
def test_streams_go_on_after_the_end_of_all_routers_where_one_version_stays(monkeypatch, count):
    """They were lost if routers that start trusted only records of the streams themselves."""
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await fleet.until(lambda: len(stored_versions(fleet)) == 1)
        await end_all(fleet)
        await start_again(fleet, count)
        for node in fleet.nodes:
            assert_whole(first, await fleet.resume(node, first))

    play(scenario, count, names=("v1",) * 4)


def test_unknown_streams_go_on_once_all_that_began_before_the_start_have_ended(monkeypatch):
    """A router whose predecessors stored nothing would reject such streams for ever."""
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)
    monkeypatch.setattr(versions, "STREAM_LIFETIME_SECONDS", 1.0)

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await end_all(fleet)
        for name in stored_versions(fleet):
            await fleet.store.remove("hickorylever-routers", name)
        await start_again(fleet, 1)
        (node,) = fleet.nodes
        assert kind(await fleet.resume(node, first)) == "stream_unknown"
        assert not stored_versions(fleet)
        await curio.sleep(versions.STREAM_LIFETIME_SECONDS)
        assert_whole(first, await fleet.resume(node, first))
        await fleet.until(lambda: len(stored_versions(fleet)) == 1)

    play(scenario, 1, names=("v1",) * 4)


async def do_nothing(facts):
    pass


def test_versions_whose_streams_have_ended_are_deleted_from_the_store(monkeypatch):
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)
    monkeypatch.setattr(versions, "STREAM_LIFETIME_SECONDS", 0.5)

    async def scenario(fleet):
        await fleet.until(lambda: len(stored_versions(fleet)) == 2)
        for number in (0, V1_WELL):
            await fleet.store.remove("servers", f"i-{number}")
        await fleet.until(lambda: stored_versions(fleet) == [V2_OBJECT])
        now = time.monotonic()
        assert fleet.nodes[0].directory.versions.possible("engines", now) == {"v2"}

    play(scenario, 1)


def test_versions_that_came_and_went_during_a_cut_are_learned_from_the_store(monkeypatch):
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)

    async def scenario(fleet):
        (node,) = fleet.nodes
        history = node.directory.versions
        name = registration.version_object_name("engines", "v9")
        await fleet.store.put("hickorylever-routers", name, {"version": ["engines", "v9"]})
        suspect = {"suspect": ["bad", 1, [1, 2, 3], []]}
        await fleet.store.put("hickorylever-routers", "suspect-0", suspect)
        deleted = fleet.store.calls.get("DELETE", 0)
        history.complete = False
        await fleet.until(lambda: history.complete)
        assert "v9" in history.possible("engines", time.monotonic())
        await curio.sleep(0.3)
        assert ("hickorylever-routers", name) in fleet.store.objects
        assert fleet.store.calls.get("DELETE", 0) == deleted
        assert not node.quarantine.tracker.quarantine

    play(scenario, 1)


def test_versions_are_stored_again_by_a_router_that_knew_them_stored_before(monkeypatch):
    """Another router has deleted them meanwhile."""
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)
    monkeypatch.setattr(versions, "STREAM_LIFETIME_SECONDS", 0.5)

    async def scenario(fleet):
        others = list(fleet.nodes)
        others[0].peer_sync.peers.is_first = lambda rank, now: True
        await fleet.until(lambda: len(stored_versions(fleet)) == 2)
        starting = await fleet.start(5, seeds=[f"{NETWORK}.1"])
        starting.peer_sync.peers.is_first = lambda rank, now: False
        await fleet.until(lambda: len(starting.peer_sync.registration.stored) == 2)
        for number in (0, V1_WELL):
            await fleet.store.remove("servers", f"i-{number}")
        await fleet.until(lambda: stored_versions(fleet) == [V2_OBJECT])
        await fleet.until(lambda: not starting.directory.versions.mixed(time.monotonic()))
        await curio.sleep(0.2)
        for node in others:
            node.peer_sync.registration.store_facts = do_nothing
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], version="v1", born=2))
        await fleet.until(lambda: starting.directory.versions.mixed(time.monotonic()))
        starting.peer_sync.peers.is_first = lambda rank, now: True
        await fleet.until(lambda: len(stored_versions(fleet)) == 2)

    play(scenario)
