import curio
import msgspec
import pytest
from harness import MODEL, World, run

from hickorylever.decisions.fairness import WorkQuota
from hickorylever.filters.parse import with_priority
from hickorylever.limits import take_use


async def idle(world):
    """Wait until the router is done with what its callers already have."""
    while world.routers[0].in_flight:
        await curio.sleep(0.001)


def test_a_request_without_room_is_refused_at_once_and_not_run():
    async def main():
        async with World(engines=1) as world:
            env = world.routers[0].env
            queue = env.limits.queue(env.models[MODEL])
            queue.quota, queue.max_waiting = WorkQuota(1.0, 1.0), 0
            first = await curio.spawn(world.chat, "slow")
            while not queue.running_count:
                await curio.sleep(0)
            status, headers, body = await world.chat("second")
            problem = msgspec.json.decode(body)
            assert (status, problem["kind"], problem["ran"]) == (503, "overloaded", "no")
            assert int(dict(headers)[b"retry-after"]) >= 1
            assert (await first.join())[0] == 200 and world.engines[0].runs == 1
            await idle(world)
            assert not queue.running_count and not env.limits.events

    run(main)


def test_work_is_learned_from_answers():
    async def main():
        async with World(engines=1) as world:
            for stream in (False, True):
                await world.chat("hello " * 100, stream=stream)
            await idle(world)
            moving = world.routers[0].env.estimates.entry("clerks", MODEL)
            assert moving.output == pytest.approx(8 + (256 - 8) * 0.81)

    run(main)


def test_use_from_gossip_is_checked():
    async def main():
        async with World(engines=1) as world:
            env = world.routers[0].env
            take_use(env, "other", {"clerks": 10.0, "x": float("nan"), "y": "z", "w": -1})
            assert env.limits.use.remote["other"][1] == {"clerks": 10.0}
            assert env.limits.weight("clerks") == pytest.approx(0.05)

    run(main)


PRIORITIES = [
    (b' {"model": "m"}', 0, {"model": "m"}),
    (b' {"model": "m"}', 2, {"model": "m", "priority": -2}),
    (b'{"model": "m", "priority": -99}', 0, {"model": "m"}),
    (b'{"model": "m", "priority": null}', -1, {"model": "m", "priority": 1}),
]


@pytest.mark.parametrize("body, priority, result", PRIORITIES)
def test_engines_get_the_priority_of_the_rules_only(body, priority, result):
    assert msgspec.json.decode(with_priority(body, priority)) == result
