"""Tests of nodes that follow the configuration over sockets, with faults of the object API."""

import dataclasses

import curio
import pytest
from harness import HOST, port_of, run

from hickorylever import configuration, defaults, http
from hickorylever.environment import Environment
from hickorylever.exceptions import Conflict, PlatformError
from hickorylever.fleet import audit, heads
from hickorylever.node import AdminServer
from hickorylever.objects import ObjectClient
from hickorylever.records import ClientAccount, Fleet, Member, MemberState
from hickorylever.settings import Settings
from hickorylever.standins.objects import ObjectStore

POLL_SECONDS = 0.02


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    timeouts = {
        "PLATFORM_RETRY_SECONDS": 0.05,
        "PLATFORM_TIMEOUT_SECONDS": 0.3,
        "WATCH_TIMEOUT_SECONDS": 0.2,
        "WATCHER_CHECK_SECONDS": 0.05,
        "STARTUP_RETRY_SECONDS": 0.05,
        "PULL_TIMEOUT_SECONDS": 0.3,
        "SETTLE_RETRY_SECONDS": 0.02,
        "STALE_REVISION_POLL_SECONDS": 0.2,
    }
    for name, value in timeouts.items():
        monkeypatch.setattr(defaults, name, value)


def fleet(*names, **more):
    return Fleet(
        "test", client_accounts=tuple(ClientAccount(n, ()) for n in sorted(names)), **more
    )


class Nodes:
    """Nodes with an admin listener each.

    `members` is the membership that all nodes report.
    """

    def __init__(self):
        self.objects = ObjectStore(seed=1)
        self.nodes = {}
        self.spawned = []
        self.members = []

    async def __aenter__(self):
        listener = http.listen(HOST, 0)
        self.port = port_of(listener)
        await self.spawn(self.objects.server.serve, listener)
        self.platform = self.client()
        return self

    async def __aexit__(self, *info):
        for task in self.spawned:
            await task.cancel()

    async def spawn(self, *arguments):
        task = await curio.spawn(*arguments, daemon=True)
        self.spawned.append(task)
        return task

    def client(self):
        env = Environment(Settings("operator", "r", "d", f"{HOST}:{self.port}"))
        return ObjectClient(HOST, self.port, env.client, env.metrics)

    async def node(self, name, domain="d", peers=(), members=True):
        listener = http.listen(HOST, 0)
        settings = Settings(
            name,
            "r",
            domain,
            f"{HOST}:{self.port}",
            admin_port=port_of(listener),
            peers=tuple(f"{HOST}:{self.nodes[peer][0].settings.admin_port}" for peer in peers),
            seed=len(self.nodes) + 1,
        )
        env = Environment(settings)
        if members:
            env.live_members = lambda: list(self.members)
        configuration.attach(env)
        tasks = [await self.spawn(AdminServer(env).server.serve, listener)]
        tasks += [await self.spawn(task) for task in (env.timers.run, *env.tasks)]
        self.nodes[name] = (env, tasks)
        return env

    async def stop(self, name):
        for task in self.nodes.pop(name)[1]:
            await task.cancel()

    def join(self, *names):
        for name in names:
            settings = self.nodes[name][0].settings
            self.members.append(
                Member(
                    name,
                    HOST,
                    settings.admin_port,
                    "router",
                    "r",
                    settings.failure_domain,
                    "i",
                    MemberState.READY,
                )
            )

    async def apply(self, entry, platform=None):
        platform = platform or self.platform
        return await heads.apply(platform, entry, await heads.read_head(platform), "a", "why")

    async def wait_for_revision(self, number, *names):
        while any(self.nodes[name][0].revisions.number != number for name in names):
            await curio.sleep(POLL_SECONDS)


def test_node_follows_object_api():
    async def main():
        async with Nodes() as nodes:
            env = await nodes.node("one")
            await nodes.apply(fleet("a"))
            await nodes.wait_for_revision(1, "one")
            await nodes.apply(fleet("a", "b"))
            await nodes.wait_for_revision(2, "one")
            assert [entry.name for entry in env.fleet.client_accounts] == ["a", "b"]

    run(main)


def test_startup_from_peers_during_outage():
    async def main():
        async with Nodes() as nodes:
            await nodes.node("old")
            await nodes.apply(fleet("a"))
            await nodes.wait_for_revision(1, "old")
            nodes.objects.faults.outage = True
            for name, peer in (("new", "old"), ("newer", "new")):
                await nodes.node(name, peers=(peer,))
                await nodes.wait_for_revision(1, name)
                await nodes.stop(peer)
            with pytest.raises(PlatformError):
                await nodes.apply(fleet("a", "b"))
            await curio.sleep(
                2 * (defaults.PLATFORM_TIMEOUT_SECONDS + defaults.WATCH_TIMEOUT_SECONDS)
            )
            assert nodes.nodes["newer"][0].revisions.number == 1
            nodes.objects.faults.outage = False
            await nodes.apply(fleet("a", "b"))
            await nodes.wait_for_revision(2, "newer")

    run(main)


def test_object_api_that_lost_revisions_is_restored():
    async def main():
        async with Nodes() as nodes:
            await nodes.apply(fleet("a"))
            old = dict(nodes.objects.entries)
            await nodes.apply(fleet("b"))
            await nodes.node("one", members=False)
            await nodes.wait_for_revision(2, "one")
            nodes.objects.entries.clear()
            nodes.objects.entries.update(old)
            nodes.objects.version = max(entry.version for entry in old.values())
            await nodes.node("two", peers=("one",))
            await nodes.wait_for_revision(2, "two")
            while (await heads.read_head(nodes.platform)).number != 2:
                await curio.sleep(POLL_SECONDS)
            assert nodes.nodes["one"][0].revisions.number == 2
            await nodes.node("three")
            await nodes.wait_for_revision(2, "three")
            await nodes.apply(fleet("c"))
            await nodes.wait_for_revision(3, "one", "two", "three")
            head = await heads.read_head(nodes.platform)
            found = [
                entry.number
                async for entry in audit.iter_newest_first(nodes.platform, head.chain, 1)
            ]
            assert found == [3, 2, 1]

    run(main)


def test_only_watchers_call_object_api_and_others_pull():
    async def main():
        async with Nodes() as nodes:
            names = ["n1", "n2", "n3", "n4", "n5"]
            for name in names:
                await nodes.node(name)
            nodes.join(*names)
            await nodes.apply(fleet("a", "b", "c"))
            watching = [n for n in names if configuration.is_watcher(nodes.nodes[n][0])]
            assert len(watching) == defaults.WATCHERS_PER_FAILURE_DOMAIN
            await nodes.wait_for_revision(1, *watching)
            others = [name for name in names if name not in watching]
            for number in (1, 2):
                for name in others:
                    env = nodes.nodes[name][0]
                    await configuration.handle_announcement(env, watching[0], number)
                await nodes.wait_for_revision(number, *names)
                if number == 1:
                    await nodes.apply(fleet("a", "b", "d"))
                    await nodes.wait_for_revision(2, *watching)
            served = nodes.nodes[watching[0]][0].content
            assert nodes.nodes[others[0]][0].content == served

    run(main)


def test_partitioned_region_catches_up():
    async def main():
        async with Nodes() as nodes:
            await nodes.node("east", "e")
            await nodes.apply(fleet("a"))
            await nodes.wait_for_revision(1, "east")
            west = await nodes.node("west", "w")
            await nodes.wait_for_revision(1, "west")
            west.platform.port = 1
            await curio.sleep(2 * defaults.WATCH_TIMEOUT_SECONDS)
            for name in ("b", "c", "d"):
                await nodes.apply(fleet("a", name))
            await nodes.wait_for_revision(4, "east")
            assert west.revisions.number == 1
            nodes.join("east")
            await configuration.handle_announcement(west, "east", 4)
            await nodes.wait_for_revision(4, "west")
            assert west.fleet == nodes.nodes["east"][0].fleet

    run(main)


def test_concurrent_change_is_rejected():
    async def main():
        async with Nodes() as nodes:
            base = await heads.read_head(nodes.platform)
            first = await heads.apply(nodes.platform, fleet("a"), base, "one", "r")
            with pytest.raises(heads.RevisionConflict) as caught:
                await heads.apply(nodes.client(), fleet("b"), base, "two", "r")
            assert caught.value.head.revision == first
            assert isinstance(caught.value, Conflict)

    run(main)


@pytest.mark.parametrize("seed", range(4))
def test_lost_replies_are_confirmed(seed):
    async def main():
        async with Nodes() as nodes:
            nodes.objects.rng.seed(seed)
            nodes.objects.faults.lost_replies = 0.6
            for number in range(1, 5):
                revision = await nodes.apply(fleet("a", f"b{number}"))
                assert revision.number == number
                head = await heads.read_head(nodes.platform)
                assert head.revision == revision

    run(main)


def test_damaged_content_of_peer_is_rejected():
    async def main():
        async with Nodes() as nodes:
            bad = await nodes.node("bad")
            await nodes.apply(fleet("a"))
            await nodes.wait_for_revision(1, "bad")
            name, part = next(iter(bad.content.parts.items()))
            bad.content.parts[name] = dataclasses.replace(part, packed=part.packed[:-1])
            nodes.objects.faults.outage = True
            fresh = await nodes.node("fresh", peers=("bad",))
            await curio.sleep(5 * defaults.STARTUP_RETRY_SECONDS)
            assert fresh.fleet is None
            nodes.objects.faults.outage = False
            await nodes.wait_for_revision(1, "fresh")

    run(main)


MALFORMED = [{"kind": 1}, {"kind": "k", "name": "n", "version": 1, "value": "%"}, None]


@pytest.mark.parametrize("response", MALFORMED)
def test_malformed_responses_of_object_api_are_survived(response):
    async def main():
        async with Nodes() as nodes:
            wire = nodes.objects.to_json
            await nodes.node("one")
            await nodes.apply(fleet("a"))
            await nodes.wait_for_revision(1, "one")
            nodes.objects.to_json = lambda *words: response
            nodes.objects.version += 1
            nodes.objects.entries[heads.KIND, heads.HEAD].version = nodes.objects.version
            await nodes.objects.notify()
            await curio.sleep(2 * defaults.PLATFORM_RETRY_SECONDS)
            nodes.objects.to_json = wire
            await nodes.apply(fleet("b"))
            await nodes.wait_for_revision(2, "one")

    run(main)
