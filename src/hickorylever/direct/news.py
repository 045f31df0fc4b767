"""The protocol between routers, without I/O: messages, peer table and queue of updates.

A datagram carries what changed since the last one: loads of endpoints, prompt parts that an
endpoint has cached, and requests during which an endpoint crashed.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

MAX_ENTRIES = 40  # Updates of one kind in a datagram, so that it fits a packet.
REPEAT_AFTER = 4.0  # Seconds after which a cached part that is used again is announced again.
LOAD_REPEAT = 1.2  # Seconds after which an unchanged load is sent again; below LOAD_LIFETIME.
HEARTBEAT = 1.0  # Seconds without updates after which an empty datagram is sent.
ALIVE_TIME = 4.0  # Seconds since its last datagram for which a router counts as alive.
FORGET_TIME = 60.0  # Seconds since its last datagram after which a router is removed.
FLUSH_INTERVAL = 0.04  # Seconds between two datagrams.
FLUSH_PER_PEER = 0.006  # Seconds added to the interval for each receiver.
FOLLOWERS = 8  # Number of routers that watch the store.
FOLLOWING_TIME = 1.6  # Seconds for which a router's last statement that it watches is valid.
FOLLOW_STEP = 0.05  # Seconds by which the routers next in rank start to watch one after another.
HELLO_WAIT = 0.05  # Seconds that a starting router waits for other routers to answer.
PULL_WAIT = 0.5  # Seconds that a starting router waits for a configuration from another router.
HELLO_INTERVAL = 1.5  # Seconds between two probes of a router that is not alive.


class LoadNews(msgspec.Struct, array_like=True, frozen=True):
    """The sender's load at an endpoint.

    :param endpoint: hash of the endpoint's name.
    :param requests: requests in flight.
    :param prefill: prompt tokens of these requests that are not prefilled yet.
    """

    endpoint: int
    requests: int
    prefill: int


class HeldNews(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint has cached a prompt part.

    :param endpoint: hash of the endpoint's name.
    :param part: id of the part.
    :param tokens: size of the part.
    """

    endpoint: int
    part: str
    tokens: int


class CrashNews(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint closed the connection during a request, perhaps because of a crash.

    :param fingerprint: of the request.
    :param endpoint: name of the endpoint.
    """

    fingerprint: int
    endpoint: str


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """A message from one router to another.

    :param incarnation: identifies one run of the sender; a new run starts without loads.
    :param configuration: revision of the configuration in force; 0 for none.
    :param endpoints: latest known revision of an endpoint's entry.
    :param domain: hash of the sender's failure domain.
    :param rank: position in the election of the routers that watch the store; the lowest win.
    :param following: whether the sender watches the store and the store answers.
    :param answer: whether the sender asks for a datagram in return.
    :param leaving: whether the sender is shutting down.
    :param routers: IP addresses of routers that the sender knows.
    """

    incarnation: int
    configuration: int = 0
    endpoints: int = 0
    domain: int = 0
    rank: int = 0
    following: bool = False
    answer: bool = False
    leaving: bool = False
    loads: list[LoadNews] = []
    held: list[HeldNews] = []
    crashes: list[CrashNews] = []
    routers: list[str] = []


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


def follower_rank(address: str, link_mbps: float) -> int:
    """Return a router's rank, a hash that is lower on average for routers with fast links.

    :param link_mbps: speed of the router's link in Mbit/s.
    """
    number = xxhash.xxh3_64_intdigest(address.encode()) & 0xFFFFFFFF
    return int(number / max(1.0, link_mbps))


def short(name: str) -> int:
    """Return the 32-bit hash that identifies a name in datagrams."""
    return xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFFFFFF


@dataclass(slots=True)
class Peer:
    """Another router. Times are monotonic seconds.

    :param address: IP address.
    :param known_since: when this router learned of it.
    :param heard: when its last datagram arrived; 0 before the first.
    :param tried: when it was last probed; 0 before the first probe.
    """

    address: str
    known_since: float
    heard: float = 0.0
    tried: float = 0.0
    incarnation: int = 0
    configuration: int = 0
    endpoints: int = 0
    domain: int = 0
    rank: int = 0
    following: bool = False

    def alive(self, now: float) -> bool:
        """Return whether a datagram arrived within `ALIVE_TIME`."""
        return self.heard > 0 and now - self.heard <= ALIVE_TIME

    def follows(self, now: float) -> bool:
        """Return whether its last datagram says that it watches the store and is still valid."""
        return self.following and now - self.heard <= FOLLOWING_TIME


class Peers:
    """The other routers by IP address, and the election of those that watch the store.

    Times are monotonic seconds.

    :param own: IP address of this router.
    :param began: when this router started.
    :ivar forgotten: routers that expired and whose objects are still to be deleted.
    :ivar lacking_since: since when too few routers watch the store, or None.
    """

    def __init__(self, own: str, began: float = 0.0):
        self.own = own
        self.began = began
        self.table: dict[str, Peer] = {}
        self.forgotten: list[str] = []
        self.lacking_since: float | None = None

    def learn(self, addresses: Iterable[str], now: float) -> None:
        """Add routers that are not known yet."""
        for address in addresses:
            if address != self.own and address not in self.table:
                self.table[address] = Peer(address, now)

    def heard(self, address: str, datagram: Datagram, now: float) -> Peer | None:
        """Record a datagram and return its sender, or None when the sender is leaving."""
        self.learn([address], now)
        if datagram.leaving:
            del self.table[address]
            return None
        peer = self.table[address]
        peer.heard = now
        peer.incarnation = datagram.incarnation
        peer.configuration = datagram.configuration
        peer.endpoints = datagram.endpoints
        peer.domain = datagram.domain
        peer.rank = datagram.rank
        peer.following = datagram.following
        return peer

    def must_follow(self, rank: int, now: float, empty: bool = False) -> bool:
        """Return whether a router of this rank should watch the store itself.

        Only a few routers watch the store, to limit its calls and traffic; the others get its
        changes from them. When a watching router fails, those next in rank replace it one after
        another, so that they don't all list the store at once.

        :param empty: whether this router has no configuration or no endpoints yet.
        """
        alive = self.alive(now)
        if empty and self.table and now - self.began < self.start_wait(alive):
            return False
        lower = [peer for peer in alive if peer.rank < rank]
        following = sum(peer.follows(now) for peer in lower)
        if following >= FOLLOWERS:
            self.lacking_since = None
            return False
        if self.lacking_since is None:
            self.lacking_since = now
        patience = FOLLOW_STEP * max(0, len(lower) + 1 - FOLLOWERS)
        return now - self.lacking_since >= patience

    def start_wait(self, alive: list[Peer]) -> float:
        """Return how many seconds a starting router waits before it uses the store.

        The wait is longer when another router has a configuration, since that router sends it
        compressed.
        """
        return PULL_WAIT if any(peer.configuration for peer in alive) else HELLO_WAIT

    def take_forgotten(self, rank: int, now: float) -> list[str]:
        """Return the routers that expired since the last call.

        The list is empty unless this router has the lowest rank of those alive, so that only one
        router deletes their objects.
        """
        forgotten, self.forgotten = self.forgotten, []
        first = all(peer.rank > rank for peer in self.alive(now))
        return forgotten if first else []

    def alive(self, now: float) -> list[Peer]:
        """Return the routers whose last datagram arrived within `ALIVE_TIME`."""
        return [peer for peer in self.table.values() if peer.alive(now)]

    def away(self, now: float) -> list[Peer]:
        """Remove expired routers and return those to probe now."""
        for address, peer in list(self.table.items()):
            if now - max(peer.heard, peer.known_since) > FORGET_TIME:
                del self.table[address]
                self.forgotten.append(address)
        due = [
            peer
            for peer in self.table.values()
            if not peer.alive(now) and now - peer.tried >= HELLO_INTERVAL
        ]
        for peer in due:
            peer.tried = now
        return due


@dataclass(frozen=True, slots=True)
class ToldLoad:
    """A load that was sent to the other routers.

    :param time: monotonic seconds at which it was sent.
    """

    requests: int
    prefill: int
    time: float


@dataclass(slots=True)
class Outbox:
    """Updates that are waiting to be sent to the other routers. Times are monotonic seconds.

    A load is sent again while it lasts, which makes up for lost datagrams and lets the receivers
    expire the loads of a router that died. A load that falls to zero is sent twice.

    :param loads: requests and prompt tokens to prefill, by endpoint.
    :param told_loads: loads that were last sent, by endpoint.
    :param held: tokens of cached prompt parts, by endpoint and part.
    :param told_held: when a cached prompt part was last sent, by endpoint and part.
    :param sent: when updates were last taken for a datagram.
    """

    loads: dict[int, tuple[int, int]] = field(default_factory=dict)
    told_loads: dict[int, ToldLoad] = field(default_factory=dict)
    held: dict[tuple[int, str], int] = field(default_factory=dict)
    told_held: dict[tuple[int, str], float] = field(default_factory=dict)
    crashes: list[CrashNews] = field(default_factory=list)
    sent: float = 0.0

    def note_load(self, endpoint: str, requests: int, prefill: float) -> None:
        """Queue this router's load at an endpoint if it differs from the one last sent."""
        key = short(endpoint)
        told = self.told_loads.get(key)
        load = requests, int(prefill)
        if load == ((told.requests, told.prefill) if told else (0, 0)):
            self.loads.pop(key, None)
        else:
            self.loads[key] = load

    def repeat_loads(self, now: float) -> None:
        """Queue loads again that were last sent more than `LOAD_REPEAT` seconds ago."""
        for key, told in list(self.told_loads.items()):
            if now - told.time < LOAD_REPEAT or key in self.loads:
                continue
            self.loads[key] = told.requests, told.prefill
            if not told.requests:
                del self.told_loads[key]

    def note_held(self, endpoint: str, part: str, tokens: int, now: float) -> None:
        """Queue a shareable prompt part that an endpoint caches, unless it was sent lately.

        :param tokens: size of the part.
        """
        key = short(endpoint), part
        if now - self.told_held.get(key, -REPEAT_AFTER) >= REPEAT_AFTER:
            self.held[key] = tokens

    def note_crash(self, fingerprint: int, endpoint: str) -> None:
        """Queue a report that an endpoint closed the connection during a request."""
        self.crashes.append(CrashNews(fingerprint, endpoint))

    def due(self, now: float, interval: float) -> bool:
        """Return whether a datagram is due.

        :param interval: minimum time in seconds between two datagrams.
        """
        waiting = self.loads or self.held or self.crashes
        return now - self.sent >= (interval if waiting else HEARTBEAT)

    def take(self, now: float) -> tuple[list[LoadNews], list[HeldNews], list[CrashNews]]:
        """Remove and return the updates for one datagram, at most `MAX_ENTRIES` of each kind."""
        self.sent = now
        self.repeat_loads(now)
        loads = dict(list(self.loads.items())[:MAX_ENTRIES])
        held = dict(list(self.held.items())[:MAX_ENTRIES])
        crashes, self.crashes = self.crashes[:MAX_ENTRIES], self.crashes[MAX_ENTRIES:]
        for key, load in loads.items():
            del self.loads[key]
            if load != (0, 0) or key in self.told_loads:
                self.told_loads[key] = ToldLoad(*load, now)
        for key in held:
            del self.held[key]
            self.told_held[key] = now
        self.forget(now)
        return (
            [LoadNews(key, *load) for key, load in loads.items()],
            [HeldNews(*key, tokens) for key, tokens in held.items()],
            crashes,
        )

    def forget(self, now: float) -> None:
        """Drop records of cached parts that may be sent again anyway."""
        if len(self.told_held) > 4096:
            recent = now - REPEAT_AFTER
            self.told_held = {key: at for key, at in self.told_held.items() if at >= recent}
