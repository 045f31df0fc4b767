import curio
import msgspec
import pytest
from faults import interpose
from harness import HOST, KEY, World, run

from hickorylever import defaults, http
from hickorylever.standins.engine import Speed

PATIENT = Speed(prompt_tokens_per_second=1e6, seconds_per_token=0.01)


def counts(body):
    return body.count(b'"content"')


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(defaults, "HEARTBEAT_INTERVAL_SECONDS", 0.05)


async def learn(world):
    """Let the router hear every sidecar's incarnation and clock."""
    known = world.routers[0].env.stamps
    for number in range(50):
        if len(known) < len(world.engines):
            await world.chat(f"warm {number}", max_tokens=1)
    assert len(known) == len(world.engines)


# Fault of the hand-over's connection, and of the first resume.
FAULTS = [("silent",), ("half",), ("other",), ("half", "half"), ("silent", "half"), ("other", "")]


@pytest.mark.parametrize("plan", FAULTS, ids="-".join)
@pytest.mark.parametrize("stream", [False, True])
def test_answer_is_whole_after_a_lost_connection(plan, stream):
    async def main():
        async with World(engines=1, speed=PATIENT) as world:
            await learn(world)
            hop = await interpose(world, "engine-0", *plan)
            runs = world.engines[0].runs
            status, _, body = await world.chat(stream=stream)
            assert status == 200 and hop.taken[: len(plan)] == list(plan)
            assert world.engines[0].runs == runs + 1
            if stream:
                assert counts(body) == 8 and body.endswith(b"data: [DONE]\n\n")
            else:
                assert b"w0 w1 w2 w3 w4 w5 w6 w7 " in body

    run(main)


def test_lost_hand_over_is_tombstoned_and_moves_on():
    async def main():
        async with World(engines=2) as world:
            await learn(world)
            for name in world.sidecars:
                if name.startswith("engine"):
                    await interpose(world, name, "mute", revision=2 + int(name[-1]))
            status, _, _ = await world.chat()
            assert status in (200, 503)
            cancelled = [
                entry
                for sidecar in world.sidecars.values()
                for entry in sidecar.attempts.entries.values()
                if entry.state == "cancelled"
            ]
            assert cancelled

    run(main)


def test_changed_answer_is_never_released():
    async def main():
        async with World(engines=1) as world:
            await learn(world)
            await interpose(world, "engine-0", *["flip"] * 20)
            status, _, body = await world.chat()
            problem = msgspec.json.decode(body)
            assert (status, problem["kind"]) == (502, "answer_lost")
            assert problem["ran"] == "yes"

    run(main)


def test_sidecar_that_is_gone_leaves_unknown():
    async def main():
        async with World(engines=0) as world:
            world.services[0].delay = 5.0
            await world.post("/ledger/notes", b"x", [(b"hickory-timeout", b"0.05")])
            hop = await interpose(world, "ledger-0", *["half"] * 9)
            task = await curio.spawn(world.post, "/ledger/notes", b"x")
            while not hop.taken:
                await curio.sleep(0.01)
            await curio.sleep(0.05)
            world.sidecars["ledger-0"].env.incarnation = "restarted"
            world.sidecars["ledger-0"].attempts.incarnation = "restarted"
            await hop.cut()
            status, _, body = await task.join()
            assert (status, msgspec.json.decode(body)["ran"]) == (503, "unknown")

    run(main)


def test_deadline_ends_with_what_is_known():
    async def main():
        async with World(engines=0) as world:
            world.services[0].delay = 5.0
            fields = [(b"hickory-timeout", b"0.2")]
            status, _, body = await world.post("/ledger/notes", b"x", fields)
            problem = msgspec.json.decode(body)
            assert (status, problem["kind"], problem["ran"]) == (504, "deadline", "unknown")
            assert world.sidecars["ledger-0"].attempts.running == 0

    run(main)


def test_deadline_with_a_silent_sidecar_is_unknown():
    async def main():
        async with World(engines=0) as world:
            await world.post("/ledger/notes", b"x")
            await interpose(world, "ledger-0", *["silent"] * 20)
            fields = [(b"hickory-timeout", b"0.1")]
            status, _, body = await world.post("/ledger/notes", b"x", fields)
            assert (status, msgspec.json.decode(body)["ran"]) == (504, "unknown"), body

    run(main)


def test_endpoint_error_passes_through():
    async def main():
        async with World(engines=0) as world:

            async def fail(exchange):
                await exchange.body()
                await exchange.respond(500, [(b"x-from", b"ledger")], b"broken")

            world.services[0].server.handler = fail
            status, headers, body = await world.post("/ledger/notes", b"x")
            assert (status, body) == (500, b"broken")
            assert (b"x-from", b"ledger") in headers

    run(main)


@pytest.mark.parametrize("stream", [False, True])
def test_caller_that_goes_away_cancels_its_attempt(stream):
    async def main():
        async with World(
            engines=1, speed=Speed(prompt_tokens_per_second=1e6, seconds_per_token=0.5)
        ) as world:
            table = world.sidecars["engine-0"].attempts
            body = msgspec.json.encode(
                {"model": "m1", "prompt": "x", "max_tokens": 40, "stream": stream}
            )
            sock = await http.connect(HOST, world.router_ports[0])
            head = f"POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n"
            head += f"content-length: {len(body)}\r\n\r\n"
            await sock.sendall(head.encode() + body)
            while not world.engines[0].runs:
                await curio.sleep(0.01)
            assert table.running == 1
            await sock.close()
            while table.running:
                await curio.sleep(0.01)
            assert world.engines[0].runs == 1

    run(main)
