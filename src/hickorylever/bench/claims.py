"""Benchmark of claims: throughput and latency by store latency, and safety under faults."""

import random
from dataclasses import dataclass, field

import msgspec

from .. import defaults
from ..decisions.claims import Action, Change, Claim, Outcome, Shard
from . import Report, benches
from .actors import Store
from .chaos import WEIGHTS, Chaos
from .driver import Driver
from .world import World

RATE = 2000.0  # Guarded requests per second.
SECONDS = 10.0
QUICK_SECONDS = 2.0
HOP = 0.002  # One-way latency between routers, in seconds.
SERVICE = 0.05  # Duration of an attempt, in seconds.
FAULTED_ATTEMPTS = 100_000
QUICK_ATTEMPTS = 3_000
MAX_WRITES = 200.0  # Per second.
MAX_ADDED = 0.060  # In seconds.
TARGET_LATENCY = 0.010  # In seconds.


@dataclass(frozen=True, slots=True)
class Setting:
    """Parameters of one run.

    :param latency: mean duration of a store call in seconds.
    :param grouped: whether a write carries all queued changes instead of one.
    :param preferred: whether all changes of a shard go through one router.
    """

    routers: int
    latency: float
    grouped: bool = True
    preferred: bool = True


@dataclass(eq=False, slots=True)
class Committer:
    """One router's queue of changes to one shard."""

    store: Store
    shard: Shard
    waiting: list[tuple[float, Change]] = field(default_factory=list)
    busy: bool = False
    written: float = 0.0


class Run:
    """Simulates the claim shards in virtual time."""

    def __init__(self, setting: Setting, seed: int):
        self.setting = setting
        self.driver = Driver(seed)
        self.stores = [Store() for _ in range(defaults.CLAIM_SHARDS)]
        self.committers = [
            [Committer(store, self.new_shard()) for store in self.stores]
            for _ in range(setting.routers)
        ]
        self.added: list[float] = []
        self.reads = 0
        self.writes = 0
        self.largest = 0
        self.serial = 0

    def new_shard(self) -> Shard:
        """Return a shard with the limits used by routers."""
        return Shard(
            defaults.CLAIMS_PER_SEGMENT,
            defaults.MAX_CLAIM_SEGMENTS,
            defaults.CLAIM_RETENTION_SECONDS,
        )

    def latency(self) -> float:
        """Return a random duration of one store call in seconds."""
        return self.setting.latency * self.driver.chance.uniform(0.5, 1.5)

    def arrive(self, until: float) -> None:
        """Generate one guarded request and schedule the next."""
        self.serial += 1
        key = self.driver.chance.randbytes(16)
        claim = Claim(key, key, f"{self.serial:032x}", "endpoint-1", "0" * 32, 1.0)
        self.submit(Change(Action.CLAIM.value, claim))
        pause = self.driver.chance.expovariate(RATE)
        if self.driver.now + pause < until:
            self.driver.after(pause, self.arrive, until)

    def submit(self, change: Change) -> None:
        """Route a change to the router that commits it."""
        number = int.from_bytes(change.claim.key[:4], "big") % len(self.stores)
        router = self.driver.chance.randrange(self.setting.routers)
        hop = 0.0
        if self.setting.preferred and router != number % self.setting.routers:
            router = number % self.setting.routers
            hop = HOP
        committer = self.committers[router][number]
        self.driver.after(hop, self.enqueue, committer, self.driver.now - hop, change)

    def enqueue(self, committer: Committer, begun: float, change: Change) -> None:
        """Queue a change. A recorded outcome triggers no write; it goes with the next claim."""
        committer.waiting.append((begun, change))
        if change.action == Action.CLAIM:
            self.kick(committer)

    def kick(self, committer: Committer) -> None:
        """Schedule the next write unless one is pending."""
        if committer.busy or not committer.waiting:
            return
        committer.busy = True
        pause = (
            len(self.stores) / defaults.CLAIM_WRITES_PER_SECOND if self.setting.grouped else 0.0
        )
        self.driver.at(committer.written + pause, self.begin, committer)

    def begin(self, committer: Committer) -> None:
        """Load the shard if necessary, then write."""
        if committer.shard.is_loaded():
            self.write(committer)
            return
        committer.shard.load(*self.read(committer), now=self.driver.now)
        self.driver.after(self.latency(), self.write, committer)

    def read(self, committer: Committer):
        """Return the stored head, version and missing segments; each segment costs one read."""
        store = committer.store
        missing = committer.shard.missing_segments(store.head)
        self.reads += 1 + len(missing)
        segments = {number: store.segments[store.head.segment_name(number)] for number in missing}
        return store.head, store.version, segments

    def write(self, committer: Committer) -> None:
        """Send one write with the queued changes."""
        count = len(committer.waiting) if self.setting.grouped else 1
        batch = committer.waiting[:count]
        del committer.waiting[:count]
        write = committer.shard.prepare_write([change for _, change in batch], self.driver.now)
        committer.written = self.driver.now
        delay = self.latency() if write.needed else 0.0
        if write.sealed_segment is not None:
            self.writes += 1
            delay += self.latency()
        self.writes += write.needed
        self.driver.after(delay, self.land, committer, write, batch)

    def land(self, committer: Committer, write, batch) -> None:
        """Handle the reply to a write; a conflict puts its changes back into the queue."""
        committer.busy = False
        if write.needed and not committer.store.put(write):
            committer.shard.invalidate()
            committer.waiting[:0] = batch
            self.kick(committer)
            return
        if write.needed:
            self.largest = max(self.largest, len(msgspec.msgpack.encode(write.head)))
            committer.shard.commit(write, committer.store.version, self.driver.now)
        for begun, change in batch:
            if change.action == Action.CLAIM:
                self.claimed(begun, change.claim)
        self.kick(committer)

    def claimed(self, begun: float, claim: Claim) -> None:
        """Record a claim's latency, including the hop back, and schedule its outcome."""
        back = HOP if self.setting.preferred and self.setting.routers > 1 else 0.0
        self.added.append(self.driver.now - begun + back)
        done = msgspec.structs.replace(claim, outcome=Outcome.RAN.value)
        self.driver.after(SERVICE, self.submit, Change(Action.RECORD.value, done))

    def row(self, seconds: float) -> dict:
        """Run for `seconds` of virtual time and return the result row."""
        self.arrive(seconds)
        self.driver.run(seconds)
        ordered = sorted(self.added) or [float("inf")]
        return {
            "routers": self.setting.routers,
            "write_ms": self.setting.latency * 1000,
            "grouped": str(self.setting.grouped),
            "preferred": str(self.setting.preferred),
            "claims/s": len(self.added) / seconds,
            "writes/s": self.writes / seconds,
            "calls/claim": (self.reads + self.writes) / max(1, len(self.added)),
            "p50_ms": ordered[len(ordered) // 2] * 1000,
            "p99_ms": ordered[int(len(ordered) * 0.99)] * 1000,
            "head_bytes": self.largest,
        }


SETTINGS = (
    *(Setting(routers, TARGET_LATENCY) for routers in (1, 4, 16)),
    *(Setting(4, latency) for latency in (0.002, 0.05, 0.2)),
    Setting(4, TARGET_LATENCY, grouped=False),
    Setting(4, TARGET_LATENCY, preferred=False),
    Setting(16, TARGET_LATENCY, preferred=False),
)


def faulted(report: Report, seed: int, attempts: int) -> None:
    """Run attempts under random faults and count safety violations."""
    world = World(random.Random(seed), routers=3, endpoints=3)
    chaos = Chaos(world, WEIGHTS, keys=attempts)
    while world.counts["deliver_hand_over"] < attempts:
        chaos.step()
    names = ("lose", "duplicate", "crash", "lose_reply", "conflict", "outage")
    restarts = world.counts["restart_sidecar"] + world.counts["restart_router"]
    row = {"attempts": world.counts["deliver_hand_over"], "restarts": restarts}
    row |= {name: world.counts[name] for name in names}
    row |= {f"told {ran}": count for ran, count in sorted(world.tolds.items())}
    report.rows.append(row | {"broken": len(world.violations)})
    report.expect(not world.violations, f"no safety violation: {world.violations[:3]}")


@benches.register("claims")
def run(seed: int, quick: bool) -> Report:
    """Measure throughput and latency, then safety under faults."""
    report = Report()
    seconds = QUICK_SECONDS if quick else SECONDS
    for setting in SETTINGS:
        row = Run(setting, seed).row(seconds)
        report.rows.append(row)
        if setting.latency == TARGET_LATENCY and setting.grouped and setting.preferred:
            place = f"{setting.routers} routers"
            report.expect(row["claims/s"] >= 0.95 * RATE, f"{place}: {RATE:.0f} claims/s")
            report.expect(row["writes/s"] <= MAX_WRITES, f"{place}: {MAX_WRITES:.0f} writes/s")
            report.expect(row["p99_ms"] < MAX_ADDED * 1000, f"{place}: p99 {MAX_ADDED} s")
    faulted(report, seed, QUICK_ATTEMPTS if quick else FAULTED_ATTEMPTS)
    return report
