"""The caller's side of a stream, over one or several endpoints."""

import time

from ..exceptions import CallerGone, ConnectionLost
from ..http import ClientResponse, Exchange, end_to_end


class Stream:
    """Passes a stream's head once, then its events.

    :param last: id of the last event that was passed on, or the one the caller resumes after.
    """

    def __init__(self, exchange: Exchange, last: str | None = None):
        self.exchange = exchange
        self.last = last
        self.begun = False
        self.events = 0
        self.reading = None
        self.first = 0.0
        self.latest = 0.0
        self.max_gap = 0.0

    async def start(self, answer: ClientResponse) -> None:
        """Pass on the head, unless an earlier endpoint's was."""
        if self.begun:
            return
        self.begun = True
        await self.guard(self.exchange.start(answer.status, end_to_end(answer.headers)))

    async def write(self, event: bytes) -> None:
        """Pass on one event."""
        self.events += 1
        now = time.monotonic()
        if self.events == 1:
            self.first = now
        else:
            self.max_gap = max(self.max_gap, now - self.latest)
        self.latest = now
        if self.reading is not None:
            self.reading.done()
        await self.guard(self.exchange.write(event))

    async def guard(self, sending) -> None:
        """Await a write.

        :raises CallerGone: when the caller's connection failed.
        """
        try:
            await sending
        except ConnectionLost as error:
            raise CallerGone(str(error)) from error
