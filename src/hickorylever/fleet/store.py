"""Stores contents in the object API as snapshots and deltas.

The bundle of a revision has either all parts (a snapshot) or the parts that differ from an earlier
snapshot (a delta). Deltas are not chained: a node without any content reads at most two bundles,
and a small change writes a small one.
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
    """The parts that are stored for one revision; fields are encoded under their names.

    :param snapshot: name of the bundle that a delta is based on, empty for a snapshot.
    :param pieces: number of objects that this base takes.
    """

    parts: list[Part]
    snapshot: str = ""
    pieces: int = 0


def bundle_name(revision: Revision) -> str:
    """Return the name of a revision's bundle."""
    return f"{revision.number}-{revision.nonce}"


def split_pieces(data: bytes) -> list[bytes]:
    """Split data into pieces of at most ``defaults.MAX_OBJECT_BYTES`` bytes."""
    size = defaults.MAX_OBJECT_BYTES
    return [data[start : start + size] for start in range(0, len(data), size)]


async def put_immutable(platform: ObjectClient, name: str, value: bytes) -> None:
    """Store an object under a name that no other writer uses; may be repeated.

    :raises PlatformError: if it could not be stored.
    """
    try:
        await platform.put(KIND, name, value, 0)
    except (Conflict, LostReply):
        entry = await platform.get(KIND, name)
        if entry.value != value:
            raise PlatformError(f"{KIND}/{name} could not be stored") from None


async def read_bundle(platform: ObjectClient, name: str, pieces: int) -> Bundle:
    """Return a bundle that takes a number of objects.

    :raises ContentError: if an object is missing or the bundle is damaged.
    """
    values = [await platform.get(KIND, f"{name}-{number}") for number in range(pieces)]
    missing = [entry.name for entry in values if entry.version == 0]
    if missing:
        raise ContentError(f"{KIND}/{missing[0]} is no longer stored")
    data = b"".join(entry.value for entry in values)
    try:
        return msgspec.msgpack.decode(data, type=Bundle)
    except msgspec.DecodeError as error:
        raise ContentError(f"{KIND}/{name}: {error}") from None


async def read_content(platform: ObjectClient, revision: Revision) -> Content:
    """Return a revision's content, verified against its digest.

    :raises ContentError: if it is missing or damaged.
    """
    bundle = await read_bundle(platform, bundle_name(revision), revision.parts)
    content = Content({})
    if bundle.snapshot:
        snapshot = await read_bundle(platform, bundle.snapshot, bundle.pieces)
        content = content.replace(snapshot.parts)
    content = content.replace(bundle.parts)
    if content.digest != revision.digest:
        raise ContentError(f"content of revision {revision.number} does not match its digest")
    return content


async def update_content(
    platform: ObjectClient, revision: Revision, base_content: Content | None
) -> Content:
    """Return a revision's content, verified against its digest.

    Only the revision's own bundle is read if it suffices to update `base_content`.

    :raises ContentError: if it is missing or damaged.
    """
    if base_content is None:
        return await read_content(platform, revision)
    bundle = await read_bundle(platform, bundle_name(revision), revision.parts)
    content = base_content.replace(bundle.parts)
    if content.digest == revision.digest:
        return content
    return await read_content(platform, revision)


async def encode_bundle(platform: ObjectClient, base: Revision | None, content: Content) -> bytes:
    """Return the encoded bundle of the next revision.

    It is a delta if a base is stored and the delta takes at most ``defaults.MAX_DELTA_BYTES``
    bytes, otherwise a snapshot.
    """
    snapshot_data = msgspec.msgpack.encode(Bundle(content.parts_not_in(frozenset())))
    if base is None:
        return snapshot_data
    name, pieces = bundle_name(base), base.parts
    try:
        stored_bundle = await read_bundle(platform, name, pieces)
        if stored_bundle.snapshot:
            name, pieces = stored_bundle.snapshot, stored_bundle.pieces
            stored_bundle = await read_bundle(platform, name, pieces)
    except ContentError:
        return snapshot_data
    stored_keys = frozenset(part.key for part in stored_bundle.parts)
    delta = msgspec.msgpack.encode(Bundle(content.parts_not_in(stored_keys), name, pieces))
    return delta if len(delta) <= defaults.MAX_DELTA_BYTES else snapshot_data


async def write_bundle(platform: ObjectClient, revision: Revision, data: bytes) -> None:
    """Store the encoded bundle of a revision."""
    for number, value in enumerate(split_pieces(data)):
        await put_immutable(platform, f"{bundle_name(revision)}-{number}", value)


async def restore_content(platform: ObjectClient, revision: Revision, content: Content) -> None:
    """Store a revision's content again as a snapshot, where objects of it are missing.

    The number of objects is part of the revision and of its digest, so it stays the same.

    :raises ContentError: if the content does not fit into that number of objects.
    """
    data = msgspec.msgpack.encode(Bundle(content.parts_not_in(frozenset())))
    piece_bytes = -(-len(data) // revision.parts)
    if piece_bytes > defaults.MAX_OBJECT_BYTES:
        raise ContentError(f"revision {revision.number} does not fit {revision.parts} objects")
    for number in range(revision.parts):
        name = f"{bundle_name(revision)}-{number}"
        if (await platform.get(KIND, name)).version == 0:
            await platform.put(
                KIND, name, data[number * piece_bytes : (number + 1) * piece_bytes], 0
            )


async def remove_bundle(platform: ObjectClient, name: str, pieces: int) -> None:
    """Delete the objects of a bundle that exist."""
    for number in range(pieces):
        entry = await platform.get(KIND, f"{name}-{number}")
        if entry.version:
            await platform.delete(KIND, entry.name, entry.version)


async def remove_content(platform: ObjectClient, revision: Revision, following: Revision) -> None:
    """Delete the objects that only `revision` uses.

    `following` and its successors stay readable: a snapshot, `revision`'s own or the one it is
    based on, stays as long as `following` is based on it.
    """
    name = bundle_name(revision)
    try:
        bundle = await read_bundle(platform, name, revision.parts)
    except ContentError:
        return
    following_bundle = await read_bundle(platform, bundle_name(following), following.parts)
    snapshot = (bundle.snapshot, bundle.pieces) if bundle.snapshot else (name, revision.parts)
    needed = following_bundle.snapshot == snapshot[0]
    if not needed:
        await remove_bundle(platform, *snapshot)
    if bundle.snapshot:
        await remove_bundle(platform, name, revision.parts)
