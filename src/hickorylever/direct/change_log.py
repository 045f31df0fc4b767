"""Which changes of the endpoints' entries a router knows.

A position is a claim: everything up to it is known. Where a log starts is another: everything
after that position is in the log. Only the methods of :class:`ChangeLog` make these claims.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from .hashes import digest
from .position import UNKNOWN, Position
from .records import StoredObject

CHANGE_LOG_LENGTH = 256


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """All changes between two positions.

    :param changes: oldest first.
    :param since: position of the entries that the changes start from.
    :param as_of: position after the changes.
    """

    changes: tuple[StoredObject, ...]
    since: Position
    as_of: Position


class ChangeLog:
    """The latest changes of the entries, and the positions that other routers ask about.

    :ivar as_of: position of the store up to which all changes are known.
    :ivar latest: position of the latest known change. Other routers hear of it, so it rises with
        changes only: each rise makes all of them pull.
    :ivar changes: latest changes, oldest first.
    :ivar start: position after which all changes up to `as_of` are in `changes`.
    :ivar start_digest: digest of the entries at `start`, or None if it isn't known.
    """

    def __init__(self):
        self.as_of = UNKNOWN
        self.latest = UNKNOWN
        self.changes: deque[StoredObject] = deque(maxlen=CHANGE_LOG_LENGTH)
        self.start = UNKNOWN
        self.start_digest: int | None = None

    def restart(self, as_of: Position, digest: int) -> None:
        """Begin at a position at which all entries are known, but not how they came about.

        :param digest: of these entries.
        """
        self.changes.clear()
        self.start = self.as_of = as_of
        self.start_digest = digest

    def extend(self, changes: Iterable[StoredObject], as_of: Position) -> None:
        """Append all changes between `as_of` so far and a later position."""
        for change in changes:
            if len(self.changes) == CHANGE_LOG_LENGTH:
                self.start = self.changes[0].position
                self.start_digest = None
            self.changes.append(change)
            self.announce(change.position)
        self.as_of = as_of

    def announce(self, position: Position) -> None:
        """Raise the position that other routers hear of."""
        self.latest = max(self.latest, position)

    def changes_since(self, position: Position, digest: int | None = None) -> ChangeSet | None:
        """Return the changes that another router lacks, or None if they aren't known.

        :param position: up to which it knows all changes.
        :param digest: of its entries. If they are those at `start`, it lacks what follows.
        """
        if position >= self.start:
            since = min(position, self.as_of)
            changes = tuple(change for change in self.changes if change.position > position)
        elif digest is not None and digest == self.start_digest:
            since = self.start
            changes = tuple(self.changes)
        else:
            return None
        return ChangeSet(changes, since, self.as_of)


def entries_digest(objects: Iterable[StoredObject]) -> int:
    """Return a 32-bit digest of the names and positions of entries."""
    return digest(f"{stored.name} {stored.position}" for stored in objects)
