"""Run of a soak test: traffic, a seeded series of overlapping faults, and the checks."""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import curio

from .callers import DEADLINE_SECONDS, Caller, TrafficLog
from .checks import checks
from .faults import faults
from .world import FaultPeriod, SoakHarness, now

CALLER_COUNT = 8
CALLERS_PER_ROUTER = 1
FAULT_DURATION_SECONDS = (0.3, 2.5)
FAULT_INTERVAL_SECONDS = (0.1, 0.9)
CONVERGENCE_TIMEOUT_SECONDS = 30.0
CONVERGENCE_POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of a soak test.

    :param seed: seed of the random choices of callers and faults.
    :param seconds: time during which faults are started.
    :param router_count: number of router processes.
    :param endpoint_count: number of simulated endpoints.
    :param faults: names of the faults to choose from; empty for all.
    :param router_source: directory with the package that routers run; empty for the installed one.
    """

    seed: int
    seconds: float
    router_count: int = 3
    endpoint_count: int = 4
    faults: tuple[str, ...] = ()
    router_source: str = ""


@dataclass
class Report:
    """Result of a soak test.

    :param injected: names of the injected faults in the order of their start.
    :param violations: a message for each violated guarantee.
    :param logs: log of each router by its IP address; empty if no guarantee was violated.
    :param rejection_count: number of rejections by overloaded endpoints.
    :param copy_count: number of answers that these sent once more.
    """

    seed: int
    traffic: TrafficLog = field(default_factory=TrafficLog)
    injected: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)
    rejection_count: int = 0
    copy_count: int = 0

    def summary(self) -> str:
        """Return the numbers of requests by status and of faults in one line."""
        requests = self.traffic.requests
        statuses = Counter(entry.status if entry.body is not None else 0 for entry in requests)
        parts = ", ".join(f"{status or 'cut'}: {count}" for status, count in statuses.items())
        return (
            f"seed {self.seed}: {len(requests)} requests ({parts}), {len(self.injected)} faults,"
            f" {self.rejection_count} rejections and {self.copy_count} copies by endpoints"
        )


async def inject_faults(
    harness: SoakHarness,
    report: Report,
    rng: random.Random,
    seconds: float,
    names: Sequence[str],
) -> None:
    """Start random faults, which may overlap, and return when all have ended.

    :param seconds: time during which faults are started.
    :param names: of the faults to choose from.
    """
    deadline = now() + seconds
    async with curio.TaskGroup() as group:
        while now() < deadline:
            name = rng.choice(names)
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


async def run_soak(plan: Plan, report: Report) -> None:
    """Run a soak test and add its results to the report."""
    seed = plan.seed
    rng = random.Random(seed)
    traffic = report.traffic
    async with SoakHarness(plan.router_count, plan.endpoint_count, plan.router_source) as harness:
        probe_caller = Caller(harness, traffic, random.Random(seed + 1), 0)
        await check_convergence(harness, report, probe_caller)
        callers = [
            Caller(harness, traffic, random.Random(seed * CALLER_COUNT + n), n)
            for n in range(1, max(CALLER_COUNT, CALLERS_PER_ROUTER * plan.router_count) + 1)
        ]
        tasks = [await curio.spawn(caller.run) for caller in callers]
        await inject_faults(harness, report, rng, plan.seconds, plan.faults or sorted(faults))
        await check_convergence(harness, report, probe_caller)
        for task in tasks:
            await task.cancel()
        await curio.sleep(DEADLINE_SECONDS)
        for name in checks:
            report.violations += [f"{name}: {line}" for line in checks[name](harness, traffic)]
        report.rejection_count = harness.rejection_count
        report.copy_count = harness.copy_count
        if report.violations:
            report.logs = {router.ip: router.log.read_text() for router in harness.routers}


def run(plan: Plan) -> Report:
    """Run a soak test and return its report."""
    report = Report(plan.seed)
    curio.run(run_soak, plan, report)
    return report
