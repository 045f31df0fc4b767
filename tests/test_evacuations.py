"""Which failure domains are evacuated, and how that spreads; the last tests use real routers."""

import dataclasses
import time

import curio
import pytest
from direct_harness import RESUMABLE, DirectHarness, configuration, entry, run_scenario
from test_direct_placement import PARTS, engine_request, plain_request, pool
from test_missed_removals import nothing
from test_peer_sync import NETWORK, Fleet, play

from hickorylever import platform
from hickorylever.direct import state_pulls
from hickorylever.direct.availability import retry_after, wait_until
from hickorylever.direct.evacuations import (
    MISSING_GRACE_SECONDS,
    Evacuations,
    EvacuationState,
    MissingEvacuation,
    OwnWatch,
    remaining_load_multiple,
)
from hickorylever.direct.placement import place
from hickorylever.direct.position import UNKNOWN, Position
from hickorylever.direct.records import Changes, Listing, StoredObject

NOW = 100.0
EVACUATION_SECONDS = 5.0
LONG = "x" * 254


def listed(position, *names, at=2):
    """Return a step that applies a list at (era, revision); `at` is the objects' revision."""
    objects = tuple(StoredObject(name, Position(position[0], at), b"{}") for name in names)
    listing = Listing(objects, Position(*position))
    return lambda evacuations, now: evacuations.apply_listing(listing, now)


def changed(position, **names):
    """Return a step that applies changes: True for an object that was created."""
    objects = [StoredObject(n, Position(*position), b"{}", not kept) for n, kept in names.items()]
    changes = Changes(tuple(objects), Position(*position))
    return lambda evacuations, now: evacuations.apply_changes(changes, now)


def told(latest, as_of, *names, **missing):
    """Return a step that applies what another router says, with the ages of missing objects."""
    lost = [MissingEvacuation(domain, age) for domain, age in missing.items()]
    state = EvacuationState(list(names), Position(*latest), Position(*as_of), lost)
    return lambda evacuations, now: evacuations.apply_state(state, now)


def after(seconds):
    """Return a step that lets time pass."""
    return lambda evacuations, now: evacuations.expire(now + seconds)


def run_steps(steps):
    rejected = []
    evacuations = Evacuations(platform.decode_evacuation, rejected.append)
    for step in steps:
        step(evacuations, NOW)
    return evacuations, rejected


CASES = {
    "none": ([listed((1, 5))], ""),
    "an unknown domain is kept": ([listed((1, 5), "nowhere")], "nowhere"),
    "two": ([listed((1, 5), "a"), changed((1, 6), b=True)], "ab"),
    "all": ([listed((1, 5), "a", "b", "c")], "abc"),
    "malformed names": ([listed((1, 5), "", "a b", "\n", LONG, "a")], "a"),
    "end": ([listed((1, 5), "a", "b"), changed((1, 6), a=False)], "b"),
    "end while not watching": ([listed((1, 5), "a"), listed((1, 9))], ""),
    "end and begin in one batch": (
        [listed((1, 5), "a"), changed((1, 7), a=False), changed((1, 8), a=True)],
        "a",
    ),
    "an outdated list": ([listed((1, 5), "a"), changed((1, 9), a=False), listed((1, 5), "a")], ""),
    "known changes again": (
        [listed((1, 5), "a"), told((1, 9), (1, 9), "a"), changed((1, 7), a=False)],
        "a",
    ),
    "changes before any list": ([changed((1, 7), a=True)], ""),
    "restore with the object": ([listed((1, 5), "a"), listed((2, 3), "a"), after(9)], "a"),
    "restore without the object": ([listed((1, 5), "a"), listed((2, 3)), after(1.9)], "a"),
    "restore without it, later": ([listed((1, 5), "a"), listed((2, 3)), after(2.1)], ""),
    "written again": (
        [listed((1, 5), "a"), listed((2, 3)), changed((2, 4), a=True), after(9)],
        "a",
    ),
    "deleted again": ([listed((1, 5), "a"), listed((2, 3), "a"), changed((2, 4), a=False)], ""),
    "listed again after the restore": (
        [listed((1, 5), "a"), listed((2, 3)), listed((2, 4))],
        "a",
    ),
    "the copy brings an ended one back": (
        [listed((1, 5), "a"), changed((1, 6), a=False), listed((2, 3), "a"), after(9)],
        "a",
    ),
    "the era before is ignored": (
        [listed((2, 3)), changed((1, 9), a=True), listed((1, 9), "a"), told((1, 9), (1, 9), "a")],
        "",
    ),
    "peers only": ([told((1, 5), (1, 5), "a")], "a"),
    "peers only, end": ([told((1, 5), (1, 5), "a"), told((1, 6), (1, 6))], ""),
    "peers only, restore": ([told((1, 5), (1, 5), "a"), told((2, 1), (2, 3)), after(1.9)], "a"),
    "a router that has missed the end": ([listed((1, 9)), told((1, 5), (1, 5), "a")], ""),
    "missing elsewhere": ([listed((2, 3)), told((2, 1), (2, 3), a=1.5), after(0.4)], "a"),
    "missing elsewhere, over": ([listed((2, 3)), told((2, 1), (2, 3), a=1.5), after(0.6)], ""),
    "ages that are no ages": ([listed((2, 3)), told((2, 1), (2, 3), a=-1.0, b=9.0)], ""),
    "malformed names elsewhere": ([told((1, 5), (1, 5), "", "a")], "a"),
}


@pytest.mark.parametrize("case", CASES)
def test_evacuated_domains(case):
    steps, expected = CASES[case]
    evacuations, rejected = run_steps(steps)
    assert evacuations.domains == (set(expected) if len(expected) < 4 else {expected})
    assert bool(rejected) == ("malformed" in case)


def test_every_prefix_of_a_restore_keeps_the_domain():
    """No step between the loss of the object and its rewriting may open the domain."""
    steps = [listed((1, 5), "a"), listed((2, 3)), told((2, 1), (2, 3)), changed((2, 4), a=True)]
    for count in range(1, len(steps) + 1):
        assert run_steps(steps[:count])[0].domains == {"a"}


@pytest.mark.parametrize(
    ("steps", "latest"),
    [
        ([], UNKNOWN),
        ([listed((1, 9))], Position(1, 1)),
        ([listed((1, 9), "a", at=4)], Position(1, 4)),
        ([listed((1, 9)), changed((1, 30))], Position(1, 1)),
        ([listed((1, 9), "a"), listed((1, 12))], Position(1, 12)),
        ([listed((1, 9)), told((1, 7), (1, 8))], Position(1, 7)),
        ([listed((1, 9)), told((1, 7), (1, 8), "a")], Position(1, 9)),
    ],
)
def test_announced_position(steps, latest):
    """It rises with changes only, as every rise makes all routers pull."""
    assert run_steps(steps)[0].latest == latest


def test_a_router_that_missed_the_end_learns_of_it():
    """All routers that saw the removal are gone; the stale one must not pull for ever."""
    stale = run_steps([listed((1, 5), "a", at=5)])[0]
    fresh = run_steps([listed((1, 9))])[0]
    fresh.apply_state(stale.state(NOW), NOW)
    assert fresh.latest > stale.latest
    stale.apply_state(fresh.state(NOW), NOW)
    assert stale.domains == fresh.domains == frozenset()
    assert stale.latest == fresh.latest


@pytest.mark.parametrize(
    ("watchers", "seconds", "needed"),
    [
        ([], 9.0, False),  # As at the start of all routers, or while the store is away.
        ([Position(1, 1)], 9.0, False),
        ([UNKNOWN, Position(1, 1)], 9.0, False),
        ([UNKNOWN], 1.0, False),
        ([UNKNOWN], 2.1, True),
    ],
)
def test_own_watch_among_routers_without_evacuations(watchers, seconds, needed):
    own_watch = OwnWatch(share=0.5)
    assert not own_watch.needed(watchers, 370, NOW)
    assert own_watch.needed(watchers, 370, NOW + seconds) is needed


def evacuate(endpoints, domains):
    for endpoint in endpoints:
        endpoint.evacuated = endpoint.entry.failure_domain in domains
    return endpoints


@pytest.mark.parametrize(
    ("evacuated", "total", "multiple"),
    [(0, 6, 2.0), (0, 0, 2.0), (2, 6, 4 / 3), (3, 6, 1.0), (5, 6, 1.0), (6, 6, 1.0)],
)
def test_load_multiple_of_the_endpoints_that_are_left(evacuated, total, multiple):
    """The bound holds for the mean of all endpoints of the service, evacuated ones included."""
    assert remaining_load_multiple(2.0, evacuated, total) == pytest.approx(multiple)


@pytest.mark.parametrize("count", [60, 600])
def test_load_bound_of_the_whole_service_while_a_domain_is_evacuated(count):
    endpoints = evacuate(pool(12), "a")
    multiple = remaining_load_multiple(2.0, 4, 12)
    for _ in range(count):
        place(endpoints, engine_request(load_multiple=multiple)).endpoint.add_request(0.0, NOW)
    assert max(endpoint.running for endpoint in endpoints) <= 2 * count / 12 + 3


@pytest.mark.parametrize("request_", [engine_request(), plain_request()])
@pytest.mark.parametrize(("domains", "left"), [("a", "bc"), ("ab", "c"), ("abc", "")])
def test_placement_avoids_evacuated_domains_and_spreads_over_the_others(request_, domains, left):
    endpoints = evacuate(pool(12), domains)
    for _ in range(60):
        if choice := place(endpoints, request_):
            choice.endpoint.add_request(0.0, NOW)
    assert {e.entry.failure_domain for e in endpoints if e.running} == set(left)
    used = [e.running for e in endpoints if not e.evacuated] or [0]
    assert max(used) <= 2 * sum(used) / len(used) + 3


@pytest.mark.parametrize(("domains", "copies"), [("", True), ("b", False), ("a", True)])
def test_copies_of_cached_parts_avoid_evacuated_sources(domains, copies):
    endpoints = evacuate(pool(2, "ab"), domains)
    holder = endpoints[1]
    holder.prompt_cache.add(PARTS, 0)
    avoid = frozenset([holder.name])
    if domains == "a":  # The other endpoint is evacuated: only the holder is left.
        assert place(endpoints, engine_request()).endpoint is holder
        assert place(endpoints, engine_request(avoid=avoid)) is None
        return
    choice = place(endpoints, engine_request(avoid=avoid))
    assert (choice.source is holder) is copies


@pytest.mark.parametrize(
    ("domains", "time_left", "seconds"),
    [("abc", 30.0, 2.0), ("abc", 3.0, 1.0), ("ab", 30.0, 1.0), ("", 30.0, 0.25)],
)
def test_retry_after_does_not_count_on_the_end_of_an_evacuation(domains, time_left, seconds):
    endpoints = evacuate(pool(3), domains)
    if domains:
        endpoints[2].defer(1.0, NOW)
    assert retry_after(endpoints, NOW, time_left) == pytest.approx(seconds)
    if domains == "abc":
        assert wait_until(endpoints, NOW, NOW, 9.0) is None


class Enabled:
    def settings(self):
        return dataclasses.replace(super().settings(), evacuation_time=EVACUATION_SECONDS)


class Evacuating(Enabled, DirectHarness):
    pass


class EvacuatingFleet(Enabled, Fleet):
    pass


def run_evacuating(scenario, *scripts, **more):
    async def main():
        async with curio.timeout_after(20.0), Evacuating(*scripts, **more) as harness:
            for n, (origin, port) in enumerate(zip(harness.origins, harness.ports, strict=True)):
                content = entry(port, zone="ab"[n % 2], version=harness.versions[n])
                await harness.store.put("servers", origin.name, content)
            await harness.until(lambda: zone_of(harness.node, "i-0") == "a")
            if len(scripts) > 1:
                await harness.until(lambda: zone_of(harness.node, "i-1") == "b")
            await scenario(harness)

    curio.run(main)


def zone_of(node, name):
    return node.directory.endpoints[name].entry.failure_domain


def domains_of(node):
    return set(node.directory.evacuated_domains)


async def put(harness, *domains):
    for domain in domains:
        await harness.store.put("evacuations", domain, {"ignored": [1]})
    await harness.until(lambda: domains_of(harness.node) >= set(domains))


WELL = ("well",)


def test_one_domain_then_all_then_none(caplog):
    async def scenario(harness):
        await put(harness, "b")
        for _ in range(6):
            assert (await harness.send_request("/safe/x")).status == 200
        assert not harness.origins[1].runs
        await put(harness, "a")
        started = time.monotonic()
        response = await harness.send_request("/safe/x", headers=harness.headers(deadline=1500))
        assert response.status == 503
        assert 0 < float(response.headers[b"retry-after"]) <= 1.5
        assert time.monotonic() - started < 0.3
        assert len(harness.runs) == 6
        await harness.store.remove("evacuations", "a")
        await harness.until(lambda: domains_of(harness.node) == {"b"})
        assert (await harness.send_request("/safe/x")).status == 200

    with caplog.at_level("INFO", logger="hickorylever"):
        run_evacuating(scenario, WELL, WELL)
    refused = [r.fields for r in caplog.records if getattr(r, "event", None) == 201]
    assert [fields["evacuated"] for fields in refused] == [["a", "b"]]
    changes = [
        (r.event, r.getMessage(), r.fields["endpoints"])
        for r in caplog.records
        if getattr(r, "event", None) in (424, 425)
    ]
    assert changes == [(424, "b", 1), (424, "a", 1), (425, "a", 1)]


def test_endpoints_that_appear_or_start_again_in_an_evacuated_domain():
    async def scenario(harness):
        await put(harness, "a", "b")
        await harness.store.put("servers", "new", entry(harness.ports[0], zone="a"))
        again = entry(harness.ports[0], zone="a", born=1700000000000)
        await harness.store.put("servers", "i-0", again)
        endpoints = harness.node.directory.endpoints
        await harness.until(lambda: "new" in endpoints and endpoints["i-0"].entry.started_ms)
        assert (await harness.send_request("/safe/x")).status == 503
        assert not harness.runs

    run_evacuating(scenario, WELL)


def test_streams_whose_version_is_evacuated_get_hope():
    """The version may come back, so the stream is not rejected for good."""

    async def scenario(harness):
        headers = harness.headers()
        first = await harness.send_request(RESUMABLE, headers=headers)
        version = harness.origins[0].version if harness.origins[0].runs else "v2"
        await put(harness, "a" if version == "v1" else "b")
        resumed = harness.headers(**{"last-event-id": "1", "resumes": headers[0][1].decode()})
        response = await harness.send_request(RESUMABLE, headers=resumed)
        assert first.status == 200
        assert response.status == 503
        assert b"retry-after" in response.headers
        assert b"gone" not in (response.body or b"")

    run_evacuating(scenario, WELL, WELL, versions=["v1", "v2"])


def test_the_domain_is_checked_just_before_a_request_is_sent(monkeypatch):
    """The evacuation begins while the connection is being opened."""

    async def scenario(harness):
        acquire = harness.node.client.acquire

        async def slow_acquire(*arguments, **more):
            channel = await acquire(*arguments, **more)
            harness.node.directory.set_evacuated(frozenset("a"))
            return channel

        monkeypatch.setattr(harness.node.client, "acquire", slow_acquire)
        assert (await harness.send_request("/unsafe/x")).status == 503
        assert not harness.runs

    run_evacuating(scenario, WELL)


def test_requests_in_flight_complete():
    async def scenario(harness):
        task = await curio.spawn(harness.send_request, RESUMABLE)
        await harness.until(lambda: harness.runs)
        await put(harness, "a")
        response = await task.join()
        assert response.status == 200
        assert response.body

    run_evacuating(scenario, WELL)


def test_a_router_without_the_setting_watches_nothing_new():
    async def scenario(harness):
        kinds = {watcher.kind for watcher in harness.node.store_watchers}
        await harness.store.put("evacuations", "a", {})
        await harness.store.put("config", "main", configuration(version=2))
        await harness.until(lambda: harness.node.routes.configuration.version == 2)
        assert kinds == {"config", "servers"}
        assert harness.node.known_state().evacuations == UNKNOWN
        assert (await harness.send_request("/safe/x")).status == 200

    run_scenario(scenario, WELL)


def test_a_router_is_not_ready_before_it_knows_the_evacuations(monkeypatch):
    async def scenario(harness):
        list_kind = platform.Store.list_kind
        released = curio.Event()

        async def slow_list(store, kind):
            if kind == "evacuations":
                await released.wait()
            return await list_kind(store, kind)

        monkeypatch.setattr(platform.Store, "list_kind", slow_list)
        await harness.store.put("evacuations", "a", {})
        starting = await curio.spawn(harness.start_router)
        await harness.until(lambda: hasattr(harness, "port") and harness.node.endpoints_listed)
        assert not harness.node.ready()
        assert (await harness.send_request("/public/x")).status == 503
        await released.set()
        await starting.join()
        assert domains_of(harness.node) == {"a"}
        assert not harness.runs

    async def main():
        async with curio.timeout_after(10.0), Evacuating(WELL, autostart=False) as harness:
            await scenario(harness)

    curio.run(main)


@pytest.mark.parametrize(("kind", "heard"), [("servers", True), ("evacuations", False)])
def test_answers_about_evacuations_do_not_tell_that_endpoints_are_current(kind, heard):
    """Otherwise a router that misses versions of endpoints would join streams wrongly."""

    async def scenario(harness):
        harness.node.peer_sync.peers.add_addresses(["10.0.0.9"], NOW)
        for watcher in harness.node.store_watchers:
            watcher.last_success_at = NOW if watcher.kind == kind else 0.0
        assert harness.node.resumption.in_contact(NOW) is heard

    run_evacuating(scenario, WELL)


def play_evacuating(scenario, count):
    play(scenario, count, EvacuatingFleet)


async def until_all(fleet, nodes, domains):
    await fleet.until(lambda: all(domains_of(node) == set(domains) for node in nodes))


def test_cut_and_started_routers_learn_from_others():
    async def scenario(fleet):
        cut = await fleet.start(7, seeds=[f"{NETWORK}.1"], store_port=1)
        await fleet.until(cut.ready)
        await fleet.store.put("evacuations", "a", {})
        await until_all(fleet, fleet.nodes, "a")
        started = await fleet.start(8, seeds=[f"{NETWORK}.1"], store_port=1)
        await fleet.until(started.ready)
        assert domains_of(started) == {"a"}
        await fleet.store.remove("evacuations", "a")
        await until_all(fleet, fleet.nodes, "")

    play_evacuating(scenario, 2)


def test_a_router_that_stood_still_learns_of_an_end_from_one_that_started(monkeypatch):
    """All that saw the end are gone, and a later evacuation is the latest change of both."""
    monkeypatch.setattr(state_pulls, "CONTRADICTION_SECONDS", 0.1, raising=False)

    async def scenario(fleet):
        still = await fleet.start(7, seeds=[f"{NETWORK}.1"], store_port=1)
        await fleet.until(still.ready)
        for domain in "ab":
            await fleet.store.put("evacuations", domain, {})
        await until_all(fleet, fleet.nodes, "ab")
        with monkeypatch.context() as stands_still:
            stands_still.setattr(still.peer_sync.pulls, "catch_up", nothing)
            await fleet.store.remove("evacuations", "a")
            await until_all(fleet, fleet.nodes[:1], "b")
            started = await fleet.start(8)
            await fleet.until(started.ready)
            monkeypatch.setattr(fleet.nodes[0].peer_sync, "send", nothing)
            for node in (still, started):
                node.peer_sync.peers.by_address.pop(f"{NETWORK}.1", None)
            still.peer_sync.peers.add_addresses([f"{NETWORK}.9"], time.monotonic())
        await until_all(fleet, (still, started), "b")

    play_evacuating(scenario, 1)


@pytest.mark.parametrize("present", [True, False])
def test_a_restore_at_routers_with_and_without_the_store(present):
    async def scenario(fleet):
        cut = await fleet.start(7, seeds=[f"{NETWORK}.1"], store_port=1)
        await fleet.until(cut.ready)
        copy = fleet.store.copy()
        await fleet.store.put("evacuations", "a", {})
        await until_all(fleet, fleet.nodes, "a")
        if present:
            copy = fleet.store.copy()
        await fleet.store.restore(copy)
        await fleet.until(lambda: all(n.evacuations.latest.era == 2 for n in fleet.nodes))
        await until_all(fleet, fleet.nodes, "a")
        started = await fleet.start(8, seeds=[f"{NETWORK}.1"])
        await fleet.until(started.ready)
        lost = not present
        await curio.sleep(MISSING_GRACE_SECONDS + 0.5 if lost else 0.3)
        await until_all(fleet, fleet.nodes, "" if lost else "a")

    play_evacuating(scenario, 2)


def test_a_router_among_ones_without_the_setting_becomes_ready(monkeypatch):
    """During an update, the routers that watch the store may not know of evacuations yet."""
    monkeypatch.setattr("hickorylever.direct.evacuations.OWN_WATCH_SECONDS", 0.1)
    monkeypatch.setattr("hickorylever.direct.peer_table.WATCHING_ROUTERS", 2)

    async def scenario(fleet):
        await fleet.store.put("evacuations", "a", {})
        fleet.__class__ = EvacuatingFleet
        updated = await fleet.start(7, seeds=[f"{NETWORK}.1"])
        await fleet.until(updated.ready)
        assert domains_of(updated) == {"a"}
        assert domains_of(fleet.nodes[0]) == set()

    play(scenario, 3)
