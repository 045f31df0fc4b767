"""Passes one answer on to the caller: a stream piece by piece, anything else only when whole."""

import xxhash

from . import defaults, problems
from .exceptions import CallerGone, ConnectionLost, InconsistentResponse, RequestError
from .frames import Data, End, Head
from .http import end_to_end, header


class Relay:
    """The caller's side of one call.

    :param call: the call that is answered.
    """

    def __init__(self, call):
        self.call = call
        self.begun = False
        self.reset()

    def reset(self) -> None:
        """Forget the answer of an attempt that failed before anything was passed on."""
        self.head: Head | None = None
        self.offset = 0
        self.hash = xxhash.xxh3_128()
        self.pieces: list[bytes] = []

    def streamed(self) -> bool:
        """Tell whether the answer is passed on piece by piece."""
        kind = header(self.head.headers, b"content-type")
        return kind.startswith(b"text/event-stream")

    async def take_head(self, frame: Head) -> None:
        """Take status and headers; a repeated head after a resume is ignored."""
        if self.head is not None:
            return
        self.head = frame
        self.call.status = frame.status
        if self.streamed():
            self.begun = True
            await self.write(self.call.exchange.start(frame.status, self.headers()))

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that go to the caller."""
        fields = end_to_end(self.head.headers)
        return [*fields, (b"hickory-request", self.call.id.encode())]

    async def take_data(self, frame: Data) -> None:
        """Take body bytes; bytes before the offset are dropped, a gap is an error."""
        if self.head is None or frame.offset > self.offset:
            raise InconsistentResponse(f"data at {frame.offset}, expected {self.offset}")
        body = frame.body[self.offset - frame.offset :]
        if not body:
            return
        self.offset += len(body)
        self.hash.update(body)
        if self.begun:
            await self.write(self.call.exchange.write(body))
            return
        if self.offset > defaults.MAX_RESPONSE_BYTES:
            raise InconsistentResponse("the answer is too large")
        self.pieces.append(body)

    async def take_end(self, frame: End) -> None:
        """Check that the answer is whole, and release it."""
        whole = frame.length == self.offset and frame.digest == self.hash.hexdigest()
        if self.head is None or not whole:
            raise InconsistentResponse("length or digest of the answer do not match")
        if self.begun:
            await self.write(self.call.exchange.end())
            return
        body = b"".join(self.pieces)
        await self.write(self.call.exchange.respond(self.head.status, self.headers(), body))

    async def write(self, sending) -> None:
        """Await a write to the caller.

        :raises CallerGone: when the caller has closed.
        """
        try:
            await sending
        except ConnectionLost as error:
            raise CallerGone(str(error)) from error

    async def fail(self, error: RequestError) -> None:
        """End a begun stream so that the caller can tell that it is not whole."""
        if not self.begun:
            return
        event = b"event: error\ndata: " + problems.document(error) + b"\n\n"
        try:
            await self.call.exchange.write(event)
        except ConnectionLost:
            return
