"""Requests through a direct router, seen by callers and endpoints."""

import math

import curio
import pytest
from direct_world import SITE, configuration, entry, events, play

WELL = ("well",)
STREAM = "/stream/x"
RESUMABLE = "/resumable/stream/x"

# path, script shared by all endpoints, status, runs, kind of error
CASES = [
    ("/safe/x", ["well"], 200, 1, ""),
    ("/safe/x", ["shed", "well"], 200, 1, ""),
    ("/safe/x", ["fail"], 500, 2, ""),
    ("/safe/x", ["reset", "well"], 200, 2, ""),
    ("/safe/x", ["reset"], 502, 2, "answer_lost"),
    ("/safe/x", ["garbage", "well"], 200, 2, ""),
    ("/safe/x", ["truncated", "well"], 200, 2, ""),
    ("/safe/x", ["unstamped", "well"], 200, 2, ""),
    ("/safe/x", ["encoded", "well"], 200, 2, ""),
    ("/safe/x", ["busy"], 502, 2, "endpoint_failed"),
    ("/safe/x", ["shed"], 503, 0, "overloaded"),
    ("/unsafe/x", ["well"], 200, 1, ""),
    ("/unsafe/x", ["shed", "well"], 200, 1, ""),
    ("/unsafe/x", ["shed"], 503, 0, "overloaded"),
    ("/unsafe/x", ["fail"], 500, 1, ""),
    ("/unsafe/x", ["reset"], 502, 1, "answer_lost"),
    ("/unsafe/x", ["garbage"], 502, 1, "answer_lost"),
    ("/unsafe/x", ["truncated"], 502, 1, "answer_lost"),
    ("/unsafe/x", ["unstamped"], 502, 1, "answer_lost"),
    ("/unsafe/x", ["encoded"], 502, 1, "answer_lost"),
    ("/unsafe/x", ["busy"], 502, 1, "endpoint_failed"),
    (STREAM, ["reset"], 502, 1, "answer_lost"),
    (RESUMABLE, ["reset", "well"], 200, 2, ""),
    ("/lone/x", ["well"], 503, 0, "no_endpoint"),
    ("/other/x", ["well"], 404, 0, "not_found"),
]


@pytest.mark.parametrize(("path", "script", "status", "runs", "kind"), CASES)
def test_outcome_by_route_type(path, script, status, runs, kind):
    async def scenario(world):
        shared = list(script)
        for origin in world.origins:
            origin.script = shared
        reply = await world.ask(path)
        assert reply.status == status
        assert len(world.runs) == runs
        if kind:
            assert f'"kind":"{kind}"'.encode() in reply.body
        return reply

    play(scenario, WELL, WELL)


@pytest.mark.parametrize(
    ("script", "whole", "first_events"),
    [
        (["well"], True, [1]),
        (["broken", "well"], True, [1, 3]),
        (["short", "well"], True, [1, 2]),
        (["gap", "well"], True, [1, 2]),
        (["broken"], False, [1, 3]),
        (["broken", "unknown"], False, [1, 3]),
        (["broken", "fail"], False, [1, 3]),
        (["broken", "shed"], False, [1]),
    ],
)
def test_resumable_stream_continues_on_another_endpoint(script, whole, first_events):
    async def scenario(world):
        shared = list(script)
        for origin in world.origins:
            origin.script = shared
        reply = await world.ask(RESUMABLE)
        assert reply.status == 200
        assert (reply.body == events(1, 2, 3, 4, 5, 6)) is whole
        assert (reply.body is not None) is whole
        assert sorted(run.first_event for run in world.runs) == first_events

    play(scenario, WELL, WELL)


@pytest.mark.parametrize("step", ["broken", "short", "gap"])
def test_other_broken_stream_is_visibly_incomplete(step):
    async def scenario(world):
        reply = await world.ask(STREAM)
        assert (reply.status, reply.body) == (200, None)
        assert len(world.runs) == 1

    play(scenario, (step,), (step,))


def test_caller_resumes_after_event():
    async def scenario(world):
        headers = world.headers(**{"last-event-id": "4"})
        reply = await world.ask(RESUMABLE, headers=headers)
        assert reply.body == events(5, 6)

    play(scenario, WELL)


def test_forwarded_request():
    async def scenario(world):
        forged = {
            "hickorylever-tenant": "boss",
            "hickorylever-pin-ms": "4000",
            "kv-from": "1.2.3.4:5/x",
            "hickorylever-kv-backup": "1.2.3.4:5",
            "hickorylever-cache-hold": "h",
            "hickorylever-model": "m",
            "x-own": "kept",
            "connection": "x-hop",
            "x-hop": "dropped",
        }
        await world.ask("/unsafe/a/b?c=d", "PATCH", world.headers(**forged), b"body")
        (run,) = world.runs
        assert (run.method, run.target, run.body) == ("PATCH", "/unsafe/a/b?c=d", b"body")
        assert run.headers[b"host"] == SITE.encode()
        assert run.headers[b"hickorylever-tenant"] == b"clerks"
        assert run.headers[b"hickorylever-expect-instance"] == b"i-0"
        assert run.headers[b"hickorylever-model"] == b"m"
        assert run.headers[b"x-own"] == b"kept"
        assert 1000 < int(run.headers[b"hickorylever-deadline-ms"]) <= 1500
        dropped = (
            b"authorization",
            b"hickorylever-pin-ms",
            b"kv-from",
            b"hickorylever-kv-backup",
            b"hickorylever-cache-hold",
            b"x-hop",
        )
        assert not set(dropped) & set(run.headers)

    play(scenario, WELL)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/safe/x", "key-1", 200),
        ("/safe/x", "other", 401),
        ("/safe/x", "", 401),
        ("/public/x", "", 200),
    ],
)
def test_bearer_keys(path, key, status):
    async def scenario(world):
        reply = await world.ask(path, headers=world.headers(key=key))
        assert reply.status == status

    play(scenario, WELL)


def test_stale_response_is_discarded():
    async def scenario(world):
        await world.ask("/safe/x")
        reply = await world.ask("/safe/y")
        assert (reply.status, reply.body) == (200, b"done by i-0 for %016x" % 2)

    play(scenario, ("twice", "late"))


def test_replaced_endpoint_does_not_run_request():
    async def scenario(world):
        world.origins[0].name = "i-new"
        reply = await world.ask("/unsafe/x")
        assert reply.status == 200
        assert len(world.runs) == 1
        assert world.origins[0].runs == []

    play(scenario, WELL, WELL)


def test_unreachable_endpoint_is_avoided():
    async def scenario(world):
        await world.store.put("servers", "i-0", entry(1))
        await world.until(lambda: world.node.directory.endpoints["i-0"].entry.port == 1)
        for _ in range(6):
            assert (await world.ask("/unsafe/x")).status == 200
        assert len(world.origins[1].runs) == 6

    play(scenario, WELL, WELL)


@pytest.mark.parametrize(("path", "stopped"), [("/safe/x", 1), (STREAM, 1)])
def test_request_is_cancelled_when_caller_disconnects(path, stopped):
    async def scenario(world):
        for origin in world.origins:
            origin.pause = 2.0
        channel = await world.client.acquire("127.0.0.1", world.port, fresh=True)
        await world.client.request(channel, "POST", path, world.headers(), b"x", SITE)
        await world.until(lambda: world.runs)
        await channel.close()
        await world.until(lambda: sum(o.stopped for o in world.origins) == stopped)

    play(scenario, WELL)


def test_route_timeout():
    async def scenario(world):
        slow = configuration(version=2)
        slow["routes"][3]["timeout-ms"] = 200
        await world.store.put("config", "main", slow)
        await world.until(lambda: world.node.routes.configuration.version == 2)
        reply = await world.ask("/unsafe/x")
        assert reply.status == 504

    play(scenario, ("silent",))


def test_crashing_request_is_quarantined():
    async def scenario(world):
        replies = [(await world.ask("/unsafe/bad")).status for _ in range(5)]
        assert replies == [502, 502, 502, 503, 503]
        assert len(world.runs) == 3
        assert (await world.ask("/unsafe/bad2")).status == 502

    play(scenario, ("reset",), ("reset",), ("reset",))


def test_timeout_does_not_count_as_crash():
    async def scenario(world):
        headers = world.headers(deadline=900)
        assert (await world.ask("/safe/x", headers=headers)).status == 504
        assert world.node.crashes.records == {}

    play(scenario, ("silent",), ("silent",))


@pytest.mark.parametrize("fault", ["removed", "draining"])
def test_removed_or_draining_endpoint_gets_no_new_requests(fault):
    async def scenario(world):
        if fault == "removed":
            await world.store.remove("servers", "i-0")
        else:
            await world.store.put("servers", "i-0", entry(world.ports[0], state="draining"))
        directory = world.node.directory
        await world.until(lambda: sum(e.usable(1e9) for e in directory.pool("engines")) == 1)
        for _ in range(5):
            assert (await world.ask("/safe/x")).status == 200
        assert len(world.origins[1].runs) == 5

    play(scenario, WELL, WELL)


def test_routes_can_be_changed_and_removed():
    async def scenario(world):
        later = configuration(version=9)
        dropped = later["routes"].pop(2)
        later["routes"].append({**dropped, "name": "new", "path-prefix": "/safe/new/"})
        await world.store.put("config", "main", later)
        await world.until(lambda: world.node.routes.configuration.version == 9)
        assert (await world.ask("/safe/x")).status == 404
        assert (await world.ask("/safe/new/x")).status == 200

    play(scenario, WELL)


def test_requests_before_first_configuration_are_refused():
    async def scenario(world):
        world.store.faults.status = 503
        with pytest.raises(curio.TaskTimeout):
            await curio.timeout_after(0.2, world.start_router)
        reply = await world.ask("/safe/x")
        assert reply.status == 503
        assert b'"ran":"no"' in reply.body

    play(scenario, WELL, store=False)


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ([(b"hickorylever-deadline-ms", b"soon")], 400),
        ([(b"hickorylever-deadline-ms", b"1500"), (b"hickorylever-prompt-prefix", b"zz,,")], 200),
        ([(b"hickorylever-token-usage", b"many")], 200),
    ],
)
def test_malformed_request_headers(fields, status):
    async def scenario(world):
        reply = await world.ask("/public/x", headers=[(b"hickorylever-attempt-id", b"1"), *fields])
        assert reply.status == status

    play(scenario, WELL)


@pytest.mark.parametrize(("path", "status"), [("/safe/x", 200), (RESUMABLE, 200), (STREAM, 504)])
def test_silent_endpoint_is_abandoned_if_request_may_be_repeated(path, status):
    async def scenario(world):
        shared = ["silent", "well"]
        for origin in world.origins:
            origin.script = shared
        reply = await world.ask(path, headers=world.headers(deadline=1000))
        assert reply.status == status
        await world.until(lambda: sum(origin.stopped for origin in world.origins) == 1)

    play(scenario, WELL, WELL)


@pytest.mark.parametrize("path", ["/safe/x", RESUMABLE])
@pytest.mark.parametrize("reason", ["no budget", "no other endpoint", "the other one leaves"])
def test_slow_endpoint_is_kept_if_no_retry_is_possible(path, reason):
    """An overloaded endpoint is not abandoned unless another one can take the request."""

    async def scenario(world):
        if reason == "no budget":
            world.node.budget.allowance = world.node.budget.ratio = 0.0
        for endpoint in world.node.directory.pool("engines"):
            endpoint.paused_until = math.inf if reason == "no other endpoint" else 0.0
        chosen = world.node.directory.endpoints["i-0"]
        chosen.paused_until = 0.0
        if reason == "the other one leaves":
            await world.store.put("servers", "i-1", entry(world.ports[1], state="draining"))
            await world.until(lambda: world.node.directory.endpoints["i-1"].entry.draining)
        reply = await world.ask(path)
        assert (reply.status, len(world.runs)) == (200, 1)

    play(scenario, ("slow",), ("slow",))


@pytest.mark.parametrize(
    ("limit", "value", "headers", "body", "status"),
    [
        ("max-header-bytes", 400, [(b"x-long", b"x" * 500)], b"", 431),
        ("max-body-bytes", 10, [], b"x" * 11, 413),
        ("max-body-bytes", 10, [], b"x" * 10, 200),
    ],
)
def test_size_limits(limit, value, headers, body, status):
    async def scenario(world):
        changed = configuration(version=2)
        changed["limits"][limit] = value
        await world.store.put("config", "main", changed)
        await world.until(lambda: world.node.routes.configuration.version == 2)
        reply = await world.ask("/safe/x", headers=world.headers() + headers, body=body)
        assert reply.status == status

    play(scenario, WELL)


def test_idle_timeout():
    async def scenario(world):
        changed = configuration(version=2)
        changed["limits"]["idle-timeout-ms"] = 80
        await world.store.put("config", "main", changed)
        await world.until(lambda: world.node.routes.configuration.version == 2)
        channel = await world.client.acquire("127.0.0.1", world.port, fresh=True)
        assert await curio.timeout_after(2.0, channel.sock.recv, 1) == b""

    play(scenario, WELL)


def test_log_of_disconnected_caller_names_endpoint(caplog):
    async def scenario(world):
        channel = await world.client.acquire("127.0.0.1", world.port, fresh=True)
        await world.client.request(channel, "POST", "/unsafe/x", world.headers(), b"x", SITE)
        await world.until(lambda: world.runs)
        await channel.close()
        await world.until(lambda: any(r.message == "caller_gone" for r in caplog.records))

    with caplog.at_level("INFO", "hickorylever"):
        play(scenario, ("silent",))
    (fields,) = (r.fields for r in caplog.records if r.message == "caller_gone")
    assert fields["path"] == ["i-0@a:abandoned"]
    assert fields["ran"] == "unknown"


def test_non_resumable_route_passes_last_event_id_through():
    async def scenario(world):
        headers = world.headers(**{"last-event-id": "4"})
        reply = await world.ask(STREAM, headers=headers)
        assert reply.body == events(5, 6)
        world.origins[0].script = ["from_the_start"]
        reply = await world.ask(STREAM, headers=headers)
        assert reply.body == events(1, 2, 3, 4, 5, 6)

    play(scenario, WELL)
