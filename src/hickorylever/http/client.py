"""HTTP client with a pool of idle connections."""

import math
import re
import socket as stdsocket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Collection

import curio
import h11
from curio import socket

from .. import defaults
from ..exceptions import ConnectionLost, PeerRefused
from .channel import Channel, set_socket_options
from .headers import Headers, header

MAX_INFORMATIONAL_RESPONSES = 16  # Before the final response.
# A body may have `defaults.MAX_BODY_CHUNKS` chunks, and one more for this size, as each chunk
# costs as much time as many bytes.
BYTES_PER_CHUNK = 256
MAX_SHARED_RESPONSE_BYTES = 32 * 1024 * 1024  # Of response bodies that a client is reading.
FAIR_RESPONSE_BYTES = 256 * 1024  # A body up to this size is read whatever the others take.
BODILESS_STATUSES = (204, 304)
KEEP_ALIVE_TIMEOUT = re.compile(rb"(?i)\btimeout=([0-9]{1,6})\b")


def parse_idle_timeout(headers: Headers) -> float:
    """Return the idle timeout in seconds that a ``Keep-Alive`` header announces.

    Without one, the timeout is infinite.
    """
    match = KEEP_ALIVE_TIMEOUT.search(header(headers, b"keep-alive"))
    return float(match[1]) if match else math.inf


class ReadBuffers:
    """Total size of the response bodies that a client is reading.

    :ivar size: bytes.
    """

    def __init__(self):
        self.size = 0

    def add(self, count: int, body_size: int) -> None:
        """Count bytes that were read.

        :param body_size: bytes of the same body in memory.
        :raises ConnectionLost: if the bodies take too much memory and this one is large.
        """
        self.size += count
        if self.size > MAX_SHARED_RESPONSE_BYTES and body_size > FAIR_RESPONSE_BYTES:
            raise ConnectionLost(f"response bodies exceed {MAX_SHARED_RESPONSE_BYTES} bytes")


class ClientResponse:
    """A response whose head has been received and whose body is read on demand.

    :param buffers: counts the bodies that the client reads at the same time.
    :ivar complete: whether the body has been read to its end.
    :ivar chunks: number of chunks since the latest progress.
    :ivar size: bytes in these.
    """

    def __init__(self, channel: Channel, response: h11.Response, buffers: ReadBuffers):
        self.channel = channel
        self.buffers = buffers
        self.status = response.status_code
        self.headers = list(response.headers)
        self.complete = False
        self.chunks = 0
        self.size = 0

    async def read_bytes(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        No data is lost if the call is cancelled; the next call continues at the same position.

        :raises ConnectionLost: if the connection fails before the end of the body, or if too many
            small chunks arrive without progress.
        """
        try:
            event = await self.channel.receive()
        except h11.RemoteProtocolError as error:
            raise ConnectionLost(str(error)) from error
        if isinstance(event, h11.EndOfMessage):
            self.complete = True
            return None
        if not isinstance(event, h11.Data):
            raise ConnectionLost("connection closed within the response body")
        self.chunks += 1
        self.size += len(event.data)
        if self.chunks > defaults.MAX_BODY_CHUNKS + self.size // BYTES_PER_CHUNK:
            raise ConnectionLost("the body has too many small chunks")
        return bytes(event.data)

    def record_progress(self) -> None:
        """Record that the chunks so far were of use, such as for an event of a stream."""
        self.chunks = self.size = 0

    async def iter_bytes(self) -> AsyncIterator[bytes]:
        """Yield the body in blocks of bytes as they arrive.

        :raises ConnectionLost: if the connection fails before the end of the body.
        """
        while (block := await self.read_bytes()) is not None:
            yield block

    def announced_bytes(self, method: str = "GET") -> int | None:
        """Return the size of the body that the head announces, or None if it doesn't.

        :param method: of the request.
        """
        length = header(self.headers, b"content-length")
        if method == "HEAD" or self.status in BODILESS_STATUSES:
            return 0
        return int(length) if length.isdigit() else None

    async def body(
        self,
        limit: int = defaults.MAX_RESPONSE_BYTES,
        make_room: Callable[[int], Awaitable[None]] | None = None,
    ) -> bytes:
        """Return the complete body.

        :param limit: bytes.
        :param make_room: awaited with the size of each block before the next one is read.
        :raises ConnectionLost: if the body exceeds `limit` or the connection fails before its end.
        """
        blocks = []
        size = 0
        try:
            while (block := await self.read_within(limit, size)) is not None:
                size += len(block)
                blocks.append(block)
                self.buffers.add(len(block), size)
                if make_room is not None:
                    await make_room(len(block))
            return b"".join(blocks)
        finally:
            self.buffers.size -= size

    async def skip(self, limit: int) -> None:
        """Read the body to its end without keeping it.

        :param limit: bytes.
        :raises ConnectionLost: if the body exceeds `limit` or the connection fails before its end.
        """
        size = 0
        while (block := await self.read_within(limit, size)) is not None:
            size += len(block)

    async def read_within(self, limit: int, size: int) -> bytes | None:
        """Return the next bytes of a body, or None at its end.

        :param limit: of the whole body, in bytes.
        :param size: bytes read so far.
        :raises ConnectionLost: if the body exceeds `limit` or the connection fails before its end.
        """
        block = await self.read_bytes()
        if block is not None and size + len(block) > limit:
            raise ConnectionLost(f"response body exceeds {limit} bytes")
        return block

    def end_is_verifiable(self) -> bool:
        """Return whether a truncated body can be told from a complete one.

        That takes a Content-Length, a transfer coding, or a status that forbids a body. Any other
        body ends where the connection does.
        """
        names = [key for key, _ in self.headers]
        bodiless = self.status in BODILESS_STATUSES
        return bodiless or b"content-length" in names or b"transfer-encoding" in names


async def connect(address: str, port: int, timeout: float = defaults.CONNECT_TIMEOUT_SECONDS):
    """Open a TCP connection.

    :param address: IPv4 address.
    :param timeout: seconds.
    :raises PeerRefused: if the peer refuses the connection.
    :raises ConnectionLost: if the connection fails or times out.
    """
    try:
        sock = socket.socket(stdsocket.AF_INET, stdsocket.SOCK_STREAM)
    except OSError as error:
        raise ConnectionLost(f"no socket for {address}:{port}: {error!r}") from None
    try:
        await curio.timeout_after(timeout, sock.connect, (address, port))
    except ConnectionRefusedError as error:
        await sock.close()
        raise PeerRefused(f"{address}:{port}: {error!r}") from None
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        raise ConnectionLost(f"{address}:{port}: {error!r}") from None
    except BaseException:
        await sock.close()
        raise
    set_socket_options(sock._socket)
    return sock


def is_open(channel: Channel) -> bool:
    """Return whether the peer has kept an idle connection open and has sent nothing on it."""
    try:
        channel.raw.recv(1, stdsocket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class Client:
    """Sends requests over pooled connections.

    :param max_age: age in seconds at which servers close a connection.
    :param max_idle: idle time in seconds after which servers close a connection.
    :param max_response_bytes: size of the largest body that :meth:`fetch` returns.
    """

    def __init__(
        self,
        max_age: float = defaults.MAX_CONNECTION_AGE_SECONDS,
        max_idle: float = defaults.IDLE_TIMEOUT_SECONDS,
        max_response_bytes: int = defaults.MAX_RESPONSE_BYTES,
    ):
        self.max_age = max_age
        self.max_response_bytes = max_response_bytes
        self.max_idle = max_idle
        self.idle: dict[tuple[str, int], list[Channel]] = {}
        self.buffers = ReadBuffers()

    async def acquire(
        self,
        address: str,
        port: int,
        fresh: bool = False,
        max_idle: float = math.inf,
        timeout: float = defaults.CONNECT_TIMEOUT_SECONDS,
        avoid: Collection[Channel] = (),
    ) -> Channel:
        """Return an idle connection from the pool, or open a new one.

        :param fresh: always open a new connection.
        :param max_idle: seconds; connections that have been idle for longer are not used.
        :param timeout: seconds for opening a connection.
        :param avoid: idle connections that are not used.
        :raises ConnectionLost: if no connection can be opened.
        """
        idle = self.idle.get((address, port), [])
        candidates = [] if fresh else [channel for channel in idle if channel not in avoid]
        while candidates:
            channel = candidates.pop()
            if time.monotonic() - channel.last_used_at > max_idle:
                break
            idle.remove(channel)
            if self.is_usable(channel):
                return channel
            await channel.close()
        sock = await connect(address, port, timeout)
        return Channel(sock, h11.CLIENT)

    def is_usable(self, channel: Channel) -> bool:
        """Return whether an idle connection may be used again.

        Connections are used for half of the server's limits, so that a request is not sent while
        the server closes the connection.
        """
        now = time.monotonic()
        max_idle = min(self.max_idle, channel.idle_timeout)
        if now - channel.opened_at > self.max_age / 2 or now - channel.last_used_at > max_idle / 2:
            return False
        return is_open(channel)

    def idle_states(self, address: str, port: int, after: float, before: float) -> list[bool]:
        """Return for each idle connection to a peer whether the peer has kept it open.

        Those that it closed are removed by :meth:`reap`.

        :param after: only connections opened later are meant, in monotonic seconds.
        :param before: only connections opened earlier are meant, in monotonic seconds.
        """
        channels = self.idle.get((address, port), ())
        return [is_open(channel) for channel in channels if after < channel.opened_at < before]

    async def release(self, address: str, port: int, channel: Channel) -> None:
        """Return a connection to the pool after a complete exchange.

        It is closed if it can't be reused or the pool for its peer is full.
        """
        idle = self.idle.setdefault((address, port), [])
        channel.last_used_at = time.monotonic()
        if channel.prepare_for_reuse() and len(idle) < defaults.MAX_IDLE_CONNECTIONS:
            idle.append(channel)
        else:
            await channel.close()

    async def reap(self) -> None:
        """Close idle connections that can no longer be used."""
        for peer, channels in list(self.idle.items()):
            usable = [channel for channel in channels if self.is_usable(channel)]
            expired = [channel for channel in channels if channel not in usable]
            self.idle[peer] = usable
            if not usable:
                del self.idle[peer]
            for channel in expired:
                await channel.close()

    async def send_request(
        self,
        channel: Channel,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        host: str = "-",
    ) -> None:
        """Send a request with a complete body.

        :param host: value of the Host header.
        :raises ConnectionLost: if the connection fails.
        """
        channel.request_count += 1
        fields = [(b"host", host.encode()), *headers]
        if body or method in ("POST", "PUT", "PATCH"):
            fields.append((b"content-length", b"%d" % len(body)))
        events = [h11.Request(method=method, target=target, headers=fields)]
        if body:
            events.append(h11.Data(data=body))
        await channel.send(*events, h11.EndOfMessage())

    async def receive_response(self, channel: Channel) -> ClientResponse:
        """Receive the head of the final response, skipping informational ones.

        :raises ConnectionLost: if the connection fails, the head is malformed or there are more
            than `MAX_INFORMATIONAL_RESPONSES`.
        """
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            try:
                event = await channel.receive()
            except h11.RemoteProtocolError as error:
                detail = (
                    "connection closed before a response" if channel.eof_received else str(error)
                )
                raise ConnectionLost(detail) from error
            if isinstance(event, h11.Response):
                channel.idle_timeout = parse_idle_timeout(event.headers)
                return ClientResponse(channel, event, self.buffers)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost("connection closed before a response")
        raise ConnectionLost("the peer sent only informational responses")

    async def fetch(
        self,
        address: str,
        port: int,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        fresh: bool = False,
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        """Send a request and return the status, the headers and the complete body.

        :raises ConnectionLost: if the exchange fails; its connection is closed.
        """
        channel = await self.acquire(address, port, fresh)
        try:
            await self.send_request(channel, method, target, headers, body)
            response = await self.receive_response(channel)
            content = await response.body(self.max_response_bytes)
        except BaseException:
            await channel.close()
            raise
        await self.release(address, port, channel)
        return response.status, response.headers, content
