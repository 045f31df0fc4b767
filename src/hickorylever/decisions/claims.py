"""Claims on guarded requests: one shard's log, its changes and the writes that commit them.

A shard is a head object, written only conditionally, and sealed segments behind it. The head holds
the newest records; when they are too many they move into a segment and the head starts afresh.
The record of a key that was appended last is in force.
"""

import enum
from dataclasses import dataclass, field

import msgspec
import xxhash


class Outcome(enum.StrEnum):
    """What is recorded of a claim's attempt."""

    OPEN = "open"
    RAN = "ran"
    UNKNOWN = "unknown"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The right of one attempt to run a guarded request.

    :param key: digest of client account and Idempotency-Key.
    :param fingerprint: digest of the request.
    :param stamp: of the attempt, in its sidecar's seconds.
    :param generation: counts the attempts for this key from 1.
    """

    key: bytes
    fingerprint: bytes
    attempt: str
    endpoint: str
    incarnation: str
    stamp: float
    generation: int = 1
    outcome: str = Outcome.OPEN.value


class Action(enum.StrEnum):
    """What a change wants."""

    CLAIM = "claim"
    TAKE_OVER = "take_over"
    RECORD = "record"


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A wanted change of one key.

    :param expected: the attempt that :attr:`Action.TAKE_OVER` replaces; it has a tombstone.
    """

    action: str
    claim: Claim
    expected: str = ""


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The head object of a shard.

    :param first: number of the oldest sealed segment that is kept.
    :param number: of the segment that the head's own records will become.
    :param ages: seconds since each kept segment was sealed, at least.
    :param digests: of the kept segments; part of their names, so that a segment never changes.
    """

    first: int = 0
    number: int = 0
    ages: list[float] = []
    digests: list[str] = []
    claims: list[Claim] = []

    def name(self, number: int) -> str:
        """Return the name of a sealed segment within its shard."""
        return f"{number}-{self.digests[number - self.first]}"


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """A sealed segment."""

    claims: list[Claim]

    def digest(self) -> str:
        """Return the digest of the content."""
        return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(self))


def may_claim(current: Claim | None, change: Change) -> bool:
    """A key can be claimed when nothing is recorded of it."""
    return current is None


def may_take_over(current: Claim | None, change: Change) -> bool:
    """Only the open attempt that got the tombstone can be replaced."""
    if current is None or current.outcome != Outcome.OPEN:
        return False
    return current.attempt == change.expected


def may_record(current: Claim | None, change: Change) -> bool:
    """An outcome belongs to the attempt in force, and "ran" is final."""
    if current is None or current.attempt != change.claim.attempt:
        return False
    return current.outcome not in (Outcome.RAN, change.claim.outcome)


RULES = {
    Action.CLAIM: may_claim,
    Action.TAKE_OVER: may_take_over,
    Action.RECORD: may_record,
}


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write of a shard's head.

    :param base: the version that the head must still have.
    :param seal: the segment that has to be stored before, or None.
    :param results: the claim in force after the write, for each change; None for a full shard.
    """

    base: int
    head: Head
    changes: tuple[Change, ...]
    results: tuple[Claim | None, ...]
    seal: Segment | None = None
    needed: bool = True


@dataclass(slots=True)
class Shard:
    """One shard as a router knows it.

    :param segment_claims: records after which the head's records are sealed.
    :param max_segments: sealed segments that may be kept; then new claims are refused.
    :param retention: seconds that a claim is kept at least.
    """

    segment_claims: int
    max_segments: int
    retention: float
    head: Head = Head()
    version: int = -1
    table: dict[bytes, Claim] = field(default_factory=dict)
    places: dict[bytes, int] = field(default_factory=dict)
    segments: dict[int, Segment] = field(default_factory=dict)
    births: dict[int, float] = field(default_factory=dict)

    def missing(self, head: Head) -> list[int]:
        """Return the sealed segments that have to be read before :meth:`load`."""
        return [n for n in range(head.first, head.number) if n not in self.segments]

    def load(self, head: Head, version: int, segments: dict[int, Segment], now: float) -> None:
        """Take the stored state. The log only grows, so what is in the table stays true.

        :param segments: the missing segments by number.
        """
        self.segments.update(segments)
        for number in range(self.head.first, min(head.first, self.head.number)):
            self.retire(number)
        for number in range(max(head.first, self.head.number), head.number):
            self.index(number, self.segments[number].claims)
        self.index(head.number, head.claims)
        self.adopt(head, version, now)

    def index(self, number: int, claims: list[Claim]) -> None:
        """Enter records in their order."""
        for claim in claims:
            self.table[claim.key] = claim
            self.places[claim.key] = number

    def adopt(self, head: Head, version: int, now: float) -> None:
        """Take a head and bound its segments' dates of sealing by this router's clock."""
        self.head = head
        self.version = version
        for number, age in enumerate(head.ages, head.first):
            birth = now - age
            self.births[number] = min(birth, self.births.get(number, birth))
        for number in [n for n in self.segments if n < head.first]:
            del self.segments[number]
            self.births.pop(number, None)

    def forget(self) -> None:
        """Note that the stored state is not known any more."""
        self.version = -1

    def known(self) -> bool:
        """Tell whether the stored state was known once and nothing contradicts it."""
        return self.version >= 0

    def begin(self, changes: list[Change], now: float) -> Write:
        """Decide changes on the known state and return the write that commits them."""
        first = self.first_kept(now)
        sealing = len(self.head.claims) >= self.segment_claims
        number = self.head.number + sealing
        full = number - first > self.max_segments
        records = [] if sealing else list(self.head.claims)
        added: dict[bytes, Claim] = {}
        results = []
        for change in changes:
            claim = change.claim
            current = added.get(claim.key, self.table.get(claim.key))
            if not RULES[Action(change.action)](current, change):
                results.append(current)
            elif full:
                results.append(None)
            else:
                added[claim.key] = claim
                results.append(claim)
        if not added:
            return Write(self.version, self.head, tuple(changes), tuple(results), needed=False)
        ages = [now - self.births.get(n, now) for n in range(first, number)]
        seal = Segment(self.head.claims) if sealing else None
        digests = self.head.digests[first - self.head.first :]
        if seal is not None:
            digests = [*digests, seal.digest()]
        head = Head(first, number, ages, digests, merge(records, added))
        return Write(self.version, head, tuple(changes), tuple(results), seal)

    def first_kept(self, now: float) -> int:
        """Return the oldest segment that has to be kept."""
        first = self.head.first
        while first < self.head.number and now - self.births[first] > self.retention:
            first += 1
        return first

    def commit(self, write: Write, version: int, now: float) -> list[str]:
        """Take a write that took effect; return the names of segments that nobody needs now."""
        old = self.head
        if write.seal is not None:
            self.segments[write.head.number - 1] = write.seal
        retired = range(old.first, write.head.first)
        for number in retired:
            self.retire(number)
        self.adopt(write.head, version, now)
        self.index(write.head.number, write.head.claims)
        return [old.name(number) for number in retired]

    def retire(self, number: int) -> None:
        """Drop a segment's records from the table."""
        for claim in self.segments[number].claims:
            if self.places.get(claim.key) == number:
                del self.table[claim.key]
                del self.places[claim.key]


def merge(records: list[Claim], added: dict[bytes, Claim]) -> list[Claim]:
    """Return records with newer ones in their places, and the rest behind."""
    rest = dict(added)
    merged = [rest.pop(record.key, record) for record in records]
    return [*merged, *rest.values()]
