"""Routers among themselves: datagrams with news, and configurations on request."""

import time

import curio
import msgspec
from curio import socket

from ..events import Event, log
from ..exceptions import Conflict, ConnectionLost, HickoryleverError, Kind, RequestError
from ..http import Client, Exchange, Server, listen
from .endpoints import PeerLoad
from .news import FLUSH_INTERVAL, FLUSH_PER_PEER, Datagram, Outbox, Peers, decode, encode
from .records import Listing, Part, StoredObject

TICK = 0.02  # Seconds.
DATAGRAM_BYTES = 65536
PULL_TIMEOUT = 1.0  # Seconds.
PULL_PAUSE = 0.3  # Seconds that the store gets to tell the same itself.
REGISTER_PAUSE = 1.0  # Seconds.
ROUTERS_NAMED = 64
MALFORMED = (msgspec.DecodeError, TypeError, ValueError)


class Neighbours:
    """The socket, listener and tasks of a router's talk with the others.

    :param node: the router's parts.
    """

    def __init__(self, node):
        self.node = node
        self.peers = Peers(node.settings.address)
        self.outbox = Outbox()
        self.incarnation = time.time_ns() // 1_000_000
        self.client = Client()
        self.server = Server(self.handle, refuse)
        self.sock = None
        self.behind_since: float | None = None

    async def run(self) -> None:
        """Talk until cancelled."""
        settings = self.node.settings
        self.peers.learn(settings.seeds, time.monotonic())
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((settings.address, settings.peer_port))
        async with curio.TaskGroup(wait=None) as group:
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
        name = node.settings.address.replace(".", "-")
        while True:
            try:
                listing = await node.store.list_kind(node.codec.ROUTERS)
                spec = {"address": node.settings.address}
                if name not in [stored.name for stored in listing.objects]:
                    await node.store.create(node.codec.ROUTERS, name, spec)
                self.peers.learn(map(address_of, listing.objects), time.monotonic())
                return
            except Conflict:
                return
            except HickoryleverError as error:
                log(Event.STORE_LOST, str(error), kind="routers", revision=None)
                await curio.sleep(REGISTER_PAUSE * (1 + node.chance.random()))

    async def tick(self) -> None:
        """Send what is due, greet who is away, and fetch what others know."""
        now = time.monotonic()
        alive = self.peers.alive(now)
        self.node.budget.routers = len(self.peers.table) + 1
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
        await self.catch_up(now, alive)

    def datagram(self, **news) -> Datagram:
        """Return a datagram with this router's revisions."""
        node = self.node
        routes = node.routes
        return Datagram(
            self.incarnation,
            configuration=routes.configuration.revision if routes else 0,
            endpoints=node.directory.newest,
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
        new = address not in self.peers.table or not self.peers.table[address].alive(now)
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
                endpoint.peers[address] = PeerLoad(load.requests, load.prefill, now)
        for held in datagram.held:
            endpoint = by_number.get(held.endpoint)
            if endpoint is not None:
                endpoint.held.note((Part(held.part, held.tokens),), 0)
        for crash in datagram.crashes:
            self.node.crashes.note(crash.fingerprint, crash.endpoint, now)

    async def catch_up(self, now: float, alive) -> None:
        """Fetch the configuration or the endpoints from a router that knows later ones."""
        node = self.node
        mine = node.routes.configuration.revision if node.routes else 0
        ahead = [peer for peer in alive if peer.configuration > mine]
        if not ahead and not node.cut_off():
            self.behind_since = None
            return
        ahead += [peer for peer in alive if peer.endpoints > node.directory.newest]
        if not ahead:
            self.behind_since = None
            return
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since < PULL_PAUSE:
            return
        self.behind_since = None
        await self.pull(node.chance.choice(ahead).address)

    async def pull(self, address: str) -> None:
        """Fetch what a router believes, and take what is later than one's own."""
        node = self.node
        try:
            async with curio.timeout_after(PULL_TIMEOUT):
                status, _, body = await self.client.fetch(
                    address, node.settings.peer_port, "GET", "/state"
                )
            state = msgspec.msgpack.decode(body, type=State)
        except (ConnectionLost, curio.TaskTimeout, msgspec.DecodeError) as error:
            log(Event.SOURCE_FAILED, repr(error), peer=address)
            return
        if state.configuration is not None:
            node.take_stored(state.configuration)
        if state.endpoints and (node.cut_off() or not node.listed):
            node.take_peer_endpoints(Listing(tuple(state.endpoints), state.newest))
        log(Event.STATE_PULLED, address, status=status, endpoints=len(state.endpoints))

    async def handle(self, exchange: Exchange) -> None:
        """Tell another router what this one believes."""
        if exchange.path != "/state":
            raise RequestError(Kind.NOT_FOUND)
        node = self.node
        state = State(node.stored_configuration, node.directory.stored(), node.directory.newest)
        await exchange.respond(200, body=msgspec.msgpack.encode(state))

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

    :param newest: highest revision of an entry, or of the removal of one, that it knows.
    """

    configuration: StoredObject | None
    endpoints: list[StoredObject]
    newest: int


def address_of(stored: StoredObject) -> str:
    """Return the IP number in a router's object, or an empty string."""
    try:
        return str(msgspec.json.decode(stored.spec)["address"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""


async def refuse(exchange: Exchange, error: RequestError) -> None:
    """Answer a call that is not known."""
    await exchange.respond(404, body=b"unknown\n")
