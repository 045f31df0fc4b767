"""What routers tell each other of endpoints that have become cold.

A warm endpoint may become cold at any moment. The router that reads it first, in an answer or in
an entry that it watches, tells the others, which would send at full load until they read it too.
"""

from .cold_start import ColdReason
from .hashes import name_hash
from .peer_protocol import MILLISECONDS_PER_SECOND, ColdUpdate

MAX_COLD_UPDATES = 24  # In one datagram, so that it fits a packet.


class ColdReports:
    """Reports endpoints that have become cold, and applies the others' reports.

    :param node: the components of this router.
    :ivar pending: names of endpoints to report.
    """

    def __init__(self, node):
        self.node = node
        self.pending: set[str] = set()

    def queue(self, name: str, reason: ColdReason) -> None:
        """Queue a report of an endpoint if this router was among the first to know.

        These are the routers that got an answer of it, and those that watch its entry.

        :param reason: how this router learned of it.
        """
        if reason is ColdReason.ANSWER or (
            reason is ColdReason.ENTRY and self.node.peer_sync.watching()
        ):
            self.pending.add(name)

    def take(self, now: float) -> list[ColdUpdate]:
        """Remove and return the reports for one datagram.

        :param now: monotonic seconds.
        """
        names = sorted(self.pending)[:MAX_COLD_UPDATES]
        self.pending.difference_update(names)
        endpoints = self.node.directory.endpoints
        cold = [endpoints[name] for name in names if name in endpoints]
        return [
            ColdUpdate(
                name_hash(endpoint.name),
                endpoint.entry.started_ms,
                int((endpoint.cold.cold_until - now) * MILLISECONDS_PER_SECOND),
            )
            for endpoint in cold
            if endpoint.is_cold(now)
        ]

    def apply(self, updates: list[ColdUpdate], now: float) -> None:
        """Apply the reports of another router; those about other starts are left out.

        :param now: monotonic seconds.
        """
        directory = self.node.directory
        for update in updates:
            endpoint = directory.by_hash.get(update.endpoint)
            if endpoint is not None and endpoint.entry.started_ms == update.started_ms:
                left = update.left_ms / MILLISECONDS_PER_SECOND
                directory.cold_starts.record_report(endpoint, left, now)
