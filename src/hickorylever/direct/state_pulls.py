"""Pulls of the store's state between routers, over HTTP on request."""

import time
import zlib
from urllib.parse import parse_qs

import curio
import msgspec

from ..decoding import DECODE_ERRORS
from ..events import Event, log
from ..exceptions import (
    PROBLEM_TYPES,
    ConnectionLost,
    ContentError,
    Kind,
    RequestError,
)
from ..http import Client, Exchange, Server
from .cache_listing import CACHES_PATH
from .compression import decompress
from .evacuations import EvacuationState
from .peer_protocol import LeavingUpdate, SuspectUpdate
from .peer_table import Peer
from .position import NOTHING_KNOWN, UNKNOWN, KnownState, Position, parse_position
from .records import StoredObject
from .versions import VersionUpdate

STATE_PATH = "/state"
STATE_PULL_TIMEOUT_SECONDS = 1.0
STATE_PULL_DELAY_SECONDS = 0.5  # Gives this router's own watch time to deliver the change.
STATE_PULL_INTERVAL_SECONDS = 0.1  # Between the starts of two pulls.


def state_target(known: KnownState) -> str:
    """Return the request target that asks for what a router lacks."""
    query = f"configuration={known.configuration}&version={known.version}"
    return f"{STATE_PATH}?{query}&endpoints={known.endpoints}&evacuations={known.evacuations}"


def parse_known_state(query: str) -> KnownState:
    """Return the state that a request target's query describes.

    :raises ContentError: if the query is malformed.
    """
    values = {key: entries[0] for key, entries in parse_qs(query).items()}
    version = values.get("version", "")
    if not version.isdecimal():
        raise ContentError(f"invalid version {version!r}")
    return KnownState(
        parse_position(values.get("configuration", "")),
        int(version),
        parse_position(values.get("endpoints", "")),
        parse_position(values.get("evacuations", str(UNKNOWN))),
    )


class State(msgspec.Struct, array_like=True):
    """A router's state of the store, as sent to another router.

    :param configuration: the operator's object, or None when the asking router has it.
    :param configuration_seen: latest known position of that object.
    :param endpoints: all entries, or the changes that the asking router lacks.
    :param latest: latest known position of an entry or of the removal of one.
    :param complete: whether `endpoints` holds all entries.
    :param cached_parts: size in tokens of each prompt part that an endpoint has cached, by
        endpoint and part; only sent with all entries, to a router that starts.
    :param leaving_endpoints: endpoints that said that they shut down.
    :param suspects: causes in quarantine.
    :param versions: software versions that services have had lately.
    :param versions_complete: whether the sender knows all of them.
    :param caches_known: whether `cached_parts` holds what engines had cached before the sender
        started, too.
    :param evacuations: what the sender knows of evacuations; None for nothing.
    """

    configuration: StoredObject | None
    configuration_seen: Position
    endpoints: list[StoredObject]
    latest: Position
    complete: bool
    cached_parts: dict[str, dict[str, int]] = {}
    leaving_endpoints: list[LeavingUpdate] = []
    suspects: list[SuspectUpdate] = []
    versions: list[VersionUpdate] = []
    versions_complete: bool = False
    caches_known: bool = False
    evacuations: EvacuationState | None = None


class StatePulls:
    """Pulls state from routers with later positions, and answers the pulls of others.

    :param node: the components of this router.
    :param domain_hash: hash of the name of its failure domain.
    :param watching: returns whether this router watches the store.
    :ivar behind_since: since when another router has been ahead in monotonic seconds, or None.
    :ivar next_pull: earliest start of the next pull in monotonic seconds.
    :ivar synced: whether a pull has succeeded since the start.
    :ivar pulling: whether a pull is running.
    :ivar compressed_state: hash of the latest content with a configuration, and its compression.
    """

    def __init__(self, node, domain_hash: int, watching):
        self.node = node
        self.watching = watching
        self.client = Client()
        self.server = Server(self.handle, respond_error)
        self.behind_since: float | None = None
        self.next_pull = 0.0
        self.synced = False
        self.pulling = False
        self.domain_hash = domain_hash
        self.compressed_state: tuple[int | None, bytes] = (None, b"")

    async def catch_up(self, now: float, alive: list[Peer]) -> None:
        """Pull the store's state from a router with later positions than this one's."""
        node = self.node
        if alive and not self.synced and now >= self.next_pull:
            await self.start_pull(alive, NOTHING_KNOWN)
            return
        known = node.known_state()
        ahead = [peer for peer in alive if node.lacks(peer.known)]
        if not ahead:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        delay = STATE_PULL_DELAY_SECONDS if self.watching() else 0.0
        if now - self.behind_since < delay or now < self.next_pull:
            return
        await self.start_pull(ahead, known)

    def choose_peer(self, peers: list[Peer]) -> str:
        """Return the address of a random router, preferring those of the same failure domain."""
        near = [peer for peer in peers if peer.domain_hash == self.domain_hash]
        return self.node.rng.choice(near or peers).address

    async def pull(self, address: str, known: KnownState) -> None:
        """Fetch the state of a router that is later than the known one."""
        try:
            async with curio.timeout_after(STATE_PULL_TIMEOUT_SECONDS):
                status, _, body = await self.client.fetch(
                    address, self.node.settings.peer_port, "GET", state_target(known)
                )
            if status != 200:
                raise ConnectionLost(f"status {status}")
            self.apply_state(address, msgspec.msgpack.decode(decompress(body), type=State))
            self.synced = True
        except (ConnectionLost, curio.TaskTimeout, ContentError, *DECODE_ERRORS) as error:
            log(Event.SOURCE_FAILED, repr(error), peer=address)
        finally:
            self.pulling = False

    def apply_state(self, address: str, state: State) -> None:
        """Apply the parts of another router's state that are later than this router's."""
        node = self.node
        node.evacuations.apply_state(state.evacuations)
        if state.configuration is not None:
            node.apply_stored_configuration(state.configuration, state.configuration_seen)
        node.apply_peer_endpoints(state.endpoints, state.latest, state.complete)
        for update in state.leaving_endpoints:
            node.directory.mark_leaving(update, time.monotonic())
        node.directory.add_cached_parts(state.cached_parts)
        if state.caches_known:
            node.peer_sync.caches.plan.finish()
        node.quarantine.apply_suspects(state.suspects, time.monotonic())
        node.directory.versions.add(state.versions, time.monotonic())
        if state.versions_complete:
            node.directory.versions.complete = True
            node.directory.versions.started_at = None
        log(
            Event.STATE_PULLED,
            address,
            configuration=str(state.configuration_seen) if state.configuration else "",
            endpoints=len(state.endpoints),
            newest=str(state.latest),
            complete=state.complete,
        )

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request for the state that the asking router lacks.

        :raises RequestError: when the path is unknown, the query is malformed or the endpoints
            have not been listed yet.
        """
        if exchange.path == CACHES_PATH:
            await self.node.peer_sync.caches.handle(exchange)
            return
        if exchange.path != STATE_PATH:
            raise RequestError(Kind.NOT_FOUND)
        if not self.node.endpoints_listed:
            raise RequestError(Kind.NOT_READY)
        try:
            known = parse_known_state(exchange.query)
        except ContentError as error:
            raise RequestError(Kind.BAD_REQUEST, str(error)) from None
        state = self.state(known)
        content = msgspec.msgpack.encode(state)
        if state.configuration is not None:
            content = self.compress_state(content)
        else:
            content = zlib.compress(content, 1)
        await exchange.respond(200, body=content)

    def state(self, known: KnownState) -> State:
        """Return the state that another router lacks.

        :param known: what the other router has.
        """
        node = self.node
        directory = node.directory
        stored = node.stored_configuration
        if node.configuration_state.order <= known.configuration_order:
            stored = None
        starting = known.endpoints == UNKNOWN
        changes = None if starting else directory.changes_since(known.endpoints)
        complete = changes is None
        return State(
            configuration=stored,
            configuration_seen=node.configuration_state.seen,
            endpoints=directory.stored_objects() if complete else changes,
            latest=directory.latest,
            complete=complete,
            cached_parts=directory.cached_parts() if complete else {},
            leaving_endpoints=directory.leaving_updates(),
            suspects=node.quarantine.suspect_updates(time.monotonic()),
            versions=directory.versions.updates(time.monotonic()),
            versions_complete=directory.versions.knows_all_services(time.monotonic()),
            caches_known=complete and node.peer_sync.caches.plan.complete,
            evacuations=node.evacuations.state(),
        )

    def compress_state(self, content: bytes) -> bytes:
        """Return compressed content.

        The last result is cached, since content with a configuration is large and rarely changes.
        """
        key = hash(content)
        if self.compressed_state[0] != key:
            self.compressed_state = key, zlib.compress(content)
        return self.compressed_state[1]

    async def start_pull(self, peers: list[Peer], known: KnownState) -> None:
        """Start a pull in its own task unless one is running.

        A separate task keeps the pull from delaying datagrams.
        """
        self.next_pull = time.monotonic() + STATE_PULL_INTERVAL_SECONDS
        if not self.pulling:
            self.pulling = True
            address = self.choose_peer(peers)
            await curio.spawn(self.pull, address, known, daemon=True)


async def respond_error(exchange: Exchange, error: RequestError) -> None:
    """Answer a request that failed with the status of its error."""
    await exchange.respond(PROBLEM_TYPES[error.kind].status, body=error.kind.value.encode())
