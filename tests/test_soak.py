"""Tests of the soak: a short seeded run with real processes, and its checks on made-up results."""

import random

import curio
import h11
import pytest

from hickorylever import cli, soak
from hickorylever.http import connect, listen
from hickorylever.http.channel import Channel
from hickorylever.platform import names
from hickorylever.platform.standins.origin import Origin, Run, encode_event
from hickorylever.soak.callers import SentRequest, TrafficLog
from hickorylever.soak.checks import checks
from hickorylever.soak.faults import faults
from hickorylever.soak.proxy import Proxy
from hickorylever.soak.run import Report, run_fault
from hickorylever.soak.world import EVENTS_PER_STREAM, FaultPeriod, LimitPeriod, SoakHarness


def test_short_soak_finds_no_violation():
    report = soak.run(soak.Plan(seed=1, seconds=2.0, router_count=2))
    assert report.violations == []
    assert len(report.traffic.requests) > 20


def make_events(first=1, last=EVENTS_PER_STREAM, version="v1"):
    return b"".join(encode_event(number, version) for number in range(first, last + 1))


COMPLETE_STREAM = make_events()


def make_stream(content, **more):
    return make_request(kind="resumable", status=200, received=content, body=content, **more)


def make_request(**more):
    defaults = {
        "id": "1-1",
        "kind": "safe",
        "router": "127.0.2.1",
        "started_at": 50.0,
        "router_starts": (1, 1),
    }
    return SentRequest(**{**defaults, "ended_at": 50.1, "connected": True, **more})


def make_run(time, request_id="1-1"):
    return Run(request_id, "POST", "/safe/x", {}, b"", 1, time)


def find_violations(name, *requests, runs=(), **state):
    harness = SoakHarness(1, origins=[Origin("i-0", runs=list(runs))], **state)
    traffic = TrafficLog({"1-1", "1-2"}, list(requests))
    return list(checks[name](harness, traffic))


EVACUATED = {"evacuation_periods": [("a", 50.0, 59.0)]}
LIMITED = {"limit_periods": [LimitPeriod(0, 1.0, 49.5, 60.0)]}


def make_runs(start, count):
    return [make_run(start + 0.1 * n) for n in range(count)]


CRASHING = {"crashing_parts": ["c000"]}


def make_crashes(count, late=0):
    headers = {names.PREFIX: b"a000:20,c000:20,1:20"}
    times = [50.0 + 0.1 * n for n in range(count)] + [52.0 + 0.1 * n for n in range(late)]
    return [Run(f"c-{n}", "POST", "/x", headers, b"", 1, at) for n, at in enumerate(times)]


def make_sound(count, served):
    """Requests beside the crashing part, and the last one with it."""
    return [
        make_request(
            started_at=57.0, status=200 if n < served else 503, parts=("a000", "b000", "1")
        )
        for n in range(count)
    ] + [make_request(started_at=58.0, status=503, parts=("a000", "c000", "1"))]


TWO_OF_V1 = {"version_periods": {0: [(0.0, "v1")], 1: [(0.0, "v1")]}}


def make_resumed(served, rejected, version="v1"):
    """A stream that breaks off after two events, and later tries to take it up."""
    first = make_stream(make_events(1, 2))
    later = [{"status": 200, "received": make_events(3, version=version)}] * served
    later += [{"status": 503}] * rejected
    return [first] + [
        make_request(id="1-2", kind="resumable", resumes="1-1", after=2, started_at=51.0, **fields)
        for fields in later
    ]


COMPLETE_BODY = b"done by i-0 for 1-1"
CASES = [
    ("unasked", [], [make_run(50.0, "9-9")], {}, True),
    ("unasked", [], [make_run(50.0)], {}, False),
    ("at most once", [make_request(kind="unsafe")], [make_run(50.0), make_run(50.1)], {}, True),
    ("at most once", [make_request(kind="safe")], [make_run(50.0), make_run(50.1)], {}, False),
    ("at most once", [make_request()], [make_run(50.0)] * 4, {}, True),
    ("not run", [make_request(status=503, body=b"")], [make_run(50.0)], {}, True),
    ("not run", [make_request(status=503, body=b"")], [], {}, False),
    ("not run", [make_request(status=502, body=b"")], [make_run(50.0)], {}, False),
    ("own answer", [make_request(status=200, body=COMPLETE_BODY)], [], {}, False),
    ("own answer", [make_request(status=200, body=b"done by i-0 for 1-2")], [], {}, True),
    (
        "own answer",
        [make_stream(COMPLETE_STREAM[:-9])],
        [],
        {},
        True,
    ),
    ("own answer", [make_stream(COMPLETE_STREAM)], [], {}, False),
    ("own answer", [make_stream(make_events(3), resumes="1-1", after=2)], [], {}, False),
    ("own answer", [make_stream(make_events(4), resumes="1-1", after=2)], [], {}, True),
    ("own answer", [make_stream(make_events(2), resumes="1-1", after=2)], [], {}, True),
    ("order", [make_stream(make_events(1, 3) + make_events(4, version="v2"))], [], {}, True),
    ("order", make_resumed(1, 0), [], {}, False),
    ("order", make_resumed(1, 0, version="v2"), [], {}, True),
    ("lost", make_resumed(4, 8), [], TWO_OF_V1, True),
    ("lost", make_resumed(6, 6), [], TWO_OF_V1, False),
    ("lost", make_resumed(4, 7), [], TWO_OF_V1, False),
    ("lost", make_resumed(4, 8), [], {"version_periods": {0: [(0.0, "v1")]}}, False),
    (
        "lost",
        make_resumed(4, 8),
        [],
        {**TWO_OF_V1, "fault_periods": [FaultPeriod("pause", 49.0, 50.0)]},
        False,
    ),
    ("leaving", [], [make_run(53.0)], {"drain_periods": [(0, 50.0, 53.5)]}, True),
    ("leaving", [], [make_run(51.0)], {"drain_periods": [(0, 50.0, 53.5)]}, False),
    (
        "leaving",
        [],
        [make_run(53.0)],
        {"drain_periods": [(0, 50.0, 53.5)], "fault_periods": [FaultPeriod("store", 49.0, 51.0)]},
        False,
    ),
    (
        "shutdown",
        [],
        [make_run(50.5), make_run(52.6)],
        {"shutdown_periods": [(0, 50.0, 53.5)]},
        True,
    ),
    (
        "shutdown",
        [],
        [make_run(51.5), make_run(53.4)],
        {"shutdown_periods": [(0, 50.0, 53.5)]},
        False,
    ),
    ("evacuated", [], [make_run(55.1)], EVACUATED, True),
    ("evacuated", [], [make_run(54.9), make_run(59.1)], EVACUATED, False),
    ("evacuated", [], [make_run(55.1)], {"evacuation_periods": [("b", 50.0, 59.0)]}, False),
    (
        "evacuated",
        [],
        [make_run(56.9)],
        {**EVACUATED, "fault_periods": [FaultPeriod("store", 50.5, 52.0)]},
        False,
    ),
    (
        "evacuated",
        [],
        [make_run(57.1)],
        {**EVACUATED, "fault_periods": [FaultPeriod("store", 50.5, 52.0)]},
        True,
    ),
    ("crashing part", [], make_crashes(5, late=4), CRASHING, True),
    ("crashing part", [], make_crashes(5, late=3), CRASHING, False),
    ("crashing part", [], make_crashes(4), CRASHING, False),
    (
        "crashing part",
        [],
        make_crashes(5, late=4),
        {**CRASHING, "fault_periods": [FaultPeriod("kill_all", 49.0, 53.0)]},
        False,
    ),
    ("sound parts", make_sound(25, 10), make_crashes(5), CRASHING, True),
    ("sound parts", make_sound(25, 20), make_crashes(5), CRASHING, False),
    ("sound parts", make_sound(19, 0), make_crashes(5), CRASHING, False),
    ("limit", [], [make_run(50.0), *make_runs(54.0, 12)], LIMITED, True),
    ("limit", [], [make_run(50.0), *make_runs(54.0, 11)], LIMITED, False),
    ("limit", [], [make_run(50.0), *make_runs(51.0, 12)], LIMITED, False),
    (
        "limit",
        [],
        [make_run(50.0), *make_runs(54.0, 12)],
        {**LIMITED, "fault_periods": [FaultPeriod("pause", 49.0, 53.0)]},
        False,
    ),
    ("planned work", [make_request()], [make_run(50.0)], {}, True),
    ("planned work", [make_request(disconnected=True)], [make_run(50.0)], {}, False),
    (
        "planned work",
        [make_request()],
        [make_run(50.0)],
        {"fault_periods": [FaultPeriod("kill", 49.0, 50.0)]},
        False,
    ),
    (
        "planned work",
        [make_request()],
        [make_run(50.0)],
        {"fault_periods": [FaultPeriod("stop", 49.0, 50.0)]},
        True,
    ),
    ("an end in time", [make_request(ended_at=53.6)], [], {}, True),
    ("an end in time", [make_request(ended_at=53.4)], [], {}, False),
    ("an end in time", [make_request(ended_at=56.0, connected=False)], [], {}, False),
]


@pytest.mark.parametrize(("name", "requests", "runs", "state", "violated"), CASES)
def test_check_reports_its_violation(name, requests, runs, state, violated):
    assert bool(find_violations(name, *requests, runs=runs, **state)) is violated


@pytest.mark.parametrize(("count", "violated"), [(21, False), (22, True)])
def test_check_of_cold_endpoints(count, violated):
    harness = SoakHarness(1, origins=[Origin("i-0", cold_arrivals=[50.0] * count + [51.0] * 9)])
    assert bool(list(checks["cold"](harness, TrafficLog(set(), [])))) is violated


@pytest.mark.parametrize(
    ("second", "violated"),
    [
        ({"version": 4}, True),
        ({"version": 5}, False),
        ({"version": 4, "router_starts": (2, 2)}, False),
    ],
)
def test_version_check(second, violated):
    first = make_request(status=200, body=COMPLETE_BODY, version=5)
    later = make_request(**{"status": 200, "body": COMPLETE_BODY, "started_at": 51.0, **second})
    assert bool(find_violations("no way back", first, later)) is violated


def test_proxy_drops_all_data_after_a_gap():
    async def echo(client, address):
        while data := await client.recv(100):
            await client.sendall(data)

    async def scenario():
        port_holder = listen("127.0.0.1", 0)
        server = await curio.spawn(curio.network.run_server, port_holder, echo, daemon=True)
        proxy = Proxy(port_holder.getsockname()[1])
        relay = await curio.spawn(proxy.run, daemon=True)
        sock = await connect("127.0.0.1", proxy.listen_port)
        await sock.sendall(b"a")
        assert await sock.recv(1) == b"a"
        proxy.silent = True
        await sock.sendall(b"b")
        await curio.sleep(0.05)
        proxy.silent = False
        await sock.sendall(b"c")
        assert await curio.ignore_after(0.1, sock.recv, 1) is None
        await proxy.close_connections()
        assert await sock.recv(1) == b""
        await proxy.close_connections()
        await sock.close()
        for task in (relay, server):
            await task.cancel()

    curio.run(scenario)


@pytest.mark.parametrize("reset_by", ["peer", "proxy"])
def test_proxy_passes_resets_on(reset_by):
    async def scenario():
        async def reset(client, address):
            await client.recv(100)
            await client.sendall(b"half")
            if reset_by == "proxy":
                await proxy.reset_connections()
            await Channel(client, h11.SERVER).abort()

        listener = listen("127.0.0.1", 0)
        server = await curio.spawn(curio.network.run_server, listener, reset, daemon=True)
        proxy = Proxy(listener.getsockname()[1])
        relay = await curio.spawn(proxy.run, daemon=True)
        sock = await connect("127.0.0.1", proxy.listen_port)
        await sock.sendall(b"a")
        with pytest.raises(ConnectionResetError):
            while await sock.recv(10):
                pass
        await sock.close()
        for task in (relay, server):
            await task.cancel()

    curio.run(scenario)


def test_error_of_a_fault_is_reported(monkeypatch):
    async def fail(harness, rng, seconds):
        raise ValueError("odd")

    report = Report(1)
    harness = SoakHarness(1)
    monkeypatch.setitem(faults.entries, "kill", fail)
    curio.run(run_fault, harness, report, "kill", random.Random(1), 0.1)
    assert report.violations == ["fault 'kill' raised ValueError('odd')"]
    assert [fault.name for fault in harness.fault_periods] == ["kill"]


def test_faults_are_registered_and_documented():
    assert {"kill", "pause", "stop", "partition", "silence", "store", "configure"} <= set(faults)
    assert all(faults[name].__doc__ for name in faults)


@pytest.mark.parametrize("arguments", [["--endpoints", "1"], ["--endpoints", "x"]])
def test_too_few_endpoints_are_an_error_before_anything_runs(arguments, capsys):
    """A soak without endpoints ran for half a minute and blamed the routers."""
    with pytest.raises(SystemExit):
        cli.main(["soak", *arguments])
    assert "is not a number of 2 or more" in capsys.readouterr().err
