"""Which routers share the limits of cold endpoints, as one router knows them.

Routers that can't hear each other must not both take the same share. A router therefore keeps the
others in its list whether they are alive or not, and takes a share only once the others have it in
their lists. A datagram of another router shows that, as routers send datagrams only to those that
they know.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..addresses import is_ipv4_address
from . import rendezvous

MAX_UNAWARE_ROUTERS = 1  # Routers that may not know this one, such as one that is gone.
MEMBER_LIFETIME_SECONDS = 900.0  # Since the last datagram; a silent router may only be cut off.
# For listed routers without a datagram. The store has removed the entry of an ended one by then.
UNHEARD_LIFETIME_SECONDS = 60.0
# Time between a change of the members and the use of shares that grow by it. Requests that others
# sent by their former shares count for about a second.
HANDOVER_SECONDS = 1.2
CONTACT_SECONDS = 60.0  # A router that heard less than half of the others in it keeps silent ones.


@dataclass(slots=True)
class Member:
    """Another router. Times are monotonic seconds.

    :param known_since: when this router learned of it.
    :param last_heard: when its last datagram arrived, or None before the first.
    :param left_at: when it said that it shuts down, or None.
    """

    known_since: float
    last_heard: float | None = None
    left_at: float | None = None

    def heard_within(self, seconds: float, now: float) -> bool:
        """Return whether a datagram arrived within the given time."""
        return self.last_heard is not None and now - self.last_heard <= seconds

    def is_gone(self, now: float) -> bool:
        """Return whether it shut down at least `HANDOVER_SECONDS` ago."""
        return self.left_at is not None and now - self.left_at >= HANDOVER_SECONDS

    def is_lost(self, now: float) -> bool:
        """Return whether it has been silent for so long that it is taken to have ended."""
        if self.last_heard is None:
            return now - self.known_since > UNHEARD_LIFETIME_SECONDS
        return now - self.last_heard > MEMBER_LIFETIME_SECONDS


class Membership:
    """The routers that share limits. Times are monotonic seconds.

    :param own_address: IP address of this router.
    :param seeded: whether the settings name other routers. A router that heard none of them may
        have a list that lacks many, such as one from a store that lost its latest objects.
    :ivar complete: whether this router is registered in the store and has listed the others since.
        Of two routers that did both, at least one knows the other.
    :ivar settled_at: since when this router is complete and known to the others, or None.
    :ivar members: the other routers by address.
    :ivar ranks: cached ranks of this router among the current members, by key of what is shared.
    """

    def __init__(self, own_address: str, seeded: bool = False):
        self.own_address = own_address
        self.seeded = seeded
        self.complete = False
        self.settled_at: float | None = None
        self.members: dict[str, Member] = {}
        self.ranks: dict[str, int] = {}

    @property
    def count(self) -> int:
        """Return the number of routers, with this one."""
        return len(self.members) + 1

    @property
    def unaware_count(self) -> int:
        """Return the number of routers that may not know this one."""
        return sum(member.last_heard is None for member in self.members.values())

    @property
    def alone(self) -> bool:
        """Return whether other routers are expected and none of them was heard."""
        members = self.members.values()
        others = self.seeded or bool(members)
        return others and all(member.last_heard is None for member in members)

    @property
    def shares_from(self) -> float:
        """Return when this router may begin to use its shares, infinity for not yet."""
        return math.inf if self.settled_at is None else self.settled_at + HANDOVER_SECONDS

    def settle(self, now: float) -> None:
        """Update whether this router is complete and known to the others."""
        unknown = self.unaware_count > MAX_UNAWARE_ROUTERS
        if not self.complete or unknown or self.alone:
            self.settled_at = None
        elif self.settled_at is None:
            self.settled_at = now

    def record_listed(self, addresses: Iterable[str], now: float) -> None:
        """Add the routers that the store lists, and count the list as complete."""
        for address in addresses:
            self.add(address, now)
        self.complete = True
        self.settle(now)

    def record_heard(self, address: str, now: float) -> None:
        """Record a datagram of another router."""
        member = self.add(address, now)
        if member is not None:
            member.last_heard = now
            member.left_at = None
            if self.settled_at is None:
                self.settle(now)

    def add(self, address: str, now: float) -> Member | None:
        """Return another router, which is added if it is new.

        The result is None for the address of this router and for a malformed one.
        """
        if address == self.own_address or not is_ipv4_address(address):
            return None
        member = self.members.get(address)
        if member is None:
            member = self.members[address] = Member(now)
            self.ranks.clear()
        return member

    def record_left(self, address: str, now: float) -> None:
        """Record that a router says that it shuts down; it is removed a little later."""
        member = self.members.get(address)
        if member is not None:
            member.left_at = now

    def expire(self, now: float) -> None:
        """Forget routers that shut down or have been silent for too long.

        A router that may itself be cut off forgets only those that shut down.
        """
        members = self.members
        heard = sum(member.heard_within(CONTACT_SECONDS, now) for member in members.values())
        in_contact = 2 * heard >= len(members)
        gone = [
            address
            for address, member in members.items()
            if member.is_gone(now) or (in_contact and member.is_lost(now))
        ]
        for address in gone:
            del members[address]
        if gone:
            self.ranks.clear()
            self.settle(now)

    def rank(self, key: str) -> int:
        """Return how many routers precede this one in the rendezvous order of a key."""
        rank = self.ranks.get(key)
        if rank is None:
            rank = rendezvous.rank(key, self.own_address, self.members)
            self.ranks[key] = rank
        return rank
