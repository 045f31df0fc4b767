"""Streams go on only at endpoints whose software version began them."""

import pytest
from direct_harness import (
    BREAKS,
    RESUMABLE,
    WELL,
    configuration,
    entry,
    route,
    run_scenario,
    versions_in,
)


@pytest.mark.parametrize(
    ("versions", "whole"),
    [
        (["v1", "v1.1", "v1"], True),
        (["v1", "v1.1", "v1.2", "v1"], True),
        (["v1", "v1.1", "v1.2", "v1.3", "v1"], True),
        (["v1", "v1.1", "v1.1"], False),
    ],
)
def test_router_does_not_join_events_of_two_versions_in_one_answer(versions, whole):
    """Other versions are idle, and closer to the router's choice than the busy one that began."""

    async def scenario(harness):
        for endpoint in harness.node.directory.endpoints.values():
            began = endpoint.entry.version == "v1"
            endpoint.running += 3 * began * (endpoint.name != "i-0")
            endpoint.running += 2 * (not began)
        response = await harness.send_request(RESUMABLE)
        assert response.status == 200
        assert set(versions_in(response)) == {"v1"}
        assert len(versions_in(response)) == (6 if whole else 2)
        assert (response.body is not None) is whole

    scripts = [BREAKS, *[WELL] * (len(versions) - 1)]
    run_scenario(scenario, *scripts, versions=versions)


@pytest.mark.parametrize(
    ("versions", "whole"), [(["v1", "v1.1", "v1"], True), (["v1", "v1.1"], False)]
)
def test_caller_does_not_get_events_of_two_versions_when_it_resumes(versions, whole):
    async def scenario(harness):
        for name, endpoint in harness.node.directory.endpoints.items():
            endpoint.running += 0 if name == "i-0" else 2 if name == "i-1" else 3
        harness.node.budget.allowance = 0.0  # The router itself may not retry.
        first_headers = harness.headers()
        first = await harness.send_request(RESUMABLE, headers=first_headers)
        assert (versions_in(first), first.body) == (["v1"] * 2, None)
        await harness.store.remove("servers", "i-0")
        await harness.until(lambda: "i-0" not in harness.node.directory.endpoints)
        first_id = dict(first_headers)[b"hickorylever-attempt-id"].decode()
        headers = harness.headers(**{"last-event-id": "2", "resumes": first_id})
        rest = await harness.send_request(RESUMABLE, headers=headers)
        assert set(versions_in(first, rest)) == {"v1"}
        if whole:
            assert rest.body is not None
        else:
            assert rest.status == 503
            assert len(harness.runs) == 1

    scripts = [BREAKS, *[WELL] * (len(versions) - 1)]
    run_scenario(scenario, *scripts, versions=versions)


def split_configuration():
    """A configuration whose resumable route leads to two services."""
    backends = [{"service": "engines", "weight": 1}, {"service": "others", "weight": 1}]
    split = route("resumable/stream", "streaming", None, resumable=True, backends=backends)
    return configuration(version=2, routes=[split])


def test_caller_goes_on_at_the_service_that_began_its_stream():
    async def scenario(harness):
        for number in (2, 3):
            content = entry(harness.ports[number], service="others", version="v1", born=2)
            await harness.store.put("servers", f"i-{number}", content)
        await harness.store.put("config", "main", split_configuration())
        await harness.until(lambda: harness.node.configuration_state.version == 2)
        await harness.until(lambda: len(harness.node.directory.pool("others")) == 2)
        harness.node.rng.seed(1)  # Eight random choices may all fall on one service.
        for _ in range(8):
            headers = harness.headers()
            first = await harness.send_request(RESUMABLE, headers=headers)
            first_id = dict(headers)[b"hickorylever-attempt-id"].decode()
            fields = {"last-event-id": str(len(versions_in(first))), "resumes": first_id}
            await harness.send_request(RESUMABLE, headers=harness.headers(**fields))
        served = [
            (origin.name, run.request_id) for origin in harness.origins for run in origin.runs
        ]
        services = {request: name in ("i-0", "i-1") for name, request in served}
        assert [services[f"{2 * n + 1:016x}"] for n in range(8)] == [
            services[f"{2 * n + 2:016x}"] for n in range(8)
        ]
        assert len(set(services.values())) == 2

    run_scenario(scenario, WELL, WELL, WELL, WELL, versions=["v1"] * 4)


def test_versions_of_another_service_do_not_matter():
    async def scenario(harness):
        for number in (1, 2):
            content = entry(harness.ports[number], service="others", version=f"v{number}", born=2)
            await harness.store.put("servers", f"i-{number}", content)
        await harness.until(lambda: len(harness.node.directory.pool("others")) == 2)
        headers = harness.headers(**{"last-event-id": "2", "resumes": "unknown"})
        response = await harness.send_request(RESUMABLE, headers=headers)
        assert response.status == 200
        resumption = harness.node.resumption
        assert resumption.only_version("engines") == "v1"
        assert resumption.only_version("others") is None

    run_scenario(scenario, WELL, WELL, WELL, versions=["v1"] * 3)
