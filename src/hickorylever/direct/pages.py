"""Pages for the balancer and for metrics."""

import os
import time

from ..exceptions import RequestError
from ..http import Exchange, Server
from .node import Node
from .router import Router


class MetricsPage:
    """Serves the metrics."""

    def __init__(self, node: Node, router: Router):
        self.node = node
        self.router = router
        self.server = Server(self.handle, refuse_plainly)

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the text exposition format."""
        self.refresh()
        fields = [(b"content-type", b"text/plain; version=0.0.4")]
        await exchange.respond(200, fields, self.node.metrics.render())

    def refresh(self) -> None:
        """Set the gauges."""
        node = self.node
        metrics = node.metrics
        now = time.monotonic()
        metrics.in_flight.set({}, self.router.in_flight)
        metrics.peers.set({}, len(node.peer_sync.peers.alive(now)))
        metrics.descriptors.set({}, len(os.listdir("/proc/self/fd")))
        for service, pool in node.directory.pools.items():
            metrics.endpoints.set({"service": service}, len(pool))
            metrics.budget_left.set({"service": service}, node.budget.left(service, now))
        for service, line in self.router.forwarder.lines.items():
            metrics.waiting.set({"service": service}, len(line.tickets))
        for watcher in node.store_watchers:
            metrics.store_age.set({"kind": watcher.kind}, now - watcher.last_success_at)


class Readiness:
    """Answers the balancer."""

    def __init__(self, node: Node, path: str):
        self.node = node
        self.path = path
        self.server = Server(self.handle, refuse_plainly)

    async def handle(self, exchange: Exchange) -> None:
        """Tell whether new connections should come here."""
        ready = self.node.ready()
        await exchange.respond(200 if ready else 503, body=b"ready\n" if ready else b"not ready\n")


async def refuse_plainly(exchange: Exchange, error: RequestError) -> None:
    """Answer a malformed check."""
    await exchange.respond(400, body=b"malformed\n")
