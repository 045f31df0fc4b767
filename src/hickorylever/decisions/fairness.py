"""Waiting: weighted fair queueing over client accounts, bounded and aware of deadlines."""

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
    """One request in the queue.

    :param work: estimated tokens.
    :param deadline: monotonic seconds after which an answer is of no use.
    :param start: virtual time at which its service starts, set by the queue.
    :param granted: it may go on and counts in its account's work.
    :param in_share: its account was within its share when it was granted.
    :param retry_after: pause in seconds that a refused caller is told.
    """

    account: str
    work: float
    deadline: float
    arrived: float = 0.0
    start: float = 0.0
    granted: bool = False
    in_share: bool = True
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Room:
    """Work in tokens that a router may have at a pool.

    :param limit: in all, with what the other routers leave.
    :param part: its part of the whole, which accounts' shares are of.
    """

    limit: float = math.inf
    part: float = math.inf


@dataclass(slots=True)
class Changes:
    """What an event did to waiting requests, the caller's own among them."""

    granted: list[Waiter] = field(default_factory=list)
    refused: list[Waiter] = field(default_factory=list)


@dataclass(slots=True)
class Account:
    """One account's part of the queue.

    :param finish: virtual time at which its last request's service ends.
    :param queued: work that waits.
    :param running: work that was granted and has not ended, of `holders` requests.
    :param seen: monotonic seconds of its last request.
    """

    waiters: deque[Waiter] = field(default_factory=deque)
    finish: float = 0.0
    queued: float = 0.0
    running: float = 0.0
    holders: int = 0
    seen: float = 0.0


class Rate:
    """A moving rate of finished work in tokens a second, unknown at first."""

    def __init__(self, period: float = defaults.RATE_TIME_CONSTANT_SECONDS):
        self.period = period
        self.work = 0.0
        self.time: float | None = None
        self.first = 0.0

    def fade(self, now: float) -> None:
        """Let older work count less."""
        if self.time is None:
            self.time = self.first = now
        self.work *= math.exp((self.time - now) / self.period)
        self.time = now

    def add(self, work: float, now: float) -> None:
        """Count finished work."""
        self.fade(now)
        self.work += work

    def value(self, now: float) -> float:
        """Return tokens a second; 0 while too little is known."""
        if self.time is None or now - self.first < self.period / 2:
            return 0.0
        self.fade(now)
        return self.work / (self.period * (1 - math.exp((self.first - now) / self.period)))


class Queue:
    """Start-time fair queueing of one pool's requests in one router.

    An account within its share of the limit may use all of it. An account beyond its share may
    only borrow up to a part of the limit, so that the others find room at once.

    :param weight: returns an account's weight here.
    :param max_waiting: requests that may wait; the account that waits most loses its newest.
    """

    def __init__(
        self, weight: Callable[[str], float], max_waiting: int = defaults.MAX_QUEUED_REQUESTS
    ):
        self.weight = weight
        self.max_waiting = max_waiting
        self.room = Room()
        self.accounts: dict[str, Account] = {}
        self.heads: list[tuple[float, int, str]] = []
        self.numbers = itertools.count()
        self.waiting = 0
        self.running = 0.0
        self.holders = 0
        self.virtual = 0.0
        self.whole = 0.0
        self.rate = Rate()

    def submit(self, waiter: Waiter, now: float) -> Changes:
        """Take a request: it is granted, refused, or waits."""
        changes = Changes()
        account = self.account(waiter.account)
        account.seen = waiter.arrived = now
        wait = self.expected_wait(account, self.weight(waiter.account), account.queued, now)
        if account.waiters and now + wait >= waiter.deadline:
            self.refuse(waiter, wait, changes)
            return changes
        waiter.start = max(self.virtual, account.finish)
        account.finish = waiter.start + waiter.work / self.weight(waiter.account)
        account.queued += waiter.work
        account.waiters.append(waiter)
        self.waiting += 1
        if len(account.waiters) == 1:
            self.push_head(waiter)
        self.grant(changes)
        if self.waiting > self.max_waiting:
            self.drop_newest(now, changes)
        return changes

    def account(self, name: str) -> Account:
        """Return an account's part, a new one for a new account."""
        if name not in self.accounts:
            self.accounts[name] = Account()
            self.whole += self.weight(name)
        return self.accounts[name]

    def finish(self, waiter: Waiter, now: float) -> Changes:
        """End a granted request, or give up one that waits because its caller is gone."""
        changes = Changes()
        if waiter.granted:
            self.settle(waiter)
            self.rate.add(waiter.work, now)
        else:
            self.remove(waiter)
        self.grant(changes)
        return changes

    def review(self, room: Room, now: float) -> Changes:
        """Set the room, grant what fits, and refuse what will be too late."""
        changes = Changes()
        self.room = room
        self.forget_idle(now)
        self.whole = sum(map(self.weight, self.accounts))
        self.grant(changes)
        for name, account in self.accounts.items():
            self.refuse_late(name, account, now, changes)
        return changes

    def refuse_late(self, name: str, account: Account, now: float, changes: Changes) -> None:
        """Refuse an account's requests that can't start before their deadlines."""
        ahead = 0.0
        for waiter in tuple(account.waiters):
            wait = self.expected_wait(account, self.weight(name), ahead, now)
            if now + wait >= waiter.deadline:
                self.remove(waiter)
                self.refuse(waiter, wait, changes)
            else:
                ahead += waiter.work

    def expected_wait(self, account: Account, weight: float, ahead: float, now: float) -> float:
        """Return the seconds until an account's next `ahead` tokens are granted; 0 if unknown."""
        rate = self.rate.value(now)
        if not ahead or not rate:
            return 0.0
        rivals = sum(self.weight(name) for name, other in self.accounts.items() if other.waiters)
        if not account.waiters:
            rivals += weight
        return ahead * rivals / (weight * rate)

    def refuse(self, waiter: Waiter, wait: float, changes: Changes) -> None:
        """Note a refusal with the time after which a retry has a chance."""
        waiter.retry_after = wait
        changes.refused.append(waiter)

    def drop_newest(self, now: float, changes: Changes) -> None:
        """Refuse the newest request of the account with the most waiting work for its weight."""
        name = max(self.accounts, key=lambda key: self.accounts[key].queued / self.weight(key))
        account = self.accounts[name]
        waiter = account.waiters[-1]
        wait = self.expected_wait(account, self.weight(name), account.queued, now)
        self.remove(waiter)
        self.refuse(waiter, wait, changes)

    def remove(self, waiter: Waiter) -> None:
        """Take a waiting request out; its successors start no earlier for it."""
        account = self.accounts.get(waiter.account)
        if account is None or waiter not in account.waiters:
            return
        was_head = account.waiters[0] is waiter
        if account.waiters[-1] is waiter and not waiter.granted:
            account.finish = waiter.start
        account.waiters.remove(waiter)
        account.queued -= waiter.work
        self.waiting -= 1
        if was_head and account.waiters:
            self.push_head(account.waiters[0])

    def push_head(self, waiter: Waiter) -> None:
        """File an account's first request by its start."""
        heapq.heappush(self.heads, (waiter.start, next(self.numbers), waiter.account))

    def share(self, name: str) -> float:
        """Return an account's share of this router's part, among the accounts seen of late."""
        return self.room.part * self.weight(name) / self.whole

    def fits(self, waiter: Waiter) -> bool:
        """Tell whether a request may be granted now."""
        if not self.holders:
            return True
        waiter.in_share = self.accounts[waiter.account].running < self.share(waiter.account)
        part = 1.0 if waiter.in_share else defaults.BORROWED_LIMIT_RATIO
        return self.running + waiter.work <= self.room.limit * part

    def grant(self, changes: Changes) -> None:
        """Grant what fits, by start; an account that must wait lets others pass."""
        passed = []
        while self.heads and (self.running < self.room.limit or not self.holders):
            entry = heapq.heappop(self.heads)
            waiter = self.head(entry)
            if waiter is None:
                continue
            if self.fits(waiter):
                self.start(waiter)
                changes.granted.append(waiter)
            else:
                passed.append(entry)
        for entry in passed:
            heapq.heappush(self.heads, entry)

    def head(self, entry: tuple[float, int, str]) -> Waiter | None:
        """Return the first request of an entry's account, None when the entry is out of date."""
        account = self.accounts.get(entry[2])
        if account is None or not account.waiters or account.waiters[0].start != entry[0]:
            return None
        return account.waiters[0]

    def start(self, waiter: Waiter) -> None:
        """Move a request from waiting to running."""
        account = self.accounts[waiter.account]
        waiter.granted = True
        self.remove(waiter)
        account.running += waiter.work
        account.holders += 1
        self.running += waiter.work
        self.holders += 1
        self.virtual = max(self.virtual, waiter.start)

    def settle(self, waiter: Waiter) -> None:
        """Take a granted request's work off; nothing is left of it when none is running."""
        account = self.accounts[waiter.account]
        waiter.granted = False
        account.holders -= 1
        self.holders -= 1
        account.running = account.running - waiter.work if account.holders else 0.0
        self.running = self.running - waiter.work if self.holders else 0.0

    def forget_idle(self, now: float) -> None:
        """Drop accounts that have nothing here and were not seen of late."""
        idle = [
            name
            for name, account in self.accounts.items()
            if now - account.seen > defaults.ACCOUNT_IDLE_SECONDS
            and not account.waiters
            and not account.holders
        ]
        for name in idle:
            del self.accounts[name]


def overload_pause(rounds: int, left: float, chance: random.Random) -> float | None:
    """Return the seconds to wait before a request is offered again that found no room.

    :param rounds: how often it was offered.
    :param left: seconds to its deadline.
    :returns: None when it is to be refused now.
    """
    if rounds > defaults.MAX_OVERLOAD_RETRIES:
        return None
    longest = defaults.OVERLOAD_BACKOFF_SECONDS * 2 ** min(
        rounds, defaults.MAX_OVERLOAD_BACKOFF_DOUBLINGS
    )
    pause = chance.uniform(longest / 2, longest)
    return pause if pause < left else None


class Use:
    """Each account's recent work at this router and, by gossip, at the others."""

    def __init__(self, period: float = defaults.USAGE_TIME_CONSTANT_SECONDS):
        self.period = period
        self.rates: dict[str, Rate] = {}
        self.others: dict[str, tuple[float, dict[str, float]]] = {}

    def note(self, account: str, work: float, now: float) -> None:
        """Count work that this router has let pass."""
        self.rates.setdefault(account, Rate(self.period)).add(work, now)

    def value(self, now: float) -> dict[str, float]:
        """Return tokens in recent use by account, what other routers are told."""
        for name, rate in tuple(self.rates.items()):
            rate.fade(now)
            if rate.work < 1.0:
                del self.rates[name]
        return {name: round(rate.work) for name, rate in self.rates.items()}

    def take(self, origin: str, value: dict[str, float], now: float) -> None:
        """Take what another router tells; the latest of each counts for three periods."""
        self.others[origin] = (now, value)
        late = [name for name, (time, _) in self.others.items() if now - time > 3 * self.period]
        for name in late:
            del self.others[name]

    def part(self, account: str, now: float) -> float:
        """Return the part of an account's use that passes here, from the least part to 1."""
        elsewhere = sum(value.get(account, 0.0) for _, value in self.others.values())
        rate = self.rates.get(account)
        here = rate.work if rate else 0.0
        if not elsewhere:
            return 1.0
        return max(defaults.MIN_WEIGHT_RATIO, here / (here + elsewhere))
