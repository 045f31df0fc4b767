"""Streams that callers take up after all routers have stopped and started again."""

import random
import time

import curio
import pytest
from direct_harness import BREAKS, WELL, versions_in
from stream_fleet import StreamFleet, assert_rejected, assert_whole, kind, stored_segments
from test_peer_sync import play

from hickorylever.direct import stream_records
from hickorylever.direct.stream_records import WRITE_INTERVAL_SECONDS, WRITER_COUNT
from hickorylever.direct.streams import StreamRecord

STREAMS_PER_FLEET = 24
CALLER_SECONDS = 1.5  # For which a caller tries again.


def part(number):
    """Return a prompt part; the same one in all broken streams would be put in quarantine."""
    return f"{number + 1:x}:10"


class BreakingFleet(StreamFleet):
    """A fleet whose endpoints of both versions break off streams until told otherwise."""

    def __init__(self, count, **more):
        names = ("v1", "v1", "v1", "v2", "v2", "v2")
        super().__init__(count, scripts=(("broken",),) * len(names), names=names, **more)

    async def begin_all(self, rng, seconds):
        """Let callers begin streams at all routers within some seconds, and return these."""
        firsts = []
        for number in range(STREAMS_PER_FLEET):
            node = rng.choice(self.nodes)
            firsts.append(await self.send(node, parts=part(number)))
            await curio.sleep(seconds / STREAMS_PER_FLEET)
        assert all(len(versions_in(first)) == 2 for first in firsts)
        return firsts

    async def restart_all(self):
        """End all routers as by a loss of power and start them with empty memory."""
        numbers = range(len(self.nodes))
        for node in list(self.nodes):
            await self.end(node)
        for number in numbers:
            await self.start(number)

    async def resume_with_retries(self, rng, number, first):
        """Take a stream up at random routers as its caller would, and return the last response."""
        async with curio.ignore_after(CALLER_SECONDS):
            while True:
                node = rng.choice(self.nodes)
                fields = {"last-event-id": "2", "resumes": first.request_id}
                rest = await self.send(node, parts=part(number), **fields)
                if rest.status != 503:
                    return rest
                assert kind(rest) in ("stream_unknown", "not_ready", "overloaded")
                assert not self.runs_of(rest)
                await curio.sleep(min(float(rest.headers[b"retry-after"]), CALLER_SECONDS / 3))
        return rest


async def count_continued(fleet, rng, firsts):
    """Take all streams up at once; check that no two versions are joined, and count the whole."""
    tasks = [
        await curio.spawn(fleet.resume_with_retries, rng, number, first)
        for number, first in enumerate(firsts)
    ]
    rests = [await task.join() for task in tasks]
    continued = [pair for pair in zip(firsts, rests, strict=True) if pair[1].status == 200]
    for first, rest in continued:
        assert versions_in(first, rest) == versions_in(first)[:1] * 6
        assert rest.body is not None
    return len(continued)


@pytest.mark.parametrize("count", [3, 12, 24])
def test_half_of_the_streams_continue_after_the_end_of_all_routers(count, record_property):
    """The versions that began the streams are lost with all routers unless the store has them."""

    async def scenario(fleet):
        rng = random.Random(count)
        firsts = await fleet.begin_all(rng, 2.0)
        for origin in fleet.origins:
            origin.script = ["well"]
        await fleet.restart_all()
        continued = await count_continued(fleet, rng, firsts)
        record_property("continued", continued)
        print(f"{count} routers: {continued} of {STREAMS_PER_FLEET} streams continued")
        assert 2 * continued >= len(firsts)

    play(scenario, count, BreakingFleet)


async def begin_stored(fleet, node):
    """Let an endpoint of v1 begin a stream, and return it once the store has its record."""
    before = len(stored_segments(fleet))
    first = await fleet.begin(node)
    await fleet.until(lambda: len(stored_segments(fleet)) > before)
    return first


async def start_again(fleet):
    """End all routers, start one and return it once it has learned what the store holds."""
    for node in list(fleet.nodes):
        await fleet.end(node)
    starting = await fleet.start(7)
    await fleet.until(lambda: starting.ready() and starting.directory.versions.complete)
    return starting


def test_nothing_is_stored_while_a_service_has_one_version():
    async def scenario(fleet):
        await fleet.begin(fleet.nodes[0])
        await curio.sleep(3 * WRITE_INTERVAL_SECONDS)
        assert not stored_segments(fleet)

    play(scenario, 2, StreamFleet, scripts=(BREAKS, WELL), names=("v1", "v1"))


def test_two_routers_write_however_many_there_are():
    async def scenario(fleet):
        rng = random.Random(1)
        began = time.monotonic()
        await fleet.begin_all(rng, 1.0)
        await fleet.until(lambda: stored_segments(fleet))
        writes = 1 + (time.monotonic() - began) / WRITE_INTERVAL_SECONDS
        writers = {name.rsplit("-", 2)[0] for name in stored_segments(fleet)}
        assert len(writers) <= WRITER_COUNT
        assert len(stored_segments(fleet)) <= WRITER_COUNT * writes

    play(scenario, 5, BreakingFleet)


def test_the_next_router_writes_after_the_end_of_the_writers():
    """Also streams that began before it was known that the writers had ended."""

    async def scenario(fleet):
        nodes = sorted(fleet.nodes, key=lambda node: node.peer_sync.rank)
        for node in nodes[:WRITER_COUNT]:
            await fleet.end(node)
        first = await begin_stored(fleet, nodes[-1])
        assert_whole(first, await fleet.resume(await start_again(fleet), first))

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("hickorylever.direct.peer_table.ALIVE_TIMEOUT_SECONDS", 0.5)
        play(scenario, 3, StreamFleet)


def test_a_stream_is_rejected_if_the_routers_end_before_the_write():
    async def scenario(fleet):
        fleet.store.faults.status = 503
        first = await fleet.begin(fleet.nodes[0])
        await curio.sleep(2 * WRITE_INTERVAL_SECONDS)
        for node in list(fleet.nodes):
            await fleet.end(node)
        fleet.store.faults.status = 0
        assert_rejected(fleet, await fleet.resume(await start_again(fleet), first))

    play(scenario, 2, StreamFleet)


def test_a_write_whose_response_is_lost_is_not_made_twice():
    async def scenario(fleet):
        fleet.store.faults.lost = True
        await fleet.begin(fleet.nodes[0])
        records = fleet.nodes[0].peer_sync.streams.records
        await fleet.until(lambda: records.unconfirmed is not None and stored_segments(fleet))
        fleet.store.faults.lost = False
        await fleet.until(lambda: records.unconfirmed is None)
        assert len(stored_segments(fleet)) == len(records.segments) == 1

    play(scenario, 1, StreamFleet)


def test_records_are_written_again_after_the_store_was_restored():
    async def scenario(fleet):
        copy = fleet.store.copy()
        first = await begin_stored(fleet, fleet.nodes[0])
        await fleet.store.restore(copy)
        await fleet.until(lambda: stored_segments(fleet))
        assert_whole(first, await fleet.resume(await start_again(fleet), first))

    play(scenario, 2, StreamFleet)


def test_segments_are_deleted_when_the_time_limits_of_their_streams_have_passed():
    async def scenario(fleet):
        fleet.steer(fleet.nodes[0], 0)
        await fleet.send(fleet.nodes[0], deadline=200)
        await fleet.until(lambda: stored_segments(fleet))
        await start_again(fleet)
        await fleet.until(lambda: not stored_segments(fleet))

    play(scenario, 2, StreamFleet)


def test_malformed_segments_and_streams_are_left_out():
    async def scenario(fleet):
        first = await begin_stored(fleet, fleet.nodes[0])
        kind = "hickorylever-routers"
        for number, spec in enumerate(
            (None, 7, {"writer": 1, "streams": 2}, {"writer": "", "streams": [[-1], "x", None]})
        ):
            await fleet.store.put(kind, f"streams-{number}", spec)
        name = stored_segments(fleet)[0]
        spec = fleet.store.objects[kind, name]["spec"]
        malformed = [["zz", 1, "v1", 9], ["1", -1, "v1", 9], ["1", 1, 2, 9], ["1", 1, "v1", -9]]
        await fleet.store.put(kind, name, {**spec, "streams": malformed + spec["streams"]})
        starting = await start_again(fleet)
        assert len(starting.peer_sync.streams.table.records) == 1
        assert_whole(first, await fleet.resume(starting, first))

    play(scenario, 1, StreamFleet)


def test_a_caller_that_comes_before_the_records_are_loaded_waits_for_them():
    async def scenario(fleet):
        first = await begin_stored(fleet, fleet.nodes[0])
        for node in list(fleet.nodes):
            await fleet.end(node)
        starting = await fleet.start(7)
        list_kind = starting.store.list_kind

        async def list_slowly(kind):
            await curio.sleep(0.3 if kind == "hickorylever-routers" else 0.0)
            return await list_kind(kind)

        starting.store.list_kind = list_slowly
        await fleet.until(starting.ready)
        assert not starting.peer_sync.streams.records.loaded.is_set()
        assert_whole(first, await fleet.resume(starting, first))

    play(scenario, 1, StreamFleet)


def test_many_segments_of_a_router_are_merged():
    async def scenario(fleet):
        (node,) = fleet.nodes
        records = node.peer_sync.streams.records
        for number in range(12):
            record = StreamRecord(1, "v1", 1e9)
            node.peer_sync.streams.record(number, "engines", record)
            await fleet.until(lambda number=number: number in stored_keys(records))
        await fleet.until(lambda: len(stored_segments(fleet)) <= 4)
        assert stored_keys(records) == list(range(12))

    def stored_keys(records):
        return sorted(key for segment in records.segments.values() for key in segment.keys)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(stream_records, "MAX_SEGMENTS", 4)
        patch.setattr(stream_records, "WRITE_INTERVAL_SECONDS", 0.01)
        play(scenario, 1, StreamFleet)
