"""Streams that callers take up at other routers than the ones that began them."""

import time

import curio
import msgspec
import pytest
from direct_harness import configuration, entry
from test_peer_sync import NETWORK, TIMEOUT_SECONDS, Fleet
from test_stream_versions import BREAKS, RESUMABLE, WELL, versions_in

from hickorylever.direct import peer_sync, registration, versions
from hickorylever.direct.router import Router
from hickorylever.http import listen

CALLER_PORT = 18474
V1_WELL, V2_WELL, V2_BREAKS = 1, 2, 3  # Endpoints; the first one breaks and has v1.


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
        node.budget.allowance = 0.0  # Routers themselves may not retry.
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
        for watcher in node.store_watchers:
            watcher.on_listing = watcher.on_changes = lambda *_: None
            watcher.record_success = lambda: None


def play(scenario, count=2, **more):
    async def main():
        async with curio.timeout_after(4 * TIMEOUT_SECONDS), StreamFleet(count, **more) as fleet:
            await fleet.start_all()
            await scenario(fleet)

    curio.run(main)


def kind(response):
    return msgspec.json.decode(response.body)["kind"]


def assert_whole(first, *rest):
    assert versions_in(first, *rest) == ["v1"] * 6
    assert rest[-1].body is not None


def assert_rejected(fleet, response, expected="stream_unknown"):
    assert (response.status, kind(response)) == (503, expected)
    assert not fleet.runs_of(response)


@pytest.mark.parametrize("count", [2, 5])
def test_caller_goes_on_at_another_router_at_once(count):
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        assert_whole(first, await fleet.resume(fleet.nodes[-1], first))

    play(scenario, count)


@pytest.mark.parametrize("seconds", [0.0, 0.005, 0.1, 2.0])
def test_caller_goes_on_after_the_end_of_the_router_that_began(seconds):
    """A router that ends before it has told the others takes what it knew with it."""

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await curio.sleep(seconds)
        await fleet.end(fleet.nodes[0])
        rest = await fleet.resume(fleet.nodes[-1], first)
        if seconds < 2 * peer_sync.TICK_SECONDS and rest.status == 503:
            assert_rejected(fleet, rest)
        else:
            assert_whole(first, rest)

    play(scenario, 5)


def test_caller_goes_on_at_a_router_that_has_just_started():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        starting = await fleet.start(5, seeds=[f"{NETWORK}.1"])
        await fleet.until(starting.ready)
        assert_whole(first, await fleet.resume(starting, first))

    play(scenario)


def test_stream_is_rejected_by_a_router_that_cannot_ask():
    async def scenario(fleet):
        fleet.cut_off(fleet.nodes[1])
        first = await fleet.begin(fleet.nodes[0])
        assert_rejected(fleet, await fleet.resume(fleet.nodes[1], first))

    play(scenario)


def test_stream_is_rejected_by_a_router_that_has_not_heard_of_the_second_version(monkeypatch):
    """A router that is cut off takes no version for the only one."""
    monkeypatch.setattr(versions, "SETTLE_SECONDS", 0.3)
    monkeypatch.setattr("hickorylever.direct.resumption.CONTACT_SECONDS", 0.2)
    monkeypatch.setattr("hickorylever.direct.peer_table.CONTACT_SECONDS", 0.2)

    async def scenario(fleet):
        cut, node = fleet.nodes
        fleet.cut_off(cut)
        await curio.sleep(0.3)
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], version="v2"))
        fleet.origins[0].version = "v2"
        await fleet.until(lambda: node.directory.endpoints["i-0"].entry.version == "v2")
        await curio.sleep(versions.SETTLE_SECONDS)
        fleet.steer(node, 0)
        first = await fleet.send(node)
        assert versions_in(first) == ["v2"] * 2
        assert_rejected(fleet, await fleet.resume(cut, first))

    play(scenario, scripts=(BREAKS, WELL, WELL), names=("v1", "v1", "v1"))


@pytest.mark.parametrize("fault", ["doubled", "late", "first lost"])
def test_faults_of_datagrams_do_not_keep_a_stream_from_going_on(fault):
    async def scenario(fleet):
        send = fleet.nodes[1].peer_sync.send
        calls = []

        async def send_faultily(data, address):
            calls.append(data)
            if fault == "late":
                await curio.sleep(0.02)
            if fault != "first lost" or len(calls) > 1:
                await send(data, address)
            if fault == "doubled":
                await send(data, address)

        first = await fleet.begin(fleet.nodes[0])
        fleet.nodes[1].peer_sync.send = send_faultily
        assert_whole(first, await fleet.resume(fleet.nodes[1], first))

    play(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        {"resumes": "0123456789abcdef"},
        {"resumes": ""},
        {"resumes": "\x7f, ,"},
        {"key": "key-2"},
    ],
    ids=["unknown", "empty", "malformed", "of another account"],
)
def test_stream_that_is_not_the_callers_is_rejected(fields):
    async def scenario(fleet):
        accounts = [
            {"name": "clerks", "api-keys": ["key-1"]},
            {"name": "others", "api-keys": ["key-2"]},
        ]
        await fleet.store.put("config", "main", configuration(version=2, tenants=accounts))
        await fleet.until(
            lambda: all(node.configuration_state.version == 2 for node in fleet.nodes)
        )
        first = await fleet.begin(fleet.nodes[0])
        for node in fleet.nodes:
            assert_rejected(fleet, await fleet.resume(node, first, **fields))

    play(scenario)


def test_later_resumes_name_the_first_request():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        second = await fleet.resume(fleet.nodes[1], first)
        assert (versions_in(first, second), second.body) == (["v1"] * 4, None)
        assert_whole(first, second, await fleet.resume(fleet.nodes[0], first, second))

    play(scenario, scripts=(BREAKS, BREAKS, WELL, WELL))


def test_stream_without_an_event_may_begin_at_any_version():
    async def scenario(fleet):
        fleet.nodes[0].budget.allowance = 100.0
        fleet.steer(fleet.nodes[0], 0)
        response = await fleet.send(fleet.nodes[0])
        assert response.body is not None
        assert set(versions_in(response)) == {"v2"}

    play(scenario, scripts=(("broken_off",), WELL, WELL), names=("v1", "v2", "v2"))


@pytest.mark.parametrize("ends_as", ["removed", "draining"])
def test_stream_whose_version_is_gone_is_rejected_without_hope(ends_as):
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        for number in (0, V1_WELL):
            if ends_as == "removed":
                await fleet.store.remove("servers", f"i-{number}")
            else:
                content = entry(fleet.ports[number], version="v1", state="draining")
                await fleet.store.put("servers", f"i-{number}", content)
        node = fleet.nodes[1]
        await fleet.until(
            lambda: (
                not node.directory.endpoints_of_version("engines", "v1")
                or all(
                    endpoint.entry.draining
                    for endpoint in node.directory.endpoints_of_version("engines", "v1")
                )
            )
        )
        rest = await fleet.resume(node, first)
        assert_rejected(fleet, rest, "version_gone")
        assert b"retry-after" not in rest.headers

    play(scenario)


def test_stream_may_be_tried_again_while_the_only_version_is_away():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        for number in (0, 1):
            await fleet.store.remove("servers", f"i-{number}")
        (node,) = fleet.nodes
        await fleet.until(lambda: not node.directory.endpoints)
        headers = fleet.headers(**{"last-event-id": "2", "resumes": first.request_id})
        address = node.settings.address
        rest = await fleet.send_request(
            RESUMABLE, headers=headers, address=address, port=CALLER_PORT
        )
        assert (rest.status, kind(rest)) == (503, "no_endpoint")
        assert b"retry-after" in rest.headers

    play(scenario, 1, scripts=(BREAKS, WELL), names=("v1", "v1"))


@pytest.mark.parametrize("held_by", ["load", "limit", "deferral"])
def test_stream_waits_for_the_last_endpoint_of_its_version(held_by):
    """Idle endpoints of another version don't take it meanwhile."""

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await fleet.store.remove("servers", "i-0")
        node = fleet.nodes[1]
        await fleet.until(lambda: "i-0" not in node.directory.endpoints)
        last = node.directory.endpoints[f"i-{V1_WELL}"]
        hold = {"load": 100, "limit": 0, "deferral": 0}[held_by]
        last.running = hold
        if held_by == "limit":
            last.limit_rate(0.5, 1, time.monotonic())
            last.rate_limit.next_at = time.monotonic() + TIMEOUT_SECONDS
        if held_by == "deferral":
            last.defer(0.05, time.monotonic())
        task = await curio.spawn(resume_unsteered, fleet, node, first)
        await curio.sleep(0.04)
        assert len(fleet.runs) == 1
        last.running -= hold
        last.rate_limit = None
        rest = await task.join()
        assert_whole(first, rest)

    async def resume_unsteered(fleet, node, first):
        fields = {"last-event-id": "2", "resumes": first.request_id}
        return await fleet.send(node, **fields)

    play(scenario)


def test_stream_goes_on_at_a_version_that_has_returned():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        node = fleet.nodes[1]
        for number in (0, V1_WELL):
            await fleet.store.remove("servers", f"i-{number}")
        await fleet.until(lambda: not node.directory.endpoints_of_version("engines", "v1"))
        await fleet.store.put("servers", "i-1", entry(fleet.ports[V1_WELL], version="v1"))
        await fleet.until(lambda: node.directory.endpoints_of_version("engines", "v1"))
        assert_whole(first, await fleet.resume(node, first))

    play(scenario)


def test_stream_of_an_endpoint_that_started_again_with_another_version_is_rejected():
    """Which of its processes wrote the events isn't known: its entry may have come late."""

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        content = entry(fleet.ports[0], version="v2", born=2)
        await fleet.store.put("servers", "i-0", content)
        await fleet.until(
            lambda: all(
                node.directory.endpoints["i-0"].entry.version == "v2" for node in fleet.nodes
            )
        )
        for node in fleet.nodes:
            assert_rejected(fleet, await fleet.resume(node, first))

    play(scenario)


def test_stream_of_an_only_version_goes_on_after_the_end_of_all_routers():
    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await fleet.end(fleet.nodes[0])
        starting = await fleet.start(5)
        await fleet.until(lambda: starting.ready() and starting.directory.versions.complete)
        assert_whole(first, await fleet.resume(starting, first))

    play(scenario, 1, scripts=(BREAKS, WELL, WELL), names=("v1", "v1", "v1"))


def stored_versions(fleet):
    return [name for _, name in fleet.store.objects if name.startswith("version-")]


def test_a_version_that_left_is_remembered_after_the_end_of_all_routers(monkeypatch):
    """The endpoints that are left are no proof that no other version began the stream."""
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await fleet.until(lambda: len(stored_versions(fleet)) == 2)
        for number in (0, V1_WELL):
            await fleet.store.remove("servers", f"i-{number}")
        (node,) = fleet.nodes
        await fleet.until(lambda: not node.directory.endpoints_of_version("engines", "v1"))
        await fleet.end(node)
        starting = await fleet.start(5)
        await fleet.until(lambda: starting.ready() and starting.directory.versions.complete)
        assert_rejected(fleet, await fleet.resume(starting, first))

    play(scenario, 1)


def test_versions_whose_streams_have_ended_are_deleted_from_the_store(monkeypatch):
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)
    monkeypatch.setattr(versions, "STREAM_LIFETIME_SECONDS", 0.5)

    async def scenario(fleet):
        await fleet.until(lambda: len(stored_versions(fleet)) == 2)
        for number in (0, V1_WELL):
            await fleet.store.remove("servers", f"i-{number}")
        await fleet.until(lambda: not stored_versions(fleet))
        now = time.monotonic()
        assert fleet.nodes[0].directory.versions.possible("engines", now) == {"v2"}

    play(scenario, 1)


def test_stream_taken_up_at_the_only_version_is_known_once_there_are_two():
    """The router that began it has ended, and the caller still names its first request."""

    async def scenario(fleet):
        first = await fleet.begin(fleet.nodes[0])
        await fleet.end(fleet.nodes[0])
        second, third = fleet.nodes
        middle = await fleet.resume(second, first)
        assert (versions_in(first, middle), middle.body) == (["v1"] * 4, None)
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], version="v2", born=2))
        await fleet.until(
            lambda: all(
                node.directory.endpoints["i-0"].entry.version == "v2" for node in fleet.nodes
            )
        )
        await fleet.until(lambda: third.peer_sync.streams.table.records)
        await fleet.end(second)
        assert_whole(first, middle, await fleet.resume(third, first, middle))

    play(scenario, 3, scripts=(BREAKS, WELL, BREAKS), names=("v1", "v1", "v1"))


def test_other_routers_are_told_only_while_a_service_has_several_versions():
    async def scenario(fleet):
        node, other = fleet.nodes
        await fleet.begin(node)
        await curio.sleep(5 * peer_sync.TICK_SECONDS)
        assert not other.peer_sync.streams.table.records
        content = entry(fleet.ports[1], version="v2", born=2)
        await fleet.store.put("servers", "i-1", content)
        await fleet.until(lambda: other.peer_sync.streams.table.records)

    play(scenario, scripts=(BREAKS, WELL), names=("v1", "v1"))


@pytest.mark.parametrize("others", [True, False], ids=["beside others", "alone"])
def test_streams_begin_at_a_new_version_only_when_all_routers_can_know_it(others):
    """Requests whose answers can't be taken up need not wait, nor do streams without a choice."""

    async def scenario(fleet):
        (node,) = fleet.nodes
        await fleet.store.put("servers", "i-1", entry(fleet.ports[1], version="v2", born=2))
        if not others:
            await fleet.store.remove("servers", "i-0")
        await fleet.until(lambda: ("i-0" in node.directory.endpoints) is others)
        await fleet.until(lambda: node.directory.endpoints["i-1"].entry.version == "v2")
        if others:
            node.directory.endpoints["i-0"].running = 1
        began = await fleet.send(node)
        address = node.settings.address
        await fleet.send_request("/safe/x", address=address, port=CALLER_PORT)
        assert began.body is not None
        assert [len(origin.runs) for origin in fleet.origins] == ([1, 1] if others else [0, 2])

    play(scenario, 1, scripts=(WELL, WELL), names=("v1", "v1"))


def test_versions_that_came_and_went_during_a_cut_are_learned_from_the_store(monkeypatch):
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)

    async def scenario(fleet):
        (node,) = fleet.nodes
        history = node.directory.versions
        name = registration.version_object_name("engines", "v9")
        await fleet.store.put("hickorylever-routers", name, {"version": ["engines", "v9"]})
        suspect = {"suspect": ["bad", 1, [1, 2, 3], []]}
        await fleet.store.put("hickorylever-routers", "suspect-0", suspect)
        deleted = fleet.store.calls.get("DELETE", 0)
        history.complete = False
        await fleet.until(lambda: history.complete)
        assert "v9" in history.possible("engines", time.monotonic())
        await curio.sleep(0.3)
        assert ("hickorylever-routers", name) in fleet.store.objects
        assert fleet.store.calls.get("DELETE", 0) == deleted
        assert not node.quarantine.tracker.quarantine

    play(scenario, 1)


def test_versions_are_stored_again_by_a_router_that_knew_them_stored_before(monkeypatch):
    """Another router has deleted them meanwhile."""
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)
    monkeypatch.setattr(versions, "STREAM_LIFETIME_SECONDS", 0.5)

    async def scenario(fleet):
        others = list(fleet.nodes)
        others[0].peer_sync.peers.is_first = lambda rank, now: True
        await fleet.until(lambda: len(stored_versions(fleet)) == 2)
        starting = await fleet.start(5, seeds=[f"{NETWORK}.1"])
        starting.peer_sync.peers.is_first = lambda rank, now: False
        await fleet.until(lambda: len(starting.peer_sync.registration.stored) == 2)
        for number in (0, V1_WELL):
            await fleet.store.remove("servers", f"i-{number}")
        await fleet.until(lambda: not stored_versions(fleet))
        await fleet.until(lambda: not starting.directory.versions.mixed(time.monotonic()))
        await curio.sleep(0.2)
        for node in others:
            node.peer_sync.registration.store_facts = do_nothing
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], version="v1", born=2))
        await fleet.until(lambda: starting.directory.versions.mixed(time.monotonic()))
        starting.peer_sync.peers.is_first = lambda rank, now: True
        await fleet.until(lambda: len(stored_versions(fleet)) == 2)

    async def do_nothing(facts):
        pass

    play(scenario)
