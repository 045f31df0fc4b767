"""Deletes expired objects from the object API, a limited number in each run."""

from collections.abc import Callable

from .. import defaults, suspicion
from ..events import Event, log
from ..exceptions import Conflict
from ..objects import Object
from ..registry import Registry
from . import controllers

ExpiryFilter = Callable[[list[Object], float], list[Object]]
expiry_filters: Registry[ExpiryFilter] = Registry("sweep")


@expiry_filters.register(suspicion.KIND)
def expired_suspicions(objects: list[Object], now: float) -> list[Object]:
    """Return the records of crashes and trials that are older than twice their lifetime."""
    oldest = now - 2 * defaults.SUSPECT_LIFETIME_SECONDS
    return [entry for entry in objects if suspicion.decode(entry.value).time < oldest]


@controllers.register("cleanup")
class Cleanup:
    """Deletes the expired objects of one kind in each run.

    Which objects have expired depends on the objects and the wall clock alone. Deletes are
    conditional on the version that was read, so a lease holder that was paused cannot delete
    anything written since.

    :param lease_client: client of this controller's lease.
    """

    def __init__(self, env, lease_client):
        self.env = env
        self.lease_client = lease_client
        self.last_run_at = -defaults.CLEANUP_INTERVAL_SECONDS
        self.run_count = 0

    async def run(self, number: int) -> None:
        """Clean up the next kind if the interval has passed."""
        now = self.env.clock()
        kinds = list(expiry_filters)
        if not kinds or now - self.last_run_at < defaults.CLEANUP_INTERVAL_SECONDS:
            return
        self.last_run_at = now
        self.run_count += 1
        kind = kinds[self.run_count % len(kinds)]
        objects = await self.env.platform.list_kind(kind)
        expired = expiry_filters[kind](objects, self.env.wall_clock())
        deleted = 0
        for entry in expired[: defaults.MAX_CLEANUP_DELETIONS]:
            deleted += await self.delete(entry)
        if deleted:
            log(Event.OBJECTS_DELETED, f"deleted {deleted} expired objects of kind {kind}")

    async def delete(self, entry: Object) -> bool:
        """Delete an object and return whether it was deleted.

        It stays if it has changed or the lease is no longer held.
        """
        if not self.lease_client.lease.holds(self.env.clock()):
            return False
        try:
            await self.env.platform.delete(entry.kind, entry.name, entry.version)
        except Conflict:
            return False
        return True
