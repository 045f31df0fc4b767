"""A stand-in for an endpoint of the platform, a model engine or a plain service.

What it does with each request is scripted: by default it runs the request well.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from ...http import Exchange, Server, header, while_wanted
from ...node import refuse
from ...registry import Registry
from .. import names

Behaviour = Callable[..., object]
behaviours: Registry[Behaviour] = Registry("behaviour of an endpoint")

# Behaviours that end when the connection does; the others close it themselves or end at once.
STOPPED_WITH_CALLER = ("well", "silent", "late", "from_the_start", "slow")
SLOW_TIME = 0.9  # Seconds.


@dataclass(frozen=True, slots=True)
class Run:
    """A request that the endpoint began to run, at a monotonic time."""

    request_id: str
    method: str
    target: str
    headers: dict[bytes, bytes]
    body: bytes
    first_event: int
    time: float


@dataclass
class Origin:
    """One endpoint.

    :param script: names of behaviours for the coming requests; the last one stays.
    :param events: of a stream.
    :param pause: seconds between a stream's events, or of work.
    """

    name: str
    script: list[str] = field(default_factory=lambda: ["well"])
    events: int = 6
    pause: float = 0.001
    runs: list[Run] = field(default_factory=list)
    arrivals: int = 0
    stopped: int = 0
    late_answer: bytes = b""

    def __post_init__(self):
        self.server = Server(self.handle, refuse)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request by the script."""
        self.arrivals += 1
        body = await exchange.body()
        expected = header(exchange.headers, names.EXPECTED_ENDPOINT).decode()
        if expected not in ("", self.name):
            await exchange.respond(421, [(names.ENDPOINT, self.name.encode())])
            return
        step = self.script.pop(0) if len(self.script) > 1 else self.script[0]
        if step in STOPPED_WITH_CALLER:
            await while_wanted(exchange, behaviours[step], self, exchange, body)
        else:
            await behaviours[step](self, exchange, body)

    def run(self, exchange: Exchange, body: bytes) -> int:
        """Note that a request runs; return the event that its stream begins at."""
        first = int(header(exchange.headers, names.LAST_EVENT) or b"0") + 1
        target = exchange.head.target.decode()
        request_id = header(exchange.headers, names.ATTEMPT_ID).decode()
        headers = dict(exchange.headers)
        now = time.monotonic()
        self.runs.append(Run(request_id, exchange.method, target, headers, body, first, now))
        return first

    def fields(self, exchange: Exchange) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer of the endpoint's own."""
        request_id = header(exchange.headers, names.ATTEMPT_ID)
        return [(names.ATTEMPT_ID, request_id), (names.STAMP, self.name.encode())]

    def whole_answer(self, exchange: Exchange, body: bytes, length: int | None = None) -> bytes:
        """Return an answer's bytes; `length` may say another size of the body."""
        head = b"".join(b"%s: %s\r\n" % field for field in self.fields(exchange))
        size = len(body) if length is None else length
        return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (head, size, body)

    async def stream(self, exchange: Exchange, first: int, last: int) -> None:
        """Send events `first` to `last` of a stream."""
        await exchange.start(
            200, [*self.fields(exchange), (b"content-type", b"text/event-stream")]
        )
        for number in range(first, last + 1):
            await exchange.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
            await curio.sleep(self.pause)


def streamed(exchange: Exchange) -> bool:
    """Tell whether a request asks for a stream."""
    return "/stream/" in exchange.path


@behaviours.register("well")
async def run_well(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and answer whole."""
    first = origin.run(exchange, body)
    try:
        if streamed(exchange):
            await origin.stream(exchange, first, origin.events)
            await exchange.end()
            return
        await curio.sleep(origin.pause)
    except curio.CancelledError:
        origin.stopped += 1
        raise
    request_id = header(exchange.headers, names.ATTEMPT_ID)
    body = b"done by %s for %s" % (origin.name.encode(), request_id)
    await exchange.respond(200, origin.fields(exchange), body)


@behaviours.register("slow")
async def run_slowly(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run well, after longer than an endpoint is waited for."""
    await curio.sleep(SLOW_TIME)
    await run_well(origin, exchange, body)


@behaviours.register("shed")
async def shed(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Refuse without running."""
    await exchange.respond(503, [(names.NOT_RUN, b"1")])


@behaviours.register("fail")
async def fail(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run and answer with a failure."""
    origin.run(exchange, body)
    await exchange.respond(500, origin.fields(exchange), b"failed")


@behaviours.register("busy")
async def busy(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run, and answer 503 without the word that it was not run."""
    origin.run(exchange, body)
    await exchange.respond(503, origin.fields(exchange), b"failed")


@behaviours.register("reset")
async def reset(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run and lose the answer."""
    origin.run(exchange, body)
    exchange.closing = True
    await exchange.channel.abort()


@behaviours.register("garbage")
async def garbage(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run and send bytes that are no answer."""
    origin.run(exchange, body)
    exchange.closing = True
    await exchange.channel.sock.sendall(b"\x00\x01 not an answer\r\n\r\n")
    await exchange.channel.abort()


@behaviours.register("truncated")
async def truncated(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run and break off within the body."""
    origin.run(exchange, body)
    exchange.closing = True
    await exchange.channel.sock.sendall(origin.whole_answer(exchange, b"part", 100))
    await exchange.channel.finish()


@behaviours.register("unstamped")
async def unstamped(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run and answer without vouching for it."""
    origin.run(exchange, body)
    await exchange.respond(200, origin.fields(exchange)[:1], b"whose?")


@behaviours.register("encoded")
async def encoded(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run and answer with an encoded body."""
    origin.run(exchange, body)
    await exchange.respond(200, [*origin.fields(exchange), (b"content-encoding", b"x")], b"x")


@behaviours.register("twice")
async def answer_twice(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run well; the same answer arrives again before the next one on the connection."""
    origin.run(exchange, body)
    await exchange.respond(200, origin.fields(exchange), b"done")
    origin.late_answer = origin.whole_answer(exchange, b"stale")


@behaviours.register("late")
async def answer_late(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Send the second answer to an earlier request, then run well."""
    late, origin.late_answer = origin.late_answer, b""
    await exchange.channel.sock.sendall(late)
    await run_well(origin, exchange, body)


@behaviours.register("broken")
async def broken(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Break a stream off in the middle of an event, or another answer within its body."""
    if not streamed(exchange):
        await truncated(origin, exchange, body)
        return
    first = origin.run(exchange, body)
    await origin.stream(exchange, first, first + 1)
    await exchange.write(b"id: %d\nda" % (first + 2))
    exchange.closing = True
    await exchange.channel.abort()


@behaviours.register("short")
async def end_short(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """End a stream properly, but within an event; break another answer off."""
    if not streamed(exchange):
        await truncated(origin, exchange, body)
        return
    first = origin.run(exchange, body)
    await origin.stream(exchange, first, first)
    await exchange.write(b"id: %d\nda" % (first + 1))
    await exchange.end()


@behaviours.register("from_the_start")
async def ignore_the_resume(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run and send the whole stream, whatever event the request goes on after."""
    origin.run(exchange, body)
    await origin.stream(exchange, 1, origin.events)
    await exchange.end()


@behaviours.register("unknown")
async def answer_unknown(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run and answer that there is nothing of that name."""
    origin.run(exchange, body)
    await exchange.respond(404, origin.fields(exchange), b"unknown")


@behaviours.register("gap")
async def skip_an_event(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Leave an event of a stream out."""
    first = origin.run(exchange, body)
    await origin.stream(exchange, first, first)
    await exchange.write(b"id: %d\ndata: x\n\n" % (first + 2))
    await exchange.end()


@behaviours.register("silent")
async def silent(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run and never answer."""
    origin.run(exchange, body)
    try:
        await curio.Event().wait()
    except curio.CancelledError:
        origin.stopped += 1
        raise
