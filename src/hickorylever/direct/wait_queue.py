"""Queue of requests that wait for an endpoint of their service to have capacity.

In an overloaded pool, requests that can still meet their objective go first, by priority; some
turns go to the priority that was served least recently. Requests that can no longer meet it wait
for spare capacity for a part of their remaining time and are then refused. Among requests of one
priority, client accounts have shares (:mod:`.account_shares`). The Retry-After times of refused
requests are spread out at the rate at which the queue drains; accounts beyond their shares return
after the others.
"""

from collections import deque
from dataclasses import dataclass, field

import curio

from .account_shares import AccountShares, Flow
from .availability import (
    MAX_RETRY_AFTER_SECONDS,
    MIN_RETRY_AFTER_SECONDS,
    ON_TIME_RATIO,
    bounded_retry_after,
    longest_retry_after,
)

MIN_ON_TIME_RATIO = 0.3  # Bounds of the share where the time to the first event is estimated.
MAX_ON_TIME_RATIO = 0.9
EXPECTED_MARGIN = 1.25  # Multiple of the expected time to the first event that is left for it.
MAX_WAIT_RATIO = 0.75  # Maximum wait as a share of the time that the caller allows.
LATE_WAIT_SECONDS = 1.0  # Late requests are refused if none was placed for this time.
DRAINING_WAIT_SECONDS = 0.3  # At a router that shuts down.
FAIRNESS_TURNS = 5  # One in this many turns goes to the priority that was served least recently.
MAX_INTERVALS = 32  # Intervals between placements from which the drain rate is estimated.
MIN_INTERVALS = 8  # Too few for an estimate below this.
INTERVALS_LIFETIME_SECONDS = 10.0  # Intervals are ignored when the last placement is older.
MIN_ELAPSED_SECONDS = 0.001  # Avoids division by zero.
WITHIN_SHARE_RATIO = 0.6  # Of the longest Retry-After; accounts beyond their shares get more.


@dataclass(frozen=True, slots=True)
class QueueParameters:
    """Properties of a request that joins the queue. Times are monotonic seconds.

    :param priority: 0 goes first.
    :param arrived_at: arrival of the request.
    :param objective: seconds within which the response, or its first event, is on time.
    :param ends_at: time at which the caller leaves or the route's timeout ends the request.
    :param draining: whether the router shuts down.
    :param expected: expected seconds from the placement to the first event, or None if nothing has
        been estimated.
    :param flow: share of the client account, or None where accounts have no shares.
    :param work: expected work in tokens, 1 for plain services.
    """

    priority: int
    arrived_at: float
    objective: float
    ends_at: float
    draining: bool = False
    expected: float | None = None
    flow: Flow | None = None
    work: float = 1.0

    @property
    def on_time_until(self) -> float:
        """Return the latest placement that meets the objective."""
        ratio = ON_TIME_RATIO
        if self.expected is not None and self.objective > 0:
            left = 1.0 - EXPECTED_MARGIN * self.expected / self.objective
            ratio = min(MAX_ON_TIME_RATIO, max(MIN_ON_TIME_RATIO, left))
        return self.arrived_at + ratio * self.objective


@dataclass(eq=False, slots=True)
class QueueEntry:
    """A queued request. Times are monotonic seconds.

    :param priority: 0 goes first.
    :param arrived_at: arrival of the request.
    :param on_time_until: latest placement that meets the objective.
    :param wait_until: time at which the request is refused.
    :param wake_event: set when the request may have become the next one.
    :param flow: share of the client account, or None.
    :param work: expected work in tokens.
    """

    priority: int
    arrived_at: float
    on_time_until: float
    wait_until: float
    wake_event: curio.Event = field(default_factory=curio.Event)
    flow: Flow | None = None
    work: float = 1.0

    @property
    def last_useful_at(self) -> float:
        """Return the latest time at which a placement is still of use to the caller."""
        return min(self.on_time_until, self.wait_until)

    def is_late(self, now: float) -> bool:
        """Return whether the request can no longer meet its objective."""
        return now > self.on_time_until

    async def wait(self, now: float) -> None:
        """Wait until the request may be the next one or `wait_until` has passed."""
        self.wake_event.clear()
        await curio.ignore_after(self.wait_until - now, self.wake_event.wait)


class WaitQueue:
    """Queue of one service. Times are monotonic seconds.

    :ivar intervals: latest seconds between placements while requests were queued.
    :ivar busy_since: time since which the queue has not been empty.
    :ivar last_placed: latest placement.
    :ivar placement_count: number of placements.
    :ivar last_placed_by_priority: latest placement by priority.
    :ivar last_late_placed: latest placement of a request that was already late.
    :ivar next_retry_at: time at which the next refused caller is told to retry.
    :ivar next_beyond_share_at: the same for callers of accounts beyond their shares.
    :ivar shares: shares of the client accounts; None where there are no accounts.
    """

    def __init__(self, shares: AccountShares | None = None):
        self.shares = shares
        self.entries: list[QueueEntry] = []
        self.intervals: deque[float] = deque(maxlen=MAX_INTERVALS)
        self.busy_since = 0.0
        self.last_placed = 0.0
        self.placement_count = 0
        self.last_placed_by_priority: dict[int, float] = {}
        self.last_late_placed = 0.0
        self.next_retry_at = 0.0
        self.next_beyond_share_at = 0.0

    def enqueue(self, parameters: QueueParameters, now: float) -> QueueEntry:
        """Add a request and return its entry."""
        wait = MAX_WAIT_RATIO * (parameters.ends_at - now)
        if parameters.draining:
            wait = min(wait, DRAINING_WAIT_SECONDS)
        if not self.entries:
            self.busy_since = now
        flow = parameters.flow
        if flow is not None and not any(other.flow is flow for other in self.entries):
            flow.join()
        entry = QueueEntry(
            parameters.priority,
            parameters.arrived_at,
            parameters.on_time_until,
            now + wait,
            flow=flow,
            work=parameters.work,
        )
        self.entries.append(entry)
        return entry

    def leads(self, now: float) -> list[float]:
        """Return how far the client account of each request is ahead of its share.

        They are 0 where accounts have no shares, and count the work of an account's requests that
        go before, which are those that joined earlier and are late or on time alike.
        """
        ahead: dict[tuple[Flow, bool], float] = {}
        found = []
        for entry in self.entries:
            if entry.flow is None:
                found.append(0.0)
                continue
            key = entry.flow, entry.is_late(now)
            waiting = ahead.get(key, 0.0)
            found.append(entry.flow.lead(now, waiting))
            ahead[key] = waiting + entry.work
        return found

    def sort_keys(self, now: float) -> list[tuple[bool, float, float, float]]:
        """Return the sort key of each request; the lowest goes first."""
        return [
            (entry.is_late(now), entry.priority, lead, entry.arrived_at)
            for entry, lead in zip(self.entries, self.leads(now), strict=True)
        ]

    def next_entry(self, now: float) -> QueueEntry | None:
        """Return the request to place next, or None if the queue is empty.

        At regular intervals the priorities take turns, so that none starves.
        """
        if not self.entries:
            return None
        if self.shares is not None:
            self.shares.waiting_at = now
        keys = self.sort_keys(now)
        if self.placement_count % FAIRNESS_TURNS == FAIRNESS_TURNS - 1:
            last_placed = self.last_placed_by_priority
            keys = [
                (late, last_placed.get(priority, 0.0), lead, arrived_at)
                for late, priority, lead, arrived_at in keys
            ]
        return self.entries[keys.index(min(keys))]

    async def wake_next(self, now: float) -> None:
        """Wake the task of the next request."""
        next_entry = self.next_entry(now)
        if next_entry is not None:
            await next_entry.wake_event.set()

    async def wake_all(self) -> None:
        """Wake the tasks of all requests."""
        for entry in tuple(self.entries):
            await entry.wake_event.set()

    def dequeue(self, entry: QueueEntry, placed: bool, now: float) -> None:
        """Remove a request.

        :param placed: whether it was placed on an endpoint.
        """
        self.entries.remove(entry)
        if placed:
            if entry.flow is not None:
                entry.flow.leave(entry.work)
                self.advance_group(entry.flow, now)
            self.placement_count += 1
            self.last_placed_by_priority[entry.priority] = now
            if now > entry.on_time_until:
                self.last_late_placed = now
            self.intervals.append(now - max(self.busy_since, self.last_placed))
            self.last_placed = now

    def advance_group(self, flow: Flow, now: float) -> None:
        """Advance the virtual time of a flow's group, to that of its on-time requests if any."""
        waiting = [entry for entry in self.entries if entry.flow is not None]
        on_time = [entry for entry in waiting if not entry.is_late(now)]
        flow.group.advance({entry.flow for entry in on_time or waiting})

    def placement_rate(self, now: float) -> float:
        """Return the placements per second, or 0 if they can't be estimated."""
        if (
            len(self.intervals) < MIN_INTERVALS
            or now - self.last_placed > INTERVALS_LIFETIME_SECONDS
        ):
            return 0.0
        return len(self.intervals) / max(sum(self.intervals), MIN_ELAPSED_SECONDS)

    def should_refuse(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request has waited too long, or would have before its turn."""
        late_since = max(entry.on_time_until, self.last_late_placed)
        if now >= entry.wait_until or now - late_since > LATE_WAIT_SECONDS:
            return True
        placement_rate = self.placement_rate(now)
        if not placement_rate:
            return False
        return now + self.count_ahead(entry, now) / placement_rate > entry.wait_until

    def count_ahead(self, entry: QueueEntry, now: float) -> int:
        """Return the number of requests that go before one."""
        keys = self.sort_keys(now)
        own = keys[self.entries.index(entry)]
        return sum(key < own for key in keys)

    def retry_after(
        self,
        now: float,
        time_left: float,
        earliest: float = 0.0,
        expected_rate: float = 0.0,
        within_share: bool | None = None,
    ) -> float:
        """Return the seconds after which a caller that is refused now should retry.

        Callers of accounts within their shares return first, and the others do not delay them.

        :param time_left: seconds until the caller's deadline.
        :param earliest: time before which no endpoint takes the request.
        :param expected_rate: placements per second while too few were seen; 0 if unknown.
        :param within_share: whether the account is within its share; None without shares.
        """
        step = 1.0 / max(1.0, self.placement_rate(now) or expected_rate)
        pause = min(MAX_RETRY_AFTER_SECONDS, len(self.entries) * step)
        first = max(now + pause, earliest)
        boundary = WITHIN_SHARE_RATIO * longest_retry_after(time_left)
        if within_share is False:
            latest = max(self.next_retry_at, self.next_beyond_share_at)
            self.next_beyond_share_at = max(first, latest) + step
            return bounded_retry_after(max(boundary, self.next_beyond_share_at - now), time_left)
        self.next_retry_at = max(first, self.next_retry_at) + step
        seconds = bounded_retry_after(self.next_retry_at - now, time_left)
        if within_share:
            seconds = min(seconds, max(boundary, earliest - now, MIN_RETRY_AFTER_SECONDS))
        return seconds
