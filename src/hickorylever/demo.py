"""The demo: settings for every process of the example fleets, and a driver with faults.

The shell starts the processes; this program only writes files, sends requests and signals.
"""

import dataclasses
import os
import random
import re
import signal
import socket
import sys
import time
from pathlib import Path

import curio
import msgspec

from . import defaults, settings
from .exceptions import ConnectionLost, HickoryleverError
from .fleet import compile_fleet
from .http import Client
from .records import VM, Endpoint, Fleet
from .settings import split_address

READY_TRIES = 150
READY_PAUSE = 0.2
GUARDED_SPREAD = 4.0
GUARDED_TRIES = 8
GUARDED_PAUSE = 0.5
OUTAGE = 1.5
LATENCY = 0.005
CONTROL_BYTES = re.compile(rb"^hickorylever_control_bytes_total\{.*\} (\S+)$", re.MULTILINE)
COLUMNS = (
    "requests",
    "whole",
    "not run",
    "unknown",
    "cut",
    "reuse",
    "skew",
    "ctl B/s",
    "ran/keys",
)


@dataclasses.dataclass(slots=True)
class Tally:
    """What the driver has seen. `broken` lists every broken promise."""

    requests: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0
    cut: int = 0
    guarded: int = 0
    ran: int = 0
    broken: list[str] = dataclasses.field(default_factory=list)


def settings_text(vm: VM, platform: str, endpoint: Endpoint | None, fleet: Fleet) -> str:
    """Return the settings file of a VM's process."""
    port = endpoint.sidecar_port if endpoint else defaults.ROUTER_PORT
    routers = [entry for entry in fleet.vms if entry.role == "entry" and entry != vm]
    peers = [f"{entry.address}:{defaults.ADMIN_PORT}" for entry in routers]
    lines = [
        f'vm = "{vm.name}"',
        f'region = "{vm.region}"',
        f'failure_domain = "{vm.failure_domain}"',
        f'platform = "{platform}"',
        f'address = "{vm.address}"',
        f"port = {port}",
        f"admin_port = {defaults.ADMIN_PORT}",
        f"drain_grace = {fleet.drain_grace}",
        f"peers = {msgspec.json.encode(peers).decode()}",
        'log_level = "warning"',
    ]
    if endpoint:
        lines.append(f'endpoint = "{endpoint.address}:{endpoint.port}"')
    return "\n".join(lines) + "\n"


def check_free(address: str, port: int) -> None:
    """Refuse to start when something listens already.

    :raises HickoryleverError: with the address and port in use.
    """
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((address, port))
        except OSError as error:
            raise HickoryleverError(f"{address}:{port} can't be used: {error}") from None


def prepare(directory: str, platform: str, output: Path) -> list[str]:
    """Write settings files for a fleet and return the commands that start its processes.

    :returns: lines of ``name command ...``.
    """
    fleet = compile_fleet(directory)
    kinds = {application.name: application.kind for application in fleet.applications}
    by_vm = {endpoint.vm: endpoint for endpoint in fleet.endpoints}
    output.mkdir(parents=True, exist_ok=True)
    lines = []
    for vm in fleet.vms:
        endpoint = by_vm.get(vm.name)
        for port in [defaults.ADMIN_PORT, *([endpoint.port] if endpoint else [])]:
            check_free(vm.address, port)
        path = output / f"{vm.name}.toml"
        path.write_text(settings_text(vm, platform, endpoint, fleet))
        if endpoint is None:
            lines.append(f"{vm.name} hickorylever router --settings {path}")
            continue
        kind = "engine" if kinds[endpoint.application] == "model" else "service"
        lines.append(
            f"{endpoint.name}.endpoint hickorylever standin {kind} --name {endpoint.name}"
            f" --address {endpoint.address} --port {endpoint.port}"
        )
        lines.append(f"{vm.name} hickorylever sidecar --settings {path}")
    return lines


class Driver:
    """Sends a seeded mix of requests to one fleet and checks every answer."""

    def __init__(self, fleet: Fleet, pids: Path, seed: int):
        self.fleet = fleet
        self.pids = pids
        self.chance = random.Random(seed)
        self.client = Client()
        self.tally = Tally()
        self.routers = [vm for vm in fleet.vms if vm.role == "entry"]
        self.services = [entry for entry in fleet.applications if entry.kind == "service"]
        self.keys: dict[str, str] = {}

    async def wait_ready(self) -> None:
        """Wait until every router is ready."""
        for vm in self.fleet.vms:
            for _ in range(READY_TRIES):
                if await self.ready(vm):
                    break
                await curio.sleep(READY_PAUSE)
            else:
                raise HickoryleverError(f"{vm.name} did not become ready")

    async def ready(self, vm: VM) -> bool:
        """Tell whether a VM's process is ready."""
        try:
            status, _, _ = await self.client.fetch(
                vm.address, defaults.ADMIN_PORT, "GET", "/readyz", fresh=True
            )
        except ConnectionLost:
            return False
        return status == 200

    async def post(self, account: str, path: str, body: dict, extra=()) -> tuple[int, bytes]:
        """Send one request through a router chosen at random."""
        router = self.chance.choice(self.routers)
        fields = [
            (b"authorization", f"Bearer demo-key-{account}".encode()),
            (b"content-type", b"application/json"),
            *extra,
        ]
        data = msgspec.json.encode(body)
        port = defaults.ROUTER_PORT
        self.tally.requests += 1
        try:
            status, _, content = await self.client.fetch(
                router.address, port, "POST", path, fields, data
            )
        except ConnectionLost:
            self.tally.cut += 1
            return 0, b""
        self.count(status, content)
        return status, content

    def count(self, status: int, content: bytes) -> None:
        """Count an answer by what it says about the run."""
        if status < 400:
            self.tally.whole += 1
            return
        ran = msgspec.json.decode(content).get("ran")
        self.tally.not_run += ran == "no"
        self.tally.unknown += ran == "unknown"

    async def chat(self, number: int, turns: int) -> None:
        """Hold one chat that returns after pauses, each turn through any router."""
        account = self.chance.choice([a for a in self.fleet.client_accounts if a.models])
        messages = [{"role": "system", "content": f"statement {number} " * 80}]
        for turn in range(turns):
            messages.append({"role": "user", "content": f"question {turn} of chat {number}"})
            stream = self.chance.random() < 0.5
            body = {"model": account.models[0], "messages": messages, "max_tokens": 12}
            status, content = await self.post(
                account.name, "/v1/chat/completions", {**body, "stream": stream}
            )
            if status == 200 and not self.complete(content, stream):
                self.tally.broken.append(f"chat {number}: part of an answer")
            messages.append({"role": "assistant", "content": "w" * 40})
            await curio.sleep(self.chance.uniform(0.05, 0.3))

    def complete(self, content: bytes, stream: bool) -> bool:
        """Tell whether an answer is whole."""
        if stream:
            return content.endswith(b"data: [DONE]\n\n") and content.count(b'"content"') == 12
        return b"w11 " in content

    async def guarded(self, number: int) -> None:
        """Send one guarded request, and again after any doubt, with the same key."""
        service = self.services[0]
        rule = self.fleet.guards[0]
        names = [a.name for a in self.fleet.client_accounts if service.name in a.applications]
        account = self.chance.choice(names)
        key = f"posting-{number}"
        self.tally.guarded += 1
        extra = [(b"idempotency-key", key.encode())]
        await curio.sleep(self.chance.uniform(0, GUARDED_SPREAD))
        for _ in range(GUARDED_TRIES):
            status, content = await self.post(account, rule.path, {"posting": number}, extra)
            self.keys[key] = told(status, content)
            if self.keys[key] == "yes":
                return
            await curio.sleep(GUARDED_PAUSE)

    async def signal(self, name: str, number: int) -> None:
        """Send a signal to a process that the shell has started."""
        os.kill(int((self.pids / f"{name}.pid").read_text()), number)

    async def run(self, chats: int, turns: int, guarded: int) -> None:
        """Send everything, with one drain and one kill under way."""
        async with curio.TaskGroup() as group:
            for number in range(chats):
                await group.spawn(self.chat, number, turns)
            for number in range(guarded):
                await group.spawn(self.guarded, number)
            await curio.sleep(0.5)
            models = [e for e in self.fleet.endpoints if e.models]
            await self.signal(models[0].vm, signal.SIGTERM)
            await self.signal(f"{models[1].name}.endpoint", signal.SIGKILL)
            await self.set_outage(True)
            await curio.sleep(OUTAGE)
            await self.set_outage(False)
        await self.check_guarded()

    async def set_outage(self, outage: bool) -> None:
        """Switch an outage of the object API on or off."""
        path = self.pids / self.fleet.name / f"{self.fleet.vms[0].name}.toml"
        address, port = split_address(settings.load(path).platform)
        body = msgspec.json.encode({"outage": outage, "latency": LATENCY})
        await self.client.fetch(address, port, "PUT", "/faults", body=body, fresh=True)

    async def check_guarded(self) -> None:
        """Ask every plain service how often each key ran."""
        runs: dict[str, int] = {}
        for endpoint in self.fleet.endpoints:
            if endpoint.models:
                continue
            _, _, content = await self.client.fetch(
                endpoint.address, endpoint.port, "GET", "/counts", fresh=True
            )
            for key, count in msgspec.json.decode(content).items():
                runs[key] = runs.get(key, 0) + count
        self.tally.ran = sum(runs.values())
        for key, answer in self.keys.items():
            count = runs.get(key, 0)
            if count > 1:
                self.tally.broken.append(f"{key} ran {count} times")
            if (answer, count) in (("no", 1), ("yes", 0)):
                self.tally.broken.append(f"{key} ran {count} times, its caller was told {answer}")

    async def engine_counts(self) -> list[dict]:
        """Return the counts of every engine that still lives."""
        found = []
        for endpoint in self.fleet.endpoints:
            if not endpoint.models:
                continue
            try:
                _, _, content = await self.client.fetch(
                    endpoint.address, endpoint.port, "GET", "/counts", fresh=True
                )
            except ConnectionLost:
                continue
            found.append(msgspec.json.decode(content))
        return found

    async def control_bytes(self) -> float:
        """Return the control bytes that all live nodes have sent and received."""
        total = 0.0
        for vm in self.fleet.vms:
            try:
                _, _, content = await self.client.fetch(
                    vm.address, defaults.ADMIN_PORT, "GET", "/metrics", fresh=True
                )
            except ConnectionLost:
                continue
            total += sum(float(value) for value in CONTROL_BYTES.findall(content))
        return total


def told(status: int, content: bytes) -> str:
    """Return what an answer says about the run: yes, no or unknown."""
    if status == 0:
        return "unknown"
    if status < 400:
        return "yes"
    return msgspec.json.decode(content).get("ran", "unknown")


def summary(driver: Driver, counts: list[dict], control: float, seconds: float) -> list[str]:
    """Return the cells of a fleet's row.

    Skew compares the prompt tokens that the engines which live to the end have computed.
    """
    tally = driver.tally
    prompts = [count["prompt_tokens"] for count in counts if count["prompt_tokens"]]
    cached = sum(count["cached_tokens"] for count in counts)
    skew = max(prompts) * len(prompts) / sum(prompts)
    rate = control / seconds / len(driver.fleet.vms)
    cells = (tally.requests, tally.whole, tally.not_run, tally.unknown, tally.cut)
    figures = (f"{cached / sum(prompts):.2f}", f"{skew:.2f}", f"{rate:.0f}")
    return [str(cell) for cell in cells] + [*figures, f"{tally.ran}/{tally.guarded}"]


async def drive(directories: list[str], pids: Path, seed: int) -> int:
    """Drive every fleet, print a table and return the exit code."""
    broken = []
    print(f"{'fleet':<12}" + "".join(f"{column:>10}" for column in COLUMNS))
    for directory in directories:
        driver = Driver(compile_fleet(directory), pids, seed)
        print(f"{directory}: waiting until every node is ready", file=sys.stderr)
        await driver.wait_ready()
        print(f"{directory}: sending; drain, kill and outage under way", file=sys.stderr)
        before = await driver.control_bytes()
        begun = time.monotonic()
        await driver.run(chats=40, turns=4, guarded=40)
        control = await driver.control_bytes() - before
        cells = summary(driver, await driver.engine_counts(), control, time.monotonic() - begun)
        print(f"{driver.fleet.name:<12}" + "".join(f"{cell:>10}" for cell in cells))
        broken += driver.tally.broken
    for line in broken:
        print(f"BROKEN: {line}")
    return 1 if broken else 0
