"""Measurements for docs/CAPACITY.md: each cost at several sizes, with a linear fit."""

import gc
import hashlib
import random
import socket
import statistics
import threading
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import curio
import msgspec

from ..decisions.pools import Pool
from ..decisions.routing_policies import RoutingRequest, View, policies
from ..environment import Environment
from ..fleet import decode, encode
from ..http import Client, Server, listen
from ..node import refuse
from ..records import Application, ClientAccount, Endpoint, Fleet
from ..registry import Registry
from ..settings import Settings
from . import Report, benches, claims, control, outages, path

OUTPUT_DIRECTORY = Path("bench")
FLEET_RATIOS = (0.1, 0.25, 0.5, 1.0)
SERVERS = 760
ACCOUNTS = 2400
MODELS = 31
REPEATS = 20


@dataclass
class Slope:
    """Measured costs at several sizes and their least-squares line.

    :param unit: unit of the cost.
    :param per: unit of the size.
    :param residual: root mean square error of the fit, in `unit`.
    """

    name: str
    unit: str
    per: str
    points: list[tuple[float, float]] = field(default_factory=list)
    slope: float = 0.0
    intercept: float = 0.0
    residual: float = 0.0

    def fit(self) -> "Slope":
        """Fit the line to the points and return this object."""
        sizes, costs = zip(*self.points, strict=True)
        self.slope, self.intercept = statistics.linear_regression(sizes, costs)
        errors = [cost - self.cost_at(size) for size, cost in self.points]
        self.residual = statistics.fmean(error * error for error in errors) ** 0.5
        return self

    def cost_at(self, size: float) -> float:
        """Return the fitted cost at a size."""
        return self.intercept + self.slope * size


Measure = Callable[[int, bool], list[Slope]]
measures: Registry[Measure] = Registry("slope")


def scaled_fleet(ratio: float) -> Fleet:
    """Return a configuration with `ratio` times the endpoints and accounts of the target."""
    endpoints = tuple(
        Endpoint(
            name=f"server-{number:04d}",
            vm=f"vm-{number:04d}",
            address=f"10.{number >> 8}.{number & 255}.1",
            port=8000,
            sidecar_port=8470,
            application="pool",
            region="north",
            failure_domain=f"north-{number % 5}",
            capacity=8,
            models=(f"model-{number % MODELS}",),
        )
        for number in range(int(SERVERS * ratio))
    )
    accounts = tuple(
        ClientAccount(
            f"account-{number}",
            (hashlib.sha256(b"%d" % number).hexdigest(),),
            ("pool",),
            tuple(f"model-{model}" for model in range(MODELS)),
        )
        for number in range(int(ACCOUNTS * ratio))
    )
    applications = (Application("pool", "model"),)
    return Fleet("target", (), endpoints, applications, accounts)


def median_seconds(call: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the median duration of a call in seconds."""
    times = []
    for _ in range(repeats):
        started_at = time.perf_counter()
        call()
        times.append(time.perf_counter() - started_at)
    return statistics.median(times)


@measures.register("configuration")
def measure_configuration(seed: int, quick: bool) -> list[Slope]:
    """Measure the size of a configuration and the time to decode and apply it."""
    size = Slope("configuration size", "kB", "share of the target")
    adopt = Slope("configuration in force", "ms", "share of the target")
    env = Environment(Settings("vm", "r", "d", "127.0.0.1:1", seed=seed))
    for ratio in FLEET_RATIOS:
        content = encode(scaled_fleet(ratio))
        byte_count = sum(len(part.packed) for part in content.parts.values())
        size.points.append((ratio, byte_count / 1000))
        seconds = median_seconds(lambda c=content: env.apply_fleet(decode(c)), 5)
        adopt.points.append((ratio, 1000 * seconds))
    return [size.fit(), adopt.fit()]


@measures.register("choice")
def measure_choice(seed: int, quick: bool) -> list[Slope]:
    """Measure the time to select an endpoint of a model for one chat."""
    slope = Slope("choice of an endpoint", "us", "endpoints of a model")
    policy = policies[Fleet("").policy]
    view = View(rng=random.Random(seed))
    for ratio in FLEET_RATIOS:
        endpoints = scaled_fleet(ratio).endpoints
        chats = iter(range(10**9))

        model_pool = Pool("model", endpoints)

        def choose(pool=model_pool, chats=chats):
            return next(
                iter(policy(RoutingRequest(f"chat-{next(chats)}", work=100.0), pool, view))
            )

        slope.points.append((len(endpoints), 1e6 * median_seconds(choose, 200)))
    return [slope.fit()]


@measures.register("gossip")
def measure_gossip(seed: int, quick: bool) -> list[Slope]:
    """Measure control traffic, CPU time and state of a node by number of members."""
    sizes = control.QUICK_SIZES if quick else control.SIZES
    rows = [control.measure_traffic(Report(), size, seed) for size in sizes]
    columns = (("B/s p50", "B/s"), ("core max", "cores"), ("state KB", "KB"))
    return [
        Slope(
            f"gossip {column}", unit, "members", [(row["members"], row[column]) for row in rows]
        ).fit()
        for column, unit in columns
    ]


@measures.register("claims")
def measure_claims(seed: int, quick: bool) -> list[Slope]:
    """Measure object store writes per second at a constant claim rate, by number of routers."""
    slope = Slope("claims", "writes/s", "routers")
    seconds = claims.QUICK_DURATION_SECONDS if quick else claims.DURATION_SECONDS
    for routers in (1, 4, 16) if quick else (1, 4, 16, 64, 370):
        scenario = claims.Scenario(routers, claims.TARGET_LATENCY_SECONDS)
        row = claims.ClaimSimulation(scenario, seed).row(seconds)
        slope.points.append((routers, row["writes/s"]))
    return [slope.fit()]


@measures.register("connections")
def measure_connections(seed: int, quick: bool) -> list[Slope]:
    """Measure the memory that a server allocates for idle connections."""
    slope = Slope("idle connections", "kB", "connections")

    async def respond_empty(exchange) -> None:
        await exchange.respond(200)

    async def main() -> None:
        server = Server(respond_empty, refuse)
        listener = listen(path.HOST, 0)
        task = await curio.spawn(server.serve, listener, daemon=True)
        address = listener.getsockname()
        sockets = []
        tracemalloc.start()
        base, _ = tracemalloc.get_traced_memory()
        for size in (100, 200, 400) if quick else (200, 400, 800, 1600):
            sockets += [socket.create_connection(address) for _ in range(size - len(sockets))]
            while server.connections < size:
                await curio.sleep(0.01)
            gc.collect()
            now, _ = tracemalloc.get_traced_memory()
            slope.points.append((size, (now - base) / 1000))
        tracemalloc.stop()
        for sock in sockets:
            sock.close()
        await task.cancel()

    curio.run(main)
    return [slope.fit()]


def thread_cpu_seconds(thread: threading.Thread) -> float:
    """Return the CPU time of a thread in seconds."""
    return time.clock_gettime(time.pthread_getcpuclockid(thread.ident))


@measures.register("path")
def measure_path(seed: int, quick: bool) -> list[Slope]:
    """Measure the CPU time of router and sidecar by the length of a streamed response in tokens.

    The intercept is the cost per request. The engine stand-in's own time is subtracted.
    """
    slope = Slope("router and sidecar", "us", "tokens of an answer")
    addresses, thread = path.start_components()
    count = 10 if quick else 40

    async def cpu_seconds_per_request(server_address, tokens: int) -> float:
        client = Client()
        await path.wait_ready(server_address, client)
        started_at = thread_cpu_seconds(thread)
        for number in range(count):
            await path.stream(client, server_address, number, tokens, path.Sample())
        return (thread_cpu_seconds(thread) - started_at) / count

    for tokens in (25, 50, 100, 200):
        routed = curio.run(cpu_seconds_per_request, addresses.router, tokens)
        direct = curio.run(cpu_seconds_per_request, addresses.engine, tokens)
        slope.points.append((tokens, 1e6 * (routed - direct)))
    return [slope.fit()]


def plot(slope: Slope, target: Path) -> None:
    """Plot the points and the fitted line. Requires matplotlib, a development dependency."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(5, 3.5))
    sizes, costs = zip(*slope.points, strict=True)
    axes.plot(sizes, costs, "o")
    axes.plot(sizes, [slope.cost_at(size) for size in sizes])
    axes.set(xlabel=slope.per, ylabel=slope.unit, title=slope.name)
    figure.tight_layout()
    figure.savefig(target, dpi=80)
    pyplot.close(figure)


@benches.register("capacity")
def capacity(seed: int, quick: bool) -> Report:
    """Measure every cost and outage; write bench/capacity.json and one plot per cost."""
    report = Report()
    slopes = [slope for name in measures for slope in measures[name](seed, quick)]
    for slope in slopes:
        row = {"slope": slope.name, "unit": slope.unit, "per": slope.per}
        report.rows.append(
            row | {"each": slope.slope, "fixed": slope.intercept, "residual": slope.residual}
        )
    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    record = {
        "command": f"hickorylever bench capacity --seed {seed}",
        "slopes": slopes,
        "outages": outages.measure(seed, quick),
    }
    if quick:
        record["command"] += " --quick"
    text = msgspec.json.format(msgspec.json.encode(record), indent=1)
    (OUTPUT_DIRECTORY / "capacity.json").write_bytes(text + b"\n")
    for slope in slopes:
        plot(slope, OUTPUT_DIRECTORY / f"{slope.name.replace(' ', '-').replace('/', '-')}.png")
    return report
