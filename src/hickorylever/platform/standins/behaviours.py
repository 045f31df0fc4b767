"""Ways in which a simulated endpoint handles a request."""

import functools
from collections.abc import Callable

import curio

from ...http import Exchange, header
from .. import names
from .encoding import encode_head
from .origin import FRAMINGS, Origin, behaviours, encode_event, wants_stream

SLOW_DELAY_SECONDS = 0.9
DRIP_SECONDS = 0.05


def rejection_headers(exchange: Exchange) -> list[tuple[bytes, bytes]]:
    """Return the headers of a response that refuses a request without running it."""
    request_id = header(exchange.headers, names.ATTEMPT_ID)
    return [(names.ATTEMPT_ID, request_id), (names.NOT_RUN, b"1")]


@behaviours.register("well")
async def run_without_fault(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and send a complete response."""
    first = origin.record_run(exchange, body)
    try:
        if wants_stream(exchange):
            await origin.stream(exchange, first, origin.events)
            await exchange.end()
            return
        await curio.sleep(origin.pause)
    except curio.CancelledError:
        origin.stopped += 1
        raise
    await exchange.respond(200, origin.response_headers(exchange), origin.own_body(exchange))


@behaviours.register("slow")
async def run_after_delay(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request, but only after longer than routers wait for an endpoint."""
    await curio.sleep(SLOW_DELAY_SECONDS)
    await run_without_fault(origin, exchange, body)


@behaviours.register("shed")
async def shed(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Refuse the request without running it."""
    await exchange.respond(503, rejection_headers(exchange))


@behaviours.register("defer")
async def defer(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Refuse the request without running it, and want no more for a while."""
    retry_after = (b"retry-after", origin.retry_after)
    await exchange.respond(503, [*rejection_headers(exchange), retry_after])


@behaviours.register("defer_twice")
async def defer_and_duplicate(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Refuse as ``defer`` does, and prepare a duplicate of the response for ``late``."""
    await defer(origin, exchange, body)
    fields = [*rejection_headers(exchange), (b"content-length", b"0")]
    origin.duplicate_response = exchange.channel(503, fields)


@behaviours.register("shed_unnamed")
async def shed_unnamed(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Refuse the request without running it and without naming it."""
    await exchange.respond(503, [(names.NOT_RUN, b"1")])


@behaviours.register("shed_unnamed_twice")
async def shed_unnamed_and_duplicate(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Refuse as ``shed_unnamed`` does, and prepare a duplicate for the behaviour ``late``."""
    await shed_unnamed(origin, exchange, body)
    fields = [(names.NOT_RUN, b"1"), (b"content-length", b"0")]
    origin.duplicate_response = exchange.channel(503, fields)


@behaviours.register("shed_leaving")
async def shed_as_leaving(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Refuse the request without running it, and say that the endpoint shuts down."""
    leaving = (names.LEAVING, names.LEAVING_VALUE)
    await exchange.respond(503, [*rejection_headers(exchange), leaving])


@behaviours.register("fail")
async def fail(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and respond with status 500."""
    origin.record_run(exchange, body)
    await exchange.respond(500, origin.response_headers(exchange), b"failed")


async def fail_framed(framing: str, origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request, respond with status 500 in a framing, and close the connection."""
    origin.record_run(exchange, body)
    exchange.closing = True
    more, content = FRAMINGS[framing](b"internal error\n\n")
    head = encode_head(500, [*origin.response_headers(exchange), *more])
    await exchange.channel.sock.sendall(head + content)
    await exchange.channel.close_gracefully()


for _framing in ("chunked", "unframed"):
    behaviours.register(f"fail_{_framing}")(functools.partial(fail_framed, _framing))


@behaviours.register("odd_type")
async def respond_with_other_type(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and respond with status 200 and a body that is no stream."""
    origin.record_run(exchange, body)
    fields = [*origin.response_headers(exchange), (b"content-type", b"application/json")]
    await exchange.respond(200, fields, b'{"error": "internal"}')


@behaviours.register("cut_head")
async def stop_within_answer(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request, send the first `cut` bytes of the answer and close the connection."""
    origin.record_run(exchange, body)
    exchange.closing = True
    head, content = origin.framed_answer(exchange)
    await exchange.channel.sock.sendall((head + content)[: origin.cut])
    await exchange.channel.close_gracefully()


@behaviours.register("busy")
async def busy(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and respond with status 503, without the header for "not run"."""
    origin.record_run(exchange, body)
    await exchange.respond(503, origin.response_headers(exchange), b"failed")


async def run_and_respond(status: int, origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and respond with a status, without the header for "not run"."""
    origin.record_run(exchange, body)
    await exchange.respond(status, origin.response_headers(exchange), b"failed")


for _status in (408, 421, 429):
    behaviours.register(f"ran_{_status}")(functools.partial(run_and_respond, _status))


@behaviours.register("other_server")
async def reject_as_other(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Reject the request as a server does that has the address but another id."""
    request_id = header(exchange.headers, names.ATTEMPT_ID)
    await exchange.respond(421, [(names.ENDPOINT, b"i-other"), (names.ATTEMPT_ID, request_id)])


@behaviours.register("contradictory")
async def run_and_reject_as_other(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and respond with status 421, but under the id that was expected."""
    origin.record_run(exchange, body)
    request_id = header(exchange.headers, names.ATTEMPT_ID)
    fields = [(names.ENDPOINT, origin.name.encode()), (names.ATTEMPT_ID, request_id)]
    await exchange.respond(421, fields)


@behaviours.register("reset")
async def reset(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and reset the connection before the response."""
    origin.record_run(exchange, body)
    exchange.closing = True
    await exchange.channel.abort()


@behaviours.register("garbage")
async def garbage(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and send bytes that are not an HTTP response."""
    origin.record_run(exchange, body)
    exchange.closing = True
    await exchange.channel.sock.sendall(b"\x00\x01 not an answer\r\n\r\n")
    await exchange.channel.abort()


@behaviours.register("truncated")
async def truncated(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and close the connection within the response body."""
    origin.record_run(exchange, body)
    exchange.closing = True
    await exchange.channel.sock.sendall(origin.encode_response(exchange, b"part", 100))
    await exchange.channel.close_gracefully()


@behaviours.register("unstamped")
async def unstamped(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and respond without the header that identifies the endpoint."""
    origin.record_run(exchange, body)
    await exchange.respond(200, origin.response_headers(exchange)[:1], b"whose?")


@behaviours.register("encoded")
async def encoded(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and respond with a body that has a content coding."""
    origin.record_run(exchange, body)
    await exchange.respond(
        200, [*origin.response_headers(exchange), (b"content-encoding", b"x")], b"x"
    )


@behaviours.register("twice")
async def respond_and_duplicate(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request, and prepare a duplicate of the response for the behaviour ``late``."""
    if wants_stream(exchange):
        await run_without_fault(origin, exchange, body)
        return
    origin.record_run(exchange, body)
    await exchange.respond(200, origin.response_headers(exchange), origin.own_body(exchange))
    duplicate = origin.encode_response(exchange, b"stale")
    origin.duplicate_response = exchange.channel, duplicate


@behaviours.register("late")
async def send_duplicate_first(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Send the duplicate response to an earlier request, then run this one.

    Only a request on the connection of the earlier one gets it.
    """
    if origin.duplicate_response is not None and origin.duplicate_response[0] is exchange.channel:
        await exchange.channel.sock.sendall(origin.duplicate_response[1])
        origin.duplicate_response = None
    await run_without_fault(origin, exchange, body)


@behaviours.register("broken")
async def break_off(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and break the connection in the middle of an event, or of the body."""
    if not wants_stream(exchange):
        await truncated(origin, exchange, body)
        return
    first = origin.record_run(exchange, body)
    await origin.stream(exchange, first, first + 1)
    await exchange.write(b"id: %d\nda" % (first + 2))
    exchange.closing = True
    await exchange.channel.abort()


@behaviours.register("broken_off")
async def break_off_before_event(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and break the connection before the first event."""
    if not wants_stream(exchange):
        await reset(origin, exchange, body)
        return
    first = origin.record_run(exchange, body)
    await origin.stream(exchange, first, first - 1)
    exchange.closing = True
    await exchange.channel.abort()


@behaviours.register("broken_within_first")
async def break_off_within_first_event(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and break the connection in the middle of the first event."""
    first = origin.record_run(exchange, body)
    await origin.stream(exchange, first, first - 1)
    await exchange.write(encode_event(first, origin.version)[:-3])
    exchange.closing = True
    await exchange.channel.abort()


@behaviours.register("short")
async def end_within_event(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Complete the HTTP response in the middle of an event; truncate a response without events."""
    if not wants_stream(exchange):
        await truncated(origin, exchange, body)
        return
    first = origin.record_run(exchange, body)
    await origin.stream(exchange, first, first)
    await exchange.write(b"id: %d\nda" % (first + 1))
    await exchange.end()


async def send_unframed(
    origin: Origin,
    exchange: Exchange,
    body: bytes,
    cut: Callable[[int], int] = lambda size: size,
) -> None:
    """Run the request and send a response that has neither a length nor chunks.

    :param cut: returns how many bytes of the body to send, for its size.
    """
    first = origin.record_run(exchange, body)
    exchange.closing = True
    fields = origin.response_headers(exchange)
    content = origin.own_body(exchange)
    if wants_stream(exchange):
        fields.append((b"content-type", b"text/event-stream"))
        numbers = range(first, origin.events + 1)
        content = b"".join(encode_event(number, origin.version) for number in numbers)
    await exchange.channel.sock.sendall(encode_head(200, fields) + content[: cut(len(content))])


async def close_early(exchange: Exchange) -> None:
    """Close the connection of a stream; reset that of a response which would end with it."""
    if wants_stream(exchange):
        await exchange.channel.close_gracefully()
    else:
        await exchange.channel.abort()


@behaviours.register("unframed")
async def end_with_connection(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and send a complete response that ends with its connection."""
    await send_unframed(origin, exchange, body)
    await exchange.channel.close_gracefully()


@behaviours.register("unframed_reset")
async def reset_unframed(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Reset the connection in the middle of a response that would end with it."""
    await send_unframed(origin, exchange, body, lambda size: size // 2)
    await exchange.channel.abort()


@behaviours.register("unframed_short")
async def end_unframed_within_event(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """End a response without a length in the middle of an event."""
    await send_unframed(origin, exchange, body, lambda size: size - 4)
    await close_early(exchange)


@behaviours.register("unframed_empty")
async def end_unframed_before_event(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """End a response without a length before its first event."""
    await send_unframed(origin, exchange, body, lambda size: 0)
    await close_early(exchange)


@behaviours.register("from_the_start")
async def ignore_last_event_id(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and send the stream from its first event, ignoring ``Last-Event-ID``."""
    origin.record_run(exchange, body)
    await origin.stream(exchange, 1, origin.events)
    await exchange.end()


@behaviours.register("unknown")
async def respond_not_found(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and respond with status 404."""
    origin.record_run(exchange, body)
    await exchange.respond(404, origin.response_headers(exchange), b"unknown")


@behaviours.register("gap")
async def skip_event(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and skip one event of the stream."""
    first = origin.record_run(exchange, body)
    await origin.stream(exchange, first, first)
    await exchange.write(b"id: %d\ndata: x\n\n" % (first + 2))
    await exchange.end()


@behaviours.register("silent")
async def silent(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and never respond."""
    origin.record_run(exchange, body)
    try:
        await curio.Event().wait()
    except curio.CancelledError:
        origin.stopped += 1
        raise


@behaviours.register("dripping")
async def drip(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request, send one event of its stream and then only a byte now and then."""
    first = origin.record_run(exchange, body)
    await origin.stream(exchange, first, first)
    await exchange.write(b"id: ")
    try:
        while True:
            await exchange.write(b"9")
            await curio.sleep(DRIP_SECONDS)
    except curio.CancelledError:
        origin.stopped += 1
        raise
