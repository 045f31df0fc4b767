"""Choice of an endpoint: every policy ranks the endpoints for one request."""

import math
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import xxhash

from ..records import Endpoint, Load
from ..registry import Registry


@dataclass(slots=True)
class View:
    """What a router knows when it chooses.

    :param loads: last known load by endpoint name.
    :param multiple: the load bound's multiple of the mean.
    :param floor: work in tokens below which no bound holds.
    :param failure_domain: of the router.
    """

    loads: Mapping[str, Load] = field(default_factory=dict)
    multiple: float = 1.25
    floor: float = 8192.0
    failure_domain: str = ""
    chance: random.Random = field(default_factory=random.Random)
    turn: int = 0


Policy = Callable[[str, float, Sequence[Endpoint], View], list[Endpoint]]
policies: Registry[Policy] = Registry("routing policy")

HASH_RANGE = float(1 << 64)


def score(chat: str, endpoint: Endpoint) -> float:
    """Return the weighted rendezvous score of an endpoint for a chat."""
    value = xxhash.xxh3_64_intdigest(f"{chat}\x00{endpoint.name}".encode())
    return -endpoint.capacity / math.log((value + 0.5) / HASH_RANGE)


def work_of(endpoint: Endpoint, view: View) -> float:
    """Return the known work of an endpoint per unit of capacity, in tokens."""
    load = view.loads.get(endpoint.name)
    return load.work / endpoint.capacity if load else 0.0


@policies.register("rendezvous")
def rendezvous(
    chat: str, work: float, endpoints: Sequence[Endpoint], view: View
) -> list[Endpoint]:
    """Rank by weighted rendezvous hashing alone."""
    return sorted(endpoints, key=lambda endpoint: score(chat, endpoint), reverse=True)


@policies.register("bounded")
def bounded(chat: str, work: float, endpoints: Sequence[Endpoint], view: View) -> list[Endpoint]:
    """Rank by rendezvous hashing, endpoints over their bound last."""
    ranked = rendezvous(chat, work, endpoints, view)
    mean = sum(work_of(endpoint, view) for endpoint in ranked) / max(1, len(ranked))
    cap = max(view.floor, view.multiple * mean)
    return sorted(ranked, key=lambda endpoint: work_of(endpoint, view) >= cap)


@policies.register("least_load")
def least_load(
    chat: str, work: float, endpoints: Sequence[Endpoint], view: View
) -> list[Endpoint]:
    """Rank by known work, ties at random."""
    shuffled = view.chance.sample(list(endpoints), len(endpoints))
    return sorted(shuffled, key=lambda endpoint: work_of(endpoint, view))


@policies.register("random")
def shuffle(chat: str, work: float, endpoints: Sequence[Endpoint], view: View) -> list[Endpoint]:
    """Rank at random."""
    return view.chance.sample(list(endpoints), len(endpoints))


@policies.register("round_robin")
def round_robin(
    chat: str, work: float, endpoints: Sequence[Endpoint], view: View
) -> list[Endpoint]:
    """Rank in turn."""
    view.turn += 1
    start = view.turn % max(1, len(endpoints))
    return [*endpoints[start:], *endpoints[:start]]
