"""Accepting a configuration: one conditional write on the base that the operator saw."""

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
    """The head object's value.

    :param links: the latest revisions before this one, oldest first.
    :param oldest: the lowest revision whose content is kept.
    """

    revision: Revision
    links: tuple[Revision, ...] = ()
    oldest: int = 1


@dataclass(frozen=True, slots=True)
class Head:
    """The accepted revision and the version of its object; None before the first."""

    revision: Revision | None
    version: int
    links: tuple[Revision, ...] = ()
    oldest: int = 1

    @property
    def number(self) -> int:
        """Return the revision's number, 0 before the first."""
        return self.revision.number if self.revision else 0

    @property
    def chain(self) -> tuple[Revision, ...]:
        """Return the known revisions, oldest first."""
        return (*self.links, self.revision) if self.revision else ()


class Raced(Conflict):
    """Another operator's change was accepted first.

    :param head: what is accepted now.
    """

    def __init__(self, head: Head):
        super().__init__(f"revision {head.number} was accepted in the meantime")
        self.head = head


class Unsettled(PlatformError):  # noqa: N818
    """It is not known whether a change was accepted, and it can't be told now."""


async def read_head(platform: ObjectClient) -> Head:
    """Return the accepted head."""
    return parse_head(await platform.get(KIND, HEAD))


def parse_head(entry: Object) -> Head:
    """Return the head from its object.

    :raises ContentError: when the object is damaged.
    """
    if entry.version == 0:
        return Head(None, 0)
    try:
        record = msgspec.json.decode(entry.value, type=HeadRecord)
    except msgspec.DecodeError as error:
        raise ContentError(f"{KIND}/{HEAD}: {error}") from None
    return Head(record.revision, entry.version, record.links, record.oldest)


async def read_fleet(platform: ObjectClient, revision: Revision | None) -> Fleet:
    """Return a revision's configuration; an empty one before the first.

    :raises ContentError: when it is not kept any more, or damaged.
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
    """Return the revision that follows another."""
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


async def settle(platform: ObjectClient, value: bytes, revision: Revision, base: Head) -> None:
    """Repeat a conditional write whose reply was lost until the outcome is certain.

    Once the base has moved, a delayed copy of the write can't take effect any more.

    :raises Raced: when another change was accepted.
    :raises Unsettled: when the object API does not answer.
    """
    for _ in range(defaults.MAX_SETTLE_ATTEMPTS):
        await curio.sleep(defaults.SETTLE_RETRY_SECONDS)
        try:
            head = await repeat_write(platform, value, base)
        except PlatformError:
            continue
        if any(entry.nonce == revision.nonce for entry in head.chain):
            return
        raise Raced(head)
    raise Unsettled(f"the object API did not answer within {defaults.MAX_SETTLE_ATTEMPTS} tries")


async def repeat_write(platform: ObjectClient, value: bytes, base: Head) -> Head:
    """Write the head again and return the head that stands after it.

    :raises PlatformError: when it can't be told now.
    """
    try:
        return parse_head(await platform.put(KIND, HEAD, value, base.version))
    except Conflict:
        return await read_head(platform)


async def clean(platform: ObjectClient, base: Head) -> int:
    """Remove contents that are out of the kept range and return the new lowest kept number.

    What can't be removed now is removed by a later change.
    """
    oldest = base.oldest
    limit = base.number + 2 - defaults.MAX_STORED_CONTENTS
    try:
        for number in range(
            oldest, min(limit, oldest + defaults.MAX_CONTENT_DELETIONS_PER_CHANGE)
        ):
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
    """Accept a configuration on a base.

    :raises Raced: when another operator was faster.
    :raises Unsettled: when it can't be told whether the change was accepted.
    :raises PlatformError: when it surely was not accepted.
    """
    content = encode(fleet)
    nonce = uuid.uuid4().hex
    data = await store.make_bundle(platform, base.revision, content)
    pieces = len(store.split_pieces(data))
    revision = next_revision(base.revision, content, author, reason, changes, pieces, nonce)
    await store.write_bundle(platform, revision, data)
    links = await audit.shorten(platform, base.chain)
    record = HeadRecord(revision, links, await clean(platform, base))
    await write_head(platform, record, base)
    return revision


async def write_head(platform: ObjectClient, record: HeadRecord, base: Head) -> None:
    """Write the head on its base; see :func:`apply` for what is raised."""
    value = msgspec.json.encode(record)
    revision = record.revision
    try:
        await platform.put(KIND, HEAD, value, base.version)
    except LostReply:
        await settle(platform, value, revision, base)
    except Conflict as conflict:
        with contextlib.suppress(PlatformError):
            await store.remove_bundle(platform, store.bundle_name(revision), revision.parts)
        raise Raced(await read_head(platform)) from conflict


async def restore(
    platform: ObjectClient, older: Head, chain: tuple[Revision, ...], content: Content
) -> None:
    """Write accepted revisions back that the object API has lost, on the head that it shows.

    :param chain: the revisions that a node knows, up to the one in force.
    :param content: of the last of them.
    :raises ContentError: when revisions between the two are not known.
    :raises PlatformError: when it failed, or another node was faster.
    """
    whole = (*older.chain, *(entry for entry in chain if entry.number > older.number))
    broken = first_discontinuity(whole)
    if broken is not None:
        raise ContentError(f"the revisions before {broken} are not known here")
    await store.write_again(platform, whole[-1], content)
    links = whole[:-1]
    while len(links) > defaults.MAX_CHAIN_LINKS:
        links = await audit.shorten(platform, links)
    record = HeadRecord(whole[-1], links, older.oldest)
    await platform.put(KIND, HEAD, msgspec.json.encode(record), older.version)
