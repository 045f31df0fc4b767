"""Claims on guarded requests: the log of a shard, its changes and the writes that commit them.

A shard consists of a head object, which is only written conditionally, and of immutable sealed
segments. The head holds the newest records. Once there are too many of them, they are moved to a
new segment. The last record of a key is in force.
"""

import enum
from dataclasses import dataclass, field

import msgspec
import xxhash


class Outcome(enum.StrEnum):
    """Recorded outcome of a claim's attempt."""

    OPEN = "open"
    RAN = "ran"
    UNKNOWN = "unknown"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The exclusive right of one attempt to run a guarded request.

    :param key: digest of client account and Idempotency-Key.
    :param fingerprint: digest of the request.
    :param attempt: id of the attempt.
    :param incarnation: of the endpoint's sidecar.
    :param stamp: time of the attempt in seconds of its sidecar's clock.
    :param generation: number of the attempt for this key, from 1.
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
    """Kind of a change."""

    CLAIM = "claim"
    TAKE_OVER = "take_over"
    RECORD = "record"


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A requested change of the claim on one key.

    :param claim: the claim that is in force if the change is accepted.
    :param expected: id of the attempt that :attr:`Action.TAKE_OVER` replaces; its sidecar has a
        tombstone for it.
    """

    action: str
    claim: Claim
    expected: str = ""


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The head object of a shard.

    :param first_segment: number of the oldest retained segment.
    :param next_segment: number that the head's own records get when they are sealed.
    :param segment_ages: lower bound of the seconds since each retained segment was sealed.
    :param segment_digests: of the retained segments. They are part of the segments' names, so
        that a segment is never overwritten by another one.
    """

    first_segment: int = 0
    next_segment: int = 0
    segment_ages: list[float] = []
    segment_digests: list[str] = []
    claims: list[Claim] = []

    def segment_name(self, number: int) -> str:
        """Return the name of a retained segment within its shard."""
        return f"{number}-{self.segment_digests[number - self.first_segment]}"


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """A sealed, immutable segment."""

    claims: list[Claim]

    def digest(self) -> str:
        """Return the digest of the content."""
        return xxhash.xxh3_64_hexdigest(msgspec.msgpack.encode(self))


def may_claim(current: Claim | None, change: Change) -> bool:
    """Return whether a key is unclaimed."""
    return current is None


def may_take_over(current: Claim | None, change: Change) -> bool:
    """Return whether the claim in force is open and belongs to the attempt to be replaced."""
    if current is None or current.outcome != Outcome.OPEN:
        return False
    return current.attempt == change.expected


def may_record(current: Claim | None, change: Change) -> bool:
    """Return whether an outcome is new and for the attempt in force; RAN is final."""
    if current is None or current.attempt != change.claim.attempt:
        return False
    return current.outcome not in (Outcome.RAN, change.claim.outcome)


PRECONDITIONS = {
    Action.CLAIM: may_claim,
    Action.TAKE_OVER: may_take_over,
    Action.RECORD: may_record,
}


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write of a shard's head.

    :param base: version that the stored head has to have.
    :param results: for each change the claim in force after the write, None when the shard is
        full.
    :param sealed_segment: segment that has to be stored before the head, or None.
    :param needed: whether the write changes anything.
    """

    base: int
    head: Head
    changes: tuple[Change, ...]
    results: tuple[Claim | None, ...]
    sealed_segment: Segment | None = None
    needed: bool = True


@dataclass(slots=True)
class Shard:
    """A router's copy of one shard. Times are monotonic seconds.

    :param segment_claims: number of records in the head from which on they are sealed.
    :param max_segments: maximum number of retained segments; changes that would need another one
        are refused.
    :param retention: minimum number of seconds that a claim is retained.
    :param version: version of the stored head, -1 when it has to be read.
    :param claims_in_force: the claim in force for each key.
    :param segment_numbers: number of the segment that holds the record in force for each key.
    :param sealed_at: latest possible time at which each segment was sealed.
    """

    segment_claims: int
    max_segments: int
    retention: float
    head: Head = Head()
    version: int = -1
    claims_in_force: dict[bytes, Claim] = field(default_factory=dict)
    segment_numbers: dict[bytes, int] = field(default_factory=dict)
    segments: dict[int, Segment] = field(default_factory=dict)
    sealed_at: dict[int, float] = field(default_factory=dict)

    def missing_segments(self, head: Head) -> list[int]:
        """Return the numbers of the segments that have to be read before :meth:`load`."""
        return [n for n in range(head.first_segment, head.next_segment) if n not in self.segments]

    def load(self, head: Head, version: int, segments: dict[int, Segment], now: float) -> None:
        """Update the copy to the stored state.

        Records are only appended to the log, so those that have been applied stay valid.

        :param segments: the segments named by :meth:`missing_segments`, by number.
        """
        self.segments.update(segments)
        for number in range(
            self.head.first_segment, min(head.first_segment, self.head.next_segment)
        ):
            self.drop_segment(number)
        for number in range(max(head.first_segment, self.head.next_segment), head.next_segment):
            self.apply_records(number, self.segments[number].claims)
        self.apply_records(head.next_segment, head.claims)
        self.set_head(head, version, now)

    def apply_records(self, number: int, claims: list[Claim]) -> None:
        """Apply the records of a segment to the claims in force, in their order."""
        for claim in claims:
            self.claims_in_force[claim.key] = claim
            self.segment_numbers[claim.key] = number

    def set_head(self, head: Head, version: int, now: float) -> None:
        """Set the head, and bound the times of sealing of its segments on this router's clock."""
        self.head = head
        self.version = version
        for number, age in enumerate(head.segment_ages, head.first_segment):
            sealed_by = now - age
            self.sealed_at[number] = min(sealed_by, self.sealed_at.get(number, sealed_by))
        for number in [n for n in self.segments if n < head.first_segment]:
            del self.segments[number]
            self.sealed_at.pop(number, None)

    def invalidate(self) -> None:
        """Mark the copy as outdated, so that the stored state is read again."""
        self.version = -1

    def is_loaded(self) -> bool:
        """Return whether the copy has been loaded and not been invalidated since."""
        return self.version >= 0

    def prepare_write(self, changes: list[Change], now: float) -> Write:
        """Evaluate changes against the copy and return the write that commits them."""
        first = self.first_retained(now)
        sealing = len(self.head.claims) >= self.segment_claims
        number = self.head.next_segment + sealing
        is_full = number - first > self.max_segments
        records = [] if sealing else list(self.head.claims)
        accepted: dict[bytes, Claim] = {}
        results = []
        for change in changes:
            claim = change.claim
            current = accepted.get(claim.key, self.claims_in_force.get(claim.key))
            if not PRECONDITIONS[Action(change.action)](current, change):
                results.append(current)
            elif is_full:
                results.append(None)
            else:
                accepted[claim.key] = claim
                results.append(claim)
        if not accepted:
            return Write(self.version, self.head, tuple(changes), tuple(results), needed=False)
        ages = [now - self.sealed_at.get(n, now) for n in range(first, number)]
        sealed_segment = Segment(self.head.claims) if sealing else None
        digests = self.head.segment_digests[first - self.head.first_segment :]
        if sealed_segment is not None:
            digests = [*digests, sealed_segment.digest()]
        head = Head(first, number, ages, digests, merge_records(records, accepted))
        return Write(self.version, head, tuple(changes), tuple(results), sealed_segment)

    def first_retained(self, now: float) -> int:
        """Return the number of the oldest segment that has to be retained."""
        first = self.head.first_segment
        while first < self.head.next_segment and now - self.sealed_at[first] > self.retention:
            first += 1
        return first

    def commit(self, write: Write, version: int, now: float) -> list[str]:
        """Apply a successful write and return the names of the segments that can be deleted."""
        previous_head = self.head
        if write.sealed_segment is not None:
            self.segments[write.head.next_segment - 1] = write.sealed_segment
        retired = range(previous_head.first_segment, write.head.first_segment)
        for number in retired:
            self.drop_segment(number)
        self.set_head(write.head, version, now)
        self.apply_records(write.head.next_segment, write.head.claims)
        return [previous_head.segment_name(number) for number in retired]

    def drop_segment(self, number: int) -> None:
        """Remove the records of a segment from the claims in force."""
        for claim in self.segments[number].claims:
            if self.segment_numbers.get(claim.key) == number:
                del self.claims_in_force[claim.key]
                del self.segment_numbers[claim.key]


def merge_records(records: list[Claim], accepted: dict[bytes, Claim]) -> list[Claim]:
    """Return records with those of the same key replaced and the remaining ones appended."""
    rest = dict(accepted)
    merged = [rest.pop(record.key, record) for record in records]
    return [*merged, *rest.values()]
