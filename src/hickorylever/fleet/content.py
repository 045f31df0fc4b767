"""Splits a configuration into parts by section and bucket, so that small changes stay small.

A delta, and a response to a peer whose earlier content is known, has only the parts that differ,
and only parts that differ are decoded again.
"""

import dataclasses
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import xxhash

from .. import defaults
from ..digests import hex_digest
from ..exceptions import ContentError
from ..records import VM, Application, ClientAccount, Endpoint, Fleet

GENERAL = "general"


@dataclass(frozen=True, slots=True)
class Section:
    """A tuple of named objects in :class:`Fleet`, distributed over a fixed number of parts."""

    item_type: type
    buckets: int


SECTIONS = {
    "vms": Section(VM, defaults.VM_BUCKETS),
    "endpoints": Section(Endpoint, defaults.ENDPOINT_BUCKETS),
    "applications": Section(Application, 1),
    "client_accounts": Section(ClientAccount, defaults.CLIENT_ACCOUNT_BUCKETS),
}
EMPTY_SECTIONS = dict.fromkeys(SECTIONS, ())


@dataclass(frozen=True, slots=True)
class Part:
    """A part of a configuration.

    :param name: section and bucket number, such as ``vms-3``, or ``general``.
    :param digest: hexadecimal digest of the part's JSON.
    :param packed: the JSON compressed by zlib.
    """

    name: str
    digest: str
    packed: bytes

    @property
    def key(self) -> str:
        """Return name and digest: the digest alone is not unique, as empty buckets are equal."""
        return f"{self.name} {self.digest}"


@dataclass(frozen=True, slots=True)
class Content:
    """The parts of one configuration by name."""

    parts: dict[str, Part]

    @property
    def digest(self) -> str:
        """Return the digest over the keys of all parts, which the revision records."""
        return hex_digest("\n".join(sorted(self.keys())).encode())

    def replace(self, parts: list[Part]) -> "Content":
        """Return a copy with some parts replaced."""
        return Content({**self.parts, **{part.name: part for part in parts}})

    def parts_not_in(self, known_keys: frozenset[str]) -> list[Part]:
        """Return the parts whose keys are not among `known_keys`."""
        return [part for part in self.parts.values() if part.key not in known_keys]

    def keys(self) -> frozenset[str]:
        """Return the keys of all parts."""
        return frozenset(part.key for part in self.parts.values())


def encode_part(name: str, value: object) -> Part:
    """Return the part that encodes a section's objects."""
    data = msgspec.json.encode(value, order="deterministic")
    return Part(name, hex_digest(data), zlib.compress(data))


def decompress_part(part: Part) -> bytes:
    """Return a part's JSON, limited to ``defaults.MAX_PART_BYTES`` bytes.

    :raises ContentError: if the part is damaged or larger than that.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(part.packed, defaults.MAX_PART_BYTES)
    except zlib.error as error:
        raise ContentError(f"{part.name}: {error}") from None
    if not decompressor.eof or hex_digest(data) != part.digest:
        raise ContentError(f"{part.name}: does not match its digest, or is larger than the limit")
    return data


def bucket_of(name: str, count: int) -> int:
    """Return the bucket that an object's name belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) % count


def encode(fleet: Fleet) -> Content:
    """Return the encoded configuration; equal configurations have equal digests."""
    parts = [encode_part(GENERAL, dataclasses.replace(fleet, **EMPTY_SECTIONS))]
    for section_name, section in SECTIONS.items():
        buckets: list[list] = [[] for _ in range(section.buckets)]
        for entry in getattr(fleet, section_name):
            buckets[bucket_of(entry.name, section.buckets)].append(entry)
        parts += [
            encode_part(f"{section_name}-{number}", entries)
            for number, entries in enumerate(buckets)
        ]
    return Content({part.name: part for part in parts})


def digest(content: Content) -> str:
    """Return the digest of an encoded configuration."""
    return content.digest


def make_part_types() -> dict[str, type]:
    """Return the type that each part decodes to, by the part's name."""
    types: dict[str, type] = {GENERAL: Fleet}
    for section_name, section in SECTIONS.items():
        for number in range(section.buckets):
            types[f"{section_name}-{number}"] = tuple[section.item_type, ...]
    return types


PART_TYPES = make_part_types()


class Decoder:
    """Decodes configurations and reuses the decoded parts of the previous one."""

    def __init__(self):
        self.decoded: dict[str, object] = {}

    def prepare(self, content: Content) -> Iterator[None]:
        """Decode one part for each step of the iterator, so that the caller can yield in between.

        :raises ContentError: if a part is damaged or missing.
        """
        for name in PART_TYPES:
            part = self.get_part(content, name)
            if part.key not in self.decoded:
                self.decoded[part.key] = decode_part(part)
                yield

    def decode(self, content: Content) -> Fleet:
        """Return the decoded configuration.

        :raises ContentError: if a part is damaged or missing.
        """
        for _ in self.prepare(content):
            pass
        keys = {name: content.parts[name].key for name in PART_TYPES}
        self.decoded = {key: self.decoded[key] for key in keys.values()}
        sections = {}
        for section_name, section in SECTIONS.items():
            entries: list = []
            for number in range(section.buckets):
                entries += self.decoded[keys[f"{section_name}-{number}"]]
            entries.sort(key=lambda entry: entry.name)
            sections[section_name] = tuple(entries)
        return dataclasses.replace(self.decoded[keys[GENERAL]], **sections)

    def get_part(self, content: Content, name: str) -> Part:
        """Return a part by name.

        :raises ContentError: if it is missing.
        """
        if name not in content.parts:
            raise ContentError(f"{name}: is missing")
        return content.parts[name]


def decode_part(part: Part) -> object:
    """Return the objects of a part.

    :raises ContentError: if the part is damaged.
    """
    try:
        return msgspec.json.decode(decompress_part(part), type=PART_TYPES[part.name])
    except msgspec.DecodeError as error:
        raise ContentError(f"{part.name}: {error}") from None


def decode(content: Content) -> Fleet:
    """Return the decoded configuration.

    :raises ContentError: if a part is damaged or missing.
    """
    return Decoder().decode(content)
