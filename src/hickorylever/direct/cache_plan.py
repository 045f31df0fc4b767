"""Decides which router lists the cache of which engine after all routers have started.

After a start of all routers, none of them knows what engines have cached, and each call that asks
an engine for it delays the engine's requests. Engines are therefore divided among the routers by
rendezvous hashing. A router takes an engine over from those before it in the engine's order when
they remain silent or don't list it.
"""

import enum
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from . import rendezvous
from .outbox import MAX_UPDATES_PER_KIND
from .peer_protocol import CacheListingUpdate

HEARD_STEP_SECONDS = 0.3  # Wait for each earlier router that runs; it takes up to one call.
SILENT_STEP_SECONDS = 0.04  # Wait for each earlier router that was not heard; it may just start.
CLAIM_SECONDS = 2.5  # Wait for another router's call, longer than the call's time limit.
GIVE_UP_SECONDS = 8.0  # Engines that were not listed by then are taken to have nothing cached.
PULL_RETRY_SECONDS = 0.3  # Between two pulls of the same engine's parts.
MAX_PULLED_ENGINES = 64  # In one pull, to limit the size of its response.
MAX_EARLY_UPDATES = 4096  # Bounds the memory for updates that arrive before this router begins.
UPDATE_REPEATS = 3  # Datagrams that carry each update, as some may be lost.


class Stage(enum.IntEnum):
    """How far a router is with listing an engine's cache.

    `FAILED` means that the engine got the call, but nothing was learned, and `UNREACHED` that it
    took no connection, so that another router may try.
    """

    CALLED = 0
    LISTED = 1
    FAILED = 2
    UNREACHED = 3


@dataclass(slots=True)
class PendingEngine:
    """An engine whose cached parts are not known yet. Times are monotonic seconds.

    :param own_score: rendezvous score of this router for the engine.
    :param earlier: addresses of the routers before it in that order.
    :param claimant: address of the router that is listing it, or empty.
    :param claimed_until: time until which this router waits for the claimant.
    :param tried: whether this router has tried.
    :param source: address of the router that has listed it, or empty.
    :param source_failed: whether a pull from it failed.
    :param next_pull: earliest time for the next pull.
    """

    own_score: int
    earlier: list[str] = field(default_factory=list)
    claimant: str = ""
    claimed_until: float = 0.0
    tried: bool = False
    source: str = ""
    source_failed: bool = False
    next_pull: float = 0.0


class CachePlan:
    """What is left to learn of the engines' caches, and from whom. Times are monotonic seconds.

    :param own_address: IP address of this router.
    :ivar complete: whether nothing is left to learn.
    :ivar pending: engines whose parts are not known, by the hash of their name; None until begun.
    :ivar begun_at: when `pending` was set.
    :ivar routers: addresses of the routers that the engines are divided among, with this one.
    :ivar reported: latest stage of the engines that this router lists or has listed.
    :ivar sends: number of datagrams that still carry each update of this router.
    :ivar early: updates of other routers that arrived before this router began, by address.
    """

    def __init__(self, own_address: str):
        self.own_address = own_address
        self.complete = False
        self.pending: dict[int, PendingEngine] | None = None
        self.begun_at = 0.0
        self.routers = {own_address}
        self.reported: dict[int, Stage] = {}
        self.sends: dict[CacheListingUpdate, int] = {}
        self.early: list[tuple[str, CacheListingUpdate]] = []

    def begin(self, engines: Iterable[int], routers: Iterable[str], now: float) -> None:
        """Begin with the engines that are known at the start; later ones have nothing cached.

        :param engines: hashes of their names.
        :param routers: addresses of the known routers.
        """
        self.pending = {
            key: PendingEngine(rendezvous.score(key, self.own_address)) for key in engines
        }
        self.begun_at = now
        self.divide(routers)
        for address, update in self.early:
            self.record(address, update, now)
        self.early.clear()
        self.complete = not self.pending

    def divide(self, routers: Iterable[str]) -> None:
        """Divide the engines among more routers, if some of the given ones are new."""
        new = [address for address in routers if address not in self.routers]
        self.routers.update(new)
        if not new:
            return
        for key, engine in self.pending.items():
            engine.earlier += [
                address for address in new if rendezvous.score(key, address) < engine.own_score
            ]

    def record(self, address: str, update: CacheListingUpdate, now: float) -> None:
        """Record what another router reports of an engine."""
        if self.complete:
            return
        if self.pending is None:
            if len(self.early) < MAX_EARLY_UPDATES:
                self.early.append((address, update))
            return
        engine = self.pending.get(update.endpoint)
        if engine is None:
            return
        if update.stage == Stage.CALLED:
            engine.claimant = address
            engine.claimed_until = now + CLAIM_SECONDS
        elif update.stage == Stage.LISTED:
            engine.source = address
        elif update.stage == Stage.FAILED:
            self.resolve(update.endpoint)
        elif update.stage == Stage.UNREACHED and engine.claimant == address:
            engine.claimed_until = now

    def report(self, key: int, stage: Stage) -> None:
        """Queue an update for the other routers."""
        self.sends.pop(CacheListingUpdate(key, Stage.CALLED), None)
        self.reported[key] = stage
        self.sends[CacheListingUpdate(key, stage)] = UPDATE_REPEATS

    def reports(self) -> list[CacheListingUpdate]:
        """Return the updates for a router that starts while not all caches are known."""
        latest = () if self.complete else list(self.reported.items())[-MAX_UPDATES_PER_KIND:]
        return [CacheListingUpdate(*report) for report in latest]

    def knows(self, key: int) -> bool:
        """Return whether nothing is left to learn of an engine."""
        return self.complete or (self.pending is not None and key not in self.pending)

    def resolve(self, key: int) -> None:
        """Record that nothing is left to learn of an engine."""
        self.pending.pop(key, None)
        self.complete = not self.pending

    def finish(self) -> None:
        """Record that another router has told all that it knows."""
        self.complete = True
        if self.pending is not None:
            self.pending.clear()

    def give_up(self, now: float) -> int:
        """Drop the engines that are left after `GIVE_UP_SECONDS`, and return their number."""
        if now - self.begun_at < GIVE_UP_SECONDS:
            return 0
        left = len(self.pending)
        self.finish()
        return left

    def take_calls(
        self, heard: set[str], may_call: Callable[[int], bool], limit: int, now: float
    ) -> list[int]:
        """Return the engines to list now; each is returned once.

        :param heard: addresses of the routers that are alive.
        :param may_call: returns whether an engine may get a call now.
        :param limit: number of engines to return at most.
        """
        calls = []
        for key, engine in self.pending.items():
            if len(calls) >= limit:
                break
            if engine.source or engine.tried or now < engine.claimed_until:
                continue
            # A lower bound of the turn, which takes less time to compute.
            earliest = self.begun_at + SILENT_STEP_SECONDS * len(engine.earlier)
            if now >= earliest and now >= self.turn(engine, heard) and may_call(key):
                engine.tried = True
                calls.append(key)
        return calls

    def turn(self, engine: PendingEngine, heard: set[str]) -> float:
        """Return the time from which this router may list an engine."""
        steps = [
            HEARD_STEP_SECONDS if address in heard else SILENT_STEP_SECONDS
            for address in engine.earlier
        ]
        return self.begun_at + sum(steps)

    def take_pulls(self, informed: str, busy: set[str], now: float) -> dict[str, list[int]]:
        """Return the engines whose parts to pull now, by the address of the router to ask.

        :param informed: address of a router that knows all caches, or empty.
        :param busy: addresses of the routers that are being asked.
        """
        pulls = defaultdict(list)
        for key, engine in self.pending.items():
            use_source = engine.source and not (engine.source_failed and informed)
            source = engine.source if use_source else informed
            if not source or source in busy or len(pulls[source]) >= MAX_PULLED_ENGINES:
                continue
            if now >= engine.next_pull:
                engine.next_pull = now + PULL_RETRY_SECONDS
                pulls[source].append(key)
        return {source: keys for source, keys in pulls.items() if keys}

    def record_failed_pull(self, keys: Iterable[int]) -> None:
        """Prefer another source for engines' parts.

        The engines aren't listed again, since they got a call.
        """
        for key in keys:
            if engine := self.pending.get(key):
                engine.source_failed = True
