"""Failure detection by direct and indirect probes.

One member is probed per period. If it does not answer, other members are asked to probe it, and
if none of them gets an answer in time, it is suspected.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .. import defaults


@dataclass(slots=True)
class Probe:
    """A probe of a member that has not been acknowledged yet. Times are monotonic seconds.

    :param retry_at: when the probe is repeated, both directly and through helpers.
    :param deadline: when the probe fails.
    :param helper_count: number of helpers that were asked to probe the target.
    :param helper_replies: number of helpers that reported that they could not reach the target.
    """

    target: int
    retry_at: float
    deadline: float
    retries: int = 0
    helper_count: int = 0
    helper_replies: int = 0


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe on behalf of another member.

    :param origin: id of the member that asked for the probe.
    :param sequence: sequence number of the origin's own probe.
    :param deadline: when the origin is told of the failure, in monotonic seconds.
    """

    origin: int
    sequence: int
    target: int
    deadline: float


@dataclass
class Probes:
    """The probes of one member and its local health score.

    :param members: returns the ids of the members that may be probed.
    :param health_score: 0 for a healthy local member. Higher values lengthen its probe time-outs,
        since a member that is slow or badly connected would suspect others wrongly.
    :param due: when the next probe starts, in monotonic seconds.
    :param remaining: members that remain to be probed in the current round.
    """

    rng: random.Random
    members: Callable[[], list[int]]
    health_score: int = 0
    sequence: int = 0
    due: float = 0.0
    remaining: list[int] = field(default_factory=list)
    pending: dict[int, Probe] = field(default_factory=dict)
    indirect: dict[int, IndirectProbe] = field(default_factory=dict)

    def next_sequence(self) -> int:
        """Return the sequence number for a new probe."""
        self.sequence = (self.sequence + 1) % 2**32
        return self.sequence

    def next_target(self) -> int | None:
        """Return the next member to probe, or None when there is none.

        Members are probed in rounds, each in a new random order, which bounds the time until a
        failed member is probed.
        """
        if not self.remaining:
            self.remaining = self.members()
            self.rng.shuffle(self.remaining)
        return self.remaining.pop() if self.remaining else None

    def begin(self, target: int, now: float) -> int:
        """Record a probe that is sent now and return its sequence number."""
        scale = 1 + self.health_score
        sequence_number = self.next_sequence()
        retry_at = now + defaults.PROBE_TIMEOUT_SECONDS * scale
        self.pending[sequence_number] = Probe(
            target, retry_at, now + defaults.PROBE_INTERVAL_SECONDS * scale
        )
        self.due = now + defaults.PROBE_INTERVAL_SECONDS * scale
        return sequence_number

    def relay(self, origin: int, sequence: int, target: int, now: float) -> int:
        """Record a probe on behalf of another member and return its sequence number."""
        sequence_number = self.next_sequence()
        self.indirect[sequence_number] = IndirectProbe(
            origin, sequence, target, now + defaults.PROBE_TIMEOUT_SECONDS
        )
        return sequence_number

    def start_retries(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes that have to be retried now, with their sequence numbers."""
        overdue = [
            (sequence_number, probe)
            for sequence_number, probe in self.pending.items()
            if probe.retries < defaults.MAX_PROBE_RETRIES
            and probe.retry_at <= now < probe.deadline
        ]
        for _, probe in overdue:
            probe.retries += 1
            probe.retry_at = now + defaults.PROBE_RETRY_SECONDS * (1 + self.health_score)
        return overdue

    def choose_helpers(self, probe: Probe) -> list[int]:
        """Choose up to ``defaults.INDIRECT_PROBES`` random members for indirect probes."""
        others = [member for member in self.members() if member != probe.target]
        chosen = self.rng.sample(others, min(defaults.INDIRECT_PROBES, len(others)))
        probe.helper_count += len(chosen)
        return chosen

    def acknowledge(self, sequence_number: int) -> int | None:
        """Complete a probe and return its target, or None when it is no longer pending."""
        probe = self.pending.pop(sequence_number, None)
        if probe is None:
            return None
        self.health_score = max(0, self.health_score - 1)
        return probe.target

    def record_nack(self, sequence_number: int) -> None:
        """Record that a helper answered but could not reach the target."""
        probe = self.pending.get(sequence_number)
        if probe is not None:
            probe.helper_replies += 1

    def remove_failed(self, now: float) -> list[int]:
        """Remove the probes that have failed and return their targets.

        If helpers were asked and none of them answered, the local member may be at fault, so its
        health score is raised.
        """
        expired = [
            sequence_number
            for sequence_number, probe in self.pending.items()
            if probe.deadline <= now
        ]
        targets = []
        for sequence_number in expired:
            probe = self.pending.pop(sequence_number)
            targets.append(probe.target)
            if probe.helper_count and not probe.helper_replies:
                self.degrade_health()
        return targets

    def remove_expired_indirect(self, now: float) -> list[IndirectProbe]:
        """Remove and return the probes on behalf of others that have timed out."""
        expired = [
            sequence_number
            for sequence_number, indirect in self.indirect.items()
            if indirect.deadline <= now
        ]
        return [self.indirect.pop(sequence_number) for sequence_number in expired]

    def degrade_health(self) -> None:
        """Raise the health score, up to ``defaults.MAX_HEALTH_SCORE``."""
        self.health_score = min(defaults.MAX_HEALTH_SCORE, self.health_score + 1)

    def cancel_pending(self, now: float) -> None:
        """Cancel all pending probes after a pause of this process, and raise the health score."""
        self.pending.clear()
        self.indirect.clear()
        self.due = now
        self.degrade_health()
