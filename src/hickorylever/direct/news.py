"""What routers tell each other in datagrams, and when: pure state, no sockets.

A datagram holds what changed since the last one: loads of endpoints, prompt parts that an
endpoint now holds, and requests under which an endpoint broke off.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
import xxhash

MAX_ENTRIES = 40  # Of one kind in a datagram, so that it fits a packet.
REPEAT_AFTER = 4.0  # Seconds after which a held part that is used again is told again.
LOAD_REPEAT = 1.2  # Seconds after which an unchanged load is told again; see LOAD_LIFETIME.
HEARTBEAT = 1.0  # Seconds without news after which an empty datagram is sent.
ALIVE_TIME = 4.0  # Seconds without a datagram after which a router counts as away.
FORGET_TIME = 60.0  # Seconds after which a router that is away is forgotten.
FLUSH_INTERVAL = 0.04  # Seconds.
FLUSH_PER_PEER = 0.006  # Seconds added for each router that is told.
FOLLOWERS = 8  # Routers that follow the store.
FOLLOWING_TIME = 1.6  # Seconds that a router's word counts that it follows.
FOLLOW_STEP = 0.05  # Seconds that each further router waits before it follows too.
HELLO_WAIT = 0.05  # Seconds that a starting router gives the others to answer.
PULL_WAIT = 0.5  # Seconds that it gives one that knows the configuration to send it.
HELLO_INTERVAL = 1.5  # Seconds between tries to reach a router that is away.


class LoadNews(msgspec.Struct, array_like=True, frozen=True):
    """Requests and unread prompt tokens that the sender has at an endpoint."""

    endpoint: int
    requests: int
    prefill: int


class HeldNews(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint holds a prompt part; `tokens` is the part's size."""

    endpoint: int
    part: str
    tokens: int


class CrashNews(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint broke off under a request."""

    fingerprint: int
    endpoint: str


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """What one router tells.

    :param incarnation: one run of the sender; a new one starts without loads.
    :param configuration: revision of the configuration in force; 0 for none.
    :param endpoints: highest revision of an endpoint's entry that is known.
    :param domain: number of the sender's failure domain.
    :param rank: order among the routers that may follow the store; the lowest do.
    :param following: the sender follows the store, and reaches it.
    :param answer: the sender wants a datagram back.
    :param leaving: the sender is shutting down.
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
    """Return a datagram's bytes."""
    return _encoder.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Return a datagram from its bytes.

    :raises msgspec.DecodeError: when it is malformed.
    """
    return _decoder.decode(data)


def follower_rank(address: str, link_mbps: float) -> int:
    """Return a router's rank; routers with fast links tend to come first."""
    number = xxhash.xxh3_64_intdigest(address.encode()) & 0xFFFFFFFF
    return int(number / max(1.0, link_mbps))


def short(name: str) -> int:
    """Return the number that stands for an endpoint in datagrams."""
    return xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFFFFFF


@dataclass(slots=True)
class Peer:
    """Another router.

    :param heard: monotonic time of its last datagram; 0 before the first.
    :param known_since: when this router learned of it.
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
        """Tell whether it was heard of lately."""
        return self.heard > 0 and now - self.heard <= ALIVE_TIME

    def follows(self, now: float) -> bool:
        """Tell whether it said lately that it follows the store."""
        return self.following and now - self.heard <= FOLLOWING_TIME


class Peers:
    """The other routers, by IP number.

    :param began: when this router started.
    :ivar lacking_since: when too few routers were first seen to follow the store, or None.
    """

    def __init__(self, own: str, began: float = 0.0):
        self.own = own
        self.began = began
        self.table: dict[str, Peer] = {}
        self.forgotten: list[str] = []
        self.lacking_since: float | None = None

    def learn(self, addresses: Iterable[str], now: float) -> None:
        """Add routers that somebody named."""
        for address in addresses:
            if address != self.own and address not in self.table:
                self.table[address] = Peer(address, now)

    def heard(self, address: str, datagram: Datagram, now: float) -> Peer | None:
        """Note a datagram; return its sender, or None when it says good-bye."""
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
        """Tell whether a router of this rank follows the store itself.

        Enough routers of lower rank that reach it spare the others the calls and the bytes. Where
        some are lacking, the others take their place one after the other by rank.

        :param empty: this router knows no configuration or no endpoints yet.
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
        """Return the seconds in which a starting router leaves the store alone.

        A router that knows the configuration sends it compressed.
        """
        return PULL_WAIT if any(peer.configuration for peer in alive) else HELLO_WAIT

    def take_forgotten(self, rank: int, now: float) -> list[str]:
        """Return the routers forgotten since the last call, if this one is to clean up."""
        forgotten, self.forgotten = self.forgotten, []
        first = all(peer.rank > rank for peer in self.alive(now))
        return forgotten if first else []

    def alive(self, now: float) -> list[Peer]:
        """Return the routers that were heard of lately."""
        return [peer for peer in self.table.values() if peer.alive(now)]

    def away(self, now: float) -> list[Peer]:
        """Return the routers to greet now; those silent for long are forgotten."""
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
    """A load that the other routers were told, and when."""

    requests: int
    prefill: int
    time: float


@dataclass(slots=True)
class Outbox:
    """News that has not been told yet.

    A load is told again while it lasts, so that a lost datagram is made good and the others can
    forget the loads of a router that died. An endpoint that has become idle is told twice.
    """

    loads: dict[int, tuple[int, int]] = field(default_factory=dict)
    told_loads: dict[int, ToldLoad] = field(default_factory=dict)
    held: dict[tuple[int, str], int] = field(default_factory=dict)
    told_held: dict[tuple[int, str], float] = field(default_factory=dict)
    crashes: list[CrashNews] = field(default_factory=list)
    sent: float = 0.0

    def note_load(self, endpoint: str, requests: int, prefill: float) -> None:
        """Note this router's load at an endpoint."""
        key = short(endpoint)
        told = self.told_loads.get(key)
        load = requests, int(prefill)
        if load == ((told.requests, told.prefill) if told else (0, 0)):
            self.loads.pop(key, None)
        else:
            self.loads[key] = load

    def repeat_loads(self, now: float) -> None:
        """Let loads that were told long ago be told again."""
        for key, told in list(self.told_loads.items()):
            if now - told.time < LOAD_REPEAT or key in self.loads:
                continue
            self.loads[key] = told.requests, told.prefill
            if not told.requests:
                del self.told_loads[key]

    def note_held(self, endpoint: str, part: str, tokens: int, now: float) -> None:
        """Note that an endpoint was sent a part that other requests may share."""
        key = short(endpoint), part
        if now - self.told_held.get(key, -REPEAT_AFTER) >= REPEAT_AFTER:
            self.held[key] = tokens

    def note_crash(self, fingerprint: int, endpoint: str) -> None:
        """Note that an endpoint broke off under a request."""
        self.crashes.append(CrashNews(fingerprint, endpoint))

    def due(self, now: float, interval: float) -> bool:
        """Tell whether a datagram is to be sent."""
        waiting = self.loads or self.held or self.crashes
        return now - self.sent >= (interval if waiting else HEARTBEAT)

    def take(self, now: float) -> tuple[list[LoadNews], list[HeldNews], list[CrashNews]]:
        """Return what is to be told, and note it as told."""
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
        """Drop notes on what may be told again anyway."""
        if len(self.told_held) > 4096:
            recent = now - REPEAT_AFTER
            self.told_held = {key: at for key, at in self.told_held.items() if at >= recent}
