"""HTTP/1.1 by h11 over curio sockets, for both sides."""

import socket as stdsocket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

import curio
import h11
from curio import socket

from . import defaults
from .exceptions import ConnectionLost, Kind, RequestError

Headers = Iterable[tuple[bytes, bytes]]

HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)


def header(headers: Headers, name: bytes, default: bytes = b"") -> bytes:
    """Return the first value of a lower-case header name."""
    for key, value in headers:
        if key == name:
            return value
    return default


def end_to_end(headers: Headers, *drop: bytes) -> list[tuple[bytes, bytes]]:
    """Return the headers that a relay passes on, without those in `drop`."""
    listed = {word.strip().lower() for word in header(headers, b"connection").split(b",")}
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_HEADERS and key not in drop and key not in listed
    ]


class Channel:
    """One HTTP/1.1 connection over a curio socket.

    :param role: ``h11.SERVER`` or ``h11.CLIENT``.
    """

    def __init__(self, sock, role, max_head: int = defaults.MAX_HEADER_BYTES):
        self.sock = sock
        self.state = h11.Connection(role, max_incomplete_event_size=max_head)
        self.born = time.monotonic()
        self.used = self.born

    async def receive(self):
        """Return the next h11 event.

        :raises ConnectionLost: when the transport fails.
        :raises h11.RemoteProtocolError: when the peer breaks the protocol.
        """
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.sock.recv(defaults.RECEIVE_BYTES)
            except OSError as error:
                raise ConnectionLost(str(error)) from error
            self.state.receive_data(data)

    async def send(self, *events) -> None:
        """Send h11 events in one write.

        :raises ConnectionLost: when the transport fails.
        """
        data = b"".join(self.state.send(event) or b"" for event in events)
        if not data:
            return
        try:
            await self.sock.sendall(data)
        except OSError as error:
            raise ConnectionLost(str(error)) from error

    async def close(self) -> None:
        """Close the socket."""
        await self.sock.close()

    async def abort(self) -> None:
        """Reset the connection, so that the peer can't take a part for the whole."""
        try:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            self.sock.setsockopt(stdsocket.SOL_SOCKET, stdsocket.SO_LINGER, linger)
        except OSError:
            pass
        await self.sock.close()

    def reusable(self) -> bool:
        """Tell whether another exchange may follow; prepares for it."""
        if self.state.our_state is h11.DONE and self.state.their_state is h11.DONE:
            self.state.start_next_cycle()
            return True
        return self.state.our_state is h11.IDLE and self.state.their_state is h11.IDLE


class Exchange:
    """One request as the server side sees it.

    :param head: the request's head.
    """

    def __init__(self, channel: Channel, head: h11.Request, peer: str):
        self.channel = channel
        self.head = head
        self.peer = peer
        self.method = head.method.decode("ascii")
        target = head.target.decode("ascii", "replace")
        self.path, _, self.query = target.partition("?")
        self.headers = list(head.headers)
        self.started = False
        self.closing = False

    async def body(self, limit: int = defaults.MAX_BODY_BYTES) -> bytes:
        """Return the request's whole body.

        :raises RequestError: when it is too large, too slow or malformed.
        """
        length = header(self.headers, b"content-length", b"0")
        if int(length) > limit:
            raise RequestError(Kind.BODY_TOO_LARGE, f"at most {limit} bytes are allowed")
        if self.channel.state.they_are_waiting_for_100_continue:
            await self.channel.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            return await curio.timeout_after(defaults.BODY_TIMEOUT, self.read, limit)
        except curio.TaskTimeout:
            raise RequestError(Kind.REQUEST_TIMEOUT, "the body arrived too slowly") from None
        except h11.RemoteProtocolError as error:
            raise RequestError(Kind.BAD_REQUEST, str(error)) from None

    async def read(self, limit: int) -> bytes:
        """Collect body events up to `limit` bytes."""
        pieces = []
        size = 0
        while True:
            event = await self.channel.receive()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(pieces)
            if not isinstance(event, h11.Data):
                raise ConnectionLost("the peer closed within a body")
            size += len(event.data)
            if size > limit:
                raise RequestError(Kind.BODY_TOO_LARGE, f"at most {limit} bytes are allowed")
            pieces.append(bytes(event.data))

    def finish_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Add ``Connection: close`` when the connection ends after this answer."""
        result = list(headers)
        unread = self.channel.state.their_state is not h11.DONE
        self.closing = self.closing or unread
        if self.closing:
            result.append((b"connection", b"close"))
        return result

    async def respond(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send a whole answer."""
        fields = [(key, value) for key, value in headers if key != b"content-length"]
        if status >= 200 and status != 204 and status != 304:
            fields.append((b"content-length", b"%d" % len(body)))
        self.started = True
        response = h11.Response(status_code=status, headers=self.finish_headers(fields))
        events = [response]
        if body and self.method != "HEAD":
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


Handler = Callable[[Exchange], Awaitable[None]]
Refuse = Callable[[Exchange, RequestError], Awaitable[None]]


def check_head(head: h11.Request) -> None:
    """Refuse heads that two parsers could read differently.

    :raises RequestError: for both lengths at once or a second Host.
    """
    names = [key for key, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise RequestError(Kind.BAD_REQUEST, "Content-Length and Transfer-Encoding together")
    if names.count(b"host") > 1:
        raise RequestError(Kind.BAD_REQUEST, "more than one Host header")


class Server:
    """Serves connections with one handler.

    :param handler: answers one exchange; a :exc:`RequestError` from it goes to `refuse`.
    :param max_age: connections older than this many seconds are closed after an answer.
    """

    def __init__(
        self, handler: Handler, refuse: Refuse, max_age: float = defaults.MAX_CONNECTION_AGE
    ):
        self.handler = handler
        self.refuse = refuse
        self.max_age = max_age
        self.draining = False
        self.connections = 0

    async def serve(self, sock) -> None:
        """Accept connections on a listening socket until cancelled."""
        await curio.network.run_server(sock, self.connection)

    async def connection(self, sock, address) -> None:
        """Serve one connection until it closes."""
        sock.setsockopt(stdsocket.IPPROTO_TCP, stdsocket.TCP_NODELAY, 1)
        channel = Channel(sock, h11.SERVER)
        self.connections += 1
        try:
            if self.connections <= defaults.MAX_CONNECTIONS:
                await self.exchanges(channel, str(address[0]))
        except (ConnectionLost, h11.ProtocolError):
            await channel.abort()
        finally:
            self.connections -= 1
            await channel.close()

    async def exchanges(self, channel: Channel, peer: str) -> None:
        """Serve exchanges one after the other."""
        timeout = defaults.HEADER_TIMEOUT
        while True:
            exchange = await self.next_exchange(channel, peer, timeout)
            if exchange is None:
                return
            age = time.monotonic() - channel.born
            exchange.closing = self.draining or age > self.max_age
            try:
                check_head(exchange.head)
                await self.handler(exchange)
            except RequestError as error:
                exchange.closing = True
                await self.answer_error(exchange, error)
            if exchange.closing or not channel.reusable():
                return
            timeout = defaults.IDLE_TIMEOUT

    async def next_exchange(self, channel: Channel, peer: str, timeout: float) -> Exchange | None:
        """Return the next request, or None when the connection has ended."""
        try:
            event = await curio.timeout_after(timeout, channel.receive)
        except curio.TaskTimeout:
            return None
        except h11.RemoteProtocolError as error:
            await self.answer_unparsed(channel, error)
            return None
        if isinstance(event, h11.Request):
            return Exchange(channel, event, peer)
        return None

    async def answer_unparsed(self, channel: Channel, error: h11.RemoteProtocolError) -> None:
        """Answer a head that could not be parsed."""
        large = error.error_status_hint == 431
        kind = Kind.HEADERS_TOO_LARGE if large else Kind.BAD_REQUEST
        head = h11.Request(method="GET", target="/", headers=[("host", "-")])
        exchange = Exchange(channel, head, "")
        exchange.closing = True
        await self.answer_error(exchange, RequestError(kind, str(error)))

    async def answer_error(self, exchange: Exchange, error: RequestError) -> None:
        """Tell the caller about an error, or cut a stream that has begun."""
        if exchange.started:
            await exchange.channel.abort()
            return
        await self.refuse(exchange, error)


class Answer:
    """An answer as the client side sees it."""

    def __init__(self, channel: Channel, response: h11.Response):
        self.channel = channel
        self.status = response.status_code
        self.headers = list(response.headers)
        self.whole = False

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body's bytes.

        :raises ConnectionLost: when the body ends early.
        """
        while True:
            try:
                event = await self.channel.receive()
            except h11.RemoteProtocolError as error:
                raise ConnectionLost(str(error)) from error
            if isinstance(event, h11.EndOfMessage):
                self.whole = True
                return
            if not isinstance(event, h11.Data):
                raise ConnectionLost("the peer closed within a body")
            yield bytes(event.data)

    async def body(self, limit: int = defaults.MAX_ANSWER_BYTES) -> bytes:
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


async def connect(address: str, port: int, timeout: float = defaults.CONNECT_TIMEOUT):
    """Open a TCP connection to an IP number.

    :raises ConnectionLost: when it can't be opened in time.
    """
    sock = socket.socket(stdsocket.AF_INET, stdsocket.SOCK_STREAM)
    try:
        await curio.timeout_after(timeout, sock.connect, (address, port))
    except (OSError, curio.TaskTimeout) as error:
        await sock.close()
        raise ConnectionLost(f"{address}:{port}: {error!r}") from None
    sock.setsockopt(stdsocket.IPPROTO_TCP, stdsocket.TCP_NODELAY, 1)
    return sock


def listen(address: str, port: int):
    """Return a listening curio socket. Port 0 takes a free one."""
    return curio.network.tcp_server_socket(address, port, backlog=1024)


class Client:
    """Keeps idle connections to peers and sends requests on them."""

    def __init__(self, max_age: float = defaults.MAX_CONNECTION_AGE):
        self.max_age = max_age
        self.idle: dict[tuple[str, int], list[Channel]] = {}

    async def acquire(self, address: str, port: int, fresh: bool = False) -> Channel:
        """Return an idle or a new connection.

        :param fresh: never take an idle one.
        :raises ConnectionLost: when none can be opened.
        """
        idle = self.idle.get((address, port), [])
        while idle and not fresh:
            channel = idle.pop()
            if self.alive(channel):
                return channel
            await channel.close()
        sock = await connect(address, port)
        return Channel(sock, h11.CLIENT)

    def alive(self, channel: Channel) -> bool:
        """Tell whether an idle connection may be used again.

        Half of the server's age is the limit, so that the two ends never race.
        """
        if time.monotonic() - channel.born > self.max_age / 2:
            return False
        try:
            flags = stdsocket.MSG_PEEK | stdsocket.MSG_DONTWAIT
            stdsocket.socket.recv(channel.sock._socket, 1, flags)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def release(self, address: str, port: int, channel: Channel) -> None:
        """Give a connection back after an exchange that ended well."""
        idle = self.idle.setdefault((address, port), [])
        if channel.reusable() and len(idle) < defaults.MAX_IDLE_CONNECTIONS:
            idle.append(channel)
        else:
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
                raise ConnectionLost(str(error)) from error
            if isinstance(event, h11.Response):
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
