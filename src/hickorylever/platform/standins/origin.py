"""Simulated endpoint of the platform, either a model engine or a plain service.

Its behaviour for each request is scripted. By default, it runs the request without faults.
"""

import re
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import curio
import msgspec

from ...http import Channel, Exchange, Server, cancel_on_disconnect, header
from ...node import refuse
from ...registry import Registry
from .. import names
from .encoding import encode_head
from .overload import Overload

EVENT = re.compile(rb"id: (\d+)\ndata: piece \1\n(?:software-version: (\S+)\n)?\n")
LISTING_BLOCK = b'["x","ab",1,"m"],' * 4096
LISTING_BLOCKS = 128  # About 9 MB, more than routers read.
Behaviour = Callable[..., object]
behaviours: Registry[Behaviour] = Registry("behaviour of an endpoint")

# Cancelled when the caller disconnects. The other behaviours close the connection themselves or do
# not wait for anything.
CANCELLED_ON_DISCONNECT = (
    "well",
    "silent",
    "late",
    "from_the_start",
    "slow",
    "dripping",
    "endless_head",
    "endless_body",
    "endless_rejection",
    "endless_stream",
    "endless_informational",
)


@dataclass(frozen=True, slots=True)
class Run:
    """A request that the endpoint has started to run.

    :param first_event: id of the first event of a streamed response.
    :param time: monotonic time of the start in seconds.
    """

    request_id: str
    method: str
    target: str
    headers: dict[bytes, bytes]
    body: bytes
    first_event: int
    time: float


@dataclass
class Origin:
    """Simulated endpoint.

    :param script: names of the behaviours for the next requests. The last one is used for all
        further requests.
    :param events: number of events in a stream.
    :param pause: seconds between two events of a stream, or before a response that is not
        streamed.
    :ivar runs: requests that were started.
    :ivar arrivals: number of requests received.
    :ivar stopped: number of requests cancelled because the caller disconnected.
    :param leaving: whether each response says that the endpoint shuts down.
    :param limit: requests per second that each response names as the endpoint's limit.
    :param load: value of the header in which each response states the endpoint's load, if any.
    :param retry_after: seconds in the responses of the behaviour ``defer``.
    :ivar duplicate_response: connection and content of a duplicate response that the behaviour
        ``late`` sends first.
    :param framing: how the behaviour ``cut_head`` delimits its answer, one of `FRAMINGS`.
    :param cut: bytes of its answer that the behaviour ``cut_head`` sends.
    :param crashing_parts: ids of prompt parts on which the endpoint crashes when it begins to
        write its answer.
    :param version: version of its software, which each event of a stream names.
    :param cached: prompt parts that the endpoint lists as its cache, each as
        ``[text, id, tokens, model]``.
    :param listing: how it responds when asked for its cache, one of `LISTINGS`.
    :ivar list_calls: number of requests for the list.
    :param cold_until: monotonic time in seconds until which the endpoint is cold, from which each
        response states the rest; None for an endpoint that states nothing.
    :ivar cold_arrivals: monotonic times in seconds of the requests that it got while it was cold,
        without those that it answered with status 421.
    :param overload: what it does beyond its capacity; None if it takes any number of requests.
    :ivar running: requests that it runs now.
    :param on_crash: called when the endpoint crashes; by default it ends for good.
    :ivar crashed: set when the endpoint has ended.
    """

    name: str
    script: list[str] = field(default_factory=lambda: ["well"])
    events: int = 6
    pause: float = 0.001
    leaving: bool = False
    limit: float | None = None
    load: bytes = b""
    retry_after: bytes = b"1"
    runs: list[Run] = field(default_factory=list)
    arrivals: int = 0
    stopped: int = 0
    duplicate_response: tuple[Channel, bytes] | None = None
    framing: str = "length"
    cut: int = 0
    crashing_parts: frozenset[str] = frozenset()
    version: str = ""
    cold_until: float | None = None
    cold_arrivals: list[float] = field(default_factory=list)
    overload: Overload | None = None
    running: int = 0
    on_crash: Callable[[], Awaitable[object]] | None = None
    cached: list[list[object]] = field(default_factory=list)
    listing: str = "well"
    list_calls: int = 0
    crashed: curio.Event = field(default_factory=curio.Event)

    def __post_init__(self):
        self.server = Server(self.handle, refuse)

    async def serve(self, listener) -> None:
        """Serve on a listening socket until cancelled or crashed.

        A crash closes all connections; further ones are refused.
        """
        task = await curio.spawn(self.server.serve, listener, daemon=True)
        try:
            await self.crashed.wait()
        finally:
            await task.cancel()

    async def crash(self, exchange: Exchange, body: bytes) -> None:
        """Run a request that crashes the endpoint before the first event of its answer."""
        self.record_run(exchange, body)
        if wants_stream(exchange):
            await self.stream(exchange, 1, 0)
        if self.on_crash is None:
            await self.crashed.set()
            await curio.Event().wait()
        await self.on_crash()
        exchange.closing = True
        await exchange.channel.abort()

    async def handle(self, exchange: Exchange) -> None:
        """Reject a request, or run it and respond."""
        self.arrivals += 1
        overload = self.overload
        if overload is not None:
            await overload.send_pending(exchange.channel)
            if overload.is_full(self.running):
                await overload.reject(exchange)
                return
        body = await exchange.body()
        expected = header(exchange.headers, names.EXPECTED_ENDPOINT).decode()
        if expected not in ("", self.name):
            request_id = header(exchange.headers, names.ATTEMPT_ID)
            fields = [(names.ENDPOINT, self.name.encode()), (names.ATTEMPT_ID, request_id)]
            await exchange.respond(421, fields)
            return
        if exchange.path == names.CACHE_LIST_PATH:
            self.list_calls += 1
            await LISTINGS[self.listing](self, exchange)
            return
        if self.warmup_left() > 0.0:
            self.cold_arrivals.append(time.monotonic())
        if self.crashing_parts.intersection(prompt_parts(exchange.headers)):
            await self.crash(exchange, body)
            return
        self.running += 1
        try:
            await self.behave(exchange, body)
        finally:
            self.running -= 1

    async def behave(self, exchange: Exchange, body: bytes) -> None:
        """Respond to a request with the next behaviour of the script."""
        selected = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if selected in CANCELLED_ON_DISCONNECT:
            await cancel_on_disconnect(exchange, behaviours[selected], self, exchange, body)
        else:
            await behaviours[selected](self, exchange, body)
        if self.overload is not None and selected == "well" and not wants_stream(exchange):
            fields = self.response_headers(exchange)
            await self.overload.copy(exchange, 200, fields, self.own_body(exchange))

    def record_run(self, exchange: Exchange, body: bytes) -> int:
        """Record that a request runs, and return the id of the first event of its stream."""
        first = int(header(exchange.headers, names.LAST_EVENT) or b"0") + 1
        target = exchange.head.target.decode()
        request_id = header(exchange.headers, names.ATTEMPT_ID).decode()
        headers = dict(exchange.headers)
        now = time.monotonic()
        self.runs.append(Run(request_id, exchange.method, target, headers, body, first, now))
        return first

    def response_headers(self, exchange: Exchange) -> list[tuple[bytes, bytes]]:
        """Return the headers that identify a response as this endpoint's."""
        request_id = header(exchange.headers, names.ATTEMPT_ID)
        headers = [(names.ATTEMPT_ID, request_id), (names.STAMP, self.name.encode())]
        if self.leaving:
            headers.append((names.LEAVING, names.LEAVING_VALUE))
        if self.limit is not None:
            headers.append((names.LIMIT, b"%.3f" % self.limit))
        if self.cold_until is not None:
            headers.append((names.WARMUP, b"%d" % (1000 * self.warmup_left())))
        if self.load:
            headers.append((names.LOAD, self.load))
        return headers

    def warmup_left(self) -> float:
        """Return the seconds for which the endpoint is still cold."""
        return max(0.0, (self.cold_until or 0.0) - time.monotonic())

    def own_body(self, exchange: Exchange) -> bytes:
        """Return the body of the complete response to a request that is not streamed."""
        request_id = header(exchange.headers, names.ATTEMPT_ID)
        return b"done by %s for %s" % (self.name.encode(), request_id)

    def encode_response(self, exchange: Exchange, body: bytes, length: int | None = None) -> bytes:
        """Return the encoded response with a body.

        :param length: value of Content-Length; by default the size of the body.
        """
        size = len(body) if length is None else length
        fields = self.response_headers(exchange)
        return encode_head(200, [*fields, (b"Content-Length", b"%d" % size)]) + body

    def framed_answer(self, exchange: Exchange) -> tuple[bytes, bytes]:
        """Return the encoded head and body of the answer to a request, framed by `framing`."""
        fields = self.response_headers(exchange)
        body = self.own_body(exchange)
        if wants_stream(exchange):
            fields.append((b"content-type", b"text/event-stream"))
            body = b"".join(encode_event(n, self.version) for n in range(1, self.events + 1))
        more, body = FRAMINGS[self.framing](body)
        return encode_head(200, [*fields, *more]), body

    async def stream(self, exchange: Exchange, first: int, last: int) -> None:
        """Send events `first` to `last` of a stream."""
        await exchange.start(
            200, [*self.response_headers(exchange), (b"content-type", b"text/event-stream")]
        )
        version = self.version
        for number in range(first, last + 1):
            await exchange.write(encode_event(number, version))
            await curio.sleep(self.pause)


async def list_cache(origin: Origin, exchange: Exchange) -> None:
    """List the cache."""
    body = msgspec.json.encode({"epoch": "e1", "next": 7, "held": origin.cached})
    await exchange.respond(200, body=body)


async def fail_listing(origin: Origin, exchange: Exchange) -> None:
    """Respond with an error."""
    await exchange.respond(500, body=b"failed")


async def hang_listing(origin: Origin, exchange: Exchange) -> None:
    """Never respond."""
    await curio.Event().wait()


async def garble_listing(origin: Origin, exchange: Exchange) -> None:
    """Respond with something that is no list."""
    await exchange.respond(200, body=b'{"held": 5')


async def list_without_end(origin: Origin, exchange: Exchange) -> None:
    """Begin a list that is larger than routers read."""
    await exchange.start(200, [(b"content-type", b"application/json")])
    await exchange.write(b'{"held": [')
    for _ in range(LISTING_BLOCKS):
        await exchange.write(LISTING_BLOCK)
    await exchange.end()


LISTINGS: dict[str, Callable[[Origin, Exchange], Awaitable[None]]] = {
    "well": list_cache,
    "fail": fail_listing,
    "hang": hang_listing,
    "garbled": garble_listing,
    "endless": list_without_end,
}


FRAMINGS: dict[str, Callable[[bytes], tuple[list[tuple[bytes, bytes]], bytes]]] = {
    "length": lambda body: ([(b"Content-Length", b"%d" % len(body))], body),
    "chunked": lambda body: (
        [(b"Transfer-Encoding", b"chunked")],
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body),
    ),
    "unframed": lambda body: ([], body),
}


def most_in_a_second(times: Iterable[float]) -> int:
    """Return the largest number of times, in seconds, within any one second."""
    times = sorted(times)
    most = first = 0
    for last, latest in enumerate(times):
        while latest - times[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def prompt_parts(headers: Iterable[tuple[bytes, bytes]]) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    return re.findall(r"(\w+):", header(headers, names.PREFIX).decode())


def decode_events(content: bytes) -> list[tuple[int, str]]:
    """Return the ids of the events at the start of a stream, and the versions that wrote them."""
    events = []
    position = 0
    while match := EVENT.match(content, position):
        events.append((int(match[1]), (match[2] or b"").decode()))
        position = match.end()
    return events


def encode_event(number: int, version: str = "") -> bytes:
    """Return an encoded event of a stream.

    :param version: of the endpoint's software; empty to leave it out.
    """
    writer = f"software-version: {version}\n".encode() if version else b""
    return b"id: %d\ndata: piece %d\n%s\n" % (number, number, writer)


def wants_stream(exchange: Exchange) -> bool:
    """Return whether a request asks for a stream."""
    return "/stream/" in exchange.path
