"""Window of requests in flight at an endpoint that has just started or recovered.

This prevents two faults: that all routers send requests at once to an endpoint that appears idle,
and that an endpoint stays idle since it has no prompt parts cached. All routers' requests
count against one window. It grows by one for each response whose first event came within the
expected time, so that it doubles while all do, and is halved when one is late or fails. It ends
when the endpoint holds no more than the load bound would let it have anyway.

Each router counts the responses that it saw in time and reports its count to the others, as a sum
of counts does not depend on the order in which datagrams arrive. A halving begins a new count.
Times are monotonic seconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from . import rendezvous

INITIAL_WINDOW = 4
MIN_WINDOW = 1
MIN_IN_TIME = 4  # Responses in time before a window may end; else a quiet pool ends it at once.
IN_TIME_RATIO = 2.0  # A first event is in time up to this multiple of the expected time.
IN_TIME_MARGIN_SECONDS = 0.1  # Added to it, for the network and for what peers sent meanwhile.
RECOVERY_FAILURES = 2  # Failed connections in a row after which a response begins a window.
RESTART_SECONDS = 5.0  # From the end of a window to the next one of the same incarnation.
EQUAL_SHARE_SECONDS = 2.0  # Then a window is divided among the routers with requests only.
MAX_STARTING_RATIO = 0.5  # Windows don't apply where more endpoints than this share are starting.
START_DISCOUNT_TOKENS = 2000.0  # Of the cost of an idle endpoint that is starting.


@dataclass(slots=True)
class SlowStart:
    """The window of one endpoint as one router knows it.

    :param began_at: when this router learned of it.
    :param generation: number of the window among those of the endpoint's incarnation.
    :param halvings: how often it was halved.
    :param base: its size after the latest halving.
    :param in_time: responses in time since the latest halving, by router; this router's own
        under "".
    :param halved_at: when it was last halved, as far as this router knows.
    :param ended_at: when it ended, or None.
    :param share: requests that this router may have in flight there.
    """

    began_at: float
    generation: int = 1
    halvings: int = 0
    base: int = INITIAL_WINDOW
    in_time: dict[str, int] = field(default_factory=dict)
    halved_at: float = 0.0
    ended_at: float | None = None
    share: int = INITIAL_WINDOW

    @property
    def window(self) -> int:
        """Return the limit on the requests in flight of all routers."""
        return self.base + sum(self.in_time.values())

    @property
    def active(self) -> bool:
        """Return whether it has not ended."""
        return self.ended_at is None

    @property
    def own_count(self) -> int:
        """Return the responses in time that this router saw since the latest halving."""
        return self.in_time.get("", 0)

    def permits(self, requests: int, own: int) -> bool:
        """Return whether this router may send one more request.

        :param requests: in flight there of all routers.
        :param own: in flight there of this router.
        """
        return requests < self.window and own < self.share

    def record_first_event(self, sent_at: float, in_time: bool, now: float) -> None:
        """Record the first event of a response, or that it failed.

        What was sent before the window began or was halved says nothing about its present size.
        """
        if self.ended_at is not None or sent_at < max(self.began_at, self.halved_at):
            return
        if in_time:
            self.in_time[""] = self.own_count + 1
        else:
            self.base = max(MIN_WINDOW, self.window // 2)
            self.halvings += 1
            self.in_time.clear()
            self.halved_at = now

    def end_beyond(self, limit: float, now: float) -> bool:
        """End the window if it exceeds a limit, and return whether it has ended now.

        :param limit: requests that the endpoint may have in flight without a window.
        """
        grown = self.window - self.base >= MIN_IN_TIME or self.halvings
        if self.ended_at is not None or not grown or self.window <= limit:
            return False
        self.ended_at = now
        return True

    def may_restart(self, now: float) -> bool:
        """Return whether another window may follow this one."""
        return self.ended_at is not None and now - self.ended_at > RESTART_SECONDS

    def merge(self, router: str, other: "WindowState", now: float) -> None:
        """Merge the state that another router reports; the order of reports does not matter.

        The higher generation and number of halvings replace the rest of the state.

        :param router: IP address of the other router.
        """
        if other.generation < self.generation:
            return
        own = self.generation, self.halvings
        reported = other.generation, other.halvings
        if other.generation > self.generation:
            self.began_at, self.ended_at = now, None
        if reported > own:
            self.generation, self.halvings = reported
            self.base = other.base
            self.in_time.clear()
            self.halved_at = now
        if reported >= own:
            self.base = min(self.base, other.base)
            self.in_time[router] = max(other.in_time, self.in_time.get(router, 0))
        if other.ended and self.ended_at is None:
            self.ended_at = now

    def state(self) -> "WindowState":
        """Return the state to report to the other routers."""
        return WindowState(
            self.generation,
            self.halvings,
            self.base,
            self.own_count,
            self.ended_at is not None,
        )


@dataclass(frozen=True, slots=True)
class WindowState:
    """The state of a window as a router reports it.

    :param generation: number of the window among those of the endpoint's incarnation.
    :param halvings: how often it was halved.
    :param base: its size after the latest halving.
    :param in_time: responses in time that the router saw since the latest halving.
    :param ended: whether it has ended.
    """

    generation: int
    halvings: int
    base: int
    in_time: int
    ended: bool


def is_in_time(seconds: float, expected: float) -> bool:
    """Return whether a first event after `seconds` is in time, given the expected seconds."""
    return seconds <= IN_TIME_RATIO * expected + IN_TIME_MARGIN_SECONDS


def router_share(window: int, key: int, own: str, others: Iterable[str]) -> int:
    """Return the requests that a router may have in flight within a window.

    Loads of other routers arrive late: without shares, all routers would send to an idle endpoint
    at once. The remainder of an equal division goes to the first routers in the rendezvous order
    of the endpoint.

    :param key: hash of the endpoint's name.
    :param own: IP address of this router.
    :param others: IP addresses of the other live routers.
    """
    others = list(others)
    return rendezvous.share(window, rendezvous.rank(key, own, others), len(others) + 1)


def start_discount(window: int, requests: int, mean: float, tokens: float) -> float:
    """Return by how much the cost of an endpoint that is starting is reduced, in prompt tokens.

    An endpoint without cached parts would cost more than the others until a burst fills them. The
    discount makes an idle one the cheapest, and vanishes when it holds its share.

    :param mean: mean requests in flight of the endpoints.
    :param tokens: cost of the prompt tokens that the endpoint would have to read.
    """
    target = max(1.0, min(window, mean))
    return max(0.0, 1.0 - requests / target) * (tokens + START_DISCOUNT_TOKENS)
