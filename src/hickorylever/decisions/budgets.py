"""A budget that limits retries to a share of the requests."""


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    :param share: tokens added per first attempt, the long-term ratio of retries to requests.
    :param burst: size of the bucket, the maximum number of retries in a burst.
    """

    def __init__(self, share: float, burst: float):
        self.share = share
        self.burst = burst
        self.tokens = burst

    def deposit(self) -> None:
        """Add tokens for a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def withdraw(self) -> bool:
        """Return whether a retry is allowed, and take its token if so."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
