"""Endpoints that crash and start again under their name with another software version."""

import random
import time

import curio
import msgspec
import pytest
from direct_harness import HOST, entry, versions_in
from stream_fleet import StreamFleet, kind
from test_peer_sync import play

from hickorylever import platform
from hickorylever.direct.directory import Directory
from hickorylever.direct.endpoints import Endpoint
from hickorylever.direct.position import Position
from hickorylever.direct.records import EndpointEntry, Listing, StoredObject
from hickorylever.direct.restarts import REPORT_COUNT, Restarts
from hickorylever.direct.streams import CLOCK_MARGIN_MS, StreamRecord
from hickorylever.direct.versions import SETTLE_SECONDS
from hickorylever.http import listen
from hickorylever.platform.standins.origin import Origin, decode_events
from hickorylever.soak.proxy import Proxy

STREAM_COUNT = 24
CALLER_SECONDS = 3.0
EVENT_SECONDS = 0.06  # Between the events of streams that the crash breaks off.


class RestartingFleet(StreamFleet):
    """A fleet whose endpoints, three of each version, can restart with the other version."""

    def __init__(self, count):
        super().__init__(count, scripts=(("well",),) * 6, names=("v1",) * 3 + ("v2",) * 3)
        self.origin_tasks = {}
        for origin in self.origins:
            origin.pause = EVENT_SECONDS

    async def serve(self, server):
        if not isinstance(server, Origin):
            return await super().serve(server)
        listener = listen(HOST, 0)
        port = listener.getsockname()[1]
        self.origin_tasks[server.name] = await curio.spawn(server.serve, listener, daemon=True)
        return port

    async def restart(self, number, pause, entry_delay):
        """Crash an endpoint, start it with the other version, and write its entry a little later.

        Its entry does not say when it started.
        """
        origin = self.origins[number]
        await self.replace_process(number, pause)
        await curio.sleep(entry_delay)
        content = entry(self.ports[number], version=origin.version, born=2)
        await self.store.put("servers", origin.name, content)

    async def replace_process(self, number, pause):
        """End an endpoint, and start it with the other version after some seconds."""
        origin = self.origins[number]
        await self.origin_tasks[origin.name].cancel()
        await curio.sleep(pause)
        self.change_version(origin)
        listener = listen(HOST, self.ports[number])
        self.origin_tasks[origin.name] = await curio.spawn(origin.serve, listener, daemon=True)

    def begun_count(self):
        """Return how many streams have an event that a router has passed on."""
        return sum(len(node.peer_sync.streams.own) for node in self.nodes)

    def change_version(self, origin):
        origin.version = "v1" if origin.version == "v2" else "v2"
        origin.pause = 0.001

    async def call(self, rng, number):
        """Send a request for a stream and take it up until it is whole; return the responses."""
        await curio.sleep(rng.uniform(0.0, 0.15))
        parts = f"{number + 1:x}:10"
        responses = [await self.send(rng.choice(self.nodes), parts=parts)]
        async with curio.ignore_after(CALLER_SECONDS):
            while responses[-1].body is None:
                after = sum(len(decode_events(response.received)) for response in responses)
                fields = {"last-event-id": str(after), "resumes": responses[0].request_id}
                rest = await self.send(rng.choice(self.nodes), parts=parts, **fields)
                if rest.status == 200:
                    responses.append(rest)
                    continue
                assert kind(rest) in ("stream_unknown", "no_endpoint", "overloaded")
                await curio.sleep(float(rest.headers[b"retry-after"]))
        return responses


class GaplessFleet(RestartingFleet):
    """A fleet in which the next process of an endpoint listens before the former one ends."""

    def __init__(self, count):
        super().__init__(count)
        self.proxies = []

    async def serve(self, server):
        port = await super().serve(server)
        if not isinstance(server, Origin):
            return port
        proxy = Proxy(port)
        self.proxies.append(proxy)
        self.tasks.append(await curio.spawn(proxy.run, daemon=True))
        return proxy.listen_port

    async def replace_process(self, number, pause):
        self.change_version(self.origins[number])
        await self.proxies[number].reset_connections()


@pytest.mark.parametrize("pause", [0.0, 0.5])
@pytest.mark.parametrize("entry_delay", [0.0, 0.3])
@pytest.mark.parametrize("retries", [0.0, 100.0])
def test_no_stream_is_joined_when_endpoints_restart_with_another_version(
    pause, entry_delay, retries, record_property
):
    """Their entries say so only later; retries within a response go wrong as resumptions do."""
    whole = play_restarts(RestartingFleet, retries, pause, entry_delay)
    record_property("whole", whole)
    print(f"{whole} of {STREAM_COUNT} streams are whole")
    assert 2 * whole >= STREAM_COUNT


def test_no_stream_is_joined_when_endpoints_are_replaced_without_a_gap():
    """A router with one connection to an endpoint can't tell this from a broken stream."""
    play_restarts(GaplessFleet, 0.0, 0.0, 0.3)


def play_restarts(fleet_class, retries, pause, entry_delay):
    """Restart all endpoints during streams, check these, and return how many are whole."""
    counts = []

    async def scenario(fleet):
        rng = random.Random(1)
        for node in fleet.nodes:
            node.budget.allowance = retries
        tasks = [await curio.spawn(fleet.call, rng, number) for number in range(STREAM_COUNT)]
        await curio.sleep(0.3)
        # A crash before the first event of a stream loses its answer, which is not meant here.
        await fleet.until(lambda: fleet.begun_count() == STREAM_COUNT)
        restarts = [
            await curio.spawn(fleet.restart, number, pause, entry_delay) for number in range(6)
        ]
        results = [await task.join() for task in tasks]
        for task in restarts:
            await task.join()
        whole = [responses for responses in results if responses[-1].body is not None]
        for responses in results:
            assert len(set(versions_in(*responses))) == 1
        assert all(len(versions_in(*responses)) == 6 for responses in whole)
        counts.append(len(whole))

    play(scenario, 3, fleet_class)
    return counts[0]


def test_the_entry_of_a_former_process_in_a_restored_store_is_ignored():
    """Streams went on at the version that it names."""
    directory = Directory(platform.decode_endpoint)

    def apply(era, revision, born, version):
        content = msgspec.json.encode(entry(9, born=born, version=version))
        stored = StoredObject("i-0", Position(era, revision), content)
        directory.apply_listing(Listing((stored,), stored.position), 0.0, keep_missing=False)
        return directory.endpoints["i-0"].entry.version

    assert apply(1, 1, 1, "v1") == "v1"
    assert apply(1, 2, 2, "v2") == "v2"
    assert apply(2, 1, 1, "v1") == "v2"
    assert apply(2, 2, 2, "v2") == "v2"
    assert apply(2, 3, 1, "v1") == "v1"


def make_endpoint(started_ms=1, version="v1"):
    return Endpoint(
        EndpointEntry("i", "s", HOST, 1, "a", 8, started_ms=started_ms, version=version)
    )


@pytest.mark.parametrize(
    ("reachable_at", "now", "incarnation", "doubted"),
    [
        (None, 1000.0, (1, "v1"), True),
        (5.0, 5.0 + SETTLE_SECONDS, (1, "v1"), True),
        (5.0, 5.1 + SETTLE_SECONDS, (1, "v1"), False),
        (None, 1.1, (2, "v1"), False),
        (0.5, 5.1 + SETTLE_SECONDS, (1, "v1"), True),
    ],
    ids=["unreachable", "just reachable", "long reachable", "new entry", "reached before"],
)
def test_an_entry_is_doubted_until_a_new_one_must_have_arrived(
    reachable_at, now, incarnation, doubted
):
    restarts = Restarts()
    restarts.record_refusal(make_endpoint(), 1.0)
    if reachable_at is not None:
        restarts.record_connection(make_endpoint(), reachable_at)
    assert restarts.is_doubted(make_endpoint(*incarnation), now) is doubted


def test_a_doubt_is_reported_a_few_times_by_those_that_noticed():
    restarts = Restarts()
    assert restarts.record_refusal(make_endpoint(), 1.0)
    assert not restarts.record_refusal(make_endpoint(), 1.1)
    assert sum(len(restarts.take_reports()) for _ in range(9)) == REPORT_COUNT
    restarts.record_refusal(make_endpoint(2), 2.0, report=False)
    assert not restarts.take_reports()


@pytest.mark.parametrize(
    ("others", "ended"), [([1.0], True), ([], False), ([1.0, 1.5], False), ([1.0, 2.1], True)]
)
def test_an_endpoint_has_ended_when_all_its_connections_break_at_once(others, ended):
    """One broken stream says nothing; neither do two while a third goes on."""
    restarts = Restarts()
    endpoint = make_endpoint()
    for began in others:
        restarts.begin_attempt(endpoint, began)
    if others:
        restarts.end_attempt(endpoint, others[0])
        restarts.record_break(endpoint, others[0], 2.0)
    assert restarts.record_break(endpoint, 1.2, 2.05) is ended


@pytest.mark.parametrize(
    ("opened_ms", "started_ms", "certain"),
    [
        (0, 10**12, False),
        (10**12, 10**12 + CLOCK_MARGIN_MS, False),
        (10**12, 10**12 + CLOCK_MARGIN_MS + 1, True),
        (10**12, 0, False),
    ],
)
def test_a_stream_that_began_long_before_the_restart_keeps_its_version(
    opened_ms, started_ms, certain
):
    record = StreamRecord(1, "v1", time.monotonic() + 9.0, opened_ms)
    assert record.began_before(started_ms) is certain
