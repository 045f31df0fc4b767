"""Bytes that a router holds for callers that read slowly.

Endpoints cut off responses that stay unread. The router therefore reads ahead for callers that
read more slowly than endpoints send, and stops at the bounds. If a complete response does not fit,
the responses whose callers have taken nothing for the longest time are dropped.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

READ_AHEAD_RATIO = 0.5  # Of the limit; the rest is left for complete responses.
SHARE_RATIO = 0.25  # Of the limit, for streams of one service, or of one client account.
RESPONSE_RATIO = 1 / 32  # Of the limit, for one stream that is read ahead.
STALLED_SECONDS = 2.0  # Callers that took something since then are not dropped.


@dataclass(eq=False, slots=True)
class Holder:
    """A response that a caller has not taken yet.

    :param keys: what its bytes count for: the service and the client account, as kind and name.
    :param abort: closes the caller's connection.
    :param progressed_at: returns when the caller last took something, in monotonic seconds.
    :param sending: whether the response is being sent; it is not dropped before.
    :param size: bytes held.
    """

    keys: tuple[tuple[str, str], ...]
    abort: Callable[[], None]
    progressed_at: Callable[[], float]
    sending: bool = False
    size: int = 0


class HeldBytes:
    """The responses of one router that callers have not taken yet.

    :param limit: bytes to hold at most.
    :param on_drop: called with each response that is dropped.
    :ivar holders: responses of which something is held, in the order of their first bytes.
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
        than the limit gets room only while nothing else is held.

        :param count: bytes to reserve.
        :param now: monotonic seconds.
        """
        stalled = self.stalled(now)
        while self.size and self.size + count > self.limit:
            if not stalled:
                return False
            dropped = stalled.pop()
            self.on_drop(dropped)
            self.release(dropped)
            dropped.abort()
        self.add(holder, count)
        return True

    def stalled(self, now: float) -> list[Holder]:
        """Return the responses that may be dropped, the longest stalled last."""
        stalled = [
            holder
            for holder in self.holders
            if holder.sending and now - holder.progressed_at() >= STALLED_SECONDS
        ]
        stalled.sort(key=lambda holder: holder.progressed_at(), reverse=True)
        return stalled
