"""Routers that were cut off or stood still while endpoints of a new version joined."""

import time

import curio
import pytest
from direct_harness import BREAKS, WELL, entry, versions_in
from stream_fleet import StreamFleet, assert_rejected, kind, play
from test_peer_sync import play as play_fleet

from hickorylever.direct import registration, versions
from hickorylever.direct.clocks import STALL_SECONDS, StallDetector
from hickorylever.exceptions import PlatformError

V2_BREAKS = 0


async def release(fleet, seconds):
    """Let an endpoint of a new version join, and wait until streams begin there."""
    fleet.origins[V2_BREAKS].version = "v2"
    content = entry(fleet.ports[V2_BREAKS], version="v2", born=2)
    await fleet.store.put("servers", f"i-{V2_BREAKS}", content)
    await curio.sleep(seconds)


async def begin_at_new_version(fleet, node):
    """Let the new endpoint begin a stream and break it off."""
    fleet.steer(node, V2_BREAKS)
    first = await fleet.send(node)
    assert versions_in(first) == ["v2"] * 2
    return first


def believe_in_contact(node):
    """Read old messages as a router does that stood still: they seem to be new."""
    now = time.monotonic()
    for peer in node.peer_sync.peers.by_address.values():
        peer.last_heard = now
    for watcher in node.store_watchers:
        watcher.last_success_at = now


def stand_still(node):
    """Let a router find that it did not run for a while."""
    node.peer_sync.stalls.ticked_at -= 2 * STALL_SECONDS


async def fail(kind):
    raise PlatformError("the store does not answer this router")


def play_release(scenario, count):
    play(scenario, count, scripts=(BREAKS, WELL, WELL), names=("v1",) * 3)


@pytest.mark.parametrize("store", ["reached", "not reached"])
@pytest.mark.parametrize("count", [2, 4])
def test_a_router_that_stood_still_joins_no_streams(store, count):
    """It reads old datagrams and answers of the store first, and believes to be up to date."""

    async def scenario(fleet):
        still, node = fleet.nodes[0], fleet.nodes[-1]
        fleet.cut_off(still)
        await release(fleet, versions.SETTLE_SECONDS + 0.2)
        first = await begin_at_new_version(fleet, node)
        believe_in_contact(still)
        stand_still(still)
        if store == "not reached":
            still.store.list_kind = fail
        assert_rejected(fleet, await fleet.resume(still, first))

    play_release(scenario, count)


def test_a_router_whose_watch_is_silent_joins_no_streams():
    """It hears of the configuration from the store, but neither of endpoints nor other routers."""

    async def scenario(fleet):
        cut, node = fleet.nodes
        fleet.cut_off(cut)
        await release(fleet, versions.SETTLE_SECONDS + 0.2)
        first = await begin_at_new_version(fleet, node)
        for watcher in cut.store_watchers:
            known = watcher.kind == cut.codec.CONFIGURATION[0]
            watcher.last_success_at = time.monotonic() if known else 0.0
        for peer in cut.peer_sync.peers.by_address.values():
            peer.last_heard = 0.001
        cut.store.list_kind = fail
        assert_rejected(fleet, await fleet.resume(cut, first))

    play_release(scenario, 2)


def test_a_router_that_stood_still_goes_on_with_streams_of_the_only_version():
    """Rejecting all that it does not know would lose the streams of a router that has ended."""

    async def scenario(fleet):
        still, node = fleet.nodes
        await fleet.until(lambda: any(name.startswith("version-") for _, name in fleet.objects()))
        first = await fleet.begin(node)
        await fleet.end(node)
        stand_still(still)
        rest = await fleet.resume(still, first)
        assert versions_in(first, rest) == ["v1"] * 6

    class ListingFleet(StreamFleet):
        def objects(self):
            return self.store.objects

    play_fleet(scenario, 2, ListingFleet, scripts=(BREAKS, WELL, WELL), names=("v1",) * 3)


def test_many_streams_that_are_taken_up_cost_one_call_of_the_store():
    """Each call has a price, and a store that does not answer must not be waited for in turn."""

    async def scenario(fleet):
        still, node = fleet.nodes
        first = await fleet.begin(node)
        await fleet.end(node)
        calls = []
        list_kind = still.store.list_kind

        async def count_calls(kind):
            calls.append(kind)
            return await list_kind(kind)

        still.store.list_kind = count_calls
        tasks = [await curio.spawn(fleet.resume, still, first) for _ in range(20)]
        for task in tasks:
            assert (await task.join()).status == 200
        assert len(calls) == 1

    play_release(scenario, 2)


def test_a_store_that_does_not_answer_is_waited_for_once():
    async def scenario(fleet):
        still, node = fleet.nodes
        first = await fleet.begin(node)
        await fleet.end(node)
        await fleet.until(lambda: not still.peer_sync.registration.is_confirmed())

        async def hang(kind):
            await curio.Event().wait()

        still.store.list_kind = hang
        stand_still(still)
        started = time.monotonic()
        tasks = [await curio.spawn(fleet.resume, still, first) for _ in range(20)]
        assert {kind(await task.join()) for task in tasks} == {"stream_unknown"}
        assert time.monotonic() - started < 2 * registration.CONFIRMATION_TIMEOUT_SECONDS + 0.3

    play_release(scenario, 2)


@pytest.mark.parametrize(
    ("ticks", "at", "stalled"),
    [
        ([0.0, 0.5, 1.0], 1.5, False),
        ([0.0, 3.0], 3.1, True),
        ([0.0, 3.0, 3.5, 4.0, 4.5, 5.0, 5.5], 5.6, False),
        ([0.0], 3.0, True),
    ],
)
def test_a_stall_is_found_by_the_time_between_two_ticks(ticks, at, stalled):
    detector = StallDetector(0.0)
    for tick in ticks:
        detector.tick(tick)
    assert detector.stalled_within(2.0, at) is stalled
