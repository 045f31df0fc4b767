"""Reports what one attempt shows of the pace of its endpoint."""

from .attempt import Result
from .call import Call
from .capacity import slot_count
from .endpoints import Endpoint
from .pace_reports import PaceReports
from .records import MISDIRECTED_STATUS

FAILURES = (Result.FAILED, Result.LOST, Result.BROKEN, Result.NOT_RUN)
MIN_EVENTS = 4  # Of a stream from which the time of a step is taken.


class AttemptWatch:
    """Reports the first event and the outcome of an attempt.

    :param uncached: prompt tokens that the endpoint has to read.
    :param began: monotonic seconds at which the request was counted at the endpoint.
    """

    def __init__(
        self, paces: PaceReports, call: Call, endpoint: Endpoint, uncached: float, began: float
    ):
        self.paces = paces
        self.call = call
        self.endpoint = endpoint
        self.began = began
        self.engine = call.service.engine
        slots = slot_count(endpoint.entry, self.engine)
        self.sample = paces.sample(endpoint, slots, uncached, began)
        self.requests = endpoint.load()[0]
        self.events_before = call.stream.event_count if call.stream else 0

    @property
    def has_event(self) -> bool:
        """Return whether the attempt has delivered an event."""
        stream = self.call.stream
        return stream is not None and stream.event_count > self.events_before

    def record_first_event(self, now: float) -> None:
        """Record the first event of the stream."""
        if self.engine is not None:
            self.paces.record_first_event(self.endpoint, self.sample, now)

    def record_cancelled(self, now: float) -> None:
        """Record that the caller left, which bounds the endpoint's response time from below."""
        pace = self.endpoint.pace
        if self.sample is not None and pace is not None and not self.has_event and self.engine:
            pace.record_no_event(self.sample, now)

    def record_outcome(self, result: Result, status: int, now: float) -> None:
        """Record the outcome of the attempt."""
        pace = self.endpoint.pace
        if self.sample is None or pace is None:
            return
        failed = result in FAILURES and status != MISDIRECTED_STATUS
        timed_out = result is Result.EXPIRED and not self.has_event
        if result is Result.ANSWERED and status < 300:
            self.record_answer(now)
        elif failed or timed_out:
            self.paces.record_failure(self.endpoint, self.sample, self.engine is not None, now)

    def record_answer(self, now: float) -> None:
        """Record a complete response."""
        if self.engine is None:
            self.paces.record_plain(self.endpoint, self.sample, now)
            return
        rates = self.endpoint.pace.rates
        if not self.sample.queued:
            rates.slot.add(now - self.began)
        stream = self.call.stream
        if stream is None or self.events_before or stream.event_count < MIN_EVENTS:
            return
        gap = (stream.latest_event_at - stream.first_event_at) / (stream.event_count - 1)
        running = (self.requests + self.endpoint.load()[0] + 1) / 2
        step = gap / max(1, self.engine.tokens_per_event)
        rates.step.add(running, step / self.endpoint.pace.stated_pace(now))
