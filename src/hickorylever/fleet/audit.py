"""The audit trail of accepted revisions.

The head object holds the latest revisions; older ones are stored in objects of a fixed number of
revisions, called buckets.
"""

import zlib
from collections.abc import AsyncIterator

import msgspec

from .. import defaults
from ..decisions.revisions import revision_digest
from ..exceptions import Conflict, ContentError, LostReply, PlatformError
from ..objects import ObjectClient
from ..records import Revision

KIND = "audit"
Chain = tuple[Revision, ...]


def bucket_name(number: int) -> str:
    """Return the name of the bucket that a revision is archived in."""
    return f"{(number - 1) // defaults.REVISIONS_PER_AUDIT_BUCKET:08d}"


def pack_bucket(bucket: Chain) -> bytes:
    """Return the stored form of a bucket: JSON compressed by zlib."""
    return zlib.compress(msgspec.json.encode(bucket))


async def archive_oldest(platform: ObjectClient, chain: Chain) -> Chain:
    """Archive the oldest bucket of a chain once the chain fills two buckets; return the rest.

    :raises PlatformError: if the bucket cannot be stored.
    """
    if len(chain) <= defaults.MAX_CHAIN_LINKS:
        return chain
    bucket, rest = (
        chain[: defaults.REVISIONS_PER_AUDIT_BUCKET],
        chain[defaults.REVISIONS_PER_AUDIT_BUCKET :],
    )
    name = bucket_name(bucket[0].number)
    try:
        await platform.put(KIND, name, pack_bucket(bucket), 0)
    except (Conflict, LostReply):
        if await read_bucket(platform, bucket[0].number) != bucket:
            raise PlatformError(f"{KIND}/{name} could not be stored") from None
    return rest


async def read_bucket(platform: ObjectClient, number: int) -> Chain:
    """Return the archived bucket that contains a revision.

    :raises ContentError: if the bucket is missing or cannot be decoded.
    :raises PlatformError: if the object API cannot be reached.
    """
    name = bucket_name(number)
    entry = await platform.get(KIND, name)
    if entry.version == 0:
        raise ContentError(f"{KIND}/{name} is missing")
    try:
        return msgspec.json.decode(zlib.decompress(entry.value), type=Chain)
    except (zlib.error, msgspec.DecodeError) as error:
        raise ContentError(f"{KIND}/{name}: {error}") from None


async def find(platform: ObjectClient, chain: Chain, number: int) -> Revision:
    """Return a revision from the head's chain or from its bucket.

    :raises ContentError: if there is no such revision, or its bucket is missing or damaged.
    """
    if not chain or not 1 <= number <= chain[-1].number:
        raise ContentError(f"revision {number} does not exist")
    revisions = chain if number >= chain[0].number else await read_bucket(platform, number)
    return revisions[number - revisions[0].number]


async def iter_newest_first(
    platform: ObjectClient, chain: Chain, since: int
) -> AsyncIterator[Revision]:
    """Yield revisions from the newest back to number `since` and verify the chain of digests.

    :raises ContentError: if a revision does not have the digest that its successor names, or a
        bucket is missing or damaged.
    """
    successor: Revision | None = None
    revisions = chain
    for number in range(chain[-1].number if chain else 0, since - 1, -1):
        if number < revisions[0].number:
            revisions = await read_bucket(platform, number)
        revision = revisions[number - revisions[0].number]
        if revision.number != number or (
            successor is not None and successor.parent != revision_digest(revision)
        ):
            raise ContentError(f"the chain of digests breaks between {number} and {number + 1}")
        yield revision
        successor = revision
