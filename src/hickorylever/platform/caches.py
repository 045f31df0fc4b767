"""Decodes the list of the prompt parts that an engine has cached."""

import re

import msgspec

from ..direct.records import PromptPart
from ..exceptions import ContentError

PART_ID = re.compile(r"[0-9a-fA-F]{1,32}")
MAX_PART_TOKENS = 999_999_999  # As many digits as in the header with a prompt's parts.


class WireCacheList(msgspec.Struct):
    """An engine's cached prompt parts, each as ``[text, id, tokens, model]``."""

    held: list[object]


def read_cached_parts(content: bytes) -> list[PromptPart]:
    """Return the prompt parts in an engine's list; malformed entries are left out.

    :raises ContentError: if the list as a whole is malformed.
    """
    try:
        wire = msgspec.json.decode(content, type=WireCacheList)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ContentError(f"invalid list of cached parts: {error}") from None
    return [PromptPart(entry[1].lower(), entry[2]) for entry in wire.held if is_part(entry)]


def is_part(entry: object) -> bool:
    """Return whether an entry of the list is well formed."""
    return (
        isinstance(entry, list)
        and len(entry) >= 3
        and isinstance(entry[1], str)
        and PART_ID.fullmatch(entry[1]) is not None
        and type(entry[2]) is int
        and 0 <= entry[2] <= MAX_PART_TOKENS
    )
