"""Commits claims: groups the changes of a shard into conditional writes of its head.

A shard's changes go to the router that rendezvous hashing prefers, so that few writes carry them.
Any router may write any shard: only the conditional write decides.
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
class Waiter:
    """A change that waits for its shard's next write."""

    change: Change
    event: curio.Event = field(default_factory=curio.Event)
    claim: Claim | None = None
    error: RequestError | None = None


@dataclass(slots=True)
class Queue:
    """One shard's changes, and outcomes that go with the next write."""

    shard: Shard
    waiters: list[Waiter] = field(default_factory=list)
    outcomes: list[Change] = field(default_factory=list)
    running: bool = False
    written: float = 0.0


def unavailable(detail: str) -> RequestError:
    """Return the refusal of a guarded request that has no claim."""
    return RequestError(Kind.CLAIMS_UNAVAILABLE, detail)


def shard_of(key: bytes) -> int:
    """Return the number of a key's shard."""
    return int.from_bytes(key[:4], "big") % defaults.CLAIM_SHARDS


def preferred(members: list[Member], shard: int) -> Member | None:
    """Return the router that should write a shard, by rendezvous hashing."""
    routers = [member for member in members if member.role == ROUTER_ROLE]
    return max(
        routers,
        key=lambda member: xxhash.xxh3_64_intdigest(f"{shard}\x00{member.name}".encode()),
        default=None,
    )


def retention(env) -> float:
    """Return the longest retention of the rules in seconds."""
    guards = env.fleet.guards if env.fleet else ()
    return max((guard.retention for guard in guards), default=defaults.CLAIM_RETENTION_SECONDS)


async def read_shard(platform, number: int) -> tuple[int, Head]:
    """Return version and head of a shard."""
    entry = await platform.get(KIND, f"head-{number}")
    if entry.version == 0:
        return 0, Head()
    return entry.version, msgspec.msgpack.decode(entry.value, type=Head)


async def read_segment(platform, shard: int, name: str) -> Segment:
    """Return a sealed segment."""
    entry = await platform.get(KIND, f"segment-{shard}-{name}")
    if entry.version == 0:
        raise PlatformError(f"segment {name} of shard {shard} is missing")
    return msgspec.msgpack.decode(entry.value, type=Segment)


class Claims:
    """Commits changes for this router and for its peers.

    :param env: the process's environment.
    """

    def __init__(self, env):
        self.env = env
        self.queues = [
            Queue(
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
        """Return the claim in force for the change's key once that is committed.

        :raises RequestError: when no claim can be recorded.
        """
        try:
            remaining = max(0.0, deadline - self.env.clock())
            async with curio.timeout_after(remaining):
                claim = await self.ask_preferred(change)
                return claim or await self.commit(change)
        except curio.TaskTimeout:
            raise unavailable("the claim was not recorded before the deadline") from None

    async def ask_preferred(self, change: Change) -> Claim | None:
        """Let the preferred router commit; None when it is this one or does not answer."""
        member = preferred(self.env.live_members(), shard_of(change.claim.key))
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
        """Commit a change here, together with others of its shard."""
        number = shard_of(change.claim.key)
        queue = self.queues[number]
        if len(queue.waiters) >= defaults.MAX_QUEUED_CLAIMS:
            raise unavailable("too many claims are waiting")
        waiter = Waiter(change)
        queue.waiters.append(waiter)
        if not queue.running:
            queue.running = True
            await curio.spawn(self.run_queue, number, daemon=True)
        await waiter.event.wait()
        if waiter.error is not None:
            raise waiter.error
        return waiter.claim

    def record(self, claim: Claim, outcome: Outcome) -> None:
        """Record what became of a claim's attempt with the shard's next write."""
        done = msgspec.structs.replace(claim, outcome=outcome.value)
        queue = self.queues[shard_of(claim.key)]
        if len(queue.outcomes) < defaults.MAX_QUEUED_CLAIMS:
            queue.outcomes.append(Change(Action.RECORD.value, done))

    async def flush(self) -> None:
        """Write outcomes that no claim has carried along."""
        for number, queue in enumerate(self.queues):
            if queue.outcomes and not queue.running:
                queue.running = True
                await self.run_queue(number)

    async def run_queue(self, number: int) -> None:
        """Write a shard until nothing waits."""
        queue = self.queues[number]
        pause = defaults.CLAIM_SHARDS / defaults.CLAIM_WRITES_PER_SECOND
        try:
            while True:
                await curio.sleep(max(0.0, queue.written + pause - self.env.clock()))
                await self.run_batch(number, queue)
                if not queue.waiters:
                    return
        finally:
            queue.running = False

    async def run_batch(self, number: int, queue: Queue) -> None:
        """Commit everything that waits now, and tell each waiter."""
        waiters, queue.waiters = queue.waiters, []
        outcomes, queue.outcomes = queue.outcomes, []
        changes = [*outcomes, *(waiter.change for waiter in waiters)]
        try:
            results = await self.write_changes(number, queue, changes)
        except (PlatformError, ConnectionLost, msgspec.DecodeError) as error:
            log(Event.CLAIMS_FAILED, f"shard {number}: {error}", 30)
            queue.shard.invalidate()
            queue.outcomes = (outcomes + queue.outcomes)[: defaults.MAX_QUEUED_CLAIMS]
            await fail(waiters, str(error))
            return
        for waiter, claim in zip(waiters, results[len(outcomes) :], strict=True):
            waiter.claim = claim
            if claim is None:
                waiter.error = unavailable("the shard of this key is full")
            await waiter.event.set()

    async def write_changes(self, number: int, queue: Queue, changes: list[Change]):
        """Return the claim in force for each change, None where the shard is full.

        :raises PlatformError: when that can't be told now.
        """
        shard = queue.shard
        shard.retention = retention(self.env)
        for _ in range(defaults.MAX_CLAIM_WRITE_ATTEMPTS):
            if not shard.is_loaded():
                await self.load(number, shard)
            write = shard.prepare_write(changes, self.env.clock())
            if not write.needed:
                return write.results
            queue.written = self.env.clock()
            try:
                await self.put(number, shard, write)
            except (Conflict, LostReply):  # What was stored is found by reading again.
                shard.invalidate()
                continue
            return write.results
        raise PlatformError(f"shard {number} could not be written")

    async def load(self, number: int, shard: Shard) -> None:
        """Read the stored state of a shard."""
        version, head = await read_shard(self.env.platform, number)
        segments = {
            missing: await read_segment(self.env.platform, number, head.segment_name(missing))
            for missing in shard.missing_segments(head)
        }
        shard.load(head, version, segments, self.env.clock())

    async def put(self, number: int, shard: Shard, write: Write) -> None:
        """Store a write: the sealed segment first, then the head that refers to it."""
        platform = self.env.platform
        if write.sealed_segment is not None:
            await self.seal(number, write)
        value = msgspec.msgpack.encode(write.head)
        entry = await platform.put(KIND, f"head-{number}", value, write.base)
        for retired in shard.commit(write, entry.version, self.env.clock()):
            await self.drop(f"segment-{number}-{retired}")

    async def seal(self, number: int, write: Write) -> None:
        """Store a sealed segment; its name has its digest, so it may stand there already."""
        name = f"segment-{number}-{write.head.segment_name(write.head.next_segment - 1)}"
        value = msgspec.msgpack.encode(write.sealed_segment)
        try:
            await self.env.platform.put(KIND, name, value, 0)
        except (Conflict, LostReply):
            stored = await self.env.platform.get(KIND, name)
            if stored.value != value:
                raise PlatformError(f"{name} was not stored") from None

    async def drop(self, name: str) -> None:
        """Delete a segment that no head refers to; a failure only leaves it behind."""
        try:
            stored = await self.env.platform.get(KIND, name)
            await self.env.platform.delete(KIND, name, stored.version)
        except PlatformError as error:
            log(Event.CLAIMS_FAILED, f"{name} was not deleted: {error}")


async def fail(waiters: list[Waiter], detail: str) -> None:
    """Refuse every waiter; none of them has been handed over."""
    for waiter in waiters:
        waiter.error = unavailable(detail)
        await waiter.event.set()


@pages.register(PATH)
async def page(env, exchange: Exchange) -> None:
    """Commit a peer's change and answer with the claim in force."""
    if env.claims is None:
        raise RequestError(Kind.NOT_FOUND)
    try:
        change = msgspec.msgpack.decode(await exchange.body(), type=Change)
    except msgspec.DecodeError as error:
        raise RequestError(Kind.BAD_REQUEST, str(error)) from None
    claim = await env.claims.commit(change)
    await exchange.respond(200, body=msgspec.msgpack.encode(claim))
