"""A sidecar's table of attempts: which ones may start, and which ones have run."""

from dataclasses import dataclass, replace

from ..exceptions import Kind, Ran
from ..records import Attempt
from .outcomes import RAN_BY_STATE, State

# Maps each action to the states that allow it and their successors.
TRANSITIONS = {
    "start": {State.ADMITTED: State.RUNNING},
    "finish": {State.RUNNING: State.FINISHED},
    "cancel": {State.ADMITTED: State.CANCELLED},
    "crash": {State.RUNNING: State.CRASHED},
}

LIVE = (State.ADMITTED, State.RUNNING)


@dataclass(frozen=True, slots=True)
class Entry:
    """State of an attempt.

    :param work: estimated work in tokens.
    :param time: the sidecar's monotonic time in seconds of the last transition.
    """

    state: State
    work: float
    time: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """The reason why an attempt is not admitted, and whether it has run."""

    kind: Kind
    detail: str
    ran: Ran = Ran.NO


class AttemptTable:
    """The attempts that one sidecar has admitted, refused or cancelled.

    Each attempt carries a timestamp of this sidecar's clock that its router last received. An
    attempt whose stamp is older than half the lifetime is refused. So a delayed attempt is still
    refused after its tombstone has expired, and no clocks are compared between machines.

    :param incarnation: identifies this run of the sidecar process.
    :param lifetime: seconds that tombstones and ended attempts are kept.
    """

    def __init__(self, incarnation: str, lifetime: float):
        self.incarnation = incarnation
        self.lifetime = lifetime
        self.entries: dict[str, Entry] = {}
        self.work = 0.0
        self.running = 0
        self.draining = False

    def admit(self, attempt: Attempt, max_work: float, now: float) -> Refusal | None:
        """Admit an attempt, or return why it is refused.

        A refused attempt that has certainly not run leaves a tombstone, so that a duplicate
        of it is refused as well.

        :param max_work: maximum admitted work in tokens.
        """
        refusal = self.refusal(attempt, max_work, now)
        if refusal is None:
            self.entries[attempt.id] = Entry(State.ADMITTED, attempt.work, now)
            self.work += attempt.work
            self.running += 1
        elif refusal.ran is Ran.NO and attempt.id not in self.entries:
            self.entries[attempt.id] = Entry(State.REFUSED, 0.0, now)
        return refusal

    def refusal(self, attempt: Attempt, max_work: float, now: float) -> Refusal | None:
        """Return why an attempt is refused, None when it may be admitted."""
        if attempt.incarnation != self.incarnation:
            return Refusal(
                Kind.WRONG_INCARNATION, f"the sidecar's incarnation is {self.incarnation}"
            )
        entry = self.entries.get(attempt.id)
        if entry is not None:
            return Refusal(
                Kind.CANCELLED,
                "the attempt was already received or cancelled",
                RAN_BY_STATE[entry.state],
            )
        if not 0 <= now - attempt.stamp <= self.lifetime / 2:
            ran = Ran.NO if now - attempt.stamp <= self.lifetime else Ran.UNKNOWN
            return Refusal(Kind.WRONG_INCARNATION, "the attempt's stamp is out of range", ran)
        if self.draining:
            return Refusal(Kind.DRAINING, "the endpoint is draining")
        if attempt.budget <= 0:
            return Refusal(Kind.DEADLINE, "the deadline has passed")
        if self.running and self.work + attempt.work > max_work:
            return Refusal(Kind.OVERLOADED, f"{self.work:.0f} of {max_work:.0f} tokens are in use")
        return None

    def start(self, attempt_id: str, now: float) -> bool:
        """Record that sending to the endpoint begins. Return False when nothing may be sent."""
        return self.apply_action(attempt_id, "start", now)

    def finish(self, attempt_id: str, now: float) -> bool:
        """Record that an attempt's complete answer was received."""
        return self.apply_action(attempt_id, "finish", now)

    def crash(self, attempt_id: str, now: float) -> bool:
        """Record that the endpoint failed while it ran an attempt."""
        return self.apply_action(attempt_id, "crash", now)

    def ran(self, attempt_id: str) -> Ran:
        """Return whether an attempt in the table has run."""
        return RAN_BY_STATE[self.entries[attempt_id].state]

    def cancel_with_reason(
        self, attempt_id: str, incarnation: str, now: float, stamp: float
    ) -> Refusal:
        """Cancel an attempt and return why no answer of it is available."""
        if incarnation != self.incarnation:
            detail = "the sidecar has restarted"
            return Refusal(Kind.WRONG_INCARNATION, detail, Ran.UNKNOWN)
        ran = self.cancel(attempt_id, now, stamp)
        kind = Kind.CANCELLED if ran is Ran.NO else Kind.ANSWER_LOST
        return Refusal(kind, "no answer is stored", ran)

    def cancel(self, attempt_id: str, now: float, stamp: float) -> Ran:
        """Cancel an attempt and return whether it has run.

        An attempt that is not in the table leaves a tombstone, so that it is refused if it
        arrives later. The result is unknown when its stamp is older than the lifetime, as it may
        have run and expired.
        """
        entry = self.entries.get(attempt_id)
        if entry is not None:
            self.apply_action(attempt_id, "cancel", now)
            return self.ran(attempt_id)
        if not 0 <= now - stamp <= self.lifetime:
            return Ran.UNKNOWN
        self.entries[attempt_id] = Entry(State.CANCELLED, 0.0, now)
        return Ran.NO

    def apply_action(self, attempt_id: str, action: str, now: float) -> bool:
        """Apply an action. Return False when the attempt's state does not allow it."""
        entry = self.entries.get(attempt_id)
        if entry is None or entry.state not in TRANSITIONS[action]:
            return False
        state = TRANSITIONS[action][entry.state]
        self.entries[attempt_id] = replace(entry, state=state, time=now)
        if state not in LIVE:
            self.running -= 1
            self.work = self.work - entry.work if self.running else 0.0
        return True

    def expire(self, now: float) -> list[str]:
        """Remove attempts that ended longer ago than the lifetime, and return their ids."""
        ended = [
            attempt_id
            for attempt_id, entry in self.entries.items()
            if entry.state not in LIVE and now - entry.time > self.lifetime
        ]
        for attempt_id in ended:
            del self.entries[attempt_id]
        return ended
