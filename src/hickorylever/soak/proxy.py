"""TCP proxy on the loopback interface with injectable network faults."""

import contextlib
import socket as stdsocket

import curio

from ..exceptions import ConnectionLost
from ..http import connect, listen
from ..http.channel import RESET_ON_CLOSE

HOST = "127.0.0.1"
RECEIVE_BUFFER_BYTES = 65536


class Proxy:
    """Forwards connections to a port on the loopback interface.

    :param target_port: the port to forward to.
    :ivar listen_port: the port that the proxy listens on.
    :ivar delay: seconds by which each chunk is delayed.
    :ivar silent: whether data is dropped in both directions while connections stay open. A
        direction that has lost data drops all later data too, since a byte stream must have no
        gaps.
    :ivar one_way: whether data of responses is dropped.
    :ivar refusing: whether new connections are closed at once.
    """

    def __init__(self, target_port: int):
        self.target_port = target_port
        self.listener = listen(HOST, 0)
        self.listen_port = self.listener.getsockname()[1]
        self.delay = 0.0
        self.silent = False
        self.one_way = False
        self.refusing = False
        self.connections: dict[tuple, curio.TaskGroup] = {}

    async def run(self) -> None:
        """Accept connections until cancelled."""
        async with self.listener, curio.TaskGroup(wait=None) as group:
            while True:
                client, _ = await self.listener.accept()
                await group.spawn(self.relay, client)

    async def relay(self, client) -> None:
        """Forward a connection until either side closes it."""
        try:
            upstream = None if self.refusing else await connect(HOST, self.target_port)
        except ConnectionLost:
            upstream = None
        if upstream is None:
            await client.close()
            return
        pair = (client, upstream)
        try:
            async with curio.TaskGroup(wait=any) as group:
                self.connections[pair] = group
                await group.spawn(self.forward, client, upstream, False)
                await group.spawn(self.forward, upstream, client, True)
        finally:
            self.connections.pop(pair, None)
            for sock in pair:
                await sock.close()

    async def forward(self, source, target, is_response: bool) -> None:
        """Forward the data of one direction."""
        dropping = False
        try:
            while data := await source.recv(RECEIVE_BUFFER_BYTES):
                if self.delay:
                    await curio.sleep(self.delay)
                dropping = dropping or self.silent or (is_response and self.one_way)
                if not dropping:
                    await target.sendall(data)
        except OSError:  # The task group also cancels the other direction.
            reset_on_close(source, target)

    async def reset_connections(self) -> None:
        """Reset all open connections in both directions."""
        for pair, group in list(self.connections.items()):
            reset_on_close(*pair)
            await group.cancel_remaining()

    async def close_connections(self) -> None:
        """Shut down all open connections in both directions."""
        for pair in list(self.connections):
            for sock in pair:
                # The relay may have closed the socket already; curio then sets `_socket` to None.
                with contextlib.suppress(OSError, AttributeError):
                    sock._socket.shutdown(stdsocket.SHUT_RDWR)


def reset_on_close(*sockets) -> None:
    """Let the connections of sockets be reset when they are closed."""
    for sock in sockets:
        # The relay may have closed the socket already; curio then sets `_socket` to None.
        with contextlib.suppress(OSError, AttributeError):
            sock._socket.setsockopt(stdsocket.SOL_SOCKET, stdsocket.SO_LINGER, RESET_ON_CLOSE)
