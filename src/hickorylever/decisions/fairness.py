"""Weighted fair queueing over client accounts, with bounded queues and deadlines."""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from .. import defaults


@dataclass(slots=True, eq=False)
class Waiter:
    """A request in the queue.

    :param account: name of the client account.
    :param work: estimated work in tokens.
    :param deadline: monotonic time in seconds after which an answer is of no use.
    :param arrived: monotonic time in seconds, set by the queue.
    :param virtual_start: virtual start time, set by the queue.
    :param granted: whether the request is running.
    :param within_share: whether its account was within its fair share when it was granted.
    :param retry_after: delay in seconds to suggest to the caller of a refused request.
    """

    account: str
    work: float
    deadline: float
    arrived: float = 0.0
    virtual_start: float = 0.0
    granted: bool = False
    within_share: bool = True
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkQuota:
    """Work in tokens that one router may run in a pool.

    :param limit: maximum running work, including what the other routers leave unused.
    :param router_share: the router's part of the pool's capacity, which is divided among accounts.
    """

    limit: float = math.inf
    router_share: float = math.inf


@dataclass(slots=True)
class QueueChanges:
    """Requests that an operation on the queue granted or refused."""

    granted: list[Waiter] = field(default_factory=list)
    refused: list[Waiter] = field(default_factory=list)


@dataclass(slots=True)
class AccountQueue:
    """Queue state of one client account.

    :param waiters: waiting requests, oldest first.
    :param virtual_finish: virtual finish time of its last request.
    :param waiting_work: waiting work in tokens.
    :param running_work: granted work in tokens that has not finished.
    :param running_count: number of requests that were granted and have not finished.
    :param last_seen: monotonic time in seconds of its last request.
    """

    waiters: deque[Waiter] = field(default_factory=deque)
    virtual_finish: float = 0.0
    waiting_work: float = 0.0
    running_work: float = 0.0
    running_count: int = 0
    last_seen: float = 0.0


class DecayingRate:
    """Exponentially decaying rate of work in tokens per second.

    :param period: time constant of the decay in seconds.
    """

    def __init__(self, period: float = defaults.RATE_TIME_CONSTANT_SECONDS):
        self.period = period
        self.work = 0.0
        self.time: float | None = None
        self.first_time = 0.0

    def decay(self, now: float) -> None:
        """Decay the recorded work to the current time."""
        if self.time is None:
            self.time = self.first_time = now
        self.work *= math.exp((self.time - now) / self.period)
        self.time = now

    def add(self, work: float, now: float) -> None:
        """Record work in tokens."""
        self.decay(now)
        self.work += work

    def per_second(self, now: float) -> float:
        """Return tokens per second, 0 during the first half period.

        The divisor corrects for the part of the window before the first record.
        """
        if self.time is None or now - self.first_time < self.period / 2:
            return 0.0
        self.decay(now)
        return self.work / (self.period * (1 - math.exp((self.first_time - now) / self.period)))


class FairQueue:
    """Start-time fair queueing of one router's requests to one pool.

    A request of an account within its fair share may use the whole limit. Accounts beyond their
    share may only fill the limit up to `BORROWED_LIMIT_RATIO`, so that requests of the other
    accounts are granted without delay.

    :param weight: returns the weight of the named account at this router.
    :param max_waiting: maximum number of waiting requests. When it is exceeded, the newest
        request of the account with the most waiting work for its weight is refused.
    """

    def __init__(
        self, weight: Callable[[str], float], max_waiting: int = defaults.MAX_QUEUED_REQUESTS
    ):
        self.weight = weight
        self.max_waiting = max_waiting
        self.quota = WorkQuota()
        self.accounts: dict[str, AccountQueue] = {}
        self.heads: list[tuple[float, int, str]] = []
        self.sequence = itertools.count()
        self.waiting_count = 0
        self.running_work = 0.0
        self.running_count = 0
        self.virtual_time = 0.0
        self.total_weight = 0.0
        self.rate = DecayingRate()

    def submit(self, waiter: Waiter, now: float) -> QueueChanges:
        """Add a request, which is granted, refused or kept waiting."""
        changes = QueueChanges()
        account = self.account(waiter.account)
        account.last_seen = waiter.arrived = now
        wait = self.expected_wait(account, self.weight(waiter.account), account.waiting_work, now)
        if account.waiters and now + wait >= waiter.deadline:
            self.refuse(waiter, wait, changes)
            return changes
        waiter.virtual_start = max(self.virtual_time, account.virtual_finish)
        account.virtual_finish = waiter.virtual_start + waiter.work / self.weight(waiter.account)
        account.waiting_work += waiter.work
        account.waiters.append(waiter)
        self.waiting_count += 1
        if len(account.waiters) == 1:
            self.push_head(waiter)
        self.grant(changes)
        if self.waiting_count > self.max_waiting:
            self.refuse_newest(now, changes)
        return changes

    def account(self, name: str) -> AccountQueue:
        """Return an account's state, created on its first request."""
        if name not in self.accounts:
            self.accounts[name] = AccountQueue()
            self.total_weight += self.weight(name)
        return self.accounts[name]

    def finish(self, waiter: Waiter, now: float) -> QueueChanges:
        """Finish a granted request, or remove a waiting one whose caller has gone."""
        changes = QueueChanges()
        if waiter.granted:
            self.release(waiter)
            self.rate.add(waiter.work, now)
        else:
            self.remove(waiter)
        self.grant(changes)
        return changes

    def update_quota(self, quota: WorkQuota, now: float) -> QueueChanges:
        """Set the quota, grant requests that fit and refuse those that would be too late."""
        changes = QueueChanges()
        self.quota = quota
        self.remove_idle_accounts(now)
        self.total_weight = sum(map(self.weight, self.accounts))
        self.grant(changes)
        for name, account in self.accounts.items():
            self.refuse_late(name, account, now, changes)
        return changes

    def refuse_late(
        self, name: str, account: AccountQueue, now: float, changes: QueueChanges
    ) -> None:
        """Refuse an account's requests that are not expected to start before their deadlines."""
        ahead = 0.0
        for waiter in tuple(account.waiters):
            wait = self.expected_wait(account, self.weight(name), ahead, now)
            if now + wait >= waiter.deadline:
                self.remove(waiter)
                self.refuse(waiter, wait, changes)
            else:
                ahead += waiter.work

    def expected_wait(
        self, account: AccountQueue, weight: float, ahead: float, now: float
    ) -> float:
        """Return the expected wait in seconds of a request of an account.

        :param ahead: work in tokens of the account's requests that are granted before it.
        :returns: 0 when nothing is ahead or the rate is unknown.
        """
        rate = self.rate.per_second(now)
        if not ahead or not rate:
            return 0.0
        competing_weight = sum(
            self.weight(name) for name, other in self.accounts.items() if other.waiters
        )
        if not account.waiters:
            competing_weight += weight
        return ahead * competing_weight / (weight * rate)

    def refuse(self, waiter: Waiter, wait: float, changes: QueueChanges) -> None:
        """Refuse a request and suggest a retry after the expected wait in seconds."""
        waiter.retry_after = wait
        changes.refused.append(waiter)

    def refuse_newest(self, now: float, changes: QueueChanges) -> None:
        """Refuse the newest request of the account with the most waiting work per weight."""
        name = max(
            self.accounts, key=lambda key: self.accounts[key].waiting_work / self.weight(key)
        )
        account = self.accounts[name]
        waiter = account.waiters[-1]
        wait = self.expected_wait(account, self.weight(name), account.waiting_work, now)
        self.remove(waiter)
        self.refuse(waiter, wait, changes)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiting request; later ones of its account keep their start times."""
        account = self.accounts.get(waiter.account)
        if account is None or waiter not in account.waiters:
            return
        was_head = account.waiters[0] is waiter
        if account.waiters[-1] is waiter and not waiter.granted:
            account.virtual_finish = waiter.virtual_start
        account.waiters.remove(waiter)
        account.waiting_work -= waiter.work
        self.waiting_count -= 1
        if was_head and account.waiters:
            self.push_head(account.waiters[0])

    def push_head(self, waiter: Waiter) -> None:
        """Add an account's first waiting request to the heap, ordered by virtual start time."""
        heapq.heappush(self.heads, (waiter.virtual_start, next(self.sequence), waiter.account))

    def share(self, name: str) -> float:
        """Return an account's fair share in tokens, among the recently active accounts."""
        return self.quota.router_share * self.weight(name) / self.total_weight

    def fits(self, waiter: Waiter) -> bool:
        """Return whether a request may be granted now.

        A request of any size fits when none is running, so that large ones are not blocked.
        """
        if not self.running_count:
            return True
        waiter.within_share = self.accounts[waiter.account].running_work < self.share(
            waiter.account
        )
        part = 1.0 if waiter.within_share else defaults.BORROWED_LIMIT_RATIO
        return self.running_work + waiter.work <= self.quota.limit * part

    def grant(self, changes: QueueChanges) -> None:
        """Grant requests by start time, skipping accounts whose first one does not fit."""
        skipped = []
        while self.heads and (self.running_work < self.quota.limit or not self.running_count):
            entry = heapq.heappop(self.heads)
            waiter = self.head(entry)
            if waiter is None:
                continue
            if self.fits(waiter):
                self.start(waiter)
                changes.granted.append(waiter)
            else:
                skipped.append(entry)
        for entry in skipped:
            heapq.heappush(self.heads, entry)

    def head(self, entry: tuple[float, int, str]) -> Waiter | None:
        """Return the request of a heap entry, None when the entry is stale."""
        account = self.accounts.get(entry[2])
        if account is None or not account.waiters or account.waiters[0].virtual_start != entry[0]:
            return None
        return account.waiters[0]

    def start(self, waiter: Waiter) -> None:
        """Move a request from waiting to running."""
        account = self.accounts[waiter.account]
        waiter.granted = True
        self.remove(waiter)
        account.running_work += waiter.work
        account.running_count += 1
        self.running_work += waiter.work
        self.running_count += 1
        self.virtual_time = max(self.virtual_time, waiter.virtual_start)

    def release(self, waiter: Waiter) -> None:
        """Subtract the work of a finished request.

        The sums are set to 0 when no request is running, so that rounding errors do not add up.
        """
        account = self.accounts[waiter.account]
        waiter.granted = False
        account.running_count -= 1
        self.running_count -= 1
        account.running_work = account.running_work - waiter.work if account.running_count else 0.0
        self.running_work = self.running_work - waiter.work if self.running_count else 0.0

    def remove_idle_accounts(self, now: float) -> None:
        """Remove accounts without requests that sent none for `ACCOUNT_IDLE_SECONDS`."""
        idle = [
            name
            for name, account in self.accounts.items()
            if now - account.last_seen > defaults.ACCOUNT_IDLE_SECONDS
            and not account.waiters
            and not account.running_count
        ]
        for name in idle:
            del self.accounts[name]


def overload_backoff(rounds: int, remaining: float, rng: random.Random) -> float | None:
    """Return the delay in seconds before a request that all endpoints refused is retried.

    The delay grows exponentially, with jitter.

    :param rounds: how often the endpoints have been tried.
    :param remaining: seconds until the request's deadline.
    :returns: None when the request has no retry left or would miss its deadline.
    """
    if rounds > defaults.MAX_OVERLOAD_RETRIES:
        return None
    max_delay = defaults.OVERLOAD_BACKOFF_SECONDS * 2 ** min(
        rounds, defaults.MAX_OVERLOAD_BACKOFF_DOUBLINGS
    )
    delay = rng.uniform(max_delay / 2, max_delay)
    return delay if delay < remaining else None


class AccountUsage:
    """Recent work of each client account at this router and, received by gossip, at the others.

    :param period: time constant in seconds of the decay of recorded work.
    """

    def __init__(self, period: float = defaults.USAGE_TIME_CONSTANT_SECONDS):
        self.period = period
        self.rates: dict[str, DecayingRate] = {}
        self.remote: dict[str, tuple[float, dict[str, float]]] = {}

    def record(self, account: str, work: float, now: float) -> None:
        """Record work in tokens that this router has granted to an account."""
        self.rates.setdefault(account, DecayingRate(self.period)).add(work, now)

    def local_work(self, now: float) -> dict[str, float]:
        """Return the recent work in tokens of each account at this router."""
        for name, rate in tuple(self.rates.items()):
            rate.decay(now)
            if rate.work < 1.0:
                del self.rates[name]
        return {name: round(rate.work) for name, rate in self.rates.items()}

    def update_remote(self, origin: str, value: dict[str, float], now: float) -> None:
        """Store another router's recent work by account; it expires after three periods."""
        self.remote[origin] = (now, value)
        expired = [name for name, (time, _) in self.remote.items() if now - time > 3 * self.period]
        for name in expired:
            del self.remote[name]

    def local_fraction(self, account: str, now: float) -> float:
        """Return this router's fraction of an account's work, from `MIN_WEIGHT_RATIO` to 1."""
        remote_work = sum(value.get(account, 0.0) for _, value in self.remote.values())
        rate = self.rates.get(account)
        local = rate.work if rate else 0.0
        if not remote_work:
            return 1.0
        return max(defaults.MIN_WEIGHT_RATIO, local / (local + remote_work))
