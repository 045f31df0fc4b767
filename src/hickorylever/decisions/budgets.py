"""The retry budget: retries are a bounded share of the requests."""


class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    :param share: retries per first attempt in the long run.
    :param burst: retries that may follow on each other at once.
    """

    def __init__(self, share: float, burst: float):
        self.share = share
        self.burst = burst
        self.tokens = burst

    def deposit(self) -> None:
        """Count a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def withdraw(self) -> bool:
        """Take a retry if the budget allows one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
