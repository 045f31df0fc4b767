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
ADDRESSES = "HICKORYLEVER_BENCH_PATH"
REQUEST_RATE = 20.0
TOKEN_RATE = 6000.0
ADDED_P50 = 2.0
ADDED_P99 = 8.0
TOKEN_P50 = 2.0
PROBE_RATE = 10.0
PROBE_ROUNDS = 10
CALLERS = 8
SECONDS = 12.0
QUICK_SECONDS = 3.0
SENT = re.compile(rb'"sent":([0-9.]+)')
PROMPT = "words " * 600
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


Place = tuple[str, int]


@dataclass(frozen=True)
class Places:
    """Addresses of router and engine, and the process ids of all components by name."""

    router: Place
    engine: Place
    pids: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Usage:
    """Resident memory in bytes and CPU time in seconds of a process."""

    resident: int
    seconds: float


def usage(pid: int) -> Usage:
    """Return the resource usage of a process, read from /proc."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
    return Usage(resident, (int(stat[11]) + int(stat[12])) / TICKS)


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


async def serve_parts(ready) -> None:
    """Run engine stand-in, sidecar and router in this thread until cancelled.

    :param ready: called with the `Places` once all servers listen.
    """
    engine = Engine("engine-1", Speed(prefill=1e9, token=0.0))
    listeners = [listen(HOST, 0) for _ in range(3)]
    ports = [listener.getsockname()[1] for listener in listeners]
    fleet = make_fleet(ports[0], ports[1])
    content = encode(fleet)
    servers = [engine.server]
    for vm, make in (("vm-1", Sidecar), ("entry-1", Router)):
        text = f"{HOST}:{ports[0]}"
        env = Environment(Settings(vm, "r", "d", f"{HOST}:1", endpoint=text, seed=1))
        node = make(env)
        env.adopt(Revision(1, digest(content), "", "bench", "bench", "", "n"), content)
        servers.append(node.server)
    async with curio.TaskGroup() as group:
        for server, listener in zip(servers, listeners, strict=True):
            await group.spawn(server.serve, listener)
        ready(Places((HOST, ports[2]), (HOST, ports[0])))


def start_parts() -> tuple[Places, threading.Thread]:
    """Run the components in a thread; return their addresses and the thread."""
    found: list[Places] = []
    event = threading.Event()

    def ready(places: Places) -> None:
        found.append(places)
        event.set()

    thread = threading.Thread(target=curio.run, args=(serve_parts, ready), daemon=True)
    thread.start()
    event.wait()
    return found[0], thread


def find_places() -> Places:
    """Return the addresses from the environment, or start the components in a thread."""
    text = os.environ.get(ADDRESSES)
    return msgspec.json.decode(text, type=Places) if text else start_parts()[0]


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


FIELDS = [(b"authorization", b"Bearer " + KEY.encode()), (b"content-type", b"application/json")]
PATH = "/v1/chat/completions"


async def wait_ready(place: Place, client: Client) -> None:
    """Wait until a request succeeds.

    :raises ConnectionLost: if none of 100 requests has succeeded.
    """
    for _ in range(100):
        try:
            status, _, _ = await client.fetch(
                *place, "POST", PATH, FIELDS, request_body(0, 1, False)
            )
        except ConnectionLost:
            status = 0
        if status == 200:
            return
        await curio.sleep(0.1)
    raise ConnectionLost(f"{place} is not ready after 100 requests")


async def timed_fetch(client: Client, place: Place, body: bytes) -> float:
    """Return the duration of one request in seconds.

    :raises ConnectionLost: if the status is not 200.
    """
    begun = time.perf_counter()
    status, _, _ = await client.fetch(*place, "POST", PATH, FIELDS, body)
    if status != 200:
        raise ConnectionLost(f"status {status}")
    return time.perf_counter() - begun


@dataclass
class Sample:
    """Request durations and token delays of one phase, in seconds."""

    requests: list[float] = field(default_factory=list)
    tokens: list[float] = field(default_factory=list)


async def stream(client: Client, place: Place, seed: int, tokens: int, sample: Sample) -> None:
    """Read one streamed response and record the delay of each token."""
    channel = await client.acquire(*place)
    await client.send_request(channel, "POST", PATH, FIELDS, request_body(seed, tokens, True))
    answer = await client.receive_response(channel)
    async for piece in answer.iter_bytes():
        now = time.monotonic()
        sample.tokens += [now - float(sent) for sent in SENT.findall(piece)]
    await client.release(*place, channel)


async def probe(client: Client, place: Place, seconds: float, sample: Sample, rng) -> None:
    """Send non-streamed requests at random intervals for some seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sample.requests.append(await timed_fetch(client, place, request_body(0, 8, False)))
        await curio.sleep(rng.expovariate(PROBE_RATE))


async def at_target(client: Client, place: Place, seconds: float, rng) -> Sample:
    """Run streams at the target rate and probe the address meanwhile."""
    sample = Sample()
    tokens = int(TOKEN_RATE / REQUEST_RATE)
    async with curio.TaskGroup() as group:
        await group.spawn(probe, client, place, seconds, sample, rng)
        for number in range(int(seconds * REQUEST_RATE)):
            await group.spawn(stream, client, place, number, tokens, sample)
            await curio.sleep(1 / REQUEST_RATE)
    return sample


async def flood(client: Client, place: Place, seconds: float, streamed: bool) -> float:
    """Return the requests or tokens per second of `CALLERS` callers in closed loops."""
    sample = Sample()
    begun = time.monotonic()

    async def caller() -> None:
        while time.monotonic() < begun + seconds:
            if streamed:
                await stream(client, place, 1, 300, sample)
            else:
                sample.requests.append(await timed_fetch(client, place, request_body(1, 8, False)))

    async with curio.TaskGroup() as group:
        for _ in range(CALLERS):
            await group.spawn(caller)
    done = len(sample.tokens) if streamed else len(sample.requests)
    return done / (time.monotonic() - begun)


def percentile(values: list[float], share: float) -> float:
    """Return the `share` quantile of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compare(part: str, direct: list[float], routed: list[float]) -> dict:
    """Return a row with direct, routed and added times in milliseconds."""
    row = {"part": part}
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        row[f"direct_{name}"] = 1000 * percentile(direct, share)
        row[f"routed_{name}"] = 1000 * percentile(routed, share)
        row[f"added_{name}"] = row[f"routed_{name}"] - row[f"direct_{name}"]
    return row


def snapshot(places: Places) -> dict[str, Usage]:
    """Return the resource usage of every process by name."""
    return {name: usage(pid) for name, pid in places.pids.items()}


def spent(places: Places, before: dict[str, Usage], seconds: float, part: str) -> list[dict]:
    """Return one row per process with its memory and its CPU usage since `before`."""
    return [
        {
            "process": name,
            "during": part,
            "resident_mb": now.resident / 1e6,
            "core_percent": 100 * (now.seconds - before[name].seconds) / seconds,
        }
        for name, now in snapshot(places).items()
    ]


async def measure(places: Places, report: Report, seed: int, seconds: float) -> None:
    """Run every phase and add its rows to the report."""
    rng = random.Random(seed)
    client = Client()
    targets = {"direct": places.engine, "routed": places.router}
    for place in targets.values():
        await wait_ready(place, client)
    await idle(places, report, seconds)
    alone = {name: Sample() for name in targets}
    for _ in range(PROBE_ROUNDS):
        for name, place in targets.items():
            await probe(client, place, seconds / PROBE_ROUNDS, alone[name], rng)
    report.rows.append(compare("alone", alone["direct"].requests, alone["routed"].requests))
    loaded = {}
    for name, place in targets.items():
        before = snapshot(places)
        begun = time.monotonic()
        loaded[name] = await at_target(client, place, seconds, rng)
        took = time.monotonic() - begun
        report.rows += spent(places, before, took, f"target {name}")
    direct, routed = loaded["direct"], loaded["routed"]
    at_rate = compare("at target", direct.requests, routed.requests)
    tokens = compare("token", direct.tokens, routed.tokens)
    report.rows += [at_rate, tokens]
    report.expect(at_rate["added_p50"] <= ADDED_P50, f"at most {ADDED_P50} ms added at p50")
    report.expect(at_rate["added_p99"] <= ADDED_P99, f"at most {ADDED_P99} ms added at p99")
    report.expect(tokens["added_p50"] < TOKEN_P50, f"tokens under {TOKEN_P50} ms later at p50")
    for streamed, unit in ((False, "requests/s"), (True, "tokens/s")):
        rates = {}
        for name, place in targets.items():
            rates[name] = await flood(client, place, seconds / 2, streamed)
        report.rows.append({"flood": unit, **rates, "ratio": rates["routed"] / rates["direct"]})


async def idle(places: Places, report: Report, seconds: float) -> None:
    """Measure the resource usage of the idle processes."""
    before = snapshot(places)
    await curio.sleep(seconds / 2)
    report.rows += spent(places, before, seconds / 2, "idle")


@benches.register("path")
def path(seed: int, quick: bool) -> Report:
    """Measure latency, token delay, throughput, memory and CPU time of the request path."""
    report = Report()
    places = find_places()
    where = "processes" if places.pids else "one process (use make bench-path for processes)"
    print(f"path: components in {where}, seed {seed}")
    curio.run(measure, places, report, seed, QUICK_SECONDS if quick else SECONDS)
    return report
