"""Nodes that follow the configuration at real sockets, with faults of the object API."""

import dataclasses

import curio
import pytest
from harness import HOST, port_of, run

from hickorylever import configuration, defaults, http
from hickorylever.environment import Environment
from hickorylever.exceptions import Conflict, PlatformError
from hickorylever.fleet import audit, heads
from hickorylever.node import Admin
from hickorylever.objects import ObjectClient
from hickorylever.records import ClientAccount, Fleet, Member, MemberState
from hickorylever.settings import Settings
from hickorylever.standins.objects import ObjectStore

PAUSE = 0.02


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    times = {
        "PLATFORM_RETRY_SECONDS": 0.05,
        "PLATFORM_TIMEOUT_SECONDS": 0.3,
        "WATCH_TIMEOUT_SECONDS": 0.2,
        "WATCHER_CHECK_SECONDS": 0.05,
        "STARTUP_RETRY_SECONDS": 0.05,
        "PULL_TIMEOUT_SECONDS": 0.3,
        "SETTLE_RETRY_SECONDS": 0.02,
        "STALE_REVISION_POLL_SECONDS": 0.2,
    }
    for name, value in times.items():
        monkeypatch.setattr(defaults, name, value)


def fleet(*names, **more):
    return Fleet(
        "test", client_accounts=tuple(ClientAccount(n, ()) for n in sorted(names)), **more
    )


class Nodes:
    """Nodes with an admin listener each; `members` stands for the membership."""

    def __init__(self):
        self.objects = ObjectStore(seed=1)
        self.nodes = {}
        self.groups = []
        self.known = []

    async def __aenter__(self):
        listener = http.listen(HOST, 0)
        self.port = port_of(listener)
        await self.spawn(self.objects.server.serve, listener)
        self.platform = self.client()
        return self

    async def __aexit__(self, *info):
        for task in self.groups:
            await task.cancel()

    async def spawn(self, *args):
        task = await curio.spawn(*args, daemon=True)
        self.groups.append(task)
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
            env.live_members = lambda: list(self.known)
        configuration.attach(env)
        tasks = [await self.spawn(Admin(env).server.serve, listener)]
        tasks += [await self.spawn(task) for task in (env.timers.run, *env.tasks)]
        self.nodes[name] = (env, tasks)
        return env

    async def stop(self, name):
        for task in self.nodes.pop(name)[1]:
            await task.cancel()

    def join(self, *names):
        for name in names:
            settings = self.nodes[name][0].settings
            self.known.append(
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

    async def reached(self, number, *names):
        while any(self.nodes[name][0].revisions.number != number for name in names):
            await curio.sleep(PAUSE)


def test_nodes_follow_the_platform():
    async def main():
        async with Nodes() as nodes:
            env = await nodes.node("one")
            await nodes.apply(fleet("a"))
            await nodes.reached(1, "one")
            await nodes.apply(fleet("a", "b"))
            await nodes.reached(2, "one")
            assert [entry.name for entry in env.fleet.client_accounts] == ["a", "b"]

    run(main)


def test_start_from_peers_during_an_outage_and_rolling_replacement():
    async def main():
        async with Nodes() as nodes:
            await nodes.node("old")
            await nodes.apply(fleet("a"))
            await nodes.reached(1, "old")
            nodes.objects.faults.outage = True
            for name, peer in (("new", "old"), ("newer", "new")):
                await nodes.node(name, peers=(peer,))
                await nodes.reached(1, name)
                await nodes.stop(peer)
            with pytest.raises(PlatformError):
                await nodes.apply(fleet("a", "b"))
            await curio.sleep(
                2 * (defaults.PLATFORM_TIMEOUT_SECONDS + defaults.WATCH_TIMEOUT_SECONDS)
            )
            assert nodes.nodes["newer"][0].revisions.number == 1
            nodes.objects.faults.outage = False
            await nodes.apply(fleet("a", "b"))
            await nodes.reached(2, "newer")

    run(main)


def test_the_platform_can_not_take_it_back_and_is_restored():
    async def main():
        async with Nodes() as nodes:
            await nodes.apply(fleet("a"))
            old = dict(nodes.objects.entries)
            await nodes.apply(fleet("b"))
            await nodes.node("one", members=False)
            await nodes.reached(2, "one")
            nodes.objects.entries.clear()
            nodes.objects.entries.update(old)
            nodes.objects.version = max(entry.version for entry in old.values())
            await nodes.node("two", peers=("one",))
            await nodes.reached(2, "two")
            while (await heads.read_head(nodes.platform)).number != 2:
                await curio.sleep(PAUSE)
            assert nodes.nodes["one"][0].revisions.number == 2
            await nodes.node("three")
            await nodes.reached(2, "three")
            await nodes.apply(fleet("c"))
            await nodes.reached(3, "one", "two", "three")
            head = await heads.read_head(nodes.platform)
            found = [
                entry.number async for entry in audit.read_back(nodes.platform, head.chain, 1)
            ]
            assert found == [3, 2, 1]

    run(main)


def test_only_watchers_call_the_platform_and_others_pull_deltas():
    async def main():
        async with Nodes() as nodes:
            names = ["n1", "n2", "n3", "n4", "n5"]
            for name in names:
                await nodes.node(name)
            nodes.join(*names)
            await nodes.apply(fleet("a", "b", "c"))
            watching = [n for n in names if configuration.watching(nodes.nodes[n][0])]
            assert len(watching) == defaults.WATCHERS_PER_FAILURE_DOMAIN
            await nodes.reached(1, *watching)
            others = [name for name in names if name not in watching]
            for number in (1, 2):
                for name in others:
                    env = nodes.nodes[name][0]
                    await configuration.take_revision(env, watching[0], number)
                await nodes.reached(number, *names)
                if number == 1:
                    await nodes.apply(fleet("a", "b", "d"))
                    await nodes.reached(2, *watching)
            served = nodes.nodes[watching[0]][0].content
            assert nodes.nodes[others[0]][0].content == served

    run(main)


def test_two_regions_apart_and_together_again():
    async def main():
        async with Nodes() as nodes:
            await nodes.node("east", "e")
            await nodes.apply(fleet("a"))
            await nodes.reached(1, "east")
            west = await nodes.node("west", "w")
            await nodes.reached(1, "west")
            west.platform.port = 1
            await curio.sleep(2 * defaults.WATCH_TIMEOUT_SECONDS)
            for name in ("b", "c", "d"):
                await nodes.apply(fleet("a", name))
            await nodes.reached(4, "east")
            assert west.revisions.number == 1
            nodes.join("east")
            await configuration.take_revision(west, "east", 4)
            await nodes.reached(4, "west")
            assert west.fleet == nodes.nodes["east"][0].fleet

    run(main)


def test_two_operators_race():
    async def main():
        async with Nodes() as nodes:
            base = await heads.read_head(nodes.platform)
            first = await heads.apply(nodes.platform, fleet("a"), base, "one", "r")
            with pytest.raises(heads.Raced) as caught:
                await heads.apply(nodes.client(), fleet("b"), base, "two", "r")
            assert caught.value.head.revision == first
            assert isinstance(caught.value, Conflict)

    run(main)


@pytest.mark.parametrize("seed", range(4))
def test_lost_replies_are_settled(seed):
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


def test_a_peer_with_a_damaged_content_is_refused():
    async def main():
        async with Nodes() as nodes:
            bad = await nodes.node("bad")
            await nodes.apply(fleet("a"))
            await nodes.reached(1, "bad")
            name, part = next(iter(bad.content.parts.items()))
            bad.content.parts[name] = dataclasses.replace(part, packed=part.packed[:-1])
            nodes.objects.faults.outage = True
            fresh = await nodes.node("fresh", peers=("bad",))
            await curio.sleep(5 * defaults.STARTUP_RETRY_SECONDS)
            assert fresh.fleet is None
            nodes.objects.faults.outage = False
            await nodes.reached(1, "fresh")

    run(main)


GARBAGE = [{"kind": 1}, {"kind": "k", "name": "n", "version": 1, "value": "%"}, None]


@pytest.mark.parametrize("answer", GARBAGE)
def test_nodes_outlast_garbage_from_the_platform(answer):
    async def main():
        async with Nodes() as nodes:
            wire = nodes.objects.to_json
            await nodes.node("one")
            await nodes.apply(fleet("a"))
            await nodes.reached(1, "one")
            nodes.objects.to_json = lambda *words: answer
            nodes.objects.version += 1
            nodes.objects.entries[heads.KIND, heads.HEAD].version = nodes.objects.version
            await nodes.objects.notify()
            await curio.sleep(2 * defaults.PLATFORM_RETRY_SECONDS)
            nodes.objects.to_json = wire
            await nodes.apply(fleet("b"))
            await nodes.reached(2, "one")

    run(main)
