"""Which software versions the endpoints of each service have had lately.

A stream may go on only at the version that began it. Where a service can have had only one
version while the stream ran, that one began it, whichever router sent it there. All routers may
end at once and start again after a release: what their predecessors knew is then only in the
store, which names the versions of every service.
"""

from collections import Counter
from collections.abc import Iterable

import msgspec

STREAM_LIFETIME_SECONDS = 60.0  # Longer than a caller waits for a stream, tries included.
SETTLE_SECONDS = 2.5  # Longer than `peer_table.CONTACT_SECONDS`.


class VersionUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A version that endpoints of a service have had.

    :param age: seconds since the last of them was there.
    """

    service: str
    version: str
    age: int = 0


class VersionHistory:
    """The versions that may have begun streams which can still go on. Times are monotonic seconds.

    :ivar present: versions of the known endpoints, by service.
    :ivar appeared: when a version was first there beside others, by service and version.
    :ivar departed: when a version was last there, by service and version.
    :ivar complete: whether this router has learned what the others and the store know of the time
        before its start, and while it was cut off.
    :ivar started_at: when this router started, or None if it knows what there was before.
    :ivar inherited: services of which the store named the versions at the start. Nobody may know
        the versions that others had before.
    """

    def __init__(self):
        self.present: dict[str, frozenset[str]] = {}
        self.appeared: dict[tuple[str, str], float] = {}
        self.departed: dict[tuple[str, str], float] = {}
        self.complete = False
        self.started_at: float | None = 0.0
        self.inherited: set[str] = set()

    def knows_all(self, service: str, now: float) -> bool:
        """Return whether no other version than the known ones can have begun a stream."""
        if not self.complete:
            return False
        known_before = self.started_at is None or service in self.inherited
        return known_before or now - self.started_at > STREAM_LIFETIME_SECONDS

    def observe(self, present: dict[str, frozenset[str]], now: float) -> None:
        """Replace the versions of the known endpoints, by service."""
        for service, before in self.present.items():
            after = present.get(service, frozenset())
            self.departed |= {(service, version): now for version in before - after}
            self.appeared |= {(service, version): now for version in after - before}
        self.present = present

    def confirm(self, updates: Iterable[VersionUpdate], now: float) -> None:
        """Add the versions that the store holds, which are all that there have been.

        It does not say when they were last there. A router that has missed nothing knows this
        itself.
        """
        known = set(self.all_possible(now)) if self.complete else ()
        self.add(
            [update for update in updates if (update.service, update.version) not in known], now
        )
        self.complete = True

    def add(self, updates: Iterable[VersionUpdate], now: float) -> None:
        """Add versions that another router knows of, or that the store holds."""
        for update in updates:
            key = update.service, update.version
            at = now - max(0, update.age)
            self.departed[key] = max(at, self.departed.get(key, at))

    def unsettled(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that are too new for streams to begin there.

        Other routers have to learn of a version first, or to notice that they are cut off. They
        would take the versions that they know for the only ones.
        """
        return frozenset(
            version
            for (name, version), at in self.appeared.items()
            if name == service and now - at < SETTLE_SECONDS
        )

    def possible(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that may have begun a stream of a service."""
        return self.present.get(service, frozenset()) | {
            version
            for (name, version), at in self.departed.items()
            if name == service and now - at <= STREAM_LIFETIME_SECONDS
        }

    def incomplete_services(self, now: float) -> set[str]:
        """Return the services that may have had unknown versions."""
        return {service for service in self.present if not self.knows_all(service, now)}

    def knows_all_services(self, now: float) -> bool:
        """Return whether :meth:`knows_all` holds for all services."""
        return self.complete and not self.incomplete_services(now)

    def all_possible(self, now: float) -> list[tuple[str, str]]:
        """Return the services with each of their possible versions."""
        return [
            (service, version)
            for service in self.services()
            for version in sorted(self.possible(service, now))
        ]

    def services(self) -> list[str]:
        """Return the services that have or had versions, sorted."""
        return sorted({*self.present, *(service for service, _ in self.departed)})

    def updates(self, now: float) -> list[VersionUpdate]:
        """Return the versions of all services, for routers that start."""
        ages = {key: now - at for key, at in self.departed.items()}
        ages |= {
            (service, version): 0.0
            for service, versions in self.present.items()
            for version in versions
        }
        return [VersionUpdate(*key, int(age)) for key, age in ages.items()]

    def mixed(self, now: float) -> list[tuple[str, str]]:
        """Return the services with several possible versions, with each of these."""
        possible = self.all_possible(now)
        counts = Counter(service for service, _ in possible)
        return [(service, version) for service, version in possible if counts[service] > 1]

    def expire(self, now: float) -> None:
        """Forget the versions whose streams have all ended, and when settled ones appeared."""
        for key, at in list(self.departed.items()):
            if now - at > STREAM_LIFETIME_SECONDS:
                del self.departed[key]
        for key, at in list(self.appeared.items()):
            if now - at >= SETTLE_SECONDS:
                del self.appeared[key]
