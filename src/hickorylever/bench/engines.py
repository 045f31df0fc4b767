"""Simulated engines of the routing benchmark, with the cache model of the stand-in."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ..standins.engine import PrefixCache, Speed
from .scheduler import EventScheduler
from .workloads import BLOCK_TOKENS

SPEED = Speed(prompt_tokens_per_second=20000.0, seconds_per_token=0.02)
CHUNK_BLOCKS = 8  # Blocks per prefill step.


@dataclass(slots=True)
class Prefill:
    """A prompt queued for prefill.

    :param remaining_blocks: blocks neither cached nor prefilled yet, None before the first chunk.
    """

    job: object
    rank: tuple[int, int]
    on_finished: Callable[[object], None]
    remaining_blocks: int | None = None


class Engine:
    """An engine with continuous batching: chunked prefill by priority, concurrent decoding."""

    def __init__(
        self, scheduler: EventScheduler, blocks: int, on_prefill: Callable[[object], None]
    ):
        self.scheduler = scheduler
        self.cache = PrefixCache(blocks)
        self.on_prefill = on_prefill
        self.queue: list[tuple[tuple[int, int], Prefill]] = []
        self.sequence = itertools.count()
        self.busy = False

    def run(self, job, priority: int, on_finished: Callable[[object], None]) -> None:
        """Run a request and call `on_finished` after its last token."""
        prefill = Prefill(job, (-priority, next(self.sequence)), on_finished)
        heapq.heappush(self.queue, (prefill.rank, prefill))
        if not self.busy:
            self.prefill_next()

    def prefill_next(self) -> None:
        """Prefill the next chunk."""
        self.busy = bool(self.queue)
        if not self.queue:
            return
        _, prefill = heapq.heappop(self.queue)
        if prefill.remaining_blocks is None:
            self.look_up(prefill)
        chunk = min(CHUNK_BLOCKS, prefill.remaining_blocks)
        prefill.remaining_blocks -= chunk
        self.scheduler.after(
            chunk * BLOCK_TOKENS / SPEED.prompt_tokens_per_second, self.chunk_done, prefill
        )

    def look_up(self, prefill: Prefill) -> None:
        """Look up the prompt in the cache."""
        job = prefill.job
        job.cached = self.cache.touch(job.request.keys)
        prefill.remaining_blocks = len(job.request.keys) - job.cached
        self.on_prefill(job)

    def chunk_done(self, prefill: Prefill) -> None:
        """Requeue an unfinished prompt or start decoding, then prefill the next chunk."""
        if prefill.remaining_blocks:
            heapq.heappush(self.queue, (prefill.rank, prefill))
        else:
            seconds = prefill.job.request.output_tokens * SPEED.seconds_per_token
            self.scheduler.after(seconds, prefill.on_finished, prefill.job)
        self.prefill_next()
