"""HTTP servers for metrics and for the load balancer's readiness checks."""

import os
import time
from collections import Counter

from ..exceptions import RequestError
from ..http import Exchange, Server
from .node import Node
from .router import Router

WHERE_PATH = "/where"  # Answers where a described request would go.


class MetricsServer:
    """Serves the metrics, and answers where requests would go."""

    def __init__(self, node: Node, router: Router):
        self.node = node
        self.router = router
        self.accounts_waiting: set[tuple[str, str]] = set()
        self.server = Server(self.handle, respond_malformed)

    async def handle(self, exchange: Exchange) -> None:
        """Respond with the metrics in the text exposition format, or to a question."""
        if exchange.path == WHERE_PATH:
            from .where import Where  # Not at the start, most of whose time is taken by imports.

            await Where(self.node, self.router.forwarder).handle(exchange)
            return
        self.update_gauges()
        fields = [(b"content-type", b"text/plain; version=0.0.4")]
        await exchange.respond(200, fields, self.node.metrics.render())

    def update_gauges(self) -> None:
        """Set the gauges to their current values."""
        node = self.node
        metrics = node.metrics
        now = time.monotonic()
        metrics.held_bytes.set({}, node.held.size)
        metrics.in_flight.set({}, self.router.in_flight)
        metrics.peers.set({}, len(node.peer_sync.peers.alive(now)))
        metrics.quarantined.set({}, len(node.quarantine.tracker.quarantine))
        metrics.descriptors.set({}, len(os.listdir("/proc/self/fd")))
        for service, pool in node.directory.pools.items():
            metrics.endpoints.set({"service": service}, len(pool))
            limited = sum(endpoint.rate_limit is not None for endpoint in pool)
            metrics.rate_limits.set({"service": service}, limited)
            cold = sum(endpoint.is_cold(now) for endpoint in pool)
            metrics.cold.set({"service": service}, cold)
            metrics.budget_left.set({"service": service}, node.budget.remaining(service, now))
        self.update_paces(now)
        self.update_waiting()
        for watcher in node.store_watchers:
            metrics.store_age.set({"kind": watcher.kind}, now - watcher.last_success_at)

    def update_waiting(self) -> None:
        """Set the gauges of queued requests, also those that fell to 0."""
        node = self.node
        metrics = node.metrics
        waiting = Counter()
        by_account = Counter(dict.fromkeys(self.accounts_waiting, 0))
        for (service, _), queue in self.router.forwarder.placer.queues.items():
            waiting[service] += len(queue.entries)
            for entry in queue.entries:
                if entry.flow is not None:
                    by_account[service, node.account_labels.label(entry.flow.account)] += 1
        for service, count in waiting.items():
            metrics.waiting.set({"service": service}, count)
        for (service, account), count in by_account.items():
            metrics.account_waiting.set({"service": service, "account": account}, count)
        self.accounts_waiting = {key for key, count in by_account.items() if count}

    def update_paces(self, now: float) -> None:
        """Set the gauges of the services whose endpoints state their pace."""
        node = self.node
        metrics = node.metrics
        for service, rates in node.peer_sync.paces.services.items():
            metrics.prefill_rate.set({"service": service}, 1.0 / rates.first_event.slope)
            for part, seconds in (("base", rates.step.intercept), ("request", rates.step.slope)):
                metrics.step_seconds.set({"service": service, "part": part}, seconds)
            for endpoint in node.directory.pool(service):
                labels = {"endpoint": endpoint.name}
                metrics.pace.set(labels, endpoint.pace.pace(now))
                metrics.pace_confidence.set(labels, endpoint.pace.confidence(now))
                start = endpoint.active_slow_start
                metrics.windows.set(labels, start.window if start else 0)


class ReadinessServer:
    """Serves the load balancer's readiness checks."""

    def __init__(self, node: Node, path: str):
        self.node = node
        self.path = path
        self.server = Server(self.handle, respond_malformed)

    async def handle(self, exchange: Exchange) -> None:
        """Respond with 200 if the load balancer should send new connections here, else 503.

        A draining router responds with 503 although it still accepts connections for
        `router.DRAIN_ACCEPT_SECONDS`.
        """
        ready = self.node.ready()
        await exchange.respond(200 if ready else 503, body=b"ready\n" if ready else b"not ready\n")


async def respond_malformed(exchange: Exchange, error: RequestError) -> None:
    """Respond to a malformed request."""
    await exchange.respond(400, body=b"malformed\n")
