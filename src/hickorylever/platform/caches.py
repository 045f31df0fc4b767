"""Decodes the list of the prompt parts that an engine has cached."""

from collections.abc import Iterator
from typing import Annotated

import msgspec

from ..decoding import DECODE_ERRORS
from ..direct.records import PromptPart
from ..exceptions import ContentError

MAX_PART_TOKENS = 999_999_999  # As many digits as in the header with a prompt's parts.
PartId = Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-fA-F]{1,32}\Z")]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_PART_TOKENS)]


class WireCacheList(msgspec.Struct):
    """The list of an engine's cached prompt parts.

    :param held: encoded :class:`WirePart` documents; malformed ones are left out.
    """

    held: list[msgspec.Raw]


class WirePart(msgspec.Struct, array_like=True):
    """A cached prompt part. Its text and its model are not used, so they are not decoded."""

    text: msgspec.Raw
    id: PartId
    tokens: Tokens


part_decoder = msgspec.json.Decoder(WirePart)


def read_cached_parts(content: bytes) -> list[PromptPart]:
    """Return the prompt parts in an engine's list; malformed entries are left out.

    :raises ContentError: if the list as a whole is malformed.
    """
    try:
        wire = msgspec.json.decode(content, type=WireCacheList)
    except DECODE_ERRORS as error:
        raise ContentError(f"invalid list of cached parts: {error}") from None
    return list(decode_parts(wire.held))


def decode_parts(entries: list[msgspec.Raw]) -> Iterator[PromptPart]:
    """Decode the well-formed entries of a list."""
    for entry in entries:
        try:
            part = part_decoder.decode(entry)
        except DECODE_ERRORS:
            continue
        yield PromptPart(part.id.lower(), part.tokens)
