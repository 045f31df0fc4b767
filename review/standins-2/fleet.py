"""Stand-ins of the platform for scripts of the second review: store, model servers, clients.

The routers are real processes, started with the command of the deploy file. Everything else runs
in this process, on loopback addresses and the real clock, with the standard library alone.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2  # Exit codes of a case.

FRONTEND, READY, CONTROL, PEERS, METRICS = 8227, 8220, 8229, 7340, 9464
SERVER_PORT = 8120
HOST = "ficu95.example"
SERVICE = "huvo11a"
PLAIN_SERVICE = "wuno96b"
TENANT = "hule930"
KEY = "n2ctnfzs989anu6wsjnb"
ZONE = "keflavik-a"
HEARTBEAT_SECONDS = 1.2
MISSED_HEARTBEATS = 3
STEP_SECONDS = 0.00423  # For one token of each running request.
TOKENS_PER_EVENT = 5
PROMPT_TOKENS_PER_SECOND = 64_200.0
WORK_SECONDS = 0.045  # Of a request to a plain service.
SERVER_RESTART_SECONDS = 3.0  # "the server is back after some seconds"
START_SECONDS = 20.0


class Record:
    """What was sent, answered and run, one line each, in seconds since the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115 - open to the end

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def write(self, text):
        """Write one line."""
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """Return the first line and the headers of a message, or None at the end of the input."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def encode_message(first_line, headers, body=b""):
    """Return an encoded message with a Content-Length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Reset a connection, as a process that ends with unread input does."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Store:
    """The platform's store: lists, watches, and the calls that the system makes."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    async def start(self, address):
        """Listen on a free port and return the address."""
        server = await asyncio.start_server(self.serve, address, 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def put(self, kind, name, spec):
        """Write an object, without an effect if nothing changes."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 1, "finalizers": []}
        entry = {"metadata": {**meta, "deletion-pending": False}, "spec": spec, "status": None}
        self.objects[kind, name] = entry
        self.record(kind, entry, False)
        return entry

    def remove(self, kind, name):
        """Remove an object."""
        entry = self.objects.pop((kind, name), None)
        if entry is not None:
            self.revision += 1
            meta = {**entry["metadata"], "revision": self.revision}
            self.record(kind, {**entry, "metadata": meta}, True)

    def record(self, kind, entry, deleted):
        """Add a change to the history and wake up the watches."""
        self.history.append((self.revision, kind, entry, deleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await read_head(reader):
                first_line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = first_line.split(" ")
                status, value = await self.call(method, target, body)
                fields = [("Content-Type", "application/json")]
                line = f"HTTP/1.1 {status} -"
                writer.write(encode_message(line, fields, json.dumps(value).encode()))
                await writer.drain()
        writer.close()

    async def call(self, method, target, body):
        """Return the status and the value of the answer to a call."""
        parts = urlsplit(target)
        path = [unquote(part) for part in parts.path.strip("/").split("/")]
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        if path[:2] != ["v1", "objects"] or len(path) not in (3, 4):
            return 404, {}
        kind, name = path[2], path[3] if len(path) == 4 else ""
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", 0)))
        if method == "GET" and not name:
            names = sorted(entry for known, entry in self.objects if known == kind)
            items = [self.objects[kind, entry] for entry in names]
            return 200, {"items": items, "has-more": False, "at": self.revision}
        if method == "GET":
            entry = self.objects.get((kind, name))
            return (200, entry) if entry else (404, {})
        if method == "POST":
            wire = json.loads(body)
            name = wire["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            return 200, self.put(kind, name, wire.get("spec"))
        if method == "PUT":
            return 200, self.put(kind, name, json.loads(body).get("spec"))
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 405, {}

    async def watch(self, kind, since, wait_ms):
        """Return the changes of a kind after a revision, waiting for the first of them."""
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                while not any(at > since and known == kind for at, known, _, _ in self.history):
                    await self.changed.wait()
        events = [
            {"object": entry, "deleted": deleted}
            for at, known, entry, deleted in self.history
            if at > since and known == kind
        ]
        return 200, {"events": events, "at": self.revision}


class ModelServer:
    """A model server, which a request may crash when it begins to run.

    :param crashes: tells from a request's body whether it crashes servers.
    :param on_arrival: called with each request that arrives.
    :param crash_seconds: time from the begin of the run to the crash.
    :param event_bytes: least size of an event.
    """

    service = SERVICE
    slots = 64
    version = "v1"

    def __init__(
        self,
        number,
        address,
        store,
        record,
        crashes=None,
        on_arrival=None,
        crash_seconds=0.0,
        event_bytes=0,
    ):
        self.number = number
        self.address = address
        self.store = store
        self.record = record
        self.crashes = crashes
        self.on_arrival = on_arrival
        self.crash_seconds = crash_seconds
        self.event_bytes = event_bytes
        self.cached = {}
        self.running = 0
        self.writers = set()
        self.tasks = set()
        self.starts = 0
        self.prefilling = asyncio.Lock()

    async def start(self):
        """Start a new incarnation and write its entry."""
        self.starts += 1
        self.name = f"i-{self.number:x}{self.starts:x}7f3a91c{self.number:x}"
        self.born = int(time.time() * 1000)
        self.cached.clear()
        self.prefilling = asyncio.Lock()
        self.listener = await asyncio.start_server(
            self.serve, self.address, SERVER_PORT, reuse_address=True
        )
        self.record.write(f"server {self.name} starts at {self.address}:{SERVER_PORT}")
        self.seq = 0
        self.beating = asyncio.create_task(self.beat())

    async def beat(self):
        """Write the entry until the server ends."""
        while True:
            self.seq += 1
            entry = {
                "service": self.service,
                "address": f"{self.address}:{SERVER_PORT}",
                "zone": ZONE,
                "version": self.version,
                "max-batch-size": self.slots,
                "state": "ready",
                "warmup-left-ms": 0,
                "phase": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "born": self.born,
            }
            # An object changes when more than its count does.
            self.store.put("servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def restart_at_once(self, version, entry_seconds):
        """End, and be there again at once under the same id, with other software.

        :param entry_seconds: time until the new entry is in the store.
        """
        self.beating.cancel()
        self.version = version
        self.born = int(time.time() * 1000)
        self.cached.clear()
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()
        self.running = 0
        self.prefilling = asyncio.Lock()
        self.record.write(f"server {self.name} starts again with {version}")
        await asyncio.sleep(entry_seconds)
        self.beating = asyncio.create_task(self.beat())
        self.record.write(f"the store has the entry of {self.name} with {version}")

    async def crash_after(self, seconds):
        """End after some seconds, unless the server has ended before."""
        starts = self.starts
        await asyncio.sleep(seconds)
        if starts == self.starts and self.listener.is_serving():
            await self.crash()

    async def crash(self):
        """End without a word, and start again some seconds later."""
        name = self.name
        self.record.write(f"server {name} crashes")
        self.beating.cancel()
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()
        self.running = 0
        asyncio.create_task(self.expire(name))
        await asyncio.sleep(SERVER_RESTART_SECONDS)
        await self.start()

    async def expire(self, name):
        """Let the store remove the entry after three heartbeats of silence."""
        await asyncio.sleep(MISSED_HEARTBEATS * HEARTBEAT_SECONDS)
        self.store.remove("servers", name)

    async def serve(self, reader, writer):
        """Answer the requests of one connection, one at a time."""
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while head := await read_head(reader):
                first_line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.answer(reader, writer, first_line, headers, body)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def answer(self, reader, writer, first_line, headers, body):
        """Answer one request."""
        method, target, _ = first_line.split(" ")
        attempt = headers.get("hickorylever-attempt-id", "")
        echo = [("Hickorylever-Attempt-Id", attempt)] if attempt else []
        if target.startswith("/v1/kv-list"):
            held = [["", part, tokens, "m"] for part, tokens in self.cached.items()]
            value = {"epoch": str(self.born), "next": 1, "held": held}
            writer.write(encode_message("HTTP/1.1 200 OK", [], json.dumps(value).encode()))
            await writer.drain()
            return
        expected = headers.get("hickorylever-expect-instance", self.name)
        if expected != self.name:
            fields = [*echo, ("Hickorylever-Instance-Id", self.name)]
            writer.write(encode_message("HTTP/1.1 421 Misdirected Request", fields))
            await writer.drain()
            return
        if not attempt:
            fields = [("Hickorylever-Not-Executed", "1")]
            writer.write(encode_message("HTTP/1.1 400 Bad Request", fields))
            await writer.drain()
            return
        await self.run(reader, writer, attempt, headers, body)

    async def run(self, reader, writer, attempt, headers, body):
        """Run one request, or drop it when its connection closes."""
        parts = []
        for entry in headers.get("hickorylever-prompt-prefix", "").split(","):
            part, _, tokens = entry.partition(":")
            parts.append((part, int(tokens)))
        text = body.decode("latin-1")
        events = -(-int(headers["hickorylever-token-usage"].split(",")[1]) // TOKENS_PER_EVENT)
        after = int(headers.get("last-event-id", 0))
        self.on_arrival(self, attempt, text)
        self.record.write(f"{attempt} reaches server {self.name}")
        self.running += 1
        work = asyncio.create_task(self.generate(writer, attempt, parts, text, events, after))
        self.tasks.add(work)
        left = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait((work, left), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.record.write(f"{attempt} is dropped by {self.name}: its connection closed")
        finally:
            self.running = max(0, self.running - 1)
            for task in (work, left):
                task.cancel()
            await asyncio.gather(work, left, return_exceptions=True)
            self.tasks.discard(work)
        if not work.cancelled() and work.exception():
            raise ConnectionError(str(work.exception()))
        if work.cancelled():
            raise ConnectionError("dropped")

    async def generate(self, writer, attempt, parts, text, events, after):
        """Read the prompt and write the events."""
        async with self.prefilling:
            tokens = 0
            for part, size in parts:
                tokens += 0 if part in self.cached and not tokens else size
            await asyncio.sleep(tokens / PROMPT_TOKENS_PER_SECOND + STEP_SECONDS)
        if self.crashes(text):
            self.record.write(f"{attempt} begins to run at {self.name}")
            asyncio.create_task(self.crash_after(self.crash_seconds))
            if not self.crash_seconds:
                await asyncio.Event().wait()
        self.cached.update(parts)
        fields = [
            ("Hickorylever-Attempt-Id", attempt),
            ("Hickorylever-Server-Stamp", f"3e1b.07.5a2.{self.name}.{attempt}"),
            ("Hickorylever-Server-Load", f"{self.running},0,64"),
            ("Hickorylever-Weight-Versions", "1"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.record.write(f"{attempt} begins to run at {self.name}")
        for number in range(after + 1, events + 1):
            event = b"id: %d\ndata: piece %d of %s" % (number, number, self.version.encode())
            event = event.ljust(self.event_bytes - 2, b".") + b"\n\n"
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(TOKENS_PER_EVENT * STEP_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class PlainServer(ModelServer):
    """A server of a plain service, whose requests take `WORK_SECONDS`."""

    service = PLAIN_SERVICE
    slots = 6

    async def run(self, reader, writer, attempt, headers, body):
        """Run one request, or drop it when its connection closes."""
        self.on_arrival(self, attempt, body.decode("latin-1"))
        self.record.write(f"{attempt} reaches server {self.name}")
        await asyncio.sleep(WORK_SECONDS)
        fields = [
            ("Hickorylever-Attempt-Id", attempt),
            ("Hickorylever-Server-Stamp", f"3e1b.07.5a2.{self.name}.{attempt}"),
        ]
        writer.write(encode_message("HTTP/1.1 200 OK", fields, b"done"))
        await writer.drain()

    async def leave(self, seconds):
        """Remove the entry without a report, serve on for some seconds, and exit."""
        self.beating.cancel()
        self.store.remove("servers", self.name)
        self.record.write(f"the store confirms that server {self.name} is gone")
        await asyncio.sleep(seconds)
        self.record.write(f"server {self.name} exits")
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()


class Router:
    """A router process on a loopback address of its own."""

    def __init__(self, number, address, place, bounds, seeds, store_address, folder, record):
        self.number = number
        self.address = address
        self.zone, self.link_mbps = place
        self.bounds = bounds
        self.seeds = seeds
        self.store_address = store_address
        self.settings = folder / f"boot-{number}.toml"
        self.log = folder / f"router-{number}.log"
        self.record = record
        self.process = None
        self.started_at = 0.0

    def start(self, first):
        """Start the process with the command of the deploy file."""
        seeds = ",".join(f'"{seed}:{CONTROL}"' for seed in self.seeds)
        self.settings.write_text(
            SETTINGS.format(
                router=self, first=str(first).lower(), seeds=seeds, bounds=self.bounds
            ),
            encoding="utf-8",
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["router"]["run"].split(" ")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "HICKORYLEVER_SETTINGS": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.started_at = self.record.now()
        self.record.write(f"router {self.number} starts")

    def kill(self):
        """Kill the process."""
        self.record.write(f"router {self.number} is killed")
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    async def ready(self):
        """Return whether the process answers its readiness check with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.address, READY)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: -\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200" in line


SETTINGS = """\
node-name = "edge-keflavik-a-{router.number}"
role = "router"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "{router.address}"
zone = "{router.zone}"
region = "sudvestur"
internal-ports = [7340,7355]
seeds = [{seeds}]
bootstrap = {first}
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
guarantees = ["base","drain","config","cost","retry","recover","engine","stream","tenants",\
"platform"]
[zones]
keflavik-a = "sudvestur"
vogar-d = "sudvestur"
[listen]
frontend = "{router.address}:8227"
ready = "{router.address}:8220"
control-plane = "{router.address}:8229"
[limits]
cpu-fraction = 0.817
cores = 1
memory-mb = 300
max-fds = 4100
link-mbps = {router.link_mbps}
disk-mb = 0
[fault-tolerance]
machine-failures = 2
zones = 0
region-failures = 0
[bounds]
{bounds}
[platform]
address = "{router.store_address}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""

SMALL_BOUNDS = """\
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = 3000
ack-timeout-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
strict-revocation = false
revoke-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-allowance = 58
recover-s = 12
iteration-ms = 120
reuse-window-s = 10
cap-factor = 2
"""

# Where these differ from the above, those of the grown deployments.
GROWN_BOUNDS = (
    SMALL_BOUNDS.replace("stability-window-ms = 3000", "stability-window-ms = 4000")
    .replace("ack-timeout-ms = 4000", "ack-timeout-ms = 6000")
    .replace("catch-up-s = 4", "catch-up-s = 6")
    .replace("drain-ms = 2000", "drain-ms = 3000")
    .replace("config-apply-ms = 2000", "config-apply-ms = 3000")
    .replace("outer-ms = 5000", "outer-ms = 6000")
    .replace("retry-allowance = 58", "retry-allowance = 96")
    .replace("recover-s = 12", "recover-s = 15")
    .replace("iteration-ms = 120", "iteration-ms = 200")
)

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-6y7z5k6",
            "host": HOST,
            "path-prefix": "/pufi791/",
            "route-type": "streaming",
            "timeout-ms": 15000,
            "target-latency-ms": 500,
            "priority": 0,
            "service": SERVICE,
            "max-attempts": 2,
            "public": False,
            "session-affinity": True,
            "resumable": True,
            "target-gap-ms": 400,
        },
        {
            "name": "r-hvz3pfi",
            "host": HOST,
            "path-prefix": "/puxa403/",
            "route-type": "unsafe",
            "timeout-ms": 1500,
            "target-latency-ms": 200,
            "priority": 2,
            "service": PLAIN_SERVICE,
            "max-attempts": 1,
            "public": False,
            "session-affinity": False,
            "resumable": False,
        },
    ],
    "services": [
        {
            "name": SERVICE,
            "health-path": "/healthz",
            "max-connections": 370,
            "protocol": "h1",
            "tls": False,
            "engine": {
                "max-batch-size": 64,
                "kv-capacity-tokens": 530331,
                "kv-bytes": 163840,
                "link-mbps": 1100000.0,
                "moves": True,
                "backups": True,
                "stride": TOKENS_PER_EVENT,
                "most": 2,
                "pin-ms": 4000.0,
                "hold-ms": 2000.0,
                "handle-ttl-s": 5.0,
                "models": [{"name": "m"}],
            },
        },
        {
            "name": PLAIN_SERVICE,
            "health-path": "/healthz",
            "max-connections": 110,
            "protocol": "h1",
            "tls": False,
        },
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
}


@dataclass
class Answer:
    """What a client got for one attempt."""

    id: str
    router: Router
    sent_at: float
    status: int = 0
    events: int = 0
    complete: bool = False
    text: bytes = b""
    body: str = ""
    retry_after: float | None = None

    @property
    def served(self):
        """Return whether the answer is a whole stream."""
        return self.status == 200 and self.complete


@dataclass
class Fleet:
    """The deployment: a store, model servers and router processes.

    :param plain_count: number of servers of the plain service.
    :param places: zone and Mbit/s of the links of routers, by number, where they aren't the usual.
    :param crashes: tells from a request's body whether it crashes servers.
    :param crash_seconds: time from the begin of the run to the crash.
    :param event_bytes: least size of an event.
    """

    record: Record
    router_count: int = 3
    server_count: int = 4
    plain_count: int = 0
    places: dict = field(default_factory=dict)
    bounds: str = SMALL_BOUNDS
    crashes: object = staticmethod(lambda text: False)
    crash_seconds: float = 0.0
    event_bytes: int = 0
    arrivals: list = field(default_factory=list)
    answers: list = field(default_factory=list)

    async def __aenter__(self):
        """Start everything and wait until all routers are ready."""
        self.routers = []
        try:
            await self.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def start(self):
        """Start everything and wait until all routers are ready."""
        self.folder = tempfile.TemporaryDirectory(prefix="review-2-")
        self.prefix = free_prefix()
        self.record.write(f"addresses begin with {self.prefix}")
        self.store = Store()
        await self.store.start(f"{self.prefix}.1")
        self.store.put("config", "main", CONFIGURATION)
        self.servers = [
            ModelServer(
                n,
                f"{self.prefix}.{100 + n}",
                self.store,
                self.record,
                self.crashes,
                self.arrive,
                self.crash_seconds,
                self.event_bytes,
            )
            for n in range(self.server_count)
        ]
        self.plain = [
            PlainServer(
                n, f"{self.prefix}.{150 + n}", self.store, self.record, on_arrival=self.arrive
            )
            for n in range(self.plain_count)
        ]
        for server in (*self.servers, *self.plain):
            await server.start()
        addresses = [f"{self.prefix}.{10 + n}" for n in range(self.router_count)]
        self.routers = [
            Router(
                n,
                address,
                self.places.get(n, (ZONE, 1000.0)),
                self.bounds,
                addresses[:3],
                self.store.address,
                Path(self.folder.name),
                self.record,
            )
            for n, address in enumerate(addresses, 1)
        ]
        for router in self.routers:
            router.start(first=True)
        if not await self.wait_until_ready():
            raise RuntimeError("the routers did not become ready")

    async def __aexit__(self, *info):
        """End all processes that were started."""
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.kill()
                router.process.wait()
        self.record_logs()
        self.folder.cleanup()

    def record_logs(self):
        """Add the warnings and errors of the routers' logs to the record."""
        for router in self.routers:
            if not router.log.exists():
                continue
            for line in router.log.read_text(encoding="utf-8", errors="replace").splitlines():
                if '"level":"warning"' in line or '"level":"error"' in line:
                    self.record.write(f"log of router {router.number}: {line[:400]}")

    async def wait_until_ready(self):
        """Wait until all routers are ready, and return whether they are."""
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if all([await router.ready() for router in self.routers]):
                self.record.write("all routers are ready")
                return True
            await asyncio.sleep(0.05)
        return False

    def arrive(self, server, attempt, text):
        """Record that a request reached a server."""
        self.arrivals.append((self.record.now(), server.name, attempt, text))

    async def request(
        self, router, text, parts, events=8, seconds=15.0, after=0, resumes="", reset_at=None
    ):
        """Send one client attempt of a stream and return its answer.

        :param after: last event of a stream that the client takes up.
        :param resumes: id of the attempt that brought the first event of that stream.
        :param reset_at: seconds since the start of the record at which the connection is reset.
        """
        attempt = f"{random.getrandbits(64):016x}"
        tokens = sum(size for _, size in parts)
        body = text.encode()
        fields = [
            ("Host", HOST),
            ("Hickorylever-Attempt-Id", attempt),
            ("Hickorylever-Model", "m"),
            ("Hickorylever-Token-Usage", f"{tokens},{events * TOKENS_PER_EVENT}"),
            ("Hickorylever-Prompt-Prefix", ",".join(f"{part}:{size}" for part, size in parts)),
            ("Hickorylever-Deadline-Ms", str(int(seconds * 1000))),
            ("Authorization", f"Bearer {KEY}"),
        ]
        if after:
            fields += [("Last-Event-Id", str(after)), ("Resumes", resumes)]
        path = "/pufi791/2f"
        return await self.send(router, path, fields, body, attempt, events, seconds, reset_at)

    async def plain_request(self, router, text, seconds=1.5):
        """Send one client attempt of an unsafe request and return its answer."""
        attempt = f"{random.getrandbits(64):016x}"
        fields = [
            ("Host", HOST),
            ("Hickorylever-Attempt-Id", attempt),
            ("Hickorylever-Deadline-Ms", str(int(seconds * 1000))),
            ("Authorization", f"Bearer {KEY}"),
        ]
        body = text.encode()
        return await self.send(router, "/puxa403/2f", fields, body, attempt, 0, seconds)

    async def send(self, router, path, fields, body, attempt, events, seconds, reset_at=None):
        """Send one client attempt and return its answer."""
        answer = Answer(attempt, router, self.record.now())
        self.answers.append(answer)
        text = body.decode("latin-1")
        self.record.write(f"{attempt} ({text!r}) is sent to router {router.number}")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            async with asyncio.timeout(seconds):
                await self.exchange(router, path, fields, body, answer, events, reset_at)
        if not answer.status:
            result = "no answer"
        else:
            result = f"{answer.status}, {answer.events} events, complete {answer.complete}"
        self.record.write(f"{attempt} gets {result} {answer.body[:300]}")
        return answer

    async def exchange(self, router, path, fields, body, answer, events, reset_at):
        """Send a request on a new connection and read its answer."""
        reader, writer = await asyncio.open_connection(router.address, FRONTEND)
        if reset_at is not None:
            seconds = max(0.0, reset_at - self.record.now())
            asyncio.get_running_loop().call_later(seconds, reset, writer)
        try:
            writer.write(encode_message(f"POST {path} HTTP/1.1", fields, body))
            head = await read_head(reader)
            if head is None:
                return
            first_line, headers = head
            status = int(first_line.split(" ")[1])
            if "retry-after" in headers:
                answer.retry_after = float(headers["retry-after"])
            if "chunked" not in headers.get("transfer-encoding", ""):
                content = await reader.readexactly(int(headers.get("content-length", 0)))
                answer.body = content.decode("latin-1")
                answer.status = status
                answer.complete = True
                return
            answer.status = status
            content = b""
            while size := int((await reader.readline()).strip() or b"x", 16):
                content += (await reader.readexactly(size + 2))[:-2]
                answer.events = content.count(b"data:")
                answer.text = content
            answer.complete = f"id: {events}\n".encode() in content
        finally:
            writer.close()


def free_prefix():
    """Return the first three numbers of loopback addresses whose ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        with contextlib.suppress(OSError):
            for host in range(10, 20):
                for port in (FRONTEND, READY, CONTROL, PEERS, METRICS):
                    with socket.socket() as sock:
                        sock.bind((f"{prefix}.{host}", port))
            return prefix
    raise RuntimeError("no free loopback addresses")


def main(case, folder):
    """Run a case and exit with its code.

    :param case: async function that gets the record and whether there is trouble, and returns
        whether the rule held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.write(f"TROUBLE={int(trouble)}")
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        end(CANNOT_RUN)
    end(HELD if held else BROKEN)


def end(code):
    """Exit without waiting for connections that are still open in this process."""
    sys.stdout.flush()
    os._exit(code)
