"""The demo: settings files for the example fleets, and a load generator with faults.

A shell script starts the processes; this module writes files and sends requests and signals.
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
    """Counts of responses and executions.

    :param whole: complete responses.
    :param not_run: errors that report the request as not executed.
    :param unknown: errors that leave open whether the request was executed.
    :param cut: requests whose connection was lost.
    :param guarded: number of guarded requests.
    :param ran: executions of guarded requests.
    :param broken: descriptions of safety violations.
    """

    requests: int = 0
    whole: int = 0
    not_run: int = 0
    unknown: int = 0
    cut: int = 0
    guarded: int = 0
    ran: int = 0
    broken: list[str] = dataclasses.field(default_factory=list)


def settings_text(vm: VM, platform: str, endpoint: Endpoint | None, fleet: Fleet) -> str:
    """Return the content of the settings file of a VM's process."""
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
    """Check that a port is free.

    :raises HickoryleverError: if the address and port can't be bound.
    """
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((address, port))
        except OSError as error:
            raise HickoryleverError(f"{address}:{port} can't be used: {error}") from None


def prepare(directory: str, platform: str, output: Path) -> list[str]:
    """Write settings files for a fleet and return the commands that start its processes.

    :returns: lines of the form ``name command ...``.
    :raises HickoryleverError: if a port is in use.
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
    """Sends a random mix of requests to one fleet and checks every response.

    :param pids: directory of the pid files and settings files of the processes.
    :param seed: seed of the random generator.
    """

    def __init__(self, fleet: Fleet, pids: Path, seed: int):
        self.fleet = fleet
        self.pids = pids
        self.rng = random.Random(seed)
        self.client = Client()
        self.tally = Tally()
        self.routers = [vm for vm in fleet.vms if vm.role == "entry"]
        self.services = [entry for entry in fleet.applications if entry.kind == "service"]
        self.keys: dict[str, str] = {}

    async def wait_ready(self) -> None:
        """Wait until the processes of all VMs are ready.

        :raises HickoryleverError: if one does not become ready in time.
        """
        for vm in self.fleet.vms:
            for _ in range(READY_TRIES):
                if await self.ready(vm):
                    break
                await curio.sleep(READY_PAUSE)
            else:
                raise HickoryleverError(f"{vm.name} not ready after {READY_TRIES} checks")

    async def ready(self, vm: VM) -> bool:
        """Return whether the process of a VM is ready."""
        try:
            status, _, _ = await self.client.fetch(
                vm.address, defaults.ADMIN_PORT, "GET", "/readyz", fresh=True
            )
        except ConnectionLost:
            return False
        return status == 200

    async def post(self, account: str, path: str, body: dict, extra=()) -> tuple[int, bytes]:
        """Send one request through a random router; return status 0 if the connection is lost."""
        router = self.rng.choice(self.routers)
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
        """Count a response by the execution state that it reports."""
        if status < 400:
            self.tally.whole += 1
            return
        ran = msgspec.json.decode(content).get("ran")
        self.tally.not_run += ran == "no"
        self.tally.unknown += ran == "unknown"

    async def chat(self, number: int, turns: int) -> None:
        """Run one chat with pauses between its turns, each turn through a random router."""
        account = self.rng.choice([a for a in self.fleet.client_accounts if a.models])
        messages = [{"role": "system", "content": f"statement {number} " * 80}]
        for turn in range(turns):
            messages.append({"role": "user", "content": f"question {turn} of chat {number}"})
            stream = self.rng.random() < 0.5
            body = {"model": account.models[0], "messages": messages, "max_tokens": 12}
            status, content = await self.post(
                account.name, "/v1/chat/completions", {**body, "stream": stream}
            )
            if status == 200 and not self.complete(content, stream):
                self.tally.broken.append(f"chat {number}: incomplete response")
            messages.append({"role": "assistant", "content": "w" * 40})
            await curio.sleep(self.rng.uniform(0.05, 0.3))

    def complete(self, content: bytes, stream: bool) -> bool:
        """Return whether a response is complete."""
        if stream:
            return content.endswith(b"data: [DONE]\n\n") and content.count(b'"content"') == 12
        return b"w11 " in content

    async def guarded(self, number: int) -> None:
        """Send one guarded request, and repeat it with the same key until it has executed."""
        service = self.services[0]
        rule = self.fleet.guards[0]
        names = [a.name for a in self.fleet.client_accounts if service.name in a.applications]
        account = self.rng.choice(names)
        key = f"posting-{number}"
        self.tally.guarded += 1
        extra = [(b"idempotency-key", key.encode())]
        await curio.sleep(self.rng.uniform(0, GUARDED_SPREAD))
        for _ in range(GUARDED_TRIES):
            status, content = await self.post(account, rule.path, {"posting": number}, extra)
            self.keys[key] = told(status, content)
            if self.keys[key] == "yes":
                return
            await curio.sleep(GUARDED_PAUSE)

    async def signal(self, name: str, number: int) -> None:
        """Send a signal to a process by the name of its pid file."""
        os.kill(int((self.pids / f"{name}.pid").read_text()), number)

    async def run(self, chats: int, turns: int, guarded: int) -> None:
        """Send all requests during a drain, a kill and a store outage, then check the results."""
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
        """Start or end an outage of the object API."""
        path = self.pids / self.fleet.name / f"{self.fleet.vms[0].name}.toml"
        address, port = split_address(settings.load(path).platform)
        body = msgspec.json.encode({"outage": outage, "latency": LATENCY})
        await self.client.fetch(address, port, "PUT", "/faults", body=body, fresh=True)

    async def check_guarded(self) -> None:
        """Compare the execution counts of the services with what callers were told."""
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
                self.tally.broken.append(
                    f"{key} ran {count} times, reported to the caller as {answer}"
                )

    async def engine_counts(self) -> list[dict]:
        """Return the counters of every reachable engine."""
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
        """Return the control bytes sent and received by all reachable nodes."""
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
    """Return the execution state reported by a response: yes, no or unknown."""
    if status == 0:
        return "unknown"
    if status < 400:
        return "yes"
    return msgspec.json.decode(content).get("ran", "unknown")


def summary(driver: Driver, counts: list[dict], control: float, seconds: float) -> list[str]:
    """Return the cells of a fleet's row.

    Skew is the maximum over the mean of the prompt tokens of the engines still reachable.
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
    """Run the load against every fleet, print a table and return the exit code."""
    broken = []
    print(f"{'fleet':<12}" + "".join(f"{column:>10}" for column in COLUMNS))
    for directory in directories:
        driver = Driver(compile_fleet(directory), pids, seed)
        print(f"{directory}: waiting until every node is ready", file=sys.stderr)
        await driver.wait_ready()
        print(
            f"{directory}: sending requests during a drain, a kill and a store outage",
            file=sys.stderr,
        )
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
