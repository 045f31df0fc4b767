"""Continuous batching of the simulated engine, with a bounded batch and a priority queue."""

import contextlib
import heapq
import itertools

import curio


class Batch:
    """Limits the number of concurrent requests and queues the others.

    Requests with the lowest priority number leave the queue first; equal ones in their order of
    arrival.

    :param size: maximum number of concurrent requests.
    :param crowding: relative increase of the duration of a step when the batch is full.
    """

    def __init__(self, size: int, crowding: float = 0.0):
        self.size = size
        self.crowding = crowding
        self.running = 0
        self.waiting: list[tuple[int, int, curio.Event]] = []
        self.numbers = itertools.count()

    @contextlib.asynccontextmanager
    async def member(self, priority: int = 0):
        """Asynchronous context manager that holds a place in the batch."""
        await self.enter(priority)
        try:
            yield
        finally:
            await self.leave()

    async def enter(self, priority: int) -> None:
        """Wait for a free place in the batch.

        If the wait is cancelled after a place was assigned, the place goes to the next request.
        """
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
        """Free a place, or assign it to the next request in the queue."""
        if self.waiting:
            await heapq.heappop(self.waiting)[2].set()
        else:
            self.running -= 1

    def step(self, seconds: float) -> float:
        """Return the duration of a decoding step with the current batch.

        :param seconds: duration of a step for a single request.
        """
        return seconds * (1 + self.crowding * (self.running - 1) / self.size)
