"""Endpoints that are full, reject, and send some answers once more."""

import random
from collections import Counter

import curio
import pytest
from direct_harness import RESUMABLE, run_scenario

from hickorylever.platform.standins.overload import Overload, copy_times

PROMISES = (408, 421, 429, 503)
ONCE = ("/unsafe/x", "/stream/stream/x")
PATHS = (*ONCE, "/safe/x", RESUMABLE)
CALLERS = 2
REQUESTS = 50


async def send_requests(harness, rng, answers):
    for _ in range(REQUESTS):
        path = rng.choice(PATHS)
        headers = harness.headers()
        response = await harness.send_request(path, headers=headers)
        answers.append((path, dict(headers)[b"hickorylever-attempt-id"].decode(), response))
        await curio.sleep(rng.uniform(0.0, 0.02))


def check(harness, answers):
    """Check that what runs once ran once, and that what was refused did not run."""
    runs = Counter(run.request_id for run in harness.runs)
    for path, request_id, response in answers:
        if path in ONCE:
            assert runs[request_id] <= 1, (path, request_id)
            assert response.status not in PROMISES or not runs[request_id]
        assert response.status != 200 or response.body is not None


@pytest.mark.parametrize("when", sorted(copy_times))
@pytest.mark.parametrize("early", [0.0, 0.5])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_rejection_or_its_copy_never_makes_a_request_run_twice(when, early, seed, monkeypatch):
    """Requests ran twice, or were refused and ran, at endpoints that are full now and then."""
    monkeypatch.setattr(copy_times, "entries", {when: copy_times[when]})

    async def scenario(harness):
        rng = random.Random(seed)
        for origin in harness.origins:
            origin.overload = Overload(random.Random(rng.random()), 64, True, 0.4, early)
            origin.pause = 0.005
        answers = []
        async with curio.TaskGroup() as group:
            for _ in range(CALLERS):
                await group.spawn(send_requests, harness, random.Random(rng.random()), answers)
        check(harness, answers)
        assert sum(origin.overload.rejection_count for origin in harness.origins)
        assert sum(origin.overload.copy_count for origin in harness.origins)

    run_scenario(scenario, ("well",), ("well",))


@pytest.mark.parametrize("early", [0.0, 1.0])
def test_a_full_endpoint_rejects_and_keeps_the_connection(early):
    """The stand-in would otherwise send no copies where the next answer is expected."""

    async def scenario(harness):
        (origin,) = harness.origins
        origin.overload = Overload(random.Random(1), 0, False, 0.0, early)
        for _ in range(2):
            response = await harness.send_request("/unsafe/x", body=b"x" * 5000)
            assert response.status == 503
        assert not origin.runs
        assert origin.overload.rejection_count == 2
        entry = harness.node.directory.endpoints["i-0"].entry
        assert [
            channel.request_count
            for channel in harness.node.client.idle[entry.address, entry.port]
        ] == [2]

    run_scenario(scenario, ("well",))
