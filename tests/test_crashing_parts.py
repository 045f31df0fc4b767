"""Prompt parts that crash each endpoint which begins to answer a request with them."""

import time

import curio
import pytest
from direct_harness import quarantine_a_part, run_scenario

from hickorylever.direct.records import Engine, Service

PATH = "/resumable/stream/x"
ENDPOINTS = [("well",)] * 10
MAX_CRASHES = 5
MAX_LATE_RUNS = 3


def test_a_prompt_part_that_crashes_endpoints_is_kept_from_the_others():
    async def scenario(harness):
        for origin in harness.origins:
            origin.crashing_parts = frozenset({"bad"})
        for number in range(20):
            parts = f"5a:20,bad:30,{number:04x}:5"
            await harness.send_request(PATH, headers=harness.headers(parts=parts))
        assert sum(origin.crashed.is_set() for origin in harness.origins) <= MAX_CRASHES
        assert len(harness.runs) <= MAX_CRASHES + MAX_LATE_RUNS
        for number in range(4):
            parts = f"5a:20,0b:30,{number + 64:04x}:5"
            response = await harness.send_request(PATH, headers=harness.headers(parts=parts))
            assert response.status == 200

    run_scenario(scenario, *ENDPOINTS)


@pytest.mark.parametrize("ending", ["broken_off", "unframed_empty"])
def test_each_way_to_end_before_an_event_counts_as_a_crash(ending):
    async def scenario(harness):
        for origin in harness.origins:
            origin.script = [ending]
        for number in range(20):
            parts = f"5a:20,bad:30,{number:04x}:5"
            await harness.send_request(PATH, headers=harness.headers(parts=parts))
        assert len(harness.runs) <= MAX_CRASHES

    run_scenario(scenario, *ENDPOINTS)


def test_a_queued_request_is_refused_when_its_part_is_quarantined():
    async def scenario(harness):
        harness.node.routes.services["engines"] = Service("engines", "", 0, Engine(8, 1000, 1))
        for endpoint in harness.node.directory.endpoints.values():
            endpoint.running = 8
        headers = harness.headers(parts="5a:20,bad:30,0b:5")
        task = await curio.spawn(harness.send_request, PATH, "POST", headers)
        queues = harness.router.forwarder.placer.queues
        await harness.until(lambda: any(queue.entries for queue in queues.values()))
        quarantine_a_part(harness.node)
        quarantined_at = time.monotonic()
        response = await task.join()
        assert (response.status, harness.runs) == (503, [])
        assert b'"kind":"quarantined"' in response.body
        assert time.monotonic() - quarantined_at < 0.3

    run_scenario(scenario, ("well",))
