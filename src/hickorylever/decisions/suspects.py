"""Detection of requests that may have crashed the endpoints that ran them."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from .. import defaults


class SuspectStatus(enum.StrEnum):
    """Whether a request may run: freely, once more as a trial, or not at all."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


# Indexed by the number of crashes that a request may have caused.
STATUSES = (SuspectStatus.CLEAR, SuspectStatus.SUSPECT, SuspectStatus.REFUSED)


def fingerprint(pieces: Iterable[bytes]) -> str:
    """Return a digest of a request that does not depend on its caller or router."""
    state = xxhash.xxh3_128()
    for piece in pieces:
        state.update(b"%d\x00" % len(piece))
        state.update(piece)
    return state.hexdigest()


def suspect_status(crashes: int, trial: bool) -> SuspectStatus:
    """Return a request's status.

    :param crashes: number of crashes that the request may have caused.
    :param trial: whether its trial run has been started by any router.
    """
    known = STATUSES[min(crashes, len(STATUSES) - 1)]
    return SuspectStatus.REFUSED if trial and known is SuspectStatus.SUSPECT else known


@dataclass(slots=True)
class SuspectRecord:
    """Crashes and trial of one fingerprint.

    :param crashes: time in seconds of each crash by its name.
    :param cleared: names of the crashes that the request did not cause.
    :param trial: whether its trial run has been started, at `trial_time` in seconds.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    cleared: frozenset[str] = frozenset()
    trial: bool = False
    trial_time: float = 0.0


class Suspects:
    """The suspect requests that this node has learned of, by fingerprint.

    Reports come from this node, the object API and gossip, and may arrive in any order.

    :param lifetime: seconds after which a crash expires.
    """

    def __init__(self, lifetime: float = defaults.SUSPECT_LIFETIME_SECONDS):
        self.lifetime = lifetime
        self.records: dict[str, SuspectRecord] = {}

    def record_crash(self, name: str, fingerprints: Iterable[str], time: float) -> None:
        """Record a crash of an endpoint with the fingerprints of its running requests."""
        for digest in fingerprints:
            self.records.setdefault(digest, SuspectRecord()).crashes[name] = time

    def begin_trial(self, digest: str, time: float) -> None:
        """Record that the trial run of a suspect has started."""
        record = self.records.setdefault(digest, SuspectRecord())
        record.trial = True
        record.trial_time = time

    def clear(self, digest: str, crashes: Iterable[str]) -> None:
        """Record that a request completed on another endpoint, so did not cause these crashes."""
        record = self.records.get(digest)
        if record is not None:
            record.cleared |= frozenset(crashes)
            record.trial = False

    def crashes(self, digest: str, now: float) -> list[str]:
        """Return the names of the recent crashes that a request may have caused."""
        record = self.records.get(digest)
        if record is None:
            return []
        recent = (name for name, time in record.crashes.items() if now - time <= self.lifetime)
        return [name for name in recent if name not in record.cleared]

    def status(self, digest: str, now: float) -> SuspectStatus:
        """Return a request's status according to the reports that this node has."""
        record = self.records.get(digest)
        if record is None:
            return SuspectStatus.CLEAR
        return suspect_status(len(self.crashes(digest, now)), record.trial)

    def expire(self, now: float) -> None:
        """Remove fingerprints whose last crash or trial has expired."""
        for digest, record in tuple(self.records.items()):
            latest = max((*record.crashes.values(), record.trial_time))
            if now - latest > self.lifetime:
                del self.records[digest]
