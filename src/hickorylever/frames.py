"""Messages between routers and sidecars.

A router sends an attempt as MessagePack, and the sidecar streams its response as frames. A frame
is a big-endian 32-bit length followed by a struct encoded as MessagePack. The frames are msgspec
structs and not data classes because tagged unions of structs decode about three times faster.
:class:`SidecarState` and :class:`CancelResult` are sent as JSON.
"""

import struct

import msgspec

from .records import Attempt

LENGTH_PREFIX = struct.Struct(">I")


class Head(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """Status and headers of the endpoint's response."""

    attempt: str
    status: int
    headers: list[tuple[bytes, bytes]]


class Data(msgspec.Struct, frozen=True, array_like=True, tag="data"):
    """Bytes of the response body, starting at byte `offset`."""

    offset: int
    body: bytes


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Sent at each heartbeat interval at which a running attempt has nothing else to send.

    :param work: the sidecar's load in tokens.
    :param running: attempts in flight at the sidecar.
    :param time: the sidecar's monotonic clock in seconds.
    """

    work: float
    running: int
    time: float


class End(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """The response is complete.

    :param length: length of the body in bytes.
    :param digest: xxh3-128 digest of the body.
    """

    attempt: str
    length: int
    digest: str
    work: float
    running: int
    time: float


class Failed(msgspec.Struct, frozen=True, array_like=True, tag="failed"):
    """The attempt was refused, or ended without a complete response.

    :param kind: a value of :class:`~hickorylever.exceptions.Kind`.
    :param ran: a value of :class:`~hickorylever.exceptions.Ran`.
    :param incarnation: of the sidecar process.
    """

    attempt: str
    kind: str
    ran: str
    detail: str
    incarnation: str
    work: float
    running: int
    time: float


Frame = Head | Data | Heartbeat | End | Failed

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Return the encoded frame with its length prefix."""
    body = _encoder.encode(frame)
    return LENGTH_PREFIX.pack(len(body)) + body


class Reader:
    """Decodes frames from a stream of bytes."""

    def __init__(self):
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Buffer received bytes and return the frames that they complete.

        :raises msgspec.DecodeError: if a frame is malformed.
        """
        self.buffer += data
        frames = []
        start = 0
        while len(self.buffer) - start >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self.buffer, start)
            end = start + LENGTH_PREFIX.size + length
            if len(self.buffer) < end:
                break
            frames.append(_decoder.decode(self.buffer[start + LENGTH_PREFIX.size : end]))
            start = end
        del self.buffer[:start]
        return frames


class AttemptRequest(msgspec.Struct, frozen=True):
    """A caller's request as a router sends it to a sidecar."""

    attempt: Attempt
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class SidecarState(msgspec.Struct, frozen=True):
    """State of a sidecar.

    :param work: admitted work in tokens.
    :param running: attempts in flight.
    :param revision: number of the configuration revision in force.
    :param time: the sidecar's monotonic clock in seconds.
    """

    endpoint: str
    incarnation: str
    work: float
    running: int
    draining: bool
    revision: int
    time: float


class CancelResult(msgspec.Struct, frozen=True):
    """Whether a cancelled attempt was executed: ``no``, ``unknown`` or ``yes``."""

    ran: str
