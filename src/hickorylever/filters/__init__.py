"""Filter chain of a router. Each filter handles one aspect of a call and awaits the next."""

from collections.abc import Awaitable, Callable

from ..registry import Registry

Proceed = Callable[[], Awaitable[None]]
Filter = Callable[..., Awaitable[None]]

filters: Registry[Filter] = Registry("filter")

CHAIN = ("identify", "authorise", "parse", "limit", "guard", "choose", "claim", "forward")

from . import authorise, choose, claim, forward, guard, identify, limit, parse  # noqa: E402, F401


async def run(env, call, names: tuple[str, ...] = CHAIN) -> None:
    """Run a call through the named filters in order.

    :raises RequestError: when a filter refuses the call.
    """
    if not names:
        return
    first, *rest = names

    async def proceed() -> None:
        await run(env, call, tuple(rest))

    await filters[first](env, call, proceed)
