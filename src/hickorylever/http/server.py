"""HTTP server with limits on connections, requests and buffered bodies."""

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
from .channel import Channel, set_socket_options
from .exchange import Exchange
from .headers import check_head


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a server. Times are in seconds, sizes in bytes.

    :param header_timeout: for a request head, from its first byte to its last.
    :param body_timeout: for a request body.
    :param idle_timeout: for a connection between two exchanges.
    :param write_timeout: for the peer to accept one block of a response.
    :param max_connections: open connections. Further ones get a 503 response; they are closed
        without one if :data:`defaults.MAX_REFUSED_CONNECTIONS` are being refused already.
    :param max_buffered_bytes: total size of the request bodies in memory.
    :param max_head_bytes: size of a request head.
    :param send_buffer: size of the kernel's send buffer of a connection; 0 lets the kernel choose.
    :param max_age: age from which on a connection is closed after its current exchange.
    """

    header_timeout: float = defaults.HEADER_TIMEOUT_SECONDS
    body_timeout: float = defaults.BODY_TIMEOUT_SECONDS
    idle_timeout: float = defaults.IDLE_TIMEOUT_SECONDS
    write_timeout: float = defaults.WRITE_TIMEOUT_SECONDS
    max_connections: int = defaults.MAX_CONNECTIONS
    max_buffered_bytes: int = defaults.MAX_BUFFERED_BYTES
    max_age: float = defaults.MAX_CONNECTION_AGE_SECONDS
    max_head_bytes: int = defaults.MAX_HEADER_BYTES
    send_buffer: int = 0


Handler = Callable[[Exchange], Awaitable[None]]
ErrorHandler = Callable[[Exchange, RequestError], Awaitable[None]]


class Server:
    """HTTP server that passes each request to a handler.

    :param handler: responds to one exchange.
    :param error_handler: sends the error response when `handler` raises a :exc:`RequestError`.
    :ivar draining: whether connections are closed after their current exchange.
    :ivar stopping: whether connections without a request are closed.
    :ivar connections: number of open connections, including refused ones.
    :ivar buffered_bytes: bytes of request bodies in memory.
    :ivar idle: connections that wait for a request.
    """

    def __init__(
        self, handler: Handler, error_handler: ErrorHandler, limits: Limits | None = None
    ):
        self.handler = handler
        self.error_handler = error_handler
        self.limits = limits or Limits()
        self.draining = False
        self.stopping = False
        self.connections = 0
        self.buffered_bytes = 0
        self.idle: set[Channel] = set()
        self.group: curio.TaskGroup | None = None
        self.accept_task: curio.Task | None = None
        self.listener = None

    async def serve(self, sock) -> None:
        """Serve connections on a listening socket until cancelled or stopped."""
        self.listener = sock
        async with sock, curio.TaskGroup(wait=None) as self.group:
            self.accept_task = await self.group.spawn(self.accept, sock)
            async for task in self.group:
                task.joined = True
                del task

    async def accept(self, sock) -> None:
        """Accept connections, and go on after errors such as a lack of file descriptors."""
        while True:
            try:
                client, address = await sock.accept()
            except OSError as error:
                log(Event.INTERNAL_ERROR, f"accept failed: {error}", logging.ERROR)
                await curio.sleep(defaults.ACCEPT_RETRY_SECONDS)
                continue
            await self.group.spawn(self.serve_connection, client, address)

    async def stop(self, linger: float | None = None) -> None:
        """Stop listening and close idle connections. Exchanges in progress continue.

        Requests that have already arrived are served, on idle connections as well as on those in
        the listen queue.

        :param linger: seconds for which connections that have not carried a request are kept; by
            default :data:`defaults.LINGER_SECONDS`.
        """
        self.draining = True
        await self.accept_task.cancel()
        with contextlib.suppress(OSError):
            while True:
                client, address = self.listener._socket.accept()
                await self.group.spawn(self.serve_connection, curio.io.Socket(client), address)
        await self.listener.close()
        self.close_idle(
            [channel for channel in self.idle if channel.last_used_at > channel.opened_at]
        )
        await curio.sleep(defaults.LINGER_SECONDS if linger is None else linger)
        self.stopping = True
        self.close_idle(self.idle)

    def close_idle(self, channels) -> None:
        """Shut down the receiving side of connections.

        Their readers still get the data that has arrived, and then the end of the input.
        """
        for channel in channels:
            channel.read_closed = True
            with contextlib.suppress(OSError):
                channel.raw.shutdown(stdsocket.SHUT_RD)

    async def serve_connection(self, sock, address) -> None:
        """Serve one connection until it is closed. Errors do not affect other connections."""
        self.connections += 1
        channel = Channel(sock, h11.SERVER, write_timeout=self.limits.write_timeout)
        try:
            set_socket_options(channel.raw)
            if self.limits.send_buffer:
                channel.raw.setsockopt(
                    stdsocket.SOL_SOCKET, stdsocket.SO_SNDBUF, self.limits.send_buffer
                )
            if self.connections > self.limits.max_connections:
                await self.refuse_connection(channel)
            else:
                await self.serve_exchanges(channel, str(address[0]))
            await channel.close_gracefully()
        except (ConnectionLost, h11.ProtocolError, OSError):
            await channel.abort()
        except Exception:
            logger.exception("connection failed", extra={"event": Event.INTERNAL_ERROR})
            await channel.abort()
        finally:
            self.connections -= 1
            await channel.close()

    async def refuse_connection(self, channel: Channel) -> None:
        """Send a 503 response, unless too many connections are being refused already.

        The number of these responses is limited because refusing must itself cost little.
        """
        if self.connections > self.limits.max_connections + defaults.MAX_REFUSED_CONNECTIONS:
            return
        log(Event.CONNECTIONS_REFUSED, "refused a connection: too many are open", logging.WARNING)
        error = RequestError(Kind.OVERLOADED, "too many connections")
        await self.send_error_without_head(channel, error)

    async def serve_exchanges(self, channel: Channel, peer: str) -> None:
        """Serve the exchanges of a connection one after the other."""
        keep_open = True
        while keep_open:
            exchange = await self.next_exchange(channel, peer)
            if exchange is None:
                return
            age = time.monotonic() - channel.opened_at
            exchange.closing = self.draining or age > self.limits.max_age
            try:
                await self.handle(exchange)
            finally:
                exchange.release_buffer()
            if not exchange.closing and channel.protocol.their_state is h11.SEND_BODY:
                channel.protocol.next_event()
            keep_open = not exchange.closing and channel.prepare_for_reuse()
            channel.last_used_at = time.monotonic()

    async def handle(self, exchange: Exchange) -> None:
        """Run the handler and turn its exceptions into error responses."""
        try:
            check_head(exchange.head, self.limits.max_head_bytes)
            await self.handler(exchange)
        except RequestError as error:
            await self.send_error(exchange, error)
        except (ConnectionLost, h11.ProtocolError):
            raise
        except Exception:
            logger.exception("request failed", extra={"event": Event.INTERNAL_ERROR})
            await self.send_error(exchange, RequestError(Kind.INTERNAL, "", Ran.UNKNOWN))

    async def next_exchange(self, channel: Channel, peer: str) -> Exchange | None:
        """Return the next exchange, or None if the connection is to be closed."""
        has_data = False
        try:
            has_data = await self.wait_for_data(channel)
            if not has_data:
                return None
            event = await curio.timeout_after(self.limits.header_timeout, channel.receive)
        except curio.TaskTimeout:
            error = RequestError(Kind.REQUEST_TIMEOUT, "the head did not arrive in time")
            await self.send_error_without_head(channel, error)
            return None
        except h11.RemoteProtocolError as error:
            too_large = error.error_status_hint == 431
            kind = Kind.HEADERS_TOO_LARGE if too_large else Kind.BAD_REQUEST
            await self.send_error_without_head(channel, RequestError(kind, str(error)))
            return None
        return Exchange(self, channel, event, peer) if isinstance(event, h11.Request) else None

    async def wait_for_data(self, channel: Channel) -> bool:
        """Wait for the first bytes of a request and return whether any have arrived."""
        if channel.protocol.trailing_data[0]:
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
        return not channel.eof_received

    async def send_error_without_head(self, channel: Channel, error: RequestError) -> None:
        """Send an error response when no request head is available.

        The head is malformed or late, or the connection is refused before a head is read.
        """
        head = h11.Request(method="GET", target="/", headers=[("host", "-")])
        await self.send_error(Exchange(self, channel, head, ""), error)

    async def send_error(self, exchange: Exchange, error: RequestError) -> None:
        """Send an error response, or abort the response that has been started."""
        exchange.closing = True
        if exchange.started:
            await exchange.abort_response()
        else:
            await self.error_handler(exchange, error)


def listen(address: str, port: int):
    """Return a listening curio socket.

    :param address: IPv4 address.
    :param port: 0 selects a free port.
    """
    return curio.network.tcp_server_socket(address, port, backlog=defaults.LISTEN_BACKLOG)
