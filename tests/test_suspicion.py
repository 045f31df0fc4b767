import functools

import msgspec
import pytest
from harness import MODEL, World, run

from hickorylever import suspicion
from hickorylever.exceptions import PlatformError
from hickorylever.records import Attempt
from hickorylever.standins.engine import Engine

POISON = "crash me"


class Crashing(Engine):
    """Drops every connection when it meets the poison, and counts it."""

    crashes = 0
    innocent = False

    async def complete(self, exchange, body):
        text = msgspec.json.encode(body).decode()
        if POISON in text and not (self.innocent and self.crashes):
            type(self).crashes += 1
            await exchange.channel.abort()
            return
        await super().complete(exchange, body)


def world_of(engine, routers=2):
    world = World(engines=5, routers=routers)
    engine.crashes = 0
    world.engines = [engine(entry.name, entry.speed) for entry in world.engines]
    return world


async def send(world, router, text=POISON):
    body = {"model": MODEL, "messages": [{"role": "user", "content": text}], "max_tokens": 2}
    status, headers, answer = await world.post("/v1/chat/completions", body, router=router)
    return status, dict(headers), msgspec.json.decode(answer)


def test_a_crashing_request_reaches_two_endpoints_however_often_it_is_sent():
    class Engines(Crashing):
        pass

    async def main():
        async with world_of(Engines, 3) as world:
            first = await send(world, 0)
            assert (first[0], first[2]["kind"]) == (422, "crashing")
            for turn in range(9):
                gone = {f"engine-{turn % 5}"}
                env = world.routers[turn % 3].env
                env.view.usable = env.usable = lambda name, gone=gone: name not in gone
                status, headers, problem = await send(world, turn % 3)
                assert (status, problem["kind"], problem["ran"]) == (422, "crashing", "no")
                assert int(headers[b"retry-after"]) >= 1
            assert Engines.crashes == 2
            assert (await send(world, 1, "harmless"))[0] == 200

    run(main)


def test_an_innocent_is_cleared_by_completing_elsewhere():
    class Engines(Crashing):
        innocent = True

    async def main():
        async with world_of(Engines) as world:
            for router in (0, 1, 0):
                assert (await send(world, router))[0] == 200
            assert Engines.crashes == 1

    run(main)


def test_without_the_register_a_suspect_is_refused():
    class Engines(Crashing):
        pass

    async def main():
        async with world_of(Engines) as world:
            for env in world.environments():

                async def fail(*arguments):
                    raise PlatformError("down")

                env.platform.put = env.platform.list_kind = fail
            for router in (0, 1, 0, 1):
                status, _, problem = await send(world, router)
                assert (status, problem["kind"]) == (422, "crashing")
            assert Engines.crashes == 1
            assert (await send(world, 1, "harmless"))[0] == 200

    run(main)


def test_an_outage_costs_one_late_read_a_second():
    async def main():
        async with World(engines=3) as world:
            env = world.routers[0].env
            reads = []

            async def fail(kind):
                reads.append(kind)
                raise PlatformError("down")

            env.platform.list_kind = fail
            env.view.usable = lambda name: name != "engine-0"
            now = env.clock()
            env.clock = lambda: now
            for number in range(12):
                assert (await send(world, 0, f"chat {number}"))[0] == 200
            assert len(reads) == 1

    run(main)


@pytest.mark.parametrize("value", [b"{}", b"\xff", b'{"type":"crash"}', 7])
def test_odd_gossip_is_left_out(value):
    async def main():
        async with World(engines=1) as world:
            env = world.routers[0].env
            suspicion.receive_record(env, "other", value)
            assert not env.suspects.records

    run(main)


def test_suspects_never_run_beside_each_other():
    async def main():
        async with World(engines=1) as world:
            env = world.sidecars["engine-0"].env
            make = functools.partial(Attempt, "id", "e", "i", 1.0, 1.0)
            tried = [make(fingerprint=name, trial=("x",)) for name in "ab"]
            env.suspects.record_crash("x", ["a", "b"], env.clock())
            assert suspicion.refuse_attempt(env, tried[0], []) is None
            assert suspicion.refuse_attempt(env, tried[0], tried[1:])[0] == "overloaded"
            assert suspicion.refuse_attempt(env, tried[0], tried[:1])[0] == "crashing"
            assert suspicion.refuse_attempt(env, make(fingerprint="a"), [])[0] == "crashing"
            assert suspicion.refuse_attempt(env, make(fingerprint="c"), tried) is None

    run(main)
