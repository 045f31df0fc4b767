"""One soak: callers, a seeded series of overlapping faults, and the checks."""

import random
import time
from collections import Counter
from dataclasses import dataclass, field

import curio

from .. import http
from ..exceptions import ConnectionLost
from ..platform import names
from .faults import faults
from .world import EVENTS, FRONT_PORT, KEY, KINDS, SITE, World

CALLERS = 8
TIME_LIMIT_MS = 3000
PROMISES = (408, 421, 429, 503)  # Statuses that say that a request did not run.
FAULT_SECONDS = (0.3, 2.5)
FAULT_GAP = (0.1, 0.9)
KEEP_SHARE = 0.7  # Of requests that reuse their caller's connection.
SETTLE_TIME = 12.0  # Seconds in which every router must serve the newest configuration again.
POLL = 0.1  # Seconds.


@dataclass(frozen=True, slots=True)
class Sent:
    """A request and what its caller got; `body` is None where the answer was not whole."""

    id: str
    kind: str
    status: int
    body: bytes | None


@dataclass
class Report:
    """What a soak saw.

    :param asked: ids of all requests, also of those whose callers were stopped.
    :param broken: a line for each broken promise.
    :param logs: what each router logged, if a promise was broken.
    """

    seed: int
    asked: set[str] = field(default_factory=set)
    sent: list[Sent] = field(default_factory=list)
    injected: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)

    def summary(self) -> str:
        """Return one line of figures."""
        statuses = Counter(sent.status for sent in self.sent)
        parts = ", ".join(f"{status or 'cut'}: {count}" for status, count in statuses.items())
        return (
            f"seed {self.seed}: {len(self.sent)} requests ({parts}), {len(self.injected)} faults"
        )


class Caller:
    """Sends requests one after the other, on connections that it keeps while it can."""

    def __init__(self, world: World, report: Report, chance: random.Random, name: int):
        self.world = world
        self.report = report
        self.chance = chance
        self.name = name
        self.client = http.Client()
        self.count = 0

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            router = self.chance.choice(self.world.routers)
            kind = self.chance.choice(tuple(KINDS))
            await self.send(router.ip, kind)
            await curio.sleep(self.chance.uniform(0.0, 0.03))

    async def send(self, ip: str, kind: str, path: str = "") -> Sent:
        """Send one request and note what came of it."""
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        self.report.asked.add(request_id)
        suffix = "stream/x" if KINDS.get(kind) == "streaming" else "x"
        fields = [
            (names.ATTEMPT_ID, request_id.encode()),
            (names.DEADLINE, b"%d" % TIME_LIMIT_MS),
            (b"authorization", f"Bearer {KEY}".encode()),
        ]
        status, body = await self.exchange(ip, path or f"/{kind}/{suffix}", fields)
        sent = Sent(request_id, kind, status, body)
        self.report.sent.append(sent)
        return sent

    async def exchange(self, ip: str, path: str, fields) -> tuple[int, bytes | None]:
        """Return status and whole body; status 0 without an answer."""
        status = 0
        fresh = self.chance.random() > KEEP_SHARE
        try:
            async with curio.timeout_after(2 * TIME_LIMIT_MS / 1000):
                channel = await self.client.acquire(ip, FRONT_PORT, fresh)
                try:
                    await self.client.request(channel, "POST", path, fields, b"soak", SITE)
                    answer = await self.client.answer(channel)
                    status = answer.status
                    body = await answer.body()
                except BaseException:
                    await channel.close()
                    raise
                await self.client.release(ip, FRONT_PORT, channel)
        except (ConnectionLost, curio.TaskTimeout):
            return status, None
        return status, body


def check(world: World, report: Report) -> None:
    """Compare what callers got with what endpoints ran."""
    runs = Counter(run.request_id for origin in world.origins for run in origin.runs)
    whole = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
    unasked = [name for name in runs if name not in report.asked]
    report.broken += [f"{name} ran and no caller sent it" for name in unasked]
    for sent in report.sent:
        ran = runs[sent.id]
        if sent.kind in ("unsafe", "stream") and ran > 1:
            report.broken.append(f"{sent.id} ({sent.kind}) ran {ran} times")
        if sent.status in PROMISES and ran:
            report.broken.append(f"{sent.id} was answered {sent.status} and ran")
        if sent.status != 200 or sent.body is None:
            continue
        streamed = KINDS.get(sent.kind) == "streaming"
        own = sent.body == whole if streamed else sent.body.endswith(f" for {sent.id}".encode())
        if not own:
            report.broken.append(f"{sent.id} ({sent.kind}) got another body: {sent.body[:80]!r}")


async def inject(world: World, report: Report, chance: random.Random, seconds: float) -> None:
    """Start faults one after the other; they overlap. Return when all are over."""
    until = time.monotonic() + seconds
    async with curio.TaskGroup() as group:
        while time.monotonic() < until:
            name = chance.choice(sorted(faults))
            report.injected.append(name)
            await group.spawn(faults[name], world, chance, chance.uniform(*FAULT_SECONDS))
            await curio.sleep(chance.uniform(*FAULT_GAP))


async def settle(world: World, report: Report, caller: Caller) -> None:
    """Check that every router serves the newest configuration again."""
    await world.configure()
    path = f"/version-{world.version}/x"
    for router in world.routers:
        until = time.monotonic() + SETTLE_TIME
        while (await caller.send(router.ip, "safe", path)).status != 200:
            if time.monotonic() > until:
                report.broken.append(f"{router.ip} does not serve version {world.version}")
                break
            await curio.sleep(POLL)


async def play(seed: int, seconds: float, routers: int, report: Report) -> None:
    """Play one soak."""
    chance = random.Random(seed)
    async with World(routers) as world:
        first = Caller(world, report, random.Random(seed + 1), 0)
        await settle(world, report, first)
        callers = [
            Caller(world, report, random.Random(seed * CALLERS + n), n)
            for n in range(1, CALLERS + 1)
        ]
        tasks = [await curio.spawn(caller.run) for caller in callers]
        await inject(world, report, chance, seconds)
        await settle(world, report, first)
        for task in tasks:
            await task.cancel()
        await curio.sleep(TIME_LIMIT_MS / 1000)
        check(world, report)
        if report.broken:
            report.logs = {router.ip: router.log.read_text() for router in world.routers}


def run(seed: int, seconds: float, routers: int = 3) -> Report:
    """Play one soak and return its report.

    :param seconds: in which faults are started.
    """
    report = Report(seed)
    curio.run(play, seed, seconds, routers, report)
    return report
