"""A stream to the caller, which may continue over several endpoints."""

import time

from ..exceptions import CallerGone, ConnectionLost
from ..http import Answer, Exchange, end_to_end


class Stream:
    """Relays the head of the first response and the events of all of them.

    :param last: id of the last relayed event, or of the event that the caller resumes after.
    :ivar begun: whether the head was sent.
    :ivar events: number of relayed events.
    :ivar reading: prefill of the current attempt, which ends at its first event.
    :ivar first: monotonic seconds of the first event.
    :ivar latest: monotonic seconds of the latest event.
    :ivar max_gap: longest time between two events, in seconds.
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

    async def start(self, answer: Answer) -> None:
        """Send the head unless an earlier attempt did."""
        if self.begun:
            return
        self.begun = True
        await self.guard(self.exchange.start(answer.status, end_to_end(answer.headers)))

    async def write(self, event: bytes) -> None:
        """Send one event."""
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
        """Await a write to the caller.

        :raises CallerGone: if the caller's connection failed.
        """
        try:
            await sending
        except ConnectionLost as error:
            raise CallerGone(str(error)) from error
