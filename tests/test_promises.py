"""Every fault, alone and in pairs, must leave the guarantees to callers intact.

A response is complete and belongs to its request, a request reported as not run did not run, and a
guarded request runs at most once.
"""

import itertools
from dataclasses import dataclass, field

import curio
import msgspec
import pytest
import xxhash
from faults import interpose
from harness import FleetHarness, run

from hickorylever import defaults
from hickorylever.environment import Environment
from hickorylever.exceptions import ConnectionLost, Ran
from hickorylever.registry import Registry
from hickorylever.sidecar import Sidecar
from hickorylever.standins.engine import Speed

CHATS = 6
POSTINGS = 5
MAX_TRIES = 4
RETRY_DELAY_SECONDS = 0.05
SERVICE_SECONDS = 0.06
STAGGER_SECONDS = 0.02
POSTING = "/ledger/postings"
NOTE = "/ledger/notes"

faults = Registry("fault")


class FaultHarness(FleetHarness):
    """Harness whose nodes can be stopped and restarted."""

    def __init__(self):
        super().__init__(engines=3, services=2, routers=2, speed=Speed(1e6, 0.01))
        for service in self.services:
            service.delay = SERVICE_SECONDS
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

    async def close_listener(self, port):
        await self.servers.pop(port).cancel()

    async def reapply_configuration(self, endpoints):
        self.revision += 1
        self.fleet = self.make_fleet(endpoints)
        self.apply_fleet(self.fleet, self.revision)


def endpoint_of(harness, name):
    return next(entry for entry in harness.fleet.endpoints if entry.name == name)


def find_busy_service(harness):
    """Return the name of a service with a request in progress, or an empty string."""
    names = [name for name in harness.sidecars if name.startswith("ledger")]
    return next((name for name in names if harness.sidecars[name].attempts.running), "")


@faults.register("endpoint fails")
async def endpoint_fails(harness):
    await harness.close_listener(endpoint_of(harness, "engine-0").port)
    await harness.close_listener(endpoint_of(harness, "ledger-0").port)


@faults.register("endpoint leaves")
async def endpoint_leaves(harness):
    for name in ("engine-1", "ledger-1"):
        await harness.spawn(harness.sidecars[name].drain)


@faults.register("sidecar restarts")
async def sidecar_restarts(harness):
    for name in ("engine-2", find_busy_service(harness) or "ledger-0"):
        old = harness.sidecars[name]
        port = harness.sidecar_ports[name]
        await harness.close_listener(port)
        env = Environment(old.env.settings)
        env.adopt(old.env.revisions.current, old.env.content)
        harness.sidecars[name] = Sidecar(env)
        await harness.serve(harness.sidecars[name].server, port)
        await harness.spawn(env.timers.run)


@faults.register("connections go silent")
async def connections_go_silent(harness):
    harness.revision += 1
    await interpose(harness, "engine-0", "silent", "", "silent", revision=harness.revision)
    harness.revision += 1
    await interpose(harness, "ledger-0", "silent", "unsent", "silent", revision=harness.revision)


@faults.register("responses are cut or mixed up")
async def responses_are_cut(harness):
    harness.revision += 1
    await interpose(
        harness, "engine-1", "truncated", "wrong_attempt", "truncated", revision=harness.revision
    )
    harness.revision += 1
    await interpose(
        harness, "ledger-1", "truncated", "wrong_attempt", "corrupted", revision=harness.revision
    )


@faults.register("object API is down")
async def platform_is_down(harness):
    harness.objects.faults.outage = True
    await curio.sleep(4 * RETRY_DELAY_SECONDS)
    harness.objects.faults.outage = False


@faults.register("object API loses replies")
async def platform_loses_replies(harness):
    harness.objects.faults.lost_replies = 0.5


@faults.register("router stops")
async def router_stops(harness):
    await harness.close_listener(harness.router_ports[0])


@faults.register("configuration changes")
async def configuration_changes(harness):
    for _ in range(3):
        await harness.reapply_configuration(harness.fleet.endpoints)
        await curio.sleep(RETRY_DELAY_SECONDS)


@faults.register("routers disagree")
async def routers_disagree(harness):
    harness.routers[1].env.view.usable = lambda name: not name.endswith("-0")


@dataclass
class Observations:
    """Results of requests.

    :param ran: reported values of `ran`, by idempotency key.
    :param violations: descriptions of violated guarantees.
    :param completed: number of complete responses.
    """

    ran: dict[str, list[str]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    completed: int = 0

    def record(self, key, ran):
        self.ran.setdefault(key, []).append(ran)


async def send(harness, router, path, body, key):
    """Send a request and return status, content and the reported value of `ran`."""
    fields = [(b"idempotency-key", key.encode()), (b"hickory-timeout", b"5")]
    try:
        status, _, content = await harness.post(path, body, fields, router)
    except ConnectionLost:
        return 0, b"", "unknown"
    if status < 400:
        return status, content, "yes"
    return status, content, msgspec.json.decode(content)["ran"]


async def run_chat(harness, observed, number):
    """Run a chat of three turns. Each chat has responses of a distinct length."""
    words = number + 3
    for turn in range(3):
        messages = [{"role": "user", "content": f"chat {number}"}] * (turn + 1)
        stream = turn % 2 == 0
        body = {"model": "m1", "messages": messages, "stream": stream, "max_tokens": words}
        data = msgspec.json.encode(body)
        status, content, _ = await send(
            harness, (number + turn) % 2, "/v1/chat/completions", data, f"chat-{number}-{turn}"
        )
        if status != 200:
            continue
        observed.completed += 1
        is_complete = b"w%d " % (words - 1) in content and b"w%d " % words not in content
        if not is_complete or (stream and not content.endswith(b"data: [DONE]\n\n")):
            observed.violations.append(f"chat {number}: {content[-200:]!r}")


async def post(harness, observed, path, key, tries, delay=0.0):
    """Send a request, and repeat it with its key until it succeeds or the tries are used up."""
    body = f"body of {key}".encode()
    await curio.sleep(delay)
    for turn in range(tries):
        status, content, ran = await send(harness, turn % 2, path, body, key)
        observed.record(key, ran)
        if status == 200:
            observed.completed += 1
            if msgspec.json.decode(content)["digest"] != xxhash.xxh3_128_hexdigest(body):
                observed.violations.append(f"{key}: response of another request")
            return
        await curio.sleep(RETRY_DELAY_SECONDS)


def check_runs(harness, observed):
    """Compare the reported results with the runs that the services counted."""
    for key, reported in observed.ran.items():
        runs = sum(service.runs[key] for service in harness.services)
        if runs > 1:
            observed.violations.append(f"{key} ran {runs} times")
        if runs and set(reported) == {"no"}:
            observed.violations.append(f"{key} ran, reported as {reported}")
        if not runs and "yes" in reported:
            observed.violations.append(f"{key} did not run, reported as {reported}")


async def wait_until_busy(harness):
    """Wait until a service is processing a request, so that faults occur meanwhile."""
    while not find_busy_service(harness):
        await curio.sleep(RETRY_DELAY_SECONDS / 10)
    await curio.sleep(SERVICE_SECONDS / 4)


async def run_with_faults(names):
    """Run requests while faults occur, and return the observations."""
    observed = Observations()
    async with FaultHarness() as harness:
        async with curio.TaskGroup() as group:
            for number in range(CHATS):
                await group.spawn(run_chat, harness, observed, number)
            for number in range(POSTINGS):
                delay = number * STAGGER_SECONDS
                await group.spawn(
                    post, harness, observed, POSTING, f"posting-{number}", MAX_TRIES, delay
                )
                await group.spawn(post, harness, observed, NOTE, f"note-{number}", 1, delay)
            await wait_until_busy(harness)
            for name in names:
                await group.spawn(faults[name], harness)
        for number in range(POSTINGS):
            await post(harness, observed, POSTING, f"late-{number}", MAX_TRIES)
        check_runs(harness, observed)
    return observed


NAMES = list(faults)
CASES = [(name,) for name in NAMES] + list(itertools.combinations(NAMES, 2))


@pytest.mark.parametrize("names", CASES, ids=" and ".join)
def test_guarantees_hold_under_faults(names, monkeypatch):
    monkeypatch.setattr(defaults, "HEARTBEAT_INTERVAL_SECONDS", 0.05)
    observed = run(run_with_faults, names)
    assert not observed.violations
    assert observed.completed


def return_false(*args):
    return False


def always_no(facts):
    return Ran.NO


MUTATIONS = [
    ("hickorylever.decisions.outcomes.ExecutionEvidence.ran", always_no, "sidecar restarts"),
    ("hickorylever.filters.guard.matches", return_false, "router stops"),
]


@pytest.mark.parametrize("target, replacement, fault", MUTATIONS)
def test_broken_variants_are_detected(target, replacement, fault, monkeypatch):
    monkeypatch.setattr(defaults, "HEARTBEAT_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr(target, replacement)
    observed = run(run_with_faults, (fault,))
    assert any("ran" in line for line in observed.violations)
