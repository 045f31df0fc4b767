"""A stream to the caller, which may continue over several endpoints."""

import time
from collections.abc import Callable

from ..exceptions import CallerGone, ConnectionLost
from ..http import ClientResponse, Exchange, end_to_end
from .read_ahead import ReadAhead


class CallerStream:
    """Relays the head of the first response and the events of all of them.

    :param last_event_id: id of the last relayed event, or the one that the caller resumes after.
    :param read_ahead: holds events for a caller that reads slowly; None to wait for it.
    :ivar started: whether the head was sent.
    :ivar event_count: number of relayed events.
    :ivar pending_prefill: prefill of the current attempt, which ends at its first event.
    :ivar on_first_event: called before the first event of all attempts is relayed.
    :ivar first_event_at: monotonic seconds of the first event.
    :ivar latest_event_at: monotonic seconds of the latest event.
    :ivar max_gap: longest time between two events, in seconds.
    """

    def __init__(
        self,
        exchange: Exchange,
        last_event_id: str | None = None,
        read_ahead: ReadAhead | None = None,
    ):
        self.exchange = exchange
        self.read_ahead = read_ahead
        self.last_event_id = last_event_id
        self.started = False
        self.event_count = 0
        self.pending_prefill = None
        self.on_first_event: Callable[[], None] = lambda: None
        self.first_event_at = 0.0
        self.latest_event_at = 0.0
        self.max_gap = 0.0

    def change_partial(self, before: int, after: int) -> None:
        """Count the bytes of an event that has not arrived completely.

        :raises InconsistentResponse: if there is no memory for it.
        """
        if self.read_ahead is not None:
            self.read_ahead.held.change_partial(before, after)

    async def start(self, response: ClientResponse) -> None:
        """Send the head unless an earlier attempt did."""
        if self.started:
            return
        self.started = True
        await self.await_write(self.exchange.start(response.status, end_to_end(response.headers)))

    async def write(self, events: list[bytes]) -> None:
        """Send events that arrived together.

        They are sent in one packet where they fit, as each packet that is lost holds up the rest
        of the stream. After such a loss, many events arrive at once.
        """
        now = time.monotonic()
        if not self.event_count:
            self.first_event_at = now
            self.on_first_event()
        else:
            self.max_gap = max(self.max_gap, now - self.latest_event_at)
        self.event_count += len(events)
        self.latest_event_at = now
        if self.pending_prefill is not None:
            self.pending_prefill.complete()
        data = b"".join(events)
        ahead = self.read_ahead
        await self.await_write(ahead.write(data) if ahead else self.exchange.write(data))

    async def flush(self) -> None:
        """Wait until the caller has taken all events.

        :raises CallerGone: if the caller's connection failed.
        """
        if self.read_ahead is not None:
            await self.await_write(self.read_ahead.flush())

    async def close(self) -> None:
        """Stop sending, and forget what the caller has not taken."""
        if self.read_ahead is not None:
            await self.read_ahead.close()

    async def await_write(self, awaitable) -> None:
        """Await a write to the caller.

        :raises CallerGone: if the caller's connection failed.
        """
        try:
            await awaitable
        except ConnectionLost as error:
            raise CallerGone(str(error)) from error
