"""Commits claims by batching the changes of a shard into conditional writes of its head object.

Changes are sent to the router that rendezvous hashing prefers for the shard, so that they share
writes and seldom conflict. Correctness does not depend on it: any router may write any shard, and
only the conditional write decides.
"""

from dataclasses import dataclass, field

import curio
import msgspec
import xxhash

from .. import defaults
from ..decisions.claims import Action, Change, Claim, Head, Outcome, Segment, Shard, Write
from ..events import Event, log
from ..exceptions import Conflict, ConnectionLost, Kind, LostReply, PlatformError, RequestError
from ..http import Exchange
from ..node import pages
from ..records import Member

KIND = "claims"
PATH = "/claims"
ROUTER_ROLE = "router"


@dataclass(slots=True)
class PendingChange:
    """A change that is queued for the next write of its shard.

    :param event: set when either `claim` or `error` is.
    :param claim: the claim in force for the key after the write.
    """

    change: Change
    event: curio.Event = field(default_factory=curio.Event)
    claim: Claim | None = None
    error: RequestError | None = None


@dataclass(slots=True)
class ShardQueue:
    """The queued changes of one shard.

    :param outcomes: outcomes to record, for which no request waits.
    :param running: whether a task is writing the shard.
    :param last_write_at: monotonic time in seconds of the last write attempt.
    """

    shard: Shard
    pending: list[PendingChange] = field(default_factory=list)
    outcomes: list[Change] = field(default_factory=list)
    running: bool = False
    last_write_at: float = 0.0


def unavailable(detail: str) -> RequestError:
    """Return the error of a guarded request for which no claim could be recorded."""
    return RequestError(Kind.CLAIMS_UNAVAILABLE, detail)


def shard_of(key: bytes) -> int:
    """Return the shard number of a key."""
    return int.from_bytes(key[:4], "big") % defaults.CLAIM_SHARDS


def preferred_router(members: list[Member], shard: int) -> Member | None:
    """Return the router that writes a shard by rendezvous hashing; None without live routers."""
    routers = [member for member in members if member.role == ROUTER_ROLE]
    return max(
        routers,
        key=lambda member: xxhash.xxh3_64_intdigest(f"{shard}\x00{member.name}".encode()),
        default=None,
    )


def max_retention(env) -> float:
    """Return the longest retention of all never-repeat rules in seconds."""
    guards = env.fleet.guards if env.fleet else ()
    return max((guard.retention for guard in guards), default=defaults.CLAIM_RETENTION_SECONDS)


async def read_shard(platform, number: int) -> tuple[int, Head]:
    """Return object version and head of a shard; version 0 and an empty head if not stored."""
    entry = await platform.get(KIND, f"head-{number}")
    if entry.version == 0:
        return 0, Head()
    return entry.version, msgspec.msgpack.decode(entry.value, type=Head)


async def read_segment(platform, shard: int, name: str) -> Segment:
    """Return a sealed segment.

    :raises PlatformError: if it is missing or the object API cannot be reached.
    """
    entry = await platform.get(KIND, f"segment-{shard}-{name}")
    if entry.version == 0:
        raise PlatformError(f"segment {name} of shard {shard} is missing")
    return msgspec.msgpack.decode(entry.value, type=Segment)


class Claims:
    """Commits changes of claims for this router and its peers.

    :param env: environment of the process.
    """

    def __init__(self, env):
        self.env = env
        self.queues = [
            ShardQueue(
                Shard(
                    defaults.CLAIMS_PER_SEGMENT,
                    defaults.MAX_CLAIM_SEGMENTS,
                    defaults.CLAIM_RETENTION_SECONDS,
                )
            )
            for _ in range(defaults.CLAIM_SHARDS)
        ]
        env.timers.subscribe("outcomes", defaults.OUTCOME_FLUSH_SECONDS, self.flush)

    async def settle(self, change: Change, deadline: float) -> Claim:
        """Commit a change and return the claim that is then in force for its key.

        :param deadline: monotonic time in seconds.
        :raises RequestError: if no claim can be recorded by then.
        """
        try:
            remaining = max(0.0, deadline - self.env.clock())
            async with curio.timeout_after(remaining):
                claim = await self.commit_at_preferred(change)
                return claim or await self.commit(change)
        except curio.TaskTimeout:
            raise unavailable("the claim was not recorded before the deadline") from None

    async def commit_at_preferred(self, change: Change) -> Claim | None:
        """Let the preferred router commit; None if it is this one or does not respond with 200."""
        member = preferred_router(self.env.live_members(), shard_of(change.claim.key))
        if member is None or member.name == self.env.settings.vm:
            return None
        body = msgspec.msgpack.encode(change)
        try:
            async with curio.timeout_after(defaults.PEER_TIMEOUT_SECONDS):
                status, _, content = await self.env.client.fetch(
                    member.address, member.port, "POST", PATH, body=body
                )
        except (ConnectionLost, curio.TaskTimeout):
            return None
        if status != 200:
            return None
        return msgspec.msgpack.decode(content, type=Claim)

    async def commit(self, change: Change) -> Claim:
        """Commit a change from this router, batched with others of its shard.

        :raises RequestError: if the queue is full, the shard is full, or the write failed.
        """
        number = shard_of(change.claim.key)
        queue = self.queues[number]
        if len(queue.pending) >= defaults.MAX_QUEUED_CLAIMS:
            raise unavailable("too many claims are waiting")
        pending_change = PendingChange(change)
        queue.pending.append(pending_change)
        if not queue.running:
            queue.running = True
            await curio.spawn(self.run_queue, number, daemon=True)
        await pending_change.event.wait()
        if pending_change.error is not None:
            raise pending_change.error
        return pending_change.claim

    def record(self, claim: Claim, outcome: Outcome) -> None:
        """Queue the outcome of a claim's attempt for the next write, unless the queue is full."""
        finished = msgspec.structs.replace(claim, outcome=outcome.value)
        queue = self.queues[shard_of(claim.key)]
        if len(queue.outcomes) < defaults.MAX_QUEUED_CLAIMS:
            queue.outcomes.append(Change(Action.RECORD.value, finished))

    async def flush(self) -> None:
        """Write queued outcomes of shards that have no write under way."""
        for number, queue in enumerate(self.queues):
            if queue.outcomes and not queue.running:
                queue.running = True
                await self.run_queue(number)

    async def run_queue(self, number: int) -> None:
        """Write a shard, at a limited rate, until no change is queued."""
        queue = self.queues[number]
        interval = defaults.CLAIM_SHARDS / defaults.CLAIM_WRITES_PER_SECOND
        try:
            while True:
                await curio.sleep(max(0.0, queue.last_write_at + interval - self.env.clock()))
                await self.run_batch(number, queue)
                if not queue.pending:
                    return
        finally:
            queue.running = False

    async def run_batch(self, number: int, queue: ShardQueue) -> None:
        """Commit all queued changes in one write and wake the tasks that wait for them.

        After a failure these get an error, and outcomes are queued again.
        """
        pending, queue.pending = queue.pending, []
        outcomes, queue.outcomes = queue.outcomes, []
        changes = [*outcomes, *(pending_change.change for pending_change in pending)]
        try:
            results = await self.write_changes(number, queue, changes)
        except (PlatformError, ConnectionLost, msgspec.DecodeError) as error:
            log(Event.CLAIMS_FAILED, f"shard {number}: {error}", 30)
            queue.shard.invalidate()
            queue.outcomes = (outcomes + queue.outcomes)[: defaults.MAX_QUEUED_CLAIMS]
            await fail_all(pending, str(error))
            return
        for pending_change, claim in zip(pending, results[len(outcomes) :], strict=True):
            pending_change.claim = claim
            if claim is None:
                pending_change.error = unavailable("the shard of this key is full")
            await pending_change.event.set()

    async def write_changes(self, number: int, queue: ShardQueue, changes: list[Change]):
        """Write changes and return the claim in force for each, None if the shard is full.

        :raises PlatformError: if the shard could not be read or written.
        """
        shard = queue.shard
        shard.retention = max_retention(self.env)
        for _ in range(defaults.MAX_CLAIM_WRITE_ATTEMPTS):
            if not shard.is_loaded():
                await self.load(number, shard)
            write = shard.prepare_write(changes, self.env.clock())
            if not write.needed:
                return write.results
            queue.last_write_at = self.env.clock()
            try:
                await self.put(number, shard, write)
            except (Conflict, LostReply):  # The reload shows which write was stored.
                shard.invalidate()
                continue
            return write.results
        raise PlatformError(f"shard {number} could not be written")

    async def load(self, number: int, shard: Shard) -> None:
        """Load a shard's head, and the segments that are not in memory, from the object API."""
        version, head = await read_shard(self.env.platform, number)
        segments = {
            missing: await read_segment(self.env.platform, number, head.segment_name(missing))
            for missing in shard.missing_segments(head)
        }
        shard.load(head, version, segments, self.env.clock())

    async def put(self, number: int, shard: Shard, write: Write) -> None:
        """Store the sealed segment, then the head that refers to it; delete retired segments."""
        platform = self.env.platform
        if write.sealed_segment is not None:
            await self.store_segment(number, write)
        value = msgspec.msgpack.encode(write.head)
        entry = await platform.put(KIND, f"head-{number}", value, write.base)
        for retired in shard.commit(write, entry.version, self.env.clock()):
            await self.delete_segment(f"segment-{number}-{retired}")

    async def store_segment(self, number: int, write: Write) -> None:
        """Store a sealed segment.

        Its name contains its digest, so an object that exists already must be equal.
        """
        name = f"segment-{number}-{write.head.segment_name(write.head.next_segment - 1)}"
        value = msgspec.msgpack.encode(write.sealed_segment)
        try:
            await self.env.platform.put(KIND, name, value, 0)
        except (Conflict, LostReply):
            stored = await self.env.platform.get(KIND, name)
            if stored.value != value:
                raise PlatformError(f"{name} was not stored") from None

    async def delete_segment(self, name: str) -> None:
        """Delete a segment that no head refers to; a failure is logged and leaves it in place."""
        try:
            stored = await self.env.platform.get(KIND, name)
            await self.env.platform.delete(KIND, name, stored.version)
        except PlatformError as error:
            log(Event.CLAIMS_FAILED, f"retired {name} was not deleted: {error}")


async def fail_all(pending: list[PendingChange], detail: str) -> None:
    """Fail all pending changes; none of their requests has been sent to an endpoint."""
    for pending_change in pending:
        pending_change.error = unavailable(detail)
        await pending_change.event.set()


@pages.register(PATH)
async def page(env, exchange: Exchange) -> None:
    """Commit a peer's change and respond with the claim in force."""
    if env.claims is None:
        raise RequestError(Kind.NOT_FOUND)
    try:
        change = msgspec.msgpack.decode(await exchange.body(), type=Change)
    except msgspec.DecodeError as error:
        raise RequestError(Kind.BAD_REQUEST, str(error)) from None
    claim = await env.claims.commit(change)
    await exchange.respond(200, body=msgspec.msgpack.encode(claim))
