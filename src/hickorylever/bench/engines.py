"""Engines of the routing bench in virtual time, with the stand-in's cache and speed."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ..standins.engine import PrefixCache, Speed
from .driver import Driver
from .workloads import BLOCK_TOKENS

SPEED = Speed(prompt_tokens_per_second=20000.0, seconds_per_token=0.02)
CHUNK = 8  # Blocks that an engine prefills at once.


@dataclass(slots=True)
class Prefill:
    """A prompt that an engine works on.

    :param left: blocks that are neither cached nor prefilled yet, None before the first chunk.
    """

    job: object
    rank: tuple[int, int]
    finished: Callable[[object], None]
    left: int | None = None


class Engine:
    """A continuously batching engine: prefill in chunks by priority, tokens beside it."""

    def __init__(self, driver: Driver, blocks: int, started: Callable[[object], None]):
        self.driver = driver
        self.cache = PrefixCache(blocks)
        self.started = started
        self.queue: list[tuple[tuple[int, int], Prefill]] = []
        self.numbers = itertools.count()
        self.busy = False

    def run(self, job, priority: int, finished: Callable[[object], None]) -> None:
        """Run a request; `finished` is called at its last token."""
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
        self.driver.after(
            chunk * BLOCK_TOKENS / SPEED.prompt_tokens_per_second, self.chunk_done, prefill
        )

    def begin(self, prefill: Prefill) -> None:
        """Look a prompt up in the cache."""
        job = prefill.job
        job.cached = self.cache.touch(job.request.keys)
        prefill.left = len(job.request.keys) - job.cached
        self.started(job)

    def chunk_done(self, prefill: Prefill) -> None:
        """Go on with the prompt of the highest priority, or generate when one is through."""
        if prefill.left:
            heapq.heappush(self.queue, (prefill.rank, prefill))
        else:
            seconds = prefill.job.request.output * SPEED.seconds_per_token
            self.driver.after(seconds, prefill.finished, prefill.job)
        self.work()
