"""Queue of requests that wait for an endpoint of their service to have capacity.

In an overloaded pool, requests that can still meet their objective go first, by rank; some turns
go to the rank that has waited longest. Requests that can no longer meet it wait for spare capacity
for a part of their remaining time and are then refused. The Retry-After times of refused requests
are spread out at the rate at which the queue drains.
"""

from collections import deque
from dataclasses import dataclass, field

import curio

ON_TIME_SHARE = 0.7  # Share of the objective before which a request must be placed to meet it.
WAIT_SHARE = 0.75  # Maximum wait as a share of the time that the caller allows.
LATE_PATIENCE = 1.0  # Late requests are refused if none was placed for this time.
DRAIN_WAIT = 0.3  # At a router that shuts down.
SHARED_TURNS = 5  # One in this many turns goes to the rank that was served least recently.
KEPT_INTERVALS = 32  # Intervals between placements from which the drain rate is estimated.
MIN_INTERVALS = 8  # Too few for an estimate below this.
INTERVALS_LIFETIME = 10.0  # Intervals are ignored when the last placement is older.
MIN_TIME = 0.001  # Avoids division by zero.
MIN_RETURN = 0.25
MAX_RETURN = 5.0


@dataclass(frozen=True, slots=True)
class Wish:
    """Properties of a request that joins the queue. Times are monotonic seconds.

    :param rank: priority; 0 goes first.
    :param begun: arrival of the request.
    :param objective: seconds within which the response, or its first event, is on time.
    :param leaves: time at which the caller leaves or the route's timeout ends the request.
    :param draining: whether the router shuts down.
    """

    rank: int
    begun: float
    objective: float
    leaves: float
    draining: bool = False


@dataclass(eq=False, slots=True)
class Ticket:
    """A queued request. Times are monotonic seconds.

    :param rank: priority; 0 goes first.
    :param begun: arrival of the request.
    :param on_time_until: latest placement that meets the objective.
    :param wait_until: time at which the request is refused.
    :param turn: set when the request may have become the next one.
    """

    rank: int
    begun: float
    on_time_until: float
    wait_until: float
    turn: curio.Event = field(default_factory=curio.Event)

    def order(self, now: float) -> tuple[bool, int, float]:
        """Return the sort key; the lowest goes first."""
        return now > self.on_time_until, self.rank, self.begun

    async def wait(self, now: float) -> None:
        """Wait until the request may be the next one or `wait_until` has passed."""
        self.turn.clear()
        await curio.ignore_after(self.wait_until - now, self.turn.wait)


class Line:
    """Queue of one service. Times are monotonic seconds.

    :ivar intervals: latest seconds between placements while requests were queued.
    :ivar busy_since: time since which the queue has not been empty.
    :ivar last_placed: latest placement.
    :ivar placings: number of placements.
    :ivar served: latest placement by rank.
    :ivar last_late: latest placement of a request that was already late.
    :ivar next_return: time at which the next refused caller is told to retry.
    """

    def __init__(self):
        self.tickets: list[Ticket] = []
        self.intervals: deque[float] = deque(maxlen=KEPT_INTERVALS)
        self.busy_since = 0.0
        self.last_placed = 0.0
        self.placings = 0
        self.served: dict[int, float] = {}
        self.last_late = 0.0
        self.next_return = 0.0

    def join(self, wish: Wish, now: float) -> Ticket:
        """Add a request and return its ticket."""
        wait = WAIT_SHARE * (wish.leaves - now)
        if wish.draining:
            wait = min(wait, DRAIN_WAIT)
        on_time_until = wish.begun + ON_TIME_SHARE * wish.objective
        if not self.tickets:
            self.busy_since = now
        ticket = Ticket(wish.rank, wish.begun, on_time_until, now + wait)
        self.tickets.append(ticket)
        return ticket

    def first(self, now: float) -> Ticket | None:
        """Return the request to place next, or None if the queue is empty.

        At regular intervals the ranks take turns, so that none starves.
        """
        if self.placings % SHARED_TURNS != SHARED_TURNS - 1:
            return min(self.tickets, key=lambda ticket: ticket.order(now), default=None)
        served = self.served

        def order(ticket: Ticket) -> tuple[bool, float, float]:
            return now > ticket.on_time_until, served.get(ticket.rank, 0.0), ticket.begun

        return min(self.tickets, key=order, default=None)

    async def wake_first(self, now: float) -> None:
        """Wake the task of the next request."""
        first = self.first(now)
        if first is not None:
            await first.turn.set()

    def leave(self, ticket: Ticket, placed: bool, now: float) -> None:
        """Remove a request.

        :param placed: whether it was placed on an endpoint.
        """
        self.tickets.remove(ticket)
        if placed:
            self.placings += 1
            self.served[ticket.rank] = now
            if now > ticket.on_time_until:
                self.last_late = now
            self.intervals.append(now - max(self.busy_since, self.last_placed))
            self.last_placed = now

    def rate(self, now: float) -> float:
        """Return the placements per second, or 0 if they can't be estimated."""
        if len(self.intervals) < MIN_INTERVALS or now - self.last_placed > INTERVALS_LIFETIME:
            return 0.0
        return len(self.intervals) / max(sum(self.intervals), MIN_TIME)

    def hopeless(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request has waited too long, or would have before its turn."""
        late_since = max(ticket.on_time_until, self.last_late)
        if now >= ticket.wait_until or now - late_since > LATE_PATIENCE:
            return True
        rate = self.rate(now)
        if not rate:
            return False
        order = ticket.order(now)
        before = sum(other.order(now) < order for other in self.tickets)
        return now + before / rate > ticket.wait_until

    def retry_after(self, now: float, time_left: float) -> float:
        """Return the seconds after which a caller that is refused now should retry.

        :param time_left: seconds until the caller's deadline; callers wait at most a third of it.
        """
        step = 1.0 / max(1.0, self.rate(now))
        pause = min(MAX_RETURN, len(self.tickets) * step)
        self.next_return = max(now + pause, self.next_return) + step
        latest = max(MIN_RETURN, min(MAX_RETURN, time_left / 3))
        return min(latest, max(MIN_RETURN, self.next_return - now))
