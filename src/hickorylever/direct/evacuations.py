"""Failure domains that an operator evacuates.

An object in the store names each of them. While it exists, endpoints of the domain get no new
requests, so that the domain can be taken out of service. Times are monotonic seconds that the
caller passes in.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from ..exceptions import ContentError
from .hashes import digest
from .position import UNKNOWN, Position
from .records import Changes, Listing

MISSING_GRACE_SECONDS = (
    2.0  # Time in which an object that a restored store lacks can be rewritten.
)
FIRST_REVISION = 1  # Position of a router that has listed the evacuations and found none.
OWN_WATCH_SECONDS = 1.0  # Time in which another router may turn out to know the evacuations.
OWN_WATCH_SECONDS_PER_ROUTER = 0.005  # Spreads the list calls of many routers.


class MissingEvacuation(msgspec.Struct, frozen=True, array_like=True):
    """An evacuation that a restored store lacks and that is still in force.

    :param age: seconds since the store was found to lack it.
    """

    domain: str
    age: float


class EvacuationState(msgspec.Struct, frozen=True, array_like=True):
    """What a router knows of the evacuations, as sent to another router.

    :param domains: evacuated domains, without missing ones.
    :param latest: position of the latest known change.
    :param as_of: position of the store up to which all changes are known.
    """

    domains: list[str]
    latest: Position
    as_of: Position
    missing: list[MissingEvacuation] = []


class Evacuations:
    """The evacuated failure domains that a router knows.

    Two positions are kept. `latest` is announced to other routers and rises only with changes, so
    that calls of the store without news cause no pulls. `as_of` decides whose knowledge is later.

    :param decode: returns the domain that an object's name stands for, or raises
        :exc:`ContentError`.
    :param reject: called with the error of a name that can't be decoded.
    :ivar missing_since: time since which a restored store lacks the object of each evacuated
        domain, or None if the store has it.
    :ivar latest: position of the latest known change.
    :ivar as_of: position of the store up to which all changes are known.
    :ivar listed: whether the evacuations are known at all.
    """

    def __init__(
        self,
        decode: Callable[[str], str],
        reject: Callable[[Exception], None] = lambda error: None,
    ):
        self.decode = decode
        self.reject = reject
        self.missing_since: dict[str, float | None] = {}
        self.latest = UNKNOWN
        self.as_of = UNKNOWN
        self.listed = False

    @property
    def domains(self) -> frozenset[str]:
        """Return the evacuated domains, with those that a restored store lacks for now."""
        return frozenset(self.missing_since)

    def apply_listing(self, listing: Listing, now: float) -> None:
        """Replace all evacuations, unless a later state is known.

        Those that the first list of an era lacks stay for `MISSING_GRACE_SECONDS`.
        """
        position = listing.position
        if self.listed and position < self.as_of:
            return
        domains = self.decode_names(stored.name for stored in listing.objects)
        removed = self.replace(domains, position, now)
        positions = [stored.position for stored in listing.objects]
        positions.append(position if removed else Position(position.era, FIRST_REVISION))
        self.latest = max(self.latest, *positions)

    def apply_changes(self, changes: Changes, now: float) -> None:
        """Apply changes in their order, unless all of them are known."""
        if not self.listed or changes.position <= self.as_of:
            return
        for stored in changes.objects:
            for domain in self.decode_names([stored.name]):
                if stored.deleted:
                    self.missing_since.pop(domain, None)
                else:
                    self.missing_since[domain] = None
            self.latest = max(self.latest, stored.position)
        self.as_of = max(self.as_of, changes.position)

    def apply_state(self, state: EvacuationState, now: float) -> None:
        """Apply what another router knows.

        One that announces a later change but knows an earlier state of the store has missed the
        end of an evacuation. This router then announces its own state as the latest change.
        """
        domains = self.decode_names(state.domains)
        if not self.listed or state.as_of > self.as_of:
            self.replace(domains, state.as_of, now)
            self.latest = max(self.latest, state.latest)
        elif state.latest > self.latest:
            agreed = domains == self.present()
            self.latest = state.latest if agreed else max(state.latest, self.as_of)
        if state.as_of.era == self.as_of.era:
            self.add_missing(state.missing, now)

    def add_missing(self, missing: Iterable[MissingEvacuation], now: float) -> None:
        """Add evacuations from before a restore that this router didn't see."""
        for entry in missing:
            if 0.0 <= entry.age < MISSING_GRACE_SECONDS:
                for domain in self.decode_names([entry.domain]):
                    self.missing_since.setdefault(domain, now - entry.age)

    def decode_names(self, names: Iterable[str]) -> set[str]:
        """Return the domains that objects' names stand for; malformed names are left out."""
        domains = set()
        for name in names:
            try:
                domains.add(self.decode(name))
            except ContentError as error:
                self.reject(error)
        return domains

    def replace(self, domains: set[str], position: Position, now: float) -> bool:
        """Replace all evacuations by those at a position, and return whether one has ended."""
        restored = self.listed and position.era > self.as_of.era
        removed = False
        for domain in self.present() - domains:
            if restored:
                self.missing_since[domain] = now
            else:
                del self.missing_since[domain]
                removed = True
        self.missing_since.update(dict.fromkeys(domains))
        self.as_of = max(self.as_of, position)
        self.listed = True
        return removed

    def missing(self) -> set[str]:
        """Return the evacuated domains whose object a restored store lacks."""
        return self.missing_since.keys() - self.present()

    def present(self) -> set[str]:
        """Return the evacuated domains whose object the store has."""
        return {domain for domain, since in self.missing_since.items() if since is None}

    def digest(self) -> int | None:
        """Return a digest of the domains that the store has, or None if they aren't known."""
        return digest(self.present()) if self.listed else None

    def expire(self, now: float) -> None:
        """End evacuations that a restored store has lacked for `MISSING_GRACE_SECONDS`."""
        self.missing_since = {
            domain: since
            for domain, since in self.missing_since.items()
            if since is None or now - since < MISSING_GRACE_SECONDS
        }

    def state(self, now: float) -> EvacuationState | None:
        """Return what other routers need, or None if nothing is known yet."""
        if not self.listed:
            return None
        missing = [
            MissingEvacuation(domain, now - since)
            for domain, since in sorted(self.missing_since.items())
            if since is not None
        ]
        return EvacuationState(sorted(self.present()), self.latest, self.as_of, missing)


def remaining_load_multiple(load_multiple: float, evacuated: int, total: int) -> float:
    """Return the limit on an endpoint's load as a multiple of the mean of those that are left.

    The limit is stated for the mean of a service, which may count evacuated endpoints. It is met
    for that mean too unless so many are evacuated that even equal loads exceed it.

    :param load_multiple: limit as a multiple of the mean of all endpoints of the service.
    :param evacuated: number of evacuated endpoints.
    :param total: number of all endpoints.
    """
    if not evacuated:
        return load_multiple
    return max(1.0, load_multiple * (total - evacuated) / total)


@dataclass(slots=True)
class OwnWatch:
    """Decides whether a router watches the evacuations although others watch the store.

    It does where none of these knows of evacuations, as during an update of the routers. Without
    this rule such a router would never be ready.

    :param share: random number from 0 to 1, which spreads the times at which routers begin.
    :ivar uninformed_since: monotonic time since which only routers that don't know the evacuations
        have watched the store, or None.
    """

    share: float
    uninformed_since: float | None = None

    def needed(self, watchers: list[Position], router_count: int, now: float) -> bool:
        """Return whether this router watches the evacuations itself.

        :param watchers: position of the latest known evacuation at each other router that watches
            the store.
        :param router_count: number of other routers.
        """
        if not watchers or any(position > UNKNOWN for position in watchers):
            self.uninformed_since = None
            return False
        if self.uninformed_since is None:
            self.uninformed_since = now
        delay = OWN_WATCH_SECONDS + self.share * OWN_WATCH_SECONDS_PER_ROUTER * router_count
        return now - self.uninformed_since >= delay
