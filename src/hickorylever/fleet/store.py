"""Contents in the object API: snapshots, and differences from a snapshot.

A revision's bundle holds either every part or the parts that differ from an earlier snapshot. So a
node that has nothing reads two bundles, and a small change writes a small one.
"""

from dataclasses import dataclass

import msgspec

from .. import defaults
from ..exceptions import Conflict, ContentError, LostReply, PlatformError
from ..objects import ObjectClient
from ..records import Revision
from .content import Content, Part

KIND = "content"


@dataclass(frozen=True, slots=True)
class Bundle:
    """What one revision stored.

    :param snapshot: name of the bundle that this one differs from; empty for a snapshot.
    :param pieces: number of objects that the snapshot takes.
    """

    parts: list[Part]
    snapshot: str = ""
    pieces: int = 0


def bundle_name(revision: Revision) -> str:
    """Return the name of a revision's bundle."""
    return f"{revision.number}-{revision.nonce}"


def split_pieces(data: bytes) -> list[bytes]:
    """Return values that fit into one object each."""
    size = defaults.MAX_OBJECT_BYTES
    return [data[start : start + size] for start in range(0, len(data), size)]


async def put_once(platform: ObjectClient, name: str, value: bytes) -> None:
    """Store an object that no other writer names; repeating it is harmless.

    :raises PlatformError: when it could not be stored.
    """
    try:
        await platform.put(KIND, name, value, 0)
    except (Conflict, LostReply):
        entry = await platform.get(KIND, name)
        if entry.value != value:
            raise PlatformError(f"{KIND}/{name} could not be stored") from None


async def read_bundle(platform: ObjectClient, name: str, pieces: int) -> Bundle:
    """Return a bundle.

    :raises ContentError: when it is not there or damaged.
    """
    values = [await platform.get(KIND, f"{name}-{number}") for number in range(pieces)]
    missing = [entry.name for entry in values if entry.version == 0]
    if missing:
        raise ContentError(f"{KIND}/{missing[0]} is not kept any more")
    data = b"".join(entry.value for entry in values)
    try:
        return msgspec.msgpack.decode(data, type=Bundle)
    except msgspec.DecodeError as error:
        raise ContentError(f"{KIND}/{name}: {error}") from None


async def read_content(platform: ObjectClient, revision: Revision) -> Content:
    """Return a revision's content, verified against its digest.

    :raises ContentError: when it is not there or damaged.
    """
    bundle = await read_bundle(platform, bundle_name(revision), revision.parts)
    content = Content({})
    if bundle.snapshot:
        snapshot = await read_bundle(platform, bundle.snapshot, bundle.pieces)
        content = content.replace(snapshot.parts)
    content = content.replace(bundle.parts)
    if content.digest != revision.digest:
        raise ContentError(f"the content of revision {revision.number} has another digest")
    return content


async def update_content(
    platform: ObjectClient, revision: Revision, known: Content | None
) -> Content:
    """Return a revision's content, reading only the difference if `known` is close enough."""
    if known is None:
        return await read_content(platform, revision)
    bundle = await read_bundle(platform, bundle_name(revision), revision.parts)
    content = known.replace(bundle.parts)
    if content.digest == revision.digest:
        return content
    return await read_content(platform, revision)


async def make_bundle(platform: ObjectClient, base: Revision | None, content: Content) -> bytes:
    """Return the bytes of the next revision's bundle: a difference if it is small."""
    whole = msgspec.msgpack.encode(Bundle(content.changed(frozenset())))
    if base is None:
        return whole
    name, pieces = bundle_name(base), base.parts
    try:
        before = await read_bundle(platform, name, pieces)
        if before.snapshot:
            name, pieces = before.snapshot, before.pieces
            before = await read_bundle(platform, name, pieces)
    except ContentError:
        return whole
    stored = frozenset(part.key for part in before.parts)
    difference = msgspec.msgpack.encode(Bundle(content.changed(stored), name, pieces))
    return difference if len(difference) <= defaults.MAX_DELTA_BYTES else whole


async def write_bundle(platform: ObjectClient, revision: Revision, data: bytes) -> None:
    """Store a revision's bundle."""
    for number, value in enumerate(split_pieces(data)):
        await put_once(platform, f"{bundle_name(revision)}-{number}", value)


async def write_again(platform: ObjectClient, revision: Revision, content: Content) -> None:
    """Store a revision's content in as many pieces as its first bundle had, unless it is there.

    :raises ContentError: when it does not fit.
    """
    data = msgspec.msgpack.encode(Bundle(content.changed(frozenset())))
    size = -(-len(data) // revision.parts)
    if size > defaults.MAX_OBJECT_BYTES:
        raise ContentError(f"revision {revision.number} does not fit {revision.parts} objects")
    for number in range(revision.parts):
        name = f"{bundle_name(revision)}-{number}"
        if (await platform.get(KIND, name)).version == 0:
            await platform.put(KIND, name, data[number * size : (number + 1) * size], 0)


async def remove_bundle(platform: ObjectClient, name: str, pieces: int) -> None:
    """Delete a bundle's objects; absent ones are fine."""
    for number in range(pieces):
        entry = await platform.get(KIND, f"{name}-{number}")
        if entry.version:
            await platform.delete(KIND, entry.name, entry.version)


async def remove_content(platform: ObjectClient, revision: Revision, following: Revision) -> None:
    """Delete what only `revision` needs; `following` and its successors stay readable."""
    name = bundle_name(revision)
    try:
        bundle = await read_bundle(platform, name, revision.parts)
    except ContentError:
        return
    after = await read_bundle(platform, bundle_name(following), following.parts)
    snapshot = (bundle.snapshot, bundle.pieces) if bundle.snapshot else (name, revision.parts)
    needed = after.snapshot == snapshot[0]
    if not needed:
        await remove_bundle(platform, *snapshot)
    if bundle.snapshot:
        await remove_bundle(platform, name, revision.parts)
