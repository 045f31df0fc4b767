"""The sidecar's table of attempts: what may start, and what is known to have run."""

from dataclasses import dataclass, replace

from ..exceptions import Kind, Ran
from ..records import Attempt
from .outcomes import RAN_BY_STATE, State

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
    """Why an attempt was not admitted, and whether it ran before."""

    kind: Kind
    detail: str
    ran: Ran = Ran.NO


class Attempts:
    """Decides on attempts at one sidecar.

    An attempt carries a stamp: this sidecar's clock as its router last heard it. An attempt with
    a stamp older than half the lifetime is refused, so whatever is delivered after its tombstone
    was forgotten is refused too. Only this sidecar's clock is read.

    :param incarnation: of this sidecar process.
    :param lifetime: seconds that a tombstone or an ended attempt is remembered.
    """

    def __init__(self, incarnation: str, lifetime: float):
        self.incarnation = incarnation
        self.lifetime = lifetime
        self.entries: dict[str, Entry] = {}
        self.work = 0.0
        self.running = 0
        self.draining = False

    def admit(self, attempt: Attempt, cap: float, now: float) -> Refusal | None:
        """Admit an attempt, or return why not. A refusal that is sure leaves a tombstone."""
        refusal = self.refusal(attempt, cap, now)
        if refusal is None:
            self.entries[attempt.id] = Entry(State.ADMITTED, attempt.work, now)
            self.work += attempt.work
            self.running += 1
        elif refusal.ran is Ran.NO and attempt.id not in self.entries:
            self.entries[attempt.id] = Entry(State.REFUSED, 0.0, now)
        return refusal

    def refusal(self, attempt: Attempt, cap: float, now: float) -> Refusal | None:
        """Return why an attempt can't be admitted now."""
        if attempt.incarnation != self.incarnation:
            return Refusal(Kind.WRONG_INCARNATION, f"this is incarnation {self.incarnation}")
        entry = self.entries.get(attempt.id)
        if entry is not None:
            return Refusal(
                Kind.CANCELLED, "the attempt is known already", RAN_BY_STATE[entry.state]
            )
        if not 0 <= now - attempt.stamp <= self.lifetime / 2:
            ran = Ran.NO if now - attempt.stamp <= self.lifetime else Ran.UNKNOWN
            return Refusal(Kind.WRONG_INCARNATION, "the attempt's stamp is too old", ran)
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

    def ran(self, attempt: str) -> Ran:
        """Return what is known of a remembered attempt."""
        return RAN_BY_STATE[self.entries[attempt].state]

    def ask(self, attempt: str, incarnation: str, now: float, stamp: float) -> Refusal:
        """Cancel an attempt of some incarnation and return why there is no answer of it."""
        if incarnation != self.incarnation:
            detail = "the sidecar was restarted"
            return Refusal(Kind.WRONG_INCARNATION, detail, Ran.UNKNOWN)
        ran = self.cancel(attempt, now, stamp)
        kind = Kind.CANCELLED if ran is Ran.NO else Kind.ANSWER_LOST
        return Refusal(kind, "no answer is kept", ran)

    def cancel(self, attempt: str, now: float, stamp: float) -> Ran:
        """Cancel an attempt and return whether it ran.

        An attempt that is not remembered leaves a tombstone, so that it is refused if it arrives
        later. With a stamp so old that it may have run and been forgotten, the answer is unknown.
        """
        entry = self.entries.get(attempt)
        if entry is not None:
            self.move(attempt, "cancel", now)
            return self.ran(attempt)
        if not 0 <= now - stamp <= self.lifetime:
            return Ran.UNKNOWN
        self.entries[attempt] = Entry(State.CANCELLED, 0.0, now)
        return Ran.NO

    def move(self, attempt: str, action: str, now: float) -> bool:
        """Take a transition of the state table if it is allowed."""
        entry = self.entries.get(attempt)
        if entry is None or entry.state not in TRANSITIONS[action]:
            return False
        state = TRANSITIONS[action][entry.state]
        self.entries[attempt] = replace(entry, state=state, time=now)
        if state not in LIVE:
            self.running -= 1
            self.work = self.work - entry.work if self.running else 0.0
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
