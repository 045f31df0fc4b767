"""Responses to attempts that a sidecar retains until they are delivered."""

import curio

from . import defaults
from .frames import AttemptRequest, End, Failed, Head


class AttemptResponse:
    """An attempt and its response so far, shared by all connections that stream it."""

    def __init__(self, request: AttemptRequest):
        self.request = request
        self.head: Head | None = None
        self.body = bytearray()
        self.end: End | Failed | None = None
        self.ended_at = 0.0
        self.fetched = False
        self.detached_at = 0.0
        self.events: set[curio.Event] = set()
        self.task: curio.Task | None = None

    def retention_seconds(self) -> float:
        """Return for how many seconds a finished response is retained."""
        guarded = self.request.attempt.guarded
        return (
            defaults.GUARDED_RESPONSE_RETENTION_SECONDS
            if guarded
            else defaults.RESPONSE_RETENTION_SECONDS
        )

    def is_expired(self, now: float) -> bool:
        """Return whether the retention period of the response has passed."""
        return self.end is not None and now - self.ended_at > self.retention_seconds()

    def is_orphaned(self, now: float) -> bool:
        """Return whether a running attempt has had no connection for the grace period."""
        if self.end is not None or self.events or self.request.attempt.guarded:
            return False
        return now - self.detached_at > defaults.ORPHAN_GRACE_SECONDS

    def is_delivered(self, now: float) -> bool:
        """Return whether the response was fetched, or not asked for during the grace period."""
        if self.end is None or self.events:
            return False
        return (
            self.fetched
            or now - max(self.ended_at, self.detached_at) > defaults.ORPHAN_GRACE_SECONDS
        )

    async def notify(self) -> None:
        """Wake all connections that stream this response."""
        for event in tuple(self.events):
            await event.set()
