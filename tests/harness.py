"""A small fleet in one curio kernel: object API, endpoints, sidecars and routers on free ports."""

import hashlib
import threading

import curio
import msgspec

from hickorylever import http
from hickorylever.decisions.revisions import revision_digest
from hickorylever.environment import Environment
from hickorylever.fleet import digest, encode
from hickorylever.records import (
    VM,
    Application,
    ClientAccount,
    Endpoint,
    Fleet,
    Guard,
    Revision,
)
from hickorylever.router import Router
from hickorylever.settings import Settings
from hickorylever.sidecar import Sidecar
from hickorylever.standins.engine import Engine, Service, Speed
from hickorylever.standins.objects import ObjectStore

HOST = "127.0.0.1"
KEY = "secret"
MODEL = "m1"


def port_of(listener) -> int:
    return listener.getsockname()[1]


class FleetHarness:
    """Runs a fleet. Use as ``async with FleetHarness(...) as harness`` inside a curio task."""

    def __init__(self, engines=2, services=1, routers=1, speed=None, guards=None):
        self.speed = speed or Speed(prompt_tokens_per_second=1e6, seconds_per_token=0.001)
        self.objects = ObjectStore()
        self.engines = [Engine(f"engine-{i}", self.speed) for i in range(engines)]
        self.services = [Service(f"ledger-{i}") for i in range(services)]
        self.routers = []
        self.sidecars = {}
        self.tasks = []
        self.router_count = routers
        self.guards = guards or (Guard("ledger", ("POST",), "/ledger/postings"),)
        self.client = http.Client()
        self.router_ports = []

    async def __aenter__(self):
        await self.start()
        return self

    async def __aexit__(self, *info):
        for task in self.tasks:
            await task.cancel()

    async def spawn(self, *args):
        task = await curio.spawn(*args, daemon=True)
        self.tasks.append(task)
        return task

    async def serve(self, server, port=0):
        listener = http.listen(HOST, port)
        await self.spawn(server.serve, listener)
        return port_of(listener)

    def settings(self, vm, endpoint=""):
        platform = f"{HOST}:{self.objects_port}"
        return Settings(vm, "north", "north-a", platform, endpoint=endpoint, seed=1)

    async def start(self):
        self.objects_port = await self.serve(self.objects.server)
        endpoints = []
        for standin in (*self.engines, *self.services):
            port = await self.serve(standin.server)
            listener = http.listen(HOST, 0)
            env = Environment(self.settings(f"vm-{standin.name}", f"{HOST}:{port}"))
            sidecar = Sidecar(env)
            self.sidecars[standin.name] = sidecar
            await self.spawn(sidecar.server.serve, listener)
            await self.spawn(env.timers.run)
            model = isinstance(standin, Engine)
            endpoints.append(
                Endpoint(
                    name=standin.name,
                    vm=f"vm-{standin.name}",
                    address=HOST,
                    port=port,
                    sidecar_port=port_of(listener),
                    application="pool" if model else "ledger",
                    region="north",
                    failure_domain="north-a",
                    models=(MODEL,) if model else (),
                )
            )
        self.fleet = self.make_fleet(endpoints)
        for number in range(self.router_count):
            env = Environment(self.settings(f"entry-{number}"))
            router = Router(env)
            self.routers.append(router)
            self.router_ports.append(await self.serve(router.server))
            await self.spawn(env.timers.run)
        self.apply_fleet(self.fleet, 1)

    def make_fleet(self, endpoints):
        vms = [VM(e.vm, HOST, "north", "north-a", "endpoint") for e in endpoints]
        account = ClientAccount(
            "clerks", (hashlib.sha256(KEY.encode()).hexdigest(),), ("pool", "ledger"), (MODEL,)
        )
        return Fleet(
            name="test",
            vms=tuple(vms),
            endpoints=tuple(endpoints),
            applications=(
                Application("ledger", "service", "/ledger"),
                Application("pool", "model"),
            ),
            client_accounts=(account,),
            guards=self.guards,
        )

    def apply_fleet(self, fleet, number):
        data = encode(fleet)
        before = self.environments()[0].revisions.current
        parent = revision_digest(before) if before else ""
        revision = Revision(number, digest(data), parent, "t", "t", "", "n")
        for env in self.environments():
            env.adopt(revision, data)

    def environments(self):
        return [node.env for node in (*self.routers, *self.sidecars.values())]

    async def post(self, path, body, headers=(), router=0, key=KEY, method="POST"):
        fields = [(b"authorization", f"Bearer {key}".encode()), *headers]
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        port = self.router_ports[router]
        return await self.client.fetch(HOST, port, method, path, fields, data, fresh=True)

    async def chat(self, text="hello", stream=False, **more):
        messages = [{"role": "user", "content": text}]
        body = {"model": MODEL, "messages": messages, "stream": stream, "max_tokens": 8}
        return await self.post("/v1/chat/completions", {**body, **more})


def run(coroutine_function, *args, timeout=20):
    """Run an async function in a curio kernel, for at most `timeout` seconds."""

    async def bounded():
        async with curio.timeout_after(timeout):
            return await coroutine_function(*args)

    return curio.run(bounded)


class BackgroundFleet:
    """Runs a fleet in a background thread, for blocking clients."""

    def __init__(self, **kwargs):
        self.harness = FleetHarness(**kwargs)
        self.ready = threading.Event()
        self.stop = curio.UniversalEvent()

    def __enter__(self):
        self.thread = threading.Thread(target=curio.run, args=(self.main,), daemon=True)
        self.thread.start()
        assert self.ready.wait(10)
        return self.harness

    async def main(self):
        async with self.harness:
            self.ready.set()
            await self.stop.wait()

    def __exit__(self, *info):
        self.stop.set()
        self.thread.join(10)
