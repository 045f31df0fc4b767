"""The dissemination queue, and the token bucket that limits the bytes sent."""

import math
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from .. import defaults

MIN_ITEM_BYTES = 12  # Encoded items with 64-bit member ids are larger.


@dataclass(slots=True)
class QueuedItem:
    """An item in the dissemination queue.

    :param size: encoded size in bytes.
    :param priority: items with higher values are sent first.
    :param remaining: number of transmissions that remain.
    """

    item: object
    size: int
    priority: int
    remaining: int


class DisseminationQueue:
    """Queue of items to piggyback on datagrams, each for a bounded number of times.

    :param member_count: returns the number of members, which determines how often an item is sent.
    """

    def __init__(self, member_count: Callable[[], int]):
        self.member_count = member_count
        self.pending: dict[Hashable, QueuedItem] = {}

    def transmissions(self) -> int:
        """Return how many times an item is sent, which grows logarithmically with the members."""
        return defaults.RETRANSMIT_MULTIPLIER * max(
            2, math.ceil(math.log10(self.member_count() + 1))
        )

    def add(self, key: Hashable, item: object, size: int, priority: int) -> None:
        """Queue an item, replacing a queued one with the same key.

        :param size: encoded size in bytes.
        :param priority: items with higher values are sent first.
        """
        self.pending[key] = QueuedItem(item, size, priority, self.transmissions())

    def discard(self, key: Hashable) -> None:
        """Remove an item if it is queued."""
        self.pending.pop(key, None)

    def take(self, max_bytes: int, recipients: int = 1) -> list[object]:
        """Return items whose encoded sizes add up to at most `max_bytes` bytes.

        Items with the highest priority come first, and among equals those sent the fewest times.

        :param recipients: number of members that the items are sent to; each is one transmission.
        """
        items = []
        order = sorted(
            self.pending.items(), key=lambda pair: (-pair[1].priority, -pair[1].remaining)
        )
        for key, queued in order:
            if max_bytes < MIN_ITEM_BYTES:
                break
            if queued.size > max_bytes:
                continue
            max_bytes -= queued.size
            items.append(queued.item)
            queued.remaining -= recipients
            if queued.remaining <= 0:
                del self.pending[key]
        return items

    def __bool__(self) -> bool:
        return bool(self.pending)


class TokenBucket:
    """A token bucket that limits the rate of sent bytes.

    :param rate: bytes per second.
    :param burst: capacity in bytes.
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at: float | None = None

    def refill(self, now: float) -> None:
        """Add the tokens that have accrued since the last call."""
        if self.refilled_at is not None:
            self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def take(self, size: int, reserve: float = 0.0) -> bool:
        """Take tokens and return True, unless less than `reserve` bytes would remain."""
        if self.tokens - size < reserve:
            return False
        self.tokens -= size
        return True

    def overdraw(self, size: int) -> None:
        """Take tokens for bytes that are sent in any case, which may make the balance negative."""
        self.tokens -= size
