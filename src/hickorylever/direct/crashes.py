"""Detection of requests that crash the endpoints that run them."""

from dataclasses import dataclass, field

RETENTION_SECONDS = 120.0
QUARANTINE_ENDPOINTS = 3  # One or two connections may be lost without a crash.
MAX_FINGERPRINTS = 4096


@dataclass(slots=True)
class CrashedEndpoints:
    """Endpoints whose connections were lost while they ran requests with one fingerprint.

    :param time: monotonic seconds of the latest loss.
    :param endpoints: their names.
    """

    time: float
    endpoints: set[str] = field(default_factory=set)


class CrashTracker:
    """Counts distinct endpoints whose connections were lost, per request fingerprint."""

    def __init__(self):
        self.records: dict[int, CrashedEndpoints] = {}

    def record(self, fingerprint: int, endpoint: str, now: float) -> bool:
        """Record a connection lost during a request; return whether the endpoint is a new one."""
        crashed = self.records.get(fingerprint)
        if crashed is None:
            if len(self.records) >= MAX_FINGERPRINTS:
                self.records.pop(next(iter(self.records)))
            crashed = self.records[fingerprint] = CrashedEndpoints(now)
        crashed.time = now
        already_known = endpoint in crashed.endpoints
        crashed.endpoints.add(endpoint)
        return not already_known

    def clear(self, fingerprint: int) -> None:
        """Remove a fingerprint after a request completed."""
        self.records.pop(fingerprint, None)

    def is_quarantined(self, fingerprint: int, now: float) -> bool:
        """Return whether too many endpoints were lost running the request to run it again."""
        crashed = self.records.get(fingerprint)
        if crashed is None or now - crashed.time > RETENTION_SECONDS:
            return False
        return len(crashed.endpoints) >= QUARANTINE_ENDPOINTS
