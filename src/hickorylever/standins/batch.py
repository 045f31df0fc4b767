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
    :param slowdown: relative increase of the duration of a step when the batch is full.
    """

    def __init__(self, size: int, slowdown: float = 0.0):
        self.size = size
        self.slowdown = slowdown
        self.running = 0
        self.queue: list[tuple[int, int, curio.Event]] = []
        self.sequence = itertools.count()

    @contextlib.asynccontextmanager
    async def slot(self, priority: int = 0):
        """Asynchronous context manager that holds a place in the batch."""
        await self.acquire(priority)
        try:
            yield
        finally:
            await self.release()

    async def acquire(self, priority: int) -> None:
        """Wait for a free place in the batch.

        If the wait is cancelled after a place was assigned, the place goes to the next request.
        """
        if self.running < self.size and not self.queue:
            self.running += 1
            return
        entry = (priority, next(self.sequence), curio.Event())
        heapq.heappush(self.queue, entry)
        try:
            await entry[2].wait()
        except curio.CancelledError:
            if entry in self.queue:
                self.queue.remove(entry)
                heapq.heapify(self.queue)
            else:
                await self.release()
            raise

    async def release(self) -> None:
        """Free a place, or assign it to the next request in the queue."""
        if self.queue:
            await heapq.heappop(self.queue)[2].set()
        else:
            self.running -= 1

    def step_seconds(self, seconds: float) -> float:
        """Return the duration of a decoding step with the current batch.

        :param seconds: duration of a step for a single request.
        """
        return seconds * (1 + self.slowdown * (self.running - 1) / self.size)
