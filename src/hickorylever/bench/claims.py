"""Benchmark of claims: throughput and latency by store latency, and safety under faults."""

import random
from dataclasses import dataclass, field

import msgspec

from .. import defaults
from ..decisions.claims import Action, Change, Claim, Outcome, Shard
from . import Report, benches
from .actors import Store
from .chaos import WEIGHTS, Chaos
from .scheduler import EventScheduler
from .simulation import ProtocolSimulation

CLAIMS_PER_SECOND = 2000.0
DURATION_SECONDS = 10.0
QUICK_DURATION_SECONDS = 2.0
HOP_SECONDS = 0.002  # One-way latency between routers.
SERVICE_SECONDS = 0.05  # Duration of an attempt.
FAULTED_ATTEMPTS = 100_000
QUICK_ATTEMPTS = 3_000
MAX_WRITES_PER_SECOND = 200.0
MAX_P99_SECONDS = 0.060
TARGET_LATENCY_SECONDS = 0.010


@dataclass(frozen=True, slots=True)
class Scenario:
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
    last_write_at: float = 0.0


class ClaimSimulation:
    """Simulates the claim shards in virtual time."""

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.scheduler = EventScheduler(seed)
        self.stores = [Store() for _ in range(defaults.CLAIM_SHARDS)]
        self.committers = [
            [Committer(store, self.new_shard()) for store in self.stores]
            for _ in range(scenario.routers)
        ]
        self.latencies: list[float] = []
        self.reads = 0
        self.writes = 0
        self.max_head_bytes = 0
        self.request_count = 0

    def new_shard(self) -> Shard:
        """Return a shard with the limits used by routers."""
        return Shard(
            defaults.CLAIMS_PER_SEGMENT,
            defaults.MAX_CLAIM_SEGMENTS,
            defaults.CLAIM_RETENTION_SECONDS,
        )

    def latency(self) -> float:
        """Return a random duration of one store call in seconds."""
        return self.scenario.latency * self.scheduler.rng.uniform(0.5, 1.5)

    def arrive(self, until: float) -> None:
        """Generate one guarded request and schedule the next."""
        self.request_count += 1
        key = self.scheduler.rng.randbytes(16)
        claim = Claim(key, key, f"{self.request_count:032x}", "endpoint-1", "0" * 32, 1.0)
        self.submit(Change(Action.CLAIM.value, claim))
        pause = self.scheduler.rng.expovariate(CLAIMS_PER_SECOND)
        if self.scheduler.now + pause < until:
            self.scheduler.after(pause, self.arrive, until)

    def submit(self, change: Change) -> None:
        """Route a change to the router that commits it."""
        shard_number = int.from_bytes(change.claim.key[:4], "big") % len(self.stores)
        router = self.scheduler.rng.randrange(self.scenario.routers)
        hop = 0.0
        if self.scenario.preferred and router != shard_number % self.scenario.routers:
            router = shard_number % self.scenario.routers
            hop = HOP_SECONDS
        committer = self.committers[router][shard_number]
        self.scheduler.after(hop, self.enqueue, committer, self.scheduler.now - hop, change)

    def enqueue(self, committer: Committer, submitted_at: float, change: Change) -> None:
        """Queue a change. A recorded outcome triggers no write; it goes with the next claim."""
        committer.waiting.append((submitted_at, change))
        if change.action == Action.CLAIM:
            self.schedule_write(committer)

    def schedule_write(self, committer: Committer) -> None:
        """Schedule the next write unless one is pending."""
        if committer.busy or not committer.waiting:
            return
        committer.busy = True
        pause = (
            len(self.stores) / defaults.CLAIM_WRITES_PER_SECOND if self.scenario.grouped else 0.0
        )
        self.scheduler.at(committer.last_write_at + pause, self.start_write, committer)

    def start_write(self, committer: Committer) -> None:
        """Load the shard if necessary, then write."""
        if committer.shard.is_loaded():
            self.write(committer)
            return
        committer.shard.load(*self.read(committer), now=self.scheduler.now)
        self.scheduler.after(self.latency(), self.write, committer)

    def read(self, committer: Committer):
        """Return the stored head, version and missing segments; each segment costs one read."""
        store = committer.store
        missing = committer.shard.missing_segments(store.head)
        self.reads += 1 + len(missing)
        segments = {number: store.segments[store.head.segment_name(number)] for number in missing}
        return store.head, store.version, segments

    def write(self, committer: Committer) -> None:
        """Send one write with the queued changes."""
        count = len(committer.waiting) if self.scenario.grouped else 1
        batch = committer.waiting[:count]
        del committer.waiting[:count]
        write = committer.shard.prepare_write([change for _, change in batch], self.scheduler.now)
        committer.last_write_at = self.scheduler.now
        delay = self.latency() if write.needed else 0.0
        if write.sealed_segment is not None:
            self.writes += 1
            delay += self.latency()
        self.writes += write.needed
        self.scheduler.after(delay, self.complete_write, committer, write, batch)

    def complete_write(self, committer: Committer, write, batch) -> None:
        """Handle the reply to a write; a conflict puts its changes back into the queue."""
        committer.busy = False
        if write.needed and not committer.store.put(write):
            committer.shard.invalidate()
            committer.waiting[:0] = batch
            self.schedule_write(committer)
            return
        if write.needed:
            self.max_head_bytes = max(self.max_head_bytes, len(msgspec.msgpack.encode(write.head)))
            committer.shard.commit(write, committer.store.version, self.scheduler.now)
        for submitted_at, change in batch:
            if change.action == Action.CLAIM:
                self.record_claim(submitted_at, change.claim)
        self.schedule_write(committer)

    def record_claim(self, submitted_at: float, claim: Claim) -> None:
        """Record a claim's latency, including the hop back, and schedule its outcome."""
        return_hop = HOP_SECONDS if self.scenario.preferred and self.scenario.routers > 1 else 0.0
        self.latencies.append(self.scheduler.now - submitted_at + return_hop)
        done = msgspec.structs.replace(claim, outcome=Outcome.RAN.value)
        self.scheduler.after(SERVICE_SECONDS, self.submit, Change(Action.RECORD.value, done))

    def row(self, seconds: float) -> dict:
        """Run for `seconds` of virtual time and return the result row."""
        self.arrive(seconds)
        self.scheduler.run(seconds)
        ordered = sorted(self.latencies) or [float("inf")]
        return {
            "routers": self.scenario.routers,
            "write_ms": self.scenario.latency * 1000,
            "grouped": str(self.scenario.grouped),
            "preferred": str(self.scenario.preferred),
            "claims/s": len(self.latencies) / seconds,
            "writes/s": self.writes / seconds,
            "calls/claim": (self.reads + self.writes) / max(1, len(self.latencies)),
            "p50_ms": ordered[len(ordered) // 2] * 1000,
            "p99_ms": ordered[int(len(ordered) * 0.99)] * 1000,
            "head_bytes": self.max_head_bytes,
        }


SCENARIOS = (
    *(Scenario(routers, TARGET_LATENCY_SECONDS) for routers in (1, 4, 16)),
    *(Scenario(4, latency) for latency in (0.002, 0.05, 0.2)),
    Scenario(4, TARGET_LATENCY_SECONDS, grouped=False),
    Scenario(4, TARGET_LATENCY_SECONDS, preferred=False),
    Scenario(16, TARGET_LATENCY_SECONDS, preferred=False),
)


def run_with_faults(report: Report, seed: int, attempts: int) -> None:
    """Run attempts under random faults and count safety violations."""
    simulation = ProtocolSimulation(random.Random(seed), routers=3, endpoints=3)
    chaos = Chaos(simulation, WEIGHTS, keys=attempts)
    while simulation.counts["deliver_hand_over"] < attempts:
        chaos.step()
    names = ("lose", "duplicate", "crash", "lose_reply", "conflict", "outage")
    restarts = simulation.counts["restart_sidecar"] + simulation.counts["restart_router"]
    row = {"attempts": simulation.counts["deliver_hand_over"], "restarts": restarts}
    row |= {name: simulation.counts[name] for name in names}
    row |= {f"told {ran}": count for ran, count in sorted(simulation.reported_counts.items())}
    report.rows.append(row | {"broken": len(simulation.violations)})
    report.expect(not simulation.violations, f"no safety violation: {simulation.violations[:3]}")


@benches.register("claims")
def run(seed: int, quick: bool) -> Report:
    """Measure throughput and latency, then safety under faults."""
    report = Report()
    seconds = QUICK_DURATION_SECONDS if quick else DURATION_SECONDS
    for scenario in SCENARIOS:
        row = ClaimSimulation(scenario, seed).row(seconds)
        report.rows.append(row)
        if scenario.latency == TARGET_LATENCY_SECONDS and scenario.grouped and scenario.preferred:
            label = f"{scenario.routers} routers"
            report.expect(
                row["claims/s"] >= 0.95 * CLAIMS_PER_SECOND,
                f"{label}: {CLAIMS_PER_SECOND:.0f} claims/s",
            )
            report.expect(
                row["writes/s"] <= MAX_WRITES_PER_SECOND,
                f"{label}: {MAX_WRITES_PER_SECOND:.0f} writes/s",
            )
            report.expect(
                row["p99_ms"] < MAX_P99_SECONDS * 1000, f"{label}: p99 {MAX_P99_SECONDS} s"
            )
    run_with_faults(report, seed, QUICK_ATTEMPTS if quick else FAULTED_ATTEMPTS)
    return report
