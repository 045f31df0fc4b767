"""Environment of a soak test: simulated store and endpoints, and real router processes."""

import dataclasses
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import curio

from ..direct.records import (
    Account,
    CallerLimits,
    Configuration,
    EndpointEntry,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from ..direct.settings import DirectSettings
from ..http import listen
from ..platform import CONFIGURATION, ENDPOINTS
from ..platform.names import METRICS_PORT
from ..platform.standins import documents
from ..platform.standins.origin import Origin
from ..platform.standins.store import StandinStore
from .proxy import HOST, Proxy

SITE = "soak.example"
SERVICE = "engines"
KEY = "soak-key"
EVENTS = 8
MAX_ATTEMPTS = 3
FRONT_PORT = 18600
READY_PORT = 18601
PEER_PORT = 18602
GRACE = 8.0  # Drain time of routers, and time from SIGTERM to SIGKILL.
KINDS = {
    "unsafe": RouteKind.AT_MOST_ONCE,
    "safe": RouteKind.IDEMPOTENT,
    "stream": RouteKind.STREAM,
    "resumable": RouteKind.STREAM,
}


@dataclass(slots=True)
class RouterProcess:
    """Router process, which is ended and restarted only through this object.

    :param log: file that the output of all its processes is appended to.
    :param restarting: whether a fault is restarting the router.
    :param starts: number of times the process was started.
    """

    settings: DirectSettings
    log: Path
    process: subprocess.Popen | None = None
    restarting: bool = False
    starts: int = 0

    @property
    def ip(self) -> str:
        """Return the router's IP address."""
        return self.settings.address

    def start(self) -> None:
        """Start the process if it is not running."""
        if self.running:
            return
        self.starts += 1
        env = {**os.environ, "HICKORYLEVER_SETTINGS": self.settings.path}
        command = [sys.executable, "-m", "hickorylever.direct"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, env=env, stdout=log, stderr=log)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.running:
            self.process.send_signal(number)

    @property
    def running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None


@dataclass(frozen=True, slots=True)
class Impairment:
    """Period of a fault in monotonic seconds."""

    name: str
    began: float
    ended: float


@dataclass
class World:
    """Asynchronous context manager that runs the store, the endpoints and the routers.

    :param origins: simulated endpoints.
    :param proxies: proxy in front of each endpoint.
    :param store_proxies: proxy in front of the store for each router.
    :param impairments: periods of the faults that have ended.
    :param leaves: index of an endpoint, and start and end of a period in which its entry was
        draining, in monotonic seconds.
    :param version: version of the latest configuration.
    """

    routers_wanted: int
    origins_wanted: int = 4
    store: StandinStore = field(default_factory=StandinStore)
    origins: list[Origin] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    store_proxies: list[Proxy] = field(default_factory=list)
    routers: list[RouterProcess] = field(default_factory=list)
    impairments: list[Impairment] = field(default_factory=list)
    leaves: list[tuple[int, float, float]] = field(default_factory=list)
    version: int = 0

    async def __aenter__(self) -> "World":
        self.tasks = []
        self.folder = tempfile.TemporaryDirectory(prefix="hickorylever-soak-")
        store_port = await self.serve(self.store.server)
        # Concurrent soak tests hold different ports, so each gets its own loopback network.
        self.network = f"127.{store_port >> 8}.{store_port & 255}"
        for number in range(self.origins_wanted):
            origin = Origin(f"i-{number}", events=EVENTS, pause=0.01)
            self.origins.append(origin)
            self.proxies.append(await self.proxy(await self.serve(origin.server)))
            await self.register(number)
        await self.configure()
        for number in range(1, self.routers_wanted + 1):
            proxy = await self.proxy(store_port)
            self.store_proxies.append(proxy)
            self.routers.append(self.prepare(f"{self.network}.{number}", proxy.own_port))
            self.routers[-1].start()
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
        self.folder.cleanup()

    async def serve(self, server) -> int:
        """Serve on a free port and return the port."""
        listener = listen(HOST, 0)
        self.tasks.append(await curio.spawn(server.serve, listener, daemon=True))
        return listener.getsockname()[1]

    async def proxy(self, port: int) -> Proxy:
        """Start a proxy in front of a port."""
        proxy = Proxy(port)
        self.tasks.append(await curio.spawn(proxy.run, daemon=True))
        return proxy

    def prepare(self, ip: str, store_port: int) -> RouterProcess:
        """Write a settings file and return the router that uses it."""
        folder = Path(self.folder.name)
        settings = DirectSettings(
            path=str(folder / f"{ip}.toml"),
            vm=ip,
            address=ip,
            failure_domain="a",
            port=FRONT_PORT,
            ready_port=READY_PORT,
            peer_port=PEER_PORT,
            metrics_port=METRICS_PORT,
            store=(HOST, store_port),
            seeds=(f"{self.network}.1", f"{self.network}.2"),
            drain_grace=GRACE,
            retry_allowance=100.0,
        )
        Path(settings.path).write_text(documents.encode_settings(settings), encoding="utf-8")
        return RouterProcess(settings, folder / f"{ip}.log")

    async def register(self, number: int, draining: bool = False) -> None:
        """Write the entry of an endpoint to the store."""
        port = self.proxies[number].own_port
        entry = EndpointEntry(self.origins[number].name, SERVICE, HOST, port, "a", 64, draining)
        await self.store.put(ENDPOINTS, entry.name, documents.encode_endpoint(entry))

    async def configure(self) -> None:
        """Write the next version of the configuration.

        Besides the permanent routes, each version has a route of its own, which shows whether a
        router serves it.
        """
        self.version += 1
        kinds = {**KINDS, version_route(self.version): RouteKind.IDEMPOTENT}
        configuration = Configuration(
            revision=0,
            version=self.version,
            routes=tuple(make_route(name, kind) for name, kind in kinds.items()),
            services=(Service(SERVICE, "", 0),),
            accounts=(Account("clerks", (KEY,)),),
            limits=CallerLimits(16384, 65536, 3.0, 15.0),
        )
        document = documents.encode_configuration(configuration)
        await self.store.put(*CONFIGURATION, document)

    def calm(self, began: float, ended: float, allowed: frozenset[str] = frozenset()) -> bool:
        """Return whether no fault overlaps a period, except for those with allowed names.

        Only faults that have ended are known.
        """
        return not any(
            fault.began <= ended and fault.ended >= began and fault.name not in allowed
            for fault in self.impairments
        )


def version_route(version: int) -> str:
    """Return the name of the route that only this configuration version has."""
    return f"version-{version}"


def make_route(name: str, kind: RouteKind) -> Route:
    """Return a route to the simulated endpoints."""
    route = Route(
        name=name,
        host=SITE,
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
