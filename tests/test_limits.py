import curio
import msgspec
import pytest
from harness import MODEL, FleetHarness, run

from hickorylever.decisions.fairness import WorkQuota
from hickorylever.filters.parse import with_priority
from hickorylever.limits import record_usage


async def idle(world):
    """Wait until the router has finished requests whose responses were already sent."""
    while world.routers[0].in_flight:
        await curio.sleep(0.001)


def test_request_over_the_limit_is_refused_without_running():
    async def main():
        async with FleetHarness(engines=1) as world:
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


def test_output_estimate_follows_reported_usage():
    async def main():
        async with FleetHarness(engines=1) as world:
            for stream in (False, True):
                await world.chat("hello " * 100, stream=stream)
            await idle(world)
            moving = world.routers[0].env.estimates.entry("clerks", MODEL)
            assert moving.output == pytest.approx(8 + (256 - 8) * 0.81)

    run(main)


def test_invalid_usage_from_gossip_is_ignored():
    async def main():
        async with FleetHarness(engines=1) as world:
            env = world.routers[0].env
            record_usage(env, "other", {"clerks": 10.0, "x": float("nan"), "y": "z", "w": -1})
            assert env.limits.account_usage.remote["other"][1] == {"clerks": 10.0}
            assert env.limits.weight("clerks") == pytest.approx(0.05)

    run(main)


PRIORITIES = [
    (b' {"model": "m"}', 0, {"model": "m"}),
    (b' {"model": "m"}', 2, {"model": "m", "priority": -2}),
    (b'{"model": "m", "priority": -99}', 0, {"model": "m"}),
    (b'{"model": "m", "priority": null}', -1, {"model": "m", "priority": 1}),
]


@pytest.mark.parametrize("body, priority, result", PRIORITIES)
def test_priority_comes_from_the_rules_and_not_from_the_caller(body, priority, result):
    assert msgspec.json.decode(with_priority(body, priority)) == result
