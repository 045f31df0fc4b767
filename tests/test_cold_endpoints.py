"""Requests to endpoints that are cold, through a router."""

import dataclasses
import time

import curio
import msgspec
import pytest
from direct_harness import configuration, entry, route, run_scenario, spec

from hickorylever.direct.cold_start import ColdLimit, ColdStarts
from hickorylever.direct.directory import Directory
from hickorylever.direct.membership import Membership
from hickorylever.direct.peer_protocol import Datagram
from hickorylever.direct.position import Position
from hickorylever.direct.records import StoredObject
from hickorylever.platform import decode_endpoint
from hickorylever.platform.headers import read_answer
from hickorylever.platform.standins.origin import most_in_a_second

ALLOWED = 11.0 * 1.5 + 5
SERVICE = {
    "name": "engines",
    "health-path": "/healthz",
    "max-connections": 100,
    "warmup-s": 3.0,
    "warmup-per-s": 11,
}


async def start_with_limit(harness, cold, objective_ms=400, overage=1.5, **more):
    """Start a router after the endpoints, of which those of the given indexes are cold."""
    routes = [
        route("safe", "safe", "engines", **{"target-latency-ms": objective_ms}),
        route("resumable/stream", "streaming", "engines", resumable=True, **{"max-attempts": 3}),
    ]
    await harness.store.put(
        "config", "main", configuration(2, routes=routes, services=[{**SERVICE, **more}])
    )
    for index, (origin, port) in enumerate(zip(harness.origins, harness.ports, strict=True)):
        left = 3.0 if index in cold else 0.0
        origin.cold_until = time.monotonic() + left
        fields = {"warmup-left-ms": 1000 * left, "max-batch-size": 64}
        await harness.store.put("servers", origin.name, entry(port, **fields))
    settings = dataclasses.replace(
        harness.settings(), warmup_overage=overage, warmup_allowance=5.0
    )
    harness.settings = lambda: settings
    await harness.start_router()
    harness.node.membership.record_listed([], time.monotonic() - 5.0)


async def send_burst(harness, count, path="/safe/x", **more):
    """Send requests at once and return the responses, each with the seconds that it took."""

    async def send():
        began = time.monotonic()
        response = await harness.send_request(path, headers=harness.headers(**more))
        return response, time.monotonic() - began

    async with curio.TaskGroup() as group:
        for _ in range(count):
            await group.spawn(send)
    return group.results


def test_cold_endpoint_beside_a_warm_one_gets_its_share_only():
    """Guards against a burst that overruns a cold endpoint, or leaves it idle."""

    async def scenario(harness):
        await start_with_limit(harness, cold=[0])
        for _ in range(8):
            for response, _ in await send_burst(harness, 20):
                assert response.status == 200
            await curio.sleep(0.1)
        arrivals = harness.origins[0].cold_arrivals
        assert len(arrivals) >= 5
        assert most_in_a_second(arrivals) <= ALLOWED

    run_scenario(scenario, ("well",), ("well",), autostart=False)


def test_requests_for_cold_endpoints_wait_or_are_refused_at_once():
    """Guards against refused requests that are held, and against a Retry-After of no use."""

    async def scenario(harness):
        await start_with_limit(harness, cold=[0])
        results = await send_burst(harness, 30, deadline=6000)
        served = [seconds for response, seconds in results if response.status == 200]
        refused = [(response, taken) for response, taken in results if response.status != 200]
        assert 2 <= len(served) <= 6
        for response, seconds in refused:
            assert response.status == 503
            assert seconds < 0.35
            assert 0.25 <= float(response.headers[b"retry-after"]) <= 2.0
        assert most_in_a_second(harness.origins[0].cold_arrivals) <= ALLOWED
        assert len(harness.runs) == len(served)
        held = harness.node.metrics.held.get({"service": "engines"})
        assert held >= len(refused)

    run_scenario(scenario, ("well",), autostart=False)


def test_nothing_is_held_back_when_all_endpoints_are_warm():
    """Guards against a deployment that starts slowly as its state is taken for unknown."""

    async def scenario(harness):
        await start_with_limit(harness, cold=[])
        harness.node.membership.complete = False
        harness.node.membership.settle(time.monotonic())
        for response, _ in await send_burst(harness, 60):
            assert response.status == 200

    run_scenario(scenario, ("well",), ("well",), autostart=False)


@pytest.mark.parametrize("more", [{"overage": None}, {"warmup-per-s": 0}])
def test_nothing_is_limited_without_settings_or_configuration(more):
    """Guards against a change for deployments without a warm-up."""

    async def scenario(harness):
        await start_with_limit(harness, cold=[0, 1], **more)
        assert all(entry.cold is None for entry in harness.node.directory.endpoints.values())
        for response, _ in await send_burst(harness, 60):
            assert response.status == 200

    run_scenario(scenario, ("well",), ("well",), autostart=False)


def test_streams_that_go_on_at_a_cold_endpoint_count():
    """Guards against resumed streams that pass the limit of a cold endpoint."""

    async def scenario(harness):
        await start_with_limit(harness, cold=[1], **{"warmup-per-s": 2})
        results = await send_burst(harness, 20, "/resumable/stream/x", deadline=5000)
        assert all(response.status == 200 for response, _ in results)
        assert most_in_a_second(harness.origins[1].cold_arrivals) <= 2 * 1.5 + 5

    run_scenario(scenario, ("broken",), ("well",), autostart=False)


def test_endpoint_is_cold_after_a_failed_connection_until_it_answers():
    """Guards against full load on an endpoint that restarted before its entry says so."""

    async def scenario(harness):
        await start_with_limit(harness, cold=[])
        endpoint = harness.node.directory.endpoints["i-0"]
        assert not endpoint.is_cold(time.monotonic())
        assert (await harness.send_request("/safe/x")).status == 200
        assert endpoint.is_cold(time.monotonic())
        await harness.until(lambda: not endpoint.held(time.monotonic()))
        while not harness.origins[0].runs[1:]:
            await send_burst(harness, 20)
        assert not endpoint.is_cold(time.monotonic())

    run_scenario(scenario, ("reset", "well"), ("well",), autostart=False)


def test_routers_tell_each_other_of_an_endpoint_that_became_cold():
    """Guards against full load of the other routers on an endpoint that one knows to be cold."""

    async def scenario(harness):
        await start_with_limit(harness, cold=[])
        node = harness.node
        endpoint = node.directory.endpoints["i-0"]
        harness.origins[0].cold_until = time.monotonic() + 3.0
        assert (await harness.send_request("/safe/x")).status == 200
        now = time.monotonic()
        (update,) = node.peer_sync.cold.take(now)
        assert 2000 < update.left_ms <= 3000
        assert node.peer_sync.cold.take(now) == []
        endpoint.cold.cold_until = 0.0
        node.peer_sync.apply_updates("10.0.0.9", Datagram(1, cold_endpoints=[update]), now)
        assert endpoint.is_cold(now + 2.0)
        assert node.peer_sync.cold.take(now) == []
        endpoint.cold.cold_until = 0.0
        former = msgspec.structs.replace(update, started_ms=7)
        node.peer_sync.apply_updates("10.0.0.9", Datagram(1, cold_endpoints=[former]), now)
        assert not endpoint.is_cold(now)

    run_scenario(scenario, ("well",), autostart=False)


def cold_directory():
    membership = Membership("10.0.0.1")
    membership.record_listed([], 0.0)
    return Directory(
        decode_endpoint,
        cold_starts=ColdStarts(membership, limits={"engines": ColdLimit(3.0, 12)}),
    )


def stored(revision, seq=1, **more):
    return StoredObject("i-0", Position(0, revision), spec(entry(9000, seq=seq, **more)))


@pytest.mark.parametrize(
    ("second", "cold_until"),
    [
        (stored(1, **{"warmup-left-ms": 3000}), 13.0),
        (stored(2, **{"warmup-left-ms": 3000}), 13.0),
        (stored(2, seq=2, **{"warmup-left-ms": 2500}), 14.5),
        (stored(2, seq=2, **{"warmup-left-ms": 0}), 12.0),
    ],
)
def test_entry_that_is_read_again_prolongs_nothing(second, cold_until):
    """Guards against an endpoint that stays cold because its old entry is listed again."""
    directory = cold_directory()
    directory.apply_changes([stored(1, **{"warmup-left-ms": 3000})], Position(0, 1), 10.0)
    endpoint = directory.endpoints["i-0"]
    assert endpoint.cold.cold_until == 13.0
    directory.apply_changes([second], Position(0, 2), 12.0)
    assert endpoint.cold.cold_until == endpoint.warm_at == cold_until


def test_endpoint_without_a_state_counts_as_cold():
    """Guards against full load on an endpoint that appears and says nothing of its state."""
    directory = cold_directory()
    appears = StoredObject("i-0", Position(0, 1), spec(entry(9000, **{"warmup-left-ms": None})))
    directory.apply_changes([appears], Position(0, 1), 10.0)
    assert directory.endpoints["i-0"].is_cold(12.9)
    assert not directory.endpoints["i-0"].is_cold(13.0)


def test_next_start_of_an_endpoint_counts_what_was_sent_before():
    """Guards against two shares in one second around a start."""
    directory = cold_directory()
    directory.apply_changes(
        [stored(1, **{"warmup-left-ms": 3000, "born": 1})], Position(0, 1), 9.0
    )
    directory.endpoints["i-0"].add_request(0.0, 10.0)
    later = stored(2, seq=2, **{"warmup-left-ms": 3000, "born": 2})
    directory.apply_changes([later], Position(0, 2), 10.01)
    assert directory.endpoints["i-0"].held(10.02)


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"2500", 2.5), (b" 0 ", 0.0), (b"1.5", 0.0015), (b"", None), (b"-1", None), (b"x", None)],
)
def test_answer_names_the_warm_up_left(value, seconds):
    info = read_answer(200, [(b"hickorylever-warmup-ms", value)])
    assert info.warmup_left == seconds
