"""Leases with fencing numbers, and the sidecar's gate that refuses orders with older numbers.

No clock is shared. A lease is taken over when its object stayed unchanged for a time on the
observer's own clock; since a paused holder may still believe in it, whoever is told something
checks the fencing number, which only grows.
"""

import enum
import math
from dataclasses import dataclass

import msgspec

from .. import defaults


class LeaseRecord(msgspec.Struct, frozen=True):
    """The lease as its object has it.

    :param holder: the incarnation that holds it, empty when it was given up.
    :param number: the fencing number, raised by every take-over.
    :param renewals: counts the holder's writes, so that each one changes the object.
    """

    holder: str = ""
    number: int = 0
    renewals: int = 0


class Step(enum.Enum):
    """What a candidate should do now."""

    WAIT = "wait"
    READ = "read"
    TAKE = "take"
    RENEW = "renew"


@dataclass
class Lease:
    """One lease as one candidate sees it.

    :param me: this process's incarnation.
    :param duration: how long a write keeps the lease, in seconds of the holder's clock.
    """

    me: str
    duration: float = defaults.LEASE_DURATION_SECONDS
    record: LeaseRecord = LeaseRecord()
    version: int = -1
    changed_at: float = -math.inf
    held_until: float = -math.inf
    read_at: float = -math.inf
    doubtful: bool = False

    def holds(self, now: float) -> bool:
        """Tell whether this candidate may act as the holder."""
        return now < self.held_until and not self.doubtful

    def step(self, now: float) -> Step:
        """Return what to do now."""
        if self.version < 0 or self.doubtful:
            return Step.READ
        if self.holds(now):
            late = self.held_until - now < self.duration * (1 - defaults.LEASE_RENEWAL_RATIO)
            return Step.RENEW if late else Step.WAIT
        if self.record.holder == self.me:
            return Step.RENEW
        if not self.record.holder or now - self.changed_at >= defaults.LEASE_TAKEOVER_SECONDS:
            return Step.TAKE
        return Step.READ if now - self.read_at >= defaults.LEASE_POLL_SECONDS else Step.WAIT

    def observe(self, version: int, record: LeaseRecord, now: float) -> None:
        """Take the object as it was read.

        A write of ours whose reply was lost is found by holder and count; the lease is then
        renewed before anything is done with it.
        """
        if version != self.version:
            self.changed_at = now
        self.version = version
        self.record = record
        self.read_at = now
        self.doubtful = False
        if record.holder != self.me:
            self.held_until = -math.inf

    def proposal(self, step: Step) -> LeaseRecord:
        """Return the record to write for :attr:`Step.TAKE` or :attr:`Step.RENEW`."""
        taken = self.record.number + (1 if step is Step.TAKE else 0)
        return LeaseRecord(self.me, taken, self.record.renewals + 1)

    def written(self, version: int, record: LeaseRecord, begun: float) -> None:
        """Note that a write took effect; it counts from the time that it was begun."""
        self.version = version
        self.record = record
        self.changed_at = begun
        self.held_until = begun + self.duration if record.holder == self.me else -math.inf

    def lost(self) -> None:
        """Note that a write met another version."""
        self.held_until = -math.inf
        self.version = -1

    def doubt(self) -> None:
        """Note that a write's reply was lost; nothing is done before it was read back."""
        self.doubtful = True

    def resignation(self) -> LeaseRecord:
        """Return the record that gives the lease up; its number stays."""
        return LeaseRecord("", self.record.number, self.record.renewals + 1)


class Verdict(enum.Enum):
    """What the gate says to an order."""

    OBEY = "obey"
    OLDER = "older"
    NOT_READ = "not_read"


@dataclass
class Gate:
    """The sidecar's check of fencing numbers; engines may not check them themselves.

    :param number: the highest number known; None until it was read from the object API.
    """

    number: int | None = None

    def read(self, number: int) -> None:
        """Take the number of the lease as it stands in the object API."""
        self.number = max(number, self.number or 0)

    def judge(self, number: int) -> Verdict:
        """Tell whether an order with this number may be obeyed, and remember the number."""
        if self.number is None:
            return Verdict.NOT_READ
        if number < self.number:
            return Verdict.OLDER
        self.number = number
        return Verdict.OBEY
