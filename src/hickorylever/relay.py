"""Relay of a response to the caller: event streams as they arrive, others once complete."""

import xxhash

from . import defaults, problems
from .exceptions import CallerGone, ConnectionLost, InconsistentResponse, RequestError
from .frames import Data, End, Head
from .http import end_to_end, header


class Relay:
    """Sends the response of one call to its caller.

    :param call: the call that is responded to.
    """

    def __init__(self, call):
        self.call = call
        self.headers_sent = False
        self.reset()

    def reset(self) -> None:
        """Discard the response of an attempt that failed before any of it was sent."""
        self.head: Head | None = None
        self.offset = 0
        self.hash = xxhash.xxh3_128()
        self.chunks: list[bytes] = []

    def is_stream(self) -> bool:
        """Return whether the response is an event stream, which is sent as it arrives."""
        kind = header(self.head.headers, b"content-type")
        return kind.startswith(b"text/event-stream")

    async def handle_head(self, frame: Head) -> None:
        """Process status and headers. The repeated head after a resume is ignored.

        :raises CallerGone: when the caller has disconnected.
        """
        if self.head is not None:
            return
        self.head = frame
        self.call.status = frame.status
        if self.is_stream():
            self.headers_sent = True
            await self.write(self.call.exchange.start(frame.status, self.headers()))

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the response headers for the caller."""
        fields = end_to_end(self.head.headers)
        return [*fields, (b"hickory-request", self.call.id.encode())]

    async def handle_data(self, frame: Data) -> None:
        """Process body bytes. Bytes before the current offset are duplicates and dropped.

        :raises InconsistentResponse: when bytes are missing or the response is too large.
        :raises CallerGone: when the caller has disconnected.
        """
        if self.head is None or frame.offset > self.offset:
            raise InconsistentResponse(
                f"received data at offset {frame.offset}, expected {self.offset}"
            )
        body = frame.body[self.offset - frame.offset :]
        if not body:
            return
        self.offset += len(body)
        self.hash.update(body)
        if self.headers_sent:
            await self.write(self.call.exchange.write(body))
            return
        if self.offset > defaults.MAX_RESPONSE_BYTES:
            raise InconsistentResponse("response exceeds the size limit")
        self.chunks.append(body)

    async def handle_end(self, frame: End) -> None:
        """Verify length and digest, and complete the response.

        :raises InconsistentResponse: when the response is incomplete or corrupt.
        :raises CallerGone: when the caller has disconnected.
        """
        complete = frame.length == self.offset and frame.digest == self.hash.hexdigest()
        if self.head is None or not complete:
            raise InconsistentResponse("length or digest of the response does not match")
        if self.headers_sent:
            await self.write(self.call.exchange.end())
            return
        body = b"".join(self.chunks)
        await self.write(self.call.exchange.respond(self.head.status, self.headers(), body))

    async def write(self, operation) -> None:
        """Await a write to the caller.

        :raises CallerGone: when the caller has disconnected.
        """
        try:
            await operation
        except ConnectionLost as error:
            raise CallerGone(str(error)) from error

    async def fail(self, error: RequestError) -> None:
        """Send an error event on a stream that has begun, so that it is visibly incomplete."""
        if not self.headers_sent:
            return
        event = b"event: error\ndata: " + problems.document(error) + b"\n\n"
        try:
            await self.call.exchange.write(event)
        except ConnectionLost:
            return
