"""Retry budget shared by all routers of a fleet."""

from collections import deque


class SharedRetryBudget:
    """Limits retries per service by counting requests and retries in a sliding window.

    Each router may use an equal share of the fleet's allowance plus a ratio of its own requests.

    :param ratio: retries per request.
    :param allowance: retries per window over all routers.
    :param window: seconds.
    """

    USABLE_RATIO = 0.8  # Share of the budget in use; routers' windows are not aligned.

    def __init__(self, ratio: float, allowance: float, window: float):
        self.ratio = ratio
        self.allowance = allowance
        self.window = window
        self.router_count = 1
        self.requests: dict[str, deque[float]] = {}
        self.retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, now: float) -> None:
        """Count a request from a caller."""
        self.in_window(self.requests, service, now).append(now)

    def in_window(self, table: dict[str, deque[float]], service: str, now: float) -> deque[float]:
        """Drop expired times and return those within the window."""
        times = table.setdefault(service, deque())
        while times and times[0] <= now - self.window:
            times.popleft()
        return times

    def remaining(self, service: str, now: float) -> float:
        """Return the number of retries allowed now."""
        requests = len(self.in_window(self.requests, service, now))
        allowed = self.ratio * requests + self.allowance / max(1, self.router_count)
        return self.USABLE_RATIO * allowed - len(self.in_window(self.retries, service, now))

    def withdraw(self, service: str, now: float) -> bool:
        """Take one retry from the budget and return whether there was one left."""
        if self.remaining(service, now) < 1.0:
            return False
        self.retries[service].append(now)
        return True
