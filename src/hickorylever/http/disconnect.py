"""Cancellation of a request's work when the caller disconnects."""

import socket as stdsocket
import traceback
from collections.abc import Awaitable, Callable

import curio

from ..exceptions import ConnectionLost
from .exchange import Exchange


async def wait_for_disconnect(exchange: Exchange) -> None:
    """Wait until the caller closes its connection. A pipelined request is left unread."""
    channel = exchange.channel
    try:
        data = await channel.sock.recv(1, stdsocket.MSG_PEEK)
    except OSError:
        return
    if data or channel.read_closed:
        await curio.Event().wait()


async def capture_exception(
    work: Callable[..., Awaitable], *arguments: object
) -> Exception | None:
    """Run `work` and return the exception that it raises, if any.

    The exception is returned because curio logs every task that ends with one.
    """
    try:
        await work(*arguments)
    except ConnectionLost as error:
        release_frames(error)
        return error
    except Exception as error:
        return error
    return None


def release_frames(error: BaseException | None) -> None:
    """Clear the variables of the frames that an exception and its causes refer to.

    They hold the response that was being sent, and are part of reference cycles, so that it would
    stay in memory until the next full garbage collection.
    """
    while error is not None:
        traceback.clear_frames(error.__traceback__)
        error = error.__cause__ or error.__context__


async def cancel_on_disconnect(
    exchange: Exchange, work: Callable[..., Awaitable], *arguments: object
) -> None:
    """Await `work`, and cancel it if the caller disconnects.

    :raises ConnectionLost: if the caller disconnects before `work` is done.
    """
    async with curio.TaskGroup(wait=any) as group:
        task = await group.spawn(capture_exception, work, *arguments)
        await group.spawn(wait_for_disconnect, exchange)
    if group.completed is not task:
        raise ConnectionLost("the caller closed its connection")
    if task.result is not None:
        raise task.result
