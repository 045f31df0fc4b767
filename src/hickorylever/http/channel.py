"""One HTTP/1.1 connection over a curio socket."""

import contextlib
import itertools
import math
import socket as stdsocket
import time
from collections.abc import Iterable, Iterator

import curio
import h11

from .. import defaults
from ..exceptions import ConnectionLost
from ..turns import Turns

LARGE_PART_BYTES = 64 * 1024  # Parts of messages below this are copied into one write.
RESET_ON_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # struct linger with l_onoff=1, l_linger=0


channel_numbers = itertools.count(1)


def set_socket_options(raw: stdsocket.socket) -> None:
    """Disable Nagle's algorithm and let the kernel detect unreachable peers.

    TCP keep-alive probes cover idle connections, and the user timeout covers unacknowledged data.
    The program thus need not send bytes of its own to notice a silent peer.
    """
    raw.setsockopt(stdsocket.IPPROTO_TCP, stdsocket.TCP_NODELAY, 1)
    raw.setsockopt(stdsocket.SOL_SOCKET, stdsocket.SO_KEEPALIVE, 1)
    raw.setsockopt(stdsocket.IPPROTO_TCP, stdsocket.TCP_KEEPIDLE, defaults.KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(
        stdsocket.IPPROTO_TCP, stdsocket.TCP_KEEPINTVL, defaults.KEEPALIVE_INTERVAL_SECONDS
    )
    raw.setsockopt(stdsocket.IPPROTO_TCP, stdsocket.TCP_KEEPCNT, defaults.KEEPALIVE_PROBES)
    raw.setsockopt(stdsocket.IPPROTO_TCP, stdsocket.TCP_USER_TIMEOUT, defaults.TCP_USER_TIMEOUT_MS)


def join_small(parts: Iterable[bytes]) -> Iterator[bytes]:
    """Yield parts of a message joined, but for large ones, which would be in memory twice."""
    joined = b""
    for part in parts:
        if len(part) < LARGE_PART_BYTES:
            joined += part
            continue
        if joined:
            yield joined
        yield part
        joined = b""
    if joined:
        yield joined


class Channel:
    """One HTTP/1.1 connection over a curio socket.

    :param role: ``h11.SERVER`` or ``h11.CLIENT``.
    :param max_head_bytes: bytes of an incoming request or response head.
    :param write_timeout: seconds that the peer may take to accept one block of output.
    :ivar number: unique among the channels of this process, for logs.
    :ivar raw: the non-blocking socket below `sock`.
    :ivar protocol: the h11 state machine.
    :ivar opened_at: monotonic time in seconds.
    :ivar last_used_at: monotonic time of the end of the last exchange in seconds.
    :ivar written_at: monotonic time at which the peer last accepted a block of output.
    :ivar eof_received: whether the peer has closed its sending side.
    :ivar idle_timeout: seconds after which the peer closes the connection if it is idle.
    :ivar request_count: requests that were sent on this connection.
    :ivar turns: lets other tasks run between the parts of messages.
    :ivar read_closed: whether this end has shut down its receiving side. An end of input then does
        not mean that the peer has closed the connection.
    """

    def __init__(
        self,
        sock,
        role,
        max_head_bytes: int = defaults.MAX_HEADER_BYTES,
        write_timeout: float = defaults.WRITE_TIMEOUT_SECONDS,
    ):
        self.number = next(channel_numbers)
        self.sock = sock
        self.raw = sock._socket
        self.protocol = h11.Connection(role, max_incomplete_event_size=max_head_bytes)
        self.write_timeout = write_timeout
        self.opened_at = time.monotonic()
        self.last_used_at = self.opened_at
        self.written_at = self.opened_at
        self.eof_received = False
        self.idle_timeout = math.inf
        self.read_closed = False
        self.request_count = 0
        self.turns = Turns(defaults.MESSAGE_PARTS_PER_TURN)

    async def read(self) -> None:
        """Receive bytes from the peer and pass them to the parser.

        :raises ConnectionLost: if the connection fails.
        """
        try:
            data = await self.sock.recv(defaults.RECEIVE_BUFFER_BYTES)
        except OSError as error:
            raise ConnectionLost(str(error)) from error
        self.eof_received = not data
        self.protocol.receive_data(data)

    async def receive(self):
        """Return the next h11 event.

        :raises ConnectionLost: if the connection fails.
        :raises h11.RemoteProtocolError: if the peer violates the protocol.
        """
        await self.turns.step()
        while True:
            event = self.protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            await self.read()

    async def send(self, *events) -> None:
        """Send h11 events, in a single write unless a part of them is large.

        :raises ConnectionLost: if the connection fails or the write times out.
        """
        parts = [self.protocol.send(event) or b"" for event in events]
        for data in join_small(parts):
            sent = self.send_now(data)
            if sent < len(data):
                await self.send_remainder(memoryview(data)[sent:])

    def encode(self, *events) -> bytes:
        """Return the bytes of h11 events, which must be sent in this order."""
        return b"".join(self.protocol.send(event) or b"" for event in events)

    def send_now(self, data: bytes | memoryview) -> int:
        """Send what the socket buffer takes, and return the number of bytes.

        :raises ConnectionLost: if the connection fails.
        """
        try:
            sent = self.raw.send(data)
            self.written_at = time.monotonic()
            return sent
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ConnectionLost(str(error)) from error

    def shut_down(self) -> None:
        """Shut the connection down, so that all that wait for it fail."""
        with contextlib.suppress(OSError):
            self.raw.shutdown(stdsocket.SHUT_RDWR)

    async def send_remainder(self, data: memoryview) -> None:
        """Send the data that did not fit into the socket buffer, with a timeout for each block."""
        for start in range(0, len(data), defaults.WRITE_CHUNK_BYTES):
            block = data[start : start + defaults.WRITE_CHUNK_BYTES]
            try:
                await curio.timeout_after(self.write_timeout, self.sock.sendall, block)
                self.written_at = time.monotonic()
            except curio.TaskTimeout:
                raise ConnectionLost(f"write timed out after {self.write_timeout:g} s") from None
            except OSError as error:
                raise ConnectionLost(str(error)) from error

    async def close(self) -> None:
        """Close the socket."""
        await self.sock.close()

    async def close_gracefully(self) -> None:
        """Close the connection so that the peer can still receive the data already sent.

        Closing a socket with unread input resets the connection, and the peer may then lose a
        response in transit. Input is therefore read and discarded for a short time first.
        """
        with contextlib.suppress(OSError, AttributeError):
            self.raw.shutdown(stdsocket.SHUT_WR)
            if not self.eof_received:
                await curio.ignore_after(defaults.LINGER_SECONDS, self.discard_input)
        await self.sock.close()

    async def discard_input(self) -> None:
        """Read and discard input until the peer closes, up to ``MAX_LINGER_BYTES``."""
        remaining = defaults.MAX_LINGER_BYTES
        while remaining > 0:
            data = await self.sock.recv(defaults.RECEIVE_BUFFER_BYTES)
            if not data:
                return
            remaining -= len(data)

    async def abort(self) -> None:
        """Reset the connection, so that the peer does not take a partial message for complete."""
        with contextlib.suppress(OSError):
            self.raw.setsockopt(stdsocket.SOL_SOCKET, stdsocket.SO_LINGER, RESET_ON_CLOSE)
        await self.sock.close()

    def prepare_for_reuse(self) -> bool:
        """Return whether the connection can carry another exchange, and prepare it for one.

        Bytes that a server sent after its response would be taken for the next one.
        """
        if self.protocol.our_role is h11.CLIENT and self.protocol.trailing_data[0]:
            return False
        if self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE:
            self.protocol.start_next_cycle()
            return True
        return self.protocol.our_state is h11.IDLE and self.protocol.their_state is h11.IDLE
