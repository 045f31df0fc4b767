"""Follows the store: lists a kind of objects, then watches it."""

import random
import time

import curio

from ..events import Event, log
from ..exceptions import HickoryleverError, HistoryLost

WATCH_WAIT = 20.0  # Seconds.
FIRST_PAUSE = 0.2  # Seconds.
MAX_PAUSE = 1.0  # Seconds.
JITTER = 0.3  # Share of a pause.
LARGE_BYTES = 16 * 1024  # Of changes, from which on later ones are read as one list.
SETTLE_PAUSE = 0.5  # Seconds after large changes; what came meanwhile is read once.
IDLE_PAUSE = 0.05  # Seconds between looks whether this router is to follow.


class Follower:
    """Keeps one kind of objects up to date.

    :param wanted: tells whether this router follows the store itself.
    :param take_listing: called with a listing and whether the store was away before it.
    :param take_changes: called with changes.
    :ivar settling: a large change came; the next list has what follows it.
    """

    def __init__(
        self, store, kind: str, take_listing, take_changes, chance: random.Random, wanted
    ):
        self.store = store
        self.kind = kind
        self.take_listing = take_listing
        self.take_changes = take_changes
        self.wanted = wanted
        self.chance = chance
        self.revision: int | None = None
        self.reached = False
        self.settling = False
        self.heard = 0.0
        self.pause = FIRST_PAUSE

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                if self.wanted():
                    await self.step()
                else:
                    await self.rest()
            except HistoryLost:
                self.revision = None
            except HickoryleverError as error:
                await self.lost(error)

    @property
    def following(self) -> bool:
        """Tell whether this router learns of changes from the store itself."""
        return self.reached and (self.settling or self.revision is not None)

    async def rest(self) -> None:
        """Leave the store to other routers for a moment."""
        self.settling = False
        self.revision = None
        await curio.sleep(IDLE_PAUSE)

    async def step(self) -> None:
        """List once, or watch once."""
        changes = None
        if self.revision is None:
            listing = await self.store.list_kind(self.kind)
            self.take_listing(listing, not self.reached)
            self.revision = listing.revision
            self.settling = False
        else:
            changes = await self.store.watch(self.kind, self.revision, WATCH_WAIT)
            self.take_changes(changes)
            self.revision = changes.revision
        self.found()
        if changes is not None and sum(len(entry.spec) for entry in changes.objects) > LARGE_BYTES:
            self.settling = True
            await curio.sleep(SETTLE_PAUSE)
            self.revision = None

    def found(self) -> None:
        """Note that the store answers."""
        self.heard = time.monotonic()
        self.pause = FIRST_PAUSE
        if not self.reached:
            self.reached = True
            log(Event.STORE_REACHED, self.kind, revision=self.revision)

    async def lost(self, error: HickoryleverError) -> None:
        """Note a failure, pause, and list anew."""
        if self.reached:
            log(Event.STORE_LOST, str(error), kind=self.kind, revision=self.revision)
        self.reached = False
        self.settling = False
        self.revision = None
        await curio.sleep(self.pause * (1 + self.chance.uniform(-JITTER, JITTER)))
        self.pause = min(MAX_PAUSE, 2 * self.pause)
