import curio
import pytest
from direct_harness import configuration, entry, run_scenario

WELL = ("well",)


@pytest.mark.parametrize("status", [503, 429, 500])
def test_what_is_known_stays_in_force_while_the_store_fails(status):
    async def scenario(world):
        world.store.faults.status = status
        await world.store.put("servers", "odd", {})
        await world.until(world.store_unreachable)
        assert (await world.send_request("/safe/x")).status == 200
        await world.store.remove("servers", "i-1")
        world.store.faults.status = 0
        await world.until(lambda: not world.store_unreachable())
        assert (await world.send_request("/safe/x")).status == 200
        await world.until(lambda: len(world.node.directory.pool("engines")) == 1)

    run_scenario(scenario, WELL, WELL)


def test_a_lost_history_is_answered_by_a_list():
    async def scenario(world):
        await world.store.put("servers", "i-9", entry(1))
        world.store.objects.pop(("servers", "i-1"))
        world.store.revision += 5
        world.store.compact()
        await world.store.put("servers", "i-8", entry(2))
        names = {"i-0", "i-8", "i-9"}
        await world.until(lambda: set(world.node.directory.endpoints) == names)

    run_scenario(scenario, WELL, WELL)


def test_a_list_of_many_pages():
    async def scenario(world):
        world.store.page_size = 2
        for number in range(7):
            await world.store.put("servers", f"n-{number}", entry(number + 1))
        await world.start_router()
        assert len(world.node.directory.endpoints) == 8

    run_scenario(scenario, WELL, autostart=False)


def test_an_older_configuration_never_replaces_a_newer_one():
    async def scenario(world):
        await world.store.put("config", "main", configuration(version=5))
        await world.until(lambda: world.node.routes.configuration.version == 5)
        stale = world.node.stored_configuration.__class__("main", 1, b"{}")
        world.node.take_stored(stale)
        assert world.node.routes.configuration.version == 5

    run_scenario(scenario, WELL)


def test_an_unreadable_configuration_changes_nothing():
    async def scenario(world):
        await world.store.put("config", "main", {"version": "nine"})
        await curio.sleep(0.05)
        assert (await world.send_request("/safe/x")).status == 200

    run_scenario(scenario, WELL)


def test_calls_stay_few_on_a_calm_day():
    async def scenario(world):
        await curio.sleep(0.3)
        assert sum(world.store.calls.values()) <= 5

    run_scenario(scenario, WELL)


@pytest.mark.parametrize("newest", [0, 3])
def test_a_list_of_a_peer_that_knows_less_changes_nothing(newest):
    async def scenario(world):
        node = world.node
        node.take_peer_endpoints([], newest, complete=True)
        node.directory.expire(1e9)
        assert len(node.directory.pool("engines")) == 2

    run_scenario(scenario, WELL, WELL)


def test_a_router_still_follows_while_large_changes_settle():
    async def scenario(world):
        routes = configuration()["routes"]
        many = [{**routes[0], "name": f"r-{n}", "path-prefix": f"/r-{n}/"} for n in range(200)]
        large = configuration(version=7, routes=routes + many)
        await world.store.put("config", "main", large)
        await world.until(lambda: world.node.routes.configuration.version == 7)
        assert world.node.neighbours.following()
        await world.store.put("config", "main", {**large, "version": 8})
        while world.node.routes.configuration.version == 7:
            assert world.node.neighbours.following()
            await curio.sleep(0.005)

    run_scenario(scenario, WELL)
