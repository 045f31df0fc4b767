"""Update datagrams between routers."""

import time

import curio
from curio import socket

from .. import defaults
from ..decoding import DECODE_ERRORS
from ..events import Event, log, logger
from ..http import listen
from ..turns import Turns
from .cache_listing import CacheListing
from .clocks import StallDetector, boot_time
from .cold_reports import ColdReports
from .endpoints import PeerLoad
from .evacuations import OwnWatch
from .hashes import name_hash
from .limit_reports import LimitReports
from .outbox import MAX_UPDATES_PER_KIND, Outbox
from .pace_reports import PaceReports
from .peer_protocol import (
    FLUSH_INTERVAL_SECONDS,
    FLUSH_SECONDS_PER_PEER,
    MILLISECONDS_PER_SECOND,
    Datagram,
    decode,
    encode,
)
from .peer_table import Peer, PeerTable, watcher_rank
from .records import PromptPart
from .registration import Registration
from .state_pulls import StatePulls
from .stream_reports import StreamReports

TICK_SECONDS = 0.02
DATAGRAM_BUFFER_BYTES = 65536
MAX_ADDRESSES_PER_DATAGRAM = 64
DATAGRAM_ERRORS = (*DECODE_ERRORS, TypeError, ValueError)


class PeerSync:
    """Exchanges datagrams with the other routers.

    :param node: the components of this router.
    """

    def __init__(self, node):
        self.node = node
        self.peers = PeerTable(node.settings.address, time.monotonic())
        self.peers.add_addresses(node.settings.seeds, time.monotonic())
        self.outbox = Outbox()
        self.incarnation = time.time_ns() // 1_000_000
        self.domain_hash = name_hash(node.settings.failure_domain)
        self.pulls = StatePulls(node, self.domain_hash, self.watching)
        self.rank = watcher_rank(node.settings.address, node.settings.link_mbps)
        self.registration = Registration(node, self.peers, self.rank)
        self.limits = LimitReports(node, self.peers)
        self.cold = ColdReports(node)
        self.streams = StreamReports(node, self.peers, self.rank)
        self.caches = CacheListing(node, self.peers)
        self.own_watch = OwnWatch(node.rng.random())
        self.paces = PaceReports(node)
        self.stalls = StallDetector(boot_time())
        self.sock = None

    async def run(self) -> None:
        """Send and receive until cancelled.

        :raises OSError: when the address can't be bound.
        """
        settings = self.node.settings
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((settings.address, settings.peer_port))
        async with self.sock, curio.TaskGroup(wait=None) as group:
            listener = listen(settings.address, settings.peer_port)
            await group.spawn(self.pulls.server.serve, listener)
            await group.spawn(self.receive)
            await group.spawn(self.registration.run)
            await group.spawn(self.streams.records.run)
            while True:
                await self.tick()
                await curio.sleep(TICK_SECONDS)

    async def tick(self) -> None:
        """Send due datagrams, probe routers that are not alive, and pull missing state."""
        self.stalls.tick(boot_time())
        now = time.monotonic()
        alive = self.peers.alive(now)
        self.node.budget.router_count = len(self.peers.by_address) + 1
        interval = FLUSH_INTERVAL_SECONDS + FLUSH_SECONDS_PER_PEER * len(alive)
        if self.outbox.due(now, interval):
            await self.broadcast(alive, **self.take_regular_updates(len(alive), now))
        if updates := self.take_urgent_updates(now):
            await self.broadcast(alive, **updates)
        reports = self.streams.take(self.node.resumption.uncertain_services(now), now)
        for address, streams in reports.items():
            await self.send(encode(self.datagram(streams=streams)), address)
        unreachable = self.peers.take_due_probes(now)
        if unreachable:
            addresses = [peer.address for peer in alive][:MAX_ADDRESSES_PER_DATAGRAM]
            await self.broadcast(unreachable, answer_wanted=True, routers=addresses)
        expired = self.peers.take_expired(self.rank, now)
        for address in expired if self.watching() else ():
            await curio.spawn(self.registration.delete, address, daemon=True)
        await self.pulls.catch_up(now, alive)
        await self.caches.tick(now, alive)

    def take_regular_updates(self, peer_count: int, now: float) -> dict[str, list]:
        """Return the updates that are sent at the interval between datagrams, by field.

        Paces and windows get the room that the others leave, so that a datagram fits a packet.

        :param peer_count: number of live routers besides this one.
        """
        updates = self.outbox.take(now)
        room = MAX_UPDATES_PER_KIND - max(map(len, updates.values()))
        if admitted := self.node.account_shares.take_reports(peer_count, now):
            updates["admitted"] = admitted
            room = max(0, room - len(admitted))
        return {**updates, **self.paces.take(now, room)}

    def take_urgent_updates(self, now: float) -> dict[str, list]:
        """Return the updates that don't wait for the interval between datagrams, by field."""
        updates = self.node.quarantine.take_updates(now)
        if limits := self.limits.take():
            updates["limits"] = limits
        if listings := self.caches.take():
            updates["cache_listings"] = listings
        if cold := self.cold.take(now):
            updates["cold_endpoints"] = cold
        if ended := self.node.restarts.take_reports():
            updates["ended_endpoints"] = ended
        return updates

    async def broadcast(self, peers: list[Peer], **updates) -> None:
        """Send a datagram with the given updates to other routers."""
        data = encode(self.datagram(**updates))
        for peer in peers:
            await self.send(data, peer.address)

    def datagram(self, **updates) -> Datagram:
        """Return a datagram with this router's positions and the given updates."""
        return Datagram(
            self.incarnation,
            known=self.node.known_state(),
            domain_hash=self.domain_hash,
            rank=self.rank,
            watching=self.watching(),
            caches_known=self.caches.plan.complete,
            **updates,
        )

    async def send(self, data: bytes, address: str) -> None:
        """Send one datagram without waiting.

        A datagram that can't be sent, such as when the socket's buffer is full, is counted and
        dropped.
        """
        try:
            self.sock._socket.sendto(data, (address, self.node.settings.peer_port))
        except OSError as error:
            self.node.metrics.control_bytes.inc({"kind": "lost", "direction": "out"})
            log(Event.NEWS_LOST, repr(error), level=10, peer=address)
            return
        self.node.metrics.control_bytes.add({"kind": "news", "direction": "out"}, len(data))

    async def receive(self) -> None:
        """Receive datagrams until cancelled; one that can't be processed is logged and dropped."""
        turns = Turns(defaults.DATAGRAMS_PER_TURN)
        while True:
            await turns.step()
            data, (address, _) = await self.sock.recvfrom(DATAGRAM_BUFFER_BYTES)
            try:
                await self.handle_datagram(address, decode(data))
            except DATAGRAM_ERRORS as error:
                log(Event.NEWS_REJECTED, str(error), peer=address)
            except Exception:
                fields = {"event": Event.INTERNAL_ERROR, "fields": {"peer": address}}
                logger.exception("a datagram could not be processed", extra=fields)

    async def handle_datagram(self, address: str, datagram: Datagram) -> None:
        """Process one datagram.

        :param address: IP address of the sender.
        """
        now = time.monotonic()
        known = self.peers.by_address.get(address)
        new = known is None or not known.alive(now)
        if datagram.leaving or (known and known.incarnation != datagram.incarnation):
            self.node.directory.remove_router_loads(address)
        peer = self.peers.record(address, datagram, now)
        if peer is None:
            self.node.membership.record_left(address, now)
            return
        self.node.membership.record_heard(address, now)
        self.peers.add_addresses(datagram.routers, now)
        if datagram.answer_wanted:
            addresses = [other.address for other in self.peers.alive(now)][
                :MAX_ADDRESSES_PER_DATAGRAM
            ]
            await self.send(encode(self.datagram(routers=addresses)), address)
        if new:
            log(Event.PEER_HEARD, address, incarnation=datagram.incarnation)
            await self.caches.send_reports(peer)
        self.apply_updates(address, datagram, now)
        await self.streams.apply(datagram, now)
        if answers := self.streams.answers(datagram, now):
            await self.send(encode(self.datagram(streams=answers)), address)

    def apply_updates(self, address: str, datagram: Datagram, now: float) -> None:
        """Apply the loads, cached prompt parts, crashes and shutdowns of a datagram.

        :param now: monotonic time in seconds.
        """
        by_hash = self.node.directory.by_hash
        for load in datagram.loads:
            endpoint = by_hash.get(load.endpoint)
            if endpoint is not None:
                endpoint.set_peer_load(address, PeerLoad(load.requests, load.prefill, now))
        for update in datagram.cached_parts:
            endpoint = by_hash.get(update.endpoint)
            if endpoint is not None:
                endpoint.prompt_cache.add((PromptPart(update.part, update.tokens),), 0)
        self.caches.apply(address, datagram, now)
        self.limits.apply(address, datagram.limits, now)
        self.node.account_shares.apply_reports(address, datagram.admitted, now)
        self.cold.apply(datagram.cold_endpoints, now)
        self.paces.apply(address, datagram.paces, datagram.windows, now)
        self.node.quarantine.apply(datagram, now)
        for update in datagram.ended_endpoints:
            self.node.restarts.apply(by_hash.get(update.endpoint), update, now)
        for update in datagram.leaving_endpoints:
            self.node.directory.mark_leaving(update, now)

    def watching(self) -> bool:
        """Return whether this router watches the store and the store answers."""
        watchers = self.node.store_watchers
        return bool(watchers) and all(watcher.watching for watcher in watchers)

    def should_watch(self) -> bool:
        """Return whether this router should watch the store itself."""
        node = self.node
        empty = not node.store_known()
        return self.peers.should_watch(self.rank, time.monotonic(), empty)

    def should_watch_evacuations(self) -> bool:
        """Return whether this router should watch the evacuations in the store itself."""
        now = time.monotonic()
        watchers = [peer for peer in self.peers.alive(now) if peer.is_watching(now)]
        positions = [peer.known.evacuations for peer in watchers]
        own = self.own_watch.needed(positions, len(self.peers.by_address), now)
        return self.should_watch() or own

    async def leave(self) -> None:
        """Announce to the other routers that this one is shutting down."""
        await self.broadcast(self.peers.alive(time.monotonic()), leaving=True)

    def unix_ms(self, at: float) -> int:
        """Return monotonic seconds as Unix time in milliseconds.

        The wall clock is read at the start only, as it may jump.
        """
        elapsed = at - self.peers.started_at
        return self.incarnation + int(MILLISECONDS_PER_SECOND * elapsed)

    def announce_load(self, endpoint) -> None:
        """Queue this router's load at an endpoint for the next datagram."""
        self.outbox.queue_load(endpoint.name, endpoint.running, endpoint.prefill)
