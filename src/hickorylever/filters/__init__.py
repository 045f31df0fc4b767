"""The filter chain: each filter does one job on a call and awaits the next one."""

from collections.abc import Awaitable, Callable

from ..registry import Registry

Proceed = Callable[[], Awaitable[None]]
Filter = Callable[..., Awaitable[None]]

filters: Registry[Filter] = Registry("filter")

CHAIN = ("identify", "authorise", "parse", "limit", "guard", "choose", "claim", "forward")

from . import authorise, choose, claim, forward, guard, identify, limit, parse  # noqa: E402, F401


async def run(env, call, names: tuple[str, ...] = CHAIN) -> None:
    """Send a call through the filters with these names."""
    if not names:
        return
    first, *rest = names

    async def proceed() -> None:
        await run(env, call, tuple(rest))

    await filters[first](env, call, proceed)
