"""Stand-ins for the platform around the routers, for the scripts of this review.

One asyncio process holds the store, the servers and the clients. The routers are processes of
their own, started with the command of ``deploy/system.toml``. Only the standard library is used.
All addresses are loopback addresses.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "case.example"
KEY = "n2ctnfzs989anu6wsjnb"
HEARTBEAT_SECONDS = 1.2
MISSED_HEARTBEATS = 3  # After which the store removes an entry.
STORE_SECONDS = 0.004  # For an answer of the store.
FRONT_PORT, READY_PORT, CONTROL_PORT = 8227, 8220, 8229
PEER_PORTS = (7340, 7355)
CASE_SECONDS = 115.0  # For a whole case.

SETTINGS = """\
node-name = "edge-{zone}-{number}"
role = "router"
machine-class = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "sudvestur"
internal-ports = [{first}, {last}]
seeds = {seeds}
bootstrap = {bootstrap}
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
guarantees = [
  "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform",
]
[zones]
keflavik-a = "sudvestur"
hafnarfj-b = "sudvestur"
[listen]
frontend = "{ip}:{front}"
ready = "{ip}:{ready}"
control-plane = "{ip}:{control}"
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
[platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""

PLAIN = {
    "name": "bokhald",
    "health-path": "/healthz",
    "max-connections": 110,
    "protocol": "h1",
    "tls": False,
}
ENGINE = {
    "name": "malthjonn",
    "health-path": "/healthz",
    "max-connections": 370,
    "protocol": "h1",
    "tls": False,
    "engine": {
        "max-batch-size": 64,
        "kv-capacity-tokens": 530331,
        "kv-bytes": 163840,
        "stride": 5,
        "models": [{"name": "m"}],
    },
}


def route(name, kind, service, **more):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
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


def configuration(version, routes, services):
    """Return a config as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "hule930", "api-keys": [KEY], "priority": 1}],
    }


class Record:
    """Writes what is sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.say("start", trouble=int(TROUBLE))

    def say(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{time.monotonic() - self.began:8.3f} {what} {text}\n")
        self.file.flush()

    def end(self, broken, text):
        """Write the result and return the exit code."""
        self.say("RESULT", broken=broken, text=text)
        print(("RULE BROKEN: " if broken else "rule held: ") + text)
        return 1 if broken else 0


async def read_message(reader):
    """Return the first line, the headers and the body of a message with a length or chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif headers.get("content-length", "0") != "0":
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def message(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [
        first,
        *(f"{name}: {value}" for name, value in headers.items()),
        f"Content-Length: {len(body)}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {
    200: "OK",
    201: "Created",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store. Specs are kept as the bytes that were written.

    :ivar down: whether it is silent: calls get no answer.
    """

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.beaten = {}
        self.down = False
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.task = asyncio.create_task(self.expire())

    def item(self, kind, name):
        revision, created, spec = self.objects[kind, name]
        return self.render(name, revision, created, spec)

    def render(self, name, revision, created, spec):
        meta = json.dumps(
            {
                "name": name,
                "revision": revision,
                "created": created,
                "finalizers": [],
                "deletion-pending": False,
            }
        )
        return b'{"metadata":' + meta.encode() + b',"spec":' + spec + b',"status":null}'

    def put(self, kind, name, spec):
        """Write an object; `spec` is a value or the bytes of one."""
        if not isinstance(spec, bytes):
            spec = json.dumps(spec).encode()
        known = self.objects.get((kind, name))
        if known is not None and known[2] == spec:
            return
        self.revision += 1
        created = known[1] if known else self.revision
        self.objects[kind, name] = (self.revision, created, spec)
        self.note(kind, self.item(kind, name), False)

    def remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if kind == "servers":
            self.beaten.pop(name, None)
        if known is not None:
            self.revision += 1
            self.note(kind, self.render(name, self.revision, known[1], known[2]), True)

    def note(self, kind, item, deleted):
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def beat(self, name, spec):
        """Write a server's entry. Only a change beyond its `seq` is an event."""
        self.beaten[name] = time.monotonic()
        self.put("servers", name, spec)

    async def expire(self):
        """Remove entries of servers after three heartbeats of silence."""
        while True:
            await asyncio.sleep(0.1)
            late = time.monotonic() - MISSED_HEARTBEATS * HEARTBEAT_SECONDS
            for name, at in list(self.beaten.items()):
                if at < late and not self.down:
                    self.remove("servers", name)

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                await asyncio.sleep(STORE_SECONDS)
                while self.down:
                    await asyncio.sleep(0.05)
                status, answer = await self.call(method, urlsplit(target), body)
                while self.down:
                    await asyncio.sleep(0.05)
                fields = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(message(f"HTTP/1.1 {status} {REASONS[status]}", fields, answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def call(self, method, url, body):
        path = [unquote(part) for part in url.path.strip("/").split("/")][2:]
        kind, name = path[0], path[1] if len(path) > 1 else None
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", 0)) / 1000)
        if method == "GET" and name is None:
            names = sorted(
                name
                for known, name in self.objects
                if known == kind and name > query.get("after", "")
            )
            items = b",".join(self.item(kind, name) for name in names)
            return 200, b'{"items":[' + items + b'],"has-more":false,"at":%d}' % self.revision
        if method == "GET":
            return (200, self.item(kind, name)) if (kind, name) in self.objects else (404, b"{}")
        if method == "POST":
            document = json.loads(body)
            name = document["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.item(kind, name)
            self.put(kind, name, document.get("spec"))
            return 200, self.item(kind, name)
        if method == "DELETE":
            self.remove(kind, name)
            return 200, b"{}"
        if name is None or (kind, name) not in self.objects:
            return 404, b"{}"
        self.put(kind, name, json.loads(body).get("spec"))
        return 200, self.item(kind, name)

    async def watch(self, kind, since, wait):
        ends = time.monotonic() + wait
        while True:
            found = [
                (item, deleted)
                for revision, known, item, deleted in self.history
                if known == kind and revision > since
            ]
            left = ends - time.monotonic()
            if found or left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
        events = b",".join(
            b'{"deleted":%s,"object":%s}' % (b"true" if deleted else b"false", item)
            for item, deleted in found
        )
        return 200, b'{"events":[' + events + b'],"at":%d}' % self.revision


class Server:
    """A server of the operator's: a plain service, or an engine that answers with streams.

    :param version: of its software; each event of a stream names it.
    :ivar runs: ids of the requests that began to run.
    """

    def __init__(
        self,
        fleet,
        name,
        service,
        version="v1",
        zone="keflavik-a",
        slots=64,
        events=60,
        event_seconds=0.1,
        work_seconds=0.02,
    ):
        self.fleet, self.name, self.service, self.version = fleet, name, service, version
        self.zone, self.slots, self.events, self.event_seconds = zone, slots, events, event_seconds
        self.work_seconds = work_seconds
        self.runs = []
        self.writers = set()
        self.tasks = set()
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.port = 0
        self.listener = None
        self.beating = None

    async def start(self, register=True):
        self.born = int(time.time() * 1000)
        self.listener = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 22
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        if register:
            self.register()

    def register(self):
        """Write the entry, now and at each heartbeat."""
        self.write_entry()
        self.beating = asyncio.create_task(self.beat())

    def entry(self):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "max-batch-size": self.slots,
            "state": self.state,
            "warmup-left-ms": 0,
            "phase": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.seq,
            "born": self.born,
        }

    def write_entry(self):
        if not self.fleet.store.down:
            self.fleet.store.beat(self.name, self.entry())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.write_entry()

    def stop_beating(self):
        if self.beating is not None:
            self.beating.cancel()
            self.beating = None

    def crash(self):
        """End without a word: all connections are reset, and new ones refused."""
        self.stop_beating()
        self.listener.close()
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()

    async def drain(self, drain_seconds=2.0, extra_seconds=0.1):
        """Leave as planned: report `draining`, serve for a while, remove the entry and exit."""
        self.state = "draining"
        self.write_entry()
        self.fleet.record.say("draining", server=self.name, version=self.version)
        await asyncio.sleep(drain_seconds + extra_seconds)
        self.fleet.store.remove("servers", self.name)
        self.crash()
        self.fleet.record.say("exited", server=self.name, version=self.version)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        connection = {}
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                if headers.get("hickorylever-expect-instance", self.name) != self.name:
                    writer.write(
                        message(
                            "HTTP/1.1 421 Misdirected Request",
                            {
                                "Hickorylever-Instance-Id": self.name,
                                "Hickorylever-Attempt-Id": headers.get(
                                    "hickorylever-attempt-id", ""
                                ),
                            },
                        )
                    )
                elif target.startswith("/healthz"):
                    writer.write(
                        message("HTTP/1.1 200 OK", {"Hickorylever-Instance-Id": self.name})
                    )
                elif target.startswith("/v1/kv-list"):
                    writer.write(
                        message("HTTP/1.1 200 OK", {}, b'{"epoch":"e","next":1,"held":[]}')
                    )
                elif target.startswith("/v1/report"):
                    writer.write(
                        message(
                            "HTTP/1.1 200 OK",
                            {},
                            json.dumps({"born": self.born, "phase": "both"}).encode(),
                        )
                    )
                else:
                    await self.answer(reader, writer, method, headers, connection)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def run(self, headers):
        """Record that a request runs, and return the headers of its answer."""
        attempt = headers.get("hickorylever-attempt-id", "")
        self.runs.append(attempt)
        self.fleet.record.say(
            "run",
            server=self.name,
            version=self.version,
            attempt=attempt,
            after=headers.get("last-event-id", ""),
        )
        return {
            "Hickorylever-Attempt-Id": attempt,
            "Hickorylever-Server-Stamp": f"{self.name}.{len(self.runs)}",
            "Hickorylever-Instance-Id": self.name,
        }

    async def answer(self, reader, writer, method, headers, connection):
        """Run a request and answer it; engines answer with a stream."""
        fields = self.run(headers)
        if self.service == ENGINE["name"] or self.service.startswith("engine"):
            await self.stream(writer, headers, fields)
            return
        await asyncio.sleep(self.work_seconds)
        writer.write(message("HTTP/1.1 200 OK", fields, b"done by " + self.name.encode()))

    async def stream(self, writer, headers, fields):
        fields |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id") or 0) + 1, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, fleet, number, zone):
        self.fleet, self.number, self.zone = fleet, number, zone
        self.ip = f"{fleet.prefix}.{number}"
        self.settings = Path(fleet.folder.name) / f"{number}.toml"
        self.log = Path(fleet.folder.name) / f"{number}.log"
        self.process = None
        self.starts = 0

    def start(self):
        self.settings.write_text(
            SETTINGS.format(
                zone=self.zone,
                number=self.number,
                ip=self.ip,
                first=PEER_PORTS[0],
                last=PEER_PORTS[1],
                seeds=json.dumps(
                    [
                        f"{self.fleet.prefix}.{n}:{CONTROL_PORT}"
                        for n in range(1, min(3, self.fleet.size) + 1)
                    ]
                ),
                bootstrap="true" if not self.starts else "false",
                front=FRONT_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                store=self.fleet.store.address,
            ),
            encoding="utf-8",
        )
        self.starts += 1
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        command = deploy["roles"]["router"]["run"].split()
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "HICKORYLEVER_SETTINGS": str(self.settings),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.fleet.record.say("router started", router=self.ip)

    def kill(self, number=signal.SIGKILL):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            if number == signal.SIGKILL:
                self.process.wait()
            self.fleet.record.say("router signalled", router=self.ip, signal=number.name)

    async def ready(self):
        try:
            status, _, _ = await asyncio.wait_for(fetch(self.ip, READY_PORT, "/v1/readyz"), 1.0)
            return status == 200
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, seconds=20.0):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if await self.ready():
                return True
            await asyncio.sleep(0.05)
        return False


async def fetch(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        first, headers, body = await read_message(reader)
        return int(first.split(" ")[1]), headers, body
    finally:
        writer.close()


class Answer:
    """What a client got: status 0 if there was no answer at all."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.read = False

    @property
    def events(self):
        """Return the number and the version of each whole event."""
        found = []
        for event in self.body.split(b"\n\n")[:-1]:
            lines = dict(line.split(b": ", 1) for line in event.split(b"\n") if b": " in line)
            if b"id" in lines:
                found.append((int(lines[b"id"]), lines.get(b"data", b"").decode()))
        return found


class Fleet:
    """The store, the servers, the routers and the clients of a case."""

    def __init__(self, folder, size):
        self.record = Record(folder)
        self.size = size
        self.store = Store()
        self.servers = []
        self.routers = []
        self.rng = random.Random(int(os.environ.get("SEED", "1")))
        self.count = 0
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.prefix = ""

    async def start(self, document):
        """Start the store with a config; servers are started by the case, then the routers."""
        await self.store.start()
        port = int(self.store.address.rpartition(":")[2])
        self.prefix = f"127.{port >> 8}.{port & 255}"
        self.store.put("config", "main", document)

    async def start_routers(self):
        """Start the routers, and return whether all are ready."""
        zones = ("keflavik-a", "hafnarfj-b")
        self.routers = [Router(self, n, zones[n % 2]) for n in range(1, self.size + 1)]
        for router in self.routers:
            router.start()
        return all([await router.wait_ready() for router in self.routers])

    def stop(self):
        for router in self.routers:
            router.kill(signal.SIGCONT)
            router.kill()
        if logs := os.environ.get("KEEP_LOGS"):
            for router in self.routers:
                (Path(logs) / f"router-{router.number}.log").write_bytes(router.log.read_bytes())
        self.folder.cleanup()

    def attempt_id(self):
        self.count += 1
        return f"{self.rng.getrandbits(32):08x}{self.count:08x}"

    def request(self, method, path, attempt, limit_ms, body=b"", **headers):
        fields = {
            "Host": HOST,
            "Hickorylever-Attempt-Id": attempt,
            "Hickorylever-Deadline-Ms": str(limit_ms),
            "Authorization": f"Bearer {KEY}",
        }
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        if method == "GET":
            lines = [
                f"GET {path} HTTP/1.1",
                *(f"{name}: {value}" for name, value in fields.items()),
            ]
            return ("\r\n".join(lines) + "\r\n\r\n").encode()
        return message(f"{method} {path} HTTP/1.1", fields, body)

    async def send(self, router, method, path, limit_ms=1500, body=b"", wait=None, **headers):
        """Send one client attempt on a new connection and return the answer."""
        answer = Answer(self.attempt_id())
        self.record.say("sent", attempt=answer.attempt, router=router.ip, path=path, **headers)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            await asyncio.wait_for(
                self.exchange(router, answer, method, path, limit_ms, body, headers),
                wait or limit_ms / 1000 + 1.0,
            )
        self.record.say(
            "answered",
            attempt=answer.attempt,
            status=answer.status,
            complete=answer.complete,
            events=len(answer.events)
            if answer.headers.get("content-type", "").startswith("text/event")
            else "",
            body=answer.body[:60] if answer.status != 200 else "",
        )
        return answer

    async def exchange(self, router, answer, method, path, limit_ms, body, headers):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(router.ip, FRONT_PORT, limit=1 << 22), 1.0
        )
        try:
            writer.write(self.request(method, path, answer.attempt, limit_ms, body, **headers))
            await writer.drain()
            await self.read_answer(reader, answer)
        finally:
            writer.close()

    async def read_answer(self, reader, answer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head[:-4].decode("latin-1").split("\r\n")
        answer.headers = {
            line.partition(":")[0].strip().lower(): line.partition(":")[2].strip()
            for line in lines
        }
        answer.status = int(first.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int((await reader.readline()).split(b";")[0], 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif (length := int(answer.headers.get("content-length", "0"))) > 0:
            answer.body = await reader.readexactly(length)
        answer.complete = True


def main(case, folder, size):
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        fleet = Fleet(folder, size)
        try:
            return await asyncio.wait_for(case(fleet), CASE_SECONDS)
        except (Exception, asyncio.CancelledError) as error:
            traceback.print_exc()
            fleet.record.say("COULD NOT RUN", error=repr(error))
            return 2
        finally:
            fleet.stop()

    sys.exit(asyncio.run(run()))
