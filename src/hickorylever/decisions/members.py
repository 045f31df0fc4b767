"""The table of members: merged from updates, the VM list and this member's own suspicions."""

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from .. import defaults
from ..packets import Health, Phase, Update, encode
from ..records import MemberState


class Listed(enum.IntEnum):
    """What the VM list says of a member's VM. The list lags."""

    LIVE = 0
    LEAVING = 1
    ABSENT = 2


class Heard(enum.IntEnum):
    """What heartbeats say of a member."""

    NOTHING = 0
    JOINING = 1
    READY = 2
    DRAINING = 3
    LEFT = 4
    SUSPECT = 5
    GONE = 6


STATES: dict[Heard, tuple[MemberState, MemberState, MemberState]] = {
    # heard            the VM list says: live, leaving, absent
    Heard.NOTHING: (MemberState.JOINING, MemberState.DRAINING, MemberState.GONE),
    Heard.JOINING: (MemberState.JOINING, MemberState.DRAINING, MemberState.JOINING),
    Heard.READY: (MemberState.READY, MemberState.DRAINING, MemberState.READY),
    Heard.DRAINING: (MemberState.DRAINING, MemberState.DRAINING, MemberState.DRAINING),
    Heard.LEFT: (MemberState.GONE, MemberState.GONE, MemberState.GONE),
    Heard.SUSPECT: (MemberState.SUSPECT, MemberState.DRAINING, MemberState.GONE),
    Heard.GONE: (MemberState.GONE, MemberState.GONE, MemberState.GONE),
}
HEARD_PHASE = (Heard.JOINING, Heard.READY, Heard.DRAINING, Heard.LEFT)
HEARD_HEALTH = {Health.SUSPECT: Heard.SUSPECT, Health.GONE: Heard.GONE}
FINAL_PHASES = (Phase.DRAINING, Phase.LEFT)


@dataclass(slots=True)
class Entry:
    """What is known of one member.

    :param deadline: when a suspicion becomes certain, in the caller's monotonic seconds.
    :param penalty: failures that have not decayed yet, as of `penalty_time`.
    :param held_until: a flapping member is not used before.
    """

    update: Update
    listed: Listed = Listed.LIVE
    heard: bool = False
    deadline: float = math.inf
    penalty: float = 0.0
    penalty_time: float = 0.0
    held_until: float = -math.inf


def merge(current: Update, news: Update) -> Update:
    """Return the newer knowledge of a member: the largest generation, then serial.

    At the same serial the later phase and the worse health win. A draining member stays so
    for its generation, whatever its serial.
    """
    if news.generation != current.generation:
        return max(current, news, key=lambda update: update.generation)
    low, high = sorted((current, news), key=lambda update: update.serial)
    same = low.serial == high.serial
    keep = same or low.phase in FINAL_PHASES
    phase = max(low.phase, high.phase) if keep else high.phase
    health = max(low.health, high.health) if same else high.health
    return Update(current.member, current.generation, high.serial, phase, health)


@dataclass
class Members:
    """Every member that the inventory names, as one member sees them.

    :param me: this member's id.
    :param generation: this run of the process, a hint from the wall clock.
    :param version: rises with every change of the table.
    """

    me: int
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
        update = Update(self.me, self.generation, 0, Phase.JOINING, Health.ALIVE)
        self.entries[self.me] = Entry(update, heard=True)

    def set_inventory(self, members: Iterable[int]) -> None:
        """Take the members of the configuration in force; others are forgotten."""
        wanted = {self.me, *members}
        for member in wanted - self.entries.keys():
            self.entries[member] = Entry(Update(member, 0, 0, Phase.JOINING, Health.ALIVE))
        for member in self.entries.keys() - wanted:
            del self.entries[member]
            self.suspected.discard(member)
        self.version += 1

    def set_listed(self, listed: dict[int, Listed]) -> None:
        """Take the VM list's latest answer; members that it lacks are absent."""
        for member, entry in self.entries.items():
            entry.listed = listed.get(member, Listed.ABSENT)
        self.version += 1

    def declare(self, phase: Phase) -> bool:
        """Change this member's own phase. False when it must not go back."""
        mine = self.entries[self.me].update
        if mine.phase == phase:
            return False
        if mine.phase in FINAL_PHASES and phase < mine.phase:
            return False
        self.announce(mine.generation, mine.serial + 1, phase)
        return True

    def announce(self, generation: int, serial: int, phase: Phase) -> None:
        """Tell others a new update of this member."""
        update = Update(self.me, generation, serial, phase, Health.ALIVE)
        self.entries[self.me].update = update
        self.changed.append(update)
        self.version += 1

    def hear(self, news: Update, now: float) -> bool:
        """Merge an update. True when it was news, which is then in `changed`."""
        if news.member == self.me:
            return self.hear_of_myself(news)
        entry = self.entries.get(news.member)
        if entry is None:
            return False
        merged = merge(entry.update, news)
        entry.heard = entry.heard or news.generation > 0
        if merged == entry.update:
            return False
        self.put(entry, merged, now)
        return True

    def hear_of_myself(self, news: Update) -> bool:
        """Refute a suspicion, outbid an earlier run, or yield to a later one."""
        mine = self.entries[self.me].update
        if news.generation > mine.generation:
            self.superseded = self.established
            if not self.established:
                self.announce(news.generation + 1, 0, mine.phase)
            return not self.established
        if news.generation < mine.generation or news.serial < mine.serial:
            return False
        if news.health is Health.ALIVE and news.serial == mine.serial:
            return False
        self.refute(news)
        return True

    def refute(self, news: Update) -> None:
        """Raise this member's serial over an update that is wrong about it."""
        mine = self.entries[self.me].update
        self.refutations += 1
        self.announce(mine.generation, news.serial + 1, mine.phase)

    def put(self, entry: Entry, update: Update, now: float) -> None:
        """Replace what is known of a member, and note suspicion and flapping."""
        before = self.heard_state(entry)
        entry.update = update
        if update.health is Health.SUSPECT:
            if entry.deadline == math.inf:
                entry.deadline = now + self.suspicion_time()
            self.suspected.add(update.member)
        else:
            entry.deadline = math.inf
            self.suspected.discard(update.member)
        self.changed.append(update)
        self.version += 1
        if before is Heard.READY and self.heard_state(entry) in (Heard.GONE, Heard.JOINING):
            self.penalise(entry, now)

    def penalise(self, entry: Entry, now: float) -> None:
        """Count a failure; from the second on, the member stays out for a growing time."""
        elapsed = now - entry.penalty_time
        entry.penalty *= 0.5 ** (elapsed / defaults.FLAP_HALF_LIFE_SECONDS)
        entry.penalty += 1.0
        entry.penalty_time = now
        if entry.penalty > defaults.FLAP_PENALTY_THRESHOLD:
            hold = defaults.FLAP_HOLD_DOWN_SECONDS * 2 ** (
                entry.penalty - defaults.FLAP_PENALTY_THRESHOLD
            )
            entry.held_until = now + min(hold, defaults.MAX_FLAP_HOLD_DOWN_SECONDS)

    def suspicion_time(self) -> float:
        """Return how long a suspected member has for its refutation, in seconds."""
        size = max(1.0, math.log10(len(self.entries) + 1))
        return defaults.SUSPICION_MULTIPLIER * size * defaults.PROBE_INTERVAL_SECONDS

    def suspect(self, member: int, now: float) -> None:
        """Suspect a member that did not answer."""
        self.judge(member, Health.SUSPECT, now)

    def judge(self, member: int, health: Health, now: float) -> None:
        """Merge a worse health into a member's update."""
        entry = self.entries.get(member)
        if entry is None or not entry.heard:
            return
        update = entry.update
        worse = Update(member, update.generation, update.serial, update.phase, health)
        self.hear(worse, now)

    def expire(self, now: float) -> list[int]:
        """Declare suspected members gone whose time is over, and return their ids."""
        late = [member for member in self.suspected if self.entries[member].deadline <= now]
        for member in late:
            self.judge(member, Health.GONE, now)
        return late

    def postpone(self, seconds: float) -> None:
        """Give every suspected member more time, after a pause of this process."""
        for member in self.suspected:
            self.entries[member].deadline += seconds

    def heard_state(self, entry: Entry) -> Heard:
        """Return what heartbeats say."""
        if not entry.heard:
            return Heard.NOTHING
        update = entry.update
        return HEARD_HEALTH.get(update.health, HEARD_PHASE[update.phase])

    def state(self, member: int) -> MemberState:
        """Return a member's state from heartbeats and the VM list."""
        entry = self.entries.get(member)
        if entry is None:
            return MemberState.GONE
        return STATES[self.heard_state(entry)][entry.listed]

    def usable(self, member: int, now: float, isolated: bool = False) -> bool:
        """Tell whether a member may be given new work.

        :param isolated: this member hears nobody; then only what others said of themselves
            counts, since silence says nothing about them.
        """
        entry = self.entries.get(member)
        if entry is None:
            return isolated
        if isolated:
            return entry.update.phase not in FINAL_PHASES
        return self.state(member) is MemberState.READY and entry.held_until <= now

    def live(self) -> list[int]:
        """Return the other members that are not gone."""
        if self.live_version != self.version:
            self.live_version = self.version
            self.live_members = self.find_live()
        return list(self.live_members)

    def find_live(self) -> list[int]:
        """Look through the table for members that are not gone."""
        return [
            member
            for member, entry in self.entries.items()
            if member != self.me
            and entry.update.health is not Health.GONE
            and entry.update.phase is not Phase.LEFT
        ]

    def gone(self) -> list[int]:
        """Return the other members that are gone."""
        live = {self.me, *self.live()}
        return [member for member in self.entries if member not in live]

    def digests(self) -> bytes:
        """Return one 4-byte digest for each bucket of the table."""
        sums = [0] * defaults.SYNC_BUCKETS
        for member, entry in self.entries.items():
            if entry.heard:
                bucket = member % defaults.SYNC_BUCKETS
                sums[bucket] ^= xxhash.xxh32_intdigest(encode(entry.update))
        return b"".join(value.to_bytes(4) for value in sums)

    def differing(self, digests: bytes) -> list[Update]:
        """Return the updates of those buckets whose digests differ from a peer's."""
        mine = self.digests()
        differ = {
            bucket
            for bucket in range(defaults.SYNC_BUCKETS)
            if mine[4 * bucket : 4 * bucket + 4] != digests[4 * bucket : 4 * bucket + 4]
        }
        return [
            entry.update
            for member, entry in self.entries.items()
            if entry.heard and member % defaults.SYNC_BUCKETS in differ
        ]
