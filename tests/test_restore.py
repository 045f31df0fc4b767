"""A store that is restored from a copy, and what routers make of it."""

import dataclasses

import curio
import pytest
from direct_harness import WELL, configuration, entry, run_scenario
from test_peer_sync import NETWORK, play

from hickorylever.direct.position import Position
from hickorylever.direct.registration import router_object_name
from hickorylever.exceptions import HistoryLost
from hickorylever.http import Client
from hickorylever.platform import Store
from hickorylever.platform.standins.store import StandinStore


def version(node):
    return node.routes.configuration.version


async def write_versions(harness, *versions):
    for number in versions:
        await harness.store.put("config", "main", configuration(version=number))
    await harness.until(lambda: version(harness.node) == versions[-1])


async def register_and_restore(harness, name):
    """Register an endpoint, and restore the store from a copy that lacks it."""
    copy = harness.store.copy()
    await harness.store.put("servers", name, entry(1))
    await harness.until(lambda: name in harness.node.directory.endpoints)
    await harness.store.restore(copy)


def test_the_configuration_in_force_is_kept_until_it_is_written_again():
    async def scenario(harness):
        node = harness.node
        await write_versions(harness, 4)
        copy = harness.store.copy()
        await write_versions(harness, 5, 6)
        applied = []
        node.configuration_callbacks.append(
            lambda routes: applied.append(routes.configuration.version)
        )
        await harness.store.restore(copy)
        await harness.until(lambda: node.configuration_state.seen.era == 2)
        assert version(node) == 6
        # The revisions of the lost configurations are assigned again.
        for number in (5, 6, 7):
            await harness.store.put("config", "main", configuration(version=number))
            await curio.sleep(0.02)
        await harness.until(lambda: version(node) == 7)
        assert applied == sorted(applied)

    run_scenario(scenario, WELL)


def test_revisions_that_are_assigned_again_are_not_taken_for_known_ones():
    """The lost and the new change have the same revision; the watch must not skip the new one."""

    async def scenario(harness):
        node = harness.node
        await register_and_restore(harness, "lost")
        await harness.store.put("servers", "new", entry(2))
        await harness.until(lambda: "new" in node.directory.endpoints)

    run_scenario(scenario, WELL)


@pytest.mark.parametrize("written_again", [True, False])
def test_an_endpoint_that_the_copy_lacks(written_again):
    """It is used until its time to write its entry again is over."""

    async def scenario(harness):
        node = harness.node
        await register_and_restore(harness, "late")
        await harness.until(lambda: node.directory.latest.era == 2)
        late = node.directory.endpoints["late"]
        assert late.missing_since is not None
        if written_again:
            await harness.store.put("servers", "late", entry(1))
            await harness.until(lambda: late.missing_since is None)
        node.directory.expire(1e9)
        assert ("late" in node.directory.endpoints) is written_again

    run_scenario(scenario, WELL)


BORN = {"born": 1700000000000}


def test_an_endpoint_that_drained_before_the_restore_stays_drained():
    async def scenario(harness):
        node = harness.node
        await harness.store.put("servers", "i-0", entry(harness.ports[0], **BORN))
        copy = harness.store.copy()
        draining = entry(harness.ports[0], state="draining", **BORN)
        await harness.store.put("servers", "i-0", draining)
        await harness.until(lambda: not node.directory.endpoints["i-0"].accepting)
        await harness.store.restore(copy)
        await harness.until(lambda: node.directory.latest.era == 2)
        assert not node.directory.endpoints["i-0"].entry.draining
        assert not node.directory.endpoints["i-0"].accepting
        assert (await harness.send_request("/safe/x")).status == 503
        restarted = entry(harness.ports[0], born=BORN["born"] + 1)
        await harness.store.put("servers", "i-0", restarted)
        await harness.until(lambda: node.directory.endpoints["i-0"].accepting)
        assert (await harness.send_request("/safe/x")).status == 200

    run_scenario(scenario, WELL)


def test_a_removed_endpoint_that_the_copy_holds_is_not_used_at_once():
    """The store removes it again unless it is alive and renews its entry."""

    async def scenario(harness):
        node = harness.node
        await harness.store.put("servers", "i-0", entry(harness.ports[0], **BORN))
        copy = harness.store.copy()
        await harness.store.remove("servers", "i-0")
        await harness.until(lambda: "i-0" not in node.directory.endpoints)
        await harness.store.restore(copy)
        await harness.until(lambda: "i-0" in node.directory.endpoints)
        assert (await harness.send_request("/safe/x")).status == 503
        node.directory.endpoints["i-0"].paused_until = 0.0
        assert (await harness.send_request("/safe/x")).status == 200

    run_scenario(scenario, WELL)


@pytest.mark.parametrize("era", [b"", b"two", b"-1", b"1e3"])
def test_a_response_without_a_valid_era_counts_as_one_of_the_known_era(era, caplog):
    async def scenario(harness):
        harness.store.faults.era = era
        await harness.store.put("servers", "new", entry(2))
        await harness.until(lambda: "new" in harness.node.directory.endpoints)
        assert harness.node.directory.latest.era == 1

    with caplog.at_level("WARNING"):
        run_scenario(scenario, WELL)
    assert any(getattr(record, "event", None) == 316 for record in caplog.records)


def test_a_platform_without_eras_is_served():
    async def scenario(harness):
        harness.store.faults.era = b""
        await harness.start_router()
        assert (await harness.send_request("/safe/x")).status == 200
        assert harness.node.directory.latest.era == 0

    run_scenario(scenario, WELL, autostart=False)


class RestoredWhileListed(StandinStore):
    """Store that is restored from an empty copy after the first page of a list."""

    async def list_kind(self, exchange, kind):
        if "after" in exchange.query and self.era == 1:
            await self.restore(self.empty)
        await super().list_kind(exchange, kind)


def test_pages_of_two_eras_are_not_mixed(monkeypatch):
    async def scenario(harness):
        store = harness.store
        store.page_size = 1
        store.empty = dataclasses.replace(store.copy(), objects={})
        store.__class__ = RestoredWhileListed
        monkeypatch.setattr(
            "hickorylever.platform.standins.store.HANDLERS",
            {("GET", 3): RestoredWhileListed.list_kind},
        )
        client = Store(("127.0.0.1", harness.store_port), Client())
        with pytest.raises(HistoryLost):
            await client.list_kind("servers")
        assert (await client.list_kind("servers")).objects == ()

    run_scenario(scenario, WELL, WELL, autostart=False)


def test_a_response_of_the_era_before_is_dropped():
    async def scenario(harness):
        client = Store(("127.0.0.1", harness.store_port), Client())
        await harness.store.restore(harness.store.copy())
        assert (await client.list_kind("servers")).position.era == 2
        harness.store.faults.era = b"1"
        with pytest.raises(HistoryLost):
            await client.list_kind("servers")
        with pytest.raises(HistoryLost):
            await client.watch("servers", Position(1, 1), 0.0)

    run_scenario(scenario, WELL, autostart=False)


def test_routers_register_again(monkeypatch):
    monkeypatch.setattr("hickorylever.direct.registration.REGISTER_RETRY_SECONDS", 0.05)

    async def scenario(fleet):
        key = ("hickorylever-routers", router_object_name(f"{NETWORK}.1"))
        copy = dataclasses.replace(
            fleet.store.copy(),
            objects={name: value for name, value in fleet.store.objects.items() if name != key},
        )
        assert key in fleet.store.objects
        await fleet.store.restore(copy)
        await fleet.until(lambda: key in fleet.store.objects)
        await fleet.until(lambda: all(n.peer_sync.registration.era == 2 for n in fleet.nodes))
        await fleet.until(lambda: any(n.peer_sync.registration.stored for n in fleet.nodes))
        writes = fleet.store.calls["POST"]
        await curio.sleep(0.3)
        assert fleet.store.calls["POST"] == writes

    play(scenario, 2)


def test_a_router_without_the_store_follows_the_others_into_the_new_era():
    async def scenario(fleet):
        isolated = await fleet.start(7, seeds=[f"{NETWORK}.1"], store_port=1)
        await fleet.until(isolated.ready)
        copy = fleet.store.copy()
        await fleet.store.put("config", "main", configuration(version=8))
        await fleet.store.put("servers", "lost", entry(1))
        await fleet.until(lambda: version(isolated) == 8)
        await fleet.until(lambda: "lost" in isolated.directory.endpoints)
        await fleet.store.restore(copy)
        await fleet.store.put("servers", "i-1", entry(fleet.ports[1], state="draining"))
        await fleet.until(lambda: isolated.directory.endpoints["i-1"].entry.draining)
        assert isolated.directory.latest.era == 2
        assert version(isolated) == 8
        await fleet.until(lambda: "lost" not in isolated.directory.endpoints)
        await fleet.store.put("config", "main", configuration(version=9))
        await fleet.until(lambda: version(isolated) == 9)

    play(scenario, 2)


def test_a_router_that_starts_after_the_restore_takes_the_held_configuration():
    async def scenario(fleet):
        copy = fleet.store.copy()
        await fleet.store.put("config", "main", configuration(version=8))
        await fleet.until(lambda: all(version(node) == 8 for node in fleet.nodes))
        await fleet.store.restore(copy)
        await fleet.until(lambda: all(n.configuration_state.seen.era == 2 for n in fleet.nodes))
        starting = await fleet.start(5)
        await fleet.until(starting.ready)
        await fleet.until(lambda: version(starting) == 8)

    play(scenario, 2)
