"""Failure detection: one random member a period, then others asked to try, then a suspicion."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from .. import defaults


@dataclass(slots=True)
class Probe:
    """A member that was asked for a sign of life.

    :param retry_at: when it is asked again and helpers are asked to try.
    :param answers: helpers that answered at all, also those that could not reach the target.
    """

    target: int
    retry_at: float
    deadline: float
    retries: int = 0
    helpers: int = 0
    answers: int = 0


@dataclass(frozen=True, slots=True)
class Relayed:
    """A member that is probed for somebody else."""

    origin: int
    sequence: int
    target: int
    deadline: float


@dataclass
class Probes:
    """The probes of one member, and how far it trusts itself.

    :param members: returns the members that may be probed.
    :param score: 0 when this member works well; a slow member waits longer before it suspects.
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
        """Return a number for a new probe."""
        self.sequence = (self.sequence + 1) % 2**32
        return self.sequence

    def next_target(self) -> int | None:
        """Return the next member of a shuffled round."""
        if not self.order:
            self.order = self.members()
            self.chance.shuffle(self.order)
        return self.order.pop() if self.order else None

    def begin(self, target: int, now: float) -> int:
        """Note a probe that is sent now and return its sequence."""
        scale = 1 + self.score
        number = self.next_sequence()
        retry_at = now + defaults.PROBE_TIMEOUT_SECONDS * scale
        self.open[number] = Probe(target, retry_at, now + defaults.PROBE_INTERVAL_SECONDS * scale)
        self.due = now + defaults.PROBE_INTERVAL_SECONDS * scale
        return number

    def relay(self, origin: int, sequence: int, target: int, now: float) -> int:
        """Note a probe for somebody else and return its sequence."""
        number = self.next_sequence()
        self.relayed[number] = Relayed(
            origin, sequence, target, now + defaults.PROBE_TIMEOUT_SECONDS
        )
        return number

    def unanswered(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes that should be tried again now, by helpers too."""
        late = [
            (number, probe)
            for number, probe in self.open.items()
            if probe.retries < defaults.MAX_PROBE_RETRIES
            and probe.retry_at <= now < probe.deadline
        ]
        for _, probe in late:
            probe.retries += 1
            probe.retry_at = now + defaults.PROBE_RETRY_SECONDS * (1 + self.score)
        return late

    def helpers(self, probe: Probe) -> list[int]:
        """Choose members that try to reach a probe's target."""
        others = [member for member in self.members() if member != probe.target]
        chosen = self.chance.sample(others, min(defaults.INDIRECT_PROBES, len(others)))
        probe.helpers += len(chosen)
        return chosen

    def acknowledge(self, number: int) -> int | None:
        """Note a sign of life and return whose it is."""
        probe = self.open.pop(number, None)
        if probe is None:
            return None
        self.score = max(0, self.score - 1)
        return probe.target

    def decline(self, number: int) -> None:
        """Note that a helper works but could not reach the target."""
        probe = self.open.get(number)
        if probe is not None:
            probe.answers += 1

    def failed(self, now: float) -> list[int]:
        """End the probes that are over and return their targets.

        When no helper answered either, the fault may be here: the score rises.
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
        """End the probes for others that got no answer."""
        over = [number for number, relayed in self.relayed.items() if relayed.deadline <= now]
        return [self.relayed.pop(number) for number in over]

    def blame_myself(self) -> None:
        """Trust this member's own view less."""
        self.score = min(defaults.MAX_HEALTH_SCORE, self.score + 1)

    def abandon(self, now: float) -> None:
        """Forget every open probe, after a pause of this process."""
        self.open.clear()
        self.relayed.clear()
        self.due = now
        self.blame_myself()
