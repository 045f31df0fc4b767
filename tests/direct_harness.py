"""Test harness: a direct router with stand-ins of the store and the endpoints, on loopback."""

import time

import curio
import msgspec

from hickorylever import http, platform
from hickorylever.direct.node import Node, create_store_watchers
from hickorylever.direct.router import Router
from hickorylever.direct.settings import DirectSettings
from hickorylever.exceptions import ConnectionLost
from hickorylever.platform.standins.origin import Origin, decode_events
from hickorylever.platform.standins.store import StandinStore

HOST = "127.0.0.1"
SITE = "desk.example"
KEY = "key-1"
TIMEOUT_SECONDS = 5.0
RESUMABLE = "/resumable/stream/x"
WELL = ("well",)
BREAKS = ("broken", "well")  # The first request breaks off after two events.


def route(name, kind, service, **more):
    return {
        "name": name,
        "host": SITE,
        "path-prefix": f"/{name}/",
        "route-type": kind,
        "service": service,
        "timeout-ms": 2000,
        "target-latency-ms": 100,
        "priority": 1,
        "max-attempts": 2,
        **more,
    }


def configuration(version=1, **more):
    return {
        "version": version,
        "routes": [
            route("stream", "streaming", "engines", **{"max-attempts": 1}),
            route("resumable/stream", "streaming", "engines", resumable=True),
            route("safe", "safe", "engines"),
            route("unsafe", "unsafe", "engines"),
            route("public", "safe", "engines", public=True),
            route("lone", "safe", "nobody"),
            route("gap", "streaming", "engines", resumable=True, **{"target-gap-ms": 60}),
        ],
        "services": [{"name": "engines", "health-path": "/healthz", "max-connections": 100}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 65536,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "clerks", "api-keys": [KEY], "priority": 2}],
        **more,
    }


def entry(port, service="engines", state="ready", **more):
    return {
        "service": service,
        "address": f"{HOST}:{port}",
        "zone": "a",
        "version": "v1",
        "max-batch-size": 8,
        "state": state,
        "warmup-left-ms": 0,
        "seq": 1,
        **more,
    }


class Response:
    """Response to a caller; `body` is None if the connection ended early.

    `received` holds what arrived of the body in any case.
    """

    def __init__(self, status=0, headers=(), body=None):
        self.status = status
        self.headers = dict(headers)
        self.body = body
        self.received = b""


class DirectHarness:
    """Starts the servers in ``async with`` within a curio task.

    :param scripts: script of behaviours for each endpoint.
    :param versions: version of the software of each endpoint, which its events name; by default
        all have the same one, and events don't name it.
    :ivar first_start: whether routers that start are the first ones of their deployment.
    """

    def __init__(self, *scripts, autostart=True, versions=None):
        self.store = StandinStore()
        self.origins = [Origin(f"i-{n}", list(script)) for n, script in enumerate(scripts)]
        self.versions = versions or ["v1"] * len(scripts)
        for origin, version in zip(self.origins, versions or (), strict=False):
            origin.version = version
        self.tasks = []
        self.client = http.Client()
        self.autostart = autostart
        self.first_start = True
        self.requests = 0

    async def __aenter__(self):
        self.store_port = await self.serve(self.store.server)
        self.ports = []
        for origin in self.origins:
            self.ports.append(await self.serve(origin))
        await self.store.put("config", "main", configuration())
        for origin, port, version in zip(self.origins, self.ports, self.versions, strict=True):
            await self.store.put("servers", origin.name, entry(port, version=version))
        if self.autostart:
            await self.start_router()
        return self

    async def __aexit__(self, *info):
        for task in reversed(self.tasks):
            await task.cancel()

    async def serve(self, server):
        listener = http.listen(HOST, 0)
        self.tasks.append(await curio.spawn(server.serve, listener, daemon=True))
        return listener.getsockname()[1]

    def settings(self):
        return DirectSettings(
            path="",
            vm="entry-1",
            address=HOST,
            failure_domain="a",
            port=0,
            ready_port=0,
            peer_port=0,
            metrics_port=0,
            store=(HOST, self.store_port),
            retry_allowance=100.0,
            first_start=self.first_start,
        )

    async def start_router(self):
        self.node = Node(self.settings(), platform, platform.Store)
        self.router = Router(self.node)
        self.node.directory.versions.complete = True  # As after a list of the routers.
        for watcher in create_store_watchers(self.node):
            self.tasks.append(await curio.spawn(watcher.run, daemon=True))
        for task in (self.node.expire, self.router.forwarder.placer.recheck_queued):
            self.tasks.append(await curio.spawn(task, daemon=True))
        self.port = await self.serve(self.router.server)
        await self.until(lambda: self.node.ready())

    async def until(self, condition):
        async with curio.timeout_after(TIMEOUT_SECONDS):
            while not condition():
                await curio.sleep(0.005)

    def store_unreachable(self):
        return not all(watcher.reached for watcher in self.node.store_watchers)

    def headers(self, key=KEY, deadline=1500, parts="", **more):
        self.requests += 1
        fields = [
            (b"hickorylever-attempt-id", b"%016x" % self.requests),
            (b"hickorylever-deadline-ms", b"%d" % deadline),
        ]
        if key:
            fields.append((b"authorization", f"Bearer {key}".encode()))
        if parts:
            fields.append((b"hickorylever-prompt-prefix", parts.encode()))
        return fields + [(name.encode(), value.encode()) for name, value in more.items()]

    async def send_request(
        self, path, method="POST", headers=None, body=b"hello", host=SITE, port=None, address=HOST
    ):
        """Send a request on a new connection and return the :class:`Response`."""
        channel = await self.client.acquire(address, port or self.port, fresh=True)
        response = Response()
        try:
            fields = self.headers() if headers is None else headers
            await self.client.send_request(channel, method, path, fields, body, host)
            answer = await self.client.receive_response(channel)
            response = Response(answer.status, answer.headers)
            async for block in answer.iter_bytes():
                response.received += block
            response.body = response.received
        except ConnectionLost:
            pass
        finally:
            await channel.close()
        return response

    @property
    def runs(self):
        return [run for origin in self.origins for run in origin.runs]


def run_scenario(scenario, *scripts, **more):
    """Run an async test function with a new set of servers."""

    async def main():
        async with (
            curio.timeout_after(4 * TIMEOUT_SECONDS),
            DirectHarness(*scripts, **more) as harness,
        ):
            return await scenario(harness)

    return curio.run(main)


async def serve_raw(handle):
    """Serve connections with a function of a socket, and return the port and the task."""
    listener = http.listen(HOST, 0)
    task = await curio.spawn(curio.network.run_server, listener, handle, daemon=True)
    return listener.getsockname()[1], task


def quarantine_a_part(node):
    """Let three endpoints crash under requests that share the part ``bad``."""
    for number in range(3):
        causes = ("5a", "bad", f"own-{number}")
        node.quarantine.tracker.record_crash(number, causes, time.monotonic())


def events(*numbers):
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)


def versions_in(*responses):
    """Return the versions that wrote the events of a stream, in the order of their ids."""
    decoded = decode_events(b"".join(response.received for response in responses))
    assert [number for number, _ in decoded] == list(range(1, len(decoded) + 1))
    return [version for _, version in decoded]


def spec(value):
    return msgspec.json.encode(value)
