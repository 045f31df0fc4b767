"""The steps of one guarded call: claim, run or attach, take over, and what to tell the caller."""

import enum
from dataclasses import dataclass

import msgspec

from .. import defaults
from ..exceptions import Kind, Ran, RequestError
from ..records import Attempt
from .claims import Action, Change, Claim, Outcome


class Step(enum.Enum):
    """What the call needs next."""

    PROPOSE = "propose"
    SETTLE = "settle"
    RUN = "run"
    ATTACH = "attach"
    ANSWERED = "answered"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class Ended:
    """How an attempt ended without a whole answer.

    :param final: whether the sidecar said so; else this router could only not reach it.
    """

    kind: Kind
    ran: Ran
    detail: str = ""
    final: bool = False


class Flow:
    """Decides the steps of one guarded call. Every method returns the next step.

    :param proposal: the claim that this call made last.
    :param current: the claim in force for the key.
    :param change: to be committed at :attr:`Step.SETTLE`.
    :param outcome: to be recorded of `current`, or None.
    :param error: for the caller at :attr:`Step.REFUSE`.
    """

    def __init__(self, key: bytes, fingerprint: bytes):
        self.key = key
        self.fingerprint = fingerprint
        self.proposal: Claim | None = None
        self.current: Claim | None = None
        self.change: Change | None = None
        self.outcome: Outcome | None = None
        self.error: RequestError | None = None
        self.ended: Ended | None = None
        self.settled = 0

    def begin(self) -> Step:
        """Return the first step."""
        return Step.PROPOSE

    def mine(self) -> bool:
        """Tell whether the claim in force is this call's own."""
        return self.current.attempt == self.proposal.attempt

    def same_endpoint(self) -> bool:
        """Tell whether the last endpoint may be proposed again: its sidecar was restarted."""
        return self.ended is not None and self.ended.kind is Kind.WRONG_INCARNATION

    def on_attempt(self, attempt: Attempt | None) -> Step:
        """Take a new attempt, None when no endpoint is left."""
        if attempt is None and self.ended is None:
            return self.refuse(Kind.NO_ENDPOINT, "no endpoint could be reached", Ran.NO)
        if attempt is None:
            return self.refuse(self.ended.kind, self.ended.detail, Ran.NO)
        self.proposal = Claim(
            key=self.key,
            fingerprint=self.fingerprint,
            attempt=attempt.id,
            endpoint=attempt.endpoint,
            incarnation=attempt.incarnation,
            stamp=attempt.stamp,
        )
        return self.settle()

    def settle(self) -> Step:
        """Ask for the proposal to be claimed, or to take over from the claim in force."""
        self.settled += 1
        if self.settled > defaults.MAX_CLAIM_STEPS:
            detail = "other repeats of it are under way"
            return self.refuse(Kind.STILL_RUNNING, detail, Ran.UNKNOWN)
        if self.current is None:
            self.change = Change(Action.CLAIM.value, self.proposal)
        else:
            generation = self.current.generation + 1
            self.proposal = msgspec.structs.replace(self.proposal, generation=generation)
            expected = self.current.attempt
            self.change = Change(Action.TAKE_OVER.value, self.proposal, expected)
        return Step.SETTLE

    def on_claim(self, claim: Claim) -> Step:
        """Take the claim that is in force after :attr:`Step.SETTLE`."""
        self.current = claim
        if claim.fingerprint != self.fingerprint:
            return self.refuse(Kind.KEY_REUSED, "", Ran.NO)
        if self.mine():
            return Step.RUN
        if claim.outcome == Outcome.UNKNOWN:
            detail = "it is not known whether the request ran; it is listed for the operator"
            return self.refuse(Kind.ANSWER_LOST, detail, Ran.UNKNOWN)
        return Step.ATTACH

    def on_answer(self) -> Step:
        """Take the whole answer of the claim's attempt."""
        self.outcome = Outcome.RAN
        return Step.ANSWERED

    def on_end(self, ended: Ended) -> Step:
        """Take an end without a whole answer. A recorded "ran" outweighs what is known now."""
        self.ended = ended
        ran = Ran.YES if self.current.outcome == Outcome.RAN else ended.ran
        return ON_END[ran](self, ended)

    def on_not_run(self, ended: Ended) -> Step:
        """The attempt has a tombstone or was never handed over: another one may take over."""
        return Step.PROPOSE if self.mine() else self.settle()

    def on_ran(self, ended: Ended) -> Step:
        """The attempt ran, and its answer can't be had any more."""
        self.outcome = Outcome.RAN
        return self.refuse(Kind.ALREADY_RAN, "its answer is not kept any more", Ran.YES)

    def on_unknown(self, ended: Ended) -> Step:
        """Nobody knows; when the sidecar says so, that is final and recorded."""
        if ended.final:
            self.outcome = Outcome.UNKNOWN
        kind = Kind.ANSWER_LOST if ended.kind is Kind.WRONG_INCARNATION else ended.kind
        return self.refuse(kind, ended.detail, Ran.UNKNOWN)

    def refuse(self, kind: Kind, detail: str, ran: Ran) -> Step:
        """End the call with an error."""
        self.error = RequestError(kind, detail, ran)
        return Step.REFUSE


ON_END = {Ran.NO: Flow.on_not_run, Ran.YES: Flow.on_ran, Ran.UNKNOWN: Flow.on_unknown}
