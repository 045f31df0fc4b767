"""Limits on the requests to endpoints that have just started and are cold.

An endpoint that starts during traffic crashes when it gets many requests at once. Its limit holds
for the sum over all routers, also over those that can't hear each other. A fixed number of
requests for each period of `WINDOW_SECONDS` is therefore divided among the routers by rendezvous
hashing. Each router spaces the requests of its share evenly, for which it needs no messages.
"""

import enum
import heapq
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from . import rendezvous
from .membership import Membership
from .records import Service, Warmup

# Requests count in any second at their arrival, and some arrive up to 150 ms later than others.
WINDOW_SECONDS = 1.15
# Queues poll, so a request may be sent this late. The next one is not delayed by it.
MAX_LATENESS_SECONDS = 0.02
# Share of the limit that is divided. The rest covers routers whose lists of routers differ.
DIVIDED_RATIO = 0.65
MAX_REPORT_SECONDS = 60.0  # Longer times are a fault of the sender and count as this time.
ENTRY_DELAY_SECONDS = 2.0  # An entry may have been written this long before it is read.
RESTART_SECONDS = 4.0  # From a failed connection until the endpoint has started again.


class ColdReason(enum.StrEnum):
    """How a router learned that an endpoint is cold; the values are logged."""

    APPEARED = "appeared"
    ENTRY = "entry"
    ANSWER = "answer"
    ROUTER = "router"
    CONNECTION = "connection"


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Limit of the cold endpoints of a service.

    :param seconds: time for which an endpoint is cold after its start.
    :param per_window: requests of all routers to one endpoint in `WINDOW_SECONDS`.
    """

    seconds: float
    per_window: int


def cold_limit(warmup: Warmup, overage: float, allowance: float) -> ColdLimit:
    """Return the limit of a service's cold endpoints.

    :param overage: factor on the service's rate, above which endpoints may crash.
    :param allowance: requests a second in addition.
    """
    allowed = warmup.rate * overage + allowance
    per_window = math.floor(min(warmup.rate * WINDOW_SECONDS, allowed * DIVIDED_RATIO))
    return ColdLimit(warmup.seconds, max(1, per_window) if allowed >= 1.0 else 0)


@dataclass(slots=True)
class ColdStart:
    """The share of one router in the limit of one endpoint. Times are monotonic seconds.

    :param key: name of the endpoint. The shares are the same for its next start, so that requests
        before and after it are spaced too.
    :param cold_until: when the endpoint is warm.
    :param sent_at: when this router sent its last request there, or up to `MAX_LATENESS_SECONDS`
        earlier if its share allowed it then.
    :param uncertain_at: when the endpoint last answered how cold it is, or a connection failed.
        Entries that are read soon after may be older.
    :param suspected_at: when a connection last failed, or minus infinity if an answer came since.
    """

    limit: ColdLimit
    key: str
    membership: Membership
    cold_until: float = 0.0
    sent_at: float = -math.inf
    uncertain_at: float = -math.inf
    suspected_at: float = -math.inf

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint is cold or may be."""
        return now < self.cold_until

    def permits(self, now: float) -> bool:
        """Return whether this router may send a request now."""
        return not self.is_cold(now) or now >= self.next_sends()[0]

    def next_sends(self) -> tuple[float, float]:
        """Return when this router's share allows the next request, and the seconds between two."""
        membership = self.membership
        requests = 0
        if membership.settled_at is not None:
            rank = membership.rank(self.key)
            requests = rendezvous.share(self.limit.per_window, rank, membership.count)
        if not requests:
            return math.inf, math.inf
        spacing = WINDOW_SECONDS / requests
        return max(self.sent_at + spacing, membership.shares_from), spacing

    def record_send(self, now: float) -> None:
        """Record a request of this router, which may be a little later than its share allowed."""
        if self.is_cold(now):
            self.sent_at = max(now - MAX_LATENESS_SECONDS, min(now, self.next_sends()[0]))
        else:
            self.sent_at = now

    def record_entry(self, left: float, now: float) -> None:
        """Record what a new entry of the endpoint says.

        :param left: seconds for which the endpoint was still cold.
        """
        until = now + min(left, MAX_REPORT_SECONDS)
        if until > self.cold_until or now - self.uncertain_at > ENTRY_DELAY_SECONDS:
            self.cold_until = until

    def record_answer(self, left: float | None, sent_at: float, now: float) -> None:
        """Record an answer of the endpoint.

        :param left: seconds for which it is still cold, or None when not stated.
        :param sent_at: when the request was sent.
        """
        if left is not None:
            self.cold_until = now + min(left, MAX_REPORT_SECONDS)
            self.uncertain_at = now
            self.suspected_at = -math.inf
        elif sent_at > self.suspected_at > -math.inf:
            self.cold_until = min(self.cold_until, now + self.limit.seconds)
            self.suspected_at = -math.inf

    def record_failed_connection(self, now: float) -> None:
        """Record that the endpoint may start again before its entry says so."""
        self.cold_until = max(self.cold_until, now + RESTART_SECONDS + self.limit.seconds)
        self.uncertain_at = self.suspected_at = now


def due_after(cold_starts: Iterable[ColdStart], ahead: int, now: float) -> float:
    """Return when one more request can be sent to one of several endpoints.

    The result is in monotonic seconds, and infinity if no endpoint is given.

    :param ahead: number of requests that are sent before it.
    """
    upcoming = []
    warm_at = math.inf
    for cold_start in cold_starts:
        warm_at = min(warm_at, max(now, cold_start.cold_until))
        next_at, spacing = cold_start.next_sends()
        if next_at < cold_start.cold_until:
            upcoming.append((max(now, next_at), spacing))
    heapq.heapify(upcoming)
    for _ in range(ahead):
        if not upcoming or upcoming[0][0] >= warm_at:
            return warm_at
        next_at, spacing = upcoming[0]
        heapq.heapreplace(upcoming, (next_at + spacing, spacing))
    return min(warm_at, upcoming[0][0]) if upcoming else warm_at


def ignore_cold(name: str, seconds: float, reason: ColdReason) -> None:
    """Ignore that an endpoint has become cold."""


@dataclass(slots=True)
class ColdStarts:
    """The limits of cold endpoints by service, and what is known of the endpoints.

    :param membership: the routers that share the limits.
    :param on_cold: called with the name of an endpoint that has become cold, the seconds left and
        how this router learned of it.
    :ivar limits: by the name of the service; services without a warm-up are left out.
    """

    membership: Membership
    on_cold: Callable[[str, float, ColdReason], None] = ignore_cold
    limits: dict[str, ColdLimit] = field(default_factory=dict)

    def configure(
        self, services: Iterable[Service], overage: float | None, allowance: float | None
    ) -> None:
        """Set the limits of the services that have a warm-up.

        There are none without the two settings, see :func:`cold_limit`.
        """
        self.limits = {}
        if overage is not None and allowance is not None:
            self.limits = {
                service.name: cold_limit(service.warmup, overage, allowance)
                for service in services
                if service.warmup is not None
            }

    def update(self, endpoint, now: float) -> None:
        """Apply the limit of its service, if there is one, to an endpoint."""
        limit = self.limits.get(endpoint.entry.service)
        if limit is None:
            endpoint.cold = None
        elif endpoint.cold is None:
            self.attach(endpoint, limit, now)
        else:
            endpoint.cold.limit = limit

    def attach(self, endpoint, limit: ColdLimit, now: float) -> None:
        """Begin to limit an endpoint; one that does not report its state may be cold."""
        entry = endpoint.entry
        until = endpoint.warm_at if entry.reports_warmup else now + limit.seconds
        endpoint.cold = ColdStart(limit, entry.name, self.membership, until)
        self.report(endpoint, 0.0, ColdReason.APPEARED, now)

    def replace(self, old, new, now: float) -> None:
        """Apply the limit to the next start of an endpoint, and space it from the former one."""
        self.update(new, now)
        if new.cold is not None and old is not None and old.cold is not None:
            new.cold.sent_at = old.cold.sent_at

    def record_entry(self, endpoint, now: float) -> None:
        """Record what a new entry of an endpoint says."""
        left = endpoint.entry.warmup_left
        if endpoint.cold is None:
            endpoint.warm_at = now + left
        elif endpoint.entry.reports_warmup:
            before = endpoint.cold.cold_until
            endpoint.cold.record_entry(left, now)
            self.report(endpoint, before, ColdReason.ENTRY, now)

    def record_answer(self, endpoint, left: float | None, sent_at: float, now: float) -> None:
        """Record an answer of an endpoint, see :meth:`ColdStart.record_answer`."""
        if endpoint.cold is not None:
            before = endpoint.cold.cold_until
            endpoint.cold.record_answer(left, sent_at, now)
            self.report(endpoint, before, ColdReason.ANSWER, now)

    def record_report(self, endpoint, left: float, now: float) -> None:
        """Record what another router has read of an endpoint.

        :param left: seconds for which the endpoint is still cold.
        """
        if endpoint.cold is not None:
            before = endpoint.cold.cold_until
            endpoint.cold.cold_until = max(before, now + min(left, MAX_REPORT_SECONDS))
            self.report(endpoint, before, ColdReason.ROUTER, now)

    def record_failed_connection(self, endpoint, now: float) -> None:
        """Record that a connection to an endpoint failed, or broke off."""
        if endpoint.cold is not None:
            before = endpoint.cold.cold_until
            endpoint.cold.record_failed_connection(now)
            self.report(endpoint, before, ColdReason.CONNECTION, now)

    def report(self, endpoint, before: float, reason: ColdReason, now: float) -> None:
        """Pass on that an endpoint is cold, if it was not before.

        :param before: monotonic seconds at which it would have become warm, as known before.
        """
        endpoint.warm_at = endpoint.cold.cold_until
        left = endpoint.warm_at - now
        if left > 0.0 and before <= now:
            self.on_cold(endpoint.entry.name, left, reason)
