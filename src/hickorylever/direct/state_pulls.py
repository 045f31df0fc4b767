"""Pulls of the store's state between routers, over HTTP on request."""

import time
import zlib
from dataclasses import dataclass
from urllib.parse import parse_qs, urlencode

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
from .records import EntriesAnswer, StoredObject
from .versions import VersionUpdate

STATE_PATH = "/state"
STATE_PULL_TIMEOUT_SECONDS = 1.0
STATE_PULL_DELAY_SECONDS = 0.5  # Gives this router's own watch time to deliver the change.
STATE_PULL_INTERVAL_SECONDS = 0.1  # Between the starts of two pulls.
CONTRADICTION_SECONDS = 1.0  # Until, and between, pulls from routers that contradict this one.


@dataclass(frozen=True, slots=True)
class StateQuestion:
    """What a router that asks for state knows.

    :param as_of: position up to which it knows all changes of endpoints' entries.
    """

    known: KnownState
    as_of: Position

    def target(self) -> str:
        """Return the request target that asks for what the router lacks."""
        known = self.known
        query = {
            "configuration": known.configuration,
            "version": known.version,
            "endpoints": known.endpoints,
            "evacuations": known.evacuations,
            "as-of": self.as_of,
        }
        if known.endpoints_digest is not None:
            query["digest"] = known.endpoints_digest
        return f"{STATE_PATH}?{urlencode(query)}"


NOTHING_ASKED = StateQuestion(NOTHING_KNOWN, UNKNOWN)


def parse_question(query: str) -> StateQuestion:
    """Return the question that a request target's query describes.

    Routers of earlier releases name no `as-of`; it is then the latest change that they know.

    :raises ContentError: if the query is malformed.
    """
    values = {key: entries[0] for key, entries in parse_qs(query).items()}
    endpoints = values.get("endpoints", "")
    digest = values.get("digest")
    known = KnownState(
        parse_position(values.get("configuration", "")),
        parse_number(values.get("version", "")),
        parse_position(endpoints),
        parse_position(values.get("evacuations", str(UNKNOWN))),
        None if digest is None else parse_number(digest),
    )
    return StateQuestion(known, parse_position(values.get("as-of", endpoints)))


def parse_number(text: str) -> int:
    """Return the natural number that a string describes.

    :raises ContentError: if it is malformed.
    """
    if not text.isdecimal():
        raise ContentError(f"invalid number {text!r}")
    return int(text)


class State(msgspec.Struct, array_like=True):
    """A router's state of the store, as sent to another router.

    :param configuration: the operator's object, or None when the asking router has it.
    :param configuration_seen: latest known position of that object.
    :param endpoints: all entries, or the changes that the asking router lacks.
    :param latest: position of the latest known change of an entry or removal of one.
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
    :param as_of: position up to which the sender knows all changes of entries; None, from a router
        of an earlier release, stands for `latest`.
    :param since: position of the entries that the changes start from.
    :param digest: of the sender's entries.
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
    as_of: Position | None = None
    since: Position = UNKNOWN
    digest: int | None = None

    def entries(self, asked: StateQuestion) -> EntriesAnswer:
        """Return what the sender says of endpoints' entries, as an answer to a question."""
        return EntriesAnswer(
            tuple(self.endpoints),
            self.complete,
            self.latest if self.as_of is None else self.as_of,
            self.latest,
            self.since,
            self.digest,
            asked.known.endpoints_digest,
        )


class StatePulls:
    """Pulls state from routers with later positions, and answers the pulls of others.

    :param node: the components of this router.
    :param domain_hash: hash of the name of its failure domain.
    :param watching: returns whether this router watches the store.
    :ivar behind_since: since when another router has been ahead in monotonic seconds, or None.
    :ivar contradicted_since: since when routers as recent as this one have had other objects, or
        since the latest pull from one of them, in monotonic seconds; None if none has.
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
        self.contradicted_since: float | None = None
        self.next_pull = 0.0
        self.synced = False
        self.pulling = False
        self.domain_hash = domain_hash
        self.compressed_state: tuple[int | None, bytes] = (None, b"")

    async def catch_up(self, now: float, alive: list[Peer]) -> None:
        """Pull the store's state from a router with later positions than this one's."""
        if alive and not self.synced and now >= self.next_pull:
            await self.start_pull(alive, NOTHING_ASKED)
            return
        ahead = [peer for peer in alive if self.node.lacks(peer.known)]
        if not ahead:
            self.behind_since = None
            await self.settle_contradictions(now, alive)
            return
        if self.behind_since is None:
            self.behind_since = now
        delay = STATE_PULL_DELAY_SECONDS if self.watching() else 0.0
        if now - self.behind_since < delay or now < self.next_pull:
            return
        await self.start_pull(ahead, self.question())

    async def settle_contradictions(self, now: float, alive: list[Peer]) -> None:
        """Pull from a router whose entries or evacuations differ as of the same latest change.

        The one that knows the later state of the store then prevails.
        """
        known = self.node.known_state()
        others = [peer for peer in alive if known.contradicts(peer.known)]
        if not others or self.contradicted_since is None:
            self.contradicted_since = now if others else None
            return
        if now - self.contradicted_since >= CONTRADICTION_SECONDS and now >= self.next_pull:
            self.contradicted_since = now
            await self.start_pull(others, self.question())

    def question(self) -> StateQuestion:
        """Return the question for what this router lacks."""
        return StateQuestion(self.node.known_state(), self.node.directory.log.as_of)

    def choose_peer(self, peers: list[Peer]) -> str:
        """Return the address of a random router, preferring those of the same failure domain."""
        near = [peer for peer in peers if peer.domain_hash == self.domain_hash]
        return self.node.rng.choice(near or peers).address

    async def pull(self, address: str, question: StateQuestion) -> None:
        """Fetch the state of another router, and apply what is later."""
        try:
            async with curio.timeout_after(STATE_PULL_TIMEOUT_SECONDS):
                status, _, body = await self.client.fetch(
                    address, self.node.settings.peer_port, "GET", question.target()
                )
            if status != 200:
                raise ConnectionLost(f"status {status}")
            state = msgspec.msgpack.decode(decompress(body), type=State)
            self.apply_state(address, state, question)
            self.synced = True
        except (ConnectionLost, curio.TaskTimeout, ContentError, *DECODE_ERRORS) as error:
            log(Event.SOURCE_FAILED, repr(error), peer=address)
        finally:
            self.pulling = False

    def apply_state(self, address: str, state: State, asked: StateQuestion) -> None:
        """Apply the parts of another router's state that are later than this router's."""
        node = self.node
        node.evacuations.apply_state(state.evacuations)
        if state.configuration is not None:
            node.apply_stored_configuration(state.configuration, state.configuration_seen)
        node.apply_peer_endpoints(state.entries(asked))
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
            asked=str(asked.as_of),
            since=str(state.since),
            as_of=str(state.as_of),
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
            question = parse_question(exchange.query)
        except ContentError as error:
            raise RequestError(Kind.BAD_REQUEST, str(error)) from None
        state = self.state(question)
        content = msgspec.msgpack.encode(state)
        if state.configuration is not None:
            content = self.compress_state(content)
        else:
            content = zlib.compress(content, 1)
        await exchange.respond(200, body=content)

    def state(self, question: StateQuestion) -> State:
        """Return the state that another router lacks."""
        node = self.node
        directory = node.directory
        stored = node.stored_configuration
        if node.configuration_state.order <= question.known.configuration_order:
            stored = None
        lacking = None
        if question.as_of != UNKNOWN:
            digest = question.known.endpoints_digest
            lacking = directory.log.changes_since(question.as_of, digest)
        complete = lacking is None
        return State(
            configuration=stored,
            configuration_seen=node.configuration_state.seen,
            endpoints=directory.stored_objects() if complete else list(lacking.changes),
            latest=directory.latest,
            complete=complete,
            cached_parts=directory.cached_parts() if complete else {},
            leaving_endpoints=directory.leaving_updates(),
            suspects=node.quarantine.suspect_updates(time.monotonic()),
            versions=directory.versions.updates(time.monotonic()),
            versions_complete=directory.versions.knows_all_services(time.monotonic()),
            caches_known=complete and node.peer_sync.caches.plan.complete,
            evacuations=node.evacuations.state(),
            as_of=directory.log.as_of,
            since=UNKNOWN if complete else lacking.since,
            digest=directory.digest,
        )

    def compress_state(self, content: bytes) -> bytes:
        """Return compressed content.

        The last result is cached, since content with a configuration is large and rarely changes.
        """
        key = hash(content)
        if self.compressed_state[0] != key:
            self.compressed_state = key, zlib.compress(content)
        return self.compressed_state[1]

    async def start_pull(self, peers: list[Peer], question: StateQuestion) -> None:
        """Start a pull in its own task unless one is running.

        A separate task keeps the pull from delaying datagrams.
        """
        self.next_pull = time.monotonic() + STATE_PULL_INTERVAL_SECONDS
        if not self.pulling:
            self.pulling = True
            address = self.choose_peer(peers)
            await curio.spawn(self.pull, address, question, daemon=True)


async def respond_error(exchange: Exchange, error: RequestError) -> None:
    """Answer a request that failed with the status of its error."""
    await exchange.respond(PROBLEM_TYPES[error.kind].status, body=error.kind.value.encode())
