"""From the id of a failed request to its cause, by the lines that a router logs."""

import logging

import curio
import pytest
from direct_harness import SITE, DirectHarness, entry, run_scenario

from hickorylever import events
from hickorylever.cli import main
from hickorylever.direct.records import Engine, Service

WELL = ("well",)
STREAM = "/stream/x"


@pytest.fixture
def log_file(tmp_path):
    """Write what the program logs, as a router writes it, to a file."""
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


async def leave_early(world, path):
    channel = await world.client.acquire("127.0.0.1", world.port, fresh=True)
    await world.client.send_request(channel, "POST", path, world.headers(), b"x", SITE)
    await world.until(lambda: world.runs)
    await channel.close()
    await curio.sleep(0.05)


async def forget_configuration(world):
    world.node.routes = None


async def suspect_all(world):
    world.node.crashes.is_quarantined = lambda fingerprint, now: True


async def fill_up(world):
    """Make every endpoint an engine without a free slot."""
    world.node.routes.services["engines"] = Service("engines", "", 0, Engine(8, 1000, 1))
    for endpoint in world.node.directory.endpoints.values():
        endpoint.running = 8


async def move_away(world):
    """Let nobody listen at the address that an entry names."""
    await world.store.put("servers", "i-0", entry(1))
    await world.until(lambda: world.node.directory.endpoints["i-0"].entry.port == 1)


async def rename(world):
    """Let another endpoint have the address that an entry names."""
    world.origins[0].name = "i-other"


async def nothing(world):
    """Leave the world as it is."""


# name, script of the one endpoint, path, key, what happens before, texts of the trace
KINDS = [
    ("not ready", WELL, "/safe/x", "key-1", forget_configuration, ["not_ready", "ran=no"]),
    ("no endpoint", WELL, "/lone/x", "key-1", nothing, ["no_endpoint", "ran=no"]),
    (
        "endpoint full",
        ("shed",),
        "/unsafe/x",
        "key-1",
        nothing,
        ["212 attempt_failed: not_run", "status=503", "overloaded", "ran=no"],
    ),
    (
        "no room",
        WELL,
        "/safe/x",
        "key-1",
        fill_up,
        ["overloaded", "no endpoint had capacity within", "path=[]", "ran=no"],
    ),
    ("quarantined", WELL, "/safe/x", "key-1", suspect_all, ["quarantined", "ran=no"]),
    ("unknown key", WELL, "/safe/x", "old", nothing, ["unauthenticated", "ran=no"]),
    ("no route", WELL, "/none/x", "key-1", nothing, ["not_found", "ran=no"]),
    (
        "lost answer",
        ("reset",),
        "/unsafe/x",
        "key-1",
        nothing,
        ["answer_lost", "i-0@a:lost", "ran=unknown"],
    ),
    (
        "garbage",
        ("garbage",),
        "/unsafe/x",
        "key-1",
        nothing,
        ["212 attempt_failed: lost", "illegal", "ran=unknown"],
    ),
    (
        "not vouched for",
        ("unstamped",),
        "/unsafe/x",
        "key-1",
        nothing,
        ["the response was altered or did not come from the endpoint", "ran=unknown"],
    ),
    (
        "broken stream",
        ("broken",),
        STREAM,
        "key-1",
        nothing,
        ["the stream ended early", "i-0@a:broken", "events=2"],
    ),
    ("skipped event", ("gap",), STREAM, "key-1", nothing, ["event 3 follows event 1"]),
    (
        "silent",
        ("silent",),
        "/unsafe/x",
        "key-1",
        nothing,
        ["deadline", "i-0@a:expired", "ran=unknown"],
    ),
    (
        "own failure",
        ("fail",),
        "/unsafe/x",
        "key-1",
        nothing,
        ["212 attempt_failed: failed", "status=500", "i-0@a:failed"],
    ),
    (
        "nobody listens",
        WELL,
        "/unsafe/x",
        "key-1",
        move_away,
        ["212 attempt_failed: not_sent", "ConnectionRefused", "no_endpoint", "ran=no"],
    ),
    (
        "another endpoint there",
        WELL,
        "/unsafe/x",
        "key-1",
        rename,
        ["212 attempt_failed: not_run", "status=421", "ran=no"],
    ),
]


@pytest.mark.parametrize(
    ("script", "path", "key", "before", "texts"),
    [row[1:] for row in KINDS],
    ids=[r[0] for r in KINDS],
)
def test_the_trace_names_the_cause(script, path, key, before, texts, log_file, capsys):
    async def scenario(world: DirectHarness):
        await before(world)
        headers = world.headers(key=key, deadline=400)
        await world.send_request(path, headers=headers)
        return headers[0][1].decode()

    request = run_scenario(scenario, script)
    assert main(["trace", request, str(log_file)]) == 0
    shown = capsys.readouterr().out
    assert [text for text in texts if text not in shown] == []


def test_the_trace_of_a_caller_that_left(log_file, capsys):
    async def scenario(world):
        await leave_early(world, "/unsafe/x")

    run_scenario(scenario, ("silent",))
    assert main(["trace", f"{1:016x}", str(log_file)]) == 0
    shown = capsys.readouterr().out
    assert "caller_gone" in shown
    assert "i-0@a:abandoned" in shown
