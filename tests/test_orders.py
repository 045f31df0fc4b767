import curio
import msgspec
import pytest
from harness import MODEL, World, run

from hickorylever.controllers.leases import Keeper
from hickorylever.controllers.placement import Placement
from hickorylever.decisions.leases import Verdict
from hickorylever.decisions.placement import Assignment, LoadState, Order
from hickorylever.orders import EngineOrder
from hickorylever.standins.orders import ModelLoader


def order(number, version="1", models=(MODEL,)):
    return msgspec.json.encode(Order("engine-0", Assignment(models, version), number))


async def ready_world(world, checks=False, models=(MODEL,)):
    engine = world.engines[0]
    engine.loader = ModelLoader(checks, 0.0, Assignment(models))
    orders = world.sidecars["engine-0"].orders
    await orders.read_number()
    return engine, orders


@pytest.mark.parametrize("checks", [True, False])
def test_an_older_order_is_refused_by_the_sidecar_whatever_the_engine_does(checks):
    async def main():
        async with World(engines=1) as world:
            engine, orders = await ready_world(world, checks)
            assert await orders.accept(order(3, "new")) is Verdict.OBEY
            assert await orders.accept(order(2, "old")) is Verdict.OLDER
            assert [taken.assignment.version for taken in engine.loader.accepted] == ["new"]

    run(main)


def test_a_fresh_sidecar_obeys_nothing_before_it_has_read_the_number():
    async def main():
        async with World(engines=1) as world:
            router = world.routers[0].env
            keeper = Keeper(router, "placement")
            await keeper.step()
            assert await keeper.step()
            orders = world.sidecars["engine-0"].orders
            world.engines[0].loader = ModelLoader(False, 0.0)
            assert await orders.accept(order(1)) is Verdict.NOT_READ
            await orders.read_number()
            assert await orders.accept(order(0)) is Verdict.OLDER
            assert await orders.accept(order(1)) is Verdict.OBEY

    run(main)


def test_an_older_order_that_reached_the_engine_late_is_overridden():
    async def main():
        async with World(engines=1) as world:
            engine, orders = await ready_world(world)
            await orders.accept(order(3, "new"))
            await engine.loader.accept(EngineOrder(Assignment((MODEL,), "old"), 2))
            await curio.sleep(0.02)
            assert engine.loader.state.assignment.version == "old"
            await orders.check()
            await curio.sleep(0.02)
            assert engine.loader.state.assignment.version == "new"

    run(main)


def test_an_engine_is_warmed_before_it_takes_traffic():
    async def main():
        async with World(engines=1) as world:
            engine, orders = await ready_world(world, models=())
            await orders.check()
            assert orders.loaded.state is LoadState.EMPTY and not orders.is_warm()
            await orders.accept(order(1))
            await curio.sleep(0.02)
            assert not orders.is_warm() and engine.runs == 0
            await orders.check()
            assert orders.is_warm() and engine.runs == 1

    run(main)


def test_engines_without_orders_are_warm():
    async def main():
        async with World(engines=1) as world:
            orders = world.sidecars["engine-0"].orders
            await orders.check()
            assert orders.loaded.state is LoadState.FIXED and orders.is_warm()

    run(main)


def test_placement_loads_an_empty_engine_under_its_lease_only():
    async def main():
        async with World(engines=2) as world:
            engine, orders = await ready_world(world, models=())
            env = world.routers[0].env
            keeper = Keeper(env, "placement")
            placement = Placement(env, keeper)
            await orders.check()
            await world.sidecars["engine-1"].orders.check()
            await placement.run(1)
            assert not engine.loader.accepted
            await keeper.step()
            assert await keeper.step()
            await placement.run(keeper.lease.record.number)
            assert [taken.assignment.models for taken in engine.loader.accepted] == [(MODEL,)]
            assert placement.loaded["engine-1"].state is LoadState.FIXED

    run(main)
