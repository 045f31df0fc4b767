"""A loopback proxy whose connections can be made to misbehave."""

import contextlib
import socket as stdsocket

import curio

from ..exceptions import ConnectionLost
from ..http import connect, listen

HOST = "127.0.0.1"
PIECE_BYTES = 65536


class Proxy:
    """Passes connections on to a port of this machine.

    :ivar delay: seconds that each piece is held back.
    :ivar silent: pieces are dropped both ways, and connections stay open. One that lost a piece
        stays silent for good, as a stream of bytes can't go on after a gap.
    :ivar one_way: pieces of answers are dropped.
    :ivar refusing: connections are reset at once.
    """

    def __init__(self, port: int):
        self.port = port
        self.listener = listen(HOST, 0)
        self.own_port = self.listener.getsockname()[1]
        self.delay = 0.0
        self.silent = False
        self.one_way = False
        self.refusing = False
        self.open: set = set()

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with self.listener, curio.TaskGroup(wait=None) as group:
            while True:
                caller, _ = await self.listener.accept()
                await group.spawn(self.relay, caller)

    async def relay(self, caller) -> None:
        """Relay one connection until one end closes."""
        try:
            endpoint = None if self.refusing else await connect(HOST, self.port)
        except ConnectionLost:
            endpoint = None
        if endpoint is None:
            await caller.close()
            return
        pair = (caller, endpoint)
        self.open.add(pair)
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self.pump, caller, endpoint, False)
                await group.spawn(self.pump, endpoint, caller, True)
        finally:
            self.open.discard(pair)
            for sock in pair:
                await sock.close()

    async def pump(self, source, target, answers: bool) -> None:
        """Copy one direction."""
        lost = False
        try:
            while data := await source.recv(PIECE_BYTES):
                if self.delay:
                    await curio.sleep(self.delay)
                lost = lost or self.silent or (answers and self.one_way)
                if not lost:
                    await target.sendall(data)
        except OSError:
            return  # The other direction ends with this one.

    async def reset(self) -> None:
        """Cut every open connection."""
        for pair in list(self.open):
            for sock in pair:
                # The other end may have closed it just now; a closed socket has no descriptor.
                with contextlib.suppress(OSError, AttributeError):
                    sock._socket.shutdown(stdsocket.SHUT_RDWR)
