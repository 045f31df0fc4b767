"""TCP proxy on the loopback interface with injectable network faults."""

import contextlib
import socket as stdsocket

import curio

from ..exceptions import ConnectionLost
from ..http import connect, listen

HOST = "127.0.0.1"
PIECE_BYTES = 65536


class Proxy:
    """Forwards connections to a port on the loopback interface.

    :param port: the port to forward to.
    :ivar own_port: the port that the proxy listens on.
    :ivar delay: seconds by which each chunk is delayed.
    :ivar silent: whether data is dropped in both directions while connections stay open. A
        direction that has lost data drops all later data too, since a byte stream must have no
        gaps.
    :ivar one_way: whether data of responses is dropped.
    :ivar refusing: whether new connections are closed at once.
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
        """Forward a connection until either side closes it."""
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
        """Forward the data of one direction."""
        lost = False
        try:
            while data := await source.recv(PIECE_BYTES):
                if self.delay:
                    await curio.sleep(self.delay)
                lost = lost or self.silent or (answers and self.one_way)
                if not lost:
                    await target.sendall(data)
        except OSError:
            return  # The task group also cancels the other direction.

    async def reset(self) -> None:
        """Shut down all open connections in both directions."""
        for pair in list(self.open):
            for sock in pair:
                # The relay may have closed the socket already; curio then sets `_socket` to None.
                with contextlib.suppress(OSError, AttributeError):
                    sock._socket.shutdown(stdsocket.SHUT_RDWR)
