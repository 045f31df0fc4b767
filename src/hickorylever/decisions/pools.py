"""Pools of endpoints with their hash rings, and the groups whose mean load is tracked."""

import math
from array import array
from bisect import bisect_left
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property

import xxhash

from .. import defaults
from ..records import Endpoint


@dataclass(frozen=True, slots=True)
class Ring:
    """A consistent hashing ring of 64-bit hashes.

    :param points: hashes in ascending order.
    :param owners: index in the pool of the endpoint that owns each point.
    """

    points: array
    owners: array


def make_ring(endpoints: Sequence[Endpoint]) -> Ring:
    """Return the ring of some endpoints.

    An endpoint has points in proportion to its capacity, so that it receives that share of keys.
    """
    unit = math.gcd(*(endpoint.capacity for endpoint in endpoints)) if endpoints else 1
    pairs = []
    for owner, endpoint in enumerate(endpoints):
        for number in range(defaults.RING_POINTS * endpoint.capacity // unit):
            point = xxhash.xxh3_64_intdigest(f"{endpoint.name}\x00{number}".encode())
            pairs.append((point, owner))
    pairs.sort()
    points = array("Q", (point for point, _ in pairs))
    return Ring(points, array("L", (owner for _, owner in pairs)))


class Pool(Sequence):
    """The endpoints of one model or plain service.

    :param name: kind and name of what is served, such as ``model m``; also the name of the
        pool's group in the load table.
    """

    def __init__(self, name: str, endpoints: Sequence[Endpoint] = ()):
        self.name = name
        self.endpoints = tuple(endpoints)

    def __len__(self) -> int:
        return len(self.endpoints)

    def __getitem__(self, index):
        return self.endpoints[index]

    @cached_property
    def ring(self) -> Ring:
        """The pool's hash ring, built on first use."""
        return make_ring(self.endpoints)

    @cached_property
    def by_name(self) -> dict[str, Endpoint]:
        """The pool's endpoints by name."""
        return {endpoint.name: endpoint for endpoint in self.endpoints}

    def walk(self, key: str) -> Iterator[Endpoint]:
        """Yield every endpoint once, in ring order from the hash of a key."""
        points, owners = self.ring.points, self.ring.owners
        size = len(points)
        start = bisect_left(points, xxhash.xxh3_64_intdigest(key.encode()))
        seen = set()
        for step in range(start, start + size):
            owner = owners[step % size]
            if owner in seen:
                continue
            seen.add(owner)
            yield self.endpoints[owner]
            if len(seen) == len(self.endpoints):
                return


def make_pools(
    kind: str, endpoints_by_name: Mapping[str, Sequence[Endpoint]], existing: Mapping[str, Pool]
) -> dict[str, Pool]:
    """Return pools by name.

    A pool whose endpoints have not changed is reused, since building its ring is expensive.

    :param kind: kind of pool, ``model`` or ``application``; the first word of its name.
    :param endpoints_by_name: endpoints of each pool.
    :param existing: existing pools.
    """
    pools = {}
    for name, endpoints in endpoints_by_name.items():
        pool = existing.get(name)
        unchanged = pool is not None and pool.endpoints == tuple(endpoints)
        pools[name] = pool if unchanged else Pool(f"{kind} {name}", endpoints)
    return pools


def peer_group(endpoint: Endpoint) -> str:
    """Return the name of the load group that holds an endpoint and its peers."""
    return f"peers of {endpoint.name}"


def are_peers(one: Endpoint, other: Endpoint) -> bool:
    """Return whether two endpoints serve the same application and, if any, a common model."""
    if one.application != other.application:
        return False
    return not one.models or bool(set(one.models) & set(other.models))


def load_groups(pools: Sequence[Pool], vm: str) -> dict[str, tuple[str, ...]]:
    """Return the groups of endpoints whose mean load a node tracks, by group name.

    :param pools: the pools of all models and plain services.
    :param vm: name of the node's own VM. A sidecar also tracks the peers of its endpoint.
    """
    groups = {pool.name: tuple(pool.by_name) for pool in pools}
    members = {endpoint.name: endpoint for pool in pools for endpoint in pool}
    for local in [endpoint for endpoint in members.values() if endpoint.vm == vm]:
        peers = [name for name, other in members.items() if are_peers(local, other)]
        groups[peer_group(local)] = tuple(peers)
    return groups
