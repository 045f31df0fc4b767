"""Work that stops when the caller goes away."""

import socket as stdsocket
from collections.abc import Awaitable, Callable

import curio

from ..exceptions import ConnectionLost
from .server import Exchange


async def caller_gone(exchange: Exchange) -> None:
    """Return when the caller has closed its connection; a request that it pipelines is left."""
    channel = exchange.channel
    try:
        data = await channel.sock.recv(1, stdsocket.MSG_PEEK)
    except OSError:
        return
    if data or channel.read_closed:
        await curio.Event().wait()


async def outcome(work: Callable[..., Awaitable], *arguments: object) -> Exception | None:
    """Return the exception that `work` ends with, because curio logs tasks that raise one."""
    try:
        await work(*arguments)
    except Exception as error:
        return error
    return None


async def while_wanted(
    exchange: Exchange, work: Callable[..., Awaitable], *arguments: object
) -> None:
    """Await `work`, or cancel it when the caller goes away.

    :raises ConnectionLost: when the caller was faster.
    """
    async with curio.TaskGroup(wait=any) as group:
        task = await group.spawn(outcome, work, *arguments)
        await group.spawn(caller_gone, exchange)
    if group.completed is not task:
        raise ConnectionLost("the caller is gone")
    if task.result is not None:
        raise task.result
