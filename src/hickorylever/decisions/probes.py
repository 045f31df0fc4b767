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
    :param helpers: number of helpers that were asked to probe the target.
    :param answers: number of helpers that reported that they could not reach the target.
    """

    target: int
    retry_at: float
    deadline: float
    retries: int = 0
    helpers: int = 0
    answers: int = 0


@dataclass(frozen=True, slots=True)
class Relayed:
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
    :param score: 0 for a healthy local member. Higher values lengthen its probe time-outs, since
        a member that is slow or badly connected would suspect others wrongly.
    :param due: when the next probe starts, in monotonic seconds.
    :param order: members that remain to be probed in the current round.
    """

    chance: random.Random
    members: Callable[[], list[int]]
    score: int = 0
    sequence: int = 0
    due: float = 0.0
    order: list[int] = field(default_factory=list)
    open: dict[int, Probe] = field(default_factory=dict)
    relayed: dict[int, Relayed] = field(default_factory=dict)

    def next_sequence(self) -> int:
        """Return the sequence number for a new probe."""
        self.sequence = (self.sequence + 1) % 2**32
        return self.sequence

    def next_target(self) -> int | None:
        """Return the next member to probe, or None when there is none.

        Members are probed in rounds, each in a new random order, which bounds the time until a
        failed member is probed.
        """
        if not self.order:
            self.order = self.members()
            self.chance.shuffle(self.order)
        return self.order.pop() if self.order else None

    def begin(self, target: int, now: float) -> int:
        """Record a probe that is sent now and return its sequence number."""
        scale = 1 + self.score
        number = self.next_sequence()
        retry_at = now + defaults.PROBE_TIMEOUT * scale
        self.open[number] = Probe(target, retry_at, now + defaults.PROBE_INTERVAL * scale)
        self.due = now + defaults.PROBE_INTERVAL * scale
        return number

    def relay(self, origin: int, sequence: int, target: int, now: float) -> int:
        """Record a probe on behalf of another member and return its sequence number."""
        number = self.next_sequence()
        self.relayed[number] = Relayed(origin, sequence, target, now + defaults.PROBE_TIMEOUT)
        return number

    def unanswered(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes that have to be retried now, with their sequence numbers."""
        late = [
            (number, probe)
            for number, probe in self.open.items()
            if probe.retries < defaults.PROBE_RETRIES and probe.retry_at <= now < probe.deadline
        ]
        for _, probe in late:
            probe.retries += 1
            probe.retry_at = now + defaults.PROBE_RETRY * (1 + self.score)
        return late

    def helpers(self, probe: Probe) -> list[int]:
        """Choose up to ``defaults.PROBE_HELPERS`` random members for indirect probes."""
        others = [member for member in self.members() if member != probe.target]
        chosen = self.chance.sample(others, min(defaults.PROBE_HELPERS, len(others)))
        probe.helpers += len(chosen)
        return chosen

    def acknowledge(self, number: int) -> int | None:
        """Complete a probe and return its target, or None when it is no longer pending."""
        probe = self.open.pop(number, None)
        if probe is None:
            return None
        self.score = max(0, self.score - 1)
        return probe.target

    def decline(self, number: int) -> None:
        """Record that a helper answered but could not reach the target."""
        probe = self.open.get(number)
        if probe is not None:
            probe.answers += 1

    def failed(self, now: float) -> list[int]:
        """Remove the probes that have failed and return their targets.

        If helpers were asked and none of them answered, the local member may be at fault, so its
        health score is raised.
        """
        over = [number for number, probe in self.open.items() if probe.deadline <= now]
        targets = []
        for number in over:
            probe = self.open.pop(number)
            targets.append(probe.target)
            if probe.helpers and not probe.answers:
                self.blame_myself()
        return targets

    def declined(self, now: float) -> list[Relayed]:
        """Remove and return the probes on behalf of others that have timed out."""
        over = [number for number, relayed in self.relayed.items() if relayed.deadline <= now]
        return [self.relayed.pop(number) for number in over]

    def blame_myself(self) -> None:
        """Raise the health score, up to ``defaults.HEALTH_SCORE_MAX``."""
        self.score = min(defaults.HEALTH_SCORE_MAX, self.score + 1)

    def abandon(self, now: float) -> None:
        """Cancel all pending probes after a pause of this process, and raise the health score."""
        self.open.clear()
        self.relayed.clear()
        self.due = now
        self.blame_myself()
