"""List-and-watch of the store."""

import random
import time

import curio

from ..events import Event, log
from ..exceptions import HickoryleverError, HistoryLost

WATCH_WAIT = 20.0  # Seconds after which a watch without changes returns.
FIRST_PAUSE = 0.2  # Seconds before the first retry.
MAX_PAUSE = 1.0  # Seconds.
JITTER = 0.3  # Share of the pause before a retry by which it varies at random.
LARGE_BYTES = 16 * 1024  # Size of changes above which later ones are read with one list call.
SETTLE_PAUSE = 0.5  # Seconds between large changes and that list call.
IDLE_PAUSE = 0.05  # Seconds between checks whether this router should watch the store.


class Follower:
    """Keeps objects of one kind up to date by listing and then watching them.

    :param kind: of the objects.
    :param take_listing: called with a :class:`Listing` and whether it is the first one after a
        failure of the store, or after the start.
    :param take_changes: called with :class:`Changes`.
    :param chance: generator for the jitter of pauses.
    :param wanted: returns whether this router should watch the store itself.
    :ivar revision: revision to watch from, or None when a list is needed first.
    :ivar reached: whether the last call of the store succeeded.
    :ivar settling: whether large changes arrived and the next call lists what followed them.
    :ivar heard: monotonic time in seconds at which the store last answered.
    :ivar pause: seconds before the next retry, without jitter.
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
        """List and watch until cancelled; failed calls are logged and retried."""
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
        """Return whether changes of the store reach this router by its own calls."""
        return self.reached and (self.settling or self.revision is not None)

    async def rest(self) -> None:
        """Pause without calling the store; the next step lists anew."""
        self.settling = False
        self.revision = None
        await curio.sleep(IDLE_PAUSE)

    async def step(self) -> None:
        """Make one list or one watch call and pass on the result.

        :raises HistoryLost: when the store no longer has the changes after the revision.
        :raises HickoryleverError: when the call fails.
        """
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
        """Record a successful call."""
        self.heard = time.monotonic()
        self.pause = FIRST_PAUSE
        if not self.reached:
            self.reached = True
            log(Event.STORE_REACHED, self.kind, revision=self.revision)

    async def lost(self, error: HickoryleverError) -> None:
        """Record a failed call and pause with exponential back-off; the next step lists anew."""
        if self.reached:
            log(Event.STORE_LOST, str(error), kind=self.kind, revision=self.revision)
        self.reached = False
        self.settling = False
        self.revision = None
        await curio.sleep(self.pause * (1 + self.chance.uniform(-JITTER, JITTER)))
        self.pause = min(MAX_PAUSE, 2 * self.pause)
