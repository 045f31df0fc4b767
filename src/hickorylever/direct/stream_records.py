"""Records of streams in the store, so that streams go on after the end of all routers.

The two live routers with the lowest rank are the writers. The others report to them each stream
that begins while its service may have several software versions. A writer keeps its records in
segments: objects that are created once, never changed, and deleted when the time limits of all
their streams have passed. The number of calls of the store depends on neither the number of
routers nor that of streams, but only on the time in which streams begin.
"""

import contextlib
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import curio
import msgspec

from ..decoding import DECODE_ERRORS
from ..events import Event, log
from ..exceptions import Conflict, HickoryleverError
from .peer_table import Peer, PeerTable
from .records import StoredObject
from .streams import StreamTable, StreamUpdate

WRITER_COUNT = 2  # So that a report that one of them loses, or its end, loses no stream.
WRITE_INTERVAL_SECONDS = 0.2  # Between two writes of a router.
POLL_SECONDS = 0.02  # A report is written so soon if no other write was made lately.
RETRY_SECONDS = 0.5  # After a failed call of the store.
MAX_RECORDS_PER_SEGMENT = 8192  # At about 60 bytes each, half of the store's limit of 1 MB.
MAX_SEGMENTS = 32  # Of one router; more are merged into one, so that lists stay short.
DELETES_PER_WRITE = 2  # So that merged segments are not deleted in one burst.
MAX_STORED_SECONDS = 602  # `resumption.UNLIMITED_STREAM_SECONDS` with margins for rounding up.
SEGMENT_PREFIX = "streams-"


Count = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]


class StoredStream(msgspec.Struct, array_like=True, frozen=True):
    """A stream in a segment.

    :param key: see :func:`.stream_key`, in hexadecimal, as not all JSON parsers keep 64 bits.
    :param endpoint: hash of the name of the endpoint that wrote its first event.
    :param version: of that endpoint's software.
    :param seconds_left: time for which its caller could still take it up at the time of the write.
    :param opened_ms: see :class:`.StreamRecord`.
    """

    key: Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{1,16}$")]
    endpoint: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    version: str
    seconds_left: Count
    opened_ms: Count = 0


class StoredSegment(msgspec.Struct):
    """Spec of a segment's object.

    :param writer: IP address of the router that wrote it.
    :param streams: encoded :class:`StoredStream` documents, decoded one by one.
    """

    writer: str
    streams: list[msgspec.Raw]


@dataclass(frozen=True, slots=True)
class Segment:
    """A segment that the store holds.

    :param writer: IP address of the router that wrote it.
    :param keys: of its streams.
    :param expires_at: monotonic seconds at which the time limits of all its streams have passed.
    """

    writer: str
    keys: tuple[int, ...]
    expires_at: float


def is_writer(rank: int, alive: Iterable[Peer]) -> bool:
    """Return whether a router of this rank is one of the writers."""
    return sum(peer.rank < rank for peer in alive) < WRITER_COUNT


def other_writers(rank: int, alive: Iterable[Peer]) -> list[Peer]:
    """Return the writers beside a router of this rank itself."""
    ranked = sorted(alive, key=lambda peer: peer.rank)[:WRITER_COUNT]
    lower = [peer for peer in ranked if peer.rank < rank]
    return lower if len(lower) == WRITER_COUNT else ranked[: WRITER_COUNT - 1]


class StreamRecords:
    """Loads the stored records of streams, and writes them if this router is a writer.

    :param node: the components of this router.
    :param peers: table of the other routers.
    :param rank: rank of this router.
    :param table: the streams that this router knows.
    :param on_new_writer: called when another router becomes a writer, or this one does.
    :ivar pending: keys of streams that no segment of this router holds yet, in order.
    :ivar segments: segments in the store, whoever wrote them, by name.
    :ivar discarded: names of segments to delete.
    :ivar writing: whether this router is a writer, as of the last check.
    :ivar writers: IP addresses of the writers, as of the last check.
    :ivar next_check: monotonic seconds of the next check.
    :ivar number: of the latest segment that this router named.
    :ivar era: latest known era of the store; 0 before the first.
    :ivar unconfirmed: name and keys of a segment that may have been written.
    :ivar listed: whether the segments have been listed since this router became a writer.
    :ivar loaded: set once the records were loaded after the start.
    """

    def __init__(self, node, peers: PeerTable, rank: int, table: StreamTable, on_new_writer):
        self.node = node
        self.peers = peers
        self.rank = rank
        self.table = table
        self.on_new_writer = on_new_writer
        self.writers: set[str] = set()
        self.pending: dict[int, None] = {}
        self.segments: dict[str, Segment] = {}
        self.discarded: list[str] = []
        self.unconfirmed: tuple[str, list[int]] | None = None
        self.writing = False
        self.next_check = 0.0
        self.number = 0
        self.era = 0
        self.listed = False
        self.loaded = curio.Event()

    async def run(self) -> None:
        """Write reported streams and delete expired segments until cancelled."""
        while True:
            try:
                wrote = await self.step(time.monotonic())
                await curio.sleep(WRITE_INTERVAL_SECONDS if wrote else POLL_SECONDS)
            except HickoryleverError as error:
                log(Event.STORE_LOST, str(error), kind="streams", position="")
                await curio.sleep(RETRY_SECONDS)

    def add(self, keys: Iterable[int]) -> None:
        """Record streams that began, for the next write, if this router is a writer."""
        if self.writing:
            self.pending.update(dict.fromkeys(keys))

    async def step(self, now: float) -> bool:
        """Make the calls that are due and return whether there were any.

        :raises HickoryleverError: if one of them fails.
        """
        if now >= self.next_check or self.pending:
            self.next_check = now + WRITE_INTERVAL_SECONDS
            self.check(now)
        if not (self.pending or self.unconfirmed or self.discarded):
            return False
        if self.pending or self.unconfirmed:
            if not self.listed:
                await self.list_segments()
            await self.write()
        await self.delete_discarded()
        return True

    def check(self, now: float) -> None:
        """Find out whether this router is a writer, and which segments have expired."""
        alive = self.peers.alive(now)
        self.writing = is_writer(self.rank, alive)
        writers = {peer.address for peer in other_writers(self.rank, alive)}
        if self.writing:
            writers.add(self.node.settings.address)
        if writers - self.writers:
            self.on_new_writer()
        self.writers = writers
        if not self.writing:
            self.pending.clear()
            self.listed = False
        others = {peer.address for peer in alive}
        self.check_era(others)
        self.discard_expired(others, now)

    def check_era(self, others: set[str]) -> None:
        """Write the records again after the store was restored, since the copy may lack them.

        :param others: IP addresses of the other live routers.
        """
        era = self.node.peer_sync.registration.known_era()
        if era == self.era:
            return
        if self.era:
            for segment in self.segments.values():
                if segment.writer not in others:
                    self.pending.update(dict.fromkeys(segment.keys))
            self.segments.clear()
            self.discarded.clear()
            self.listed = False
        self.era = era

    async def list_segments(self) -> None:
        """List the segments that were written before this router became a writer."""
        listing = await self.node.store.list_kind(self.node.codec.ROUTERS)
        await self.load(listing.objects, time.monotonic())

    async def write(self) -> None:
        """Write the pending streams as a new segment, merged with earlier ones if they are many.

        A segment that may have been written already is written again under the same name.
        """
        now = time.monotonic()
        merged: list[str] = []
        if self.unconfirmed is None:
            merged = self.segments_to_merge()
            keys = [key for name in merged for key in self.segments[name].keys]
            keys += self.pending
            self.unconfirmed = self.next_name(), keys[:MAX_RECORDS_PER_SEGMENT]
        name, keys = self.unconfirmed
        updates = [update for key in keys if (update := self.table.update(key, now)) is not None]
        if updates:
            await self.create_segment(name, updates, now)
        self.unconfirmed = None
        for key in keys:
            self.pending.pop(key, None)
        for merged_name in merged:
            del self.segments[merged_name]
        self.discarded += merged

    async def create_segment(self, name: str, updates: list[StreamUpdate], now: float) -> None:
        """Create a segment in the store unless an earlier try has done so."""
        address = self.node.settings.address
        spec = StoredSegment(address, [encode_stream(update) for update in updates])
        with contextlib.suppress(Conflict):
            await self.node.store.create(self.node.codec.ROUTERS, name, spec)
        keys = tuple(update.key for update in updates)
        lifetime = max(update.seconds_left for update in updates)
        self.segments[name] = Segment(address, keys, now + lifetime)
        log(Event.STREAMS_STORED, name, streams=len(updates))
        self.node.metrics.stream_segments.inc({"result": "written"})

    def segments_to_merge(self) -> list[str]:
        """Return the names of this router's segments if there are many and they fit into one."""
        address = self.node.settings.address
        own = [name for name, segment in self.segments.items() if segment.writer == address]
        count = sum(len(self.segments[name].keys) for name in own) + len(self.pending)
        return own if len(own) >= MAX_SEGMENTS and count <= MAX_RECORDS_PER_SEGMENT else []

    def next_name(self) -> str:
        """Return a name that no other segment has had."""
        self.number += 1
        address = self.node.settings.address.replace(".", "-")
        return f"{SEGMENT_PREFIX}{address}-{self.node.peer_sync.incarnation:x}-{self.number}"

    def discard_expired(self, others: set[str], now: float) -> None:
        """Discard expired segments of this router and, as a writer, those of routers that ended.

        :param others: IP addresses of the other live routers.
        """
        own = self.node.settings.address
        for name, segment in list(self.segments.items()):
            if segment.expires_at > now:
                continue
            if segment.writer == own or (self.writing and segment.writer not in others):
                self.discarded.append(name)
            del self.segments[name]

    async def delete_discarded(self) -> None:
        """Delete some of the discarded segments."""
        for _ in range(min(DELETES_PER_WRITE, len(self.discarded))):
            await self.node.store.delete(self.node.codec.ROUTERS, self.discarded[0])
            self.discarded.pop(0)

    async def load(self, objects: Iterable[StoredObject], now: float) -> None:
        """Load the stored records; malformed objects are logged and left out.

        How old they are is not known here. Their streams are remembered for too long rather than
        too short, which does no harm.
        """
        count = 0
        for stored in objects:
            if not stored.name.startswith(SEGMENT_PREFIX) or stored.name in self.segments:
                continue
            try:
                segment = msgspec.json.decode(stored.spec, type=StoredSegment)
            except DECODE_ERRORS as error:
                log(Event.OBJECT_REJECTED, f"segment {stored.name!r}: {error}")
                continue
            updates = decode_streams(segment)
            for update in updates:
                count += self.table.get(update.key, now) is None
                self.table.load(update, now)
            lifetime = max((update.seconds_left for update in updates), default=0)
            keys = tuple(update.key for update in updates)
            self.segments[stored.name] = Segment(segment.writer, keys, now + lifetime)
        self.listed = True
        if count:
            log(Event.STREAMS_LOADED, f"{count} streams", streams=count)
        await self.loaded.set()


def encode_stream(update: StreamUpdate) -> msgspec.Raw:
    """Return a stream as a segment holds it."""
    stored = StoredStream(
        f"{update.key:x}", update.endpoint, update.version, update.seconds_left, update.opened_ms
    )
    return msgspec.Raw(msgspec.json.encode(stored))


def decode_streams(segment: StoredSegment) -> list[StreamUpdate]:
    """Return the streams of a segment; malformed ones are left out."""
    updates = []
    for raw in segment.streams:
        with contextlib.suppress(*DECODE_ERRORS):
            stored = msgspec.json.decode(raw, type=StoredStream)
            updates.append(
                StreamUpdate(
                    int(stored.key, 16),
                    stored.endpoint,
                    stored.version,
                    min(stored.seconds_left, MAX_STORED_SECONDS),
                    stored.opened_ms,
                )
            )
    return updates
