import curio
import msgspec
import pytest
from harness import MODEL, FleetHarness, run

from hickorylever.controllers.leases import LeaseClient
from hickorylever.controllers.placement import Placement
from hickorylever.decisions.leases import Verdict
from hickorylever.decisions.placement import Assignment, LoadState, Order
from hickorylever.orders import EngineOrder
from hickorylever.standins.orders import ModelLoader


def order(number, version="1", models=(MODEL,)):
    return msgspec.json.encode(Order("engine-0", Assignment(models, version), number))


async def make_orders(harness, checks=False, models=(MODEL,)):
    engine = harness.engines[0]
    engine.loader = ModelLoader(checks, 0.0, Assignment(models))
    orders = harness.sidecars["engine-0"].orders
    await orders.read_fencing_number()
    return engine, orders


@pytest.mark.parametrize("checks", [True, False])
def test_stale_order_is_refused(checks):
    async def main():
        async with FleetHarness(engines=1) as harness:
            engine, orders = await make_orders(harness, checks)
            assert await orders.accept(order(3, "new")) is Verdict.OBEY
            assert await orders.accept(order(2, "old")) is Verdict.OLDER
            assert [taken.assignment.version for taken in engine.loader.accepted] == ["new"]

    run(main)


def test_no_order_is_accepted_before_fencing_number_is_read():
    async def main():
        async with FleetHarness(engines=1) as harness:
            router = harness.routers[0].env
            lease_client = LeaseClient(router, "placement")
            await lease_client.step()
            assert await lease_client.step()
            orders = harness.sidecars["engine-0"].orders
            harness.engines[0].loader = ModelLoader(False, 0.0)
            assert await orders.accept(order(1)) is Verdict.NOT_READ
            await orders.read_fencing_number()
            assert await orders.accept(order(0)) is Verdict.OLDER
            assert await orders.accept(order(1)) is Verdict.OBEY

    run(main)


def test_delayed_stale_order_is_overridden():
    async def main():
        async with FleetHarness(engines=1) as harness:
            engine, orders = await make_orders(harness)
            await orders.accept(order(3, "new"))
            await engine.loader.accept(EngineOrder(Assignment((MODEL,), "old"), 2))
            await curio.sleep(0.02)
            assert engine.loader.state.assignment.version == "old"
            await orders.check()
            await curio.sleep(0.02)
            assert engine.loader.state.assignment.version == "new"

    run(main)


def test_engine_is_warmed_up_before_traffic():
    async def main():
        async with FleetHarness(engines=1) as harness:
            engine, orders = await make_orders(harness, models=())
            await orders.check()
            assert orders.loaded.state is LoadState.EMPTY and not orders.is_warm()
            await orders.accept(order(1))
            await curio.sleep(0.02)
            assert not orders.is_warm() and engine.runs == 0
            await orders.check()
            assert orders.is_warm() and engine.runs == 1

    run(main)


def test_engine_without_orders_is_warm():
    async def main():
        async with FleetHarness(engines=1) as harness:
            orders = harness.sidecars["engine-0"].orders
            await orders.check()
            assert orders.loaded.state is LoadState.FIXED and orders.is_warm()

    run(main)


def test_placement_requires_lease():
    async def main():
        async with FleetHarness(engines=2) as harness:
            engine, orders = await make_orders(harness, models=())
            env = harness.routers[0].env
            lease_client = LeaseClient(env, "placement")
            placement = Placement(env, lease_client)
            await orders.check()
            await harness.sidecars["engine-1"].orders.check()
            await placement.run(1)
            assert not engine.loader.accepted
            await lease_client.step()
            assert await lease_client.step()
            await placement.run(lease_client.lease.record.number)
            assert [taken.assignment.models for taken in engine.loader.accepted] == [(MODEL,)]
            assert placement.loaded["engine-1"].state is LoadState.FIXED

    run(main)
