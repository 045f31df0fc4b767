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
from .addresses import split_address
from .exceptions import ConnectionLost, HickoryleverError
from .fleet import compile_fleet
from .http import Client
from .records import VM, Endpoint, Fleet

MAX_READY_CHECKS = 150
READY_CHECK_SECONDS = 0.2
MAX_GUARDED_DELAY_SECONDS = 4.0
MAX_GUARDED_ATTEMPTS = 8
GUARDED_RETRY_SECONDS = 0.5
OUTAGE_SECONDS = 1.5
STORE_LATENCY_SECONDS = 0.005
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
class RunCounts:
    """Counts of responses and executions.

    :param not_run: errors that report the request as not executed.
    :param unknown: errors that leave open whether the request was executed.
    :param lost_connections: requests whose connection was lost.
    :param guarded: number of guarded requests.
    :param executions: executions of guarded requests.
    :param violations: descriptions of safety violations.
    """

    requests: int = 0
    complete_responses: int = 0
    not_run: int = 0
    unknown: int = 0
    lost_connections: int = 0
    guarded: int = 0
    executions: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)


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


def check_port_free(address: str, port: int) -> None:
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
            check_port_free(vm.address, port)
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


class LoadGenerator:
    """Sends a random mix of requests to one fleet and checks every response.

    :param pids: directory of the pid files and settings files of the processes.
    :param seed: seed of the random generator.
    """

    def __init__(self, fleet: Fleet, pids: Path, seed: int):
        self.fleet = fleet
        self.pids = pids
        self.rng = random.Random(seed)
        self.client = Client()
        self.counts = RunCounts()
        self.routers = [vm for vm in fleet.vms if vm.role == "entry"]
        self.services = [entry for entry in fleet.applications if entry.kind == "service"]
        self.reported_by_key: dict[str, str] = {}

    async def wait_ready(self) -> None:
        """Wait until the processes of all VMs are ready.

        :raises HickoryleverError: if one does not become ready in time.
        """
        for vm in self.fleet.vms:
            for _ in range(MAX_READY_CHECKS):
                if await self.ready(vm):
                    break
                await curio.sleep(READY_CHECK_SECONDS)
            else:
                raise HickoryleverError(f"{vm.name} not ready after {MAX_READY_CHECKS} checks")

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
        self.counts.requests += 1
        try:
            status, _, content = await self.client.fetch(
                router.address, port, "POST", path, fields, data
            )
        except ConnectionLost:
            self.counts.lost_connections += 1
            return 0, b""
        self.count_response(status, content)
        return status, content

    def count_response(self, status: int, content: bytes) -> None:
        """Count a response by the execution state that it reports."""
        if status < 400:
            self.counts.complete_responses += 1
            return
        ran = msgspec.json.decode(content).get("ran")
        self.counts.not_run += ran == "no"
        self.counts.unknown += ran == "unknown"

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
                self.counts.violations.append(f"chat {number}: incomplete response")
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
        self.counts.guarded += 1
        extra = [(b"idempotency-key", key.encode())]
        await curio.sleep(self.rng.uniform(0, MAX_GUARDED_DELAY_SECONDS))
        for _ in range(MAX_GUARDED_ATTEMPTS):
            status, content = await self.post(account, rule.path, {"posting": number}, extra)
            self.reported_by_key[key] = reported_ran(status, content)
            if self.reported_by_key[key] == "yes":
                return
            await curio.sleep(GUARDED_RETRY_SECONDS)

    async def send_signal(self, name: str, number: int) -> None:
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
            await self.send_signal(models[0].vm, signal.SIGTERM)
            await self.send_signal(f"{models[1].name}.endpoint", signal.SIGKILL)
            await self.set_outage(True)
            await curio.sleep(OUTAGE_SECONDS)
            await self.set_outage(False)
        await self.check_guarded()

    async def set_outage(self, outage: bool) -> None:
        """Start or end an outage of the object API."""
        path = self.pids / self.fleet.name / f"{self.fleet.vms[0].name}.toml"
        address, port = split_address(settings.load(path).platform)
        body = msgspec.json.encode({"outage": outage, "latency": STORE_LATENCY_SECONDS})
        await self.client.fetch(address, port, "PUT", "/faults", body=body, fresh=True)

    async def check_guarded(self) -> None:
        """Compare the execution counts of the services with what callers were told."""
        execution_counts: dict[str, int] = {}
        for endpoint in self.fleet.endpoints:
            if endpoint.models:
                continue
            _, _, content = await self.client.fetch(
                endpoint.address, endpoint.port, "GET", "/counts", fresh=True
            )
            for key, count in msgspec.json.decode(content).items():
                execution_counts[key] = execution_counts.get(key, 0) + count
        self.counts.executions = sum(execution_counts.values())
        for key, reported in self.reported_by_key.items():
            count = execution_counts.get(key, 0)
            if count > 1:
                self.counts.violations.append(f"{key} ran {count} times")
            if (reported, count) in (("no", 1), ("yes", 0)):
                self.counts.violations.append(
                    f"{key} ran {count} times, reported to the caller as {reported}"
                )

    async def fetch_engine_counts(self) -> list[dict]:
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

    async def fetch_control_bytes(self) -> float:
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


def reported_ran(status: int, content: bytes) -> str:
    """Return the execution state reported by a response: yes, no or unknown."""
    if status == 0:
        return "unknown"
    if status < 400:
        return "yes"
    return msgspec.json.decode(content).get("ran", "unknown")


def summary(
    generator: LoadGenerator, engine_counts: list[dict], control: float, seconds: float
) -> list[str]:
    """Return the cells of a fleet's row.

    Skew is the maximum over the mean of the prompt tokens of the engines still reachable.
    """
    counts = generator.counts
    prompts = [count["prompt_tokens"] for count in engine_counts if count["prompt_tokens"]]
    cached = sum(count["cached_tokens"] for count in engine_counts)
    skew = max(prompts) * len(prompts) / sum(prompts)
    rate = control / seconds / len(generator.fleet.vms)
    cells = (
        counts.requests,
        counts.complete_responses,
        counts.not_run,
        counts.unknown,
        counts.lost_connections,
    )
    figures = (f"{cached / sum(prompts):.2f}", f"{skew:.2f}", f"{rate:.0f}")
    return [str(cell) for cell in cells] + [*figures, f"{counts.executions}/{counts.guarded}"]


async def drive(directories: list[str], pids: Path, seed: int) -> int:
    """Run the load against every fleet, print a table and return the exit code."""
    violations = []
    print(f"{'fleet':<12}" + "".join(f"{column:>10}" for column in COLUMNS))
    for directory in directories:
        generator = LoadGenerator(compile_fleet(directory), pids, seed)
        print(f"{directory}: waiting until every node is ready", file=sys.stderr)
        await generator.wait_ready()
        print(
            f"{directory}: sending requests during a drain, a kill and a store outage",
            file=sys.stderr,
        )
        before = await generator.fetch_control_bytes()
        started_at = time.monotonic()
        await generator.run(chats=40, turns=4, guarded=40)
        control = await generator.fetch_control_bytes() - before
        cells = summary(
            generator,
            await generator.fetch_engine_counts(),
            control,
            time.monotonic() - started_at,
        )
        print(f"{generator.fleet.name:<12}" + "".join(f"{cell:>10}" for cell in cells))
        violations += generator.counts.violations
    for line in violations:
        print(f"BROKEN: {line}")
    return 1 if violations else 0
