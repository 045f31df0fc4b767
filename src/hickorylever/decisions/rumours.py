"""The dissemination queue, and the token bucket that limits the bytes sent."""

import math
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from .. import defaults

SMALLEST = 12


@dataclass(slots=True)
class Rumour:
    """An item in the dissemination queue.

    :param size: encoded size in bytes.
    :param value: priority; items with higher values are sent first.
    :param left: number of transmissions that remain.
    """

    item: object
    size: int
    value: int
    left: int


class Rumours:
    """Queue of items to piggyback on datagrams, each for a bounded number of times.

    :param members: returns the number of members, which determines the number of transmissions.
    """

    def __init__(self, members: Callable[[], int]):
        self.members = members
        self.queue: dict[Hashable, Rumour] = {}

    def transmissions(self) -> int:
        """Return how many times an item is sent, which grows logarithmically with the members."""
        return defaults.RETRANSMIT_MULTIPLE * max(2, math.ceil(math.log10(self.members() + 1)))

    def add(self, key: Hashable, item: object, size: int, value: int) -> None:
        """Queue an item, replacing a queued one with the same key.

        :param size: encoded size in bytes.
        :param value: priority; items with higher values are sent first.
        """
        self.queue[key] = Rumour(item, size, value, self.transmissions())

    def discard(self, key: Hashable) -> None:
        """Remove an item if it is queued."""
        self.queue.pop(key, None)

    def take(self, room: int, copies: int = 1) -> list[object]:
        """Return items whose encoded sizes add up to at most `room` bytes.

        Items with the highest value come first, and among equals those sent the fewest times.

        :param copies: number of members that the items are sent to; each is one transmission.
        """
        items = []
        order = sorted(self.queue.items(), key=lambda pair: (-pair[1].value, -pair[1].left))
        for key, rumour in order:
            if room < SMALLEST:
                break
            if rumour.size > room:
                continue
            room -= rumour.size
            items.append(rumour.item)
            rumour.left -= copies
            if rumour.left <= 0:
                del self.queue[key]
        return items

    def __bool__(self) -> bool:
        return bool(self.queue)


class Budget:
    """A token bucket that limits the rate of sent bytes.

    :param rate: bytes per second.
    :param burst: capacity in bytes.
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.time: float | None = None

    def fill(self, now: float) -> None:
        """Add the tokens that have accrued since the last call."""
        if self.time is not None:
            self.tokens = min(self.burst, self.tokens + (now - self.time) * self.rate)
        self.time = now

    def take(self, size: int, reserve: float = 0.0) -> bool:
        """Take tokens and return True, unless less than `reserve` bytes would remain."""
        if self.tokens - size < reserve:
            return False
        self.tokens -= size
        return True

    def force(self, size: int) -> None:
        """Take tokens for bytes that are sent in any case, which may make the balance negative."""
        self.tokens -= size
