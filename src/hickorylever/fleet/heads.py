"""Accepting a configuration: one conditional write on the base that the operator saw."""

import datetime
import uuid
from dataclasses import dataclass

import msgspec

from ..exceptions import Conflict, LostReply, PlatformError
from ..platform import Object, Platform
from ..records import Fleet, Revision
from .compiler import digest, encode

KIND = "configuration"
HEAD = "head"
TRIES = 20


@dataclass(frozen=True, slots=True)
class Head:
    """The accepted revision and the version of its object; None before the first."""

    revision: Revision | None
    version: int


async def read_head(platform: Platform) -> Head:
    """Return the accepted head."""
    return parse_head(await platform.get(KIND, HEAD))


def parse_head(entry: Object) -> Head:
    """Return the head from its object."""
    if entry.version == 0:
        return Head(None, 0)
    return Head(msgspec.json.decode(entry.value, type=Revision), entry.version)


def next_revision(head: Head, data: bytes, author: str, reason: str) -> Revision:
    """Return the revision that follows a head."""
    current = head.revision
    now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    return Revision(
        number=current.number + 1 if current else 1,
        digest=digest(data),
        parent=digest(msgspec.json.encode(current)) if current else "",
        author=author,
        reason=reason,
        time=now,
        nonce=uuid.uuid4().hex,
    )


async def settle(platform: Platform, revision: Revision) -> bool:
    """After a lost reply, tell whether a head with this revision's nonce was accepted.

    :raises PlatformError: when it can't be told now.
    """
    head = await read_head(platform)
    return head.revision is not None and head.revision.nonce == revision.nonce


async def write_content(platform: Platform, name: str, data: bytes) -> None:
    """Store a configuration's bytes under their digest; they may stand there already."""
    try:
        await platform.put(KIND, name, data, 0)
    except (Conflict, LostReply):
        entry = await platform.get(KIND, name)
        if entry.value != data:
            raise PlatformError(f"{name} could not be stored") from None


async def apply(
    platform: Platform, fleet: Fleet, base: Head, author: str, reason: str
) -> Revision:
    """Accept a configuration on a base.

    :raises Conflict: when another operator was faster.
    :raises LostReply: when it can't be told whether the change was accepted.
    :raises PlatformError: when it surely was not accepted.
    """
    data = encode(fleet)
    revision = next_revision(base, data, author, reason)
    await write_content(platform, f"content-{revision.digest}", data)
    try:
        await platform.put(KIND, HEAD, msgspec.json.encode(revision), base.version)
    except LostReply:
        if not await settle(platform, revision):
            raise Conflict("the change was not accepted; its write was lost") from None
    return revision
