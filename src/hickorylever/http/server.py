"""The server side: connections, their limits, and the exchanges on them."""

import contextlib
import logging
import socket as stdsocket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
import h11

from .. import defaults
from ..events import Event, log, logger
from ..exceptions import ConnectionLost, Kind, Ran, RequestError
from .channel import Channel, keep_alive
from .headers import Headers, check_head, header


@dataclass(frozen=True, slots=True)
class Limits:
    """What one server allows. Times in seconds, sizes in bytes.

    :param header_timeout: for a whole head, from its first byte on.
    :param body_timeout: for a whole request body.
    :param idle_timeout: between two exchanges.
    :param write_timeout: for the peer to accept one piece of an answer.
    :param max_connections: open at once; more are answered that there is no room.
    :param max_buffered: of all request bodies held at once.
    :param max_head: of a request's head.
    :param max_age: connections older than this are closed after an answer.
    """

    header_timeout: float = defaults.HEADER_TIMEOUT_SECONDS
    body_timeout: float = defaults.BODY_TIMEOUT_SECONDS
    idle_timeout: float = defaults.IDLE_TIMEOUT_SECONDS
    write_timeout: float = defaults.WRITE_TIMEOUT_SECONDS
    max_connections: int = defaults.MAX_CONNECTIONS
    max_buffered: int = defaults.MAX_BUFFERED_BYTES
    max_age: float = defaults.MAX_CONNECTION_AGE_SECONDS
    max_head: int = defaults.MAX_HEADER_BYTES


class Exchange:
    """One request as the server side sees it.

    :param server: counts the bytes of bodies held.
    :param head: the request's head.
    """

    def __init__(self, server: "Server", channel: Channel, head: h11.Request, peer: str):
        self.server = server
        self.channel = channel
        self.head = head
        self.peer = peer
        self.method = head.method.decode("ascii")
        target = head.target.decode("ascii", "replace")
        self.path, _, self.query = target.partition("?")
        self.headers = list(head.headers)
        self.held = 0
        self.started = False
        self.closing = False
        length = header(self.headers, b"content-length", b"0")
        self.unread = int(length) > 0 or bool(header(self.headers, b"transfer-encoding"))

    async def body(self, limit: int = defaults.MAX_BODY_BYTES) -> bytes:
        """Return the request's whole body.

        :raises RequestError: when it is too large, too slow or malformed.
        """
        if int(header(self.headers, b"content-length", b"0")) > limit:
            raise RequestError(Kind.BODY_TOO_LARGE, f"at most {limit} bytes are allowed")
        if self.channel.state.they_are_waiting_for_100_continue:
            await self.channel.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            return await curio.timeout_after(self.server.limits.body_timeout, self.read, limit)
        except curio.TaskTimeout:
            raise RequestError(Kind.REQUEST_TIMEOUT, "the body arrived too slowly") from None
        except h11.RemoteProtocolError as error:
            raise RequestError(Kind.BAD_REQUEST, str(error)) from None

    async def read(self, limit: int) -> bytes:
        """Collect body events up to `limit` bytes."""
        content = bytearray()
        pieces = 0
        while True:
            event = await self.channel.receive()
            if isinstance(event, h11.EndOfMessage):
                self.unread = False
                return bytes(content)
            if not isinstance(event, h11.Data):
                raise ConnectionLost("the peer closed within a body")
            if len(content) + len(event.data) > limit:
                raise RequestError(Kind.BODY_TOO_LARGE, f"at most {limit} bytes are allowed")
            self.hold(len(event.data))
            content += event.data
            pieces += 1
            if pieces > defaults.MAX_BODY_CHUNKS:
                raise RequestError(Kind.BAD_REQUEST, "the body comes in too many chunks")
            if pieces % defaults.BODY_CHUNKS_PER_YIELD == 0:
                await curio.sleep(0)

    def hold(self, size: int) -> None:
        """Count bytes that are kept until the exchange ends."""
        if self.server.held + size > self.server.limits.max_buffered:
            raise RequestError(Kind.OVERLOADED, "too many request bodies are held")
        self.held += size
        self.server.held += size

    def release(self) -> None:
        """Stop counting this exchange's bytes."""
        self.server.held -= self.held
        self.held = 0

    def finish_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Echo the caller's request id, and announce when the connection ends.

        It ends after an answer that is sent before the request's body was read.
        """
        self.closing = self.closing or self.unread
        result = list(headers)
        given = header(self.headers, b"x-request-id")
        if given:
            result = [(key, value) for key, value in result if key != b"x-request-id"]
            result.append((b"x-request-id", given))
        if self.closing:
            result.append((b"connection", b"close"))
        return result

    async def respond(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send a whole answer.

        The length of an answer without a body (to HEAD, or 304) is kept when it is given.
        """
        bodiless = self.method == "HEAD" or status in (204, 304)
        fields = [(key, value) for key, value in headers if key != b"content-length"]
        length = header(headers, b"content-length") if bodiless else b""
        if status != 204 and (length or status != 304):
            fields.append((b"content-length", length or b"%d" % len(body)))
        self.started = True
        events = [h11.Response(status_code=status, headers=self.finish_headers(fields))]
        if body and not bodiless:
            events.append(h11.Data(data=body))
        await self.channel.send(*events, h11.EndOfMessage())

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send the head of a streamed answer."""
        fields = [(key, value) for key, value in headers if key != b"content-length"]
        fields.append((b"transfer-encoding", b"chunked"))
        self.started = True
        await self.channel.send(
            h11.Response(status_code=status, headers=self.finish_headers(fields))
        )

    async def write(self, data: bytes) -> None:
        """Send a piece of a streamed answer."""
        await self.channel.send(h11.Data(data=data))

    async def end(self) -> None:
        """Send the terminator of a streamed answer."""
        await self.channel.send(h11.EndOfMessage())

    async def cut(self) -> None:
        """End a begun answer so that it can't be taken for the whole.

        A chunked answer without its terminator shows it; for HTTP/1.0 only a reset does.
        """
        if self.head.http_version < b"1.1":
            await self.channel.abort()
        else:
            await self.channel.finish()


Handler = Callable[[Exchange], Awaitable[None]]
Refuse = Callable[[Exchange, RequestError], Awaitable[None]]


class Server:
    """Serves connections with one handler.

    :param handler: answers one exchange; a :exc:`RequestError` from it goes to `refuse`.
    """

    def __init__(self, handler: Handler, refuse: Refuse, limits: Limits | None = None):
        self.handler = handler
        self.refuse = refuse
        self.limits = limits or Limits()
        self.draining = False
        self.stopping = False
        self.connections = 0
        self.held = 0
        self.idle: set[Channel] = set()
        self.group: curio.TaskGroup | None = None
        self.acceptor: curio.Task | None = None
        self.listener = None

    async def serve(self, sock) -> None:
        """Accept connections on a listening socket until cancelled or stopped."""
        self.listener = sock
        async with sock, curio.TaskGroup(wait=None) as self.group:
            self.acceptor = await self.group.spawn(self.accept, sock)
            async for task in self.group:
                task.joined = True
                del task

    async def accept(self, sock) -> None:
        """Accept connections; a failure to accept one stops nothing."""
        while True:
            try:
                client, address = await sock.accept()
            except OSError as error:
                log(Event.INTERNAL_ERROR, f"accept failed: {error}", logging.ERROR)
                await curio.sleep(defaults.ACCEPT_RETRY_SECONDS)
                continue
            await self.group.spawn(self.connection, client, address)

    async def stop(self, linger: float | None = None) -> None:
        """Stop listening and close idle connections; exchanges under way go on.

        :param linger: seconds that a connection without a request so far is kept; by default
            :data:`defaults.LINGER_SECONDS`.

        Connections that wait in the listener's queue are still served, and bytes that have
        arrived on an idle connection are too.
        """
        self.draining = True
        await self.acceptor.cancel()
        with contextlib.suppress(OSError):
            while True:
                client, address = self.listener._socket.accept()
                await self.group.spawn(self.connection, curio.io.Socket(client), address)
        await self.listener.close()
        self.close_idle([channel for channel in self.idle if channel.used > channel.born])
        await curio.sleep(defaults.LINGER_SECONDS if linger is None else linger)
        self.stopping = True
        self.close_idle(self.idle)

    def close_idle(self, channels) -> None:
        """Wake the readers of connections: what has arrived is read, then they end."""
        for channel in channels:
            channel.read_closed = True
            with contextlib.suppress(OSError):
                channel.raw.shutdown(stdsocket.SHUT_RD)

    async def connection(self, sock, address) -> None:
        """Serve one connection until it closes; its failures stay its own."""
        self.connections += 1
        channel = Channel(sock, h11.SERVER, write_timeout=self.limits.write_timeout)
        try:
            keep_alive(channel.raw)
            if self.connections > self.limits.max_connections:
                await self.refuse_connection(channel)
            else:
                await self.exchanges(channel, str(address[0]))
            await channel.finish()
        except (ConnectionLost, h11.ProtocolError, OSError):
            await channel.abort()
        except Exception:
            logger.exception("connection failed", extra={"event": Event.INTERNAL_ERROR})
            await channel.abort()
        finally:
            self.connections -= 1
            await channel.close()

    async def refuse_connection(self, channel: Channel) -> None:
        """Answer that there is no room, as long as that costs little itself."""
        if self.connections > self.limits.max_connections + defaults.MAX_REFUSED_CONNECTIONS:
            return
        log(Event.CONNECTIONS_REFUSED, "too many connections", logging.WARNING)
        error = RequestError(Kind.OVERLOADED, "too many connections")
        await self.answer_unparsed(channel, error)

    async def exchanges(self, channel: Channel, peer: str) -> None:
        """Serve exchanges one after the other."""
        going_on = True
        while going_on:
            exchange = await self.next_exchange(channel, peer)
            if exchange is None:
                return
            age = time.monotonic() - channel.born
            exchange.closing = self.draining or age > self.limits.max_age
            try:
                await self.handle(exchange)
            finally:
                exchange.release()
            if not exchange.closing and channel.state.their_state is h11.SEND_BODY:
                channel.state.next_event()
            going_on = not exchange.closing and channel.reusable()
            channel.used = time.monotonic()

    async def handle(self, exchange: Exchange) -> None:
        """Run the handler; whatever it raises becomes an answer."""
        try:
            check_head(exchange.head, self.limits.max_head)
            await self.handler(exchange)
        except RequestError as error:
            await self.answer_error(exchange, error)
        except (ConnectionLost, h11.ProtocolError):
            raise
        except Exception:
            logger.exception("request failed", extra={"event": Event.INTERNAL_ERROR})
            await self.answer_error(exchange, RequestError(Kind.INTERNAL, "", Ran.UNKNOWN))

    async def next_exchange(self, channel: Channel, peer: str) -> Exchange | None:
        """Return the next request, or None when the connection has ended."""
        begun = False
        try:
            begun = await self.await_bytes(channel)
            if not begun:
                return None
            event = await curio.timeout_after(self.limits.header_timeout, channel.receive)
        except curio.TaskTimeout:
            error = RequestError(Kind.REQUEST_TIMEOUT, "the head arrived too slowly")
            await self.answer_unparsed(channel, error)
            return None
        except h11.RemoteProtocolError as error:
            large = error.error_status_hint == 431
            kind = Kind.HEADERS_TOO_LARGE if large else Kind.BAD_REQUEST
            await self.answer_unparsed(channel, RequestError(kind, str(error)))
            return None
        return Exchange(self, channel, event, peer) if isinstance(event, h11.Request) else None

    async def await_bytes(self, channel: Channel) -> bool:
        """Wait for the first bytes of a head; tell whether there are any."""
        if channel.state.trailing_data[0]:
            return True
        if self.stopping:
            return False
        self.idle.add(channel)
        try:
            await curio.timeout_after(self.limits.idle_timeout, channel.read)
        except curio.TaskTimeout:
            return False
        finally:
            self.idle.discard(channel)
        return not channel.ended

    async def answer_unparsed(self, channel: Channel, error: RequestError) -> None:
        """Answer a request whose head is not known."""
        head = h11.Request(method="GET", target="/", headers=[("host", "-")])
        await self.answer_error(Exchange(self, channel, head, ""), error)

    async def answer_error(self, exchange: Exchange, error: RequestError) -> None:
        """Tell the caller about an error, or cut an answer that has begun."""
        exchange.closing = True
        if exchange.started:
            await exchange.cut()
        else:
            await self.refuse(exchange, error)


def listen(address: str, port: int):
    """Return a listening curio socket. Port 0 takes a free one."""
    return curio.network.tcp_server_socket(address, port, backlog=defaults.LISTEN_BACKLOG)
