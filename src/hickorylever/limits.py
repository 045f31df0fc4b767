"""Request queues of a router, and the usage of client accounts over all routers."""

import math
from dataclasses import dataclass, field

import curio

from . import admission
from .decisions.fairness import AccountUsage, FairQueue, QueueChanges, Waiter
from .exceptions import Kind, Ran, RequestError


@dataclass(slots=True)
class RequestQueues:
    """The request queues of a router, one per pool, and the usage of client accounts.

    :param queues: the queues by the name of the pool.
    :param events: events that wake the tasks of queued requests.
    """

    env: object
    queues: dict[str, FairQueue] = field(default_factory=dict)
    account_usage: AccountUsage = field(default_factory=AccountUsage)
    events: dict[Waiter, curio.Event] = field(default_factory=dict)

    def weight(self, name: str) -> float:
        """Return the part of an account's weight that applies at this router."""
        account = self.env.client_accounts.get(name)
        weight = account.weight if account else 1.0
        return weight * self.account_usage.local_fraction(name, self.env.clock())

    def queue(self, pool) -> FairQueue:
        """Return the queue of a pool; it is created on first use."""
        queue = self.queues.get(pool.name)
        if queue is None:
            queue = self.queues[pool.name] = FairQueue(self.weight)
            queue.quota = admission.work_quota(self.env, pool, 0.0)
        return queue

    async def wake(self, changes: QueueChanges) -> None:
        """Wake the tasks of requests that were granted or refused."""
        for waiter in (*changes.granted, *changes.refused):
            event = self.events.get(waiter)
            if event is not None:
                await event.set()

    async def review(self) -> None:
        """Update the limit of each queue, and refuse requests that would miss their deadlines."""
        env = self.env
        if env.fleet is None:
            return
        for pool in (*env.models.values(), *env.pools.values()):
            queue = self.queues.get(pool.name)
            if queue is not None:
                quota = admission.work_quota(env, pool, queue.running_work)
                await self.wake(queue.update_quota(quota, env.clock()))

    async def wait(self, queue: FairQueue, waiter: Waiter) -> None:
        """Wait until a request is granted.

        :raises RequestError: if it is refused.
        """
        event = self.events[waiter] = curio.Event()
        try:
            await self.wake(queue.submit(waiter, self.env.clock()))
            await event.wait()
        finally:
            del self.events[waiter]
        if not waiter.granted:
            pause = admission.retry_after(waiter.retry_after)
            detail = "the wait for the account's share would be too long"
            raise RequestError(Kind.OVERLOADED, detail, Ran.NO, pause)


def record_usage(env, origin: str, value: dict[str, float]) -> None:
    """Store the usage of client accounts that another router reports.

    Entries that are not finite, non-negative numbers are ignored.

    :param value: tokens recently used, by the name of the account.
    """
    valid = {
        name: float(work)
        for name, work in value.items()
        if isinstance(work, int | float) and math.isfinite(work) and work >= 0
    }
    env.limits.account_usage.update_remote(origin, valid, env.clock())
