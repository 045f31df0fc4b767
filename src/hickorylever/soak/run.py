"""Run of a soak test: traffic, a seeded series of overlapping faults, and the checks."""

import random
from collections import Counter
from dataclasses import dataclass, field

import curio

from .callers import TIME_LIMIT, Caller, Record
from .checks import checks
from .faults import faults
from .world import Impairment, World, now

CALLERS = 8
FAULT_SECONDS = (0.3, 2.5)
FAULT_GAP = (0.1, 0.9)
SETTLE_TIME = 30.0
POLL = 0.1


@dataclass
class Report:
    """Result of a soak test.

    :param injected: names of the injected faults in the order of their start.
    :param broken: a message for each violated guarantee.
    :param logs: log of each router by its IP address; empty if no guarantee was violated.
    """

    seed: int
    record: Record = field(default_factory=Record)
    injected: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)

    def summary(self) -> str:
        """Return the numbers of requests by status and of faults in one line."""
        sent = self.record.sent
        statuses = Counter(entry.status if entry.body is not None else 0 for entry in sent)
        parts = ", ".join(f"{status or 'cut'}: {count}" for status, count in statuses.items())
        return f"seed {self.seed}: {len(sent)} requests ({parts}), {len(self.injected)} faults"


async def inject(world: World, report: Report, chance: random.Random, seconds: float) -> None:
    """Start random faults, which may overlap, and return when all have ended.

    :param seconds: time during which faults are started.
    """
    until = now() + seconds
    async with curio.TaskGroup() as group:
        while now() < until:
            name = chance.choice(sorted(faults))
            report.injected.append(name)
            own = random.Random(chance.random())
            seconds_long = chance.uniform(*FAULT_SECONDS)
            await group.spawn(play_fault, world, report, name, own, seconds_long)
            await curio.sleep(chance.uniform(*FAULT_GAP))


async def play_fault(
    world: World, report: Report, name: str, chance: random.Random, seconds: float
) -> None:
    """Run a fault and record its period.

    An error in the fault is reported instead of raised, since the task group would cancel the
    other faults before they have reverted themselves.
    """
    began = now()
    try:
        await faults[name](world, chance, seconds)
    except Exception as error:
        report.broken.append(f"fault {name!r} raised {error!r}")
    world.impairments.append(Impairment(name, began, now()))


async def settle(world: World, report: Report, caller: Caller) -> None:
    """Write a new configuration and check that every router adopts it in time."""
    await world.configure()
    for router in world.routers:
        until = now() + SETTLE_TIME
        while (await caller.send(router, "safe", world.version)).status != 200:
            if now() > until:
                report.broken.append(
                    f"{router.ip} does not serve configuration version {world.version}"
                )
                break
            await curio.sleep(POLL)


async def play(seed: int, seconds: float, routers: int, report: Report) -> None:
    """Run a soak test and add its results to the report."""
    chance = random.Random(seed)
    record = report.record
    async with World(routers) as world:
        first = Caller(world, record, random.Random(seed + 1), 0)
        await settle(world, report, first)
        callers = [
            Caller(world, record, random.Random(seed * CALLERS + n), n)
            for n in range(1, CALLERS + 1)
        ]
        tasks = [await curio.spawn(caller.run) for caller in callers]
        await inject(world, report, chance, seconds)
        await settle(world, report, first)
        for task in tasks:
            await task.cancel()
        await curio.sleep(TIME_LIMIT)
        for name in checks:
            report.broken += [f"{name}: {line}" for line in checks[name](world, record)]
        if report.broken:
            report.logs = {router.ip: router.log.read_text() for router in world.routers}


def run(seed: int, seconds: float, routers: int = 3) -> Report:
    """Run a soak test and return its report.

    :param seed: seed of the random choices of callers and faults.
    :param seconds: time during which faults are started.
    :param routers: number of router processes.
    """
    report = Report(seed)
    curio.run(play, seed, seconds, routers, report)
    return report
