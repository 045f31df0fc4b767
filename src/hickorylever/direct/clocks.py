"""Time that also passes while this VM is suspended, and when this process stood still."""

import time

STALL_SECONDS = 1.0  # Between two ticks, after which what has arrived may be old.


def boot_time() -> float:
    """Return the seconds since the boot of the VM.

    Unlike the monotonic clock, this one counts the time in which the VM was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StallDetector:
    """Finds out when this process stood still, such as while it or its VM was suspended.

    Messages that arrived meanwhile are read afterwards as if they were new. Times are those of
    :func:`boot_time`.

    :param now: seconds.
    :ivar ticked_at: when the process last ran.
    :ivar resumed_at: when it ran again after it stood still, or None.
    """

    def __init__(self, now: float):
        self.ticked_at = now
        self.resumed_at: float | None = None

    def tick(self, now: float) -> None:
        """Record that the process runs."""
        if now - self.ticked_at > STALL_SECONDS:
            self.resumed_at = now
        self.ticked_at = now

    def stalled_within(self, seconds: float, now: float) -> bool:
        """Return whether the process stood still lately."""
        self.tick(now)
        return self.resumed_at is not None and now - self.resumed_at <= seconds
