"""Sends a stream to a caller while more of it is read from the endpoint."""

from collections import deque

import curio
import h11

from ..exceptions import ConnectionLost
from ..http import Exchange
from .held_bytes import HeldBytes, Holder


class ReadAhead:
    """Holds what a caller has not taken yet, within the bounds of :class:`HeldBytes`.

    :param exchange: the caller's request and response.
    :param held: memory that all responses of this router take.
    :param holder: the part of this response in it.
    :ivar blocks: bytes to send, in order.
    :ivar task: sends them; None while there are none.
    :ivar progress: set when a block was sent or sending has ended.
    :ivar error: why the caller's connection failed.
    """

    def __init__(self, exchange: Exchange, held: HeldBytes, holder: Holder):
        self.exchange = exchange
        self.held = held
        self.holder = holder
        self.blocks: deque[memoryview] = deque()
        self.task: curio.Task | None = None
        self.progress = curio.Event()
        self.error: ConnectionLost | None = None

    async def write(self, data: bytes) -> None:
        """Send or hold a part of the body, and wait while too much is held.

        :raises ConnectionLost: if the caller's connection has failed.
        """
        self.check()
        channel = self.exchange.channel
        block = memoryview(channel.encode(h11.Data(data=data)))
        if not self.blocks:
            block = block[channel.send_now(block) :]
        if block:
            self.blocks.append(block)
            self.holder.sending = True
            self.held.add(self.holder, len(block))
            if self.task is None:
                self.task = await curio.spawn(self.drain, daemon=True)
        while self.blocks and not self.held.may_read_ahead(self.holder):
            await self.wait()
        self.check()

    async def flush(self) -> None:
        """Wait until the caller has taken everything.

        :raises ConnectionLost: if the caller's connection has failed.
        """
        while self.task is not None:
            await self.wait()
        self.check()

    async def close(self) -> None:
        """Stop sending and forget what is held."""
        if self.task is not None:
            await self.task.cancel()
        self.blocks.clear()
        self.held.release(self.holder)

    async def wait(self) -> None:
        """Wait until the caller has taken a block or its connection has failed."""
        self.progress.clear()
        await self.progress.wait()

    async def drain(self) -> None:
        """Send the blocks until none is left."""
        try:
            while self.blocks:
                await self.exchange.channel.send_remainder(self.blocks[0])
                block = self.blocks.popleft()
                self.held.remove(self.holder, len(block))
                await self.progress.set()
        except ConnectionLost as error:
            self.error = error
            self.blocks.clear()
            self.held.release(self.holder)
        finally:
            self.task = None
            await self.progress.set()

    def check(self) -> None:
        """Raise the error of the caller's connection, if any."""
        if self.error is not None:
            raise self.error
