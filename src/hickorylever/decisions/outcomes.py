"""Whether a request ran, derived from the evidence on its attempt.

No other module decides between no, unknown and yes.
"""

import enum
from dataclasses import dataclass, replace

from ..exceptions import Ran


class State(enum.StrEnum):
    """State of an attempt at its sidecar."""

    REFUSED = "refused"
    ADMITTED = "admitted"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    CRASHED = "crashed"


# Whether the request ran, for each state. REFUSED and CANCELLED are tombstones.
RAN_BY_STATE = {
    State.REFUSED: Ran.NO,
    State.ADMITTED: Ran.UNKNOWN,
    State.RUNNING: Ran.UNKNOWN,
    State.FINISHED: Ran.YES,
    State.CANCELLED: Ran.NO,
    State.CRASHED: Ran.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class ExecutionEvidence:
    """A router's evidence on the execution of one attempt.

    :param addressed: whether the attempt names an incarnation; no sidecar admits one without.
    :param handed_over: whether at least one byte of the attempt may have left this router.
    :param reported: the sidecar's report on the execution, None without a report.
    """

    addressed: bool = False
    handed_over: bool = False
    reported: Ran | None = None

    def with_hand_over(self) -> "ExecutionEvidence":
        """Return the evidence for the time from the start of the hand-over on."""
        return replace(self, handed_over=True)

    def with_report(self, ran: Ran) -> "ExecutionEvidence":
        """Return the evidence with a report of the sidecar added."""
        return replace(self, reported=ran)

    def ran(self) -> Ran:
        """Return whether the request ran; UNKNOWN unless the evidence proves YES or NO."""
        if not self.handed_over or not self.addressed:
            return Ran.NO
        return Ran.UNKNOWN if self.reported is None else self.reported
