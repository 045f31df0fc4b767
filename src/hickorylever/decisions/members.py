"""The membership table, merged from received updates, the VM list and local suspicions."""

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from .. import defaults
from ..packets import Health, Phase, Update, encode
from ..records import MemberState


class VMListing(enum.IntEnum):
    """State of a member's VM in the VM list, which lags behind the actual state."""

    LIVE = 0
    LEAVING = 1
    ABSENT = 2


class GossipState(enum.IntEnum):
    """State of a member according to the updates received about it."""

    UNKNOWN = 0
    JOINING = 1
    READY = 2
    DRAINING = 3
    LEFT = 4
    SUSPECT = 5
    GONE = 6


MEMBER_STATES: dict[GossipState, tuple[MemberState, MemberState, MemberState]] = {
    # The columns are the state in the VM list: LIVE, LEAVING, ABSENT.
    GossipState.UNKNOWN: (MemberState.JOINING, MemberState.DRAINING, MemberState.GONE),
    GossipState.JOINING: (MemberState.JOINING, MemberState.DRAINING, MemberState.JOINING),
    GossipState.READY: (MemberState.READY, MemberState.DRAINING, MemberState.READY),
    GossipState.DRAINING: (MemberState.DRAINING, MemberState.DRAINING, MemberState.DRAINING),
    GossipState.LEFT: (MemberState.GONE, MemberState.GONE, MemberState.GONE),
    GossipState.SUSPECT: (MemberState.SUSPECT, MemberState.DRAINING, MemberState.GONE),
    GossipState.GONE: (MemberState.GONE, MemberState.GONE, MemberState.GONE),
}
STATE_BY_PHASE = (GossipState.JOINING, GossipState.READY, GossipState.DRAINING, GossipState.LEFT)
STATE_BY_HEALTH = {Health.SUSPECT: GossipState.SUSPECT, Health.GONE: GossipState.GONE}
FINAL_PHASES = (Phase.DRAINING, Phase.LEFT)


@dataclass(slots=True)
class Entry:
    """The local view of one member. Times are monotonic seconds.

    :param observed: whether an update of the member has been received.
    :param deadline: when an unrefuted suspicion turns into a failure.
    :param penalty: number of failures, decayed exponentially, as of `penalised_at`.
    :param suppressed_until: time before which a flapping member gets no work.
    """

    update: Update
    vm_listing: VMListing = VMListing.LIVE
    observed: bool = False
    deadline: float = math.inf
    penalty: float = 0.0
    penalised_at: float = 0.0
    suppressed_until: float = -math.inf


def merge(current: Update, received: Update) -> Update:
    """Return the combination of two updates of one member.

    The highest generation wins, then the highest serial. For equal serials the later phase and
    the worse health win. A member that is draining or has left stays so for its generation,
    whatever the serial. The result does not depend on the order of the arguments.
    """
    if received.generation != current.generation:
        return max(current, received, key=lambda update: update.generation)
    lower, higher = sorted((current, received), key=lambda update: update.serial)
    same_serial = lower.serial == higher.serial
    keep_phase = same_serial or lower.phase in FINAL_PHASES
    phase = max(lower.phase, higher.phase) if keep_phase else higher.phase
    health = max(lower.health, higher.health) if same_serial else higher.health
    return Update(current.member, current.generation, higher.serial, phase, health)


@dataclass
class Members:
    """The membership table of one member, with an entry for each member of the inventory.

    :param local_id: id of the local member.
    :param generation: initial generation of this run of the process.
    :param changed: updates that have not been queued for dissemination yet.
    :param suspected: ids of the members that are currently suspected.
    :param established: whether a peer has acknowledged this run's generation as the latest.
    :param superseded: whether a later run of the local member is known.
    :param refutations: number of wrong updates about the local member that were refuted.
    :param version: incremented with every change of the table.
    """

    local_id: int
    generation: int
    entries: dict[int, Entry] = field(default_factory=dict)
    changed: list[Update] = field(default_factory=list)
    suspected: set[int] = field(default_factory=set)
    established: bool = False
    superseded: bool = False
    refutations: int = 0
    version: int = 0
    live_version: int = -1
    live_members: list[int] = field(default_factory=list)

    def __post_init__(self):
        update = Update(self.local_id, self.generation, 0, Phase.JOINING, Health.ALIVE)
        self.entries[self.local_id] = Entry(update, observed=True)

    def set_inventory(self, members: Iterable[int]) -> None:
        """Set the members of the configuration in force and remove all others."""
        wanted = {self.local_id, *members}
        for member in wanted - self.entries.keys():
            self.entries[member] = Entry(Update(member, 0, 0, Phase.JOINING, Health.ALIVE))
        for member in self.entries.keys() - wanted:
            del self.entries[member]
            self.suspected.discard(member)
        self.version += 1

    def set_vm_list(self, vm_list: dict[int, VMListing]) -> None:
        """Apply the VM list; members that are not in it are absent."""
        for member, entry in self.entries.items():
            entry.vm_listing = vm_list.get(member, VMListing.ABSENT)
        self.version += 1

    def declare(self, phase: Phase) -> bool:
        """Change the local member's phase and return whether it changed.

        DRAINING and LEFT can't be left for an earlier phase.
        """
        own = self.entries[self.local_id].update
        if own.phase == phase:
            return False
        if own.phase in FINAL_PHASES and phase < own.phase:
            return False
        self.announce(own.generation, own.serial + 1, phase)
        return True

    def announce(self, generation: int, serial: int, phase: Phase) -> None:
        """Replace the local member's update and queue it for dissemination."""
        update = Update(self.local_id, generation, serial, phase, Health.ALIVE)
        self.entries[self.local_id].update = update
        self.changed.append(update)
        self.version += 1

    def apply_update(self, received: Update, now: float) -> bool:
        """Merge an update into the table.

        :return: whether the table changed; the merged update is then in `changed`.
        """
        if received.member == self.local_id:
            return self.apply_own_update(received)
        entry = self.entries.get(received.member)
        if entry is None:
            return False
        merged = merge(entry.update, received)
        entry.observed = entry.observed or received.generation > 0
        if merged == entry.update:
            return False
        self.replace(entry, merged, now)
        return True

    def apply_own_update(self, received: Update) -> bool:
        """Process an update about the local member and return whether it was answered.

        A suspicion is refuted. A higher generation stems from another run of this member: a run
        that is starting raises its own generation above it, an established one is superseded.
        """
        own = self.entries[self.local_id].update
        if received.generation > own.generation:
            self.superseded = self.established
            if not self.established:
                self.announce(received.generation + 1, 0, own.phase)
            return not self.established
        if received.generation < own.generation or received.serial < own.serial:
            return False
        if received.health is Health.ALIVE and received.serial == own.serial:
            return False
        self.refute(received)
        return True

    def refute(self, received: Update) -> None:
        """Announce the local member's state with a higher serial than a wrong update."""
        own = self.entries[self.local_id].update
        self.refutations += 1
        self.announce(own.generation, received.serial + 1, own.phase)

    def replace(self, entry: Entry, update: Update, now: float) -> None:
        """Replace a member's update, and keep track of suspicion and flapping.

        The deadline of a suspicion is kept when the member is suspected again.
        """
        before = self.gossip_state(entry)
        entry.update = update
        if update.health is Health.SUSPECT:
            if entry.deadline == math.inf:
                entry.deadline = now + self.suspicion_timeout()
            self.suspected.add(update.member)
        else:
            entry.deadline = math.inf
            self.suspected.discard(update.member)
        self.changed.append(update)
        self.version += 1
        if before is GossipState.READY and self.gossip_state(entry) in (
            GossipState.GONE,
            GossipState.JOINING,
        ):
            self.penalise(entry, now)

    def penalise(self, entry: Entry, now: float) -> None:
        """Count a failure; a member that fails repeatedly gets no work for a growing time.

        The penalty halves every ``defaults.FLAP_HALF_LIFE_SECONDS`` seconds. A single failure
        stays below ``defaults.FLAP_PENALTY_THRESHOLD`` and has no consequence.
        """
        elapsed = now - entry.penalised_at
        entry.penalty *= 0.5 ** (elapsed / defaults.FLAP_HALF_LIFE_SECONDS)
        entry.penalty += 1.0
        entry.penalised_at = now
        if entry.penalty > defaults.FLAP_PENALTY_THRESHOLD:
            suppression_seconds = defaults.FLAP_HOLD_DOWN_SECONDS * 2 ** (
                entry.penalty - defaults.FLAP_PENALTY_THRESHOLD
            )
            entry.suppressed_until = now + min(
                suppression_seconds, defaults.MAX_FLAP_HOLD_DOWN_SECONDS
            )

    def suspicion_timeout(self) -> float:
        """Return the time that a suspected member has to refute the suspicion, in seconds.

        It grows with the logarithm of the number of members, as dissemination does.
        """
        size = max(1.0, math.log10(len(self.entries) + 1))
        return defaults.SUSPICION_MULTIPLIER * size * defaults.PROBE_INTERVAL_SECONDS

    def suspect(self, member: int, now: float) -> None:
        """Mark a member as suspected."""
        self.set_health(member, Health.SUSPECT, now)

    def set_health(self, member: int, health: Health, now: float) -> None:
        """Merge a health into a member's update, unless none has been received yet."""
        entry = self.entries.get(member)
        if entry is None or not entry.observed:
            return
        update = entry.update
        worse = Update(member, update.generation, update.serial, update.phase, health)
        self.apply_update(worse, now)

    def expire(self, now: float) -> list[int]:
        """Declare members gone whose suspicion has timed out, and return their ids."""
        overdue = [member for member in self.suspected if self.entries[member].deadline <= now]
        for member in overdue:
            self.set_health(member, Health.GONE, now)
        return overdue

    def extend_suspicions(self, seconds: float) -> None:
        """Extend the deadline of every suspicion by a number of seconds."""
        for member in self.suspected:
            self.entries[member].deadline += seconds

    def gossip_state(self, entry: Entry) -> GossipState:
        """Return a member's state according to the updates received about it."""
        if not entry.observed:
            return GossipState.UNKNOWN
        update = entry.update
        return STATE_BY_HEALTH.get(update.health, STATE_BY_PHASE[update.phase])

    def state(self, member: int) -> MemberState:
        """Return a member's state, combined from its updates and the VM list."""
        entry = self.entries.get(member)
        if entry is None:
            return MemberState.GONE
        return MEMBER_STATES[self.gossip_state(entry)][entry.vm_listing]

    def usable(self, member: int, now: float, isolated: bool = False) -> bool:
        """Return whether a member may be given new work.

        :param isolated: whether the local member hears from nobody. Suspicions are then
            meaningless, and only members that have announced to drain or leave are excluded.
        """
        entry = self.entries.get(member)
        if entry is None:
            return isolated
        if isolated:
            return entry.update.phase not in FINAL_PHASES
        return self.state(member) is MemberState.READY and entry.suppressed_until <= now

    def live(self) -> list[int]:
        """Return the ids of the other members that are neither gone nor have left."""
        if self.live_version != self.version:
            self.live_version = self.version
            self.live_members = self.compute_live()
        return list(self.live_members)

    def compute_live(self) -> list[int]:
        """Compute the result of :meth:`live`, which is cached for each version of the table."""
        return [
            member
            for member, entry in self.entries.items()
            if member != self.local_id
            and entry.update.health is not Health.GONE
            and entry.update.phase is not Phase.LEFT
        ]

    def gone(self) -> list[int]:
        """Return the ids of the other members that are gone or have left."""
        live = {self.local_id, *self.live()}
        return [member for member in self.entries if member not in live]

    def digests(self) -> bytes:
        """Return a 4-byte digest for each of the ``defaults.SYNC_BUCKETS`` buckets of the table.

        A digest is the XOR of the hashes of the updates in its bucket, so that the order of the
        table does not matter.
        """
        sums = [0] * defaults.SYNC_BUCKETS
        for member, entry in self.entries.items():
            if entry.observed:
                bucket = member % defaults.SYNC_BUCKETS
                sums[bucket] ^= xxhash.xxh32_intdigest(encode(entry.update))
        return b"".join(value.to_bytes(4) for value in sums)

    def differing_updates(self, digests: bytes) -> list[Update]:
        """Return the updates in the buckets whose digests differ from a peer's.

        :param digests: the peer's result of :meth:`digests`.
        """
        own = self.digests()
        differ = {
            bucket
            for bucket in range(defaults.SYNC_BUCKETS)
            if own[4 * bucket : 4 * bucket + 4] != digests[4 * bucket : 4 * bucket + 4]
        }
        return [
            entry.update
            for member, entry in self.entries.items()
            if entry.observed and member % defaults.SYNC_BUCKETS in differ
        ]
