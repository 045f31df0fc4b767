"""The endpoints that a router knows, by name and by service."""

from collections.abc import Iterable

from ..exceptions import ContentError
from .change_log import ChangeLog, entries_digest
from .cold_start import ColdStarts
from .departures import Departures
from .endpoints import Endpoint
from .hashes import name_hash
from .membership import Membership
from .peer_protocol import LeavingUpdate
from .pool import Pool
from .position import UNKNOWN, Position
from .records import EndpointEntry, EntriesAnswer, Listing, PromptPart, StoredObject
from .versions import VersionHistory

MISSING_GRACE_SECONDS = 2.0  # Time to write an entry again that the store lost or let expire.
REVIVAL_MARGIN_SECONDS = 1.0  # Added to the time after which the store removes an entry.


class Directory:
    """The known endpoints, by name and by service. Times are monotonic seconds.

    :param decode: returns the entry for an object's name and spec, or raises
        :exc:`ContentError`.
    :param reject: called with the error of an entry that can't be decoded.
    :param entry_lifetime: seconds after which the store removes an entry that is not renewed.
    :param on_new_version: called with the hash of the name of an endpoint that has started again
        with another software version, and its start as Unix time in milliseconds.
    :param cold_starts: limits of cold endpoints; none by default.
    :param on_new_endpoint: called with an endpoint that has just become known, and the time.
    :ivar endpoints: endpoints by name.
    :ivar pools: endpoints by service, sorted by name.
    :ivar by_hash: endpoints by the hash of their name.
    :ivar objects: objects of the store that the entries were decoded from, by name.
    :ivar log: latest changes, and the positions up to which they are known.
    :ivar digest: of the entries, without missing ones. Routers that know the same have the same.
    :ivar departures: endpoints that have left or are about to.
    :ivar versions: versions of the endpoints' software.
    :ivar evacuated_domains: failure domains whose endpoints get nothing new.
    """

    def __init__(
        self,
        decode,
        reject=lambda error: None,
        entry_lifetime: float = 0.0,
        on_new_version=lambda key, started_ms: None,
        cold_starts: ColdStarts | None = None,
        on_new_endpoint=lambda endpoint, now: None,
    ):
        self.decode = decode
        self.reject = reject
        self.entry_lifetime = entry_lifetime
        self.on_new_version = on_new_version
        self.cold_starts = cold_starts or ColdStarts(Membership(""))
        self.on_new_endpoint = on_new_endpoint
        self.endpoints: dict[str, Endpoint] = {}
        self.pools: dict[str, Pool] = {}
        self.by_hash: dict[int, Endpoint] = {}
        self.objects: dict[str, StoredObject] = {}
        self.log = ChangeLog()
        self.digest = entries_digest(())
        self.departures = Departures()
        self.versions = VersionHistory()
        self.evacuated_domains: frozenset[str] = frozenset()

    @property
    def latest(self) -> Position:
        """Return the position of the latest known change of an entry or removal of one."""
        return self.log.latest

    def pool(self, service: str) -> Pool:
        """Return the endpoints of a service, sorted by name."""
        return self.pools.get(service) or Pool()

    def endpoints_of_version(self, service: str, version: str | None) -> list[Endpoint]:
        """Return the endpoints of a service with a software version, or all for None."""
        pool = self.pool(service)
        if version is None:
            return pool
        return [endpoint for endpoint in pool if endpoint.entry.version == version]

    def apply_listing(self, listing: Listing, now: float, keep_missing: bool) -> None:
        """Replace all entries, unless later ones are known.

        A restored store lacks what was written after the copy was made. Endpoints that are missing
        from the first list of an era are therefore kept as after an outage.

        The list does not say when a missing entry was removed. The position of the list is
        announced, so that other routers learn of the removal.

        :param keep_missing: whether endpoints missing from the list stay for
            `MISSING_GRACE_SECONDS`, since their entries may have expired during an outage of the
            store.
        """
        position = listing.position
        if position < self.log.as_of:
            return
        restored = position.era > self.log.as_of.era
        present = {entry.name for entry in listing.objects}
        for entry in listing.objects:
            self.apply(entry, now)
        missing = [name for name in self.endpoints if name not in present]
        for name in missing:
            self.mark_missing(name, now, keep_missing or restored, position.era)
        self.rebuild_indexes(now)
        self.log.restart(position, self.digest)
        newest = max((entry.position for entry in listing.objects), default=UNKNOWN)
        changed_at = position if missing else max(newest, Position(position.era, 0))
        self.log.announce(min(changed_at, position))

    def apply_changes(
        self, objects: Iterable[StoredObject], position: Position, now: float
    ) -> None:
        """Apply changes, oldest first, unless all of them are known.

        :param objects: all changes between a position that is known and `position`.
        :param position: of the store after the changes.
        """
        if position <= self.log.as_of:
            return
        changes = [change for change in objects if change.position > self.log.as_of]
        for change in changes:
            if self.is_superseded(change):
                continue
            if change.deleted:
                self.remove(change.name, now, change.position.era)
            else:
                self.apply(change, now)
        self.rebuild_indexes(now)
        self.log.extend(changes, position)

    def apply_answer(self, answer: EntriesAnswer, now: float) -> None:
        """Apply what another router knows, unless this router knows as much.

        One that announces a later change, or has other entries, and knows an earlier state of the
        store has missed a removal. This router then announces its own state as the latest change.
        """
        if answer.as_of <= self.log.as_of:
            agreed = answer.digest in (None, self.digest)
            self.log.announce(min(answer.latest, self.log.as_of) if agreed else self.log.as_of)
            return
        if answer.complete:
            listing = Listing(answer.objects, answer.as_of)
            self.apply_listing(listing, now, keep_missing=True)
        else:
            if answer.since > self.log.as_of:
                if answer.asked_digest != self.digest:
                    return  # What was asked about has changed meanwhile.
                self.log.restart(answer.since, self.digest)
            self.apply_changes(answer.objects, answer.as_of, now)
        self.log.announce(min(answer.latest, answer.as_of))

    def is_superseded(self, change: StoredObject) -> bool:
        """Return whether a later state of a change's object is known.

        A list of several pages may hold entries that are later than its position.
        """
        known = self.objects.get(change.name)
        return known is not None and change.position < known.position

    def apply(self, stored: StoredObject, now: float) -> None:
        """Add or update one endpoint; one whose entry can't be decoded is removed."""
        try:
            entry = self.decode(stored.name, stored.spec)
        except ContentError as error:
            self.reject(error)
            self.remove(stored.name, now, stored.position.era)
            return
        previous = self.objects.get(stored.name)
        endpoint = self.endpoints.get(entry.name)
        if endpoint is not None and self.is_outdated(stored, entry, endpoint.entry):
            endpoint.missing_since = None
            return
        self.objects[stored.name] = stored
        if endpoint is not None and endpoint.entry.version != entry.version:
            self.on_new_version(name_hash(entry.name), entry.started_ms)
        if endpoint is None or endpoint.entry.incarnation != entry.incarnation:
            endpoint = self.add_incarnation(entry, endpoint, stored.position.era, now)
            previous = stored
        endpoint.entry = entry
        endpoint.evacuated = entry.failure_domain in self.evacuated_domains
        endpoint.missing_since = None
        if is_newer(stored, previous):
            self.cold_starts.record_entry(endpoint, now)
        if entry.draining and entry.started_ms:
            key = name_hash(entry.name)
            self.departures.record_leaving(key, entry.started_ms, stored.position.era, now)
            endpoint.leaving = True

    def add_incarnation(
        self, entry: EndpointEntry, former: Endpoint | None, era: int, now: float
    ) -> Endpoint:
        """Add an endpoint that has just become known or has started again, and return it.

        :param former: its former incarnation, or None.
        :param era: that of the position of its entry.
        """
        endpoint = self.endpoints[entry.name] = self.create(entry, era, now)
        endpoint.warm_at = now + entry.warmup_left
        # Holds until an answer of the new incarnation says otherwise. Without it, an endpoint
        # that restarts gets a burst of requests where few others are left.
        endpoint.rate_limit = former.rate_limit if former else None
        self.cold_starts.replace(former, endpoint, now)
        self.on_new_endpoint(endpoint, now)
        return endpoint

    def update_cold_starts(self, now: float) -> None:
        """Give all endpoints the limits of their services."""
        for endpoint in self.endpoints.values():
            self.cold_starts.update(endpoint, now)

    def is_outdated(
        self, stored: StoredObject, entry: EndpointEntry, known: EndpointEntry
    ) -> bool:
        """Return whether a restored store holds the entry of an endpoint's former process.

        The endpoint writes its own entry again. The former one may name another software version.
        """
        era = self.objects[stored.name].position.era
        return stored.position.era > era and 0 < entry.started_ms < known.started_ms

    def create(self, entry: EndpointEntry, era: int, now: float) -> Endpoint:
        """Return a new endpoint, with what is known of the departure of its incarnation.

        An entry that was removed and that a restored store holds again may be that of an endpoint
        which is gone. It is used once the store would have removed it.
        """
        key = name_hash(entry.name)
        endpoint = Endpoint(entry, known_since=now)
        endpoint.leaving = self.departures.is_leaving(key, entry.started_ms)
        if self.departures.was_removed_before(key, entry.started_ms, era):
            endpoint.paused_until = now + self.entry_lifetime + REVIVAL_MARGIN_SECONDS
        return endpoint

    def mark_leaving(self, update: LeavingUpdate, now: float) -> None:
        """Record that an endpoint shuts down."""
        endpoint = self.by_hash.get(update.endpoint)
        if endpoint is not None and endpoint.entry.started_ms == update.started_ms:
            endpoint.leaving = True
        self.departures.record_leaving(update.endpoint, update.started_ms, self.log.as_of.era, now)

    def leaving_updates(self) -> list[LeavingUpdate]:
        """Return the endpoints that said that they shut down, for other routers."""
        return [LeavingUpdate(*departure) for departure in self.departures.leaving()]

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Set the failure domains whose endpoints get nothing new."""
        self.evacuated_domains = domains
        for endpoint in self.endpoints.values():
            endpoint.evacuated = endpoint.entry.failure_domain in domains

    def mark_missing(self, name: str, now: float, keep_missing: bool, era: int) -> None:
        """Remove an endpoint that a list lacks, or mark it as missing when `keep_missing`.

        One that is already missing stays until `MISSING_GRACE_SECONDS` have passed.

        :param era: of the list.
        """
        endpoint = self.endpoints[name]
        if endpoint.missing_since is not None:
            return
        if keep_missing:
            endpoint.missing_since = now
        else:
            self.remove(name, now, era)

    def remove(self, name: str, now: float, era: int) -> None:
        """Remove an endpoint.

        :param era: of the store in which its entry is gone.
        """
        endpoint = self.endpoints.pop(name, None)
        self.objects.pop(name, None)
        if endpoint is not None:
            started_ms = endpoint.entry.started_ms
            self.departures.record_removal(name_hash(name), started_ms, era, now)

    def cached_parts(self) -> dict[str, dict[str, int]]:
        """Return the size in tokens of recently cached prompt parts, by endpoint and part."""
        return {
            name: endpoint.prompt_cache.latest_parts() for name, endpoint in self.endpoints.items()
        }

    def add_cached_parts(self, cached: dict[str, dict[str, int]]) -> None:
        """Add cached prompt parts that another router knows of."""
        for name, parts in cached.items():
            endpoint = self.endpoints.get(name)
            if endpoint is not None:
                endpoint.prompt_cache.add(
                    [PromptPart(part, tokens) for part, tokens in parts.items()], 0
                )

    def stored_objects(self) -> list[StoredObject]:
        """Return the store's objects of all endpoints, except for missing ones.

        Another router that knows a missing one keeps it for `MISSING_GRACE_SECONDS` itself.
        """
        return [
            stored
            for name, stored in self.objects.items()
            if self.endpoints[name].missing_since is None
        ]

    def remove_router_loads(self, router: str) -> None:
        """Remove all loads of a router that left or restarted."""
        for endpoint in self.endpoints.values():
            endpoint.remove_peer_load(router)

    def expire(self, now: float) -> None:
        """Remove expired loads, and endpoints that are missing for `MISSING_GRACE_SECONDS`."""
        self.departures.expire(now)
        self.versions.expire(now)
        for endpoint in self.endpoints.values():
            endpoint.expire_loads(now)
        overdue = [
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.missing_since is not None
            and now - endpoint.missing_since >= MISSING_GRACE_SECONDS
        ]
        for name in overdue:
            self.remove(name, now, self.log.as_of.era)
        if overdue:
            self.rebuild_indexes(now)

    def rebuild_indexes(self, now: float) -> None:
        """Rebuild the indexes by service and by hash, and the digest."""
        by_service: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            by_service.setdefault(endpoint.entry.service, []).append(endpoint)
        self.pools = {
            service: Pool(endpoints, self.pools.get(service))
            for service, endpoints in by_service.items()
        }
        self.by_hash = {name_hash(name): endpoint for name, endpoint in self.endpoints.items()}
        present = {
            service: frozenset(endpoint.entry.version for endpoint in pool)
            for service, pool in self.pools.items()
        }
        self.versions.observe(present, now)
        self.digest = entries_digest(self.stored_objects())


def is_newer(stored: StoredObject, previous: StoredObject | None) -> bool:
    """Return whether an object is later than the previous one of its name, and differs from it.

    The same entry may be read again, in a list or from another router.

    :param previous: None if the object has just become known.
    """
    if previous is None:
        return True
    return stored.position > previous.position and stored.spec != previous.spec
