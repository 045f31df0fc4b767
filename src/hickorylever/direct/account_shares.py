"""Shares of client accounts in a service whose endpoints are full.

This limits the effect on others of an account that sends much more than they do. It is start-time
fair queueing over the accounts of one priority: each has a virtual time, which advances by the
work of its requests that leave the queue, divided by its weight. The virtual time of the group is
the least of the accounts with waiting requests. An account that had nothing in the queue starts
there, so that what it used while there was room for all does not count. Requests of accounts that
are ahead of the group by more than a tolerance wait for the others; the rest go in the order of
arrival, as accounts within their shares send bursts too.

Accounts weigh the same, except that one which asks for more than a multiple of the mean weighs
more, in proportion. This keeps the share of its requests that is served above a bound. An account
that recently got more than its share at other routers waits a bounded time longer.

Work is in tokens, and 1 for a request to a plain service. Times are monotonic seconds.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..decisions.fairness import DecayingRate
from .hashes import name_hash
from .peer_protocol import AdmittedUpdate

PERIOD_SECONDS = 2.0  # Time constant of the decay of offered and admitted work.
# Share of its offered work that a heavy account is served, relative to the mean account's.
MIN_SERVED_RATIO = 0.4
TOLERANCE_RATIO = 0.5  # Lead without effect, as a share of the mean admitted work.
BEYOND_RATIO = 1.5  # An account with more than this multiple of the mean is beyond its share.
MIN_WORK = 0.01  # Tokens; less decayed work than this counts as none.
ACTIVE_SECONDS = 6.0  # A flow counts in the mean for this time after its latest request.
IDLE_SECONDS = 60.0  # A flow is kept for this time, longer than a request waits.
MAX_REPORTED_WORK = 1e9  # Tokens; more in a report is an error of its sender.
MAX_REPORTED_FLOWS = 4096  # Bounds the memory that reports of other routers can take.
MAX_ADMITTED_UPDATES = 8  # In one datagram, those with the most work.
REPORT_SECONDS = 0.5  # Minimum time between two reports.
REPORT_SECONDS_PER_PEER = 0.02  # Keeps all reports of a router below 5 KB/s.
WAITING_SECONDS = 0.1  # Reports are sent if a request waited within this time.
UPDATE_SECONDS = 0.1  # Between two updates of means and weights.


def new_decaying_work() -> DecayingRate:
    """Return an empty sum of work that decays over `PERIOD_SECONDS`."""
    return DecayingRate(PERIOD_SECONDS)


def remaining_work(work: DecayingRate, now: float) -> float:
    """Return the work that is left of a decaying sum."""
    work.decay(now)
    return work.work


@dataclass(eq=False, slots=True)
class RemoteWork:
    """Work of a flow beyond its share that other routers have reported.

    :param work: sum over the other routers.
    :param reports: latest report of each router, as its work and the time of its arrival.
    :param latest: time of the latest report.
    """

    work: DecayingRate = field(default_factory=new_decaying_work)
    reports: dict[str, tuple[float, float]] = field(default_factory=dict)
    latest: float = -math.inf

    def record(self, router: str, work: float, now: float) -> None:
        """Replace what another router reported before by its current work."""
        former, reported_at = self.reports.get(router, (0.0, now))
        remaining = former * math.exp((reported_at - now) / PERIOD_SECONDS)
        self.work.add(work - remaining, now)
        self.work.work = max(0.0, self.work.work)
        self.reports[router] = work, now
        self.latest = now


@dataclass(eq=False, slots=True)
class Group:
    """The flows of one priority of a service.

    :param virtual_time: least start of the flows with waiting requests; it never falls.
    :param flows: by account.
    :param mean_offered: decayed work that an active flow asked for, on average.
    :param mean_admitted: decayed work of an active flow that this router admitted, on average.
    """

    virtual_time: float = 0.0
    flows: dict[str, "Flow"] = field(default_factory=dict)
    mean_offered: float = 0.0
    mean_admitted: float = 0.0

    def advance(self, waiting: Iterable["Flow"]) -> None:
        """Advance the virtual time to the least start of the flows with waiting requests."""
        starts = [flow.start for flow in waiting if flow.group is self]
        if starts:
            self.virtual_time = max(self.virtual_time, min(starts))

    def update(self, now: float) -> None:
        """Update the means and weights, and forget the flows without recent requests."""
        self.flows = {
            name: flow for name, flow in self.flows.items() if now - flow.used_at < IDLE_SECONDS
        }
        active = [flow for flow in self.flows.values() if flow.is_active(now)]
        count = max(1, len(active))
        self.mean_offered = sum(remaining_work(flow.offered, now) for flow in active) / count
        self.mean_admitted = sum(remaining_work(flow.admitted, now) for flow in active) / count
        for flow in active:
            asked = remaining_work(flow.offered, now) / self.mean_offered
            flow.weight = max(1.0, MIN_SERVED_RATIO * asked)


@dataclass(eq=False, slots=True)
class Flow:
    """The requests of one account and priority to one service.

    :param key: hash of service, priority and account.
    :param account: name of the account.
    :param remote: work beyond its share at other routers.
    :param offered: work that callers asked this router for.
    :param admitted: work that this router sent to endpoints.
    :param start: virtual time at which its next request starts.
    :param weight: share relative to that of a flow with usual demand.
    :param used_at: time of the latest request.
    """

    key: int
    account: str
    group: Group
    remote: RemoteWork
    offered: DecayingRate = field(default_factory=new_decaying_work)
    admitted: DecayingRate = field(default_factory=new_decaying_work)
    start: float = 0.0
    weight: float = 1.0
    used_at: float = -math.inf

    def is_active(self, now: float) -> bool:
        """Return whether callers have sent requests to this router lately."""
        return now - self.used_at < ACTIVE_SECONDS and remaining_work(self.offered, now) > MIN_WORK

    def join(self) -> None:
        """Start at the virtual time of the group, before the flow's first waiting request."""
        self.start = max(self.start, self.group.virtual_time)

    def leave(self, work: float) -> None:
        """Advance the virtual time by a request that leaves the queue for an endpoint."""
        self.start += work / self.weight

    def lead(self, now: float, ahead: float = 0.0) -> float:
        """Return by how much the start of a waiting request exceeds the tolerance, or 0.

        :param ahead: work of the flow's requests that wait before it.
        """
        group = self.group
        if self.remote.reports:
            ahead += min(remaining_work(self.remote.work, now), group.mean_admitted)
        start = self.start + ahead / self.weight
        return max(0.0, start - group.virtual_time - TOLERANCE_RATIO * group.mean_admitted)

    def is_beyond_share(self, now: float) -> bool:
        """Return whether the account asks for much more than the mean of its priority."""
        return remaining_work(self.offered, now) > BEYOND_RATIO * self.group.mean_offered


class AccountShares:
    """The flows of all services at one router.

    :ivar enabled: whether the configuration has client accounts.
    :ivar groups: by service and priority.
    :ivar remotes: reported work by key of the flow.
    :ivar waiting_at: latest time at which a request waited.
    :ivar reported_at: latest report to other routers.
    :ivar updated_at: latest update of means and weights.
    """

    def __init__(self):
        self.enabled = False
        self.groups: dict[tuple[str, int], Group] = {}
        self.remotes: dict[int, RemoteWork] = {}
        self.waiting_at = -math.inf
        self.reported_at = -math.inf
        self.updated_at = -math.inf

    def flow(self, service: str, priority: int, account: str) -> Flow:
        """Return the flow of an account's requests, created on the first one."""
        group = self.groups.setdefault((service, priority), Group())
        flow = group.flows.get(account)
        if flow is None:
            key = name_hash(f"{service}\n{priority}\n{account}")
            remote = self.remotes.setdefault(key, RemoteWork())
            flow = group.flows[account] = Flow(key, account, group, remote)
        return flow

    def offer(self, flow: Flow, work: float, now: float) -> None:
        """Count a request that a caller sent."""
        flow.offered.add(work, now)
        flow.used_at = now
        self.update(now)

    def admit(self, flow: Flow, work: float, now: float) -> None:
        """Count a request that is sent to an endpoint."""
        flow.admitted.add(work, now)
        flow.used_at = now

    def update(self, now: float) -> None:
        """Update means and weights if they are due, and forget what is out of date."""
        if now - self.updated_at < UPDATE_SECONDS:
            return
        self.updated_at = now
        for group in self.groups.values():
            group.update(now)
        used = {flow.key for group in self.groups.values() for flow in group.flows.values()}
        self.remotes = {
            key: remote
            for key, remote in self.remotes.items()
            if key in used or now - remote.latest < IDLE_SECONDS
        }

    def take_reports(self, peer_count: int, now: float) -> list[AdmittedUpdate]:
        """Return the updates for the next datagram, none unless one is due and a request waits.

        :param peer_count: number of routers that get the datagram.
        """
        interval = max(REPORT_SECONDS, REPORT_SECONDS_PER_PEER * peer_count)
        if now - self.waiting_at > WAITING_SECONDS or now - self.reported_at < interval:
            return []
        self.reported_at = now
        beyond = [
            (round(excess), flow.key)
            for group in self.groups.values()
            for flow in group.flows.values()
            if (excess := remaining_work(flow.admitted, now) - BEYOND_RATIO * group.mean_admitted)
            >= 1.0
        ]
        beyond.sort(reverse=True)
        return [AdmittedUpdate(key, work) for work, key in beyond[:MAX_ADMITTED_UPDATES]]

    def apply_reports(self, router: str, updates: list[AdmittedUpdate], now: float) -> None:
        """Apply the updates of another router; implausible ones are left out.

        :param router: IP address of the sender.
        """
        if not self.enabled:
            return
        for update in updates[:MAX_ADMITTED_UPDATES]:
            if not 0 <= update.work <= MAX_REPORTED_WORK:
                continue
            remote = self.remotes.get(update.flow)
            if remote is None:
                if len(self.remotes) >= MAX_REPORTED_FLOWS:
                    continue
                remote = self.remotes[update.flow] = RemoteWork()
            remote.record(router, update.work, now)
