"""What counts as a statement that a request has not run."""

import pytest
from direct_harness import RESUMABLE, run_scenario

PROMISES = (408, 421, 429, 503)
ONCE = ("/unsafe/x", "/stream/stream/x")
REPEATABLE = ("/safe/x", RESUMABLE)
RAN = ("ran_408", "ran_421", "ran_429", "contradictory", "busy")
REJECTED = ("shed", "defer", "other_server")


@pytest.mark.parametrize("behaviour", RAN)
@pytest.mark.parametrize("path", ONCE)
def test_no_promise_and_no_retry_after_an_answer_that_states_none(path, behaviour):
    """A request that had run was refused with 408, 421 or 429, or ran at a second endpoint."""

    async def scenario(harness):
        response = await harness.send_request(path)
        assert response.status not in PROMISES
        assert len(harness.runs) == 1

    run_scenario(scenario, *[(behaviour, "well")] * 2)


@pytest.mark.parametrize("behaviour", RAN)
@pytest.mark.parametrize("path", REPEATABLE)
def test_a_repeatable_request_is_retried_after_such_an_answer(path, behaviour):
    """Its caller got 408 or 429 of one endpoint although another could serve it."""

    async def scenario(harness):
        script = [behaviour, "well"]
        for origin in harness.origins:
            origin.script = script
        response = await harness.send_request(path)
        assert response.status == 200
        assert len(harness.runs) == 2

    run_scenario(scenario, ("well",), ("well",))


@pytest.mark.parametrize("behaviour", REJECTED)
@pytest.mark.parametrize("path", ONCE + REPEATABLE)
def test_a_rejection_is_retried_elsewhere(path, behaviour):
    """A stricter reading must not lose requests that can still be served."""

    async def scenario(harness):
        response = await harness.send_request(path)
        assert response.status == 200
        assert len(harness.runs) == 1

    run_scenario(scenario, (behaviour,), ("well",))


@pytest.mark.parametrize("path", ONCE)
def test_a_late_copy_is_no_rejection_of_a_request_without_an_id(path):
    """Such a request matched every rejection that named none, on any connection."""

    async def scenario(harness):
        (origin,) = harness.origins
        headers = [(name, value) for name, value in harness.headers() if b"attempt" not in name]
        assert (await harness.send_request(path)).status == 503
        response = await harness.send_request(path, headers=headers)
        assert response.status not in PROMISES
        assert len(origin.runs) == 1

    run_scenario(scenario, ("shed_unnamed_twice", "late"))
