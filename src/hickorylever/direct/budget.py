"""The retry budget that all routers share, as one router's part of it."""

from collections import deque


class SharedBudget:
    """Counts requests and further attempts in a sliding window, for each service.

    A router may use its even share of the fleet's allowance and the ratio of its own requests.

    :param ratio: further attempts per request.
    :param allowance: further attempts in a window, over all routers.
    :param window: seconds.
    """

    SAFETY = 0.8  # Part of the budget that is used, since routers' windows differ.

    def __init__(self, ratio: float, allowance: float, window: float):
        self.ratio = ratio
        self.allowance = allowance
        self.window = window
        self.routers = 1
        self.requests: dict[str, deque[float]] = {}
        self.retries: dict[str, deque[float]] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        self.recent(self.requests, service, now).append(now)

    def recent(self, table: dict[str, deque[float]], service: str, now: float) -> deque[float]:
        """Return the times within the window."""
        times = table.setdefault(service, deque())
        while times and times[0] <= now - self.window:
            times.popleft()
        return times

    def left(self, service: str, now: float) -> float:
        """Return how many further attempts are allowed now."""
        requests = len(self.recent(self.requests, service, now))
        allowed = self.ratio * requests + self.allowance / max(1, self.routers)
        return self.SAFETY * allowed - len(self.recent(self.retries, service, now))

    def withdraw(self, service: str, now: float) -> bool:
        """Take one further attempt if the budget allows it."""
        if self.left(service, now) < 1.0:
            return False
        self.retries[service].append(now)
        return True
