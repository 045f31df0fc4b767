"""Limits of client accounts."""

from . import filters


@filters.register("limit")
async def limit(env, call, proceed) -> None:
    """Count the call in its account's running requests while it goes on."""
    env.running[call.account.name] += 1
    try:
        await proceed()
    finally:
        env.running[call.account.name] -= 1
        if not env.running[call.account.name]:
            del env.running[call.account.name]
