"""Several routers on separate loopback addresses that exchange datagrams and state."""

import dataclasses
import os
import time

import curio
import pytest
from direct_harness import DirectHarness, configuration, entry, quarantine_a_part

from hickorylever import platform
from hickorylever.direct import endpoints, peer_table, registration
from hickorylever.direct.node import Node, create_store_watchers
from hickorylever.direct.outbox import Outbox
from hickorylever.direct.peer_protocol import CrashUpdate
from hickorylever.direct.position import Position
from hickorylever.direct.records import Listing, PromptPart
from hickorylever.direct.registration import router_object_name

PEER_PORT = 18473
# Runs of the tests that overlap each have a loopback network of their own.
NETWORK = f"127.{64 + os.getpid() // 256 % 64}.{os.getpid() % 256}"
TIMEOUT_SECONDS = 5.0


class Fleet(DirectHarness):
    """Routers without listeners for callers, from the first address of `NETWORK` on."""

    def __init__(self, count, endpoints=2):
        super().__init__(*[("well",)] * endpoints, autostart=False)
        self.count = count
        self.nodes = []

    async def start(self, number, seeds=(), store_port=None):
        settings = dataclasses.replace(
            self.settings(),
            vm=f"entry-{number}",
            address=f"{NETWORK}.{number + 1}",
            peer_port=PEER_PORT,
            store=("127.0.0.1", store_port or self.store_port),
            seeds=tuple(seeds),
        )
        node = Node(settings, platform, platform.Store)
        self.nodes.append(node)
        tasks = (
            node.peer_sync.run,
            node.expire,
            *(watcher.run for watcher in create_store_watchers(node)),
        )
        for task in tasks:
            self.tasks.append(await curio.spawn(task, daemon=True))
        return node

    async def start_all(self):
        for number in range(self.count):
            await self.start(number)
        await self.until(lambda: all(node.ready() for node in self.nodes))
        others = self.count - 1
        await self.until(
            lambda: all(
                len(node.peer_sync.peers.alive(time.monotonic())) == others for node in self.nodes
            )
        )
        self.first_start = False


def play(scenario, count, fleet_class=Fleet, **more):
    async def main():
        async with curio.timeout_after(4 * TIMEOUT_SECONDS), fleet_class(count, **more) as fleet:
            await fleet.start_all()
            await scenario(fleet)

    curio.run(main)


def test_loads_and_cached_parts_reach_the_other_routers():
    async def scenario(fleet):
        first, second, third = fleet.nodes
        endpoint = first.directory.endpoints["i-0"]
        endpoint.add_request(500.0, 0.0)
        first.peer_sync.announce_load(endpoint)
        first.peer_sync.outbox.queue_cached_part("i-0", "ab12", 900, 0.0)
        for node in (second, third):
            seen = node.directory.endpoints["i-0"]
            await fleet.until(lambda seen=seen: f"{NETWORK}.1" in seen.peers)
            assert seen.peers[f"{NETWORK}.1"].requests == 1
            assert seen.prompt_cache.cached_prefix_tokens([PromptPart("ab12", 900)]) == 900

    play(scenario, 3)


@pytest.mark.parametrize("ends_by", ["leaving", "restart"])
def test_loads_of_a_router_that_left_or_restarted_are_removed(ends_by, monkeypatch):
    """The old load must not remain until it expires, as it would repel requests meanwhile."""
    monkeypatch.setattr(endpoints, "LOAD_LIFETIME_SECONDS", 60.0)

    async def scenario(fleet):
        first, second = fleet.nodes
        endpoint = first.directory.endpoints["i-0"]
        endpoint.add_request(500.0, 0.0)
        first.peer_sync.announce_load(endpoint)
        seen = second.directory.endpoints["i-0"]
        await fleet.until(lambda: seen.load() == (1, 500))
        if ends_by == "leaving":
            await first.peer_sync.leave()
        else:
            first.peer_sync.incarnation += 1
            first.peer_sync.outbox = Outbox()
        await fleet.until(lambda: seen.load() == (0, 0))

    play(scenario, 2)


def test_crashes_reach_the_other_routers():
    async def scenario(fleet):
        first, second = fleet.nodes
        for number in range(3):
            update = CrashUpdate(number, ("5a", "bad", f"own-{number}"))
            first.quarantine.crash_sends[update] = 1
        await fleet.until(lambda: second.quarantine.tracker.quarantine == {"bad"})

    play(scenario, 2)


def test_the_retry_budget_is_divided_by_the_number_of_routers():
    async def scenario(fleet):
        await fleet.until(lambda: all(node.budget.router_count == 3 for node in fleet.nodes))

    play(scenario, 3)


@pytest.mark.parametrize("after_outage", [False, True])
def test_a_removal_that_a_list_shows_reaches_the_other_routers(after_outage):
    """The store lost its history; those that don't call it would send on to the endpoint."""

    async def scenario(fleet):
        isolated = await fleet.start(7, seeds=[f"{NETWORK}.1"], store_port=1)
        await fleet.until(isolated.ready)
        watcher = fleet.nodes[0]
        objects = [stored for stored in watcher.directory.stored_objects() if stored.name == "i-0"]
        await fleet.store.put("config", "main", configuration(version=8))
        position = Position(watcher.directory.latest.era, fleet.store.revision)
        fleet.store.objects.pop(("servers", "i-1"))
        watcher.apply_endpoint_listing(Listing(tuple(objects), position), after_outage)
        await fleet.until(lambda: "i-1" not in watcher.directory.endpoints)
        await fleet.until(lambda: "i-1" not in isolated.directory.endpoints)

    play(scenario, 1)


def test_a_router_without_the_store_gets_changes_from_other_routers(monkeypatch):
    async def scenario(fleet):
        isolated = await fleet.start(7, seeds=[f"{NETWORK}.1"], store_port=1)
        await fleet.until(isolated.ready)
        await fleet.store.put("config", "main", configuration(version=8))
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], state="draining"))
        await fleet.store.remove("servers", "i-1")
        await fleet.until(lambda: isolated.routes.configuration.version == 8)
        await fleet.until(lambda: "i-1" not in isolated.directory.endpoints)
        assert isolated.directory.endpoints["i-0"].entry.draining

    play(scenario, 2)


@pytest.mark.parametrize("watcher_count", [1, 2])
def test_few_routers_watch_the_store_and_all_get_its_changes(watcher_count, monkeypatch):
    monkeypatch.setattr(peer_table, "WATCHING_ROUTERS", watcher_count)

    async def scenario(fleet):
        nodes = fleet.nodes

        def watching():
            return [node for node in nodes if node.peer_sync.should_watch()]

        await fleet.until(lambda: len(watching()) == watcher_count)
        await fleet.store.put("config", "main", configuration(version=4))
        await fleet.until(lambda: all(n.routes.configuration.version == 4 for n in nodes))

    play(scenario, 4)


def test_a_starting_router_gets_the_cached_parts():
    async def scenario(fleet):
        fleet.nodes[0].directory.endpoints["i-0"].prompt_cache.add([PromptPart("cd", 700)], 0)
        starting = await fleet.start(5, seeds=[f"{NETWORK}.1"])
        await fleet.until(starting.ready)
        cache = starting.directory.endpoints["i-0"].prompt_cache
        await fleet.until(lambda: cache.cached_prefix_tokens([PromptPart("cd", 700)]) == 700)

    play(scenario, 1)


def test_a_router_that_leaves_is_removed_at_once():
    async def scenario(fleet):
        first, second = fleet.nodes
        await first.peer_sync.leave()
        await fleet.until(lambda: f"{NETWORK}.1" not in second.peer_sync.peers.by_address)

    play(scenario, 2)


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x91\x05", b"x" * 3000])
def test_malformed_datagrams_are_dropped(data):
    async def scenario(fleet):
        node = fleet.nodes[0]
        node.peer_sync.sock._socket.sendto(data, (f"{NETWORK}.2", PEER_PORT))
        await curio.sleep(0.05)
        assert fleet.nodes[1].ready()

    play(scenario, 2)


def test_a_datagram_that_raises_an_unexpected_error_is_dropped(monkeypatch, caplog):
    async def scenario(fleet):
        first, second = fleet.nodes

        def fail(*arguments):
            raise KeyError("odd")

        monkeypatch.setattr(second.peer_sync, "apply_updates", fail)
        await fleet.until(lambda: "a datagram could not be processed" in caplog.text)
        monkeypatch.undo()
        await fleet.store.put("config", "main", configuration(version=7))
        await fleet.until(lambda: all(n.routes.configuration.version == 7 for n in fleet.nodes))

    play(scenario, 2)


@pytest.mark.parametrize("leaving", [True, False])
def test_a_datagram_from_the_own_address_changes_nothing(leaving):
    async def scenario(fleet):
        first, second = fleet.nodes
        datagram = first.peer_sync.datagram(leaving=leaving)
        await first.peer_sync.handle_datagram(f"{NETWORK}.1", datagram)
        assert list(first.peer_sync.peers.by_address) == [f"{NETWORK}.2"]

    play(scenario, 2)


@pytest.mark.parametrize(
    "address", ["", "router.example", "10.0.0", "1.2.3.4:5", "::1", "1.2.3.4\0"]
)
def test_addresses_that_would_need_a_lookup_are_left_out(address):
    peers = peer_table.PeerTable("10.0.0.1")
    peers.add_addresses([address, "10.0.0.2"], 0.0)
    assert list(peers.by_address) == ["10.0.0.2"]


def test_the_object_of_an_expired_router_is_deleted(monkeypatch):
    monkeypatch.setattr(peer_table, "PEER_LIFETIME_SECONDS", 1.5)

    async def scenario(fleet):
        address = f"{NETWORK}.99"
        expired = ("hickorylever-routers", router_object_name(address))
        await fleet.store.put(*expired, {"address": address})
        for node in fleet.nodes:
            node.peer_sync.peers.add_addresses([address], time.monotonic())
        await fleet.until(lambda: expired not in fleet.store.objects)
        assert fleet.store.calls["DELETE"] == 1
        assert ("hickorylever-routers", router_object_name(f"{NETWORK}.1")) in fleet.store.objects

    play(scenario, 2)


def test_a_starting_router_gets_the_quarantine_of_another():
    async def scenario(fleet):
        quarantine_a_part(fleet.nodes[0])
        starting = await fleet.start(5, seeds=[f"{NETWORK}.1"])
        await fleet.until(lambda: starting.quarantine.tracker.quarantine == {"bad"})

    play(scenario, 1)


def stored_causes(fleet):
    return [name for kind, name in fleet.store.objects if name.startswith("suspect-")]


def test_a_quarantine_survives_the_end_of_all_routers(monkeypatch):
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)

    async def scenario(fleet):
        (node,) = fleet.nodes
        quarantine_a_part(node)
        await fleet.until(lambda: stored_causes(fleet))
        starting = await fleet.start(5, store_port=fleet.store_port)
        starting.peer_sync.peers.by_address.clear()
        await fleet.until(lambda: starting.quarantine.tracker.quarantine == {"bad"})
        for router in fleet.nodes:
            router.quarantine.tracker.record_answers(
                dict.fromkeys(["5a", "bad"], time.monotonic())
            )
        await fleet.until(lambda: not stored_causes(fleet))

    play(scenario, 1)


def test_a_released_cause_is_deleted_by_another_router_than_wrote_it(monkeypatch):
    monkeypatch.setattr(registration, "REGISTER_RETRY_SECONDS", 0.05)

    async def scenario(fleet):
        first, second = sorted(fleet.nodes, key=lambda node: node.peer_sync.rank)
        quarantine_a_part(first)
        await fleet.until(lambda: stored_causes(fleet))
        await fleet.until(lambda: second.quarantine.tracker.quarantine == {"bad"})
        await curio.sleep(0.3)
        first.peer_sync.registration.rank = second.peer_sync.rank + 1
        second.peer_sync.peers.by_address.clear()
        for router in fleet.nodes:
            router.quarantine.tracker.record_answers(
                dict.fromkeys(["5a", "bad"], time.monotonic())
            )
        await fleet.until(lambda: not stored_causes(fleet))

    play(scenario, 2)


def test_malformed_causes_in_the_store_are_left_out():
    async def scenario(fleet):
        for number, spec in enumerate(({"suspect": 1}, {"suspect": ["b", 1]}, {"suspect": None})):
            await fleet.store.put("hickorylever-routers", f"suspect-{number}", spec)
        starting = await fleet.start(5)
        await fleet.until(lambda: starting.peer_sync.registration.era)
        assert not starting.quarantine.tracker.quarantine

    play(scenario, 1)


def test_the_rate_limit_of_an_endpoint_reaches_the_other_routers():
    async def scenario(fleet):
        first, second = fleet.nodes
        endpoint = first.directory.endpoints["i-0"]
        seen = second.directory.endpoints["i-0"]
        endpoint.limit_rate(3.0, 2, time.monotonic())
        endpoint.add_request(0.0, time.monotonic())
        first.peer_sync.limits.queue(endpoint)
        await fleet.until(lambda: seen.rate_limit is not None)
        assert (seen.rate_limit.rate, len(seen.rate_limit.sends)) == (3.0, 1)
        endpoint.limit_rate(None, 2, time.monotonic())
        first.peer_sync.limits.queue(endpoint)
        await fleet.until(lambda: seen.rate_limit is None)

    play(scenario, 2)
