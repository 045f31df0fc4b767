"""Requests through a direct router, seen by callers and endpoints."""

import math

import curio
import pytest
from direct_harness import RESUMABLE, SITE, WELL, configuration, entry, events, run_scenario

STREAM = "/stream/x"

# path, script shared by all endpoints, status, runs, kind of error
CASES = [
    ("/safe/x", ["well"], 200, 1, ""),
    ("/safe/x", ["shed", "well"], 200, 1, ""),
    ("/safe/x", ["fail"], 500, 2, ""),
    ("/safe/x", ["reset", "well"], 200, 2, ""),
    ("/safe/x", ["reset"], 502, 2, "answer_lost"),
    ("/safe/x", ["garbage", "well"], 200, 2, ""),
    ("/safe/x", ["truncated", "well"], 200, 2, ""),
    ("/safe/x", ["unframed"], 200, 1, ""),
    ("/safe/x", ["unframed_reset", "well"], 200, 2, ""),
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
    async def scenario(harness):
        shared = list(script)
        for origin in harness.origins:
            origin.script = shared
        response = await harness.send_request(path)
        assert response.status == status
        assert len(harness.runs) == runs
        if kind:
            assert f'"kind":"{kind}"'.encode() in response.body
        return response

    run_scenario(scenario, WELL, WELL)


@pytest.mark.parametrize(
    ("script", "whole", "first_events"),
    [
        (["well"], True, [1]),
        (["broken", "well"], True, [1, 3]),
        (["short", "well"], True, [1, 2]),
        (["gap", "well"], True, [1, 2]),
        (["unframed"], True, [1]),
        (["unframed_short", "well"], True, [1, 6]),
        (["unframed_empty", "well"], True, [1, 1]),
        (["unframed_short", "unframed"], True, [1, 6]),
        (["broken", "unframed_empty"], False, [1, 3]),
        (["broken"], False, [1, 3]),
        (["broken", "unknown"], False, [1, 3]),
        (["broken", "fail"], False, [1, 3]),
        (["broken", "shed"], False, [1]),
    ],
)
def test_resumable_stream_continues_on_another_endpoint(script, whole, first_events):
    async def scenario(harness):
        shared = list(script)
        for origin in harness.origins:
            origin.script = shared
        response = await harness.send_request(RESUMABLE)
        assert response.status == 200
        assert (response.body == events(1, 2, 3, 4, 5, 6)) is whole
        assert (response.body is not None) is whole
        assert sorted(run.first_event for run in harness.runs) == first_events

    run_scenario(scenario, WELL, WELL)


@pytest.mark.parametrize(
    "step", ["broken", "short", "gap", "unframed_short", "unframed_empty", "unframed_reset"]
)
def test_other_broken_stream_is_visibly_incomplete(step):
    async def scenario(harness):
        response = await harness.send_request(STREAM)
        assert (response.status, response.body) == (200, None)
        assert len(harness.runs) == 1

    run_scenario(scenario, (step,), (step,))


def test_caller_resumes_after_event():
    async def scenario(harness):
        headers = harness.headers(**{"last-event-id": "4"})
        response = await harness.send_request(RESUMABLE, headers=headers)
        assert response.body == events(5, 6)

    run_scenario(scenario, WELL)


def test_stream_that_breaks_off_before_an_event_is_not_complete_when_the_caller_resumes():
    async def scenario(harness):
        headers = harness.headers(**{"last-event-id": "4"})
        response = await harness.send_request(RESUMABLE, headers=headers)
        assert (response.status, response.body) == (200, None)

    run_scenario(scenario, ("unframed_empty",))


def test_forwarded_request():
    async def scenario(harness):
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
        await harness.send_request("/unsafe/a/b?c=d", "PATCH", harness.headers(**forged), b"body")
        (run,) = harness.runs
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

    run_scenario(scenario, WELL)


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
    async def scenario(harness):
        response = await harness.send_request(path, headers=harness.headers(key=key))
        assert response.status == status

    run_scenario(scenario, WELL)


def test_stale_response_is_discarded():
    async def scenario(harness):
        await harness.send_request("/safe/x")
        response = await harness.send_request("/safe/y")
        assert (response.status, response.body) == (200, b"done by i-0 for %016x" % 2)

    run_scenario(scenario, ("twice", "late"))


def test_replaced_endpoint_does_not_run_request():
    async def scenario(harness):
        harness.origins[0].name = "i-new"
        response = await harness.send_request("/unsafe/x")
        assert response.status == 200
        assert len(harness.runs) == 1
        assert harness.origins[0].runs == []

    run_scenario(scenario, WELL, WELL)


def test_unreachable_endpoint_is_avoided():
    async def scenario(harness):
        await harness.store.put("servers", "i-0", entry(1))
        await harness.until(lambda: harness.node.directory.endpoints["i-0"].entry.port == 1)
        for _ in range(6):
            assert (await harness.send_request("/unsafe/x")).status == 200
        assert len(harness.origins[1].runs) == 6

    run_scenario(scenario, WELL, WELL)


@pytest.mark.parametrize(("path", "stopped"), [("/safe/x", 1), (STREAM, 1)])
def test_request_is_cancelled_when_caller_disconnects(path, stopped):
    async def scenario(harness):
        for origin in harness.origins:
            origin.pause = 2.0
        channel = await harness.client.acquire("127.0.0.1", harness.port, fresh=True)
        await harness.client.send_request(channel, "POST", path, harness.headers(), b"x", SITE)
        await harness.until(lambda: harness.runs)
        await channel.close()
        await harness.until(lambda: sum(o.stopped for o in harness.origins) == stopped)

    run_scenario(scenario, WELL)


def test_route_timeout():
    async def scenario(harness):
        slow = configuration(version=2)
        slow["routes"][3]["timeout-ms"] = 200
        await harness.store.put("config", "main", slow)
        await harness.until(lambda: harness.node.routes.configuration.version == 2)
        response = await harness.send_request("/unsafe/x")
        assert response.status == 504

    run_scenario(scenario, ("silent",))


def test_crashing_request_is_quarantined():
    async def scenario(harness):
        statuses = [(await harness.send_request("/unsafe/bad")).status for _ in range(5)]
        assert statuses == [502, 502, 502, 503, 503]
        assert len(harness.runs) == 3
        assert (await harness.send_request("/unsafe/bad2")).status == 502

    run_scenario(scenario, ("reset",), ("reset",), ("reset",))


def test_timeout_does_not_count_as_crash():
    async def scenario(harness):
        headers = harness.headers(deadline=900)
        assert (await harness.send_request("/safe/x", headers=headers)).status == 504
        assert not harness.node.quarantine.tracker.suspects

    run_scenario(scenario, ("silent",), ("silent",))


@pytest.mark.parametrize("fault", ["removed", "draining"])
def test_removed_or_draining_endpoint_gets_no_new_requests(fault):
    async def scenario(harness):
        if fault == "removed":
            await harness.store.remove("servers", "i-0")
        else:
            await harness.store.put("servers", "i-0", entry(harness.ports[0], state="draining"))
        directory = harness.node.directory
        await harness.until(lambda: sum(e.usable(1e9) for e in directory.pool("engines")) == 1)
        for _ in range(5):
            assert (await harness.send_request("/safe/x")).status == 200
        assert len(harness.origins[1].runs) == 5

    run_scenario(scenario, WELL, WELL)


def test_routes_can_be_changed_and_removed():
    async def scenario(harness):
        later = configuration(version=9)
        dropped = later["routes"].pop(2)
        later["routes"].append({**dropped, "name": "new", "path-prefix": "/safe/new/"})
        await harness.store.put("config", "main", later)
        await harness.until(lambda: harness.node.routes.configuration.version == 9)
        assert (await harness.send_request("/safe/x")).status == 404
        assert (await harness.send_request("/safe/new/x")).status == 200

    run_scenario(scenario, WELL)


def test_requests_before_first_configuration_are_refused():
    async def scenario(harness):
        harness.store.faults.status = 503
        with pytest.raises(curio.TaskTimeout):
            await curio.timeout_after(0.2, harness.start_router)
        response = await harness.send_request("/safe/x")
        assert response.status == 503
        assert b'"ran":"no"' in response.body

    run_scenario(scenario, WELL, autostart=False)


@pytest.mark.parametrize(
    ("fields", "status"),
    [
        ([(b"hickorylever-deadline-ms", b"soon")], 400),
        ([(b"hickorylever-deadline-ms", b"1500"), (b"hickorylever-prompt-prefix", b"zz,,")], 200),
        ([(b"hickorylever-token-usage", b"many")], 200),
    ],
)
def test_malformed_request_headers(fields, status):
    async def scenario(harness):
        response = await harness.send_request(
            "/public/x", headers=[(b"hickorylever-attempt-id", b"1"), *fields]
        )
        assert response.status == status

    run_scenario(scenario, WELL)


@pytest.mark.parametrize(("path", "status"), [("/safe/x", 200), (RESUMABLE, 200), (STREAM, 504)])
def test_silent_endpoint_is_abandoned_if_request_may_be_repeated(path, status):
    async def scenario(harness):
        shared = ["silent", "well"]
        for origin in harness.origins:
            origin.script = shared
        response = await harness.send_request(path, headers=harness.headers(deadline=1000))
        assert response.status == status
        await harness.until(lambda: sum(origin.stopped for origin in harness.origins) == 1)

    run_scenario(scenario, WELL, WELL)


@pytest.mark.parametrize("path", ["/safe/x", RESUMABLE])
@pytest.mark.parametrize("reason", ["no budget", "no other endpoint", "the other one leaves"])
def test_slow_endpoint_is_kept_if_no_retry_is_possible(path, reason):
    """An overloaded endpoint is not abandoned unless another one can take the request."""

    async def scenario(harness):
        if reason == "no budget":
            harness.node.budget.allowance = harness.node.budget.ratio = 0.0
        for endpoint in harness.node.directory.pool("engines"):
            endpoint.paused_until = math.inf if reason == "no other endpoint" else 0.0
        chosen = harness.node.directory.endpoints["i-0"]
        chosen.paused_until = 0.0
        if reason == "the other one leaves":
            await harness.store.put("servers", "i-1", entry(harness.ports[1], state="draining"))
            await harness.until(lambda: harness.node.directory.endpoints["i-1"].entry.draining)
        response = await harness.send_request(path)
        assert (response.status, len(harness.runs)) == (200, 1)

    run_scenario(scenario, ("slow",), ("slow",))


@pytest.mark.parametrize(
    ("limit", "value", "headers", "body", "status"),
    [
        ("max-header-bytes", 400, [(b"x-long", b"x" * 500)], b"", 431),
        ("max-body-bytes", 10, [], b"x" * 11, 413),
        ("max-body-bytes", 10, [], b"x" * 10, 200),
    ],
)
def test_size_limits(limit, value, headers, body, status):
    async def scenario(harness):
        changed = configuration(version=2)
        changed["limits"][limit] = value
        await harness.store.put("config", "main", changed)
        await harness.until(lambda: harness.node.routes.configuration.version == 2)
        response = await harness.send_request(
            "/safe/x", headers=harness.headers() + headers, body=body
        )
        assert response.status == status

    run_scenario(scenario, WELL)


def test_idle_timeout():
    async def scenario(harness):
        changed = configuration(version=2)
        changed["limits"]["idle-timeout-ms"] = 80
        await harness.store.put("config", "main", changed)
        await harness.until(lambda: harness.node.routes.configuration.version == 2)
        channel = await harness.client.acquire("127.0.0.1", harness.port, fresh=True)
        assert await curio.timeout_after(2.0, channel.sock.recv, 1) == b""

    run_scenario(scenario, WELL)


def test_log_of_disconnected_caller_names_endpoint(caplog):
    async def scenario(harness):
        channel = await harness.client.acquire("127.0.0.1", harness.port, fresh=True)
        await harness.client.send_request(
            channel, "POST", "/unsafe/x", harness.headers(), b"x", SITE
        )
        await harness.until(lambda: harness.runs)
        await channel.close()
        await harness.until(lambda: any(r.message == "caller_gone" for r in caplog.records))

    with caplog.at_level("INFO", "hickorylever"):
        run_scenario(scenario, ("silent",))
    (fields,) = (r.fields for r in caplog.records if r.message == "caller_gone")
    assert fields["path"] == ["i-0@a:abandoned"]
    assert fields["ran"] == "unknown"


def test_non_resumable_route_passes_last_event_id_through():
    async def scenario(harness):
        headers = harness.headers(**{"last-event-id": "4"})
        response = await harness.send_request(STREAM, headers=headers)
        assert response.body == events(5, 6)
        harness.origins[0].script = ["from_the_start"]
        response = await harness.send_request(STREAM, headers=headers)
        assert response.body == events(1, 2, 3, 4, 5, 6)

    run_scenario(scenario, WELL)


def test_admitted_work_is_counted_by_account_where_there_are_accounts():
    async def scenario(harness):
        await harness.send_request("/safe/x", headers=harness.headers())
        assert harness.node.account_shares.enabled
        group = harness.node.account_shares.groups["engines", 2]
        assert group.flows["clerks"].admitted.work == pytest.approx(1.0, rel=0.5)
        text = harness.node.metrics.render().decode()
        assert 'hickorylever_admitted_work_total{account="clerks",service="engines"} 1' in text
        await harness.store.put("config", "main", configuration(version=2, tenants=None))
        await harness.until(lambda: not harness.node.account_shares.enabled)

    run_scenario(scenario, ("well",))
