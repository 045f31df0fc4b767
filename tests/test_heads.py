"""Tests of contents, heads and the audit trail on an object API in memory."""

import curio
import pytest

from hickorylever import defaults
from hickorylever.exceptions import Conflict, ContentError, PlatformError
from hickorylever.fleet import audit, decode, encode, heads, store
from hickorylever.fleet.content import Content, Decoder, Part
from hickorylever.objects import Object
from hickorylever.records import ClientAccount, Fleet

CHANGE_COUNT = 40


class InMemoryObjects:
    """The object API in memory, with conditional writes."""

    def __init__(self):
        self.objects = {}
        self.version = 0

    async def get(self, kind, name):
        return self.objects.get((kind, name), Object(kind, name, 0, b""))

    async def put(self, kind, name, value, base):
        if len(value) > defaults.MAX_OBJECT_BYTES:
            raise PlatformError("too large")
        if (await self.get(kind, name)).version != base:
            raise Conflict("moved")
        self.version += 1
        self.objects[kind, name] = Object(kind, name, self.version, value)
        return self.objects[kind, name]

    async def delete(self, kind, name, base):
        if (await self.get(kind, name)).version != base:
            raise Conflict("moved")
        self.objects.pop((kind, name), None)

    def count(self, kind):
        return sum(1 for entry in self.objects if entry[0] == kind)


@pytest.fixture(autouse=True)
def small_limits(monkeypatch):
    for name, value in {
        "REVISIONS_PER_AUDIT_BUCKET": 4,
        "MAX_CHAIN_LINKS": 7,
        "MAX_STORED_CONTENTS": 5,
    }.items():
        monkeypatch.setattr(defaults, name, value)


def fleet_of(number):
    names = {f"a{step % 23}" for step in range(number, number + 9)}
    accounts = tuple(ClientAccount(name, (name * 8,)) for name in sorted(names))
    return Fleet("f", client_accounts=accounts, load_multiple=1.1 + number)


async def apply_many(platform, count=CHANGE_COUNT):
    revisions = []
    for number in range(count):
        base = await heads.read_head(platform)
        revisions.append(await heads.apply(platform, fleet_of(number), base, "a", f"r{number}"))
    return revisions


async def is_readable(platform, revision):
    try:
        await store.read_content(platform, revision)
    except ContentError:
        return False
    return True


def split_pieces(data, size):
    return [data[start : start + size] for start in range(0, len(data), size)]


# Maximum bytes of a piece and of a delta: one piece, several, several and small deltas, no deltas.
LIMITS = [(1 << 20, 1 << 16), (1200, 1 << 16), (1200, 900), (1 << 20, 0)]


@pytest.mark.parametrize("max_piece_bytes, max_delta_bytes", LIMITS)
def test_contents_are_stored_and_deleted_beyond_retention(
    max_piece_bytes, max_delta_bytes, monkeypatch
):
    monkeypatch.setattr(defaults, "MAX_DELTA_BYTES", max_delta_bytes)
    platform = InMemoryObjects()

    async def main():
        monkeypatch.setattr(
            store, "split_pieces", lambda data: split_pieces(data, max_piece_bytes)
        )
        revisions = await apply_many(platform)
        assert (max_piece_bytes < 1 << 20) == (revisions[0].parts > 1)
        stored = revisions[-defaults.MAX_STORED_CONTENTS :]
        for number, revision in enumerate(revisions):
            if revision not in stored:
                continue
            assert decode(await store.read_content(platform, revision)) == fleet_of(number)
            old = encode(fleet_of(number - 3))
            content = await store.update_content(platform, revision, old)
            assert content == encode(fleet_of(number))
        old = [entry for entry in revisions if entry not in stored]
        snapshots = [entry for entry in old if await is_readable(platform, entry)]
        assert len(snapshots) <= 1
        names = {name.rsplit("-", 1)[0] for kind, name in platform.objects if kind == store.KIND}
        assert len(names) <= defaults.MAX_STORED_CONTENTS + 2

    curio.run(main)


def test_audit_trail_is_complete_and_head_is_bounded():
    platform = InMemoryObjects()

    async def main():
        revisions = await apply_many(platform)
        head = await heads.read_head(platform)
        assert len(head.chain) <= defaults.MAX_CHAIN_LINKS + 1
        assert (
            platform.count(audit.KIND)
            == (CHANGE_COUNT - 1) // defaults.REVISIONS_PER_AUDIT_BUCKET - 1
        )
        found = [entry async for entry in audit.iter_newest_first(platform, head.chain, 1)]
        assert found[::-1] == revisions
        assert await audit.find(platform, head.chain, 3) == revisions[2]
        for number in (0, CHANGE_COUNT + 1):
            with pytest.raises(ContentError):
                await audit.find(platform, head.chain, number)

    curio.run(main)


@pytest.mark.parametrize("value", [b"", b"{}", b"\x00"])
def test_damaged_objects_raise_content_error(value):
    platform = InMemoryObjects()

    async def main():
        await apply_many(platform, 12)
        head = await heads.read_head(platform)
        name = audit.bucket_name(1)
        platform.objects[audit.KIND, name] = Object(audit.KIND, name, 1, value)
        with pytest.raises(ContentError):
            _ = [entry async for entry in audit.iter_newest_first(platform, head.chain, 1)]
        platform.objects[heads.KIND, heads.HEAD] = Object(heads.KIND, heads.HEAD, 1, value)
        with pytest.raises(ContentError):
            await heads.read_head(platform)

    curio.run(main)


def test_failed_deletions_are_resumed_by_later_changes():
    platform = InMemoryObjects()
    delete = platform.delete

    async def fail(kind, name, base):
        raise PlatformError("outage")

    async def main():
        await apply_many(platform, 4)
        platform.delete = fail
        await apply_many(platform, 8)
        platform.delete = delete
        assert platform.count(store.KIND) == 12
        await apply_many(platform, 6)
        head = await heads.read_head(platform)
        assert head.oldest == head.number - defaults.MAX_STORED_CONTENTS + 1

    curio.run(main)


def test_only_changed_parts_are_decoded_and_written():
    first, second = encode(fleet_of(1)), encode(fleet_of(2))
    changed = second.parts_not_in(first.keys())
    assert 0 < len(changed) < 5
    decoder = Decoder()
    assert decoder.decode(first) == fleet_of(1)
    assert len(list(decoder.prepare(second))) == len(changed)
    assert decoder.decode(second) == fleet_of(2)
    assert encode(fleet_of(2)) == second


def test_missing_oversized_and_damaged_parts_are_rejected(monkeypatch):
    content = encode(fleet_of(1))
    parts = dict(content.parts)
    del parts["vms-0"]
    with pytest.raises(ContentError):
        decode(Content(parts))
    monkeypatch.setattr(defaults, "MAX_PART_BYTES", 1)
    with pytest.raises(ContentError):
        decode(content)
    broken = content.replace([Part("vms-0", content.parts["vms-0"].digest, b"junk")])
    with pytest.raises(ContentError):
        decode(broken)


@pytest.mark.parametrize("lost", [1, 3, 6])
def test_restore_of_lost_revisions(lost):
    platform = InMemoryObjects()

    async def main():
        await apply_many(platform, CHANGE_COUNT - lost)
        older = await heads.read_head(platform)
        backup = dict(platform.objects)
        await apply_many(platform, lost)
        head = await heads.read_head(platform)
        content = await store.read_content(platform, head.revision)
        platform.objects = backup
        await heads.restore(platform, older, head.chain, content)
        restored = await heads.read_head(platform)
        assert restored.revision == head.revision
        assert await store.read_content(platform, head.revision) == content
        found = [entry async for entry in audit.iter_newest_first(platform, restored.chain, 1)]
        assert len(found) == CHANGE_COUNT
        await apply_many(platform, 3)
        with pytest.raises(Conflict):
            await heads.restore(platform, older, head.chain, content)
        with pytest.raises(Conflict if lost == 1 else ContentError):
            await heads.restore(platform, older, (head.revision,), content)

    curio.run(main)
