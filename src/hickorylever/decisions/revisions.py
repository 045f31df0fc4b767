"""Adoption of configuration revisions: a node only moves forward."""

from ..records import Revision


class Revisions:
    """The revision in force at one node and the highest that it has heard of."""

    def __init__(self):
        self.current: Revision | None = None
        self.heard = 0

    def hear(self, number: int) -> bool:
        """Note a revision number from a peer. True when it is news."""
        self.heard = max(self.heard, number)
        return self.behind()

    def behind(self) -> bool:
        """Tell whether a higher revision than the one in force is known."""
        return self.heard > (self.current.number if self.current else 0)

    def adopt(self, revision: Revision, digest: str) -> bool:
        """Move to a revision whose content has `digest`. False when it must not be adopted."""
        if digest != revision.digest:
            return False
        if self.current is not None and revision.number <= self.current.number:
            return False
        self.current = revision
        self.heard = max(self.heard, revision.number)
        return True
