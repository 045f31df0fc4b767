"""Accepts configurations by a conditional write of the head object.

The write names the version of the head that the operator based the change on, so that of two
concurrent changes only one is accepted.
"""

import contextlib
import datetime
import uuid
from dataclasses import dataclass

import curio
import msgspec

from .. import defaults
from ..decisions.revisions import first_discontinuity, revision_digest
from ..exceptions import Conflict, ContentError, LostReply, PlatformError
from ..objects import Object, ObjectClient
from ..records import Fleet, Revision
from . import audit, store
from .content import Content, decode, encode

KIND = "configuration"
HEAD = "head"


@dataclass(frozen=True, slots=True)
class HeadRecord:
    """The value of the head object; fields are encoded under their names.

    :param links: the revisions before this one that are not archived yet, oldest first.
    :param oldest: lowest revision number whose content is still stored.
    """

    revision: Revision
    links: tuple[Revision, ...] = ()
    oldest: int = 1


@dataclass(frozen=True, slots=True)
class Head:
    """The accepted revision and the version of the head object.

    :param revision: None before the first one was accepted.
    :param version: version of the object, 0 if it does not exist.
    :param ancestors: the links of :class:`HeadRecord`.
    :param oldest: see :class:`HeadRecord`.
    """

    revision: Revision | None
    version: int
    ancestors: tuple[Revision, ...] = ()
    oldest: int = 1

    @property
    def number(self) -> int:
        """Return the revision's number, 0 before the first one."""
        return self.revision.number if self.revision else 0

    @property
    def chain(self) -> tuple[Revision, ...]:
        """Return the revisions that the head object contains, oldest first."""
        return (*self.ancestors, self.revision) if self.revision else ()


class RevisionConflict(Conflict):
    """Raised when another change was accepted on the same base.

    :param head: the head with that change.
    """

    def __init__(self, head: Head):
        super().__init__(f"revision {head.number} was accepted in the meantime")
        self.head = head


class OutcomeUnknown(PlatformError):  # noqa: N818
    """Raised when it cannot be determined whether a change was accepted."""


async def read_head(platform: ObjectClient) -> Head:
    """Return the current head.

    :raises ContentError: if the object is damaged.
    :raises PlatformError: if the object API cannot be reached.
    """
    return parse_head(await platform.get(KIND, HEAD))


def parse_head(entry: Object) -> Head:
    """Return the head that an object encodes.

    :raises ContentError: if the object is damaged.
    """
    if entry.version == 0:
        return Head(None, 0)
    try:
        record = msgspec.json.decode(entry.value, type=HeadRecord)
    except msgspec.DecodeError as error:
        raise ContentError(f"{KIND}/{HEAD}: {error}") from None
    return Head(record.revision, entry.version, record.links, record.oldest)


async def read_fleet(platform: ObjectClient, revision: Revision | None) -> Fleet:
    """Return a revision's configuration, or an empty one for None.

    :raises ContentError: if the content is no longer stored, or damaged.
    """
    if revision is None:
        return Fleet("")
    return decode(await store.read_content(platform, revision))


def next_revision(
    current: Revision | None,
    content: Content,
    author: str,
    reason: str,
    changes: tuple[str, ...] = (),
    parts: int = 1,
    nonce: str = "",
) -> Revision:
    """Return the successor of a revision, stamped with the current UTC time.

    :param parts: number of objects that its content takes.
    :param nonce: identifies this attempt to accept it; random by default.
    """
    now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    return Revision(
        number=current.number + 1 if current else 1,
        digest=content.digest,
        parent=revision_digest(current) if current else "",
        author=author,
        reason=reason,
        time=now,
        nonce=nonce or uuid.uuid4().hex,
        parts=parts,
        changes=changes,
    )


async def confirm_write(
    platform: ObjectClient, value: bytes, revision: Revision, base: Head
) -> None:
    """Repeat a conditional write whose reply was lost, until its outcome is known.

    Once the object has another version than the base, a delayed copy of the first write can no
    longer succeed.

    :raises RevisionConflict: if another change was accepted.
    :raises OutcomeUnknown: if the object API does not respond in ``defaults.MAX_SETTLE_ATTEMPTS``
        attempts.
    """
    for _ in range(defaults.MAX_SETTLE_ATTEMPTS):
        await curio.sleep(defaults.SETTLE_RETRY_SECONDS)
        try:
            head = await repeat_write(platform, value, base)
        except PlatformError:
            continue
        if any(entry.nonce == revision.nonce for entry in head.chain):
            return
        raise RevisionConflict(head)
    raise OutcomeUnknown(
        f"the object API did not respond in {defaults.MAX_SETTLE_ATTEMPTS} attempts"
    )


async def repeat_write(platform: ObjectClient, value: bytes, base: Head) -> Head:
    """Write the head once more and return the head that is stored then.

    :raises PlatformError: if the object API does not respond.
    """
    try:
        return parse_head(await platform.put(KIND, HEAD, value, base.version))
    except Conflict:
        return await read_head(platform)


async def delete_old_contents(platform: ObjectClient, base: Head) -> int:
    """Delete contents beyond the retention limit and return the lowest number still stored.

    After a failure, a later change continues from there. The work of one change is limited to
    ``defaults.MAX_CONTENT_DELETIONS_PER_CHANGE`` revisions.
    """
    oldest = base.oldest
    end = base.number + 2 - defaults.MAX_STORED_CONTENTS
    try:
        for number in range(oldest, min(end, oldest + defaults.MAX_CONTENT_DELETIONS_PER_CHANGE)):
            revision = await audit.find(platform, base.chain, number)
            following = await audit.find(platform, base.chain, number + 1)
            await store.remove_content(platform, revision, following)
            oldest = number + 1
    except (PlatformError, ContentError):
        return oldest
    return oldest


async def apply(
    platform: ObjectClient,
    fleet: Fleet,
    base: Head,
    author: str,
    reason: str,
    changes: tuple[str, ...] = (),
) -> Revision:
    """Accept a configuration as the successor of a base, and return its revision.

    :param changes: lines for the audit trail that describe the change.
    :raises RevisionConflict: if another change was accepted on this base.
    :raises OutcomeUnknown: if it cannot be determined whether the change was accepted.
    :raises PlatformError: if the change was certainly not accepted.
    """
    content = encode(fleet)
    nonce = uuid.uuid4().hex
    data = await store.encode_bundle(platform, base.revision, content)
    pieces = len(store.split_pieces(data))
    revision = next_revision(base.revision, content, author, reason, changes, pieces, nonce)
    await store.write_bundle(platform, revision, data)
    ancestors = await audit.archive_oldest(platform, base.chain)
    record = HeadRecord(revision, ancestors, await delete_old_contents(platform, base))
    await write_head(platform, record, base)
    return revision


async def write_head(platform: ObjectClient, record: HeadRecord, base: Head) -> None:
    """Write the head conditionally on its base; raises the same errors as :func:`apply`."""
    value = msgspec.json.encode(record)
    revision = record.revision
    try:
        await platform.put(KIND, HEAD, value, base.version)
    except LostReply:
        await confirm_write(platform, value, revision, base)
    except Conflict as conflict:
        with contextlib.suppress(PlatformError):
            await store.remove_bundle(platform, store.bundle_name(revision), revision.parts)
        raise RevisionConflict(await read_head(platform)) from conflict


async def restore(
    platform: ObjectClient, current_head: Head, chain: tuple[Revision, ...], content: Content
) -> None:
    """Write accepted revisions back that the object API has lost, such as after a restored backup.

    :param current_head: the head that the object API has now.
    :param chain: the revisions that a node knows, up to the one in force.
    :param content: content of the last of them.
    :raises ContentError: if revisions between the two are not known.
    :raises PlatformError: if the object API cannot be reached.
    :raises Conflict: if another node has written the head.
    """
    restored_chain = (
        *current_head.chain,
        *(entry for entry in chain if entry.number > current_head.number),
    )
    discontinuity = first_discontinuity(restored_chain)
    if discontinuity is not None:
        raise ContentError(f"the revisions before {discontinuity} are not known here")
    await store.restore_content(platform, restored_chain[-1], content)
    ancestors = restored_chain[:-1]
    while len(ancestors) > defaults.MAX_CHAIN_LINKS:
        ancestors = await audit.archive_oldest(platform, ancestors)
    record = HeadRecord(restored_chain[-1], ancestors, current_head.oldest)
    await platform.put(KIND, HEAD, msgspec.json.encode(record), current_head.version)
