"""Routers that stood still while an endpoint was removed, and who tells them."""

import time

import pytest
from test_peer_sync import NETWORK, play

from hickorylever.direct import directory, state_pulls

STARTED = 8


async def nothing(*arguments):
    """Stand in for what a router that stands still doesn't do."""


@pytest.mark.parametrize("knows_from", ["another router", "the store"])
def test_a_router_that_stood_still_learns_of_a_removal_from_one_that_started(
    knows_from, monkeypatch
):
    """Review, case 9: it asked one that claimed to know the change but had no log of it."""

    monkeypatch.setattr(directory, "MISSING_GRACE_SECONDS", 0.2)
    monkeypatch.setattr(state_pulls, "CONTRADICTION_SECONDS", 0.1, raising=False)

    async def scenario(fleet):
        (watching,) = fleet.nodes
        still = await fleet.start(7, seeds=[f"{NETWORK}.1"], store_port=1)
        await fleet.until(still.ready)
        with monkeypatch.context() as stands_still:
            stands_still.setattr(still.peer_sync.pulls, "catch_up", nothing)
            await fleet.store.remove("servers", "i-0")
            await fleet.until(lambda: "i-0" not in watching.directory.endpoints)
            sources = {
                "another router": {"seeds": [f"{NETWORK}.1"], "store_port": 1},
                "the store": {},
            }
            started = await fleet.start(STARTED, **sources[knows_from])
            await fleet.until(started.ready)
            assert "i-0" in still.directory.endpoints
            # The one that saw the removal ends.
            monkeypatch.setattr(watching.peer_sync, "send", nothing)
            monkeypatch.setattr(watching.peer_sync, "receive", nothing)
            for node in (still, started):
                node.peer_sync.peers.by_address.pop(f"{NETWORK}.1", None)
            still.peer_sync.peers.add_addresses([f"{NETWORK}.{STARTED + 1}"], time.monotonic())
        await fleet.until(lambda: "i-0" not in still.directory.endpoints)
        assert "i-1" in still.directory.endpoints

    play(scenario, 1)
