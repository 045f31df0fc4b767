"""Routing policies.

A policy is a function that yields the endpoints for one request in order of preference.
"""

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
from .loads import LoadTable, load_bound
from .pools import Pool

HASH_RANGE = float(1 << 64)


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """The properties of a request that a routing policy depends on.

    :param chat: digest that identifies the chat.
    :param prefix: digest of a long prompt prefix shared with other chats, or empty.
    :param work: estimated work in tokens.
    :param now: current monotonic time in seconds.
    """

    chat: str
    prefix: str = ""
    work: float = 0.0
    now: float = 0.0


class LastEndpoints:
    """An LRU map from chats to the endpoints that last served them.

    :param limit: maximum number of chats; the least recently recorded one is evicted first.
    """

    def __init__(self, limit: int = defaults.MAX_REMEMBERED_CHATS):
        self.limit = limit
        self.entries: OrderedDict[str, str] = OrderedDict()

    def record(self, chat: str, endpoint: str) -> None:
        """Record the endpoint that served a chat."""
        self.entries[chat] = endpoint
        self.entries.move_to_end(chat)
        if len(self.entries) > self.limit:
            self.entries.popitem(last=False)

    def get(self, chat: str, default: str = "") -> str:
        """Return the name of a chat's last endpoint, `default` if it is unknown."""
        return self.entries.get(chat, default)


def always_usable(endpoint: str) -> bool:
    """Return True for every endpoint."""
    return True


@dataclass(slots=True)
class View:
    """A router's state that routing policies read.

    :param loads: latest load reports of the endpoints and their means per pool.
    :param multiple: an endpoint's work is bounded by this multiple of its pool's mean.
    :param floor: work in tokens per unit of capacity that is allowed whatever the mean is.
    :param failure_domain: the router's own failure domain.
    :param rng: random number generator.
    :param round_robin_count: number of requests routed by the ``round_robin`` policy.
    :param last_endpoints: last known endpoint of each chat, read by the ``hinted`` policy.
    :param usable: returns whether the named endpoint may receive new requests.
    """

    loads: LoadTable = field(default_factory=LoadTable)
    multiple: float = defaults.LOAD_MULTIPLE
    floor: float = defaults.LOAD_FLOOR_TOKENS
    failure_domain: str = ""
    rng: random.Random = field(default_factory=random.Random)
    round_robin_count: int = 0
    last_endpoints: LastEndpoints = field(default_factory=LastEndpoints)
    usable: Callable[[str], bool] = always_usable


Policy = Callable[[RoutingRequest, Pool, View], Iterator[Endpoint]]
policies: Registry[Policy] = Registry("routing policy")


def work_per_capacity(endpoint: Endpoint, view: View) -> float:
    """Return an endpoint's last reported work in tokens per unit of capacity, 0 if unknown."""
    load = view.loads.get(endpoint.name)
    return load.work / endpoint.capacity if load else 0.0


def filter_usable(endpoints: Iterator[Endpoint], view: View) -> Iterator[Endpoint]:
    """Yield the endpoints that may receive new requests."""
    return (endpoint for endpoint in endpoints if view.usable(endpoint.name))


def apply_load_bound(
    endpoints: Iterator[Endpoint], request: RoutingRequest, pool: Pool, view: View
) -> Iterator[Endpoint]:
    """Yield the endpoints whose load stays within the bound, then the others by load.

    Endpoints within the bound keep their order. An endpoint at or below the pool's mean is always
    within the bound. No more than `MAX_RING_CANDIDATES` endpoints are considered.
    """
    mean = view.loads.mean(pool.name, request.now)
    limit = load_bound(mean, 1, view.multiple, view.floor)
    overloaded = []
    for endpoint in itertools.islice(endpoints, defaults.MAX_RING_CANDIDATES):
        work = work_per_capacity(endpoint, view)
        if work > mean and work + request.work / endpoint.capacity > limit:
            overloaded.append((work, endpoint))
        else:
            yield endpoint
    overloaded.sort(key=lambda entry: entry[0])
    yield from (endpoint for _, endpoint in overloaded)


def score(key: str, endpoint: Endpoint) -> float:
    """Return the weighted rendezvous hashing score of an endpoint for a key."""
    value = xxhash.xxh3_64_intdigest(f"{key}\x00{endpoint.name}".encode())
    return -endpoint.capacity / math.log((value + 0.5) / HASH_RANGE)


def rendezvous_order(key: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the endpoints by descending rendezvous score."""
    return sorted(endpoints, key=lambda endpoint: score(key, endpoint), reverse=True)


def ring_order(request: RoutingRequest, pool: Pool) -> Iterator[Endpoint]:
    """Yield a pool's endpoints in ring order for a chat.

    Chats that share a long prefix start with the same `ENDPOINTS_PER_PREFIX` endpoints, which each
    chat ranks differently.
    """
    if not request.prefix:
        yield from pool.walk(request.chat)
        return
    walk = pool.walk(request.prefix)
    yield from rendezvous_order(
        request.chat, list(itertools.islice(walk, defaults.ENDPOINTS_PER_PREFIX))
    )
    yield from walk


@policies.register("bounded")
def bounded(request: RoutingRequest, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Consistent hashing with bounded loads: walk the ring and skip overloaded endpoints."""
    return apply_load_bound(filter_usable(ring_order(request, pool), view), request, pool, view)


def last_endpoint_first(request: RoutingRequest, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Yield the chat's last known endpoint, then the others in ring order."""
    last_endpoint = pool.by_name.get(view.last_endpoints.get(request.chat, ""))
    if last_endpoint is not None:
        yield last_endpoint
    yield from (
        endpoint for endpoint in ring_order(request, pool) if endpoint is not last_endpoint
    )


@policies.register("hinted")
def hinted(request: RoutingRequest, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Like ``bounded``, but prefer the endpoint that last served the chat."""
    return apply_load_bound(
        filter_usable(last_endpoint_first(request, pool, view), view), request, pool, view
    )


def domain_first(endpoints: Iterator[Endpoint], domain: str) -> Iterator[Endpoint]:
    """Yield the endpoints of a failure domain before the others; keep the order within each."""
    others = []
    for endpoint in endpoints:
        if endpoint.failure_domain == domain:
            yield endpoint
        else:
            others.append(endpoint)
    yield from others


@policies.register("zoned")
def zoned(request: RoutingRequest, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Like ``bounded``, but prefer endpoints in the router's own failure domain."""
    near = domain_first(ring_order(request, pool), view.failure_domain)
    return apply_load_bound(filter_usable(near, view), request, pool, view)


@policies.register("rendezvous")
def rendezvous(request: RoutingRequest, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Like ``bounded``, but rank the endpoints by rendezvous hashing instead of the ring."""
    best = iter(rendezvous_order(request.prefix or request.chat, pool))
    return apply_load_bound(filter_usable(best, view), request, pool, view)


@policies.register("consistent")
def consistent(request: RoutingRequest, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Plain consistent hashing: walk the ring without a load bound."""
    return filter_usable(pool.walk(request.chat), view)


@policies.register("least_load")
def least_load(request: RoutingRequest, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Rank the endpoints by reported work; break ties at random."""
    shuffled = view.rng.sample(pool.endpoints, len(pool))
    ordered = sorted(shuffled, key=lambda endpoint: work_per_capacity(endpoint, view))
    return filter_usable(iter(ordered), view)


@policies.register("random")
def shuffle(request: RoutingRequest, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Rank the endpoints at random."""
    return filter_usable(iter(view.rng.sample(pool.endpoints, len(pool))), view)


@policies.register("round_robin")
def round_robin(request: RoutingRequest, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Start at the next endpoint of the pool for each request."""
    view.round_robin_count += 1
    start = view.round_robin_count % max(1, len(pool))
    return filter_usable(iter((*pool[start:], *pool[:start])), view)


@policies.register("near")
def near(request: RoutingRequest, pool: Pool, view: View) -> Iterator[Endpoint]:
    """Prefer the router's failure domain and take the less loaded of two random endpoints.

    For requests without a chat, whose key is random.
    """
    walk = pool.walk(request.chat)
    candidates = domain_first(
        itertools.islice(walk, defaults.MAX_RING_CANDIDATES), view.failure_domain
    )
    ordered_candidates = list(filter_usable(candidates, view))
    head = sorted(ordered_candidates[:2], key=lambda endpoint: work_per_capacity(endpoint, view))
    return apply_load_bound(
        itertools.chain(head, ordered_candidates[2:], filter_usable(walk, view)),
        request,
        pool,
        view,
    )
