"""Endpoints that name the rate of requests that they take from all routers together."""

import time

from direct_harness import run_scenario

LIMIT_PER_SECOND = 4.0
SECONDS = 3.0
ALLOWED_EXCESS = 5


def test_an_endpoint_gets_no_more_requests_than_the_limit_that_it_names():
    async def scenario(harness):
        limited = harness.origins[0]
        limited.limit = LIMIT_PER_SECOND
        started_at = time.monotonic()
        while time.monotonic() < started_at + SECONDS:
            response = await harness.send_request("/safe/x")
            assert response.status == 200
        allowed = 1.5 * LIMIT_PER_SECOND * SECONDS + ALLOWED_EXCESS
        assert LIMIT_PER_SECOND * SECONDS / 2 <= len(limited.runs) <= allowed

    run_scenario(scenario, ("well",), ("well",))


def test_a_limit_holds_for_as_long_as_the_endpoint_names_it():
    async def scenario(harness):
        (origin,) = harness.origins
        origin.limit = LIMIT_PER_SECOND
        assert (await harness.send_request("/safe/x")).status == 200
        endpoint = harness.node.directory.endpoints["i-0"]
        assert endpoint.rate_limit.rate == LIMIT_PER_SECOND
        origin.limit = LIMIT_PER_SECOND / 2
        assert (await harness.send_request("/safe/x")).status == 200
        assert endpoint.rate_limit.rate == LIMIT_PER_SECOND / 2
        origin.limit = None
        assert (await harness.send_request("/safe/x")).status == 200
        assert endpoint.rate_limit is None

    run_scenario(scenario, ("well",))


def test_requests_beyond_all_limits_are_refused_and_not_run():
    async def scenario(harness):
        for origin in harness.origins:
            origin.limit = 0.0
        for _ in range(8):
            headers = harness.headers(deadline=600)
            response = await harness.send_request("/safe/x", headers=headers)
        assert response.status == 503
        assert b'"kind":"overloaded"' in response.body
        assert len(harness.runs) <= 2 * len(harness.origins)

    run_scenario(scenario, ("well",), ("well",))
