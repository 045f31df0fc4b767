import functools

import msgspec
import pytest
from harness import MODEL, FleetHarness, run

from hickorylever import suspicion
from hickorylever.exceptions import PlatformError
from hickorylever.records import Attempt
from hickorylever.standins.engine import Engine

POISON = "crash me"


class CrashingEngine(Engine):
    """Closes the connection of each request that contains the poison, and counts these.

    :cvar crashes_once: whether the poison has an effect only the first time.
    """

    crashes = 0
    crashes_once = False

    async def complete(self, exchange, body):
        text = msgspec.json.encode(body).decode()
        if POISON in text and not (self.crashes_once and self.crashes):
            type(self).crashes += 1
            await exchange.channel.abort()
            return
        await super().complete(exchange, body)


def make_harness(engine, routers=2):
    harness = FleetHarness(engines=5, routers=routers)
    engine.crashes = 0
    harness.engines = [engine(entry.name, entry.speed) for entry in harness.engines]
    return harness


async def send(harness, router, text=POISON):
    body = {"model": MODEL, "messages": [{"role": "user", "content": text}], "max_tokens": 2}
    status, headers, content = await harness.post("/v1/chat/completions", body, router=router)
    return status, dict(headers), msgspec.json.decode(content)


def test_crashing_request_reaches_at_most_two_endpoints():
    class Engines(CrashingEngine):
        pass

    async def main():
        async with make_harness(Engines, 3) as harness:
            first = await send(harness, 0)
            assert (first[0], first[2]["kind"]) == (422, "crashing")
            for turn in range(9):
                skipped = {f"engine-{turn % 5}"}
                env = harness.routers[turn % 3].env
                env.view.usable = env.usable = lambda name, skipped=skipped: name not in skipped
                status, headers, problem = await send(harness, turn % 3)
                assert (status, problem["kind"], problem["ran"]) == (422, "crashing", "no")
                assert int(headers[b"retry-after"]) >= 1
            assert Engines.crashes == 2
            assert (await send(harness, 1, "harmless"))[0] == 200

    run(main)


def test_suspect_is_cleared_when_it_completes():
    class Engines(CrashingEngine):
        crashes_once = True

    async def main():
        async with make_harness(Engines) as harness:
            for router in (0, 1, 0):
                assert (await send(harness, router))[0] == 200
            assert Engines.crashes == 1

    run(main)


def test_suspect_is_refused_while_object_api_is_down():
    class Engines(CrashingEngine):
        pass

    async def main():
        async with make_harness(Engines) as harness:
            for env in harness.environments():

                async def fail(*arguments):
                    raise PlatformError("down")

                env.platform.put = env.platform.list_kind = fail
            for router in (0, 1, 0, 1):
                status, _, problem = await send(harness, router)
                assert (status, problem["kind"]) == (422, "crashing")
            assert Engines.crashes == 1
            assert (await send(harness, 1, "harmless"))[0] == 200

    run(main)


def test_outage_limits_reads_of_suspects():
    async def main():
        async with FleetHarness(engines=3) as harness:
            env = harness.routers[0].env
            reads = []

            async def fail(kind):
                reads.append(kind)
                raise PlatformError("down")

            env.platform.list_kind = fail
            env.view.usable = lambda name: name != "engine-0"
            now = env.clock()
            env.clock = lambda: now
            for number in range(12):
                assert (await send(harness, 0, f"chat {number}"))[0] == 200
            assert len(reads) == 1

    run(main)


@pytest.mark.parametrize("value", [b"{}", b"\xff", b'{"type":"crash"}', 7])
def test_malformed_gossip_is_ignored(value):
    async def main():
        async with FleetHarness(engines=1) as harness:
            env = harness.routers[0].env
            suspicion.receive_record(env, "other", value)
            assert not env.suspects.records

    run(main)


def test_suspects_do_not_run_concurrently():
    async def main():
        async with FleetHarness(engines=1) as harness:
            env = harness.sidecars["engine-0"].env
            make_attempt = functools.partial(Attempt, "id", "e", "i", 1.0, 1.0)
            trials = [make_attempt(fingerprint=name, trial=("x",)) for name in "ab"]
            env.suspects.record_crash("x", ["a", "b"], env.clock())
            assert suspicion.refuse_attempt(env, trials[0], []) is None
            assert suspicion.refuse_attempt(env, trials[0], trials[1:])[0] == "overloaded"
            assert suspicion.refuse_attempt(env, trials[0], trials[:1])[0] == "crashing"
            assert (
                suspicion.refuse_attempt(env, make_attempt(fingerprint="a"), [])[0] == "crashing"
            )
            assert suspicion.refuse_attempt(env, make_attempt(fingerprint="c"), trials) is None

    run(main)
