"""The protocol between routers, without I/O: messages and peer table.

A datagram carries what changed since the last one: loads of endpoints, prompt parts that an
endpoint has cached, requests during which an endpoint crashed, endpoints that shut down, and which
software version began a stream.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from ..settings import is_ipv4_address
from .position import NOTHING_KNOWN, UNKNOWN, KnownState
from .streams import StreamUpdate

ALIVE_TIMEOUT_SECONDS = 4.0  # Since the last datagram.
CONTACT_SECONDS = 2.2  # Since the last datagram; some of the heartbeats may be lost.
PEER_LIFETIME_SECONDS = 60.0  # Since the last datagram.
FLUSH_INTERVAL_SECONDS = 0.04  # Between two datagrams.
FLUSH_SECONDS_PER_PEER = 0.006  # Added to the interval.
WATCHING_ROUTERS = 8  # Number of routers that watch the store.
WATCHING_LIFETIME_SECONDS = 1.6  # Validity of a router's statement that it watches the store.
TAKEOVER_STEP_SECONDS = 0.05  # Delay between the routers, by rank, that replace a failed one.
BOOTSTRAP_PROBE_SECONDS = 0.05  # Time in which other routers answer a starting one.
BOOTSTRAP_PULL_SECONDS = 0.5  # Time in which another router sends its configuration.
PROBE_INTERVAL_SECONDS = 1.5  # Between two probes of a router that is not alive.


class LoadUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The sender's load at an endpoint.

    :param endpoint: hash of the endpoint's name.
    :param requests: requests in flight.
    :param prefill: prompt tokens of these requests that are not prefilled yet.
    """

    endpoint: int
    requests: int
    prefill: int


class CachedPartUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint has cached a prompt part.

    :param endpoint: hash of the endpoint's name.
    :param part: id of the part.
    :param tokens: size of the part.
    """

    endpoint: int
    part: str
    tokens: int


class CrashUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint closed the connection during a request, perhaps because of a crash.

    :param crash: number of the endpoint's incarnation.
    :param causes: what the request may have crashed it with, see :mod:`.crashes`.
    """

    crash: int
    causes: tuple[str, ...]


class AnswerUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A cause that is suspected elsewhere and that the sender saw answered.

    :param age: seconds since the latest answer.
    """

    cause: str
    age: int


class SuspectUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A cause in quarantine.

    :param depth: position of the cause in requests.
    :param crashes: numbers of the endpoints' incarnations that it may have crashed.
    :param requests: last causes of some of the requests that ran.
    :param age: seconds since the latest crash.
    """

    cause: str
    depth: int
    crashes: list[int]
    requests: list[str]
    age: int


class LimitUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of an endpoint's rate limit.

    :param endpoint: hash of the endpoint's name.
    :param rate: requests per second of all routers, or None for any number.
    :param count: requests that the sender has sent since it learned of the limit.
    """

    endpoint: int
    rate: float | None
    count: int


class LeavingUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint shuts down.

    :param endpoint: hash of the endpoint's name.
    :param started_ms: start of the incarnation that shuts down, as Unix time in milliseconds.
    """

    endpoint: int
    started_ms: int


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """A message from one router to another.

    :param incarnation: identifies one run of the sender; a new run starts without loads.
    :param known: how much of the store's state the sender knows.
    :param domain_hash: hash of the name of the sender's failure domain.
    :param rank: position in the election of the routers that watch the store; the lowest win.
    :param watching: whether the sender watches the store and the store answers.
    :param answer_wanted: whether the sender asks for a datagram in return.
    :param leaving: whether the sender is shutting down.
    :param routers: IP addresses of routers that the sender knows.
    :param limits: rate limits of endpoints, where one or the number of requests has changed.
    :param suspects: causes in quarantine.
    :param streams: streams that have begun.
    :param stream_questions: keys of streams that the sender asks for.
    """

    incarnation: int
    known: KnownState = NOTHING_KNOWN
    domain_hash: int = 0
    rank: int = 0
    watching: bool = False
    answer_wanted: bool = False
    leaving: bool = False
    loads: list[LoadUpdate] = []
    cached_parts: list[CachedPartUpdate] = []
    crashes: list[CrashUpdate] = []
    leaving_endpoints: list[LeavingUpdate] = []
    routers: list[str] = []
    answered: list[AnswerUpdate] = []
    suspects: list[SuspectUpdate] = []
    limits: list[LimitUpdate] = []
    streams: list[StreamUpdate] = []
    stream_questions: list[int] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram as MessagePack."""
    return _encoder.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Decode a datagram.

    :raises msgspec.DecodeError: when it is malformed.
    """
    return _decoder.decode(data)


def watcher_rank(address: str, link_mbps: float) -> int:
    """Return a router's rank, a hash that is lower on average for routers with fast links.

    :param link_mbps: speed of the router's link in Mbit/s.
    """
    digest = xxhash.xxh3_64_intdigest(address.encode()) & 0xFFFFFFFF
    return int(digest / max(1.0, link_mbps))


def name_hash(name: str) -> int:
    """Return the 32-bit hash that identifies a name in datagrams."""
    return xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFFFFFF


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

    def alive(self, now: float) -> bool:
        """Return whether a datagram arrived within `ALIVE_TIMEOUT_SECONDS`."""
        return self.last_heard > 0 and now - self.last_heard <= ALIVE_TIMEOUT_SECONDS

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

        The list is empty unless this router has the lowest rank of those alive, so that only one
        router deletes their objects.
        """
        expired, self.expired = self.expired, []
        return expired if self.is_first(rank, now) else []

    def is_first(self, rank: int, now: float) -> bool:
        """Return whether this router has the lowest rank of those alive."""
        return all(peer.rank > rank for peer in self.alive(now))

    def alive(self, now: float) -> list[Peer]:
        """Return the routers whose last datagram arrived within `ALIVE_TIMEOUT_SECONDS`."""
        return [peer for peer in self.by_address.values() if peer.alive(now)]

    def in_contact(self, now: float) -> bool:
        """Return whether half of the other routers were heard within `CONTACT_SECONDS`."""
        heard = sum(
            peer.last_heard > 0 and now - peer.last_heard <= CONTACT_SECONDS
            for peer in self.by_address.values()
        )
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
