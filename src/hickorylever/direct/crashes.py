"""Decides which prompt parts and requests crash the endpoints that run them.

A crash ends all requests at an endpoint, so each of them is suspected with all that it holds: the
parts of its prompt and the request as a whole. These are its *causes*, from the one that most
requests share to the one that only copies of the request have. What an endpoint has answered is
not to blame. Of the other causes, those that explain most crashes are quarantined; among equals
one that crashed different requests, and of these the one that fewest requests share.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from .. import defaults

QUARANTINE_ENDPOINTS = 3  # One or two connections may be lost without a crash.
RETENTION_SECONDS = defaults.SUSPECT_LIFETIME_SECONDS
ALIVE_CHECK_SECONDS = 1.5  # Shorter than a crashed endpoint takes to start again.
MAX_SUSPECTS = 4096
MAX_ANSWERED = 16384
MAX_REQUESTS = 2  # Of a cause that are told apart.


@dataclass(slots=True)
class Suspect:
    """A cause that was part of requests during which endpoints crashed.

    :param depth: position among the causes of a request; fewer requests share a deeper one.
    :param crashes: crashes that it may explain.
    :param latest: monotonic seconds of the latest of them.
    :param requests: last causes of some of the requests, which tell these apart.
    """

    depth: int
    crashes: set[int] = field(default_factory=set)
    latest: float = 0.0
    requests: set[str] = field(default_factory=set)

    @property
    def candidate(self) -> bool:
        """Return whether it may explain enough crashes to be quarantined."""
        return len(self.crashes) >= QUARANTINE_ENDPOINTS

    def add_request(self, request: str) -> None:
        """Add one of the requests, up to `MAX_REQUESTS`."""
        if len(self.requests) < MAX_REQUESTS:
            self.requests.add(request)


class CrashTracker:
    """Crashes by cause, and the causes in quarantine. Times are monotonic seconds.

    A crash is identified by a number for the endpoint's incarnation, as all routers that had
    requests there report it.

    :param on_change: called with the causes in quarantine before and after a change.
    :ivar suspects: causes that nothing has cleared, least recently suspected first.
    :ivar answered: when a request with each cause was last answered; the latest report is last.
    :ivar crash_times: when each crash was first reported.
    :ivar quarantine: causes of requests that are not run.
    """

    def __init__(
        self,
        on_change: Callable[[frozenset[str], frozenset[str]], None] = lambda before, after: None,
    ):
        self.on_change = on_change
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()
        self.answered: OrderedDict[str, float] = OrderedDict()
        self.crash_times: dict[int, float] = {}
        self.quarantine: frozenset[str] = frozenset()

    def record_crash(self, crash: int, causes: Sequence[str], now: float) -> None:
        """Record that a request with these causes ran at an endpoint when it crashed."""
        for depth, cause in enumerate(causes):
            self.record_suspect(cause, depth, (crash,), causes[-1:], now)
        if any(cause in self.suspects and self.suspects[cause].candidate for cause in causes):
            self.update_quarantine()

    def record_suspect(
        self,
        cause: str,
        depth: int,
        crashes: Iterable[int],
        requests: Iterable[str],
        latest: float,
    ) -> None:
        """Add crashes that a cause may explain, unless it has been answered.

        :param requests: last causes of the requests that ran.
        :param latest: when the latest crash happened.
        """
        if self.is_answered(cause, latest):
            return
        suspect = self.suspects.setdefault(cause, Suspect(depth))
        self.suspects.move_to_end(cause)
        suspect.depth = max(suspect.depth, depth)
        suspect.latest = max(suspect.latest, latest)
        for request in requests:
            suspect.add_request(request)
        for crash in crashes:
            suspect.crashes.add(crash)
            self.crash_times.setdefault(crash, latest)
        if len(self.suspects) > MAX_SUSPECTS:
            oldest = next(cause for cause in self.suspects if cause not in self.quarantine)
            del self.suspects[oldest]

    def is_answered(self, cause: str, now: float) -> bool:
        """Return whether a request with this cause was answered within `RETENTION_SECONDS`."""
        return now - self.answered.get(cause, -math.inf) <= RETENTION_SECONDS

    def record_answers(self, answers: Mapping[str, float]) -> None:
        """Record when an endpoint has answered requests with each of these causes."""
        cleared = []
        for cause, answered_at in answers.items():
            self.answered[cause] = max(answered_at, self.answered.get(cause, answered_at))
            self.answered.move_to_end(cause)
            if suspect := self.suspects.pop(cause, None):
                cleared.append(suspect)
        while len(self.answered) > MAX_ANSWERED:
            self.answered.popitem(last=False)
        if any(suspect.candidate for suspect in cleared):
            self.update_quarantine()

    def record_alive(self, crash: int, sent_at: float) -> None:
        """Withdraw a crash, as the endpoint answers a request that was sent after it.

        :param sent_at: when the request was sent.
        """
        crashed_at = self.crash_times.get(crash)
        if crashed_at is None or not 0.0 < sent_at - crashed_at <= ALIVE_CHECK_SECONDS:
            return
        del self.crash_times[crash]
        for suspect in self.suspects.values():
            suspect.crashes.discard(crash)
        self.update_quarantine()

    def update_quarantine(self) -> None:
        """Quarantine the causes that explain most crashes, each with enough of its own."""
        candidates = {
            cause: suspect for cause, suspect in self.suspects.items() if suspect.candidate
        }
        chosen = choose_causes(candidates)
        kept = {
            cause
            for cause in self.quarantine & candidates.keys()
            if not any(explains_better(suspect, candidates[cause]) for suspect in chosen.values())
        }
        before, self.quarantine = self.quarantine, frozenset(chosen.keys() | kept)
        if self.quarantine != before:
            self.on_change(before, self.quarantine)

    def is_quarantined(self, causes: Iterable[str]) -> bool:
        """Return whether a request has a cause in quarantine."""
        return bool(self.quarantine) and not self.quarantine.isdisjoint(causes)

    def expire(self, now: float) -> None:
        """Forget what was last seen more than `RETENTION_SECONDS` ago."""
        oldest = now - RETENTION_SECONDS
        while self.answered and next(iter(self.answered.values())) < oldest:
            self.answered.popitem(last=False)
        expired = [cause for cause, suspect in self.suspects.items() if suspect.latest < oldest]
        for cause in expired:
            del self.suspects[cause]
        if expired:
            self.update_quarantine()
        for crash, time in tuple(self.crash_times.items()):
            if time < oldest:
                del self.crash_times[crash]


def choose_causes(candidates: dict[str, Suspect]) -> dict[str, Suspect]:
    """Return the causes that explain most crashes, each with enough of its own."""
    chosen: dict[str, Suspect] = {}
    explained: set[int] = set()

    def weight(cause: str) -> tuple[int, int, int, str]:
        suspect = candidates[cause]
        crashes = len(suspect.crashes - explained)
        return crashes, len(suspect.requests), suspect.depth, cause

    while candidates:
        cause = max(candidates, key=weight)
        if len(candidates[cause].crashes - explained) < QUARANTINE_ENDPOINTS:
            break
        chosen[cause] = candidates[cause]
        explained |= candidates[cause].crashes
    return chosen


def explains_better(suspect: Suspect, quarantined: Suspect) -> bool:
    """Return whether a cause that was chosen later takes the place of one in quarantine.

    It must explain the same crashes, and be part of more different requests, or more specific, or
    as specific with more crashes. So a popular request that was lost in many crashes does not
    release the part that caused them.
    """
    if len(quarantined.crashes - suspect.crashes) >= QUARANTINE_ENDPOINTS:
        return False
    if len(suspect.requests) != len(quarantined.requests):
        return len(suspect.requests) > len(quarantined.requests)
    if suspect.depth != quarantined.depth:
        return suspect.depth > quarantined.depth
    return len(suspect.crashes) > len(quarantined.crashes)
