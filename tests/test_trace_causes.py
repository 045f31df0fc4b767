"""The ``trace`` command finds the cause of a failed request in a router's log."""

import logging

import curio
import pytest
from direct_harness import SITE, WELL, DirectHarness, entry, run_scenario

from hickorylever import events
from hickorylever.cli import main
from hickorylever.direct.records import Engine, Service

STREAM = "/stream/x"


@pytest.fixture
def log_file(tmp_path):
    """Write log events to a file in a router's format."""
    path = tmp_path / "router.log"
    handler = logging.FileHandler(path)
    handler.setFormatter(events.JSONFormatter())
    level = events.logger.level
    events.logger.addHandler(handler)
    events.logger.setLevel(logging.INFO)
    yield path
    events.logger.removeHandler(handler)
    events.logger.setLevel(level)
    handler.close()


async def disconnect_early(harness, path):
    channel = await harness.client.acquire("127.0.0.1", harness.port, fresh=True)
    await harness.client.send_request(channel, "POST", path, harness.headers(), b"x", SITE)
    await harness.until(lambda: harness.runs)
    await channel.close()
    await curio.sleep(0.05)


async def remove_configuration(harness):
    harness.node.routes = None


async def quarantine_all_requests(harness):
    harness.node.quarantine.refuses = lambda call: True


async def fill_all_slots(harness):
    """Make all endpoints engines without a free slot."""
    harness.node.routes.services["engines"] = Service("engines", "", 0, Engine(8, 1000, 1))
    for endpoint in harness.node.directory.endpoints.values():
        endpoint.running = 8


async def point_at_a_closed_port(harness):
    """Point an endpoint's entry at a port without a listener."""
    await harness.store.put("servers", "i-0", entry(1))
    await harness.until(lambda: harness.node.directory.endpoints["i-0"].entry.port == 1)


async def replace_endpoint(harness):
    """Let another endpoint listen at the address of an entry."""
    harness.origins[0].name = "i-other"


async def prepare_nothing(harness):
    """Change nothing before the request."""


# Name, behaviours of the only endpoint, path, key, preparation, texts expected in the trace.
CASES = [
    ("not ready", WELL, "/safe/x", "key-1", remove_configuration, ["not_ready", "ran=no"]),
    ("no endpoint", WELL, "/lone/x", "key-1", prepare_nothing, ["no_endpoint", "ran=no"]),
    (
        "endpoint full",
        ("shed",),
        "/unsafe/x",
        "key-1",
        prepare_nothing,
        ["212 attempt_failed: not_run", "status=503", "overloaded", "ran=no"],
    ),
    (
        "no room",
        WELL,
        "/safe/x",
        "key-1",
        fill_all_slots,
        ["overloaded", "no endpoint had capacity within", "path=[]", "ran=no"],
    ),
    ("quarantined", WELL, "/safe/x", "key-1", quarantine_all_requests, ["quarantined", "ran=no"]),
    ("unknown key", WELL, "/safe/x", "old", prepare_nothing, ["unauthenticated", "ran=no"]),
    ("no route", WELL, "/none/x", "key-1", prepare_nothing, ["not_found", "ran=no"]),
    (
        "lost answer",
        ("reset",),
        "/unsafe/x",
        "key-1",
        prepare_nothing,
        ["answer_lost", "i-0@a:lost", "ran=unknown"],
    ),
    (
        "malformed answer",
        ("garbage",),
        "/unsafe/x",
        "key-1",
        prepare_nothing,
        ["212 attempt_failed: lost", "illegal", "ran=unknown"],
    ),
    (
        "missing stamp",
        ("unstamped",),
        "/unsafe/x",
        "key-1",
        prepare_nothing,
        ["the response was altered or did not come from the endpoint", "ran=unknown"],
    ),
    (
        "broken stream",
        ("broken",),
        STREAM,
        "key-1",
        prepare_nothing,
        ["the stream ended early", "i-0@a:broken", "events=2"],
    ),
    ("skipped event", ("gap",), STREAM, "key-1", prepare_nothing, ["event 3 follows event 1"]),
    (
        "silent",
        ("silent",),
        "/unsafe/x",
        "key-1",
        prepare_nothing,
        ["deadline", "i-0@a:expired", "ran=unknown"],
    ),
    (
        "failed endpoint",
        ("fail",),
        "/unsafe/x",
        "key-1",
        prepare_nothing,
        ["212 attempt_failed: failed", "status=500", "i-0@a:failed"],
    ),
    (
        "nobody listens",
        WELL,
        "/unsafe/x",
        "key-1",
        point_at_a_closed_port,
        ["212 attempt_failed: not_sent", "ConnectionRefused", "no_endpoint", "ran=no"],
    ),
    (
        "another endpoint there",
        WELL,
        "/unsafe/x",
        "key-1",
        replace_endpoint,
        ["212 attempt_failed: not_run", "status=421", "ran=no"],
    ),
]


@pytest.mark.parametrize(
    ("script", "path", "key", "prepare", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_the_trace_names_the_cause(script, path, key, prepare, expected, log_file, capsys):
    async def scenario(harness: DirectHarness):
        await prepare(harness)
        headers = harness.headers(key=key, deadline=400)
        await harness.send_request(path, headers=headers)
        return headers[0][1].decode()

    request = run_scenario(scenario, script)
    assert main(["trace", request, str(log_file)]) == 0
    output = capsys.readouterr().out
    assert [text for text in expected if text not in output] == []


def test_the_trace_of_a_caller_that_disconnected(log_file, capsys):
    async def scenario(harness):
        await disconnect_early(harness, "/unsafe/x")

    run_scenario(scenario, ("silent",))
    assert main(["trace", f"{1:016x}", str(log_file)]) == 0
    output = capsys.readouterr().out
    assert "caller_gone" in output
    assert "i-0@a:abandoned" in output
