"""One HTTP/1.1 connection over a curio socket."""

import contextlib
import math
import socket as stdsocket
import time

import curio
import h11

from .. import defaults
from ..exceptions import ConnectionLost

RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # struct linger: on, 0 s


def keep_alive(raw: stdsocket.socket) -> None:
    """Notice peers that went silent, without bytes of our own: the kernel probes them."""
    raw.setsockopt(stdsocket.IPPROTO_TCP, stdsocket.TCP_NODELAY, 1)
    raw.setsockopt(stdsocket.SOL_SOCKET, stdsocket.SO_KEEPALIVE, 1)
    raw.setsockopt(stdsocket.IPPROTO_TCP, stdsocket.TCP_KEEPIDLE, defaults.KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(
        stdsocket.IPPROTO_TCP, stdsocket.TCP_KEEPINTVL, defaults.KEEPALIVE_INTERVAL_SECONDS
    )
    raw.setsockopt(stdsocket.IPPROTO_TCP, stdsocket.TCP_KEEPCNT, defaults.KEEPALIVE_PROBES)
    raw.setsockopt(stdsocket.IPPROTO_TCP, stdsocket.TCP_USER_TIMEOUT, defaults.TCP_USER_TIMEOUT_MS)


class Channel:
    """One HTTP/1.1 connection over a curio socket.

    :param role: ``h11.SERVER`` or ``h11.CLIENT``.
    :param write_timeout: seconds that the peer may take to accept one piece of output.
    :ivar read_closed: this end has closed its reading side, so an end of input tells nothing.
    """

    def __init__(
        self,
        sock,
        role,
        max_head: int = defaults.MAX_HEADER_BYTES,
        write_timeout: float = defaults.WRITE_TIMEOUT_SECONDS,
    ):
        self.sock = sock
        self.raw = sock._socket
        self.state = h11.Connection(role, max_incomplete_event_size=max_head)
        self.write_timeout = write_timeout
        self.born = time.monotonic()
        self.used = self.born
        self.ended = False
        self.idle_limit = math.inf
        self.read_closed = False

    async def read(self) -> None:
        """Wait for bytes of the peer and give them to the parser.

        :raises ConnectionLost: when the transport fails.
        """
        try:
            data = await self.sock.recv(defaults.RECEIVE_BUFFER_BYTES)
        except OSError as error:
            raise ConnectionLost(str(error)) from error
        self.ended = not data
        self.state.receive_data(data)

    async def receive(self):
        """Return the next h11 event.

        :raises ConnectionLost: when the transport fails.
        :raises h11.RemoteProtocolError: when the peer breaks the protocol.
        """
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self.read()

    async def send(self, *events) -> None:
        """Send h11 events in one write.

        :raises ConnectionLost: when the transport fails or the peer takes nothing in time.
        """
        data = b"".join(self.state.send(event) or b"" for event in events)
        if not data:
            return
        try:
            sent = self.raw.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            raise ConnectionLost(str(error)) from error
        if sent < len(data):
            await self.send_rest(memoryview(data)[sent:])

    async def send_rest(self, data: memoryview) -> None:
        """Send what the socket's buffer had no room for, piece by piece."""
        for start in range(0, len(data), defaults.WRITE_CHUNK_BYTES):
            piece = data[start : start + defaults.WRITE_CHUNK_BYTES]
            try:
                await curio.timeout_after(self.write_timeout, self.sock.sendall, piece)
            except curio.TaskTimeout:
                raise ConnectionLost("the peer does not read") from None
            except OSError as error:
                raise ConnectionLost(str(error)) from error

    async def close(self) -> None:
        """Close the socket."""
        await self.sock.close()

    async def finish(self) -> None:
        """Close so that the peer can still read the last answer.

        Closing with unread input resets the connection and can destroy an answer on its way, so
        input is read and dropped for a short time first.
        """
        with contextlib.suppress(OSError, AttributeError):
            self.raw.shutdown(stdsocket.SHUT_WR)
            if not self.ended:
                await curio.ignore_after(defaults.LINGER_SECONDS, self.drop_input)
        await self.sock.close()

    async def drop_input(self) -> None:
        """Read and forget until the peer closes, up to a limit."""
        left = defaults.MAX_LINGER_BYTES
        while left > 0:
            data = await self.sock.recv(defaults.RECEIVE_BUFFER_BYTES)
            if not data:
                return
            left -= len(data)

    async def abort(self) -> None:
        """Reset the connection, so that the peer can't take a part for the whole."""
        with contextlib.suppress(OSError):
            self.raw.setsockopt(stdsocket.SOL_SOCKET, stdsocket.SO_LINGER, RESET)
        await self.sock.close()

    def reusable(self) -> bool:
        """Tell whether another exchange may follow; prepares for it."""
        if self.state.our_state is h11.DONE and self.state.their_state is h11.DONE:
            self.state.start_next_cycle()
            return True
        return self.state.our_state is h11.IDLE and self.state.their_state is h11.IDLE
