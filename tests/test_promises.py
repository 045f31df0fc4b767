"""Every fault alone and in pairs: whole own answers, a true "not run", at most once."""

import itertools
from dataclasses import dataclass, field

import curio
import msgspec
import pytest
import xxhash
from faults import interpose
from harness import World, run

from hickorylever import defaults
from hickorylever.environment import Environment
from hickorylever.exceptions import ConnectionLost, Ran
from hickorylever.registry import Registry
from hickorylever.sidecar import Sidecar
from hickorylever.standins.engine import Speed

CHATS = 6
POSTINGS = 5
TRIES = 4
PAUSE = 0.05
SERVICE_TIME = 0.06
STAGGER = 0.02
POSTING = "/ledger/postings"
NOTE = "/ledger/notes"

faults = Registry("fault")


class Town(World):
    """A world whose nodes can be cut off and started again."""

    def __init__(self):
        super().__init__(engines=3, services=2, routers=2, speed=Speed(1e6, 0.01))
        for service in self.services:
            service.delay = SERVICE_TIME
        self.servers = {}
        self.revision = 1
        self.sidecar_ports = {}

    async def __aenter__(self):
        await super().__aenter__()
        self.sidecar_ports = {entry.name: entry.sidecar_port for entry in self.fleet.endpoints}
        return self

    async def spawn(self, *args):
        task = await super().spawn(*args)
        if args[0].__name__ == "serve":
            self.servers[args[1].getsockname()[1]] = task
        return task

    async def cut(self, port):
        await self.servers.pop(port).cancel()

    async def change(self, endpoints):
        self.revision += 1
        self.fleet = self.make_fleet(endpoints)
        self.apply_fleet(self.fleet, self.revision)


def endpoint_of(world, name):
    return next(entry for entry in world.fleet.endpoints if entry.name == name)


def busy(world):
    """Return the name of a service with a request under way, empty when there is none."""
    names = [name for name in world.sidecars if name.startswith("ledger")]
    return next((name for name in names if world.sidecars[name].attempts.running), "")


@faults.register("endpoint fails")
async def endpoint_fails(world):
    await world.cut(endpoint_of(world, "engine-0").port)
    await world.cut(endpoint_of(world, "ledger-0").port)


@faults.register("endpoint leaves")
async def endpoint_leaves(world):
    for name in ("engine-1", "ledger-1"):
        await world.spawn(world.sidecars[name].drain)


@faults.register("sidecar restarts")
async def sidecar_restarts(world):
    for name in ("engine-2", busy(world) or "ledger-0"):
        old = world.sidecars[name]
        port = world.sidecar_ports[name]
        await world.cut(port)
        env = Environment(old.env.settings)
        env.adopt(old.env.revisions.current, old.env.content)
        world.sidecars[name] = Sidecar(env)
        await world.serve(world.sidecars[name].server, port)
        await world.spawn(env.timers.run)


@faults.register("connections go silent")
async def connections_go_silent(world):
    world.revision += 1
    await interpose(world, "engine-0", "silent", "", "silent", revision=world.revision)
    world.revision += 1
    await interpose(world, "ledger-0", "silent", "mute", "silent", revision=world.revision)


@faults.register("answers are cut or crossed")
async def answers_are_cut(world):
    world.revision += 1
    await interpose(world, "engine-1", "half", "other", "half", revision=world.revision)
    world.revision += 1
    await interpose(world, "ledger-1", "half", "other", "flip", revision=world.revision)


@faults.register("platform is down")
async def platform_is_down(world):
    world.objects.faults.outage = True
    await curio.sleep(4 * PAUSE)
    world.objects.faults.outage = False


@faults.register("platform loses replies")
async def platform_loses_replies(world):
    world.objects.faults.lost_replies = 0.5


@faults.register("router is gone")
async def router_is_gone(world):
    await world.cut(world.router_ports[0])


@faults.register("configuration changes")
async def configuration_changes(world):
    for _ in range(3):
        await world.change(world.fleet.endpoints)
        await curio.sleep(PAUSE)


@faults.register("routers disagree")
async def routers_disagree(world):
    world.routers[1].env.view.usable = lambda name: not name.endswith("-0")


@dataclass
class Told:
    """What callers were told, by idempotency key."""

    ran: dict[str, list[str]] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    whole: int = 0

    def note(self, key, ran):
        self.ran.setdefault(key, []).append(ran)


async def ask(world, router, path, body, key):
    """Return status, content and what the answer says about the run."""
    fields = [(b"idempotency-key", key.encode()), (b"hickory-timeout", b"5")]
    try:
        status, _, content = await world.post(path, body, fields, router)
    except ConnectionLost:
        return 0, b"", "unknown"
    if status < 400:
        return status, content, "yes"
    return status, content, msgspec.json.decode(content)["ran"]


async def chat(world, told, number):
    """Hold a chat of three turns; its answers are as long as no other chat's."""
    words = number + 3
    for turn in range(3):
        messages = [{"role": "user", "content": f"chat {number}"}] * (turn + 1)
        stream = turn % 2 == 0
        body = {"model": "m1", "messages": messages, "stream": stream, "max_tokens": words}
        data = msgspec.json.encode(body)
        status, content, _ = await ask(
            world, (number + turn) % 2, "/v1/chat/completions", data, f"chat-{number}-{turn}"
        )
        if status != 200:
            continue
        told.whole += 1
        last = b"w%d " % (words - 1) in content and b"w%d " % words not in content
        if not last or (stream and not content.endswith(b"data: [DONE]\n\n")):
            told.broken.append(f"chat {number}: {content[-200:]!r}")


async def post(world, told, path, key, tries, delay=0.0):
    """Send a request, and again with its key while nobody knows whether it ran."""
    body = f"body of {key}".encode()
    await curio.sleep(delay)
    for turn in range(tries):
        status, content, ran = await ask(world, turn % 2, path, body, key)
        told.note(key, ran)
        if status == 200:
            told.whole += 1
            if msgspec.json.decode(content)["digest"] != xxhash.xxh3_128_hexdigest(body):
                told.broken.append(f"{key}: another request's answer")
            return
        await curio.sleep(PAUSE)


def check_runs(world, told):
    """Compare what was told with what the services counted."""
    for key, answers in told.ran.items():
        runs = sum(service.runs[key] for service in world.services)
        if runs > 1:
            told.broken.append(f"{key} ran {runs} times")
        if runs and set(answers) == {"no"}:
            told.broken.append(f"{key} ran, told {answers}")
        if not runs and "yes" in answers:
            told.broken.append(f"{key} did not run, told {answers}")


async def begun(world):
    """Wait until a request runs at a service, so that the faults come in its midst."""
    while not busy(world):
        await curio.sleep(PAUSE / 10)
    await curio.sleep(SERVICE_TIME / 4)


async def live_through(names):
    """Run the traffic with faults under way and return what was told."""
    told = Told()
    async with Town() as world:
        async with curio.TaskGroup() as group:
            for number in range(CHATS):
                await group.spawn(chat, world, told, number)
            for number in range(POSTINGS):
                delay = number * STAGGER
                await group.spawn(post, world, told, POSTING, f"posting-{number}", TRIES, delay)
                await group.spawn(post, world, told, NOTE, f"note-{number}", 1, delay)
            await begun(world)
            for name in names:
                await group.spawn(faults[name], world)
        for number in range(POSTINGS):
            await post(world, told, POSTING, f"late-{number}", TRIES)
        check_runs(world, told)
    return told


NAMES = list(faults)
CASES = [(name,) for name in NAMES] + list(itertools.combinations(NAMES, 2))


@pytest.mark.parametrize("names", CASES, ids=" and ".join)
def test_promises_hold(names, monkeypatch):
    monkeypatch.setattr(defaults, "HEARTBEAT_INTERVAL_SECONDS", 0.05)
    told = run(live_through, names)
    assert not told.broken
    assert told.whole


def never(*args):
    return False


def always_no(facts):
    return Ran.NO


BROKEN = [
    ("hickorylever.decisions.outcomes.ExecutionEvidence.ran", always_no, "sidecar restarts"),
    ("hickorylever.filters.guard.matches", never, "router is gone"),
]


@pytest.mark.parametrize("target, replacement, fault", BROKEN)
def test_broken_variants_are_noticed(target, replacement, fault, monkeypatch):
    monkeypatch.setattr(defaults, "HEARTBEAT_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(target, replacement)
    told = run(live_through, (fault,))
    assert any("ran" in line for line in told.broken)
