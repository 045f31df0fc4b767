"""Detection of requests that crash the endpoints that run them."""

from dataclasses import dataclass, field

LIFETIME = 120.0
SUSPECT_CRASHES = 3  # One or two connections may be lost without a crash.
MAX_MARKS = 4096


@dataclass(slots=True)
class Mark:
    """Endpoints whose connections were lost while they ran requests with one fingerprint.

    :param time: monotonic seconds of the latest loss.
    :param endpoints: their names.
    """

    time: float
    endpoints: set[str] = field(default_factory=set)


class Crashes:
    """Counts distinct endpoints whose connections were lost, per request fingerprint."""

    def __init__(self):
        self.marks: dict[int, Mark] = {}

    def note(self, fingerprint: int, endpoint: str, now: float) -> bool:
        """Record a connection lost during a request; return whether the endpoint is a new one."""
        mark = self.marks.get(fingerprint)
        if mark is None:
            if len(self.marks) >= MAX_MARKS:
                self.marks.pop(next(iter(self.marks)))
            mark = self.marks[fingerprint] = Mark(now)
        mark.time = now
        known = endpoint in mark.endpoints
        mark.endpoints.add(endpoint)
        return not known

    def clear(self, fingerprint: int) -> None:
        """Remove a fingerprint after a request completed."""
        self.marks.pop(fingerprint, None)

    def suspected(self, fingerprint: int, now: float) -> bool:
        """Return whether too many endpoints were lost running the request to run it again."""
        mark = self.marks.get(fingerprint)
        if mark is None or now - mark.time > LIFETIME:
            return False
        return len(mark.endpoints) >= SUSPECT_CRASHES
