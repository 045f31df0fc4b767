"""Continuous batching of the stand-in engine: a bounded batch, and a queue by priority."""

import contextlib
import heapq
import itertools

import curio


class Batch:
    """Requests that run side by side; the others wait, the lowest priority number first.

    :param size: requests that run at once.
    :param crowding: how much longer a step takes when the batch is full, as a share.
    """

    def __init__(self, size: int, crowding: float = 0.0):
        self.size = size
        self.crowding = crowding
        self.running = 0
        self.waiting: list[tuple[int, int, curio.Event]] = []
        self.numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def member(self, priority: int = 0):
        """Run the body as a member of the batch."""
        await self.enter(priority)
        try:
            yield
        finally:
            await self.leave()

    async def enter(self, priority: int) -> None:
        """Wait for room; a cancelled wait gives its place on."""
        if self.running < self.size and not self.waiting:
            self.running += 1
            return
        entry = (priority, next(self.numbers), curio.Event())
        heapq.heappush(self.waiting, entry)
        try:
            await entry[2].wait()
        except curio.CancelledError:
            if entry in self.waiting:
                self.waiting.remove(entry)
                heapq.heapify(self.waiting)
            else:
                await self.leave()
            raise

    async def leave(self) -> None:
        """Give the place to the next in the queue."""
        if self.waiting:
            await heapq.heappop(self.waiting)[2].set()
        else:
            self.running -= 1

    def step(self, seconds: float) -> float:
        """Return how long a step takes now."""
        return seconds * (1 + self.crowding * (self.running - 1) / self.size)
