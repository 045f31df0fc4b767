"""Leases with fencing numbers, and the check that refuses orders with outdated numbers.

No clock is shared between processes. A candidate takes a lease over once its object has not
changed for ``defaults.LEASE_TAKEOVER_SECONDS`` seconds on the candidate's own clock. A holder that
was paused may still consider the lease its own at that time, so recipients of orders check the
fencing number, which grows with every take-over.
"""

import enum
import math
from dataclasses import dataclass

import msgspec

from .. import defaults


class LeaseRecord(msgspec.Struct, frozen=True):
    """The stored state of a lease.

    :param holder: incarnation of the holding process, empty when the lease was released.
    :param number: fencing number, incremented by every take-over.
    :param renewals: number of writes, so that each write changes the object.
    """

    holder: str = ""
    number: int = 0
    renewals: int = 0


class Step(enum.Enum):
    """The next action of a candidate."""

    WAIT = "wait"
    READ = "read"
    TAKE = "take"
    RENEW = "renew"


@dataclass
class Lease:
    """One candidate's view of a lease. Times are seconds of the candidate's own monotonic clock.

    :param incarnation: of the candidate's process.
    :param duration: time that a write holds the lease, in seconds.
    :param version: version of the object as last read or written, -1 when it has to be read.
    :param changed_at: when the version was last seen to change.
    :param held_until: when the candidate ceases to hold the lease.
    :param unconfirmed: whether the outcome of the last write is unknown.
    """

    incarnation: str
    duration: float = defaults.LEASE_DURATION_SECONDS
    record: LeaseRecord = LeaseRecord()
    version: int = -1
    changed_at: float = -math.inf
    held_until: float = -math.inf
    read_at: float = -math.inf
    unconfirmed: bool = False

    def holds(self, now: float) -> bool:
        """Return whether the candidate holds the lease and may act on it."""
        return now < self.held_until and not self.unconfirmed

    def next_step(self, now: float) -> Step:
        """Return the action to take now."""
        if self.version < 0 or self.unconfirmed:
            return Step.READ
        if self.holds(now):
            renewal_due = self.held_until - now < self.duration * (
                1 - defaults.LEASE_RENEWAL_RATIO
            )
            return Step.RENEW if renewal_due else Step.WAIT
        if self.record.holder == self.incarnation:
            return Step.RENEW
        if not self.record.holder or now - self.changed_at >= defaults.LEASE_TAKEOVER_SECONDS:
            return Step.TAKE
        return Step.READ if now - self.read_at >= defaults.LEASE_POLL_SECONDS else Step.WAIT

    def observe(self, version: int, record: LeaseRecord, now: float) -> None:
        """Process the object as read from the object API.

        If a write whose reply was lost turns out to have succeeded, the record names this
        candidate as the holder. The lease is then renewed before it counts as held.
        """
        if version != self.version:
            self.changed_at = now
        self.version = version
        self.record = record
        self.read_at = now
        self.unconfirmed = False
        if record.holder != self.incarnation:
            self.held_until = -math.inf

    def record_for(self, step: Step) -> LeaseRecord:
        """Return the record to write for :attr:`Step.TAKE` or :attr:`Step.RENEW`."""
        fencing_number = self.record.number + (1 if step is Step.TAKE else 0)
        return LeaseRecord(self.incarnation, fencing_number, self.record.renewals + 1)

    def write_succeeded(self, version: int, record: LeaseRecord, begun: float) -> None:
        """Process a successful write.

        :param begun: when the write was started; the duration of the lease counts from there.
        """
        self.version = version
        self.record = record
        self.changed_at = begun
        self.held_until = begun + self.duration if record.holder == self.incarnation else -math.inf

    def write_conflicted(self) -> None:
        """Process a write that failed because the object has another version."""
        self.held_until = -math.inf
        self.version = -1

    def write_unconfirmed(self) -> None:
        """Process a write whose reply was lost.

        The lease does not count as held until the object has been read again.
        """
        self.unconfirmed = True

    def release_record(self) -> LeaseRecord:
        """Return the record that releases the lease and keeps its fencing number."""
        return LeaseRecord("", self.record.number, self.record.renewals + 1)


class Verdict(enum.Enum):
    """Result of checking the fencing number of an order."""

    OBEY = "obey"
    OLDER = "older"
    NOT_READ = "not_read"


@dataclass
class FencingCheck:
    """Check of fencing numbers in a sidecar, for engines that do not check them themselves.

    :param number: the highest number seen, None until the lease has been read from the object API.
    """

    number: int | None = None

    def set_stored_number(self, number: int) -> None:
        """Raise the number to that of the lease as stored in the object API."""
        self.number = max(number, self.number or 0)

    def validate(self, number: int) -> Verdict:
        """Return whether an order with this number may be obeyed, and record the number if so."""
        if self.number is None:
            return Verdict.NOT_READ
        if number < self.number:
            return Verdict.OLDER
        self.number = number
        return Verdict.OBEY
