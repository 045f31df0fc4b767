import argparse

import curio
import msgspec
import pytest
from faults import interpose
from harness import HOST, FleetHarness, port_of, run

from hickorylever import defaults, http
from hickorylever.commands.claims import unresolved_section
from hickorylever.node import AdminServer
from hickorylever.records import Member, MemberState

PATH = "/ledger/postings"
KEY = [(b"idempotency-key", b"posting-1")]


def problem(response):
    content = msgspec.json.decode(response[2])
    return response[0], content["kind"], content["ran"]


def runs(harness):
    return sum(service.runs["posting-1"] for service in harness.services)


def test_repeat_returns_stored_response():
    async def main():
        async with FleetHarness(engines=0, routers=2) as harness:
            first = await harness.post(PATH, b"1", KEY)
            repeats = [await harness.post(PATH, b"1", KEY, router=n) for n in (0, 1)]
            assert first[0] == 200 and {response[2] for response in repeats} == {first[2]}
            assert runs(harness) == 1

    run(main)


def test_concurrent_repeats_run_once():
    async def main():
        async with FleetHarness(engines=0, services=2, routers=2) as harness:
            async with curio.TaskGroup() as group:
                for number in range(8):
                    await group.spawn(harness.post, PATH, b"1", KEY, number % 2)
            responses = {(response[0], response[2]) for response in group.results}
            assert len(responses) == 1 and responses.pop()[0] == 200
            assert runs(harness) == 1

    run(main)


def test_key_of_another_request_is_refused():
    async def main():
        async with FleetHarness(engines=0) as harness:
            await harness.post(PATH, b"1", KEY)
            response = await harness.post(PATH, b"2", KEY)
            assert problem(response) == (422, "key_reused", "no")

    run(main)


def test_repeat_after_response_was_evicted():
    async def main():
        async with FleetHarness(engines=0) as harness:
            await harness.post(PATH, b"1", KEY)
            harness.sidecars["ledger-0"].responses.clear()
            assert problem(await harness.post(PATH, b"1", KEY)) == (409, "already_ran", "yes")
            harness.sidecars["ledger-0"].attempts.entries.clear()
            await harness.routers[0].env.claims.flush()
            assert problem(await harness.post(PATH, b"1", KEY)) == (409, "already_ran", "yes")
            assert runs(harness) == 1

    run(main)


def test_outage_refuses_guarded_requests_only():
    async def main():
        async with FleetHarness(engines=0) as harness:
            harness.objects.faults.outage = True
            response = await harness.post(PATH, b"1", KEY)
            assert problem(response) == (503, "claims_unavailable", "no")
            assert dict(response[1])[b"retry-after"]
            assert (await harness.post("/ledger/notes", b"x"))[0] == 200
            harness.objects.faults.outage = False
            assert (await harness.post(PATH, b"1", KEY))[0] == 200
            assert runs(harness) == 1

    run(main)


def test_lost_replies_of_object_api():
    async def main():
        async with FleetHarness(engines=0, routers=2) as harness:
            harness.objects.faults.lost_replies = 0.5
            for number in range(12):
                key = [(b"idempotency-key", b"k%d" % number)]
                response = await harness.post(PATH, b"1", key, router=number % 2)
                assert response[0] in (200, 503)
                await harness.post(PATH, b"1", key, router=1 - number % 2)
            assert max(harness.services[0].runs.values()) == 1

    run(main)


def test_unknown_outcome_is_listed_and_not_repeated():
    async def main():
        async with FleetHarness(engines=0) as harness:
            harness.services[0].delay = 0.3
            fields = [*KEY, (b"hickory-timeout", b"0.1")]
            assert problem(await harness.post(PATH, b"1", fields)) == (504, "deadline", "unknown")
            assert problem(await harness.post(PATH, b"1", KEY))[2] == "unknown"
            await harness.routers[0].env.claims.flush()
            platform = harness.routers[0].env.platform
            lines = await unresolved_section(argparse.Namespace(), platform)
            assert len(lines) == 2 and "ledger-0" in lines[1]
            harness.routers[0].env.incarnations.clear()
            assert problem(await harness.post(PATH, b"1", KEY)) == (502, "answer_lost", "unknown")
            await curio.sleep(0.3)
            assert runs(harness) <= 1

    run(main)


def test_restarted_sidecar_leaves_claim_unknown():
    async def main():
        async with FleetHarness(engines=0) as harness:
            await harness.post(PATH, b"1", KEY)
            router = harness.routers[0].env
            router.claims.queues = type(router.claims)(router).queues
            sidecar = harness.sidecars["ledger-0"]
            sidecar.responses.clear()
            sidecar.attempts.entries.clear()
            sidecar.env.incarnation = sidecar.attempts.incarnation = "restarted"
            response = await harness.post(PATH, b"1", KEY)
            assert problem(response)[2] in ("unknown", "yes")
            assert runs(harness) == 1

    run(main)


# Faults of the connections to both sidecars, status of the first response, runs after it.
CONNECTION_FAULTS = [
    (["unsent"], 503, 0),
    (["truncated"], 200, 1),
    (["silent", "truncated"], 200, 1),
]


@pytest.mark.parametrize("proxy_faults, status, count", CONNECTION_FAULTS)
def test_lost_connection_does_not_repeat_request(proxy_faults, status, count, monkeypatch):
    monkeypatch.setattr(defaults, "HEARTBEAT_INTERVAL_SECONDS", 0.05)

    async def main():
        async with FleetHarness(engines=0, services=2) as harness:
            for name in ("ledger-0", "ledger-1"):
                await interpose(harness, name, *proxy_faults, revision=2 + int(name[-1]))
            response = await harness.post(PATH, b"1", KEY)
            assert response[0] == status and runs(harness) == count
            if status == 503:
                assert problem(response) == (503, "cancelled", "no")
            assert (await harness.post(PATH, b"1", KEY))[0] == 200
            assert runs(harness) == 1

    run(main)


def test_repeat_at_another_router():
    async def main():
        async with FleetHarness(engines=0, routers=2) as harness:
            harness.services[0].delay = 0.3
            task = await curio.spawn(harness.post, PATH, b"1", KEY)
            table = harness.sidecars["ledger-0"].attempts
            while not table.running:
                await curio.sleep(0.01)
            harness.routers[0].server.handler = None
            await task.cancel()
            status, _, _ = await harness.post(PATH, b"1", KEY, router=1)
            assert status == 200 and runs(harness) == 1

    run(main)


def test_claims_are_written_by_preferred_router():
    async def main():
        async with FleetHarness(engines=0, routers=2) as harness:
            members = []
            for router in harness.routers:
                listener = http.listen(HOST, 0)
                await harness.spawn(AdminServer(router.env).server.serve, listener)
                name = router.env.settings.vm
                member_fields = ("router", "north", "north-a", "i", MemberState.READY)
                members.append(Member(name, HOST, port_of(listener), *member_fields))
            for router in harness.routers:
                router.env.live_members = lambda: members
            for number in range(20):
                key = [(b"idempotency-key", b"k%d" % number)]
                assert (await harness.post(PATH, b"1", key, router=number % 2))[0] == 200
            known = [
                [queue.shard.is_loaded() for queue in router.env.claims.queues]
                for router in harness.routers
            ]
            assert all(sum(pair) == 1 for pair in zip(*known, strict=True))

    run(main)


def test_guarded_request_is_not_repeated_after_crash():
    async def main():
        async with FleetHarness(engines=0, services=2) as harness:
            bodies = []

            async def crash(exchange):
                bodies.append(await exchange.body())
                await exchange.channel.abort()
                exchange.closing = True

            for service in harness.services:
                service.server.handler = crash
            responses = [await harness.post(PATH, b"1", KEY) for _ in range(3)]
            assert {problem(response)[2] for response in responses} == {"unknown"}
            assert len(bodies) == 1

    run(main)
