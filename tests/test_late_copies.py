"""A faulty endpoint sends a response once more, late, on a kept connection."""

import pytest
from direct_harness import RESUMABLE, run_scenario

from hickorylever.events import Event

UNSAFE = "/unsafe/x"
PATHS = (UNSAFE, "/safe/x", "/stream/stream/x", RESUMABLE)
DEFERRAL = b"0.02"  # Seconds after which the endpoints want requests again.


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("endpoint_count", [1, 2, 3])
def test_a_late_copy_of_a_rejection_is_not_the_answer_to_the_next_send(path, endpoint_count):
    """The request would run at two endpoints, or be refused as not run although it has run."""

    async def scenario(harness):
        for origin in harness.origins:
            origin.retry_after = DEFERRAL
        await harness.send_request("/public/x")  # Opens a connection to keep.
        for origin in harness.origins:
            origin.script = ["defer_twice", "late"]
            origin.runs.clear()
        response = await harness.send_request(path)
        assert response.status == 200
        assert response.body is not None
        assert len(harness.runs) == 1

    run_scenario(scenario, *[("well",)] * endpoint_count)


@pytest.mark.parametrize("path", PATHS)
def test_a_late_copy_that_names_no_request_is_no_rejection_of_another(path):
    """A caller would be told that its request has not run although it runs."""

    async def scenario(harness):
        (origin,) = harness.origins
        first = await harness.send_request("/safe/x")
        assert first.status == 503
        origin.script = ["late"]
        response = await harness.send_request(path)
        assert origin.duplicate_response is None  # It was sent.
        ran = bool(harness.runs)
        assert response.status == 200 or not (ran and response.status in (421, 429, 503))
        assert len(harness.runs) <= (2 if path in ("/safe/x", RESUMABLE) else 1)

    run_scenario(scenario, ("shed_unnamed_twice", "late"))


@pytest.mark.parametrize("path", PATHS)
def test_a_rejection_that_names_no_request_counts_on_a_new_connection(path):
    """No other request can be meant there."""

    async def scenario(harness):
        response = await harness.send_request(path)
        assert response.status == 200
        assert len(harness.runs) == 1

    run_scenario(scenario, ("shed_unnamed",), ("well",))


def test_the_list_of_an_engines_cache_is_not_read_from_a_late_copy():
    """The late copy of an earlier response was taken for the list, and the list for a response."""

    async def scenario(harness):
        node = harness.node
        endpoint = node.directory.endpoints["i-0"]
        await harness.send_request("/safe/x")
        address = endpoint.entry.address, endpoint.entry.port
        kept = node.client.idle[address][0]
        await node.peer_sync.caches.call(endpoint)
        assert kept in node.client.idle[address]
        assert kept.request_count == 1

    run_scenario(scenario, ("well",))


def test_connections_that_carried_a_request_are_kept_for_others():
    """Avoiding them for one request must not close them."""

    async def scenario(harness):
        (origin,) = harness.origins
        origin.retry_after = DEFERRAL
        assert (await harness.send_request(UNSAFE)).status == 200
        entry_ = harness.node.directory.endpoints["i-0"].entry
        idle = harness.node.client.idle[entry_.address, entry_.port]
        assert [channel.request_count for channel in idle] == [1, 1]

    run_scenario(scenario, ("defer", "well"))


def test_the_log_tells_the_sends_on_a_connection_apart(caplog):
    """A rejection and a late copy of an answer looked the same in the log as any other."""

    async def scenario(harness):
        for status in (503, 200, 200):
            assert (await harness.send_request(UNSAFE)).status == status

    with caplog.at_level("INFO", logger="hickorylever"):
        run_scenario(scenario, ("shed", "twice", "late"))
    found = {record.event: record.fields for record in caplog.records}
    rejected, discarded = found[Event.ATTEMPT_FAILED], found[Event.RESPONSE_DISCARDED]
    assert (rejected["sends"], rejected["named"]) == (1, True)
    assert discarded["sends"] == 3
    assert discarded["connection"] == rejected["connection"] > 0
