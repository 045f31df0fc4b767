import curio
import msgspec
import pytest
from direct_harness import WELL, configuration, entry, run_scenario

from hickorylever.direct.position import Position
from hickorylever.direct.records import EntriesAnswer, StoredObject


@pytest.mark.parametrize("status", [503, 429, 500])
def test_known_state_stays_in_force_during_a_store_outage(status):
    async def scenario(harness):
        harness.store.faults.status = status
        await harness.store.put("servers", "odd", {})
        await harness.until(harness.store_unreachable)
        assert (await harness.send_request("/safe/x")).status == 200
        await harness.store.remove("servers", "i-1")
        harness.store.faults.status = 0
        await harness.until(lambda: not harness.store_unreachable())
        assert (await harness.send_request("/safe/x")).status == 200
        await harness.until(lambda: len(harness.node.directory.pool("engines")) == 1)

    run_scenario(scenario, WELL, WELL)


def test_a_compacted_history_leads_to_a_list():
    async def scenario(harness):
        await harness.store.put("servers", "i-9", entry(1))
        harness.store.objects.pop(("servers", "i-1"))
        harness.store.revision += 5
        harness.store.compact()
        await harness.store.put("servers", "i-8", entry(2))
        names = {"i-0", "i-8", "i-9"}
        await harness.until(lambda: set(harness.node.directory.endpoints) == names)

    run_scenario(scenario, WELL, WELL)


def test_a_list_of_many_pages():
    async def scenario(harness):
        harness.store.page_size = 2
        for number in range(7):
            await harness.store.put("servers", f"n-{number}", entry(number + 1))
        await harness.start_router()
        assert len(harness.node.directory.endpoints) == 8

    run_scenario(scenario, WELL, autostart=False)


def test_an_older_configuration_never_replaces_a_newer_one():
    async def scenario(harness):
        await harness.store.put("config", "main", configuration(version=5))
        await harness.until(lambda: harness.node.routes.configuration.version == 5)
        stale = StoredObject("main", Position(0, 1), msgspec.json.encode(configuration(version=3)))
        harness.node.apply_stored_configuration(stale)
        assert harness.node.routes.configuration.version == 5

    run_scenario(scenario, WELL)


def test_an_unreadable_configuration_changes_nothing():
    async def scenario(harness):
        await harness.store.put("config", "main", {"version": "nine"})
        await curio.sleep(0.05)
        assert (await harness.send_request("/safe/x")).status == 200

    run_scenario(scenario, WELL)


def test_few_store_calls_are_made_without_changes():
    async def scenario(harness):
        await curio.sleep(0.3)
        assert sum(harness.store.calls.values()) <= 5

    run_scenario(scenario, WELL)


@pytest.mark.parametrize("revision", [0, 3])
def test_an_older_list_from_another_router_changes_nothing(revision):
    async def scenario(harness):
        node = harness.node
        position = Position(0, revision)
        node.apply_peer_endpoints(EntriesAnswer((), True, position, position))
        node.directory.expire(1e9)
        assert len(node.directory.pool("engines")) == 2

    run_scenario(scenario, WELL, WELL)


def test_a_router_counts_as_watching_while_large_changes_settle():
    async def scenario(harness):
        routes = configuration()["routes"]
        many = [{**routes[0], "name": f"r-{n}", "path-prefix": f"/r-{n}/"} for n in range(200)]
        large = configuration(version=7, routes=routes + many)
        await harness.store.put("config", "main", large)
        await harness.until(lambda: harness.node.routes.configuration.version == 7)
        assert harness.node.peer_sync.watching()
        await harness.store.put("config", "main", {**large, "version": 8})
        while harness.node.routes.configuration.version == 7:
            assert harness.node.peer_sync.watching()
            await curio.sleep(0.005)

    run_scenario(scenario, WELL)


def test_lists_that_fail_during_restores_are_retried_with_a_delay():
    """A store that alternates between two eras must not be asked without a pause."""

    async def scenario(harness):
        client = harness.node.store
        client.era = 9
        harness.store.compact()
        await harness.store.put("servers", "odd", {})
        await harness.until(harness.store_unreachable)
        calls = harness.store.calls["GET"]
        await curio.sleep(0.5)
        assert harness.store.calls["GET"] - calls < 15

    run_scenario(scenario, WELL)
