"""Tests of the soak: a short seeded run with real processes, and its checks on made-up results."""

import random

import curio
import pytest

from hickorylever import soak
from hickorylever.http import connect, listen
from hickorylever.platform.standins.origin import Origin, Run
from hickorylever.soak.callers import Record, Sent
from hickorylever.soak.checks import WHOLE_STREAM, checks
from hickorylever.soak.faults import faults
from hickorylever.soak.proxy import Proxy
from hickorylever.soak.run import Report, play_fault
from hickorylever.soak.world import Impairment, World


def test_a_short_soak_keeps_the_promises():
    report = soak.run(seed=1, seconds=2.0, routers=2)
    assert report.broken == []
    assert len(report.record.sent) > 20


def sent(**more):
    known = {"id": "1-1", "kind": "safe", "router": "127.0.2.1", "began": 50.0, "starts": (1, 1)}
    return Sent(**{**known, "ended": 50.1, "connected": True, **more})


def run_at(time, request_id="1-1"):
    return Run(request_id, "POST", "/safe/x", {}, b"", 1, time)


def broken(name, *requests, runs=(), **world):
    made = World(1, origins=[Origin("i-0", runs=list(runs))], **world)
    record = Record({"1-1", "1-2"}, list(requests))
    return list(checks[name](made, record))


GOOD = b"done by i-0 for 1-1"
CASES = [
    ("unasked", [], [run_at(50.0, "9-9")], {}, True),
    ("unasked", [], [run_at(50.0)], {}, False),
    ("at most once", [sent(kind="unsafe")], [run_at(50.0), run_at(50.1)], {}, True),
    ("at most once", [sent(kind="safe")], [run_at(50.0), run_at(50.1)], {}, False),
    ("at most once", [sent()], [run_at(50.0)] * 4, {}, True),
    ("not run", [sent(status=503, body=b"")], [run_at(50.0)], {}, True),
    ("not run", [sent(status=503, body=b"")], [], {}, False),
    ("not run", [sent(status=502, body=b"")], [run_at(50.0)], {}, False),
    ("own answer", [sent(status=200, body=GOOD)], [], {}, False),
    ("own answer", [sent(status=200, body=b"done by i-0 for 1-2")], [], {}, True),
    ("own answer", [sent(kind="stream", status=200, body=WHOLE_STREAM[:-9])], [], {}, True),
    ("own answer", [sent(kind="stream", status=200, body=WHOLE_STREAM)], [], {}, False),
    ("leaving", [], [run_at(53.0)], {"leaves": [(0, 50.0, 53.5)]}, True),
    ("leaving", [], [run_at(51.0)], {"leaves": [(0, 50.0, 53.5)]}, False),
    (
        "leaving",
        [],
        [run_at(53.0)],
        {"leaves": [(0, 50.0, 53.5)], "impairments": [Impairment("store", 49.0, 51.0)]},
        False,
    ),
    ("planned work", [sent()], [run_at(50.0)], {}, True),
    ("planned work", [sent(left=True)], [run_at(50.0)], {}, False),
    (
        "planned work",
        [sent()],
        [run_at(50.0)],
        {"impairments": [Impairment("kill", 49.0, 50.0)]},
        False,
    ),
    (
        "planned work",
        [sent()],
        [run_at(50.0)],
        {"impairments": [Impairment("stop", 49.0, 50.0)]},
        True,
    ),
    ("an end in time", [sent(ended=53.6)], [], {}, True),
    ("an end in time", [sent(ended=53.4)], [], {}, False),
    ("an end in time", [sent(ended=56.0, connected=False)], [], {}, False),
]


@pytest.mark.parametrize(("name", "requests", "runs", "world", "found"), CASES)
def test_each_check_finds_its_broken_promise(name, requests, runs, world, found):
    assert bool(broken(name, *requests, runs=runs, **world)) is found


@pytest.mark.parametrize(
    ("second", "found"),
    [({"version": 4}, True), ({"version": 5}, False), ({"version": 4, "starts": (2, 2)}, False)],
)
def test_the_check_of_versions(second, found):
    first = sent(status=200, body=GOOD, version=5)
    later = sent(**{"status": 200, "body": GOOD, "began": 51.0, **second})
    assert bool(broken("no way back", first, later)) is found


def test_a_connection_that_lost_bytes_stays_silent():
    async def echo(client, address):
        while data := await client.recv(100):
            await client.sendall(data)

    async def scenario():
        port_holder = listen("127.0.0.1", 0)
        server = await curio.spawn(curio.network.run_server, port_holder, echo, daemon=True)
        proxy = Proxy(port_holder.getsockname()[1])
        relay = await curio.spawn(proxy.run, daemon=True)
        sock = await connect("127.0.0.1", proxy.own_port)
        await sock.sendall(b"a")
        assert await sock.recv(1) == b"a"
        proxy.silent = True
        await sock.sendall(b"b")
        await curio.sleep(0.05)
        proxy.silent = False
        await sock.sendall(b"c")
        assert await curio.ignore_after(0.1, sock.recv, 1) is None
        await proxy.reset()
        assert await sock.recv(1) == b""
        await proxy.reset()
        await sock.close()
        for task in (relay, server):
            await task.cancel()

    curio.run(scenario)


def test_a_fault_that_fails_does_not_stop_the_others(monkeypatch):
    async def fail(world, chance, seconds):
        raise ValueError("odd")

    report = Report(1)
    world = World(1)
    monkeypatch.setitem(faults.entries, "kill", fail)
    curio.run(play_fault, world, report, "kill", random.Random(1), 0.1)
    assert report.broken == ["fault 'kill' raised ValueError('odd')"]
    assert [fault.name for fault in world.impairments] == ["kill"]


def test_every_fault_has_a_name_and_a_page_line():
    assert {"kill", "pause", "stop", "partition", "silence", "store", "configure"} <= set(faults)
    assert all(faults[name].__doc__ for name in faults)
