"""Bytes that a router holds for callers, and for responses that it reads completely.

Endpoints cut off responses that stay unread. The router therefore reads ahead for callers that
read more slowly than endpoints send, and stops at the bounds. If a complete response does not fit,
the responses whose callers have taken nothing for the longest time are dropped.

Only bytes that have arrived count. Complete responses are read side by side as long as each of
them can still get the room that it may need, in the order of what they lack (the banker's
algorithm). What an endpoint announces therefore takes no room from others, and no two responses
wait for each other.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ..exceptions import InconsistentResponse

READ_AHEAD_RATIO = 0.5  # Of the limit; the rest is left for complete responses.
SHARE_RATIO = 0.25  # Of the limit, for streams of one service, or of one client account.
RESPONSE_RATIO = 1 / 32  # Of the limit, for one stream that is read ahead.
COMPLETE_RATIO = 0.8  # Of the limit, for one complete response; the rest is left for others.
PARTIAL_RATIO = 1 / 8  # Of the limit, besides it, for events that have not arrived completely.
FAIR_EVENT_BYTES = 16 * 1024  # Such an event may have this size whatever the others take.
BODY_COPIES = 2  # In memory while the parts of a body are joined.
STALLED_SECONDS = 2.0  # Callers that took something since then are not dropped.


@dataclass(eq=False, slots=True)
class Holder:
    """A response that a caller has not taken yet.

    :param keys: what its bytes count for: the service and the client account, as kind and name.
    :param abort: closes the caller's connection.
    :param progressed_at: returns when the caller last took something, in monotonic seconds.
    :param sending: whether the response is being sent; it is not dropped before.
    :param size: bytes held.
    :param need: bytes to hold at most while the response is read completely; 0 before and after.
    """

    keys: tuple[tuple[str, str], ...]
    abort: Callable[[], None]
    progressed_at: Callable[[], float]
    sending: bool = False
    size: int = 0
    need: int = 0

    @property
    def lacking(self) -> int:
        """Return how many bytes more it may need until it is complete."""
        return self.need - self.size


class HeldBytes:
    """The responses of one router that callers have not taken yet.

    :param limit: bytes to hold at most.
    :param on_drop: called with each response that is dropped.
    :ivar holders: responses of which something is held, in the order of their first bytes.
    :ivar size: bytes held.
    :ivar sizes: bytes held by key.
    :ivar partial: bytes of events that have not arrived completely.
    :ivar room: see :meth:`room_before`; None if it has to be computed anew.
    """

    def __init__(self, limit: int, on_drop: Callable[[Holder], None] = lambda holder: None):
        self.limit = limit
        self.on_drop = on_drop
        self.holders: dict[Holder, None] = {}
        self.size = 0
        self.sizes: Counter[tuple[str, str]] = Counter()
        self.partial = 0
        self.room: tuple[list[int], list[int]] | None = None

    @property
    def max_body_bytes(self) -> int:
        """Return the size of the largest body that fits."""
        return int(COMPLETE_RATIO * self.limit) // BODY_COPIES

    def begin(self, holder: Holder, body_bytes: int) -> None:
        """Begin to read a response completely.

        :param body_bytes: the size that it may have at most.
        """
        holder.need = BODY_COPIES * min(body_bytes, self.max_body_bytes)
        self.room = None

    def complete(self, holder: Holder, body_bytes: int) -> None:
        """Record that a response has been read completely."""
        holder.need = 0
        self.add(holder, BODY_COPIES * body_bytes - holder.size)

    def add(self, holder: Holder, count: int) -> None:
        """Count bytes that are held."""
        self.holders[holder] = None
        self.change(holder, count)

    def remove(self, holder: Holder, count: int) -> None:
        """Count bytes that the caller has taken."""
        self.change(holder, -min(count, holder.size))

    def release(self, holder: Holder) -> None:
        """Forget all bytes of a response."""
        holder.need = 0
        self.change(holder, -holder.size)

    def change(self, holder: Holder, count: int) -> None:
        """Change the size of what is held of a response."""
        self.room = None
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

    def change_partial(self, before: int, after: int) -> None:
        """Change the size of an event that has not arrived completely.

        :raises InconsistentResponse: if all of these take too much memory and this one is large.
        """
        self.partial += after - before
        if after > FAIR_EVENT_BYTES and self.partial > PARTIAL_RATIO * self.limit:
            raise InconsistentResponse("incomplete events take too much memory")

    def reserve(self, holder: Holder, count: int, now: float) -> bool:
        """Return whether there is room for a part of a complete response, and count it if so.

        Stalled responses are dropped for it, the longest stalled first. A part that is larger than
        the limit gets room only while nothing else is held.

        :param count: bytes that have arrived.
        :param now: monotonic seconds.
        """
        if self.size and self.size + count > self.limit:
            self.drop_stalled(self.size + count - self.limit, now)
            if self.size and self.size + count > self.limit:
                return False
        if not self.leaves_room(holder, count):
            return False
        self.add(holder, count)
        return True

    def drop_stalled(self, excess: int, now: float) -> None:
        """Drop responses whose callers take nothing until so many bytes are free."""
        stalled = self.stalled(now)
        target = self.size - excess
        while stalled and self.size > target:
            dropped = stalled.pop()
            self.on_drop(dropped)
            self.release(dropped)
            dropped.abort()

    def leaves_room(self, holder: Holder, count: int) -> bool:
        """Return whether all responses can still be completed if one of them takes more.

        Those that lack more than it does can use what it holds, once it is complete.
        """
        lacking, room = self.room_before()
        ahead = bisect_left(lacking, holder.lacking)
        return not ahead or count <= room[ahead - 1]

    def room_before(self) -> tuple[list[int], list[int]]:
        """Return what the responses that are being read lack, in ascending order, and the room.

        The room is that which one may take of those that lack more, without keeping this one or
        any before it from completion.
        """
        if self.room is None:
            reading = sorted(
                (holder.lacking, holder.size) for holder in self.holders if holder.need
            )
            free = self.limit - sum(size for _, size in reading)
            least = self.limit
            lacking, room = [], []
            for lack, size in reading:
                least = min(least, free - lack)
                lacking.append(lack)
                room.append(least)
                free += size
            self.room = lacking, room
        return self.room

    def stalled(self, now: float) -> list[Holder]:
        """Return the responses that may be dropped, the longest stalled last."""
        stalled = [
            holder
            for holder in self.holders
            if holder.sending and now - holder.progressed_at() >= STALLED_SECONDS
        ]
        stalled.sort(key=lambda holder: holder.progressed_at(), reverse=True)
        return stalled
