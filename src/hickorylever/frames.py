"""Frames of the internal hop between router and sidecar, encoded as MessagePack.

A frame is a big-endian 32-bit length followed by the encoded struct. The structs are msgspec's
own rather than data classes, because its tagged unions decode about three times faster.
"""

import struct

import msgspec

from .records import Attempt

LENGTH = struct.Struct(">I")


class Head(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """Status and headers of the endpoint's answer."""

    attempt: str
    status: int
    headers: list[tuple[bytes, bytes]]


class Data(msgspec.Struct, frozen=True, array_like=True, tag="data"):
    """Bytes of the answer's body, starting at `offset`."""

    offset: int
    body: bytes


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Heartbeat while the answer is awaited, with the sidecar's load in tokens and its clock."""

    work: float
    running: int
    time: float


class End(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """The answer is whole: its length in bytes and the xxh3-128 digest of its body."""

    attempt: str
    length: int
    digest: str
    work: float
    running: int
    time: float


class Failed(msgspec.Struct, frozen=True, array_like=True, tag="failed"):
    """The attempt ended without a whole answer, or was refused."""

    attempt: str
    kind: str
    ran: str
    detail: str
    incarnation: str
    work: float
    running: int
    time: float


Frame = Head | Data | Beat | End | Failed

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Return one frame's bytes with its length in front."""
    body = _encoder.encode(frame)
    return LENGTH.pack(len(body)) + body


class Reader:
    """Splits received bytes into frames."""

    def __init__(self):
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are complete.

        :raises msgspec.DecodeError: when a frame is malformed.
        """
        self.buffer += data
        frames = []
        start = 0
        while len(self.buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self.buffer, start)
            end = start + LENGTH.size + length
            if len(self.buffer) < end:
                break
            frames.append(_decoder.decode(self.buffer[start + LENGTH.size : end]))
            start = end
        del self.buffer[:start]
        return frames


class Handover(msgspec.Struct, frozen=True):
    """A request as a router hands it to a sidecar."""

    attempt: Attempt
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class SidecarState(msgspec.Struct, frozen=True):
    """What a sidecar tells about itself."""

    endpoint: str
    incarnation: str
    work: float
    running: int
    draining: bool
    revision: int
    time: float


class CancelResult(msgspec.Struct, frozen=True):
    """Whether a cancelled attempt ran: ``no``, ``unknown`` or ``yes``."""

    ran: str
