"""Test harness: several routers with callers, before endpoints of two software versions."""

import curio
import msgspec
from direct_harness import BREAKS, RESUMABLE, WELL, versions_in
from test_peer_sync import Fleet
from test_peer_sync import play as play_fleet

from hickorylever.direct.router import Router
from hickorylever.http import listen

CALLER_PORT = 18474
V1_WELL, V2_WELL = 1, 2  # Endpoints; the first one breaks off and has v1, too.


class StreamFleet(Fleet):
    """Routers with listeners for callers, before endpoints of two versions."""

    def __init__(self, count, scripts=(BREAKS, WELL, WELL, WELL), names=("v1", "v1", "v2", "v2")):
        super().__init__(count, endpoints=len(scripts))
        self.versions = list(names)
        for origin, script, version in zip(self.origins, scripts, names, strict=True):
            origin.script = list(script)
            origin.version = version
        self.own_tasks = {}

    async def start(self, number, seeds=(), store_port=None):
        before = len(self.tasks)
        node = await super().start(number, seeds, store_port)
        router = Router(node)
        node.budget.allowance = node.budget.ratio = 0.0  # Routers themselves may not retry.
        listener = listen(node.settings.address, CALLER_PORT)
        self.tasks.append(await curio.spawn(router.server.serve, listener, daemon=True))
        self.own_tasks[node] = self.tasks[before:]
        return node

    async def start_all(self):
        await super().start_all()
        await self.until(lambda: all(node.directory.versions.complete for node in self.nodes))

    async def end(self, node):
        """End a router as if its VM had lost power."""
        for task in self.own_tasks.pop(node):
            await task.cancel()
        self.nodes.remove(node)

    async def send(self, node, **more):
        headers = self.headers(**more)
        response = await self.send_request(
            RESUMABLE, headers=headers, address=node.settings.address, port=CALLER_PORT
        )
        response.request_id = dict(headers)[b"hickorylever-attempt-id"].decode()
        return response

    async def begin(self, node):
        """Let an endpoint of v1 begin a stream and break it off after two events."""
        self.steer(node, 0)
        response = await self.send(node)
        assert (versions_in(response), response.body) == (["v1"] * 2, None)
        return response

    async def resume(self, node, first, *later, **more):
        """Take the stream up at a router that prefers the endpoints of v2."""
        self.steer(node, V2_WELL)
        received = len(versions_in(first, *later))
        fields = {"last-event-id": str(received), "resumes": first.request_id, **more}
        return await self.send(node, **fields)

    def steer(self, node, number):
        """Let a router prefer an endpoint, and the first one least otherwise."""
        for name, endpoint in node.directory.endpoints.items():
            endpoint.running = 2 if name == "i-0" else 1
        node.directory.endpoints[f"i-{number}"].running = 0

    def runs_of(self, response):
        return [run for run in self.runs if run.request_id == response.request_id]

    def cut_off(self, node):
        """Lose all datagrams from and to a router, and what the store sends it."""

        async def lose(*_):
            pass

        node.peer_sync.send = lose
        node.peer_sync.handle_datagram = lose
        node.peer_sync.pulls.start_pull = lose
        for watcher in node.store_watchers:
            watcher.on_listing = watcher.on_changes = lambda *_: None
            watcher.record_success = lambda: None


def play(scenario, count=2, **more):
    """Run an async test function with a new fleet."""
    play_fleet(scenario, count, StreamFleet, **more)


def kind(response):
    return msgspec.json.decode(response.body)["kind"]


def assert_whole(first, *rest):
    assert versions_in(first, *rest) == ["v1"] * 6
    assert rest[-1].body is not None


def assert_rejected(fleet, response, expected="stream_unknown"):
    assert (response.status, kind(response)) == (503, expected)
    assert not fleet.runs_of(response)


def stored_versions(fleet):
    """Return the names of the objects of versions in the store."""
    return [name for _, name in fleet.store.objects if name.startswith("version-")]


def stored_segments(fleet):
    """Return the names of the objects with records of streams in the store."""
    return [name for _, name in fleet.store.objects if name.startswith("streams-")]
