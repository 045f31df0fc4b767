"""Detects connections to sidecars whose heartbeats are missing."""

import contextlib
import socket as stdsocket
from dataclasses import dataclass, field

from . import defaults
from .http import Channel


@dataclass(slots=True)
class HeartbeatMonitor:
    """Shuts down connections that receive nothing for too long.

    One periodic check of all connections costs less than a timeout for each read.

    :param waiting: monotonic seconds since when each connection waits for bytes.
    """

    waiting: dict[Channel, float] = field(default_factory=dict)

    def begin(self, channel: Channel, now: float) -> None:
        """Start to supervise a connection that waits for bytes."""
        self.waiting[channel] = now

    def end(self, channel: Channel) -> None:
        """Stop supervising a connection: bytes arrived, or the wait ended."""
        self.waiting.pop(channel, None)

    def check(self, now: float) -> None:
        """Shut down connections that missed their heartbeats. Their readers see the end."""
        limit = defaults.HEARTBEAT_INTERVAL_SECONDS * defaults.MAX_MISSED_HEARTBEATS
        for channel, since in list(self.waiting.items()):
            if now - since >= limit:
                with contextlib.suppress(OSError):
                    channel.raw.shutdown(stdsocket.SHUT_RDWR)
