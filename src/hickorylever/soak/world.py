"""The soak's world: stand-ins in this process, routers as processes of their own."""

import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import curio

from ..http import listen
from ..standins.origin import Origin
from ..standins.store import StandinStore
from .proxy import HOST, Proxy

SITE = "soak.example"
KEY = "soak-key"
EVENTS = 8
FRONT_PORT = 18600
READY_PORT = 18601
PEER_PORT = 18602
METRICS_PORT = 9464  # As the adapter sets it.
GRACE = 8  # Seconds from SIGTERM until a router is killed.
KINDS = {"unsafe": "unsafe", "safe": "safe", "stream": "streaming", "resumable": "streaming"}

SETTINGS = """\
node-name = "{name}"
ip = "{ip}"
zone = "a"
internal-ports = [{peer}, {peer}]
seeds = ["127.0.2.1:1", "127.0.2.2:1"]
[listen]
frontend = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
[bounds]
grace-s = {grace}
retry-allowance = 100
"""


@dataclass(slots=True)
class RouterProcess:
    """One router; it ends only by this object's own signals."""

    ip: str
    settings: Path
    log: Path
    process: subprocess.Popen | None = None
    restarting: bool = False

    def start(self) -> None:
        """Start the program, unless it runs."""
        if self.running:
            return
        env = {**os.environ, "HICKORYLEVER_SETTINGS": str(self.settings)}
        command = [sys.executable, "-m", "hickorylever.direct"]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, env=env, stdout=log, stderr=log)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def running(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None


@dataclass
class World:
    """Use as ``async with`` in a curio task.

    :ivar leaving: endpoints that the store says are leaving.
    """

    routers_wanted: int
    origins_wanted: int = 4
    store: StandinStore = field(default_factory=StandinStore)
    origins: list[Origin] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    routers: list[RouterProcess] = field(default_factory=list)
    version: int = 0
    leaving: set[str] = field(default_factory=set)

    async def __aenter__(self) -> "World":
        self.tasks = []
        self.folder = tempfile.TemporaryDirectory(prefix="hickorylever-soak-")
        self.store_port = await self.serve(self.store.server)
        for number in range(self.origins_wanted):
            origin = Origin(f"i-{number}", events=EVENTS, pause=0.01)
            proxy = Proxy(await self.serve(origin.server))
            self.tasks.append(await curio.spawn(proxy.run, daemon=True))
            self.origins.append(origin)
            self.proxies.append(proxy)
            await self.register(number)
        await self.configure()
        for number in range(1, self.routers_wanted + 1):
            self.routers.append(self.prepare(f"127.0.2.{number}"))
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
        """Serve on a free port and return it."""
        listener = listen(HOST, 0)
        self.tasks.append(await curio.spawn(server.serve, listener, daemon=True))
        return listener.getsockname()[1]

    def prepare(self, ip: str) -> RouterProcess:
        """Write a router's settings."""
        folder = Path(self.folder.name)
        path = folder / f"{ip}.toml"
        path.write_text(
            SETTINGS.format(
                name=ip,
                ip=ip,
                front=FRONT_PORT,
                ready=READY_PORT,
                peer=PEER_PORT,
                store=f"{HOST}:{self.store_port}",
                grace=GRACE,
            )
        )
        return RouterProcess(ip, path, folder / f"{ip}.log")

    async def register(self, number: int, state: str = "ready") -> None:
        """Write an endpoint's entry."""
        entry = {
            "service": "engines",
            "address": self.proxies[number].address,
            "zone": "a",
            "max-batch-size": 64,
            "state": state,
        }
        await self.store.put("servers", self.origins[number].name, entry)

    async def configure(self) -> None:
        """Write the next version; each has a route of its own beside the lasting ones."""
        self.version += 1
        routes = [
            {
                "name": name,
                "host": SITE,
                "path-prefix": f"/{name}/stream/" if kind == "streaming" else f"/{name}/",
                "route-type": kind,
                "service": "engines",
                "timeout-ms": 4000,
                "target-latency-ms": 500,
                "target-gap-ms": 400,
                "max-attempts": 3,
                "resumable": name == "resumable",
            }
            for name, kind in (*KINDS.items(), (f"version-{self.version}", "safe"))
        ]
        limits = {
            "max-header-bytes": 16384,
            "max-body-bytes": 65536,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        }
        spec = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "engines"}],
            "limits": limits,
            "tenants": [{"name": "clerks", "api-keys": [KEY]}],
        }
        await self.store.put("config", "main", spec)
