"""Makes a call wait for its client account's fair turn, within what the pool has room for."""

from ..decisions import loads
from ..decisions.fairness import Waiter
from . import filters


def learn(env, call) -> None:
    """Learn a call's true work from the usage that its answer reported."""
    usage = loads.read_usage(call.response_tail) if call.model else None
    if usage is not None:
        env.estimates.learn(call.account.name, call.model, call.prompt_bytes, usage)


@filters.register("limit")
async def limit(env, call, proceed) -> None:
    """Let the call go on when its account's turn has come."""
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
