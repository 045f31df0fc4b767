"""Ways in which a simulated endpoint sends bytes without end."""

from ...exceptions import ConnectionLost
from ...http import Exchange
from .. import names
from .encoding import encode_head
from .origin import Origin, behaviours

INFORMATIONAL_BLOCK = b"HTTP/1.1 100 Continue\r\n\r\n" * 512
ENDLESS_BLOCK = b"0123456789abcdef" * 1024


async def send_endlessly(exchange: Exchange, head: bytes, block: bytes = ENDLESS_BLOCK) -> None:
    """Send a head and then the same block until the caller closes the connection.

    The server resets the connection after this, as another task may still wait for its end.

    :raises ConnectionLost: when the caller closes it.
    """
    exchange.closing = True
    sock = exchange.channel.sock
    try:
        await sock.sendall(head)
        while True:
            await sock.sendall(block)
    except OSError as error:
        raise ConnectionLost(str(error)) from error


@behaviours.register("endless_head")
async def endless_head(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and send a head that does not end."""
    origin.record_run(exchange, body)
    await send_endlessly(exchange, b"HTTP/1.1 200 OK\r\nx-filler: ")


@behaviours.register("endless_informational")
async def endless_informational(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and send informational responses without end."""
    origin.record_run(exchange, body)
    await send_endlessly(exchange, b"", INFORMATIONAL_BLOCK)


@behaviours.register("endless_body")
async def endless_body(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and send a body that does not end."""
    origin.record_run(exchange, body)
    await send_endlessly(exchange, encode_head(200, origin.response_headers(exchange)))


@behaviours.register("endless_rejection")
async def endless_rejection(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Refuse the request without running it, with a body that does not end."""
    await send_endlessly(exchange, encode_head(503, [(names.NOT_RUN, b"1")]))


@behaviours.register("endless_stream")
async def endless_stream(origin: Origin, exchange: Exchange, body: bytes) -> None:
    """Run the request and send a stream of bytes that are no events, without end."""
    origin.record_run(exchange, body)
    fields = [*origin.response_headers(exchange), (b"content-type", b"text/event-stream")]
    await send_endlessly(exchange, encode_head(200, fields), b"\x00garbage\n\n" + ENDLESS_BLOCK)
