"""Decodes responses of the store, in which single objects may be unreadable.

An object may come from any writer, and a decoder that meets text or nesting that it can't read
fails for the whole response. Such a response is split into its objects first, by brackets and
strings alone, and each object is decoded by itself.
"""

import re
from collections.abc import Callable, Iterator
from typing import TypeVar

import msgspec

from ..decoding import DECODE_ERRORS
from ..events import Event, log
from ..exceptions import PlatformError

STRING = rb'"(?:[^"\\]|\\.)*"'
TOKEN = re.compile(STRING + rb"|[\[\]{},]", re.DOTALL)
KEY = re.compile(rb"\s*(" + STRING + rb")\s*:", re.DOTALL)


class WireMeta(msgspec.Struct, rename="kebab"):
    """Name of an object and the revision of its last change."""

    name: str
    revision: int = 0


class WireObject(msgspec.Struct):
    """A stored object. `spec` is written by its owner; its status is not read."""

    metadata: WireMeta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class WireListing(msgspec.Struct, rename="kebab"):
    """A page of a list. `at` is the revision of the store."""

    items: list[WireObject]
    has_more: bool = False
    at: int = 0


class WireEvent(msgspec.Struct):
    """A change of an object."""

    object: WireObject
    deleted: bool = False


class WireChanges(msgspec.Struct):
    """Response to a watch call: the changes up to the revision `at`."""

    events: list[WireEvent]
    at: int


Item = TypeVar("Item", WireObject, WireEvent)
Page = TypeVar("Page", WireListing, WireChanges)


def decode_page(content: bytes, kind: type[Page]) -> Page:
    """Return a decoded response; objects without a readable name are logged and left out.

    The spec of an unreadable object is the bytes that the store holds.

    :raises PlatformError: if the response as a whole is malformed.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except DECODE_ERRORS:
        pass
    try:
        return READERS[kind](split_object(content))
    except (*DECODE_ERRORS, KeyError, ValueError) as error:
        raise PlatformError(f"invalid response from the store: {error!r}") from None


def read_listing(members: dict[str, bytes]) -> WireListing:
    """Return a page of a list from the encoded members of the response."""
    return WireListing(
        list(read_items(members["items"], read_object)),
        msgspec.json.decode(members.get("has-more", b"false"), type=bool),
        msgspec.json.decode(members.get("at", b"0"), type=int),
    )


def read_changes(members: dict[str, bytes]) -> WireChanges:
    """Return changes from the encoded members of the response."""
    at = msgspec.json.decode(members["at"], type=int)
    return WireChanges(list(read_items(members["events"], read_event)), at)


READERS = {WireListing: read_listing, WireChanges: read_changes}


def read_items(content: bytes, read: Callable[[bytes], Item]) -> Iterator[Item]:
    """Yield the items of an encoded array that can be read."""
    for item in split_container(content):
        try:
            yield read(item)
        except (*DECODE_ERRORS, KeyError, ValueError) as error:
            log(Event.OBJECT_REJECTED, f"an object of the store has no readable name: {error!r}")


def read_event(content: bytes) -> WireEvent:
    """Return a change of an object whose spec may be unreadable."""
    members = split_object(content)
    deleted = msgspec.json.decode(members.get("deleted", b"false"), type=bool)
    return WireEvent(read_object(members["object"]), deleted)


def read_object(content: bytes) -> WireObject:
    """Return an object whose spec may be unreadable."""
    members = split_object(content)
    metadata = msgspec.json.decode(members["metadata"], type=WireMeta)
    return WireObject(metadata, msgspec.Raw(members.get("spec", b"null")))


def split_object(content: bytes) -> dict[str, bytes]:
    """Return the encoded members of a JSON object by name.

    :raises ValueError: if it is none.
    """
    members = {}
    for member in split_container(content):
        key = KEY.match(member)
        if key is None:
            raise ValueError("a member of an object has no name")
        members[msgspec.json.decode(key[1], type=str)] = member[key.end() :].strip()
    return members


def split_container(content: bytes) -> list[bytes]:
    """Return the encoded members of a JSON object or array, each with the name that it has.

    :raises ValueError: if its brackets don't match.
    """
    members = []
    depth = start = 0
    for token in TOKEN.finditer(content):
        match token[0]:
            case b"[" | b"{":
                depth += 1
                start = token.end() if depth == 1 else start
            case b"]" | b"}":
                depth -= 1
                if depth == 0:
                    last = content[start : token.start()]
                    return [*members, last] if last.strip() else members
            case b"," if depth == 1:
                members.append(content[start : token.start()])
                start = token.end()
    raise ValueError("the brackets don't match")
