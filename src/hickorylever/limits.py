"""The router's queues: one a pool, and the client accounts' use over all routers."""

import math
from dataclasses import dataclass, field

import curio

from . import admission
from .decisions.fairness import AccountUsage, FairQueue, QueueChanges, Waiter
from .exceptions import Kind, Ran, RequestError


@dataclass(slots=True)
class Limits:
    """The queues of one router, one a pool, and its accounts' use.

    :param events: wake the tasks of waiting requests.
    """

    env: object
    queues: dict[str, FairQueue] = field(default_factory=dict)
    use: AccountUsage = field(default_factory=AccountUsage)
    events: dict[Waiter, curio.Event] = field(default_factory=dict)

    def weight(self, name: str) -> float:
        """Return an account's weight at this router: its part of the account's whole share."""
        account = self.env.client_accounts.get(name)
        weight = account.weight if account else 1.0
        return weight * self.use.local_fraction(name, self.env.clock())

    def queue(self, pool) -> FairQueue:
        """Return a pool's queue."""
        queue = self.queues.get(pool.name)
        if queue is None:
            queue = self.queues[pool.name] = FairQueue(self.weight)
            queue.quota = admission.room(self.env, pool, 0.0)
        return queue

    async def tell(self, changes: QueueChanges) -> None:
        """Wake the requests that were granted or refused."""
        for waiter in (*changes.granted, *changes.refused):
            event = self.events.get(waiter)
            if event is not None:
                await event.set()

    async def review(self) -> None:
        """Set every queue's limit from the known room, and refuse what will be too late."""
        env = self.env
        if env.fleet is None:
            return
        for pool in (*env.models.values(), *env.pools.values()):
            queue = self.queues.get(pool.name)
            if queue is not None:
                room = admission.room(env, pool, queue.running_work)
                await self.tell(queue.update_quota(room, env.clock()))

    async def wait(self, queue: FairQueue, waiter: Waiter) -> None:
        """Return when a request is granted.

        :raises RequestError: at once when it is refused.
        """
        event = self.events[waiter] = curio.Event()
        try:
            await self.tell(queue.submit(waiter, self.env.clock()))
            await event.wait()
        finally:
            del self.events[waiter]
        if not waiter.granted:
            pause = admission.retry_after(waiter.retry_after)
            detail = "the wait for the account's share would be too long"
            raise RequestError(Kind.OVERLOADED, detail, Ran.NO, pause)


def take_use(env, origin: str, value: dict[str, float]) -> None:
    """Take the accounts' use that another router tells.

    :param value: tokens in recent use by account name.
    """
    sane = {
        name: float(work)
        for name, work in value.items()
        if isinstance(work, int | float) and math.isfinite(work) and work >= 0
    }
    env.limits.use.update_remote(origin, sane, env.clock())
