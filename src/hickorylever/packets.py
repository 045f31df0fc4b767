"""Datagrams between members: MessagePack arrays, at most one per UDP packet."""

import enum

import msgspec
import xxhash


class PacketKind(enum.IntEnum):
    """What a datagram asks for or answers."""

    PING = 0
    ACK = 1
    NACK = 2
    RELAY = 3
    GOSSIP = 4
    DIGESTS = 5
    DIGESTS_REPLY = 6
    UPDATES = 7


class Phase(enum.IntEnum):
    """What a member says of itself. It never leaves DRAINING or LEFT within a generation."""

    JOINING = 0
    READY = 1
    DRAINING = 2
    LEFT = 3


class Health(enum.IntEnum):
    """What other members say of a member."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


class Update(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member.

    :param generation: one run of the member's process; later runs have larger numbers.
    :param serial: raised by the member itself, to refute a suspicion or to change its phase.
    """

    member: int
    generation: int
    serial: int
    phase: Phase
    health: Health


class News(msgspec.Struct, array_like=True, frozen=True):
    """The latest value that one member tells about a topic."""

    origin: int
    topic: str
    version: int
    value: object


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """One datagram.

    :param sequence: joins a PING or RELAY to its ACK or NACK.
    :param target: whom a RELAY is to reach, or whom its answer is about; 0 for none.
    :param digests: one 4-byte digest for each bucket of the sender's table.
    """

    kind: PacketKind
    sender: int
    sequence: int = 0
    target: int = 0
    updates: list[Update] = []
    news: list[News] = []
    digests: bytes = b""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Packet)


def encode(value: Packet | Update | News) -> bytes:
    """Return the bytes of a datagram or of one part of it."""
    return _encoder.encode(value)


def decode(data: bytes) -> Packet:
    """Return a datagram from its bytes.

    :raises msgspec.DecodeError: when it is malformed.
    """
    return _decoder.decode(data)


def identify(name: str) -> int:
    """Return the short id that stands for a member's name in datagrams."""
    return xxhash.xxh3_64_intdigest(name.encode())
