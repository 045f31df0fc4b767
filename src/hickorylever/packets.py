"""Gossip datagrams between members: one MessagePack array per UDP packet."""

import enum

import msgspec
import xxhash


class PacketKind(enum.IntEnum):
    """Types of datagrams. RELAY asks a member to probe another one (SWIM's ping-req)."""

    PING = 0
    ACK = 1
    NACK = 2
    RELAY = 3
    GOSSIP = 4
    DIGESTS = 5
    DIGESTS_REPLY = 6
    UPDATES = 7


class Phase(enum.IntEnum):
    """Phase that a member declares. It never leaves DRAINING or LEFT within a generation."""

    JOINING = 0
    READY = 1
    DRAINING = 2
    LEFT = 3


class Health(enum.IntEnum):
    """Health of a member as judged by the other members."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


class Update(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member.

    :param member: the member's id.
    :param generation: identifies one run of the member's process and grows with every restart.
    :param serial: SWIM's incarnation number. Only the member itself increments it, to refute a
        suspicion or to change its phase.
    """

    member: int
    generation: int
    serial: int
    phase: Phase
    health: Health


class TopicValue(msgspec.Struct, array_like=True, frozen=True):
    """The latest value that a member has published on a topic."""

    origin: int
    topic: str
    version: int
    value: object


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """One datagram.

    :param sequence: matches an ACK or NACK to its PING or RELAY.
    :param target: member that a RELAY asks to be probed or that its reply is about; 0 for none.
    :param digests: a 4-byte digest for each bucket of the sender's member table.
    """

    kind: PacketKind
    sender: int
    sequence: int = 0
    target: int = 0
    updates: list[Update] = []
    topic_values: list[TopicValue] = []
    digests: bytes = b""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Packet)


def encode(value: Packet | Update | TopicValue) -> bytes:
    """Return the encoded datagram, or one encoded part of it."""
    return _encoder.encode(value)


def decode(data: bytes) -> Packet:
    """Return the decoded datagram.

    :raises msgspec.DecodeError: if it is malformed.
    """
    return _decoder.decode(data)


def member_id(name: str) -> int:
    """Return the 64-bit id that identifies a member in datagrams."""
    return xxhash.xxh3_64_intdigest(name.encode())
