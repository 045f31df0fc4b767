"""Bytes that a router holds for callers that read slowly.

This answers callers that read less than endpoints send. The router reads ahead for them, so that
endpoints, which cut off responses that stay unread, are not held up. Beyond the bounds it stops
reading. If a complete response needs room that there is not, responses whose callers have taken
nothing for the longest time are dropped.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

READ_AHEAD_RATIO = 0.5  # Of the bound; the rest is left for complete responses.
SHARE_RATIO = 0.25  # Of the bound, for streams of one service, or of one client account.
RESPONSE_RATIO = 1 / 32  # Of the bound, for one stream that is read ahead.
STALLED_SECONDS = 2.0  # Callers that took something since then are not dropped.


@dataclass(eq=False, slots=True)
class Holder:
    """A response that a caller has not taken yet.

    :param keys: service, and client account.
    :param abort: closes the caller's connection.
    :param progressed_at: returns when the caller last took something, in monotonic seconds.
    :param sending: whether the response is being sent; it is not dropped before.
    """

    keys: tuple[tuple[str, str], ...]
    abort: Callable[[], None]
    progressed_at: Callable[[], float]
    sending: bool = False
    size: int = 0


class HeldBytes:
    """The responses of one router that callers have not taken yet.

    :param limit: bytes.
    :param on_drop: called with each response that is dropped.
    :ivar holders: responses of which something is held.
    :ivar size: bytes held.
    :ivar sizes: bytes held by key.
    """

    def __init__(self, limit: int, on_drop: Callable[[Holder], None] = lambda holder: None):
        self.limit = limit
        self.on_drop = on_drop
        self.holders: dict[Holder, None] = {}
        self.size = 0
        self.sizes: Counter[tuple[str, str]] = Counter()

    def add(self, holder: Holder, count: int) -> None:
        """Count bytes that are held."""
        self.holders[holder] = None
        self.change(holder, count)

    def remove(self, holder: Holder, count: int) -> None:
        """Count bytes that the caller has taken."""
        self.change(holder, -min(count, holder.size))

    def release(self, holder: Holder) -> None:
        """Forget all bytes of a response."""
        self.change(holder, -holder.size)

    def change(self, holder: Holder, count: int) -> None:
        """Change the size of what is held of a response."""
        holder.size += count
        self.size += count
        for key in holder.keys:
            self.sizes[key] += count
            if not self.sizes[key]:
                del self.sizes[key]
        if not holder.size:
            self.holders.pop(holder, None)

    def may_read_ahead(self, holder: Holder) -> bool:
        """Return whether more of a stream may be read before the caller takes some."""
        return (
            holder.size <= RESPONSE_RATIO * self.limit
            and self.size <= READ_AHEAD_RATIO * self.limit
            and all(self.sizes[key] <= SHARE_RATIO * self.limit for key in holder.keys)
        )

    def reserve(self, holder: Holder, count: int, now: float) -> bool:
        """Return whether there is room for a complete response, and count it if so.

        Stalled responses are dropped for it, the longest stalled first. A response that is larger
        than the bound is the only one.
        """
        stalled = [
            other
            for other in self.holders
            if other.sending and now - other.progressed_at() >= STALLED_SECONDS
        ]
        stalled.sort(key=lambda other: other.progressed_at(), reverse=True)
        while self.size and self.size + count > self.limit:
            if not stalled:
                return False
            dropped = stalled.pop()
            self.on_drop(dropped)
            self.release(dropped)
            dropped.abort()
        self.add(holder, count)
        return True
