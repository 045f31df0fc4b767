"""Run of a soak test: traffic, a seeded series of overlapping faults, and the checks."""

import random
from collections import Counter
from dataclasses import dataclass, field

import curio

from .callers import DEADLINE_SECONDS, Caller, TrafficLog
from .checks import checks
from .faults import faults
from .world import FaultPeriod, SoakHarness, now

CALLER_COUNT = 8
FAULT_DURATION_SECONDS = (0.3, 2.5)
FAULT_INTERVAL_SECONDS = (0.1, 0.9)
CONVERGENCE_TIMEOUT_SECONDS = 30.0
CONVERGENCE_POLL_SECONDS = 0.1


@dataclass
class Report:
    """Result of a soak test.

    :param injected: names of the injected faults in the order of their start.
    :param violations: a message for each violated guarantee.
    :param logs: log of each router by its IP address; empty if no guarantee was violated.
    """

    seed: int
    traffic: TrafficLog = field(default_factory=TrafficLog)
    injected: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)

    def summary(self) -> str:
        """Return the numbers of requests by status and of faults in one line."""
        requests = self.traffic.requests
        statuses = Counter(entry.status if entry.body is not None else 0 for entry in requests)
        parts = ", ".join(f"{status or 'cut'}: {count}" for status, count in statuses.items())
        return f"seed {self.seed}: {len(requests)} requests ({parts}), {len(self.injected)} faults"


async def inject_faults(
    harness: SoakHarness, report: Report, rng: random.Random, seconds: float
) -> None:
    """Start random faults, which may overlap, and return when all have ended.

    :param seconds: time during which faults are started.
    """
    deadline = now() + seconds
    async with curio.TaskGroup() as group:
        while now() < deadline:
            name = rng.choice(sorted(faults))
            report.injected.append(name)
            fault_rng = random.Random(rng.random())
            duration = rng.uniform(*FAULT_DURATION_SECONDS)
            await group.spawn(run_fault, harness, report, name, fault_rng, duration)
            await curio.sleep(rng.uniform(*FAULT_INTERVAL_SECONDS))


async def run_fault(
    harness: SoakHarness, report: Report, name: str, rng: random.Random, seconds: float
) -> None:
    """Run a fault and record its period.

    An error in the fault is reported instead of raised, since the task group would cancel the
    other faults before they have reverted themselves.
    """
    start = now()
    try:
        await faults[name](harness, rng, seconds)
    except Exception as error:
        report.violations.append(f"fault {name!r} raised {error!r}")
    harness.fault_periods.append(FaultPeriod(name, start, now()))


async def check_convergence(harness: SoakHarness, report: Report, caller: Caller) -> None:
    """Write a new configuration and check that every router adopts it in time."""
    await harness.put_configuration()
    for router in harness.routers:
        deadline = now() + CONVERGENCE_TIMEOUT_SECONDS
        while (await caller.send(router, "safe", harness.version)).status != 200:
            if now() > deadline:
                report.violations.append(
                    f"{router.ip} does not serve configuration version {harness.version}"
                )
                break
            await curio.sleep(CONVERGENCE_POLL_SECONDS)


async def run_soak(seed: int, seconds: float, router_count: int, report: Report) -> None:
    """Run a soak test and add its results to the report."""
    rng = random.Random(seed)
    traffic = report.traffic
    async with SoakHarness(router_count) as harness:
        probe_caller = Caller(harness, traffic, random.Random(seed + 1), 0)
        await check_convergence(harness, report, probe_caller)
        callers = [
            Caller(harness, traffic, random.Random(seed * CALLER_COUNT + n), n)
            for n in range(1, CALLER_COUNT + 1)
        ]
        tasks = [await curio.spawn(caller.run) for caller in callers]
        await inject_faults(harness, report, rng, seconds)
        await check_convergence(harness, report, probe_caller)
        for task in tasks:
            await task.cancel()
        await curio.sleep(DEADLINE_SECONDS)
        for name in checks:
            report.violations += [f"{name}: {line}" for line in checks[name](harness, traffic)]
        if report.violations:
            report.logs = {router.ip: router.log.read_text() for router in harness.routers}


def run(seed: int, seconds: float, router_count: int = 3) -> Report:
    """Run a soak test and return its report.

    :param seed: seed of the random choices of callers and faults.
    :param seconds: time during which faults are started.
    :param router_count: number of router processes.
    """
    report = Report(seed)
    curio.run(run_soak, seed, seconds, router_count, report)
    return report
