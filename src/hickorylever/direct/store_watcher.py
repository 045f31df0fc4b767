"""List-and-watch of the store."""

import random
import time

import curio

from ..events import Event, log
from ..exceptions import HickoryleverError, HistoryLost
from .position import Position

STORE_WATCH_SECONDS = 20.0  # Time after which a watch without changes returns.
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.0
RETRY_JITTER = 0.3  # Random share by which the delay before a retry varies.
LARGE_CHANGE_BYTES = 16 * 1024  # After larger changes, later ones are read with one list call.
SETTLE_SECONDS = 0.5  # Between large changes and that list call.
IDLE_POLL_SECONDS = 0.05  # Between checks whether this router should watch the store.


class StoreWatcher:
    """Keeps objects of one kind up to date by listing and then watching them.

    :param kind: of the objects.
    :param on_listing: called with a :class:`Listing` and whether it is the first one after a
        failure of the store, or after the start.
    :param on_changes: called with :class:`Changes`.
    :param rng: generator for the jitter of retry delays.
    :param should_watch: returns whether this router should watch the store itself.
    :param watch_seconds: time after which a watch without changes returns. A watch that the store
        never answers is noticed after it.
    :ivar position: position to watch from, or None when a list is needed first.
    :ivar reached: whether the last call of the store succeeded.
    :ivar settling: whether large changes arrived and the next call lists what followed them.
    :ivar last_success_at: monotonic time in seconds at which the store last answered.
    :ivar retry_delay: seconds before the next retry, without jitter.
    """

    def __init__(
        self,
        store,
        kind: str,
        on_listing,
        on_changes,
        rng: random.Random,
        should_watch,
        watch_seconds: float = STORE_WATCH_SECONDS,
    ):
        self.store = store
        self.kind = kind
        self.on_listing = on_listing
        self.on_changes = on_changes
        self.should_watch = should_watch
        self.watch_seconds = watch_seconds
        self.rng = rng
        self.position: Position | None = None
        self.reached = False
        self.settling = False
        self.last_success_at = 0.0
        self.retry_delay = FIRST_RETRY_SECONDS

    async def run(self) -> None:
        """List and watch until cancelled; failed calls are logged and retried."""
        while True:
            try:
                if self.should_watch():
                    await self.step()
                else:
                    await self.idle()
            except HistoryLost as error:
                if self.position is None:  # A list failed, such as during a restore.
                    await self.handle_failure(error)
                self.position = None
            except HickoryleverError as error:
                await self.handle_failure(error)

    def heard_within(self, seconds: float, now: float) -> bool:
        """Return whether the store answered lately."""
        return self.last_success_at > 0 and now - self.last_success_at <= seconds

    @property
    def watching(self) -> bool:
        """Return whether changes of the store reach this router by its own calls."""
        return self.reached and (self.settling or self.position is not None)

    async def idle(self) -> None:
        """Wait without calling the store; the next step lists anew."""
        self.settling = False
        self.position = None
        await curio.sleep(IDLE_POLL_SECONDS)

    async def step(self) -> None:
        """Make one list or one watch call and pass on the result.

        :raises HistoryLost: when the store no longer has the changes after the position.
        :raises HickoryleverError: when the call fails.
        """
        changes = None
        if self.position is None:
            listing = await self.store.list_kind(self.kind)
            self.on_listing(listing, not self.reached)
            self.position = listing.position
            self.settling = False
        else:
            changes = await self.store.watch(self.kind, self.position, self.watch_seconds)
            self.on_changes(changes)
            self.position = changes.position
        self.record_success()
        if (
            changes is not None
            and sum(len(entry.spec) for entry in changes.objects) > LARGE_CHANGE_BYTES
        ):
            self.settling = True
            await curio.sleep(SETTLE_SECONDS)
            self.position = None

    def record_success(self) -> None:
        """Record a successful call."""
        self.last_success_at = time.monotonic()
        self.retry_delay = FIRST_RETRY_SECONDS
        if not self.reached:
            self.reached = True
            log(Event.STORE_REACHED, self.kind, position=str(self.position))

    async def handle_failure(self, error: HickoryleverError) -> None:
        """Record a failed call and wait with exponential back-off; the next step lists anew."""
        if self.reached:
            log(Event.STORE_LOST, str(error), kind=self.kind, position=str(self.position))
        self.reached = False
        self.settling = False
        self.position = None
        await curio.sleep(self.retry_delay * (1 + self.rng.uniform(-RETRY_JITTER, RETRY_JITTER)))
        self.retry_delay = min(MAX_RETRY_SECONDS, 2 * self.retry_delay)
