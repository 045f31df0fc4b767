"""Callers that read slowly, or nothing, and what a router holds for them."""

import resource
import socket
import time

import curio
import h11
import pytest
from direct_harness import HOST, SITE, run_scenario

from hickorylever.direct import held_bytes
from hickorylever.direct.held_bytes import HeldBytes, Holder
from hickorylever.platform.standins.origin import behaviours

EVENT_BYTES = 16 * 1024
CALLER_BUFFER_BYTES = 4096


class Flood:
    """An endpoint's response that is as large as asked for, and how far it got."""

    def __init__(self, size):
        self.size = size
        self.sent = 0
        self.finished = 0

    async def __call__(self, origin, exchange, body):
        origin.record_run(exchange, body)
        headers = origin.response_headers(exchange)
        if b"stream" not in exchange.head.target:
            length = (b"content-length", b"%d" % self.size)
            await exchange.channel.send(h11.Response(status_code=200, headers=[*headers, length]))
            for _ in range(self.size // EVENT_BYTES):
                await exchange.write(b"x" * EVENT_BYTES)
            await exchange.end()
            self.finished += 1
            return
        await exchange.start(200, [*headers, (b"content-type", b"text/event-stream")])
        for number in range(1, self.size // EVENT_BYTES + 1):
            await exchange.write(b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES))
            self.sent += EVENT_BYTES
        await exchange.end()
        self.finished += 1


@behaviours.register("flood")
async def flood(origin, exchange, body):
    await origin.flood(origin, exchange, body)


async def connect(harness, path):
    """Send a request of a caller that reads nothing, and return its socket."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
    sock.connect((HOST, harness.port))
    fields = [
        (b"host", SITE.encode()),
        *harness.headers(deadline=60000),
        (b"content-length", b"0"),
    ]
    head = b"".join(b"%s: %s\r\n" % field for field in fields)
    sock.sendall(b"POST %s HTTP/1.1\r\n%s\r\n" % (path, head))
    sock.setblocking(False)
    return curio.io.Socket(sock)


async def read_all(sock):
    received = bytearray()
    while data := await sock.recv(65536):
        received += data
        if received.endswith(b"0\r\n\r\n"):
            break
    return received


def run(scenario, size, limit):
    flood = Flood(size)

    async def with_limit(harness):
        harness.origins[0].flood = flood
        harness.node.held.limit = limit
        await scenario(harness, flood)
        await harness.until(lambda: not harness.router.in_flight)
        assert harness.node.held.size == 0 and not harness.node.held.sizes

    run_scenario(with_limit, ("flood",))


MEGABYTE = 1024 * 1024


def test_a_caller_that_reads_nothing_does_not_hold_the_endpoint_up():
    """An endpoint cuts off a stream that stays unread for some seconds."""

    async def scenario(harness, flood):
        sock = await connect(harness, b"/stream/x")
        await harness.until(lambda: flood.finished)
        await harness.until(lambda: harness.node.held.size >= flood.size - MEGABYTE)
        received = await read_all(sock)
        assert received.count(b"\nid: ") == flood.size // EVENT_BYTES
        assert received.endswith(b"0\r\n\r\n")
        await sock.close()

    run(scenario, 16 * MEGABYTE, 1024 * MEGABYTE)


def test_beyond_the_bound_the_endpoint_is_read_no_more():
    async def scenario(harness, flood):
        sock = await connect(harness, b"/stream/x")
        await curio.sleep(0.5)
        held = harness.node.held
        assert held.size <= held_bytes.RESPONSE_RATIO * held.limit + 2 * EVENT_BYTES + 65536
        assert not flood.finished
        received = await read_all(sock)
        assert received.count(b"\nid: ") == flood.size // EVENT_BYTES
        await sock.close()

    run(scenario, 32 * MEGABYTE, 16 * MEGABYTE)


@pytest.mark.parametrize("path", [b"/stream/x", b"/safe/x"])
def test_what_is_held_for_many_callers_is_bounded(path, monkeypatch):
    """Responses that were complete were held without a bound while callers read slowly."""
    monkeypatch.setattr(held_bytes, "STALLED_SECONDS", 0.1)
    callers, size, limit = 250, 4 * MEGABYTE, 24 * MEGABYTE

    async def scenario(harness, flood):
        before = resident_bytes()
        socks = [await connect(harness, path) for _ in range(callers)]
        largest = most_resident = 0
        began = time.monotonic()
        while time.monotonic() - began < 2.0:
            await curio.sleep(0.01)
            largest = max(largest, harness.node.held.size)
            most_resident = max(most_resident, resident_bytes())
        assert largest <= limit
        assert most_resident - before <= 4 * limit + callers * 256 * 1024
        for sock in socks:
            await sock.close()

    run(scenario, size, limit)


def resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def holder(aborted, name, service="a", now=0.0):
    keys = ("service", service), ("account", name)
    return Holder(keys, lambda: aborted.append(name), lambda: now, sending=True)


def test_the_longest_stalled_responses_are_dropped_first():
    """Those whose callers took something lately, or that are still read, must not be dropped."""
    aborted = []
    held = HeldBytes(100)
    holders = [holder(aborted, str(at), now=float(at)) for at in (3, 1, 2, 9)]
    for entry in holders:
        assert held.reserve(entry, 20, 9.0)
    unread = holder(aborted, "unread")
    unread.sending = False
    assert held.reserve(unread, 20, 9.0)
    late = holder(aborted, "late", now=9.0)
    assert held.reserve(late, 30, 9.0)
    assert (aborted, held.size) == (["1", "2"], 90)
    assert not held.reserve(holder(aborted, "too large"), 90, 9.0)
    assert aborted == ["1", "2", "3"]
    for entry in (*holders, unread, late):
        held.release(entry)
    assert (held.size, held.sizes, held.holders) == (0, {}, {})
    assert held.reserve(holder(aborted, "larger than the bound"), 900, 9.0)


@pytest.mark.parametrize(
    ("size", "others", "service", "may"),
    [(10, 0, "b", True), (60, 0, "b", False), (10, 500, "b", True), (10, 500, "a", False)],
)
def test_when_more_of_a_stream_may_be_read(size, others, service, may):
    """One stream, service or account must not take all of the memory."""
    held = HeldBytes(1600)
    held.add(holder([], "x"), others)
    own = holder([], "y", service)
    held.add(own, size)
    assert held.may_read_ahead(own) is may


def test_the_memory_for_request_bodies_follows_the_settings():
    """Bodies of slow endpoints were bounded at 128 MiB, whatever memory a router has."""

    async def scenario(harness):
        limit = harness.router.server.limits.max_buffered_bytes
        assert limit <= 0.15 * harness.node.settings.memory_bytes

    run_scenario(scenario, ("well",))
