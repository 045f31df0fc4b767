"""Versions that the store keeps for the case that all routers end, or that one is cut off."""

import time

import curio
import pytest
from direct_harness import entry
from stream_fleet import V1_WELL, assert_rejected, play, stored_segments, stored_versions
from test_peer_sync import NETWORK

from hickorylever.direct import registration, versions


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


def test_versions_whose_streams_have_ended_are_deleted_from_the_store(monkeypatch):
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)
    monkeypatch.setattr(versions, "STREAM_LIFETIME_SECONDS", 0.5)

    async def scenario(fleet):
        await fleet.until(lambda: len(stored_versions(fleet)) == 2)
        for number in (0, V1_WELL):
            await fleet.store.remove("servers", f"i-{number}")
        await fleet.until(lambda: not stored_versions(fleet))
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
        await fleet.until(lambda: not stored_versions(fleet))
        await fleet.until(lambda: not starting.directory.versions.mixed(time.monotonic()))
        await curio.sleep(0.2)
        for node in others:
            node.peer_sync.registration.store_facts = do_nothing
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], version="v1", born=2))
        await fleet.until(lambda: starting.directory.versions.mixed(time.monotonic()))
        starting.peer_sync.peers.is_first = lambda rank, now: True
        await fleet.until(lambda: len(stored_versions(fleet)) == 2)

    async def do_nothing(facts):
        pass

    play(scenario)
