"""What routers that start find in the store.

These are the other routers, the causes in quarantine, and the software versions of all services.
"""

import contextlib
import time
from collections.abc import Iterable
from typing import TypeVar

import curio
import msgspec

from ..decoding import DECODE_ERRORS
from ..events import Event, log
from ..exceptions import Conflict, HickoryleverError
from .clocks import boot_time
from .hashes import name_hash
from .peer_protocol import SuspectUpdate
from .records import StoredObject
from .versions import VersionUpdate

REGISTER_RETRY_SECONDS = 1.0
# Validity of what the store said of versions. With `peer_table.WATCHING_LIFETIME_SECONDS`, after
# which another router writes a new version to it, it must stay below `versions.SETTLE_SECONDS`.
CONFIRMATION_SECONDS = 0.5
CONFIRMATION_TIMEOUT_SECONDS = 0.3  # A caller waits for it.
FACTS_POLL_SECONDS = 0.1  # Between checks whether facts have changed.
FACT_ERRORS = (*DECODE_ERRORS, KeyError, TypeError)


class Registration:
    """Keeps the object of this router and those of facts that all routers know in the store.

    Facts are kept there so that they survive the end of all routers. Their objects are of the same
    kind as those of routers, as starting routers list that kind anyway.

    :param node: the components of this router.
    :param peers: table that the routers found in the store are added to.
    :param rank: rank of this router; that with the lowest one of those that watch the store
        writes the facts.
    :ivar era: of the store that this router was last registered in.
    :ivar stored: names of the facts' objects that this router found in the store or wrote there.
    :ivar known: names of the facts' objects that the store may hold, whoever wrote them.
    :ivar asked_at: when the store was last asked to confirm the versions, by :func:`.boot_time`,
        or None.
    :ivar confirmed: whether it answered then.
    :ivar confirming: held while it is asked.
    """

    def __init__(self, node, peers, rank: int):
        self.node = node
        self.peers = peers
        self.rank = rank
        self.era = 0
        self.stored: set[str] = set()
        self.known: set[str] = set()
        self.asked_at: float | None = None
        self.confirmed = False
        self.confirming = curio.Lock()

    async def run(self) -> None:
        """Keep this router registered in the store, and the facts stored, until cancelled."""
        await self.register()
        async with curio.TaskGroup() as group:
            await group.spawn(self.register_again)
            await group.spawn(self.keep_facts)

    async def register(self) -> None:
        """Register this router's address in the store, then list the other routers once.

        Retries until both calls succeed.
        """
        node = self.node
        created = False
        while True:
            try:
                if not created:
                    await self.create()
                    created = True
                # Listing after the write ensures that of two routers which start together at
                # least one sees the other.
                listing = await node.store.list_kind(node.codec.ROUTERS)
                addresses = list(map(parse_router_address, listing.objects))
                self.peers.add_addresses(addresses, time.monotonic())
                await node.peer_sync.streams.records.load(listing.objects, time.monotonic())
                node.membership.record_listed(addresses, time.monotonic())
                log(Event.COLD_SHARES, "routers listed", count=node.membership.count)
                self.apply_facts(listing.objects)
                return
            except HickoryleverError as error:
                log_failure(error)
                await curio.sleep(self.retry_delay())

    def apply_facts(self, objects: Iterable[StoredObject]) -> None:
        """Apply the facts that the store holds.

        How old they are is not known here. They are taken to be new.
        """
        suspects = parse_facts(objects, SuspectUpdate)
        self.record_stored(suspects)
        self.node.quarantine.apply_suspects(list(suspects.values()), time.monotonic())
        versions = self.apply_versions(objects)
        self.node.directory.versions.inherited.update(update.service for update in versions)

    def apply_versions(self, objects: Iterable[StoredObject]) -> list[VersionUpdate]:
        """Apply and return the versions that the store holds, as :meth:`apply_facts` does."""
        versions = parse_facts(objects, VersionUpdate)
        self.record_stored(versions)
        updates = list(versions.values())
        history = self.node.directory.versions
        history.add(updates, time.monotonic())
        history.complete = True
        return updates

    async def confirm_versions(self) -> None:
        """Learn from the store of versions that this router has missed, unless it just has.

        Without it, a router that was cut off or stood still may believe that it is up to date.
        """
        node = self.node
        async with self.confirming:
            if self.asked_within(CONFIRMATION_SECONDS):
                return
            self.asked_at = boot_time()
            self.confirmed = False
            try:
                async with curio.timeout_after(CONFIRMATION_TIMEOUT_SECONDS):
                    listing = await node.store.list_kind(node.codec.ROUTERS)
            except (HickoryleverError, curio.TaskTimeout) as error:
                log(Event.STORE_LOST, repr(error), kind="versions", position="")
                return
            now = time.monotonic()
            await node.peer_sync.streams.records.load(listing.objects, now)
            versions = parse_facts(listing.objects, VersionUpdate)
            self.record_stored(versions)
            node.directory.versions.confirm(versions.values(), now)
            self.confirmed = True

    def asked_within(self, seconds: float) -> bool:
        """Return whether the store was asked to confirm the versions lately."""
        return self.asked_at is not None and boot_time() - self.asked_at <= seconds

    def is_confirmed(self) -> bool:
        """Return whether no stream can have begun at a version that this router doesn't know."""
        return self.confirmed and self.asked_within(CONFIRMATION_SECONDS)

    def record_stored(self, names: Iterable[str]) -> None:
        """Record the names of facts' objects that the store holds."""
        self.stored.update(names)
        self.known.update(names)

    async def create(self) -> None:
        """Create this router's object; an existing one is left unchanged."""
        node = self.node
        address = node.settings.address
        try:
            await node.store.create(
                node.codec.ROUTERS, router_object_name(address), {"address": address}
            )
        except Conflict:
            log(Event.PEER_HEARD, "the router's address is already registered", address=address)
        self.era = self.known_era()

    def known_era(self) -> int:
        """Return the latest era of the store that this router or another one has seen."""
        return max(self.node.store.era, self.node.directory.latest.era)

    async def register_again(self) -> None:
        """Register again whenever the store was restored, since the copy may lack the objects.

        The facts that were stored while this router was cut off are read as well.
        """
        node = self.node
        while True:
            await curio.sleep(self.retry_delay())
            try:
                if self.era != self.known_era():
                    self.stored.clear()
                    await self.create()
                if self.missed_versions():
                    listing = await node.store.list_kind(node.codec.ROUTERS)
                    await node.peer_sync.streams.records.load(listing.objects, time.monotonic())
                    self.apply_versions(listing.objects)
            except HickoryleverError as error:
                log_failure(error)

    async def keep_facts(self) -> None:
        """Write changes of the facts to the store until cancelled."""
        while True:
            try:
                await self.update_facts()
                await curio.sleep(FACTS_POLL_SECONDS)
            except HickoryleverError as error:
                log_failure(error)
                await curio.sleep(self.retry_delay())

    def retry_delay(self) -> float:
        """Return the seconds until the next try, which differ between routers."""
        return REGISTER_RETRY_SECONDS * (1 + self.node.rng.random())

    def missed_versions(self) -> bool:
        """Return whether versions of endpoints may have come and gone since the last list."""
        node = self.node
        now = time.monotonic()
        return not node.directory.versions.complete and node.resumption.is_current(now)

    def facts(self) -> dict[str, dict[str, object]]:
        """Return the content of the facts' objects, by name."""
        now = time.monotonic()
        node = self.node
        suspects = {
            suspect_object_name(update.cause): {"suspect": msgspec.to_builtins(update)}
            for update in node.quarantine.suspect_updates(now)
        }
        versions = {
            version_object_name(*key): {"version": list(key)}
            for key in node.directory.versions.all_possible(now)
        }
        return suspects | versions

    async def update_facts(self) -> None:
        """Bring the objects of facts up to date if this router is the one that writes them.

        Another one may have deleted the objects of facts that are past, or written those that this
        router has to delete.
        """
        facts = self.facts()
        self.stored &= facts.keys()
        self.known |= facts.keys()
        if self.node.peer_sync.watching() and self.peers.is_first(self.rank, time.monotonic()):
            await self.store_facts(facts)

    async def store_facts(self, facts: dict[str, dict[str, object]]) -> None:
        """Create the objects of facts and delete those of former ones."""
        node = self.node
        for name, spec in facts.items():
            if name not in self.stored and self.may_store(spec):
                with contextlib.suppress(Conflict):
                    await node.store.create(node.codec.ROUTERS, name, spec)
                self.stored.add(name)
        for name in self.known - facts.keys():
            await node.store.delete(node.codec.ROUTERS, name)
            self.known.discard(name)

    def may_store(self, spec: dict[str, object]) -> bool:
        """Return whether this router may create the object of a fact.

        A service's versions are stored only by routers that know all of them, since those that
        start take what they find for all there was.
        """
        if "version" not in spec:
            return True
        service, _ = spec["version"]
        return self.node.directory.versions.knows_all(service, time.monotonic())

    async def delete(self, address: str) -> None:
        """Delete the store's object of a router that has expired."""
        try:
            await self.node.store.delete(self.node.codec.ROUTERS, router_object_name(address))
            log(Event.OBJECTS_DELETED, f"router {address}", peer=address)
        except HickoryleverError as error:
            log_failure(error)


def log_failure(error: HickoryleverError) -> None:
    """Log a call of the store that failed."""
    log(Event.STORE_LOST, str(error), kind="routers", position="")


def router_object_name(address: str) -> str:
    """Return the name of a router's object in the store."""
    return address.replace(".", "-")


def suspect_object_name(cause: str) -> str:
    """Return the name of the object of a cause in quarantine."""
    return f"suspect-{name_hash(cause):08x}"


def version_object_name(service: str, version: str) -> str:
    """Return the name of the object of a version that endpoints of a service have."""
    return f"version-{name_hash(f'{service}/{version}'):08x}"


Fact = TypeVar("Fact", SuspectUpdate, VersionUpdate)
FACT_FIELDS = {SuspectUpdate: "suspect", VersionUpdate: "version"}


def parse_facts(objects: Iterable[StoredObject], kind: type[Fact]) -> dict[str, Fact]:
    """Return the facts of a kind by the name of their object; malformed ones are left out.

    The last field of a fact is its age, which objects don't hold.
    """
    facts = {}
    for stored in objects:
        with contextlib.suppress(*FACT_ERRORS):
            values = msgspec.json.decode(stored.spec)[FACT_FIELDS[kind]]
            facts[stored.name] = msgspec.convert(
                [*values[: len(kind.__struct_fields__) - 1], 0], kind
            )
    return facts


def parse_router_address(stored: StoredObject) -> str:
    """Return the IP address in a router's object, or an empty string when it is malformed."""
    try:
        return str(msgspec.json.decode(stored.spec)["address"])
    except FACT_ERRORS:
        return ""
