"""The sidecar's table of attempts: what may start, and what is known to have run."""

import enum
from dataclasses import dataclass, replace

from ..exceptions import Kind, Ran
from ..records import Attempt


class State(enum.StrEnum):
    """State of an attempt at its sidecar."""

    REFUSED = "refused"
    ADMITTED = "admitted"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


# What is true of the request's execution in each state. REFUSED and CANCELLED are tombstones.
RAN = {
    State.REFUSED: Ran.NO,
    State.ADMITTED: Ran.NO,
    State.RUNNING: Ran.UNKNOWN,
    State.FINISHED: Ran.YES,
    State.CANCELLED: Ran.NO,
    State.CRASHED: Ran.UNKNOWN,
}

# State table: action -> states it is allowed in -> next state.
TRANSITIONS = {
    "start": {State.ADMITTED: State.RUNNING},
    "finish": {State.RUNNING: State.FINISHED},
    "cancel": {State.ADMITTED: State.CANCELLED},
    "crash": {State.RUNNING: State.CRASHED},
}

LIVE = (State.ADMITTED, State.RUNNING)


@dataclass(frozen=True, slots=True)
class Entry:
    """One attempt's state since `time`."""

    state: State
    work: float
    time: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why an attempt was not admitted."""

    kind: Kind
    detail: str


class Attempts:
    """Decides on attempts at one sidecar.

    :param incarnation: of this sidecar process.
    :param lifetime: seconds that a tombstone or a finished attempt is remembered.
    """

    def __init__(self, incarnation: str, lifetime: float):
        self.incarnation = incarnation
        self.lifetime = lifetime
        self.entries: dict[str, Entry] = {}
        self.work = 0.0
        self.running = 0
        self.draining = False

    def admit(self, attempt: Attempt, cap: float, now: float) -> Refusal | None:
        """Admit an attempt, or return why not. A refusal leaves a tombstone."""
        refusal = self.refusal(attempt, cap)
        if refusal is None:
            self.entries[attempt.id] = Entry(State.ADMITTED, attempt.work, now)
            self.work += attempt.work
            self.running += 1
        elif attempt.id not in self.entries:
            self.entries[attempt.id] = Entry(State.REFUSED, 0.0, now)
        return refusal

    def refusal(self, attempt: Attempt, cap: float) -> Refusal | None:
        """Return why an attempt can't be admitted now."""
        if attempt.incarnation != self.incarnation:
            return Refusal(Kind.WRONG_INCARNATION, f"this is incarnation {self.incarnation}")
        if attempt.id in self.entries:
            return Refusal(Kind.CANCELLED, "the attempt is known already")
        if self.draining:
            return Refusal(Kind.DRAINING, "the endpoint is leaving")
        if attempt.budget <= 0:
            return Refusal(Kind.DEADLINE, "no time is left")
        if self.running and self.work + attempt.work > cap:
            return Refusal(Kind.OVERLOADED, f"{self.work:.0f} of {cap:.0f} tokens are admitted")
        return None

    def start(self, attempt: str, now: float) -> bool:
        """Mark the first byte towards the endpoint. False when it must not be sent."""
        return self.move(attempt, "start", now)

    def finish(self, attempt: str, now: float) -> bool:
        """Mark an attempt whose whole answer is known."""
        return self.move(attempt, "finish", now)

    def crash(self, attempt: str, now: float) -> bool:
        """Mark an attempt whose endpoint failed while it ran."""
        return self.move(attempt, "crash", now)

    def cancel(self, attempt: str, now: float) -> Ran:
        """Cancel an attempt and return whether it ran.

        An unknown attempt leaves a tombstone, so that it is refused if it arrives later.
        """
        entry = self.entries.get(attempt)
        if entry is None:
            self.entries[attempt] = Entry(State.CANCELLED, 0.0, now)
            return Ran.NO
        self.move(attempt, "cancel", now)
        return RAN[self.entries[attempt].state]

    def move(self, attempt: str, action: str, now: float) -> bool:
        """Take a transition of the state table if it is allowed."""
        entry = self.entries.get(attempt)
        if entry is None or entry.state not in TRANSITIONS[action]:
            return False
        state = TRANSITIONS[action][entry.state]
        self.entries[attempt] = replace(entry, state=state, time=now)
        if state not in LIVE:
            self.work -= entry.work
            self.running -= 1
        return True

    def expire(self, now: float) -> list[str]:
        """Forget ended attempts that are older than the lifetime, and return their ids."""
        ended = [
            name
            for name, entry in self.entries.items()
            if entry.state not in LIVE and now - entry.time > self.lifetime
        ]
        for name in ended:
            del self.entries[name]
        return ended
