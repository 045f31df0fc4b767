"""Cuts connections that have gone silent while an answer is awaited on them."""

import contextlib
import socket as stdsocket
from dataclasses import dataclass, field

from . import defaults
from .http import Channel


@dataclass(slots=True)
class Silence:
    """The connections on which bytes are awaited, and since when in monotonic seconds.

    One check for all of them costs less than a timeout for each piece of an answer.
    """

    waiting: dict[Channel, float] = field(default_factory=dict)

    def begin(self, channel: Channel, now: float) -> None:
        """Note that bytes are awaited on a connection."""
        self.waiting[channel] = now

    def end(self, channel: Channel) -> None:
        """Note that they came, or are not awaited any more."""
        self.waiting.pop(channel, None)

    def check(self, now: float) -> None:
        """Shut down connections that missed their heartbeats; whoever reads them sees the end."""
        limit = defaults.HEARTBEAT_INTERVAL_SECONDS * defaults.MAX_MISSED_HEARTBEATS
        for channel, since in list(self.waiting.items()):
            if now - since >= limit:
                with contextlib.suppress(OSError):
                    channel.raw.shutdown(stdsocket.SHUT_RDWR)
