"""Requests that wait until an endpoint of their service has room.

Answers the load of a pool with more work than it can do at once: requests that can still be on
time go first, by urgency, and some turns go to the rank that went without one for longest. Those
that can't be on time wait for slack, for a part of their time, and are refused when it is over.
Refused callers are told to come back one after the other, at the rate at which the line moves.
"""

from collections import deque
from dataclasses import dataclass, field

import curio

ON_TIME_SHARE = 0.7  # Of its objective within which a request must be placed to be on time.
WAIT_SHARE = 0.75  # Of the time that its caller gives, that a request waits at most.
LATE_PATIENCE = 1.0  # Seconds without room for any late request after which it is refused.
DRAIN_WAIT = 0.3  # Seconds, at a router that shuts down.
SHARED_TURNS = 5  # One turn in so many goes to the rank that went without one for longest.
KEPT_INTERVALS = 32  # Between placings, for the rate of a line.
MIN_INTERVALS = 8  # Fewer tell nothing.
INTERVALS_LIFETIME = 10.0  # Seconds without a placing after which they tell nothing.
MIN_TIME = 0.001  # Seconds.
MIN_RETURN = 0.25  # Seconds after which a refused caller may come back at the soonest.
MAX_RETURN = 5.0  # Seconds.


@dataclass(frozen=True, slots=True)
class Wish:
    """What a request that waits asks for. Times are monotonic seconds.

    :param rank: urgency; 0 goes first.
    :param begun: when the request came.
    :param objective: seconds within which its answer, or its first event, is on time.
    :param leaves: when the caller leaves if nothing came, or the route ends the request.
    :param draining: the router shuts down.
    """

    rank: int
    begun: float
    objective: float
    leaves: float
    draining: bool = False


@dataclass(eq=False, slots=True)
class Ticket:
    """A place in a line. Times are monotonic seconds.

    :param rank: urgency; 0 goes first.
    :param on_time_until: when the request must be placed to be on time.
    :param wait_until: when it is refused.
    :param turn: set when the ticket may be the first.
    """

    rank: int
    begun: float
    on_time_until: float
    wait_until: float
    turn: curio.Event = field(default_factory=curio.Event)

    def order(self, now: float) -> tuple[bool, int, float]:
        """Return what tickets are sorted by."""
        return now > self.on_time_until, self.rank, self.begun

    async def wait(self, now: float) -> None:
        """Wait until the ticket may be the first, or its time is over."""
        self.turn.clear()
        await curio.ignore_after(self.wait_until - now, self.turn.wait)


class Line:
    """The tickets of one service.

    :ivar intervals: seconds between placings while requests waited, the latest ones.
    :ivar busy_since: when the line was last empty.
    :ivar served: when a ticket of a rank was last placed.
    :ivar last_late: when a ticket that could not be on time was last placed.
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
        """Add a ticket."""
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
        """Return the ticket whose turn it is.

        Some turns go round the ranks, so that none is left out for long.
        """
        if self.placings % SHARED_TURNS != SHARED_TURNS - 1:
            return min(self.tickets, key=lambda ticket: ticket.order(now), default=None)
        served = self.served

        def order(ticket: Ticket) -> tuple[bool, float, float]:
            return now > ticket.on_time_until, served.get(ticket.rank, 0.0), ticket.begun

        return min(self.tickets, key=order, default=None)

    async def wake_first(self, now: float) -> None:
        """Let the first ticket look for room."""
        first = self.first(now)
        if first is not None:
            await first.turn.set()

    def leave(self, ticket: Ticket, placed: bool, now: float) -> None:
        """Take a ticket out.

        :param placed: it was its turn.
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
        """Return how many waiting requests a second find room; 0 when that is not known."""
        if len(self.intervals) < MIN_INTERVALS or now - self.last_placed > INTERVALS_LIFETIME:
            return 0.0
        return len(self.intervals) / max(sum(self.intervals), MIN_TIME)

    def hopeless(self, ticket: Ticket, now: float) -> bool:
        """Tell whether a ticket's time is over, or will be before its turn at the line's rate."""
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
        """Return when a caller that is refused now may come back, in seconds.

        :param time_left: of the caller; it honours a third of it at most.
        """
        step = 1.0 / max(1.0, self.rate(now))
        pause = min(MAX_RETURN, len(self.tickets) * step)
        self.next_return = max(now + pause, self.next_return) + step
        latest = max(MIN_RETURN, min(MAX_RETURN, time_left / 3))
        return min(latest, max(MIN_RETURN, self.next_return - now))
