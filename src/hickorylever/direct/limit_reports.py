"""What routers tell each other of the rate limits that endpoints name."""

import time

from .endpoints import Endpoint
from .hashes import name_hash
from .peer_protocol import LimitUpdate

MAX_LIMIT_UPDATES = 24  # In one datagram, so that it fits a packet.


class LimitReports:
    """Reports rate limits and the requests sent under them, and applies the others' reports.

    :param node: the components of this router.
    :param peers: table of the other routers.
    :ivar pending: hashes of the names of endpoints to report.
    """

    def __init__(self, node, peers):
        self.node = node
        self.peers = peers
        self.pending: set[int] = set()

    @property
    def router_count(self) -> int:
        """Return the number of routers that are alive, with this one."""
        return len(self.peers.alive(time.monotonic())) + 1

    def queue(self, endpoint: Endpoint) -> None:
        """Queue a report of an endpoint's limit and of the requests sent to it."""
        self.pending.add(name_hash(endpoint.name))

    def take(self) -> list[LimitUpdate]:
        """Remove and return the reports for one datagram."""
        keys = sorted(self.pending)[:MAX_LIMIT_UPDATES]
        self.pending.difference_update(keys)
        return [self.update(key) for key in keys]

    def update(self, key: int) -> LimitUpdate:
        """Return what this router knows of an endpoint's limit.

        :param key: hash of the endpoint's name.
        """
        endpoint = self.node.directory.by_hash.get(key)
        limit = endpoint.rate_limit if endpoint else None
        if limit is None:
            return LimitUpdate(key, None, 0)
        return LimitUpdate(key, limit.rate, limit.own_count)

    def apply(self, address: str, updates: list[LimitUpdate], now: float) -> None:
        """Apply the reports of another router.

        :param address: IP address of the router.
        """
        if not updates:
            return
        router_count = self.router_count
        for update in updates:
            endpoint = self.node.directory.by_hash.get(update.endpoint)
            if endpoint is None:
                continue
            endpoint.limit_rate(update.rate, router_count, now)
            if endpoint.rate_limit is not None:
                endpoint.rate_limit.record_peer_count(address, update.count, now)
