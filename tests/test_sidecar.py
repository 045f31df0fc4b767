import curio
import msgspec
import pytest
from harness import HOST, FleetHarness, run

from hickorylever import defaults, frames, http
from hickorylever.frames import AttemptRequest, CancelResult, Failed
from hickorylever.records import Attempt
from hickorylever.standins.engine import Speed

SLOW = Speed(prompt_tokens_per_second=1e6, seconds_per_token=0.5)


def make_request(sidecar, name="a" * 32, incarnation=None, age=0.0, guarded=False, budget=60.0):
    env = sidecar.env
    attempt = Attempt(
        id=name,
        endpoint="engine-0",
        incarnation=env.incarnation if incarnation is None else incarnation,
        budget=budget,
        work=10.0,
        stamp=env.clock() - age,
        guarded=guarded,
    )
    body = msgspec.json.encode({"model": "m1", "prompt": "x", "max_tokens": 20})
    return AttemptRequest(attempt, "POST", "/v1/completions", [], body)


async def send_attempt(harness, request):
    """Send an attempt to the sidecar and return the last frame of the response."""
    port = harness.fleet.endpoints[0].sidecar_port
    body = msgspec.msgpack.encode(request)
    _, _, content = await harness.client.fetch(HOST, port, "POST", "/attempts", body=body)
    return frames.Reader().feed(content)[-1]


async def cancel(harness, sidecar, name="a" * 32, incarnation=None, age=0.0):
    port = harness.fleet.endpoints[0].sidecar_port
    query = f"incarnation={incarnation or sidecar.env.incarnation}"
    query += f"&stamp={sidecar.env.clock() - age}"
    _, _, body = await harness.client.fetch(HOST, port, "DELETE", f"/attempts/{name}?{query}")
    return msgspec.json.decode(body, type=CancelResult).ran


REFUSED = [
    ({"incarnation": "older"}, "wrong_incarnation"),
    ({"incarnation": ""}, "wrong_incarnation"),
    ({"age": defaults.TOMBSTONE_LIFETIME_SECONDS / 2 + 1}, "wrong_incarnation"),
    ({"age": -5.0}, "wrong_incarnation"),
    ({"budget": 0.0}, "deadline"),
]


@pytest.mark.parametrize("change, kind", REFUSED)
def test_refused_attempt_did_not_run(change, kind):
    async def main():
        async with FleetHarness(engines=1, services=0) as harness:
            sidecar = harness.sidecars["engine-0"]
            result = await send_attempt(harness, make_request(sidecar, **change))
            assert isinstance(result, Failed)
            assert (result.kind, result.ran) == (kind, "no")
            assert not harness.engines[0].runs

    run(main)


def test_duplicate_of_finished_attempt_reports_that_it_ran():
    async def main():
        async with FleetHarness(engines=1, services=0) as harness:
            sidecar = harness.sidecars["engine-0"]
            await send_attempt(harness, make_request(sidecar))
            assert (await send_attempt(harness, make_request(sidecar))).ran == "yes"
            assert harness.engines[0].runs == 1

    run(main)


CANCELS = [
    ({}, "no"),
    ({"incarnation": "older"}, "unknown"),
    ({"age": defaults.TOMBSTONE_LIFETIME_SECONDS + 1}, "unknown"),
]


@pytest.mark.parametrize("change, ran", CANCELS)
def test_cancel_before_delivery(change, ran):
    async def main():
        async with FleetHarness(engines=1, services=0) as harness:
            sidecar = harness.sidecars["engine-0"]
            assert await cancel(harness, sidecar, **change) == ran
            age = change.get("age", 0.0)
            if "incarnation" not in change:
                result = await send_attempt(harness, make_request(sidecar, age=age))
                assert result.ran == ran and not harness.engines[0].runs

    run(main)


@pytest.mark.parametrize("guarded, running", [(False, 0), (True, 1)])
def test_orphans_are_cancelled_unless_guarded(guarded, running, monkeypatch):
    monkeypatch.setattr(defaults, "ORPHAN_GRACE_SECONDS", 0.0)

    async def main():
        async with FleetHarness(engines=1, services=0, speed=SLOW) as harness:
            sidecar = harness.sidecars["engine-0"]
            port = harness.fleet.endpoints[0].sidecar_port
            channel = await harness.client.acquire(HOST, port)
            body = msgspec.msgpack.encode(make_request(sidecar, guarded=guarded))
            await harness.client.send_request(channel, "POST", "/attempts", body=body)
            while not harness.engines[0].runs:
                await curio.sleep(0.01)
            await channel.abort()
            attempt = next(iter(sidecar.responses.values()))
            while attempt.events:
                await curio.sleep(0.01)
            for _ in range(20):
                await sidecar.expire()
                await curio.sleep(0.005)
            assert sidecar.attempts.running == running

    run(main)


def test_retained_responses_are_bounded(monkeypatch):
    monkeypatch.setattr(defaults, "MAX_RETAINED_BYTES", 1000)

    async def main():
        async with FleetHarness(engines=1, services=0) as harness:
            sidecar = harness.sidecars["engine-0"]
            for number in range(20):
                await send_attempt(
                    harness, make_request(sidecar, name=f"{number:032d}", guarded=True)
                )
            await sidecar.expire()
            assert sum(len(response.body) for response in sidecar.responses.values()) <= 1000
            assert sidecar.responses and f"{19:032d}" in sidecar.responses

    run(main)


def test_invalid_request_ends_attempt():
    async def main():
        async with FleetHarness(engines=1, services=0) as harness:
            sidecar = harness.sidecars["engine-0"]
            broken = msgspec.structs.replace(make_request(sidecar), target="/with space")
            result = await send_attempt(harness, broken)
            assert isinstance(result, Failed) and sidecar.attempts.running == 0

    run(main)


def test_drain_waits_for_stream():
    async def main():
        async with FleetHarness(engines=1, services=0, speed=Speed(1e6, 0.03)) as harness:
            task = await curio.spawn(harness.chat, "x", True)
            while not harness.engines[0].runs:
                await curio.sleep(0.01)
            await harness.sidecars["engine-0"].drain()
            status, _, body = await task.join()
            assert status == 200 and body.endswith(b"data: [DONE]\n\n")
            status, _, body = await harness.chat()
            assert (status, msgspec.json.decode(body)["ran"]) == (503, "no")

    run(main)


def test_router_drain_waits_for_stream():
    async def main():
        async with FleetHarness(engines=1, services=0, speed=Speed(1e6, 0.03)) as harness:
            task = await curio.spawn(harness.chat, "x", True)
            while not harness.engines[0].runs:
                await curio.sleep(0.01)
            router = harness.routers[0]
            router.server.draining = True
            await router.drain()
            status, _, body = await task.join()
            assert status == 200 and body.endswith(b"data: [DONE]\n\n")

    run(main)


def test_invalid_query_parameter():
    async def main():
        async with FleetHarness(engines=1, services=0) as harness:
            env = harness.sidecars["engine-0"].env
            port = harness.fleet.endpoints[0].sidecar_port
            target = f"/attempts/x?incarnation={env.incarnation}&stamp=x"
            assert (await http.Client().fetch(HOST, port, "GET", target))[0] == 400

    run(main)
