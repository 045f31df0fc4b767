"""Deletes objects whose time is over, a few at a time."""

from collections.abc import Callable

from .. import defaults, suspicion
from ..events import Event, log
from ..exceptions import Conflict
from ..objects import Object
from ..registry import Registry
from . import controllers

Expired = Callable[[list[Object], float], list[Object]]
sweeps: Registry[Expired] = Registry("sweep")


@sweeps.register(suspicion.KIND)
def expired_suspicions(objects: list[Object], now: float) -> list[Object]:
    """Return the crashes and trials that no longer count."""
    limit = now - 2 * defaults.SUSPECT_LIFETIME_SECONDS
    return [entry for entry in objects if suspicion.decode(entry.value).time < limit]


@controllers.register("cleanup")
class Cleanup:
    """Asks each kind's sweep which objects have expired, one kind a run.

    A sweep tells by the objects alone; deletes are conditional on the version that was read, so a
    paused holder can delete nothing that was written since.
    """

    def __init__(self, env, keeper):
        self.env = env
        self.keeper = keeper
        self.looked_at = -defaults.CLEANUP_INTERVAL_SECONDS
        self.turn = 0

    async def run(self, number: int) -> None:
        """Sweep the next kind when it is time."""
        now = self.env.clock()
        kinds = list(sweeps)
        if not kinds or now - self.looked_at < defaults.CLEANUP_INTERVAL_SECONDS:
            return
        self.looked_at = now
        self.turn += 1
        kind = kinds[self.turn % len(kinds)]
        objects = await self.env.platform.list_kind(kind)
        expired = sweeps[kind](objects, self.env.wall_clock())
        deleted = 0
        for entry in expired[: defaults.MAX_CLEANUP_DELETIONS]:
            deleted += await self.delete(entry)
        if deleted:
            log(Event.OBJECTS_DELETED, f"{deleted} objects of {kind} had expired")

    async def delete(self, entry: Object) -> bool:
        """Delete one object if it is unchanged and the lease is still held."""
        if not self.keeper.lease.holds(self.env.clock()):
            return False
        try:
            await self.env.platform.delete(entry.kind, entry.name, entry.version)
        except Conflict:
            return False
        return True
