"""The endpoints of a service, and the order in which each prompt prefers them."""

from array import array
from collections import OrderedDict
from collections.abc import Iterable, Sequence

import xxhash

from .endpoints import Endpoint
from .records import PromptPart

MAX_ORDERS = 2048  # Prompts whose order is remembered.


def shared_parts(parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
    """Return the parts that other requests may share: all but the last one."""
    return parts[:-1] or parts


class Pool(list[Endpoint]):
    """Endpoints of a service, sorted by name.

    Hashing every endpoint for each request would cost a router with hundreds of endpoints more
    than the rest of the request. Orders are therefore computed once for each prompt, and kept
    until the endpoints' names change.

    :param previous: the pool that this one replaces.
    :ivar orders: indexes of the endpoints in rendezvous order, by the id of the prompt's last
        shared part, least recently used first.
    """

    def __init__(self, endpoints: Iterable[Endpoint] = (), previous: "Pool | None" = None):
        super().__init__(sorted(endpoints, key=lambda endpoint: endpoint.name))
        self.names = tuple(endpoint.name for endpoint in self)
        unchanged = previous is not None and previous.names == self.names
        self.orders: OrderedDict[str, array] = previous.orders if unchanged else OrderedDict()

    def ranked(self, parts: Sequence[PromptPart]) -> list[Endpoint]:
        """Return the endpoints ordered by rendezvous hashing of a prompt's shared prefix.

        All routers compute the same order without communication.
        """
        key = shared_parts(parts)[-1].id if parts else ""
        order = self.orders.get(key)
        if order is None:
            order = self.orders[key] = self.compute_order(key)
            if len(self.orders) > MAX_ORDERS:
                self.orders.popitem(last=False)
        else:
            self.orders.move_to_end(key)
        return [self[index] for index in order]

    def compute_order(self, key: str) -> array:
        """Return the indexes of the endpoints in the rendezvous order of a key."""

        def score(index: int) -> int:
            return xxhash.xxh3_64_intdigest(f"{key}\0{self.names[index]}".encode())

        return array("L", sorted(range(len(self)), key=score, reverse=True))
