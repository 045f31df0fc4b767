"""What routers that start find in the store: the other routers, and the causes in quarantine."""

import contextlib
import time
from collections.abc import Iterable

import curio
import msgspec

from ..events import Event, log
from ..exceptions import Conflict, HickoryleverError
from .peer_protocol import SuspectUpdate, name_hash
from .records import StoredObject

REGISTER_RETRY_SECONDS = 1.0


class Registration:
    """Keeps the object of this router and those of the causes in quarantine in the store.

    Causes in quarantine are kept there so that they survive the end of all routers. They are of
    the same kind as routers, as starting routers list that kind anyway.

    :param node: the components of this router.
    :param peers: table that the routers found in the store are added to.
    :param rank: rank of this router; the one with the lowest rank writes the causes.
    :ivar era: of the store that this router was last registered in.
    :ivar stored_causes: causes that this router found in the store or wrote there.
    :ivar known_causes: causes that the store may hold, whoever wrote them.
    """

    def __init__(self, node, peers, rank: int):
        self.node = node
        self.peers = peers
        self.rank = rank
        self.era = 0
        self.stored_causes: set[str] = set()
        self.known_causes: set[str] = set()

    async def run(self) -> None:
        """Keep this router registered in the store until cancelled."""
        await self.register()
        await self.register_again()

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
                addresses = map(parse_router_address, listing.objects)
                self.peers.add_addresses(addresses, time.monotonic())
                self.apply_stored_causes(listing.objects)
                return
            except HickoryleverError as error:
                log_failure(error)
                await curio.sleep(REGISTER_RETRY_SECONDS * (1 + node.rng.random()))

    def apply_stored_causes(self, objects: Iterable[StoredObject]) -> None:
        """Put the causes in quarantine that the store holds.

        The time of their latest crash is not known here and taken to be now.
        """
        updates = [update for update in map(parse_suspect, objects) if update is not None]
        self.stored_causes.update(update.cause for update in updates)
        self.known_causes |= self.stored_causes
        self.node.quarantine.apply_suspects(updates, time.monotonic())

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

        Changes of the quarantine are written to it as well.
        """
        node = self.node
        while True:
            await curio.sleep(REGISTER_RETRY_SECONDS * (1 + node.rng.random()))
            self.known_causes |= node.quarantine.tracker.quarantine
            try:
                if self.era != self.known_era():
                    self.stored_causes.clear()
                    await self.create()
                if self.peers.is_first(self.rank, time.monotonic()):
                    await self.store_quarantine()
            except HickoryleverError as error:
                log_failure(error)

    async def store_quarantine(self) -> None:
        """Create the objects of causes in quarantine and delete those of released ones.

        Another router may have written the latter before this one had the lowest rank.
        """
        node = self.node
        for update in node.quarantine.suspect_updates(time.monotonic()):
            if update.cause not in self.stored_causes:
                spec = {"suspect": msgspec.to_builtins(update)}
                with contextlib.suppress(Conflict):
                    await node.store.create(
                        node.codec.ROUTERS, suspect_object_name(update.cause), spec
                    )
                self.stored_causes.add(update.cause)
        for cause in self.known_causes - node.quarantine.tracker.quarantine:
            await node.store.delete(node.codec.ROUTERS, suspect_object_name(cause))
            self.known_causes.discard(cause)
            self.stored_causes.discard(cause)

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


def parse_suspect(stored: StoredObject) -> SuspectUpdate | None:
    """Return the cause in an object, or None when it holds none or is malformed."""
    try:
        suspect = msgspec.json.decode(stored.spec)["suspect"]
        return msgspec.convert([*suspect[:4], 0], SuspectUpdate)
    except (msgspec.DecodeError, msgspec.ValidationError, KeyError, TypeError):
        return None


def parse_router_address(stored: StoredObject) -> str:
    """Return the IP address in a router's object, or an empty string when it is malformed."""
    try:
        return str(msgspec.json.decode(stored.spec)["address"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""
