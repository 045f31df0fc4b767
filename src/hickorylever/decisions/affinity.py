"""Choice of an endpoint: every policy yields the endpoints for one request, best first."""

import itertools
import math
import random
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

import xxhash

from .. import defaults
from ..records import Endpoint
from ..registry import Registry
from .loads import Loads, cap
from .pools import Pool

HASH_RANGE = float(1 << 64)


@dataclass(frozen=True, slots=True)
class Ask:
    """What a policy is asked to place.

    :param chat: the chat's identity.
    :param prefix: identity of a long prefix that other chats share, or empty.
    :param work: estimated tokens.
    :param now: monotonic seconds.
    """

    chat: str
    prefix: str = ""
    work: float = 0.0
    now: float = 0.0


class Places:
    """The endpoint that each recent chat was last at.

    :param limit: chats that are remembered; the least recently placed go first.
    """

    def __init__(self, limit: int = defaults.MAX_REMEMBERED_CHATS):
        self.limit = limit
        self.entries: OrderedDict[str, str] = OrderedDict()

    def note(self, chat: str, endpoint: str) -> None:
        """Remember a chat's endpoint."""
        self.entries[chat] = endpoint
        self.entries.move_to_end(chat)
        if len(self.entries) > self.limit:
            self.entries.popitem(last=False)

    def get(self, chat: str, default: str = "") -> str:
        """Return a chat's last endpoint."""
        return self.entries.get(chat, default)


def usable_always(endpoint: str) -> bool:
    """Take every endpoint as usable."""
    return True


@dataclass(slots=True)
class View:
    """What a router knows when it chooses.

    :param loads: known loads, by endpoint and as means of pools.
    :param multiple: the load bound's multiple of the mean.
    :param floor: work in tokens per unit of capacity below which no bound holds.
    :param failure_domain: of the router.
    :param places: last known endpoint by chat, where hints are used.
    :param usable: tells whether an endpoint may be given new work.
    """

    loads: Loads = field(default_factory=Loads)
    multiple: float = defaults.LOAD_MULTIPLE
    floor: float = defaults.LOAD_FLOOR_TOKENS
    failure_domain: str = ""
    chance: random.Random = field(default_factory=random.Random)
    turn: int = 0
    places: Places = field(default_factory=Places)
    usable: Callable[[str], bool] = usable_always


Policy = Callable[[Ask, Pool, View], Iterator[Endpoint]]
policies: Registry[Policy] = Registry("routing policy")


def work_of(endpoint: Endpoint, view: View) -> float:
    """Return the known work of an endpoint per unit of capacity, in tokens."""
    load = view.loads.get(endpoint.name)
    return load.work / endpoint.capacity if load else 0.0


def usable(endpoints: Iterator[Endpoint], view: View) -> Iterator[Endpoint]:
    """Yield the endpoints that may be given new work."""
    return (endpoint for endpoint in endpoints if view.usable(endpoint.name))


def bound(endpoints: Iterator[Endpoint], ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Yield the endpoints that have room for the work in the given order, then the others.

    Only the first few are looked at; those without room follow by their load.
    """
    mean = view.loads.mean(pool.name, ask.now)
    limit = cap(mean, 1, view.multiple, view.floor)
    passed = []
    for endpoint in itertools.islice(endpoints, defaults.MAX_RING_CANDIDATES):
        work = work_of(endpoint, view)
        if work > mean and work + ask.work / endpoint.capacity > limit:
            passed.append((work, endpoint))
        else:
            yield endpoint
    passed.sort(key=lambda entry: entry[0])
    yield from (endpoint for _, endpoint in passed)


def score(key: str, endpoint: Endpoint) -> float:
    """Return the weighted rendezvous score of an endpoint for a key."""
    value = xxhash.xxh3_64_intdigest(f"{key}\x00{endpoint.name}".encode())
    return -endpoint.capacity / math.log((value + 0.5) / HASH_RANGE)


def ranked(key: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints by falling rendezvous score."""
    return sorted(endpoints, key=lambda endpoint: score(key, endpoint), reverse=True)


def order(ask: Ask, pool: Pool) -> Iterator[Endpoint]:
    """Yield a chat's endpoints by the ring.

    Chats that share a long prefix have the same few endpoints first, each in its own order.
    """
    if not ask.prefix:
        yield from pool.walk(ask.chat)
        return
    walk = pool.walk(ask.prefix)
    yield from ranked(ask.chat, list(itertools.islice(walk, defaults.ENDPOINTS_PER_PREFIX)))
    yield from walk


@policies.register("bounded")
def bounded(ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Walk the ring from the chat on, past endpoints over their bound."""
    return bound(usable(order(ask, pool), view), ask, pool, view)


def recalled(ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Yield the chat's last known place, then the ring's order without it."""
    place = pool.names.get(view.places.get(ask.chat, ""))
    if place is not None:
        yield place
    yield from (endpoint for endpoint in order(ask, pool) if endpoint is not place)


@policies.register("hinted")
def hinted(ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Like ``bounded``, but a chat first returns to its last known place."""
    return bound(usable(recalled(ask, pool, view), view), ask, pool, view)


def near_first(endpoints: Iterator[Endpoint], domain: str) -> Iterator[Endpoint]:
    """Yield the endpoints of a failure domain before the others, each in the given order."""
    others = []
    for endpoint in endpoints:
        if endpoint.failure_domain == domain:
            yield endpoint
        else:
            others.append(endpoint)
    yield from others


@policies.register("zoned")
def zoned(ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Like ``bounded``, but with the router's own failure domain first."""
    near = near_first(order(ask, pool), view.failure_domain)
    return bound(usable(near, view), ask, pool, view)


@policies.register("rendezvous")
def rendezvous(ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Like ``bounded``, with every endpoint ranked by rendezvous hashing in place of the ring."""
    best = iter(ranked(ask.prefix or ask.chat, pool))
    return bound(usable(best, view), ask, pool, view)


@policies.register("consistent")
def consistent(ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Walk the ring from the chat on, without a bound."""
    return usable(pool.walk(ask.chat), view)


@policies.register("least_load")
def least_load(ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Rank by known work, ties at random."""
    shuffled = view.chance.sample(pool.endpoints, len(pool))
    ordered = sorted(shuffled, key=lambda endpoint: work_of(endpoint, view))
    return usable(iter(ordered), view)


@policies.register("random")
def shuffle(ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Rank at random."""
    return usable(iter(view.chance.sample(pool.endpoints, len(pool))), view)


@policies.register("round_robin")
def round_robin(ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Rank in turn."""
    view.turn += 1
    start = view.turn % max(1, len(pool))
    return usable(iter((*pool[start:], *pool[:start])), view)


@policies.register("near")
def near(ask: Ask, pool: Pool, view: View) -> Iterator[Endpoint]:
    """For requests without a chat: the own failure domain first, the less loaded of each two."""
    walk = pool.walk(ask.chat)
    few = near_first(itertools.islice(walk, defaults.MAX_RING_CANDIDATES), view.failure_domain)
    first = list(usable(few, view))
    head = sorted(first[:2], key=lambda endpoint: work_of(endpoint, view))
    return bound(itertools.chain(head, first[2:], usable(walk, view)), ask, pool, view)
