"""Endpoints that say that they shut down, or want no requests for a while."""

import curio
import pytest
from direct_harness import entry, run_scenario
from test_peer_sync import NETWORK, play

from hickorylever.direct.endpoints import MAX_DEFERRAL_SECONDS, Endpoint
from hickorylever.direct.hashes import name_hash
from hickorylever.direct.peer_protocol import LeavingUpdate
from hickorylever.direct.records import EndpointEntry
from hickorylever.platform import read_answer
from hickorylever.platform.names import LEAVING

BORN = 1700000000000
STREAM = "/stream/stream/x"


def make_endpoint(**more):
    return Endpoint(EndpointEntry("i-0", "engines", "10.0.0.1", 80, "a", 8, **more))


@pytest.mark.parametrize(
    ("status", "value", "leaving"),
    [
        (200, b"1", True),
        (503, b"1", True),
        (421, b"1", False),
        (200, b"0", False),
        (200, b"", False),
    ],
)
def test_header_of_an_endpoint_that_shuts_down(status, value, leaving):
    """An answer with status 421 comes from another endpoint at the same address."""
    assert read_answer(status, [(LEAVING, value)]).leaving is leaving


@pytest.mark.parametrize(
    ("status", "value", "seconds"),
    [
        (503, b"2", 2.0),
        (503, b"0.25", 0.25),
        (503, b".5", 0.5),
        (503, b" 3 ", 3.0),
        (503, b"0", 0.0),
        (503, b"999999999", 999999999.0),
        (503, b"-1", None),
        (503, b"nan", None),
        (503, b"1e9", None),
        (503, b"Fri, 04 Dec 2026 10:00:00 GMT", None),
        (503, b"", None),
        (429, b"2", None),
        (200, b"2", None),
    ],
)
def test_retry_after_of_an_endpoint(status, value, seconds):
    assert read_answer(status, [(b"retry-after", value)]).retry_after == seconds


def test_a_deferral_is_neither_shortened_nor_endless():
    endpoint = make_endpoint()
    endpoint.defer(5.0, 100.0)
    endpoint.defer(1.0, 100.0)
    endpoint.pause(100.0)
    endpoint.record_answer(False, 100.0)
    assert not endpoint.usable(104.9)
    assert endpoint.usable(105.0)
    endpoint.defer(1e9, 200.0)
    assert endpoint.usable(200.0 + MAX_DEFERRAL_SECONDS)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", STREAM])
def test_an_endpoint_that_shuts_down_gets_nothing_new(path):
    """Its entry in the store still says that it is ready."""

    async def scenario(harness):
        first, second = harness.origins
        await harness.store.put("servers", "i-0", entry(harness.ports[0], born=BORN))
        await harness.until(lambda: harness.node.directory.endpoints["i-0"].entry.started_ms)
        first.leaving = True
        while not first.runs:
            assert (await harness.send_request(path)).status == 200
        arrivals = first.arrivals
        for _ in range(12):
            assert (await harness.send_request(path)).status == 200
        assert first.arrivals == arrivals
        # Another write of the same incarnation does not make it ready again.
        await harness.store.put("servers", "i-0", entry(harness.ports[0], seq=9, born=BORN))
        await curio.sleep(0.05)
        assert not harness.node.directory.endpoints["i-0"].accepting
        first.leaving = False
        await harness.store.put("servers", "i-0", entry(harness.ports[0], born=BORN + 1))
        await harness.until(lambda: harness.node.directory.endpoints["i-0"].accepting)

    run_scenario(scenario, ("well",), ("well",))


def test_a_stream_that_runs_at_an_endpoint_as_it_leaves_is_completed():
    async def scenario(harness):
        harness.origins[0].leaving = True
        harness.origins[0].events = 30
        response = await harness.send_request(STREAM)
        assert response.body.endswith(b"id: 30\ndata: piece 30\n\n")
        assert (await harness.send_request(STREAM)).status == 503

    run_scenario(scenario, ("well",))


def test_a_rejection_says_that_the_endpoint_shuts_down():
    """The rejected request goes on elsewhere, and no other follows it."""

    async def scenario(harness):
        first, _ = harness.origins
        await harness.store.put("servers", "i-0", entry(harness.ports[0], born=BORN))
        await harness.until(lambda: harness.node.directory.endpoints["i-0"].entry.started_ms)
        first.script = ["shed_leaving"]
        for _ in range(12):
            assert (await harness.send_request("/unsafe/x")).status == 200
        assert first.arrivals <= 1

    run_scenario(scenario, ("well",), ("well",))


def test_the_other_routers_hear_of_a_shutdown():
    async def scenario(fleet):
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], born=BORN))
        await fleet.until(
            lambda: all(n.directory.endpoints["i-0"].entry.started_ms for n in fleet.nodes)
        )
        first = fleet.nodes[0]
        update = LeavingUpdate(name_hash("i-0"), BORN)
        first.peer_sync.outbox.queue_leaving(update)
        first.directory.mark_leaving(update, 0.0)
        await fleet.until(
            lambda: not any(n.directory.endpoints["i-0"].accepting for n in fleet.nodes[1:])
        )
        starting = await fleet.start(7, seeds=[f"{NETWORK}.1"])
        await fleet.until(starting.ready)
        await fleet.until(lambda: not starting.directory.endpoints["i-0"].accepting)
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], born=BORN + 1))
        await fleet.until(lambda: all(n.directory.endpoints["i-0"].accepting for n in fleet.nodes))

    play(scenario, 3)


@pytest.mark.parametrize(("retry_after", "arrivals"), [(b"30", 1), (b"0", 2)])
def test_an_endpoint_that_wants_no_requests_gets_none(retry_after, arrivals):
    async def scenario(harness):
        first, _ = harness.origins
        first.retry_after = retry_after
        harness.node.directory.endpoints["i-1"].pause(1e9)
        first.script = ["defer"]
        assert (await harness.send_request("/safe/x")).status == 503
        assert (await harness.send_request("/safe/x")).status == 503
        assert first.arrivals == arrivals
        harness.node.directory.endpoints["i-1"].paused_until = 0.0
        for _ in range(5):
            assert (await harness.send_request("/safe/x")).status == 200

    run_scenario(scenario, ("well",), ("well",))


def test_a_request_waits_for_the_only_endpoint_if_it_can_still_be_on_time():
    async def scenario(harness):
        harness.origins[0].retry_after = b"0.03"
        harness.origins[0].script = ["defer", "well"]
        assert (await harness.send_request("/safe/x")).status == 200

    run_scenario(scenario, ("well",))


@pytest.mark.parametrize(("retry_after", "told"), [(b"0.4", 0.4), (b"30", 0.5)])
def test_a_refused_caller_is_told_when_to_come_back(retry_after, told):
    """Callers honour up to a third of their time, which is 1.5 s here."""

    async def scenario(harness):
        harness.origins[0].retry_after = retry_after
        harness.origins[0].script = ["defer"]
        response = await harness.send_request("/safe/x")
        assert response.status == 503
        assert float(response.headers[b"retry-after"]) == pytest.approx(told, abs=0.1)
        assert harness.origins[0].arrivals == 1

    run_scenario(scenario, ("well",))
