"""Benchmark of the request path: through router and sidecar, against direct to the engine.

examples/bench-path.sh starts the processes and passes their addresses and process ids in the
environment. Otherwise all components run in one thread of this process and share its interpreter
lock, so that only ratios are meaningful; the output says so.
"""

import hashlib
import os
import random
import re
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

import curio
import msgspec

from ..environment import Environment
from ..exceptions import ConnectionLost
from ..fleet import digest, encode
from ..http import Client, listen
from ..records import Application, ClientAccount, Endpoint, Fleet, Revision
from ..router import Router
from ..settings import Settings
from ..sidecar import Sidecar
from ..standins.engine import Engine, Speed
from . import Report, benches

HOST = "127.0.0.1"
KEY = "bench-key"
MODEL = "bench"
ADDRESSES_VARIABLE = "HICKORYLEVER_BENCH_PATH"
REQUESTS_PER_SECOND = 20.0
TOKENS_PER_SECOND = 6000.0
MAX_ADDED_P50_MS = 2.0
MAX_ADDED_P99_MS = 8.0
MAX_TOKEN_DELAY_P50_MS = 2.0
PROBES_PER_SECOND = 10.0
PROBE_ROUNDS = 10
CALLERS = 8
PHASE_SECONDS = 12.0
QUICK_PHASE_SECONDS = 3.0
SENT_TIME = re.compile(rb'"sent":([0-9.]+)')
PROMPT = "words " * 600
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


Address = tuple[str, int]


@dataclass(frozen=True)
class Addresses:
    """Addresses of router and engine, and the process ids of all components by name."""

    router: Address
    engine: Address
    pids: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Usage:
    """Resident memory in bytes and CPU time in seconds of a process."""

    resident: int
    seconds: float


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a process, read from /proc."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    return Usage(resident, (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_SECOND)


def make_fleet(engine: int, sidecar: int) -> Fleet:
    """Return a fleet with one endpoint at the given engine and sidecar ports."""
    endpoint = Endpoint(
        "engine-1", "vm-1", HOST, engine, sidecar, "pool", "r", "d", models=(MODEL,)
    )
    key = hashlib.sha256(KEY.encode()).hexdigest()
    account = ClientAccount("bench", (key,), ("pool",), (MODEL,))
    return Fleet(
        name="bench",
        endpoints=(endpoint,),
        applications=(Application("pool", "model"),),
        client_accounts=(account,),
        load_floor=1e9,
    )


async def serve_components(ready) -> None:
    """Run engine stand-in, sidecar and router in this thread until cancelled.

    :param ready: called with the `Addresses` once all servers listen.
    """
    engine = Engine("engine-1", Speed(prompt_tokens_per_second=1e9, seconds_per_token=0.0))
    listeners = [listen(HOST, 0) for _ in range(3)]
    ports = [listener.getsockname()[1] for listener in listeners]
    fleet = make_fleet(ports[0], ports[1])
    content = encode(fleet)
    servers = [engine.server]
    for vm, node_class in (("vm-1", Sidecar), ("entry-1", Router)):
        text = f"{HOST}:{ports[0]}"
        env = Environment(Settings(vm, "r", "d", f"{HOST}:1", endpoint=text, seed=1))
        node = node_class(env)
        env.adopt(Revision(1, digest(content), "", "bench", "bench", "", "n"), content)
        servers.append(node.server)
    async with curio.TaskGroup() as group:
        for server, listener in zip(servers, listeners, strict=True):
            await group.spawn(server.serve, listener)
        ready(Addresses((HOST, ports[2]), (HOST, ports[0])))


def start_components() -> tuple[Addresses, threading.Thread]:
    """Run the components in a thread; return their addresses and the thread."""
    started: list[Addresses] = []
    event = threading.Event()

    def ready(addresses: Addresses) -> None:
        started.append(addresses)
        event.set()

    thread = threading.Thread(target=curio.run, args=(serve_components, ready), daemon=True)
    thread.start()
    event.wait()
    return started[0], thread


def find_addresses() -> Addresses:
    """Return the addresses from the environment, or start the components in a thread."""
    text = os.environ.get(ADDRESSES_VARIABLE)
    return msgspec.json.decode(text, type=Addresses) if text else start_components()[0]


def request_body(seed: int, tokens: int, stream: bool) -> bytes:
    """Return the JSON body of a chat completion request."""
    messages = [{"role": "user", "content": f"{seed} {PROMPT}"}]
    body = {
        "model": MODEL,
        "messages": messages,
        "max_tokens": tokens,
        "stream": stream,
        "stamp": stream,
    }
    return msgspec.json.encode(body)


HEADERS = [(b"authorization", b"Bearer " + KEY.encode()), (b"content-type", b"application/json")]
REQUEST_PATH = "/v1/chat/completions"


async def wait_ready(address: Address, client: Client) -> None:
    """Wait until a request succeeds.

    :raises ConnectionLost: if none of 100 requests has succeeded.
    """
    for _ in range(100):
        try:
            status, _, _ = await client.fetch(
                *address, "POST", REQUEST_PATH, HEADERS, request_body(0, 1, False)
            )
        except ConnectionLost:
            status = 0
        if status == 200:
            return
        await curio.sleep(0.1)
    raise ConnectionLost(f"{address} is not ready after 100 requests")


async def timed_fetch(client: Client, address: Address, body: bytes) -> float:
    """Return the duration of one request in seconds.

    :raises ConnectionLost: if the status is not 200.
    """
    started_at = time.perf_counter()
    status, _, _ = await client.fetch(*address, "POST", REQUEST_PATH, HEADERS, body)
    if status != 200:
        raise ConnectionLost(f"status {status}")
    return time.perf_counter() - started_at


@dataclass
class Sample:
    """Request durations and token delays of one phase, in seconds."""

    requests: list[float] = field(default_factory=list)
    tokens: list[float] = field(default_factory=list)


async def stream(client: Client, address: Address, seed: int, tokens: int, sample: Sample) -> None:
    """Read one streamed response and record the delay of each token."""
    channel = await client.acquire(*address)
    await client.send_request(
        channel, "POST", REQUEST_PATH, HEADERS, request_body(seed, tokens, True)
    )
    response = await client.receive_response(channel)
    async for chunk in response.iter_bytes():
        now = time.monotonic()
        sample.tokens += [now - float(sent) for sent in SENT_TIME.findall(chunk)]
    await client.release(*address, channel)


async def probe(client: Client, address: Address, seconds: float, sample: Sample, rng) -> None:
    """Send non-streamed requests at random intervals for some seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sample.requests.append(await timed_fetch(client, address, request_body(0, 8, False)))
        await curio.sleep(rng.expovariate(PROBES_PER_SECOND))


async def run_at_target_rate(client: Client, address: Address, seconds: float, rng) -> Sample:
    """Run streams at the target rate and probe the address meanwhile."""
    sample = Sample()
    tokens = int(TOKENS_PER_SECOND / REQUESTS_PER_SECOND)
    async with curio.TaskGroup() as group:
        await group.spawn(probe, client, address, seconds, sample, rng)
        for number in range(int(seconds * REQUESTS_PER_SECOND)):
            await group.spawn(stream, client, address, number, tokens, sample)
            await curio.sleep(1 / REQUESTS_PER_SECOND)
    return sample


async def measure_throughput(
    client: Client, address: Address, seconds: float, streamed: bool
) -> float:
    """Return the requests or tokens per second of `CALLERS` callers in closed loops."""
    sample = Sample()
    started_at = time.monotonic()

    async def caller() -> None:
        while time.monotonic() < started_at + seconds:
            if streamed:
                await stream(client, address, 1, 300, sample)
            else:
                sample.requests.append(
                    await timed_fetch(client, address, request_body(1, 8, False))
                )

    async with curio.TaskGroup() as group:
        for _ in range(CALLERS):
            await group.spawn(caller)
    done = len(sample.tokens) if streamed else len(sample.requests)
    return done / (time.monotonic() - started_at)


def percentile(values: list[float], ratio: float) -> float:
    """Return the `ratio` quantile of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]


def compare(part: str, direct: list[float], routed: list[float]) -> dict:
    """Return a row with direct, routed and added times in milliseconds."""
    row = {"part": part}
    for name, ratio in (("p50", 0.5), ("p99", 0.99)):
        row[f"direct_{name}"] = 1000 * percentile(direct, ratio)
        row[f"routed_{name}"] = 1000 * percentile(routed, ratio)
        row[f"added_{name}"] = row[f"routed_{name}"] - row[f"direct_{name}"]
    return row


def current_usage(addresses: Addresses) -> dict[str, Usage]:
    """Return the resource usage of every process by name."""
    return {name: read_usage(pid) for name, pid in addresses.pids.items()}


def usage_rows(
    addresses: Addresses, before: dict[str, Usage], seconds: float, part: str
) -> list[dict]:
    """Return one row per process with its memory and its CPU usage since `before`."""
    return [
        {
            "process": name,
            "during": part,
            "resident_mb": now.resident / 1e6,
            "core_percent": 100 * (now.seconds - before[name].seconds) / seconds,
        }
        for name, now in current_usage(addresses).items()
    ]


async def measure(addresses: Addresses, report: Report, seed: int, seconds: float) -> None:
    """Run every phase and add its rows to the report."""
    rng = random.Random(seed)
    client = Client()
    targets = {"direct": addresses.engine, "routed": addresses.router}
    for address in targets.values():
        await wait_ready(address, client)
    await measure_idle(addresses, report, seconds)
    unloaded = {name: Sample() for name in targets}
    for _ in range(PROBE_ROUNDS):
        for name, address in targets.items():
            await probe(client, address, seconds / PROBE_ROUNDS, unloaded[name], rng)
    report.rows.append(compare("alone", unloaded["direct"].requests, unloaded["routed"].requests))
    loaded = {}
    for name, address in targets.items():
        before = current_usage(addresses)
        started_at = time.monotonic()
        loaded[name] = await run_at_target_rate(client, address, seconds, rng)
        elapsed = time.monotonic() - started_at
        report.rows += usage_rows(addresses, before, elapsed, f"target {name}")
    direct, routed = loaded["direct"], loaded["routed"]
    loaded_requests = compare("at target", direct.requests, routed.requests)
    tokens = compare("token", direct.tokens, routed.tokens)
    report.rows += [loaded_requests, tokens]
    report.expect(
        loaded_requests["added_p50"] <= MAX_ADDED_P50_MS,
        f"at most {MAX_ADDED_P50_MS} ms added at p50",
    )
    report.expect(
        loaded_requests["added_p99"] <= MAX_ADDED_P99_MS,
        f"at most {MAX_ADDED_P99_MS} ms added at p99",
    )
    report.expect(
        tokens["added_p50"] < MAX_TOKEN_DELAY_P50_MS,
        f"tokens delayed by less than {MAX_TOKEN_DELAY_P50_MS} ms at p50",
    )
    for streamed, unit in ((False, "requests/s"), (True, "tokens/s")):
        rates = {}
        for name, address in targets.items():
            rates[name] = await measure_throughput(client, address, seconds / 2, streamed)
        report.rows.append({"flood": unit, **rates, "ratio": rates["routed"] / rates["direct"]})


async def measure_idle(addresses: Addresses, report: Report, seconds: float) -> None:
    """Measure the resource usage of the idle processes."""
    before = current_usage(addresses)
    await curio.sleep(seconds / 2)
    report.rows += usage_rows(addresses, before, seconds / 2, "idle")


@benches.register("path")
def path(seed: int, quick: bool) -> Report:
    """Measure latency, token delay, throughput, memory and CPU time of the request path."""
    report = Report()
    addresses = find_addresses()
    where = "processes" if addresses.pids else "one process (use make bench-path for processes)"
    print(f"path: components in {where}, seed {seed}")
    curio.run(measure, addresses, report, seed, QUICK_PHASE_SECONDS if quick else PHASE_SECONDS)
    return report
