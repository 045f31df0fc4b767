"""Endpoints that have ended, and whose entry may still be that of their former process.

An endpoint that crashes and starts again under its name serves from its start on, but its new
entry reaches the routers later. Until then its entry may name another software version than the
one that serves, and a stream must neither go on there nor be recorded with that version. The load
that this handles: requests that arrive within moments of a crash. An endpoint whose connections
are refused has ended. Its entry is doubted until one of its next process arrives, or until it has
been reachable for so long that a new entry would have arrived.
"""

from dataclasses import dataclass

from .endpoints import Endpoint
from .hashes import name_hash
from .versions import SETTLE_SECONDS

REPORT_COUNT = 2  # Datagrams that report a doubt, as one may be lost.
PROBE_SECONDS = 0.15  # For a connection that shows whether an endpoint has ended.


@dataclass(slots=True)
class Doubt:
    """An endpoint whose entry is doubted. Times are monotonic seconds.

    :param incarnation: of the entry that is doubted.
    :param since: when a connection was refused.
    :param reachable_at: when a connection was opened again or a request answered, or None.
    """

    incarnation: tuple[int, str]
    since: float
    reachable_at: float | None = None


class Restarts:
    """The endpoints whose entries are doubted, by the hash of their name.

    :ivar reports: how many datagrams still report a doubt, by the hash of the endpoint's name.
    """

    def __init__(self):
        self.doubts: dict[int, Doubt] = {}
        self.reports: dict[int, int] = {}

    def record_refusal(self, endpoint: Endpoint, now: float, report: bool = True) -> bool:
        """Doubt an endpoint's entry, and return whether it was not doubted before.

        :param report: whether to report it to the other routers.
        """
        key = name_hash(endpoint.name)
        new = not self.is_doubted(endpoint, now)
        since = now if new else self.doubts[key].since
        self.doubts[key] = Doubt(endpoint.entry.incarnation, since)
        if report and new:
            self.reports[key] = REPORT_COUNT
        return new

    def record_connection(self, endpoint: Endpoint, opened_at: float) -> None:
        """Record that an endpoint answers again.

        :param opened_at: monotonic seconds at which a connection was opened, or a request sent.
        """
        doubt = self.doubts.get(name_hash(endpoint.name)) if self.doubts else None
        if doubt is not None and doubt.reachable_at is None and opened_at > doubt.since:
            doubt.reachable_at = opened_at

    def is_doubted(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint may have another version than its entry says."""
        doubt = self.doubts.get(name_hash(endpoint.name)) if self.doubts else None
        if doubt is None:
            return False
        reachable = doubt.reachable_at is not None and now - doubt.reachable_at > SETTLE_SECONDS
        return doubt.incarnation == endpoint.entry.incarnation and not reachable

    def take_reports(self) -> list[int]:
        """Return the hashes of the names of endpoints to report, for the next datagram."""
        keys = list(self.reports)
        self.reports = {key: count - 1 for key, count in self.reports.items() if count > 1}
        return keys

    def expire(self, by_hash: dict[int, Endpoint], now: float) -> None:
        """Forget doubts that are settled, and those of endpoints that are gone."""
        for key in list(self.doubts):
            endpoint = by_hash.get(key)
            if endpoint is None or not self.is_doubted(endpoint, now):
                del self.doubts[key]
