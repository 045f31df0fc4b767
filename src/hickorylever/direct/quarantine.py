"""Quarantine of requests that crash endpoints, kept in agreement between the routers."""

import logging
import math
from collections.abc import Iterable

from ..events import Event, log
from ..exceptions import Kind, Ran, RequestError
from .call import Call
from .crashes import CrashTracker
from .endpoints import Endpoint
from .hashes import name_hash
from .outbox import take_sends
from .peer_protocol import AnswerUpdate, CrashUpdate, Datagram, SuspectUpdate

RETRY_AFTER_SECONDS = 5.0  # For callers whose request is refused.
CRASH_SENDS = 2  # Datagrams that report a crash, as some may be lost.
ANSWER_SENDS = 2
MAX_PENDING_CRASHES = 1024  # Reports that wait to be sent.
MAX_CRASH_UPDATES = 12  # In one datagram, so that it fits a packet.
MAX_ANSWER_UPDATES = 12
MAX_SUSPECT_UPDATES = 4
MAX_CRASHES_PER_SUSPECT = 16
REPEAT_SECONDS = 2.0  # Between two reports of a quarantined cause to all routers.


def crash_number(endpoint: Endpoint) -> int:
    """Return the number that all routers give to a crash of an endpoint's incarnation."""
    return name_hash(f"{endpoint.name}/{endpoint.entry.started_ms}")


class Quarantine:
    """Reports crashes and answers to the other routers and learns from their reports.

    :ivar crash_sends: number of datagrams that still report each crash.
    :ivar answer_sends: the same for causes that others suspect and this router saw answered.
    :ivar suspect_sends: the same for causes in quarantine.
    :ivar repeat_at: monotonic seconds at which the causes in quarantine are reported again.
    """

    def __init__(self):
        self.tracker = CrashTracker(self.log_changes)
        self.crash_sends: dict[CrashUpdate, int] = {}
        self.answer_sends: dict[str, int] = {}
        self.suspect_sends: dict[str, int] = {}
        self.repeat_at = 0.0

    def refuses(self, call: Call) -> bool:
        """Return whether the call must not run."""
        return self.tracker.is_quarantined(call.causes)

    def check(self, call: Call) -> None:
        """Check that a call that has not run may run.

        :raises RequestError: if it must not.
        """
        if call.ran is Ran.NO and self.refuses(call):
            raise RequestError(Kind.QUARANTINED, "", Ran.NO, RETRY_AFTER_SECONDS)

    def record_loss(self, call: Call, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint closed the connection before the answer had got far."""
        update = CrashUpdate(crash_number(endpoint), call.causes)
        if len(self.crash_sends) < MAX_PENDING_CRASHES:
            self.crash_sends.setdefault(update, CRASH_SENDS)
        self.tracker.record_crash(update.crash, update.causes, now)

    def record_answer(self, call: Call, now: float) -> None:
        """Record that an endpoint answers the call, or has got far with it."""
        self.tracker.record_answers(dict.fromkeys(call.causes, now))

    def record_alive(self, endpoint: Endpoint, sent_at: float) -> None:
        """Record that an endpoint answers a request, sent at a time in monotonic seconds."""
        if self.tracker.crash_times:
            self.tracker.record_alive(crash_number(endpoint), sent_at)

    def log_changes(self, before: frozenset[str], after: frozenset[str]) -> None:
        """Log the causes that have come into quarantine or left it."""
        for cause in after - before:
            crashes = len(self.tracker.suspects[cause].crashes)
            log(Event.CAUSE_QUARANTINED, cause, logging.WARNING, crashes=crashes)
        for cause in before - after:
            log(Event.CAUSE_RELEASED, cause)

    def apply(self, datagram: Datagram, now: float) -> None:
        """Apply another router's reports, and report back what this one saw answered."""
        for update in datagram.crashes:
            self.report_answered(update.causes, now)
            self.tracker.record_crash(update.crash, update.causes, now)
        self.apply_suspects(datagram.suspects, now)
        self.tracker.record_answers(
            {update.cause: now - update.age for update in datagram.answered}
        )

    def apply_suspects(self, updates: list[SuspectUpdate], now: float) -> None:
        """Apply the causes that another router has in quarantine."""
        self.report_answered((update.cause for update in updates), now)
        for update in updates:
            latest = now - update.age
            self.tracker.record_suspect(
                update.cause, update.depth, update.crashes, update.requests, latest
            )
        if updates:
            self.tracker.update_quarantine()

    def report_answered(self, causes: Iterable[str], now: float) -> None:
        """Queue a report of the causes that this router saw answered."""
        for cause in causes:
            if self.tracker.is_answered(cause, now):
                self.answer_sends.setdefault(cause, ANSWER_SENDS)

    def suspect_updates(self, now: float) -> list[SuspectUpdate]:
        """Return the causes in quarantine with the crashes that they explain."""
        return [self.suspect_update(cause, now) for cause in sorted(self.tracker.quarantine)]

    def suspect_update(self, cause: str, now: float) -> SuspectUpdate:
        """Return what is known of one suspect."""
        suspect = self.tracker.suspects[cause]
        return SuspectUpdate(
            cause,
            suspect.depth,
            sorted(suspect.crashes)[:MAX_CRASHES_PER_SUSPECT],
            sorted(suspect.requests),
            math.ceil(now - suspect.latest),
        )

    def take_updates(self, now: float) -> dict[str, list]:
        """Remove and return the updates for one datagram, by its field; empty if none is due."""
        if now >= self.repeat_at:
            self.repeat_at = now + REPEAT_SECONDS
            self.suspect_sends = dict.fromkeys(sorted(self.tracker.quarantine), 1)
        answered = take_sends(self.answer_sends, MAX_ANSWER_UPDATES)
        suspects = take_sends(self.suspect_sends, MAX_SUSPECT_UPDATES)
        updates = {
            "crashes": take_sends(self.crash_sends, MAX_CRASH_UPDATES),
            "answered": [
                AnswerUpdate(cause, math.ceil(now - self.tracker.answered[cause]))
                for cause in answered
                if cause in self.tracker.answered
            ],
            "suspects": [
                self.suspect_update(cause, now)
                for cause in suspects
                if cause in self.tracker.quarantine
            ],
        }
        return updates if any(updates.values()) else {}
