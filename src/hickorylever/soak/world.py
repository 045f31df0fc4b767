"""Environment of a soak test: simulated store and endpoints, and real router processes."""

import dataclasses
import functools
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import curio

from ..direct.position import UNKNOWN
from ..direct.records import (
    Account,
    CallerLimits,
    Configuration,
    EndpointEntry,
    Route,
    RouteKind,
    Service,
    Warmup,
    WeightedService,
)
from ..direct.settings import DirectSettings
from ..http import listen
from ..platform import CONFIGURATION, ENDPOINTS, EVACUATIONS
from ..platform.names import METRICS_PORT
from ..platform.standins import documents
from ..platform.standins.origin import Origin
from ..platform.standins.store import StandinStore
from .process import READY_PORT, RouterProcess
from .proxy import HOST, Proxy

VIRTUAL_HOST = "soak.example"
SERVICE = "engines"
API_KEY = "soak-key"
EVENTS_PER_STREAM = 8
MAX_ATTEMPTS = 3
CALLER_PORT = 18600
PEER_PORT = 18602
RESTART_SECONDS = 2.0  # After a crash of an endpoint.
DRAIN_GRACE_SECONDS = 8.0  # Drain time of routers, and time from SIGTERM to SIGKILL.
EVACUATION_SECONDS = 5.0  # Time after which an evacuated domain must get nothing new.
DOMAINS = ("a", "b")
WARMUP = Warmup(3.0, 11.0)
WARMUP_OVERAGE = 1.5
WARMUP_ALLOWANCE = 5.0
ROUTE_KINDS = {
    "unsafe": RouteKind.AT_MOST_ONCE,
    "safe": RouteKind.IDEMPOTENT,
    "stream": RouteKind.STREAM,
    "resumable": RouteKind.STREAM,
}


@dataclass(frozen=True, slots=True)
class FaultPeriod:
    """Period of a fault in monotonic seconds."""

    name: str
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """Period in which an endpoint names a limit, in monotonic seconds.

    :param index: of the endpoint.
    :param rate: requests per second.
    """

    index: int
    rate: float
    started_at: float
    ended_at: float


@dataclass
class SoakHarness:
    """Asynchronous context manager that runs the store, the endpoints and the routers.

    :param router_source: directory with the package that routers run; empty for the installed one.
    :param origins: simulated endpoints.
    :param proxies: proxy in front of each endpoint.
    :param store_proxies: proxy in front of the store for each router.
    :param fault_periods: periods of the faults that have ended.
    :param drain_periods: index of an endpoint, and start and end, in monotonic seconds, of a
        period in which its entry was draining.
    :param shutdown_periods: the same for periods in which an endpoint said that it shuts down.
    :param limit_periods: periods in which an endpoint named a limit on its requests.
    :param evacuation_periods: failure domain, and start and end, in monotonic seconds, of an
        evacuation.
    :param evacuated: failure domains that the operator evacuates now.
    :param draining: indexes of endpoints whose entry is draining.
    :param start_counts: how often each endpoint has started, by index.
    :param version_periods: when an endpoint got each version of its software, by index.
    :param version: version of the latest configuration.
    :param crashing_part: prompt part that crashes endpoints now; empty for none.
    :param crashing_parts: all of them so far.
    :param rejection_count: number of rejections by overloaded endpoints.
    :param copy_count: number of answers that these sent once more.
    """

    router_count: int
    endpoint_count: int = 4
    router_source: str = ""
    store: StandinStore = field(default_factory=StandinStore)
    origins: list[Origin] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    store_proxies: list[Proxy] = field(default_factory=list)
    routers: list[RouterProcess] = field(default_factory=list)
    fault_periods: list[FaultPeriod] = field(default_factory=list)
    drain_periods: list[tuple[int, float, float]] = field(default_factory=list)
    shutdown_periods: list[tuple[int, float, float]] = field(default_factory=list)
    limit_periods: list[LimitPeriod] = field(default_factory=list)
    evacuation_periods: list[tuple[str, float, float]] = field(default_factory=list)
    evacuated: set[str] = field(default_factory=set)
    draining: set[int] = field(default_factory=set)
    start_counts: dict[int, int] = field(default_factory=dict)
    version_periods: dict[int, list[tuple[float, str]]] = field(default_factory=dict)
    version: int = 0
    crashing_part: str = ""
    crashing_parts: list[str] = field(default_factory=list)
    rejection_count: int = 0
    copy_count: int = 0

    async def __aenter__(self) -> "SoakHarness":
        self.tasks = []
        self.directory = tempfile.TemporaryDirectory(prefix="hickorylever-soak-")
        store_port = await self.serve(self.store.server)
        # Concurrent soak tests hold different ports, so each gets its own loopback network.
        self.network_prefix = f"127.{store_port >> 8}.{store_port & 255}"
        for number in range(self.endpoint_count):
            origin = Origin(f"i-{number}", events=EVENTS_PER_STREAM, pause=0.01, version="v1")
            origin.on_crash = functools.partial(self.crash_endpoint, number)
            self.origins.append(origin)
            self.proxies.append(await self.start_proxy(await self.serve(origin.server)))
            await self.start_endpoint(number)
        await self.put_configuration()
        for number in range(1, self.router_count + 1):
            proxy = await self.start_proxy(store_port)
            self.store_proxies.append(proxy)
            ip = f"{self.network_prefix}.{number}"
            self.routers.append(self.create_router(ip, proxy.listen_port))
            self.routers[-1].start()
        for router in self.routers:
            await router.wait_until_serving()
            write_settings(dataclasses.replace(router.settings, first_start=False))
        return self

    async def __aexit__(self, *info) -> None:
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
        for router in self.routers:
            if router.process is not None:
                router.process.wait()
        for task in reversed(self.tasks):
            await task.cancel()
        self.directory.cleanup()

    async def serve(self, server) -> int:
        """Serve on a free port and return the port."""
        listener = listen(HOST, 0)
        self.tasks.append(await curio.spawn(server.serve, listener, daemon=True))
        return listener.getsockname()[1]

    async def start_proxy(self, port: int) -> Proxy:
        """Start a proxy in front of a port."""
        proxy = Proxy(port)
        self.tasks.append(await curio.spawn(proxy.run, daemon=True))
        return proxy

    def create_router(self, ip: str, store_port: int) -> RouterProcess:
        """Write a settings file and return the router that uses it."""
        directory = Path(self.directory.name)
        settings = DirectSettings(
            path=str(directory / f"{ip}.toml"),
            vm=ip,
            address=ip,
            failure_domain="a",
            port=CALLER_PORT,
            ready_port=READY_PORT,
            peer_port=PEER_PORT,
            metrics_port=METRICS_PORT,
            store=(HOST, store_port),
            seeds=(f"{self.network_prefix}.1", f"{self.network_prefix}.2"),
            drain_grace=DRAIN_GRACE_SECONDS,
            retry_allowance=100.0,
            evacuation_time=EVACUATION_SECONDS,
            warmup_overage=WARMUP_OVERAGE,
            warmup_allowance=WARMUP_ALLOWANCE,
            first_start=True,
        )
        write_settings(settings)
        return RouterProcess(settings, directory / f"{ip}.log", self.router_source)

    async def start_endpoint(self, number: int) -> None:
        """Start an endpoint and write its entry to the store; one that starts again is cold."""
        self.start_counts[number] = self.start_counts.get(number, 0) + 1
        again = self.start_counts[number] > 1
        self.origins[number].cold_until = now() + WARMUP.seconds if again else 0.0
        self.draining.discard(number)
        self.origins[number].leaving = False
        version = self.origins[number].version
        self.version_periods.setdefault(number, []).append((now(), version))
        await self.put_endpoint(number)

    async def replace_endpoint(self, number: int, version: str) -> None:
        """Replace an endpoint by a new one of another version, at the same address."""
        await self.proxies[number].reset_connections()
        origin = self.origins[number]
        old = origin.name
        origin.version = version
        origin.name = f"i-{number}-{self.start_counts[number]}"
        await self.start_endpoint(number)
        await self.store.remove(ENDPOINTS, old)

    async def remove_former_endpoints(self) -> None:
        """Remove the entries of endpoints that are gone, which a restored store holds again."""
        present = {origin.name for origin in self.origins}
        for kind, name in list(self.store.objects):
            if kind == ENDPOINTS and name not in present:
                await self.store.remove(kind, name)

    async def write_evacuations(self) -> None:
        """Bring the objects of evacuations in line with what the operator evacuates now."""
        for domain in DOMAINS:
            present = (EVACUATIONS, domain) in self.store.objects
            if domain in self.evacuated and not present:
                await self.store.put(EVACUATIONS, domain, {})
            elif domain not in self.evacuated and present:
                await self.store.remove(EVACUATIONS, domain)

    def serving(self, version: str, since: float, until: float) -> int:
        """Return how many endpoints had a version throughout a period."""
        return sum(
            version_at(periods, since) == version == version_at(periods, until)
            for periods in self.version_periods.values()
        )

    def add_crashing_part(self) -> None:
        """Let a new prompt part crash the endpoints that begin to answer requests with it."""
        self.crashing_part = f"c{len(self.crashing_parts):03x}"
        self.crashing_parts.append(self.crashing_part)
        for origin in self.origins:
            origin.crashing_parts = frozenset(self.crashing_parts)

    async def crash_endpoint(self, number: int) -> None:
        """Close all connections of an endpoint and start it again a little later."""
        proxy = self.proxies[number]
        if proxy.refusing:
            return
        proxy.refusing = True
        await proxy.reset_connections()
        self.tasks.append(await curio.spawn(self.restart_endpoint, number, daemon=True))

    async def restart_endpoint(self, number: int) -> None:
        """Start an endpoint that has crashed."""
        await curio.sleep(RESTART_SECONDS)
        self.proxies[number].refusing = False
        await self.start_endpoint(number)

    async def put_endpoint(self, number: int) -> None:
        """Write the entry of an endpoint to the store."""
        entry = EndpointEntry(
            self.origins[number].name,
            SERVICE,
            HOST,
            self.proxies[number].listen_port,
            failure_domain(number),
            64,
            number in self.draining,
            started_ms=self.start_counts[number],
            version=self.origins[number].version,
            warmup_left=self.origins[number].warmup_left(),
        )
        await self.store.put(ENDPOINTS, entry.name, documents.encode_endpoint(entry))

    async def put_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        await self.write_configuration()

    async def write_configuration(self) -> None:
        """Write the latest version of the configuration.

        Besides the permanent routes, each version has a route of its own, which shows whether a
        router serves it.
        """
        kinds = {**ROUTE_KINDS, version_route(self.version): RouteKind.IDEMPOTENT}
        configuration = Configuration(
            position=UNKNOWN,
            version=self.version,
            routes=tuple(make_route(name, kind) for name, kind in kinds.items()),
            services=(Service(SERVICE, "", 0, warmup=WARMUP),),
            accounts=(Account("clerks", (API_KEY,)),),
            limits=CallerLimits(16384, 65536, 3.0, 15.0),
        )
        document = documents.encode_configuration(configuration)
        await self.store.put(*CONFIGURATION, document)

    def is_fault_free(
        self, since: float, until: float, allowed: frozenset[str] = frozenset()
    ) -> bool:
        """Return whether no fault overlaps a period, except for those with allowed names.

        Only faults that have ended are known.
        """
        return not any(
            fault.started_at <= until and fault.ended_at >= since and fault.name not in allowed
            for fault in self.fault_periods
        )


def write_settings(settings: DirectSettings) -> None:
    """Write the settings file of a router."""
    Path(settings.path).write_text(documents.encode_settings(settings), encoding="utf-8")


def failure_domain(number: int) -> str:
    """Return the failure domain of an endpoint."""
    return DOMAINS[number % len(DOMAINS)]


def version_at(periods: list[tuple[float, str]], at: float) -> str:
    """Return the version that an endpoint had at a time.

    :param periods: when it started with each version, oldest first.
    """
    return next((version for start, version in reversed(periods) if start <= at), "")


def version_route(version: int) -> str:
    """Return the name of the route that only this configuration version has."""
    return f"version-{version}"


def make_route(name: str, kind: RouteKind) -> Route:
    """Return a route to the simulated endpoints."""
    route = Route(
        name=name,
        host=VIRTUAL_HOST,
        prefix=f"/{name}/",
        kind=kind,
        timeout=4.0,
        latency_objective=0.5,
        priority=0,
        weighted_services=(WeightedService(SERVICE, 1.0),),
        max_attempts=MAX_ATTEMPTS,
        resumable=name == "resumable",
        max_gap=0.4,
    )
    if kind is RouteKind.STREAM:
        return dataclasses.replace(route, prefix=f"/{name}/stream/")
    return route


def now() -> float:
    """Return the monotonic time in seconds."""
    return time.monotonic()
