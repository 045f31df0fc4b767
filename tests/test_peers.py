"""Several routers on loopback addresses of their own, talking over datagrams and HTTP."""

import dataclasses
import time

import curio
import pytest
from direct_harness import DirectHarness, configuration, entry

from hickorylever import platform
from hickorylever.direct import endpoints, news
from hickorylever.direct.news import Outbox
from hickorylever.direct.node import Node, followers
from hickorylever.direct.records import Part

PEER_PORT = 18473
PATIENCE = 5.0


class Fleet(DirectHarness):
    """Routers without listeners for callers, at 127.0.1.1 and on."""

    def __init__(self, count, endpoints=2):
        super().__init__(*[("well",)] * endpoints, autostart=False)
        self.count = count
        self.nodes = []

    async def start(self, number, seeds=(), store_port=None):
        settings = dataclasses.replace(
            self.settings(),
            vm=f"entry-{number}",
            address=f"127.0.1.{number + 1}",
            peer_port=PEER_PORT,
            store=("127.0.0.1", store_port or self.store_port),
            seeds=tuple(seeds),
        )
        node = Node(settings, platform, platform.Store)
        self.nodes.append(node)
        tasks = (node.neighbours.run, node.expire, *(f.run for f in followers(node)))
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
                len(node.neighbours.peers.alive(time.monotonic())) == others for node in self.nodes
            )
        )


def play(scenario, count, **more):
    async def main():
        async with curio.timeout_after(4 * PATIENCE), Fleet(count, **more) as fleet:
            await fleet.start_all()
            await scenario(fleet)

    curio.run(main)


def test_loads_and_held_parts_reach_the_others():
    async def scenario(fleet):
        first, second, third = fleet.nodes
        endpoint = first.directory.endpoints["i-0"]
        endpoint.begin(500.0, 0.0)
        first.neighbours.tell_load(endpoint)
        first.neighbours.outbox.note_held("i-0", "ab12", 900, 0.0)
        for node in (second, third):
            seen = node.directory.endpoints["i-0"]
            await fleet.until(lambda seen=seen: "127.0.1.1" in seen.peers)
            assert seen.peers["127.0.1.1"].requests == 1
            assert seen.held.cached_prefix_tokens([Part("ab12", 900)]) == 900

    play(scenario, 3)


@pytest.mark.parametrize("ends_by", ["leaving", "a new start"])
def test_loads_of_a_router_that_ended_are_forgotten(ends_by, monkeypatch):
    """Answers the load of a fleet whose routers are killed and started again."""
    monkeypatch.setattr(endpoints, "LOAD_LIFETIME", 60.0)

    async def scenario(fleet):
        first, second = fleet.nodes
        endpoint = first.directory.endpoints["i-0"]
        endpoint.begin(500.0, 0.0)
        first.neighbours.tell_load(endpoint)
        seen = second.directory.endpoints["i-0"]
        await fleet.until(lambda: seen.load() == (1, 500))
        if ends_by == "leaving":
            await first.neighbours.leave()
        else:
            first.neighbours.incarnation += 1
            first.neighbours.outbox = Outbox()
        await fleet.until(lambda: seen.load() == (0, 0))

    play(scenario, 2)


def test_crashes_reach_the_others():
    async def scenario(fleet):
        first, second = fleet.nodes
        for name in ("i-0", "i-1", "i-2"):
            first.neighbours.outbox.note_crash(77, name)
        await fleet.until(lambda: 77 in second.crashes.records)
        assert second.crashes.is_quarantined(77, second.crashes.records[77].time)

    play(scenario, 2)


def test_the_retry_budget_is_divided():
    async def scenario(fleet):
        await fleet.until(lambda: all(node.budget.router_count == 3 for node in fleet.nodes))

    play(scenario, 3)


def test_a_router_cut_off_from_the_store_learns_from_the_others(monkeypatch):
    async def scenario(fleet):
        cut = await fleet.start(7, seeds=["127.0.1.1"], store_port=1)
        await fleet.until(cut.ready)
        await fleet.store.put("config", "main", configuration(version=8))
        await fleet.store.put("servers", "i-0", entry(fleet.ports[0], state="draining"))
        await fleet.store.remove("servers", "i-1")
        await fleet.until(lambda: cut.routes.configuration.version == 8)
        await fleet.until(lambda: "i-1" not in cut.directory.endpoints)
        assert cut.directory.endpoints["i-0"].entry.draining

    play(scenario, 2)


@pytest.mark.parametrize("followers", [1, 2])
def test_few_routers_follow_the_store_and_all_learn(followers, monkeypatch):
    monkeypatch.setattr(news, "FOLLOWERS", followers)

    async def scenario(fleet):
        nodes = fleet.nodes

        def following():
            return [node for node in nodes if node.neighbours.must_follow()]

        await fleet.until(lambda: len(following()) == followers)
        await fleet.store.put("config", "main", configuration(version=4))
        await fleet.until(lambda: all(n.routes.configuration.version == 4 for n in nodes))

    play(scenario, 4)


def test_a_starting_router_takes_what_endpoints_hold():
    async def scenario(fleet):
        fleet.nodes[0].directory.endpoints["i-0"].held.add([Part("cd", 700)], 0)
        late = await fleet.start(5, seeds=["127.0.1.1"])
        await fleet.until(late.ready)
        held = late.directory.endpoints["i-0"].held
        await fleet.until(lambda: held.cached_prefix_tokens([Part("cd", 700)]) == 700)

    play(scenario, 1)


def test_a_router_that_leaves_is_forgotten_at_once():
    async def scenario(fleet):
        first, second = fleet.nodes
        await first.neighbours.leave()
        await fleet.until(lambda: "127.0.1.1" not in second.neighbours.peers.table)

    play(scenario, 2)


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x91\x05", b"x" * 3000])
def test_odd_datagrams_are_dropped(data):
    async def scenario(fleet):
        node = fleet.nodes[0]
        node.neighbours.sock._socket.sendto(data, ("127.0.1.2", PEER_PORT))
        await curio.sleep(0.05)
        assert fleet.nodes[1].ready()

    play(scenario, 2)


def test_the_object_of_a_router_that_is_gone_is_deleted(monkeypatch):
    monkeypatch.setattr(news, "FORGET_TIME", 1.5)

    async def scenario(fleet):
        await fleet.store.put("hickorylever-routers", "127-0-1-99", {"address": "127.0.1.99"})
        for node in fleet.nodes:
            node.neighbours.peers.learn(["127.0.1.99"], time.monotonic())
        gone = ("hickorylever-routers", "127-0-1-99")
        await fleet.until(lambda: gone not in fleet.store.objects)
        assert fleet.store.calls["DELETE"] == 1
        assert ("hickorylever-routers", "127-0-1-1") in fleet.store.objects

    play(scenario, 2)
