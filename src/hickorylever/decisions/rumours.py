"""Rumours with bounded retransmissions, and the budget of bytes that they are sent within."""

import math
from collections.abc import Callable, Hashable
from dataclasses import dataclass

from .. import defaults

SMALLEST = 12


@dataclass(slots=True)
class Rumour:
    """Something to pass on.

    :param value: of the topic; rumours of a lower value are sent later and dropped first.
    :param left: transmissions that remain.
    """

    item: object
    size: int
    value: int
    left: int


class Rumours:
    """What a member passes on until each rumour was sent often enough.

    :param members: returns the number of members, for the number of transmissions.
    """

    def __init__(self, members: Callable[[], int]):
        self.members = members
        self.queue: dict[Hashable, Rumour] = {}

    def transmissions(self) -> int:
        """Return how often one member sends one rumour."""
        return defaults.RETRANSMIT_MULTIPLIER * max(2, math.ceil(math.log10(self.members() + 1)))

    def add(self, key: Hashable, item: object, size: int, value: int) -> None:
        """Start to pass on an item; it replaces an older one with the same key."""
        self.queue[key] = Rumour(item, size, value, self.transmissions())

    def discard(self, key: Hashable) -> None:
        """Stop to pass on an item."""
        self.queue.pop(key, None)

    def take(self, room: int, copies: int = 1) -> list[object]:
        """Return the items for a datagram of at most `room` bytes.

        Items of high value come first, then those that were sent least.

        :param copies: to how many members the datagram is sent; each counts.
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
    """A token bucket of bytes.

    :param rate: bytes a second.
    :param burst: the largest number of bytes at once.
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.time: float | None = None

    def fill(self, now: float) -> None:
        """Add what has accrued since the last call."""
        if self.time is not None:
            self.tokens = min(self.burst, self.tokens + (now - self.time) * self.rate)
        self.time = now

    def take(self, size: int, reserve: float = 0.0) -> bool:
        """Spend bytes if `reserve` is left afterwards."""
        if self.tokens - size < reserve:
            return False
        self.tokens -= size
        return True

    def force(self, size: int) -> None:
        """Spend bytes that must be sent; later takes wait for them."""
        self.tokens -= size
