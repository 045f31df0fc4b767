"""The other routers that a router knows, and which of them watch the store."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from ..addresses import is_ipv4_address
from .peer_protocol import Datagram
from .position import NOTHING_KNOWN, UNKNOWN, KnownState

ALIVE_TIMEOUT_SECONDS = 4.0  # Since the last datagram.
CONTACT_SECONDS = 2.2  # Since the last datagram; some of the heartbeats may be lost.
PEER_LIFETIME_SECONDS = 60.0  # Since the last datagram.
WATCHING_ROUTERS = 8  # Number of routers that watch the store.
WATCHING_LIFETIME_SECONDS = 1.6  # Validity of a router's statement that it watches the store.
TAKEOVER_STEP_SECONDS = 0.05  # Delay between the routers, by rank, that replace a failed one.
BOOTSTRAP_PROBE_SECONDS = 0.05  # Time in which other routers answer a starting one.
BOOTSTRAP_PULL_SECONDS = 0.5  # Time in which another router sends its configuration.
PROBE_INTERVAL_SECONDS = 1.5  # Between two probes of a router that is not alive.


def watcher_rank(address: str, link_mbps: float) -> int:
    """Return a router's rank, a hash that is lower on average for routers with fast links.

    :param link_mbps: speed of the router's link in Mbit/s.
    """
    digest = xxhash.xxh3_64_intdigest(address.encode()) & 0xFFFFFFFF
    return int(digest / max(1.0, link_mbps))


@dataclass(slots=True)
class Peer:
    """Another router. Times are monotonic seconds.

    The fields that :class:`Datagram` has too are those of the last datagram.

    :param address: IP address.
    :param known_since: when this router learned of it.
    :param last_heard: when its last datagram arrived; 0 before the first.
    :param last_probe: when it was last probed; 0 before the first probe.
    """

    address: str
    known_since: float
    last_heard: float = 0.0
    last_probe: float = 0.0
    incarnation: int = 0
    known: KnownState = NOTHING_KNOWN
    domain_hash: int = 0
    rank: int = 0
    watching: bool = False
    caches_known: bool = False

    def heard_within(self, seconds: float, now: float) -> bool:
        """Return whether a datagram arrived lately."""
        return self.last_heard > 0 and now - self.last_heard <= seconds

    def alive(self, now: float) -> bool:
        """Return whether a datagram arrived within `ALIVE_TIMEOUT_SECONDS`."""
        return self.heard_within(ALIVE_TIMEOUT_SECONDS, now)

    def is_watching(self, now: float) -> bool:
        """Return whether its last datagram says that it watches the store and is still valid."""
        return self.watching and now - self.last_heard <= WATCHING_LIFETIME_SECONDS


class PeerTable:
    """The other routers by IP address, and the election of those that watch the store.

    Times are monotonic seconds.

    :param own_address: IP address of this router.
    :param started_at: when this router started.
    :ivar latest_endpoints: latest position of an endpoint's entry that another router has named.
    :ivar expired: routers that expired and whose objects are still to be deleted.
    :ivar shortage_since: since when too few routers watch the store, or None.
    """

    def __init__(self, own_address: str, started_at: float = 0.0):
        self.own_address = own_address
        self.started_at = started_at
        self.by_address: dict[str, Peer] = {}
        self.latest_endpoints = UNKNOWN
        self.expired: list[str] = []
        self.shortage_since: float | None = None

    def add_addresses(self, addresses: Iterable[str], now: float) -> None:
        """Add routers that are not known yet; malformed addresses are left out."""
        for address in addresses:
            if address == self.own_address or address in self.by_address:
                continue
            if is_ipv4_address(address):
                self.by_address[address] = Peer(address, now)

    def record(self, address: str, datagram: Datagram, now: float) -> Peer | None:
        """Record a datagram and return its sender.

        None means that the sender is leaving, or that the datagram came from this router's VM.
        """
        if address == self.own_address:
            return None
        self.add_addresses([address], now)
        if datagram.leaving:
            del self.by_address[address]
            return None
        peer = self.by_address[address]
        peer.last_heard = now
        peer.incarnation = datagram.incarnation
        peer.known = datagram.known
        self.latest_endpoints = max(self.latest_endpoints, datagram.known.endpoints)
        peer.domain_hash = datagram.domain_hash
        peer.rank = datagram.rank
        peer.watching = datagram.watching
        peer.caches_known = datagram.caches_known
        return peer

    def should_watch(self, rank: int, now: float, empty: bool = False) -> bool:
        """Return whether a router of this rank should watch the store itself.

        Only a few routers watch the store, to limit its calls and traffic; the others get its
        changes from them. When a watching router fails, those next in rank replace it one after
        another, so that they don't all list the store at once.

        :param empty: whether this router has no configuration or no endpoints yet.
        """
        alive = self.alive(now)
        if empty and self.by_address and now - self.started_at < self.bootstrap_wait(alive):
            return False
        lower = [peer for peer in alive if peer.rank < rank]
        watching = sum(peer.is_watching(now) for peer in lower)
        if watching >= WATCHING_ROUTERS:
            self.shortage_since = None
            return False
        if self.shortage_since is None:
            self.shortage_since = now
        delay = TAKEOVER_STEP_SECONDS * max(0, len(lower) + 1 - WATCHING_ROUTERS)
        return now - self.shortage_since >= delay

    def bootstrap_wait(self, alive: list[Peer]) -> float:
        """Return how many seconds a starting router waits before it uses the store.

        The wait is longer when another router has a configuration, since that router sends it
        compressed.
        """
        return (
            BOOTSTRAP_PULL_SECONDS
            if any(peer.known.version for peer in alive)
            else BOOTSTRAP_PROBE_SECONDS
        )

    def take_expired(self, rank: int, now: float) -> list[str]:
        """Return the routers that expired since the last call.

        The list is empty unless this router is the first, so that only one router deletes their
        objects.
        """
        expired, self.expired = self.expired, []
        return expired if self.is_first(rank, now) else []

    def is_first(self, rank: int, now: float) -> bool:
        """Return whether this router has the lowest rank of those that watch the store.

        Routers of a lower rank may be cut off from the store alone.
        """
        return all(peer.rank > rank for peer in self.alive(now) if peer.is_watching(now))

    def alive(self, now: float) -> list[Peer]:
        """Return the routers whose last datagram arrived within `ALIVE_TIMEOUT_SECONDS`."""
        return [peer for peer in self.by_address.values() if peer.alive(now)]

    def in_contact(self, now: float) -> bool:
        """Return whether half of the other routers were heard within `CONTACT_SECONDS`."""
        peers = self.by_address.values()
        heard = sum(peer.heard_within(CONTACT_SECONDS, now) for peer in peers)
        return 2 * heard >= len(self.by_address)

    def take_due_probes(self, now: float) -> list[Peer]:
        """Remove expired routers and return those to probe now."""
        for address, peer in list(self.by_address.items()):
            if now - max(peer.last_heard, peer.known_since) > PEER_LIFETIME_SECONDS:
                del self.by_address[address]
                self.expired.append(address)
        due = [
            peer
            for peer in self.by_address.values()
            if not peer.alive(now) and now - peer.last_probe >= PROBE_INTERVAL_SECONDS
        ]
        for peer in due:
            peer.last_probe = now
        return due
