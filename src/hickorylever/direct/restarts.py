"""Endpoints that have ended, and whose entry may still be that of their former process.

An endpoint that crashes and starts again under its name serves from its start on, but its new
entry reaches the routers later. Until then its entry may name another software version than the
one that serves, and a stream must neither go on there nor be recorded with that version. This
matters for requests that arrive within moments of a crash. An endpoint whose connections are
refused, or all break at once, has ended. Its entry is doubted until one of its next process
arrives, or until it has been reachable for so long that a new entry would have arrived.
"""

from dataclasses import dataclass

from .endpoints import Endpoint
from .hashes import name_hash
from .peer_protocol import EndedUpdate
from .versions import SETTLE_SECONDS

REPORT_COUNT = 2  # Datagrams that report a doubt, as one may be lost.
SAME_BREAK_SECONDS = 0.1  # Between connections that break at once.


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
    """The endpoints whose entries are doubted, and the attempts that show it.

    :ivar active: when each attempt in flight at an endpoint began, by the name of the endpoint.
    :ivar breaks: when the latest attempt at an endpoint broke, by the name of the endpoint.
    :ivar doubts: doubted entries, by the hash of the endpoint's name.
    :ivar reports: how many datagrams still report a doubt.
    """

    def __init__(self):
        self.active: dict[str, list[float]] = {}
        self.breaks: dict[str, float] = {}
        self.doubts: dict[int, Doubt] = {}
        self.reports: dict[EndedUpdate, int] = {}

    def doubt(self, endpoint: Endpoint) -> Doubt | None:
        """Return the latest doubt about an endpoint's entry, which may be settled, or None."""
        return self.doubts.get(name_hash(endpoint.name)) if self.doubts else None

    def begin_attempt(self, endpoint: Endpoint, now: float) -> None:
        """Record that an attempt begins.

        :param now: monotonic seconds, which identify the attempt when it ends.
        """
        self.active.setdefault(endpoint.name, []).append(now)

    def end_attempt(self, endpoint: Endpoint, began: float) -> None:
        """Record that an attempt has ended in any way."""
        active = self.active[endpoint.name]
        active.remove(began)
        if not active:
            del self.active[endpoint.name]

    def record_break(self, endpoint: Endpoint, began: float, now: float) -> bool:
        """Record that a connection broke, and return whether all of this router's did at once.

        A crash breaks all connections of an endpoint. Where the next process is there at once, no
        connection is refused.

        :param began: when the attempt began whose connection broke.
        """
        earlier = self.breaks.get(endpoint.name)
        self.breaks[endpoint.name] = now
        if earlier is None or began >= earlier or now - earlier > SAME_BREAK_SECONDS:
            return False
        return all(start >= earlier for start in self.active.get(endpoint.name, ()))

    def record_refusal(self, endpoint: Endpoint, now: float, report: bool = True) -> bool:
        """Doubt an endpoint's entry, and return whether it was not doubted before.

        :param report: whether to report it to the other routers.
        """
        key = name_hash(endpoint.name)
        new = not self.is_doubted(endpoint, now)
        since = now if new else self.doubts[key].since
        self.doubts[key] = Doubt(endpoint.entry.incarnation, since)
        if report and new:
            self.reports[EndedUpdate(key, *endpoint.entry.incarnation)] = REPORT_COUNT
        return new

    def apply(self, endpoint: Endpoint | None, update: EndedUpdate, now: float) -> None:
        """Doubt an endpoint's entry, as another router reports, unless a new one has arrived.

        :param endpoint: None if it is not known.
        """
        if endpoint is not None and endpoint.entry.incarnation == (
            update.started_ms,
            update.version,
        ):
            self.record_refusal(endpoint, now, report=False)

    def record_connection(self, endpoint: Endpoint, opened_at: float) -> None:
        """Record that an endpoint answers again.

        :param opened_at: monotonic seconds at which a connection was opened, or a request sent.
        """
        doubt = self.doubt(endpoint)
        if doubt is not None and doubt.reachable_at is None and opened_at > doubt.since:
            doubt.reachable_at = opened_at

    def is_doubted(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint may have another version than its entry says."""
        doubt = self.doubt(endpoint)
        if doubt is None:
            return False
        reachable = doubt.reachable_at is not None and now - doubt.reachable_at > SETTLE_SECONDS
        return doubt.incarnation == endpoint.entry.incarnation and not reachable

    def take_reports(self) -> list[EndedUpdate]:
        """Return the endpoints to report in the next datagram."""
        updates = list(self.reports)
        self.reports = {key: count - 1 for key, count in self.reports.items() if count > 1}
        return updates

    def expire(self, by_hash: dict[int, Endpoint], now: float) -> None:
        """Forget doubts that are settled, those of endpoints that are gone, and earlier breaks."""
        self.breaks = {
            name: at for name, at in self.breaks.items() if now - at <= SAME_BREAK_SECONDS
        }
        for key in list(self.doubts):
            endpoint = by_hash.get(key)
            if endpoint is None or not self.is_doubted(endpoint, now):
                del self.doubts[key]
