import argparse

import curio
import msgspec
import pytest
from faults import interpose
from harness import HOST, World, port_of, run

from hickorylever import defaults, http
from hickorylever.commands.claims import unresolved_section
from hickorylever.node import Admin
from hickorylever.records import Member, MemberState

PATH = "/ledger/postings"
KEY = [(b"idempotency-key", b"posting-1")]


def problem(answer):
    content = msgspec.json.decode(answer[2])
    return answer[0], content["kind"], content["ran"]


def runs(world):
    return sum(service.runs["posting-1"] for service in world.services)


def test_repeat_gets_the_kept_answer():
    async def main():
        async with World(engines=0, routers=2) as world:
            first = await world.post(PATH, b"1", KEY)
            again = [await world.post(PATH, b"1", KEY, router=n) for n in (0, 1)]
            assert first[0] == 200 and {answer[2] for answer in again} == {first[2]}
            assert runs(world) == 1

    run(main)


def test_concurrent_repeats_run_once():
    async def main():
        async with World(engines=0, services=2, routers=2) as world:
            async with curio.TaskGroup() as group:
                for number in range(8):
                    await group.spawn(world.post, PATH, b"1", KEY, number % 2)
            answers = {(answer[0], answer[2]) for answer in group.results}
            assert len(answers) == 1 and answers.pop()[0] == 200
            assert runs(world) == 1

    run(main)


def test_key_of_another_request_is_refused():
    async def main():
        async with World(engines=0) as world:
            await world.post(PATH, b"1", KEY)
            answer = await world.post(PATH, b"2", KEY)
            assert problem(answer) == (422, "key_reused", "no")

    run(main)


def test_answer_that_is_not_kept_any_more():
    async def main():
        async with World(engines=0) as world:
            await world.post(PATH, b"1", KEY)
            world.sidecars["ledger-0"].running.clear()
            assert problem(await world.post(PATH, b"1", KEY)) == (409, "already_ran", "yes")
            world.sidecars["ledger-0"].attempts.entries.clear()
            await world.routers[0].env.claims.flush()
            assert problem(await world.post(PATH, b"1", KEY)) == (409, "already_ran", "yes")
            assert runs(world) == 1

    run(main)


def test_outage_refuses_guarded_requests_only():
    async def main():
        async with World(engines=0) as world:
            world.objects.faults.outage = True
            answer = await world.post(PATH, b"1", KEY)
            assert problem(answer) == (503, "claims_unavailable", "no")
            assert dict(answer[1])[b"retry-after"]
            assert (await world.post("/ledger/notes", b"x"))[0] == 200
            world.objects.faults.outage = False
            assert (await world.post(PATH, b"1", KEY))[0] == 200
            assert runs(world) == 1

    run(main)


def test_lost_replies_are_settled():
    async def main():
        async with World(engines=0, routers=2) as world:
            world.objects.faults.lost_replies = 0.5
            for number in range(12):
                key = [(b"idempotency-key", b"k%d" % number)]
                answer = await world.post(PATH, b"1", key, router=number % 2)
                assert answer[0] in (200, 503)
                await world.post(PATH, b"1", key, router=1 - number % 2)
            assert max(world.services[0].runs.values()) == 1

    run(main)


def test_unknown_end_is_listed_and_never_run_again():
    async def main():
        async with World(engines=0) as world:
            world.services[0].delay = 0.3
            fields = [*KEY, (b"hickory-timeout", b"0.1")]
            assert problem(await world.post(PATH, b"1", fields)) == (504, "deadline", "unknown")
            assert problem(await world.post(PATH, b"1", KEY))[2] == "unknown"
            await world.routers[0].env.claims.flush()
            platform = world.routers[0].env.platform
            lines = await unresolved_section(argparse.Namespace(), platform)
            assert len(lines) == 2 and "ledger-0" in lines[1]
            world.routers[0].env.incarnations.clear()
            assert problem(await world.post(PATH, b"1", KEY)) == (502, "answer_lost", "unknown")
            await curio.sleep(0.3)
            assert runs(world) <= 1

    run(main)


def test_restarted_sidecar_leaves_the_claim_unknown():
    async def main():
        async with World(engines=0) as world:
            await world.post(PATH, b"1", KEY)
            router = world.routers[0].env
            router.claims.queues = type(router.claims)(router).queues
            sidecar = world.sidecars["ledger-0"]
            sidecar.running.clear()
            sidecar.attempts.entries.clear()
            sidecar.env.incarnation = sidecar.attempts.incarnation = "restarted"
            answer = await world.post(PATH, b"1", KEY)
            assert problem(answer)[2] in ("unknown", "yes")
            assert runs(world) == 1

    run(main)


# Faults of both sidecars' connections, the first answer and the runs after it.
LOST = [(["mute"], 503, 0), (["half"], 200, 1), (["silent", "half"], 200, 1)]


@pytest.mark.parametrize("plan, status, count", LOST)
def test_lost_connection_does_not_repeat(plan, status, count, monkeypatch):
    monkeypatch.setattr(defaults, "HEARTBEAT_INTERVAL_SECONDS", 0.05)

    async def main():
        async with World(engines=0, services=2) as world:
            for name in ("ledger-0", "ledger-1"):
                await interpose(world, name, *plan, revision=2 + int(name[-1]))
            answer = await world.post(PATH, b"1", KEY)
            assert answer[0] == status and runs(world) == count
            if status == 503:
                assert problem(answer) == (503, "cancelled", "no")
            assert (await world.post(PATH, b"1", KEY))[0] == 200
            assert runs(world) == 1

    run(main)


def test_caller_returns_to_another_router_after_a_kill():
    async def main():
        async with World(engines=0, routers=2) as world:
            world.services[0].delay = 0.3
            task = await curio.spawn(world.post, PATH, b"1", KEY)
            table = world.sidecars["ledger-0"].attempts
            while not table.running:
                await curio.sleep(0.01)
            world.routers[0].server.handler = None
            await task.cancel()
            status, _, _ = await world.post(PATH, b"1", KEY, router=1)
            assert status == 200 and runs(world) == 1

    run(main)


def test_claims_go_to_the_preferred_router():
    async def main():
        async with World(engines=0, routers=2) as world:
            members = []
            for router in world.routers:
                listener = http.listen(HOST, 0)
                await world.spawn(Admin(router.env).server.serve, listener)
                name = router.env.settings.vm
                place = ("router", "north", "north-a", "i", MemberState.READY)
                members.append(Member(name, HOST, port_of(listener), *place))
            for router in world.routers:
                router.env.live_members = lambda: members
            for number in range(20):
                key = [(b"idempotency-key", b"k%d" % number)]
                assert (await world.post(PATH, b"1", key, router=number % 2))[0] == 200
            known = [
                [queue.shard.is_loaded() for queue in router.env.claims.queues]
                for router in world.routers
            ]
            assert all(sum(pair) == 1 for pair in zip(*known, strict=True))

    run(main)


def test_guarded_request_that_crashed_its_endpoint_is_not_run_again():
    async def main():
        async with World(engines=0, services=2) as world:
            seen = []

            async def crash(exchange):
                seen.append(await exchange.body())
                await exchange.channel.abort()
                exchange.closing = True

            for service in world.services:
                service.server.handler = crash
            answers = [await world.post(PATH, b"1", KEY) for _ in range(3)]
            assert {problem(answer)[2] for answer in answers} == {"unknown"}
            assert len(seen) == 1

    run(main)
