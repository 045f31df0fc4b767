import curio
import msgspec
import pytest
from faults import interpose
from harness import HOST, KEY, FleetHarness, run

from hickorylever import defaults, http
from hickorylever.standins.engine import Speed

STREAM_SPEED = Speed(prompt_tokens_per_second=1e6, seconds_per_token=0.01)


def count_chunks(body):
    return body.count(b'"content"')


@pytest.fixture(autouse=True)
def short_heartbeat_interval(monkeypatch):
    monkeypatch.setattr(defaults, "HEARTBEAT_INTERVAL_SECONDS", 0.05)


async def fetch_clock_samples(harness):
    """Send requests until the router has a clock sample of every sidecar."""
    samples = harness.routers[0].env.clock_samples
    for number in range(50):
        if len(samples) < len(harness.engines):
            await harness.chat(f"warm {number}", max_tokens=1)
    assert len(samples) == len(harness.engines)


# Faults of the first connection of an attempt and of its first resume.
FAULTS = [
    ("silent",),
    ("truncated",),
    ("wrong_attempt",),
    ("truncated", "truncated"),
    ("silent", "truncated"),
    ("wrong_attempt", ""),
]


@pytest.mark.parametrize("faults", FAULTS, ids="-".join)
@pytest.mark.parametrize("stream", [False, True])
def test_response_is_complete_after_lost_connection(faults, stream):
    async def main():
        async with FleetHarness(engines=1, speed=STREAM_SPEED) as harness:
            await fetch_clock_samples(harness)
            proxy = await interpose(harness, "engine-0", *faults)
            runs = harness.engines[0].runs
            status, _, body = await harness.chat(stream=stream)
            assert status == 200 and proxy.applied[: len(faults)] == list(faults)
            assert harness.engines[0].runs == runs + 1
            if stream:
                assert count_chunks(body) == 8 and body.endswith(b"data: [DONE]\n\n")
            else:
                assert b"w0 w1 w2 w3 w4 w5 w6 w7 " in body

    run(main)


def test_undelivered_attempt_is_cancelled():
    async def main():
        async with FleetHarness(engines=2) as harness:
            await fetch_clock_samples(harness)
            for name in harness.sidecars:
                if name.startswith("engine"):
                    await interpose(harness, name, "unsent", revision=2 + int(name[-1]))
            status, _, _ = await harness.chat()
            assert status in (200, 503)
            cancelled = [
                entry
                for sidecar in harness.sidecars.values()
                for entry in sidecar.attempts.entries.values()
                if entry.state == "cancelled"
            ]
            assert cancelled

    run(main)


def test_corrupt_response_is_not_delivered():
    async def main():
        async with FleetHarness(engines=1) as harness:
            await fetch_clock_samples(harness)
            await interpose(harness, "engine-0", *["corrupted"] * 20)
            status, _, body = await harness.chat()
            problem = msgspec.json.decode(body)
            assert (status, problem["kind"]) == (502, "answer_lost")
            assert problem["ran"] == "yes"

    run(main)


def test_restarted_sidecar_leaves_outcome_unknown():
    async def main():
        async with FleetHarness(engines=0) as harness:
            harness.services[0].delay = 5.0
            await harness.post("/ledger/notes", b"x", [(b"hickory-timeout", b"0.05")])
            proxy = await interpose(harness, "ledger-0", *["truncated"] * 9)
            task = await curio.spawn(harness.post, "/ledger/notes", b"x")
            while not proxy.applied:
                await curio.sleep(0.01)
            await curio.sleep(0.05)
            harness.sidecars["ledger-0"].env.incarnation = "restarted"
            harness.sidecars["ledger-0"].attempts.incarnation = "restarted"
            await proxy.close_connections()
            status, _, body = await task.join()
            assert (status, msgspec.json.decode(body)["ran"]) == (503, "unknown")

    run(main)


def test_deadline_reports_unknown_outcome():
    async def main():
        async with FleetHarness(engines=0) as harness:
            harness.services[0].delay = 5.0
            fields = [(b"hickory-timeout", b"0.2")]
            status, _, body = await harness.post("/ledger/notes", b"x", fields)
            problem = msgspec.json.decode(body)
            assert (status, problem["kind"], problem["ran"]) == (504, "deadline", "unknown")
            assert harness.sidecars["ledger-0"].attempts.running == 0

    run(main)


def test_deadline_with_silent_sidecar():
    async def main():
        async with FleetHarness(engines=0) as harness:
            await harness.post("/ledger/notes", b"x")
            await interpose(harness, "ledger-0", *["silent"] * 20)
            fields = [(b"hickory-timeout", b"0.1")]
            status, _, body = await harness.post("/ledger/notes", b"x", fields)
            assert (status, msgspec.json.decode(body)["ran"]) == (504, "unknown"), body

    run(main)


def test_endpoint_error_passes_through():
    async def main():
        async with FleetHarness(engines=0) as harness:

            async def fail(exchange):
                await exchange.body()
                await exchange.respond(500, [(b"x-from", b"ledger")], b"broken")

            harness.services[0].server.handler = fail
            status, headers, body = await harness.post("/ledger/notes", b"x")
            assert (status, body) == (500, b"broken")
            assert (b"x-from", b"ledger") in headers

    run(main)


@pytest.mark.parametrize("stream", [False, True])
def test_caller_disconnect_cancels_attempt(stream):
    async def main():
        async with FleetHarness(
            engines=1, speed=Speed(prompt_tokens_per_second=1e6, seconds_per_token=0.5)
        ) as harness:
            table = harness.sidecars["engine-0"].attempts
            body = msgspec.json.encode(
                {"model": "m1", "prompt": "x", "max_tokens": 40, "stream": stream}
            )
            sock = await http.connect(HOST, harness.router_ports[0])
            head = f"POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n"
            head += f"content-length: {len(body)}\r\n\r\n"
            await sock.sendall(head.encode() + body)
            while not harness.engines[0].runs:
                await curio.sleep(0.01)
            assert table.running == 1
            await sock.close()
            while table.running:
                await curio.sleep(0.01)
            assert harness.engines[0].runs == 1

    run(main)
