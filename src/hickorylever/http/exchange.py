"""A request that a server has received, and the response to it."""

import curio
import h11

from .. import defaults
from ..exceptions import ConnectionLost, Kind, RequestError
from .channel import Channel
from .headers import Headers, header


class Exchange:
    """A request that a server has received, and the response to it.

    :param server: has the limits, says whether it drains, and counts the buffered bytes of request
        bodies.
    :param head: head of the request.
    :param peer: IP address of the peer; empty if no request head is available.
    :ivar started: whether a response has been started.
    :ivar closing: whether the connection closes after the response.
    :ivar has_unread_body: whether the request has a body that has not been read to its end.
    """

    def __init__(self, server, channel: Channel, head: h11.Request, peer: str):
        self.server = server
        self.channel = channel
        self.head = head
        self.peer = peer
        self.method = head.method.decode("ascii")
        target = head.target.decode("ascii", "replace")
        self.path, _, self.query = target.partition("?")
        self.headers = list(head.headers)
        self.buffered_bytes = 0
        self.started = False
        self.closing = False
        length = header(self.headers, b"content-length", b"0")
        self.has_unread_body = int(length) > 0 or bool(header(self.headers, b"transfer-encoding"))

    async def body(self, limit: int = defaults.MAX_BODY_BYTES) -> bytes:
        """Return the complete request body.

        :param limit: bytes.
        :raises RequestError: if the body is too large, arrives too slowly or is malformed, or if
            the server buffers too many bodies.
        :raises ConnectionLost: if the connection fails before the end of the body.
        """
        if int(header(self.headers, b"content-length", b"0")) > limit:
            raise RequestError(Kind.BODY_TOO_LARGE, f"the body exceeds {limit} bytes")
        if self.channel.protocol.they_are_waiting_for_100_continue:
            await self.channel.send(h11.InformationalResponse(status_code=100, headers=[]))
        try:
            return await curio.timeout_after(
                self.server.limits.body_timeout, self.read_body, limit
            )
        except curio.TaskTimeout:
            raise RequestError(Kind.REQUEST_TIMEOUT, "the body did not arrive in time") from None
        except h11.RemoteProtocolError as error:
            raise RequestError(Kind.BAD_REQUEST, str(error)) from None

    async def read_body(self, limit: int) -> bytes:
        """Read the request body, up to `limit` bytes."""
        content = bytearray()
        chunks = 0
        while True:
            event = await self.channel.receive()
            if isinstance(event, h11.EndOfMessage):
                self.has_unread_body = False
                return bytes(content)
            if not isinstance(event, h11.Data):
                raise ConnectionLost("connection closed within the request body")
            if len(content) + len(event.data) > limit:
                raise RequestError(Kind.BODY_TOO_LARGE, f"the body exceeds {limit} bytes")
            self.reserve_buffer(len(event.data))
            content += event.data
            chunks += 1
            if chunks > defaults.MAX_BODY_CHUNKS:
                raise RequestError(Kind.BAD_REQUEST, "the request body has too many chunks")

    def reserve_buffer(self, size: int) -> None:
        """Reserve buffer space until the exchange ends.

        :param size: bytes.
        :raises RequestError: if the server's limit is exceeded.
        """
        if self.server.buffered_bytes + size > self.server.limits.max_buffered_bytes:
            raise RequestError(Kind.OVERLOADED, "the memory for request bodies is used up")
        self.buffered_bytes += size
        self.server.buffered_bytes += size

    def release_buffer(self) -> None:
        """Release the buffer space that this exchange has reserved."""
        self.server.buffered_bytes -= self.buffered_bytes
        self.buffered_bytes = 0

    def complete_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return response headers with the caller's request id and, if due, ``Connection: close``.

        The connection is closed after a response that is sent before the request body was read, or
        while the server drains.
        """
        self.closing = self.closing or self.has_unread_body or self.server.draining
        result = list(headers)
        request_id = header(self.headers, b"x-request-id")
        if request_id:
            result = [(key, value) for key, value in result if key != b"x-request-id"]
            result.append((b"x-request-id", request_id))
        if self.closing:
            result.append((b"connection", b"close"))
        return result

    async def respond(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send a complete response.

        In a response without a body (to HEAD, or with status 304), a Content-Length among the
        headers is kept.

        :raises ConnectionLost: if the connection fails.
        """
        bodiless = self.method == "HEAD" or status in (204, 304)
        fields = [(key, value) for key, value in headers if key != b"content-length"]
        length = header(headers, b"content-length") if bodiless else b""
        if status != 204 and (length or status != 304):
            fields.append((b"content-length", length or b"%d" % len(body)))
        self.started = True
        events = [h11.Response(status_code=status, headers=self.complete_headers(fields))]
        if body and not bodiless:
            events.append(h11.Data(data=body))
        await self.channel.send(*events, h11.EndOfMessage())

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Send the head of a streamed response.

        :raises ConnectionLost: if the connection fails.
        """
        fields = [(key, value) for key, value in headers if key != b"content-length"]
        fields.append((b"transfer-encoding", b"chunked"))
        self.started = True
        await self.channel.send(
            h11.Response(status_code=status, headers=self.complete_headers(fields))
        )

    async def write(self, data: bytes) -> None:
        """Send part of the body of a streamed response.

        :raises ConnectionLost: if the connection fails.
        """
        await self.channel.send(h11.Data(data=data))

    async def end(self) -> None:
        """Complete a streamed response.

        :raises ConnectionLost: if the connection fails.
        """
        await self.channel.send(h11.EndOfMessage())

    async def abort_response(self) -> None:
        """Close the connection so that the response is recognised as incomplete.

        In HTTP/1.1, the last chunk is missing. An HTTP/1.0 response ends where the connection
        does, so the connection has to be reset.
        """
        if self.head.http_version < b"1.1":
            await self.channel.abort()
        else:
            await self.channel.close_gracefully()
