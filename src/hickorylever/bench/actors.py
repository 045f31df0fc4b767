"""Actors of the claim simulation: store, sidecars, routers and messages in transit."""

import collections
from dataclasses import dataclass, field

from ..decisions.attempts import AttemptTable
from ..decisions.claims import Head, Segment, Shard, Write
from ..decisions.guarded import AttemptEnd, GuardedCallFlow
from ..decisions.outcomes import ExecutionEvidence
from ..exceptions import Ran
from ..records import Attempt

TOMBSTONE_LIFETIME_SECONDS = 600.0


class Store:
    """Simulated object store: the head and segments of one shard, written conditionally."""

    def __init__(self):
        self.version = 0
        self.head = Head()
        self.segments: dict[str, Segment] = {}
        self.outage = False
        self.writes = 0

    def put(self, write: Write) -> bool:
        """Apply a write if the head is still at its base version; return whether it did."""
        if write.sealed_segment is not None:
            self.writes += 1
            self.segments[write.head.segment_name(write.head.next_segment - 1)] = (
                write.sealed_segment
            )
        self.writes += 1
        if write.base != self.version:
            return False
        self.version += 1
        self.head = write.head
        return True

    def load(self, shard: Shard, now: float) -> None:
        """Load the stored head and the missing segments into `shard`."""
        names = {
            number: self.head.segment_name(number) for number in shard.missing_segments(self.head)
        }
        segments = {number: self.segments[name] for number, name in names.items()}
        shard.load(self.head, self.version, segments, now)


@dataclass(eq=False, slots=True)
class Call:
    """One request submitted by a caller.

    :param reported_ran: the execution state reported to the caller, None until the call ends.
    """

    router: "Router"
    key: bytes
    flow: GuardedCallFlow | None
    evidence: ExecutionEvidence = ExecutionEvidence()
    attempt: Attempt | None = None
    proposal: Attempt | None = None
    connection: int = 0
    reported_ran: Ran | None = None
    attempt_ids: set[str] = field(default_factory=set)
    proposal_count: int = 0


@dataclass(eq=False, slots=True)
class Message:
    """A message in transit between a router and a sidecar.

    :param is_duplicate: whether this is a duplicate, whose reply is discarded.
    """

    kind: str
    call: Call
    attempt: Attempt
    connection: int
    is_duplicate: bool = False
    reply: AttemptEnd | None = None


@dataclass(eq=False, slots=True)
class PendingWrite:
    """A write in transit to the store, with the calls that wait for it."""

    router: "Router"
    write: Write
    calls: list[Call]


class Sidecar:
    """A sidecar's attempt table and the attempts running at its endpoint."""

    def __init__(self, name: str, incarnation: str):
        self.name = name
        self.restart(incarnation)

    def restart(self, incarnation: str) -> None:
        """Restart with empty state under a new incarnation."""
        self.table = AttemptTable(incarnation, TOMBSTONE_LIFETIME_SECONDS)
        self.live: dict[str, Message] = {}
        self.retained: set[str] = set()
        self.waiting: dict[str, list[Message]] = collections.defaultdict(list)


class Router:
    """A router's cached state of the sidecars and the shard."""

    def __init__(self, name: str):
        self.name = name
        self.restart()

    def restart(self) -> None:
        """Restart with empty state."""
        self.known_sidecars: dict[str, tuple[str, float]] = {}
        self.shard = Shard(segment_claims=50, max_segments=1 << 30, retention=float("inf"))
        self.waiting: list[Call] = []
        self.pending_write: PendingWrite | None = None
