"""Whether a request ran: the one place that turns recorded facts into no, unknown or yes."""

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


# What is true of the request's execution in each state. REFUSED and CANCELLED are tombstones.
RAN = {
    State.REFUSED: Ran.NO,
    State.ADMITTED: Ran.UNKNOWN,
    State.RUNNING: Ran.UNKNOWN,
    State.FINISHED: Ran.YES,
    State.CANCELLED: Ran.NO,
    State.CRASHED: Ran.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class Facts:
    """What a router knows about one attempt.

    :param addressed: the attempt names an incarnation; without one no sidecar can admit it.
    :param handed_over: at least one byte of it may have left this router.
    :param told: what its sidecar said about the execution, None while it said nothing.
    """

    addressed: bool = False
    handed_over: bool = False
    told: Ran | None = None

    def hand_over(self) -> "Facts":
        """Return the facts once the hand-over begins."""
        return replace(self, handed_over=True)

    def tell(self, ran: Ran) -> "Facts":
        """Return the facts with the sidecar's word."""
        return replace(self, told=ran)

    def ran(self) -> Ran:
        """Return the strongest claim that these facts support."""
        if not self.handed_over or not self.addressed:
            return Ran.NO
        return Ran.UNKNOWN if self.told is None else self.told
