"""Requests that may crash the endpoints that run them."""

from dataclasses import dataclass, field

LIFETIME = 120.0  # Seconds.
SUSPECT_CRASHES = 3  # Fewer may be lost answers that no crash caused.
MAX_MARKS = 4096


@dataclass(slots=True)
class Mark:
    """Crashes that one fingerprint was running in.

    :param endpoints: names of the endpoints that broke off.
    """

    time: float
    endpoints: set[str] = field(default_factory=set)


class Crashes:
    """Counts, by fingerprint, the endpoints that broke off under a request."""

    def __init__(self):
        self.marks: dict[int, Mark] = {}

    def note(self, fingerprint: int, endpoint: str, now: float) -> bool:
        """Note a broken connection under a request; tell whether that is news."""
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
        """Forget a fingerprint whose request ended well."""
        self.marks.pop(fingerprint, None)

    def suspected(self, fingerprint: int, now: float) -> bool:
        """Tell whether a request has met too many crashes to be run again."""
        mark = self.marks.get(fingerprint)
        if mark is None or now - mark.time > LIFETIME:
            return False
        return len(mark.endpoints) >= SUSPECT_CRASHES
