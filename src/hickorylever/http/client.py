"""The client side: answers, connections kept for reuse, and whole exchanges."""

import math
import re
import socket as stdsocket
import time
from collections.abc import AsyncIterator

import curio
import h11
from curio import socket

from .. import defaults
from ..exceptions import ConnectionLost
from .channel import Channel, keep_alive
from .headers import Headers, header

TIMEOUT = re.compile(rb"(?i)\btimeout=([0-9]{1,6})\b")


def idle_limit(headers: Headers) -> float:
    """Return the seconds after which the server closes an idle connection, if it says so."""
    match = TIMEOUT.search(header(headers, b"keep-alive"))
    return float(match[1]) if match else math.inf


class Answer:
    """An answer as the client side sees it."""

    def __init__(self, channel: Channel, response: h11.Response):
        self.channel = channel
        self.status = response.status_code
        self.headers = list(response.headers)
        self.whole = False

    async def piece(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end.

        A cancelled call loses nothing; the next one goes on.

        :raises ConnectionLost: when the body ends early.
        """
        try:
            event = await self.channel.receive()
        except h11.RemoteProtocolError as error:
            raise ConnectionLost(str(error)) from error
        if isinstance(event, h11.EndOfMessage):
            self.whole = True
            return None
        if not isinstance(event, h11.Data):
            raise ConnectionLost("the peer closed within a body")
        return bytes(event.data)

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body's bytes.

        :raises ConnectionLost: when the body ends early.
        """
        while (piece := await self.piece()) is not None:
            yield piece

    async def body(self, limit: int = defaults.MAX_RESPONSE_BYTES) -> bytes:
        """Return the whole body, at most `limit` bytes."""
        pieces = []
        size = 0
        async for piece in self.pieces():
            size += len(piece)
            if size > limit:
                raise ConnectionLost("the answer is too large")
            pieces.append(piece)
        return b"".join(pieces)

    def delimited(self) -> bool:
        """Tell whether the end of the body can be verified."""
        names = [key for key, _ in self.headers]
        bodiless = self.status in (204, 304)
        return bodiless or b"content-length" in names or b"transfer-encoding" in names


async def connect(address: str, port: int, timeout: float = defaults.CONNECT_TIMEOUT_SECONDS):
    """Open a TCP connection to an IP number.

    :raises ConnectionLost: when it can't be opened in time.
    """
    sock = socket.socket(stdsocket.AF_INET, stdsocket.SOCK_STREAM)
    try:
        await curio.timeout_after(timeout, sock.connect, (address, port))
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        raise ConnectionLost(f"{address}:{port}: {error!r}") from None
    except BaseException:
        await sock.close()
        raise
    keep_alive(sock._socket)
    return sock


class Client:
    """Keeps idle connections to peers and sends requests on them.

    :param max_age: seconds after which the server would close a connection.
    :param max_idle: seconds without use after which the server would close it.
    """

    def __init__(
        self,
        max_age: float = defaults.MAX_CONNECTION_AGE_SECONDS,
        max_idle: float = defaults.IDLE_TIMEOUT_SECONDS,
    ):
        self.max_age = max_age
        self.max_idle = max_idle
        self.idle: dict[tuple[str, int], list[Channel]] = {}

    async def acquire(
        self,
        address: str,
        port: int,
        fresh: bool = False,
        max_idle: float = math.inf,
        timeout: float = defaults.CONNECT_TIMEOUT_SECONDS,
    ) -> Channel:
        """Return an idle or a new connection.

        :param fresh: never take an idle one.
        :param max_idle: seconds without use up to which an idle one is taken.
        :param timeout: seconds that opening a new one may take.
        :raises ConnectionLost: when none can be opened.
        """
        idle = self.idle.get((address, port), [])
        while idle and not fresh:
            if time.monotonic() - idle[-1].used > max_idle:
                break
            channel = idle.pop()
            if self.alive(channel):
                return channel
            await channel.close()
        sock = await connect(address, port, timeout)
        return Channel(sock, h11.CLIENT)

    def alive(self, channel: Channel) -> bool:
        """Tell whether an idle connection may be used again.

        Half of the server's limits are the limits, so that the two ends never race.
        """
        now = time.monotonic()
        max_idle = min(self.max_idle, channel.idle_limit)
        if now - channel.born > self.max_age / 2 or now - channel.used > max_idle / 2:
            return False
        try:
            channel.raw.recv(1, stdsocket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def release(self, address: str, port: int, channel: Channel) -> None:
        """Give a connection back after an exchange that ended well."""
        idle = self.idle.setdefault((address, port), [])
        channel.used = time.monotonic()
        if channel.reusable() and len(idle) < defaults.MAX_IDLE_CONNECTIONS:
            idle.append(channel)
        else:
            await channel.close()

    async def reap(self) -> None:
        """Close idle connections that would not be used again."""
        for peer, channels in list(self.idle.items()):
            kept = [channel for channel in channels if self.alive(channel)]
            dead = [channel for channel in channels if channel not in kept]
            self.idle[peer] = kept
            if not kept:
                del self.idle[peer]
            for channel in dead:
                await channel.close()

    async def request(
        self,
        channel: Channel,
        method: str,
        target: str,
        headers: Headers = (),
        body: bytes = b"",
        host: str = "-",
    ) -> None:
        """Send one request with a whole body."""
        fields = [(b"host", host.encode()), *headers]
        if body or method in ("POST", "PUT", "PATCH"):
            fields.append((b"content-length", b"%d" % len(body)))
        events = [h11.Request(method=method, target=target, headers=fields)]
        if body:
            events.append(h11.Data(data=body))
        await channel.send(*events, h11.EndOfMessage())

    async def answer(self, channel: Channel) -> Answer:
        """Return the final answer's head.

        :raises ConnectionLost: when none comes.
        """
        while True:
            try:
                event = await channel.receive()
            except h11.RemoteProtocolError as error:
                detail = "the peer closed before an answer" if channel.ended else str(error)
                raise ConnectionLost(detail) from error
            if isinstance(event, h11.Response):
                channel.idle_limit = idle_limit(event.headers)
                return Answer(channel, event)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLost("the peer closed before an answer")

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
        """Send a request and return status, headers and whole body.

        :raises ConnectionLost: when the exchange fails; the connection is closed.
        """
        channel = await self.acquire(address, port, fresh)
        try:
            await self.request(channel, method, target, headers, body)
            answer = await self.answer(channel)
            content = await answer.body()
        except BaseException:
            await channel.close()
            raise
        await self.release(address, port, channel)
        return answer.status, answer.headers, content
