"""Bytes that are no answer and do not end until the caller closes the connection."""

import contextlib
import gc
import resource
import time
import zlib

import curio
import h11
import pytest
from direct_harness import entry, events, run_scenario, serve_raw
from flood import flooding_process

from hickorylever import defaults, http
from hickorylever.direct import compression
from hickorylever.direct.held_bytes import FAIR_EVENT_BYTES, PARTIAL_RATIO, HeldBytes
from hickorylever.direct.peer_sync import PeerSync
from hickorylever.direct.sse import MAX_UNNUMBERED_BYTES, EventParser
from hickorylever.exceptions import ConnectionLost, ContentError, InconsistentResponse
from hickorylever.http import client as http_client

STREAM = "/stream/stream/x"
RESUMABLE = "/resumable/stream/stream/x"
MAX_PAUSE_SECONDS = 0.4  # Of events on the users' sheets; other tasks must run more often.
STREAM_FIELD = b"Content-Type: text/event-stream\r\n"
HEADS = ("endless_head", "endless_body", "endless_informational")
MAX_GROWTH_KIB = 64 * 1024  # Of the memory of a router and of the stand-ins together.


def peak_memory_kib():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def garbage_free(response):
    return response.body is None or (
        b"garbage" not in response.body and b"0123456789abcdef" not in response.body
    )


@pytest.mark.parametrize(
    ("path", "behaviour", "status"),
    [("/safe/x", behaviour, 200) for behaviour in HEADS]
    + [("/unsafe/x", behaviour, 502) for behaviour in HEADS]
    + [(STREAM, behaviour, 502) for behaviour in HEADS]
    + [(path, "endless_rejection", 200) for path in ("/safe/x", "/unsafe/x", STREAM)]
    + [(RESUMABLE, "endless_stream", 200), (STREAM, "endless_stream", 200)],
)
def test_a_request_goes_on_as_its_route_allows(path, behaviour, status):
    """The first endpoint sends without end, the second one is sound."""

    async def scenario(harness):
        first, second = harness.origins
        started = time.monotonic()
        response = await harness.send_request(path)
        assert first.arrivals == 1
        assert response.status == status
        assert time.monotonic() - started < 1.5
        assert garbage_free(response)
        complete = path == RESUMABLE or (status == 200 and behaviour == "endless_rejection")
        if complete or path == "/safe/x":
            assert response.body.count(b"i-1") or response.body.endswith(b"piece 6\n\n")
        idle = harness.node.client.idle
        assert not idle.get(("127.0.0.1", harness.ports[0]))
        first.script = ["well"]
        assert (await harness.send_request("/safe/x")).status == 200

    run_scenario(scenario, (behaviour,), ("well",))


def test_memory_stays_flat_while_many_bodies_do_not_end(monkeypatch):
    """Without a limit over all bodies, each of them may take `MAX_RESPONSE_BYTES`."""
    monkeypatch.setattr(http_client, "MAX_SHARED_RESPONSE_BYTES", 8 * 1024 * 1024)

    async def scenario(harness):
        before = peak_memory_kib()
        tasks = [await curio.spawn(harness.send_request, "/unsafe/x") for _ in range(24)]
        assert {(await task.join()).status for task in tasks} == {502}
        assert harness.node.client.buffers.size == 0
        assert peak_memory_kib() - before < MAX_GROWTH_KIB

    run_scenario(scenario, ("endless_body",))


def test_small_bodies_are_read_while_large_ones_take_the_memory():
    buffers = http_client.ReadBuffers()
    buffers.size = http_client.MAX_SHARED_RESPONSE_BYTES
    buffers.add(1000, http_client.FAIR_RESPONSE_BYTES)
    with pytest.raises(ConnectionLost):
        buffers.add(1000, http_client.FAIR_RESPONSE_BYTES + 1)


@pytest.mark.parametrize("start", [b"HTTP/1.1 200 OK\r\nx: ", b"HTTP/1.1 200 OK\r\n\r\n", b"?"])
def test_a_control_connection_without_end_is_closed(start):
    """The store or another router sends without end; the call fails soon."""
    closed = []

    async def flood(client, address):
        try:
            await client.sendall(start)
            while True:
                await client.sendall(b"x" * 65536)
        except OSError:
            closed.append(address)

    async def main():
        port, server = await serve_raw(flood)
        client = http.Client()
        started = time.monotonic()
        with pytest.raises(ConnectionLost):
            await client.fetch("127.0.0.1", port, "GET", "/")
        assert time.monotonic() - started < 1.5
        assert not client.idle
        while not closed:
            await curio.sleep(0.01)
        await server.cancel()

    curio.run(main)


@pytest.mark.parametrize(("size", "fits"), [(1000, True), (1001, False)])
@pytest.mark.parametrize("framing", [b"Content-Length: %d", b"X-Size: %d"])
def test_a_control_response_is_bounded(size, fits, framing):
    """The store could take 16 MiB of each of its callers with every response."""

    async def answer(client, address):
        await client.recv(65536)
        await client.sendall(b"HTTP/1.1 200 OK\r\n%s\r\n\r\n" % (framing % size))
        await client.sendall(b"x" * size)

    async def main():
        port, server = await serve_raw(answer)
        client = http.Client(max_response_bytes=1000)
        if fits:
            assert len((await client.fetch("127.0.0.1", port, "GET", "/"))[2]) == size
        else:
            with pytest.raises(ConnectionLost):
                await client.fetch("127.0.0.1", port, "GET", "/")
        await server.cancel()

    curio.run(main)


@pytest.mark.filterwarnings("error::pytest.PytestUnraisableExceptionWarning")
@pytest.mark.parametrize("skips", [True, False])
def test_a_body_beyond_its_limit_leaves_nothing_to_be_finalized(skips):
    """An asynchronous generator that is not read to its end raises an error when it is freed."""

    async def answer(client, address):
        await client.recv(65536)
        await client.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 1001)

    async def main():
        port, server = await serve_raw(answer)
        client = http.Client()
        channel = await client.acquire("127.0.0.1", port)
        await client.send_request(channel, "GET", "/")
        response = await client.receive_response(channel)
        with pytest.raises(ConnectionLost):
            await (response.skip(1000) if skips else response.body(1000))
        await channel.close()
        await server.cancel()

    curio.run(main)
    gc.collect()


def test_bytes_after_a_response_are_not_taken_for_the_next_one():
    """A second copy of a response in the same packet must not answer the next call."""
    response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n%s"

    async def answer_twice(client, address):
        number = 0
        while await client.recv(65536):
            number += 1
            await client.sendall(response % (b"n-%d" % number) + response % b"old")

    async def main():
        port, server = await serve_raw(answer_twice)
        client = http.Client()
        for _ in range(3):
            _, _, body = await client.fetch("127.0.0.1", port, "GET", "/")
            assert body == b"n-1"
        await server.cancel()

    curio.run(main)


@pytest.mark.parametrize("event", [b"no colon at all\n\n", b"\x00\x01\n\n", b"data: \x00\n\n"])
def test_bytes_that_are_no_event_are_rejected(event):
    with pytest.raises(InconsistentResponse):
        EventParser().feed(event)


def test_comments_without_end_are_rejected():
    parser = EventParser()
    with pytest.raises(InconsistentResponse):
        for _ in range(MAX_UNNUMBERED_BYTES):
            parser.feed(b": still here\n\n")


def test_incomplete_events_of_all_streams_are_bounded():
    """Each stream could keep 1 MiB of an event that never ends, and a router has many."""
    held = HeldBytes(16 * 1024 * 1024)
    bound = PARTIAL_RATIO * held.limit
    parsers = [EventParser(on_partial=held.change_partial) for _ in range(60)]
    kept = []
    for parser in parsers:
        with contextlib.suppress(InconsistentResponse):
            for _ in range(100):
                parser.feed(b"data: " + b"x" * 8192)
            kept.append(parser)
            continue
        parser.close()
    assert 0 < len(kept) < len(parsers)
    assert held.partial <= bound
    fair = EventParser(on_partial=held.change_partial)
    fair.feed(b"data: " + b"x" * (FAIR_EVENT_BYTES - 6))
    assert fair.feed(b"\n\n")
    for parser in kept:
        parser.close()
    assert held.partial == 0


def test_comments_between_events_are_passed_on():
    parser = EventParser()
    for number in range(1, 2 * MAX_UNNUMBERED_BYTES // 100):
        assert len(parser.feed(b": " + b"x" * 100 + b"\n\nid: %d\ndata: x\n\n" % number)) == 2


def test_a_stalled_stream_that_sends_single_bytes_is_resumed_elsewhere():
    async def scenario(harness):
        first, second = harness.origins
        started = time.monotonic()
        response = await harness.send_request("/gap/stream/x")
        assert response.body == events(1, 2, 3, 4, 5, 6)
        assert time.monotonic() - started < 1.0
        await harness.until(lambda: first.stopped == 1)
        assert second.runs[0].first_event == 2

    run_scenario(scenario, ("dripping",), ("well",))


def test_a_slow_stream_is_not_cut():
    """Its events come later than the route wants them, and no other endpoint is usable."""

    async def scenario(harness):
        harness.origins[0].pause = 0.25
        response = await harness.send_request(
            "/gap/stream/x", headers=harness.headers(deadline=4000)
        )
        assert response.body.endswith(b"id: 6\ndata: piece 6\n\n")

    run_scenario(scenario, ("well",))


def chunk(size, start=b""):
    return b"%x\r\n%s\r\n" % (size, (start + b"x" * size)[:size])


class Pauses:
    """Measures for how long no task but a reading one runs, in seconds."""

    def __init__(self):
        self.longest = 0.0

    async def measure(self):
        while True:
            before = time.monotonic()
            await curio.sleep(0.01)
            self.longest = max(self.longest, time.monotonic() - before)


@pytest.mark.parametrize(
    ("path", "field", "block"),
    [
        (STREAM, STREAM_FIELD, chunk(1)),
        (STREAM, STREAM_FIELD, chunk(55)),
        (STREAM, STREAM_FIELD, chunk(55, b": ")),
        (STREAM, STREAM_FIELD, chunk(55, b"\n\n")),
        (STREAM, STREAM_FIELD, chunk(55, b"id: 1\n\n")),
        (STREAM, STREAM_FIELD, chunk(512, b"data: ")),
        (STREAM, STREAM_FIELD, chunk(4096, b"data: ")),
        (STREAM, STREAM_FIELD, chunk(8, b"id: 1\n\n") * 256),
        ("/safe/x", b"", chunk(1)),
        ("/safe/x", b"", chunk(4096)),
    ],
)
def test_other_requests_are_answered_while_a_body_does_not_end(path, field, block):
    """A task that reads what one endpoint sends must not keep all others from running.

    The request itself must end at its time limit, or before.
    """
    head = (
        b"HTTP/1.1 200 OK\r\nHickorylever-Attempt-Id: ID\r\n"
        b"Hickorylever-Server-Stamp: s\r\n%sTransfer-Encoding: chunked\r\n\r\n" % field
    )
    block *= max(1, 65536 // len(block))

    async def scenario(harness):
        await harness.store.put("servers", "i-1", entry(port, born=2))
        address = ("127.0.0.1", port)
        endpoints = harness.node.directory.endpoints
        await harness.until(lambda: endpoints["i-1"].entry.port == port)
        endpoints["i-0"].running = 1
        pauses = Pauses()
        await curio.spawn(pauses.measure, daemon=True)
        started = time.monotonic()
        flooded = await curio.spawn(harness.send_request, path, daemon=True)
        await curio.sleep(0.3)
        endpoints["i-1"].paused_until = float("inf")
        for _ in range(10):
            assert (await harness.send_request("/safe/x")).status == 200
        await flooded.join()
        assert time.monotonic() - started < 2.5  # The routes' time limit is 2 s.
        assert pauses.longest < MAX_PAUSE_SECONDS
        assert not harness.node.client.idle.get(address)

    with flooding_process(head, block) as port:
        run_scenario(scenario, ("well",), ("well",))


class EndlessSocket:
    """Socket whose input never ends and never makes its reader wait."""

    def __init__(self, data):
        self.data = data
        self._socket = self

    async def recv(self, size):
        return self.data

    async def recvfrom(self, size):
        return self.data, ("127.0.0.1", 1)


async def count_turns(reader):
    """Return how often another task runs within a second beside one that reads."""
    count = 0
    await curio.spawn(reader, daemon=True)
    async with curio.ignore_after(1.0):
        while True:
            await curio.sleep(0)
            count += 1
    return count


@pytest.mark.parametrize("role", [h11.SERVER, h11.CLIENT])
def test_a_reader_of_messages_lets_other_tasks_run(role):
    """Requests in a row that are rejected at once, or a body in small chunks."""
    request = b"GET / HTTP/1.1\r\nhost: -\r\n\r\n" * 1000
    body = chunk(1) * 10_000

    async def read():
        channel = http.Channel(EndlessSocket(request if role is h11.SERVER else body), role)
        if role is h11.CLIENT:
            channel.protocol.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
            channel.protocol.send(h11.EndOfMessage())
            channel.protocol.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            event = await channel.receive()
            if isinstance(event, h11.EndOfMessage) and role is h11.SERVER:
                channel.protocol.send(
                    h11.Response(status_code=200, headers=[("content-length", "0")])
                )
                channel.protocol.send(h11.EndOfMessage())
                channel.protocol.start_next_cycle()

    async def main():
        assert await count_turns(read) > 100

    curio.run(main)


def test_a_reader_of_datagrams_lets_other_tasks_run():
    async def scenario(harness):
        sync = PeerSync(harness.node)
        sync.sock = EndlessSocket(b"no datagram")
        assert await count_turns(sync.receive) > 100

    run_scenario(scenario, ("well",))


def test_the_work_for_an_event_is_proportional_to_its_size():
    """Each piece must not make the parser search all earlier ones again."""

    def seconds(size):
        parser = EventParser()
        parser.feed(b"data: ")
        started = time.process_time()
        for _ in range(size // 32):
            parser.feed(b"x" * 32)
        return time.process_time() - started

    assert seconds(800_000) < 40 * max(seconds(80_000), 0.001)


@pytest.mark.parametrize("piece", [b"x", b"x" * 55, b"x" * 4096])
def test_a_line_without_a_field_name_is_rejected_before_it_ends(piece):
    parser = EventParser()
    with pytest.raises(InconsistentResponse):
        for _ in range(1000):
            parser.feed(piece)


class Chunks:
    """Channel that receives chunks of a body."""

    def __init__(self, count, size):
        self.events = [h11.Data(data=b"x" * size)] * count + [h11.EndOfMessage()]

    async def receive(self):
        return self.events.pop(0)


@pytest.mark.parametrize(
    ("count", "size", "whole"),
    [(110, 1, False), (110, 16, False), (100, 1, True), (110, 512, True), (220, 512, True)],
)
def test_a_body_in_very_many_small_chunks_is_given_up(monkeypatch, count, size, whole):
    """Its size alone does not bound the time that it takes."""
    monkeypatch.setattr(defaults, "MAX_BODY_CHUNKS", 100)

    async def main():
        head = h11.Response(status_code=200, headers=[])
        response = http_client.ClientResponse(Chunks(count, size), head, http_client.ReadBuffers())
        if whole:
            assert len(await response.body()) == count * size
        else:
            with pytest.raises(ConnectionLost, match="small"):
                await response.body()

    curio.run(main)


def test_a_long_stream_in_small_chunks_is_not_given_up(monkeypatch):
    """Each event with an id is progress."""
    monkeypatch.setattr(defaults, "MAX_BODY_CHUNKS", 100)

    async def main():
        head = h11.Response(status_code=200, headers=[])
        response = http_client.ClientResponse(Chunks(300, 8), head, http_client.ReadBuffers())
        for _ in range(3):
            for _ in range(100):
                await response.read_bytes()
            response.record_progress()

    curio.run(main)


@pytest.mark.parametrize(
    "data",
    [zlib.compress(b"x" * 1001), zlib.compress(b"x" * 10)[:-1], b"no compressed content", b""],
)
def test_compressed_content_that_is_too_large_or_malformed_is_rejected(monkeypatch, data):
    """Little content of another router could take all memory."""
    monkeypatch.setattr(compression, "MAX_CONTENT_BYTES", 1000)
    with pytest.raises(ContentError):
        compression.decompress(data)
    assert compression.decompress(zlib.compress(b"x" * 1000)) == b"x" * 1000
