"""Routers among themselves: datagrams with news, and configurations on request."""

import time
import zlib
from urllib.parse import parse_qs

import curio
import msgspec
from curio import socket

from ..events import Event, log
from ..exceptions import (
    PROBLEM_TYPES,
    Conflict,
    ConnectionLost,
    HickoryleverError,
    Kind,
    RequestError,
)
from ..http import Client, Exchange, Server, listen
from .endpoints import PeerLoad
from .news import (
    FLUSH_INTERVAL,
    FLUSH_PER_PEER,
    Datagram,
    Outbox,
    Peer,
    Peers,
    decode,
    encode,
    follower_rank,
    short,
)
from .records import Part, StoredObject

TICK = 0.02  # Seconds.
DATAGRAM_BYTES = 65536
PULL_TIMEOUT = 1.0  # Seconds.
PULL_PAUSE = 0.5  # Seconds that the store gets to tell a follower the same itself.
PULL_INTERVAL = 0.1  # Seconds between two pulls.
REGISTER_PAUSE = 1.0  # Seconds.
ROUTERS_NAMED = 64
MALFORMED = (msgspec.DecodeError, TypeError, ValueError)


class Neighbours:
    """The socket, listener and tasks of a router's talk with the others.

    :param node: the router's parts.
    """

    def __init__(self, node):
        self.node = node
        self.peers = Peers(node.settings.address, time.monotonic())
        self.peers.learn(node.settings.seeds, time.monotonic())
        self.outbox = Outbox()
        self.incarnation = time.time_ns() // 1_000_000
        self.client = Client()
        self.server = Server(self.handle, refuse)
        self.sock = None
        self.behind_since: float | None = None
        self.next_pull = 0.0
        self.synced = False
        self.pulling = False
        self.domain = short(node.settings.failure_domain)
        self.rank = follower_rank(node.settings.address, node.settings.link_mbps)
        self.compressed: tuple[object, bytes] = (None, b"")

    async def run(self) -> None:
        """Talk until cancelled."""
        settings = self.node.settings
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((settings.address, settings.peer_port))
        async with self.sock, curio.TaskGroup(wait=None) as group:
            listener = listen(settings.address, settings.peer_port)
            await group.spawn(self.server.serve, listener)
            await group.spawn(self.receive)
            await group.spawn(self.register)
            while True:
                await self.tick()
                await curio.sleep(TICK)

    async def register(self) -> None:
        """Write this router's address into the store, and read the others' once."""
        node = self.node
        name = object_name(node.settings.address)
        spec = {"address": node.settings.address}
        created = False
        while True:
            try:
                if not created:
                    await self.create(name, spec)
                    created = True
                # Listed after the write: of two that start together, one at least sees the other.
                listing = await node.store.list_kind(node.codec.ROUTERS)
                self.peers.learn(filter(None, map(address_of, listing.objects)), time.monotonic())
                return
            except HickoryleverError as error:
                log(Event.STORE_LOST, str(error), kind="routers", revision=None)
                await curio.sleep(REGISTER_PAUSE * (1 + node.chance.random()))

    async def create(self, name: str, spec: dict) -> None:
        """Write this router's object unless an earlier run of it did."""
        try:
            await self.node.store.create(self.node.codec.ROUTERS, name, spec)
        except Conflict:
            log(Event.PEER_HEARD, "this router's address was registered before", address=name)

    async def tick(self) -> None:
        """Send what is due, greet who is away, and fetch what others know."""
        now = time.monotonic()
        alive = self.peers.alive(now)
        self.node.budget.router_count = len(self.peers.table) + 1
        interval = FLUSH_INTERVAL + FLUSH_PER_PEER * len(alive)
        if self.outbox.due(now, interval):
            loads, held, crashes = self.outbox.take(now)
            data = encode(self.datagram(loads=loads, held=held, crashes=crashes))
            for peer in alive:
                await self.send(data, peer.address)
        away = self.peers.away(now)
        if away:
            names = [peer.address for peer in alive][:ROUTERS_NAMED]
            data = encode(self.datagram(answer=True, routers=names))
            for peer in away:
                await self.send(data, peer.address)
        for address in self.peers.take_forgotten(self.rank, now):
            await curio.spawn(self.clean_up, address, daemon=True)
        await self.catch_up(now, alive)

    async def spawn_pull(self, peers: list[Peer], configuration: int, endpoints: int) -> None:
        """Pull in a task of its own, one at a time, so that datagrams go on meanwhile."""
        self.next_pull = time.monotonic() + PULL_INTERVAL
        if not self.pulling:
            self.pulling = True
            address = self.nearest(peers)
            await curio.spawn(self.pull, address, configuration, endpoints, daemon=True)

    async def clean_up(self, address: str) -> None:
        """Delete the object of a router that has not been heard of for long."""
        try:
            await self.node.store.delete(self.node.codec.ROUTERS, object_name(address))
            log(Event.OBJECTS_DELETED, f"router {address}", peer=address)
        except HickoryleverError as error:
            log(Event.STORE_LOST, str(error), kind="routers", revision=None)

    def datagram(self, **news) -> Datagram:
        """Return a datagram with this router's revisions."""
        node = self.node
        routes = node.routes
        return Datagram(
            self.incarnation,
            configuration=routes.configuration.revision if routes else 0,
            endpoints=node.directory.newest,
            domain=self.domain,
            rank=self.rank,
            following=self.following(),
            **news,
        )

    async def send(self, data: bytes, address: str) -> None:
        """Send one datagram; a full queue loses it."""
        try:
            self.sock._socket.sendto(data, (address, self.node.settings.peer_port))
        except OSError as error:
            self.node.metrics.control_bytes.inc({"kind": "lost", "direction": "out"})
            log(Event.NEWS_LOST, repr(error), level=10, peer=address)
            return
        self.node.metrics.control_bytes.add({"kind": "news", "direction": "out"}, len(data))

    async def receive(self) -> None:
        """Take datagrams until cancelled."""
        while True:
            data, (address, _) = await self.sock.recvfrom(DATAGRAM_BYTES)
            try:
                await self.take(address, decode(data))
            except MALFORMED as error:
                log(Event.NEWS_REJECTED, str(error), peer=address)

    async def take(self, address: str, datagram: Datagram) -> None:
        """Take one datagram."""
        now = time.monotonic()
        known = self.peers.table.get(address)
        new = known is None or not known.alive(now)
        if datagram.leaving or (known and known.incarnation != datagram.incarnation):
            self.node.directory.forget_router(address)
        peer = self.peers.heard(address, datagram, now)
        if peer is None:
            return
        self.peers.learn(datagram.routers, now)
        if datagram.answer:
            names = [other.address for other in self.peers.alive(now)][:ROUTERS_NAMED]
            await self.send(encode(self.datagram(routers=names)), address)
        if new:
            log(Event.PEER_HEARD, address, incarnation=datagram.incarnation)
        self.take_news(address, datagram, now)

    def take_news(self, address: str, datagram: Datagram, now: float) -> None:
        """Take loads, held parts and crashes."""
        by_number = self.node.directory.by_number
        for load in datagram.loads:
            endpoint = by_number.get(load.endpoint)
            if endpoint is not None:
                endpoint.take_load(address, PeerLoad(load.requests, load.prefill, now))
        for held in datagram.held:
            endpoint = by_number.get(held.endpoint)
            if endpoint is not None:
                endpoint.held.add((Part(held.part, held.tokens),), 0)
        for crash in datagram.crashes:
            self.node.crashes.record(crash.fingerprint, crash.endpoint, now)

    def following(self) -> bool:
        """Tell whether this router follows the store and reaches it."""
        followers = self.node.followers
        return bool(followers) and all(follower.following for follower in followers)

    def must_follow(self) -> bool:
        """Tell whether this router is to follow the store itself."""
        node = self.node
        empty = node.routes is None or not node.listed
        return self.peers.must_follow(self.rank, time.monotonic(), empty)

    async def catch_up(self, now: float, alive: list[Peer]) -> None:
        """Fetch what other routers know of the store and this one does not."""
        node = self.node
        if alive and not self.synced and now >= self.next_pull:
            await self.spawn_pull(alive, 0, 0)
            return
        mine = node.routes.configuration.revision if node.routes else 0
        ahead = [
            peer
            for peer in alive
            if peer.configuration > mine or peer.endpoints > node.directory.newest
        ]
        if not ahead:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        patience = PULL_PAUSE if self.following() else 0.0
        if now - self.behind_since < patience or now < self.next_pull:
            return
        await self.spawn_pull(ahead, mine, node.directory.newest)

    def nearest(self, peers: list[Peer]) -> str:
        """Return the address of one of some routers, of the own failure domain if possible."""
        near = [peer for peer in peers if peer.domain == self.domain]
        return self.node.chance.choice(near or peers).address

    async def pull(self, address: str, configuration: int, endpoints: int) -> None:
        """Fetch what a router believes beyond some revisions."""
        target = f"/state?configuration={configuration}&endpoints={endpoints}"
        try:
            async with curio.timeout_after(PULL_TIMEOUT):
                status, _, body = await self.client.fetch(
                    address, self.node.settings.peer_port, "GET", target
                )
            if status != 200:
                raise ConnectionLost(f"status {status}")
            self.take_state(address, msgspec.msgpack.decode(zlib.decompress(body), type=State))
            self.synced = True
        except (ConnectionLost, curio.TaskTimeout, msgspec.DecodeError, zlib.error) as error:
            log(Event.SOURCE_FAILED, repr(error), peer=address)
        finally:
            self.pulling = False

    def take_state(self, address: str, state: "State") -> None:
        """Take what is later than one's own."""
        node = self.node
        if state.configuration is not None:
            node.take_stored(state.configuration)
        node.take_peer_endpoints(state.endpoints, state.newest, state.complete)
        node.directory.take_held(state.held)
        log(
            Event.STATE_PULLED,
            address,
            configuration=state.configuration.revision if state.configuration else 0,
            endpoints=len(state.endpoints),
            newest=state.newest,
            complete=state.complete,
        )

    async def handle(self, exchange: Exchange) -> None:
        """Tell another router what this one believes and it does not."""
        if exchange.path != "/state":
            raise RequestError(Kind.NOT_FOUND)
        if not self.node.listed:
            raise RequestError(Kind.NOT_READY)
        query = parse_qs(exchange.query)
        known = [int(query.get(name, ["0"])[0]) for name in ("configuration", "endpoints")]
        state = self.state(*known)
        content = msgspec.msgpack.encode(state)
        if state.configuration is not None:
            content = self.compressed_with(state.configuration.revision, content)
        else:
            content = zlib.compress(content, 1)
        await exchange.respond(200, body=content)

    def state(self, configuration: int, endpoints: int) -> "State":
        """Return what a router with these revisions lacks."""
        node = self.node
        stored = node.stored_configuration
        if stored is not None and stored.revision <= configuration:
            stored = None
        changes = node.directory.since(endpoints) if endpoints else None
        entries = node.directory.stored() if changes is None else changes
        held = node.directory.held() if changes is None else {}
        return State(stored, entries, node.directory.newest, changes is None, held)

    def compressed_with(self, revision: int, content: bytes) -> bytes:
        """Return compressed content; large ones are kept while they stay the same."""
        key = revision, hash(content)
        if self.compressed[0] != key:
            self.compressed = key, zlib.compress(content)
        return self.compressed[1]

    async def leave(self) -> None:
        """Tell the others that this router ends."""
        data = encode(self.datagram(leaving=True))
        for peer in self.peers.alive(time.monotonic()):
            await self.send(data, peer.address)

    def tell_load(self, endpoint) -> None:
        """Tell this router's load at an endpoint."""
        self.outbox.note_load(endpoint.name, endpoint.running, endpoint.prefill)


class State(msgspec.Struct, array_like=True):
    """What a router believes: the operator's object and the endpoints' entries.

    :param configuration: the operator's object, or None when the asker has it.
    :param endpoints: every entry, or the changes that the asker lacks.
    :param newest: highest revision of an entry, or of the removal of one, that it knows.
    :param complete: `endpoints` holds every entry.
    :param held: tokens of the prompt parts that each endpoint holds, for a router that starts.
    """

    configuration: StoredObject | None
    endpoints: list[StoredObject]
    newest: int
    complete: bool
    held: dict[str, dict[str, int]] = {}


def object_name(address: str) -> str:
    """Return the name of a router's object."""
    return address.replace(".", "-")


def address_of(stored: StoredObject) -> str:
    """Return the IP number in a router's object, or an empty string."""
    try:
        return str(msgspec.json.decode(stored.spec)["address"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""


async def refuse(exchange: Exchange, error: RequestError) -> None:
    """Answer a call that is not known, or comes before there is a state to tell."""
    await exchange.respond(PROBLEM_TYPES[error.kind].status, body=error.kind.value.encode())
