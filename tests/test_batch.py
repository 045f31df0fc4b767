import curio
from harness import FleetHarness, run

from hickorylever.standins.batch import Batch


async def hold_slot(batch, name, priority, order, release):
    async with batch.slot(priority):
        order.append(name)
        await release.wait()


def test_batch_is_bounded_and_serves_by_priority():
    async def main():
        batch = Batch(2, slowdown=1.0)
        order, release = [], curio.Event()
        tasks = []
        for name, priority in (("a", 0), ("b", 0), ("low", 0), ("cancelled", -9), ("high", -1)):
            tasks.append(await curio.spawn(hold_slot, batch, name, priority, order, release))
            await curio.sleep(0)
        assert order == ["a", "b"] and batch.running == 2
        assert batch.step_seconds(1.0) == 1.5
        await tasks[3].cancel()
        await release.set()
        for task in (*tasks[:3], tasks[4]):
            await task.join()
        assert order == ["a", "b", "high", "low"]
        assert (batch.running, batch.queue) == (0, [])

    run(main)


def test_engine_respects_its_batch_size():
    async def main():
        async with FleetHarness(engines=1) as world:
            engine = world.engines[0]
            engine.batch = Batch(2)
            max_running = 0
            async with curio.TaskGroup() as group:
                for number in range(6):
                    await group.spawn(world.chat, f"c{number}")
                while engine.runs < 6:
                    max_running = max(max_running, engine.batch.running)
                    await curio.sleep(0.001)
            assert max_running == 2 and engine.batch.running == 0

    run(main)
