"""Simulated engines of the routing benchmark, with the cache model of the stand-in."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ..standins.engine import PrefixCache, Speed
from .driver import Driver
from .workloads import BLOCK_TOKENS

SPEED = Speed(prefill=20000.0, token=0.02)
CHUNK = 8  # Blocks per prefill step.


@dataclass(slots=True)
class Prefill:
    """A prompt queued for prefill.

    :param left: blocks neither cached nor prefilled yet, None before the first chunk.
    """

    job: object
    rank: tuple[int, int]
    finished: Callable[[object], None]
    left: int | None = None


class Engine:
    """An engine with continuous batching: chunked prefill by priority, concurrent decoding."""

    def __init__(self, driver: Driver, blocks: int, started: Callable[[object], None]):
        self.driver = driver
        self.cache = PrefixCache(blocks)
        self.started = started
        self.queue: list[tuple[tuple[int, int], Prefill]] = []
        self.numbers = itertools.count()
        self.busy = False

    def run(self, job, priority: int, finished: Callable[[object], None]) -> None:
        """Run a request and call `finished` after its last token."""
        prefill = Prefill(job, (-priority, next(self.numbers)), finished)
        heapq.heappush(self.queue, (prefill.rank, prefill))
        if not self.busy:
            self.work()

    def work(self) -> None:
        """Prefill the next chunk."""
        self.busy = bool(self.queue)
        if not self.queue:
            return
        _, prefill = heapq.heappop(self.queue)
        if prefill.left is None:
            self.begin(prefill)
        chunk = min(CHUNK, prefill.left)
        prefill.left -= chunk
        self.driver.after(chunk * BLOCK_TOKENS / SPEED.prefill, self.chunk_done, prefill)

    def begin(self, prefill: Prefill) -> None:
        """Look up the prompt in the cache."""
        job = prefill.job
        job.cached = self.cache.touch(job.request.keys)
        prefill.left = len(job.request.keys) - job.cached
        self.started(job)

    def chunk_done(self, prefill: Prefill) -> None:
        """Requeue an unfinished prompt or start decoding, then prefill the next chunk."""
        if prefill.left:
            heapq.heappush(self.queue, (prefill.rank, prefill))
        else:
            seconds = prefill.job.request.output * SPEED.token
            self.driver.after(seconds, prefill.finished, prefill.job)
        self.work()
