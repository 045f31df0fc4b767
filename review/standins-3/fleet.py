"""Stand-ins for the cases of REPORT-3: store, servers, clients, and the routers as processes.

Only the standard library is used. Every address is a loopback address, and all ports are free
ones, except the fixed port of the routers' metrics, which each router has at its own address.
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
from pathlib import Path
from urllib.parse import parse_qs, unquote

REPOSITORY = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # Exit codes of a case.
HOST = "case.example"
KEY = "key-of-the-case"
TENANT = "tenant-a"
ZONE = "keflavik-a"
HEARTBEAT_SECONDS = 1.2
ENTRY_LIFETIME_SECONDS = 3 * HEARTBEAT_SECONDS
STARTED_AT = time.monotonic()
# Ways in which the task of a connection ends.
ENDINGS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


def now() -> float:
    """Return the seconds since the case started."""
    return time.monotonic() - STARTED_AT


class Record:
    """Writes what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder: Path):
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write a line with the time."""
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


# -- HTTP ---------------------------------------------------------------------------------------


class Message:
    """The head and the body of a request or a response."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes = b""):
        self.start = start
        self.headers = headers
        self.body = body


async def read_head(reader) -> Message | None:
    """Read a head; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Message(start, {key.strip().lower(): value.strip() for key, _, value in pairs})


async def read_chunks(reader):
    """Yield the chunks of a body; the end of the connection raises IncompleteReadError."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_message(reader) -> Message | None:
    """Read a head and a body with a length or in chunks."""
    message = await read_head(reader)
    if message is None:
        return None
    if "chunked" in message.headers.get("transfer-encoding", ""):
        message.body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
    return message


def encode(start: str, headers: dict[str, object], body: bytes | None = b"") -> bytes:
    """Return the bytes of a message; a body of None adds no length."""
    lines = [start, *(f"{key}: {value}" for key, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


# -- the platform's store -----------------------------------------------------------------------


class Store:
    """The platform's metadata store, as PROTOCOL describes it.

    :ivar down: whether it is down and silent: it takes connections and calls and answers none.
        What it would have answered meanwhile is lost, and a connection on which a response is
        lost returns nothing further.
    :ivar beats: when each server wrote its entry last.
    :ivar waiting: connections on which a watch waits.
    """

    def __init__(self, record: Record):
        self.record = record
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.down = False
        self.beats: dict[str, float] = {}
        self.waiting: set = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object, and return the revision; one that is equal changes nothing."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known["metadata"]["revision"]
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 0, "finalizers": []}
        entry = {"metadata": {**meta, "deletion-pending": False}, "spec": spec, "status": None}
        self.objects[kind, name] = entry
        self.publish(kind, entry, False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        entry = self.objects.pop((kind, name), None)
        if entry is not None:
            self.revision += 1
            meta = {**entry["metadata"], "revision": self.revision}
            self.publish(kind, {**entry, "metadata": meta}, True)

    def publish(self, kind: str, entry: dict, deleted: bool) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, entry, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def beat(self, name: str, spec: dict) -> bool:
        """Write a server's entry, unless the store is down; return whether it was accepted."""
        if self.down:
            return False
        self.beats[name] = time.monotonic()
        self.put("servers", name, spec)
        return True

    async def expire(self) -> None:
        """Remove entries after three heartbeat intervals of silence, also while it is down."""
        while True:
            await asyncio.sleep(0.05)
            for name, at in list(self.beats.items()):
                if time.monotonic() - at > ENTRY_LIFETIME_SECONDS:
                    del self.beats[name]
                    self.remove("servers", name)
                    self.record.write(f"store: entry of {name} expired")

    async def serve(self, reader, writer) -> None:
        """Answer the calls of one connection."""
        with contextlib.suppress(*ENDINGS):
            while (call := await read_message(reader)) is not None:
                if not self.down:
                    self.waiting.add(writer)
                    status, body = await self.answer(call)
                    self.waiting.discard(writer)
                if self.down:
                    await reader.read()  # The answer is lost: nothing further on it.
                    break
                content = json.dumps(body).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} -", headers, content))
                await writer.drain()
        self.waiting.discard(writer)
        writer.close()

    def recover(self) -> None:
        """Serve again after an outage."""
        self.down = False
        self.record.write("store: serves")

    def cut_watches(self) -> None:
        """Cut off the watches that wait."""
        for writer in self.waiting:
            writer.close()
        self.record.write(f"store: cuts {len(self.waiting)} watches")

    async def answer(self, call: Message) -> tuple[int, object]:
        """Return the status and the body of the answer to a call."""
        method, target, _ = call.start.split(" ")
        path, _, query = target.partition("?")
        parts = [unquote(part) for part in path.strip("/").split("/")]
        values = {key: entries[0] for key, entries in parse_qs(query).items()}
        if parts[:2] != ["v1", "objects"] or len(parts) not in (3, 4):
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) == 4 else ""
        await asyncio.sleep(0.004)
        if method == "GET" and "watch" in values:
            return await self.watch(kind, int(values["watch"]), int(values.get("wait-ms", 0)))
        if method == "GET" and not name:
            names = sorted(n for k, n in self.objects if k == kind and n > values.get("after", ""))
            items = [self.objects[kind, n] for n in names]
            return 200, {"items": items, "has-more": False, "at": self.revision}
        if method == "GET":
            entry = self.objects.get((kind, name))
            return (200, entry) if entry else (404, {})
        if method == "POST":
            document = json.loads(call.body)
            name = document["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            self.put(kind, name, document.get("spec"))
            return 200, self.objects[kind, name]
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        return 405, {}

    async def watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, object]:
        """Return the changes since a revision, as soon as there is one."""
        ends_at = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                {"object": entry, "deleted": deleted}
                for revision, entry_kind, entry, deleted in self.history
                if entry_kind == kind and revision > since
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


# -- servers ------------------------------------------------------------------------------------


class Server:
    """A server of a service, which writes its entry to the store and runs requests.

    :param run: coroutine that runs one request and answers it.
    :ivar full: whether it rejects all requests, as its places and its queue are taken.
    """

    def __init__(self, name: str, service: str, store: Store, record: Record, run, slots: int):
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.run = run
        self.slots = slots
        self.full = False
        self.state = "ready"
        self.version = "v1"
        self.seq = 0
        self.arrivals: list[tuple[float, str]] = []  # Time and id of each request that arrives.
        self.connections: set = set()

    async def start(self) -> None:
        """Listen on a free port and begin to write the entry."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = time.time_ns() // 1_000_000
        self.beating = asyncio.create_task(self.beat())

    def entry(self) -> dict:
        """Return what the server says of itself."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": ZONE,
            "version": self.version,
            "max-batch-size": self.slots,
            "state": self.state,
            "warmup-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def beat(self) -> None:
        """Write the entry at each heartbeat."""
        while True:
            self.store.beat(self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def drain(self, seconds: float) -> float:
        """Report draining, serve for so long after the store has accepted that, and exit.

        Return when the store had accepted it.
        """
        self.state = "draining"
        if not self.store.beat(self.name, self.entry()):
            raise RuntimeError("the store is down")
        accepted_at = time.monotonic()
        self.record.write(f"{self.name}: draining, accepted by the store")
        asyncio.create_task(self.exit_after(seconds))
        return accepted_at

    async def restart(self, version: str, down_seconds: float) -> None:
        """End and start again under the same id and address, with another software version."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(down_seconds)
        self.version = version
        self.seq = 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.born = time.time_ns() // 1_000_000
        self.beating = asyncio.create_task(self.beat())
        self.record.write(f"{self.name}: started again with {version}")

    def vanish(self, seconds: float) -> float:
        """Remove the entry without a report, serve for so long and exit; return when."""
        self.beating.cancel()
        self.store.beats.pop(self.name, None)
        self.store.remove("servers", self.name)
        self.record.write(f"{self.name}: its entry is removed")
        asyncio.create_task(self.exit_after(seconds))
        return time.monotonic()

    async def exit_after(self, seconds: float) -> None:
        """End the server after a time."""
        await asyncio.sleep(seconds)
        self.beating.cancel()
        self.store.beats.pop(self.name, None)
        self.store.remove("servers", self.name)
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.record.write(f"{self.name}: has left")

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        self.connections.add(writer)
        with contextlib.suppress(*ENDINGS):
            while (request := await read_message(reader)) is not None:
                await self.respond(request, writer)
                await writer.drain()
        self.connections.discard(writer)
        writer.close()

    async def respond(self, request: Message, writer) -> None:
        """Reject a request or run it."""
        request_id = request.headers.get("hickorylever-attempt-id", "")
        headers = {"Hickorylever-Attempt-Id": request_id}
        if request.headers.get("hickorylever-expect-instance", self.name) != self.name:
            headers["Hickorylever-Instance-Id"] = self.name
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return
        path = request.start.split(" ")[1]
        if path.startswith("/v1/kv-list"):
            body = b'{"epoch":"e","next":1,"held":[]}'
            writer.write(encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
            return
        self.arrivals.append((time.monotonic(), request_id))
        if self.full:
            self.record.write(f"{self.name}: rejects {request_id}, full")
            headers["Hickorylever-Not-Executed"] = "1"
            writer.write(encode("HTTP/1.1 503 Service Unavailable", headers))
            return
        self.record.write(f"{self.name}: runs {request_id}")
        headers["Hickorylever-Server-Stamp"] = f"{self.name}.{request_id}"
        await self.run(self, request, headers, writer)


# -- clients ------------------------------------------------------------------------------------


class Answer:
    """What a client got: status (0 for none), body, and whether the answer was complete."""

    def __init__(self, status: int = 0, body: bytes = b"", complete: bool = False):
        self.status = status
        self.body = body
        self.complete = complete
        self.ended_at = time.monotonic()


async def ask(router: "Router", method: str, path: str, request_id: str, **options) -> Answer:
    """Send a request on a new connection and return what comes back.

    :param options: `limit_ms`, `headers`, and `on_data`, called with each chunk of a stream.
    """
    limit_ms = options.get("limit_ms", 1500)
    headers = {
        "Host": HOST,
        "Hickorylever-Attempt-Id": request_id,
        "Hickorylever-Deadline-Ms": limit_ms,
        "Authorization": f"Bearer {KEY}",
        **options.get("headers", {}),
    }
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(limit_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(router.ip, router.port)
            body = b"" if method == "POST" else None
            writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            head = await read_head(reader)
            if head is not None:
                answer.status = int(head.start.split(" ")[1])
                if "chunked" in head.headers.get("transfer-encoding", ""):
                    async for chunk in read_chunks(reader):
                        answer.body += chunk
                        options.get("on_data", lambda chunk: None)(chunk)
                else:
                    length = int(head.headers.get("content-length", 0))
                    answer.body = await reader.readexactly(length)
                answer.complete = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    answer.ended_at = time.monotonic()
    return answer


# -- routers ------------------------------------------------------------------------------------

SETTINGS = """\
node-name = "edge-{number}"
role = "router"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "keflavik-a"
region = "sudvestur"
internal-ports = [{peer_port},{peer_port}]
seeds = [{seeds}]
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
guarantees = ["base","drain","config","cost","retry",
    "recover","engine","stream","tenants","platform"]
[zones]
keflavik-a = "sudvestur"
[listen]
frontend = "{ip}:{port}"
ready = "{ip}:{ready_port}"
control-plane = "{ip}:{control_port}"
[limits]
cpu-fraction = 0.817
cores = 1
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machine-failures = 2
zones = 0
region-failures = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = 3000
ack-timeout-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = {grace}
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
[platform]
address = "127.0.0.1:{store_port}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


def free_port(ips: list[str]) -> int:
    """Return a port that is free for TCP and UDP at each of some addresses."""
    while True:
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            port = 0
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = stack.enter_context(socket.socket(type=kind))
                    sock.bind((ip, port))
                    port = sock.getsockname()[1]
            return port


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, number: int, ip: str, seeds: list[str], ports: dict, folder: Path):
        self.number = number
        self.ip = ip
        self.seeds = seeds
        self.ports = ports
        self.port = ports["port"]
        self.path = folder / f"router-{number}.toml"
        self.log = folder / f"router-{number}.log"
        self.process: subprocess.Popen | None = None

    def write_settings(self, grace: int = 8) -> None:
        """Write the settings file, as the platform does at a start and when settings change."""
        seeds = ",".join(f'"{seed}:{self.ports["control_port"]}"' for seed in self.seeds)
        values = {"number": self.number, "ip": self.ip, "seeds": seeds, "grace": grace}
        part = self.path.with_suffix(".part")
        part.write_text(SETTINGS.format(**values, **self.ports), encoding="utf-8")
        part.replace(self.path)

    def start(self) -> None:
        """Start the process at the root of the repository."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["router"]["run"].split()
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env = {
            **kept,
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "HICKORYLEVER_SETTINGS": str(self.path),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    async def ready(self) -> bool:
        """Return whether its readiness check answers 200."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ports["ready_port"])
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: -\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and " 200 " in head.start
        return False


class Fleet:
    """A store, servers and routers of one case, all of which end with it.

    :param folder: of the case, for `record.txt`.
    :param router_count: number of routers.
    """

    def __init__(self, folder: Path, router_count: int):
        self.record = Record(folder)
        self.router_count = router_count
        self.routers: list[Router] = []
        self.servers: list[Server] = []

    async def __aenter__(self) -> "Fleet":
        self.directory = tempfile.TemporaryDirectory(prefix="review-3-")
        self.store = Store(self.record)
        await self.store.start()
        folder = Path(self.directory.name)
        prefix = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
        ips = [f"{prefix}.{number}" for number in range(1, self.router_count + 1)]
        ports = {name: free_port(ips) for name in PORT_NAMES}
        ports["store_port"] = self.store.port
        for number, ip in enumerate(ips, 1):
            self.routers.append(Router(number, ip, ips[:3], ports, folder))
        return self

    async def __aexit__(self, *info) -> None:
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.send_signal(signal.SIGKILL)
        for router in self.routers:
            if router.process is not None:
                router.process.wait()
        self.directory.cleanup()

    async def add_server(self, name: str, service: str, run, slots: int) -> Server:
        """Start a server."""
        server = Server(name, service, self.store, self.record, run, slots)
        await server.start()
        self.servers.append(server)
        return server

    def put_config(self, version: int, routes: list[dict], services: list[dict]) -> None:
        """Write the config as the operator does; the return is the store's confirmation."""
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
        }
        self.store.put("config", "main", document)
        self.record.write(f"operator: version {version} is confirmed")

    async def start_routers(self, grace: int = 8) -> None:
        """Start all routers and wait until they are ready; RuntimeError if they aren't.

        :param grace: `grace-s` of their settings.
        """
        for router in self.routers:
            router.write_settings(grace)
            router.start()
        for _ in range(200):
            if all([await router.ready() for router in self.routers]):
                self.record.write("all routers are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("a router is not ready after 20 s")


PORT_NAMES = ("port", "ready_port", "control_port", "peer_port")


def plain_route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route of the config."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "route-type": kind,
        "timeout-ms": 15000,
        "target-latency-ms": 200,
        "priority": 0,
        "service": service,
        "max-attempts": 2,
        "public": False,
        "session-affinity": False,
        "resumable": False,
        **more,
    }


def plain_service(name: str) -> dict:
    """Return a service of the config without engines."""
    return {"name": name, "health-path": "/healthz", "max-connections": 110}


def engine_service(name: str) -> dict:
    """Return a service of the config with engines."""
    engine = {
        "max-batch-size": 64,
        "kv-capacity-tokens": 530331,
        "kv-bytes": 163840,
        "link-mbps": 1100000.0,
        "moves": True,
        "backups": True,
        "stride": 5,
        "most": 2,
        "models": [{"name": "m"}],
    }
    return {**plain_service(name), "max-connections": 370, "engine": engine}


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case) -> None:
    """Run a case and exit with its result. A case that can't run exits with 2."""
    try:
        code = asyncio.run(asyncio.wait_for(case(), 110))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = COULD_NOT_RUN
    sys.exit(code)
