"""State machine of a guarded call, from its claim to the answer.

A call either claims its key and runs the request, or attaches to the attempt that holds the claim.
It takes the claim over if that attempt certainly did not run.
"""

import enum
from dataclasses import dataclass

import msgspec

from .. import defaults
from ..exceptions import Kind, Ran, RequestError
from ..records import Attempt
from .claims import Action, Change, Claim, Outcome


class Step(enum.Enum):
    """The next action of the caller of :class:`GuardedCallFlow`."""

    PROPOSE = "propose"
    COMMIT = "settle"
    RUN = "run"
    ATTACH = "attach"
    ANSWERED = "answered"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt without a complete answer.

    :param ran: whether the request ran.
    :param detail: one sentence for the caller.
    :param confirmed: whether the attempt's sidecar reported the end; otherwise it could not be
        reached.
    """

    kind: Kind
    ran: Ran
    detail: str = ""
    confirmed: bool = False


class GuardedCallFlow:
    """State machine of one guarded call. Methods that take an event return the next step.

    :param proposal: the last claim proposed by this call.
    :param current: the claim in force for the key.
    :param change: the change to commit at :attr:`Step.COMMIT`.
    :param outcome: the outcome to record for `current`, or None.
    :param error: the error for the caller at :attr:`Step.REFUSE`.
    :param commits: number of commits requested.
    """

    def __init__(self, key: bytes, fingerprint: bytes):
        self.key = key
        self.fingerprint = fingerprint
        self.proposal: Claim | None = None
        self.current: Claim | None = None
        self.change: Change | None = None
        self.outcome: Outcome | None = None
        self.error: RequestError | None = None
        self.ended: AttemptEnd | None = None
        self.commits = 0

    def begin(self) -> Step:
        """Return the first step."""
        return Step.PROPOSE

    def owns_claim(self) -> bool:
        """Return whether the claim in force is the one proposed by this call."""
        return self.current.attempt == self.proposal.attempt

    def reuses_endpoint(self) -> bool:
        """Return whether to propose the last endpoint again, because its sidecar has restarted."""
        return self.ended is not None and self.ended.kind is Kind.WRONG_INCARNATION

    def on_attempt(self, attempt: Attempt | None) -> Step:
        """Process a new attempt, or None when no endpoint is left."""
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
        return self.request_commit()

    def request_commit(self) -> Step:
        """Request a commit of the proposal, as the first claim or as a take-over.

        The number of commits is limited to ``defaults.MAX_CLAIM_STEPS``.
        """
        self.commits += 1
        if self.commits > defaults.MAX_CLAIM_STEPS:
            detail = "other repeats of the request are in progress"
            return self.refuse(Kind.STILL_RUNNING, detail, Ran.UNKNOWN)
        if self.current is None:
            self.change = Change(Action.CLAIM.value, self.proposal)
        else:
            generation = self.current.generation + 1
            self.proposal = msgspec.structs.replace(self.proposal, generation=generation)
            expected = self.current.attempt
            self.change = Change(Action.TAKE_OVER.value, self.proposal, expected)
        return Step.COMMIT

    def on_claim(self, claim: Claim) -> Step:
        """Process the claim in force after :attr:`Step.COMMIT`."""
        self.current = claim
        if claim.fingerprint != self.fingerprint:
            return self.refuse(Kind.KEY_REUSED, "", Ran.NO)
        if self.owns_claim():
            return Step.RUN
        if claim.outcome == Outcome.UNKNOWN:
            detail = (
                "it is unknown whether the request ran; "
                "the claim is listed as unresolved for the operator"
            )
            return self.refuse(Kind.ANSWER_LOST, detail, Ran.UNKNOWN)
        return Step.ATTACH

    def on_answer(self) -> Step:
        """Process the complete answer of the claim's attempt."""
        self.outcome = Outcome.RAN
        return Step.ANSWERED

    def on_end(self, ended: AttemptEnd) -> Step:
        """Process an end without a complete answer.

        A recorded outcome of RAN takes precedence over the report.
        """
        self.ended = ended
        ran = Ran.YES if self.current.outcome == Outcome.RAN else ended.ran
        return ON_END[ran](self, ended)

    def on_not_run(self, ended: AttemptEnd) -> Step:
        """Continue after an attempt that has a tombstone or was never sent.

        The call proposes another attempt, or takes the claim over if another call holds it.
        """
        return Step.PROPOSE if self.owns_claim() else self.request_commit()

    def on_ran(self, ended: AttemptEnd) -> Step:
        """Refuse the call: the attempt ran, but its answer is no longer available."""
        self.outcome = Outcome.RAN
        return self.refuse(Kind.ALREADY_RAN, "the answer is no longer available", Ran.YES)

    def on_unknown(self, ended: AttemptEnd) -> Step:
        """Refuse the call, and record the unknown outcome if the sidecar reported it."""
        if ended.confirmed:
            self.outcome = Outcome.UNKNOWN
        kind = Kind.ANSWER_LOST if ended.kind is Kind.WRONG_INCARNATION else ended.kind
        return self.refuse(kind, ended.detail, Ran.UNKNOWN)

    def refuse(self, kind: Kind, detail: str, ran: Ran) -> Step:
        """End the call with an error."""
        self.error = RequestError(kind, detail, ran)
        return Step.REFUSE


ON_END = {
    Ran.NO: GuardedCallFlow.on_not_run,
    Ran.YES: GuardedCallFlow.on_ran,
    Ran.UNKNOWN: GuardedCallFlow.on_unknown,
}
