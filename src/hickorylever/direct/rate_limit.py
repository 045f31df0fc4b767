"""Rates of requests that endpoints take from all routers together.

Routers tell each other how many requests they have sent to an endpoint with a limit. As each one
learns of the others' requests with a delay, they use new room at random moments, so that they do
not all send at once.
"""

import math
import random
from collections import deque
from dataclasses import dataclass, field

WINDOW_SECONDS = 2.0
MAX_WINDOW_SECONDS = 30.0
MIN_REQUESTS_PER_WINDOW = 2  # The window is longer where the limit allows fewer in it.
USABLE_RATIO = 0.9  # Share of the limit in use, as the counts of the others are late.
ATTEMPTS_PER_REQUEST = 1.5  # Attempts of all routers for each request that the limit allows.
MAX_SPACING_SECONDS = 0.1  # Between the attempts of two routers; reports take about as long.
ACTIVE_SECONDS = 10.0  # For which a router counts as active after its latest request.


@dataclass(frozen=True, slots=True)
class PeerCount:
    """Requests that another router has sent.

    :param latest: monotonic seconds at which this router learned of the latest.
    """

    count: int
    latest: float


@dataclass(slots=True)
class RateLimit:
    """The limit of one endpoint and what is known of the requests sent to it.

    Times are monotonic seconds.

    :param rate: requests per second of all routers.
    :param router_count: routers that may share the limit, with this one.
    :param since: when this router learned of the limit.
    :param rng: source of the random moments.
    :ivar next_at: time before which this router sends nothing.
    :ivar sends: times at which this router sent a request or learned of another router's.
    :ivar own_count: requests that this router has sent.
    :ivar peers: the same of the other routers, by their address.
    """

    rate: float
    router_count: int
    since: float
    rng: random.Random = field(default_factory=random.Random)
    next_at: float = field(init=False)
    sends: deque[float] = field(default_factory=deque)
    own_count: int = 0
    peers: dict[str, PeerCount] = field(default_factory=dict)

    def __post_init__(self):
        self.back_off(self.since)

    @property
    def seconds_per_request(self) -> float:
        """Return the time in which the limit allows one request."""
        return 1.0 / max(self.rate, MIN_REQUESTS_PER_WINDOW / MAX_WINDOW_SECONDS)

    @property
    def window(self) -> float:
        """Return the seconds over which requests are counted."""
        return max(WINDOW_SECONDS, MIN_REQUESTS_PER_WINDOW * self.seconds_per_request)

    @property
    def allowed(self) -> float:
        """Return the number of requests in a window, below which there is room for one more."""
        return max(1.0, USABLE_RATIO * self.rate * self.window)

    def permits(self, now: float) -> bool:
        """Return whether this router may send a request now."""
        return now >= self.next_at and self.count(now) < self.allowed

    def count(self, now: float) -> int:
        """Return the number of known requests in the window."""
        oldest = now - self.window
        return sum(time > oldest for time in self.sends)

    def record_send(self, now: float) -> None:
        """Count a request of this router."""
        self.own_count += 1
        self.record_sends(1, now)
        self.back_off(max(now, self.room_at(now)))

    def record_peer_count(self, router: str, count: int, now: float) -> None:
        """Count the requests that another router has sent since it last said how many.

        :param router: IP address of the router.
        :param count: requests since it learned of the limit.
        """
        known = self.peers[router].count if router in self.peers else 0
        new = count - known if count >= known else count
        if not new:
            return
        self.peers[router] = PeerCount(count, now)
        self.record_sends(new, now)
        room_at = self.room_at(now)
        if room_at > now:
            self.back_off(room_at)

    def record_sends(self, number: int, now: float) -> None:
        """Count requests, and forget those before the window."""
        self.sends.extend([now] * number)
        oldest = now - self.window
        while self.sends[0] <= oldest:
            self.sends.popleft()

    def room_at(self, now: float) -> float:
        """Return when there is room for one more request, or a time in the past."""
        allowed = math.ceil(self.allowed)
        if len(self.sends) < allowed:
            return now
        return self.sends[-allowed] + self.window

    def back_off(self, room_at: float) -> None:
        """Let this router send its next request at a random moment once there is room."""
        longest = min(
            self.router_count * MAX_SPACING_SECONDS,
            self.active_routers(room_at) * self.seconds_per_request / ATTEMPTS_PER_REQUEST,
        )
        self.next_at = room_at + self.rng.uniform(0.0, longest)

    def active_routers(self, now: float) -> int:
        """Return the number of routers that send requests to the endpoint, with this one.

        All count as active until their reports would have come.
        """
        if now - self.since < ACTIVE_SECONDS:
            return self.router_count
        return 1 + sum(now - peer.latest <= ACTIVE_SECONDS for peer in self.peers.values())
