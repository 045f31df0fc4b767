"""The parts of the fake world: a store, sidecars, routers, and what is under way between them."""

import collections
from dataclasses import dataclass, field

from ..decisions.attempts import AttemptTable
from ..decisions.claims import Head, Segment, Shard, Write
from ..decisions.guarded import AttemptEnd, GuardedCallFlow
from ..decisions.outcomes import ExecutionEvidence
from ..exceptions import Ran
from ..records import Attempt

LIFETIME = 600.0


class Store:
    """The object API's part: one shard's head and its segments, written conditionally."""

    def __init__(self):
        self.version = 0
        self.head = Head()
        self.segments: dict[str, Segment] = {}
        self.outage = False
        self.writes = 0

    def put(self, write: Write) -> bool:
        """Store a write if the head still has its base version."""
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
        """Let a shard read what is stored."""
        names = {
            number: self.head.segment_name(number) for number in shard.missing_segments(self.head)
        }
        segments = {number: self.segments[name] for number, name in names.items()}
        shard.load(self.head, self.version, segments, now)


@dataclass(eq=False, slots=True)
class Call:
    """One submission by a caller.

    :param told: what the caller was told about the execution, None while it waits.
    """

    router: "Router"
    key: bytes
    flow: GuardedCallFlow | None
    facts: ExecutionEvidence = ExecutionEvidence()
    attempt: Attempt | None = None
    proposal: Attempt | None = None
    connection: int = 0
    told: Ran | None = None
    tried: set[str] = field(default_factory=set)
    proposals: int = 0


@dataclass(eq=False, slots=True)
class Message:
    """Something on its way between a router and a sidecar.

    :param copy: a duplicate; nobody waits for its reply.
    """

    kind: str
    call: Call
    attempt: Attempt
    connection: int
    copy: bool = False
    reply: AttemptEnd | None = None


@dataclass(eq=False, slots=True)
class Flight:
    """A write on its way to the store, with the calls that wait for it."""

    router: "Router"
    write: Write
    calls: list[Call]


class Sidecar:
    """A sidecar's table with the attempts that run behind it."""

    def __init__(self, name: str, incarnation: str):
        self.name = name
        self.restart(incarnation)

    def restart(self, incarnation: str) -> None:
        """Start again and know nothing."""
        self.table = AttemptTable(incarnation, LIFETIME)
        self.live: dict[str, Message] = {}
        self.kept: set[str] = set()
        self.waiting: dict[str, list[Message]] = collections.defaultdict(list)


class Router:
    """A router's view of the sidecars and of the shard."""

    def __init__(self, name: str):
        self.name = name
        self.restart()

    def restart(self) -> None:
        """Start again and know nothing."""
        self.known: dict[str, tuple[str, float]] = {}
        self.shard = Shard(segment_claims=50, max_segments=1 << 30, retention=float("inf"))
        self.waiting: list[Call] = []
        self.flight: Flight | None = None
