"""Queue calls fairly by client account, within the capacity of the pool."""

from ..decisions import loads
from ..decisions.fairness import Waiter
from . import filters


def learn(env, call) -> None:
    """Update the work estimate from the token usage that a response reports."""
    usage = loads.read_usage(call.response_tail) if call.model else None
    if usage is not None:
        env.estimates.learn(call.account.name, call.model, call.prompt_bytes, usage)


@filters.register("limit")
async def limit(env, call, proceed) -> None:
    """Wait in the fair queue of the pool, then pass the call on.

    :raises RequestError: when the queue refuses the call.
    """
    limits = env.limits
    queue = limits.queue(call.pool)
    waiter = Waiter(call.account.name, call.work, call.deadline)
    try:
        await limits.wait(queue, waiter)
        limits.account_usage.record(waiter.account, waiter.work, env.clock())
        call.borrowed = not waiter.within_share
        call.priority = call.account.priority - call.borrowed
        await proceed()
        learn(env, call)
    finally:
        await limits.wake(queue.finish(waiter, env.clock()))
