import msgspec
import pytest

from hickorylever.direct import outbox as outbox_module
from hickorylever.direct import peer_table
from hickorylever.direct.account_shares import MAX_ADMITTED_UPDATES
from hickorylever.direct.hashes import name_hash
from hickorylever.direct.outbox import Outbox
from hickorylever.direct.peer_protocol import (
    AdmittedUpdate,
    CachedPartUpdate,
    Datagram,
    LeavingUpdate,
    LoadUpdate,
    decode,
    encode,
)
from hickorylever.direct.peer_table import PeerTable
from hickorylever.direct.position import KnownState, Position


def test_datagrams_keep_their_content():
    datagram = Datagram(
        7,
        KnownState(Position(1, 3), 8, Position(1, 4)),
        loads=[LoadUpdate(1, 2, 3)],
        cached_parts=[CachedPartUpdate(1, "ab", 9)],
        leaving_endpoints=[LeavingUpdate(5, 6)],
    )
    assert decode(encode(datagram)) == datagram


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x90", b"garbage" * 9, b"\x91\xa1x"])
def test_malformed_datagrams_are_rejected(data):
    with pytest.raises(msgspec.DecodeError):
        decode(data)


def test_only_changes_are_sent():
    outbox = Outbox()
    outbox.queue_load("i-0", 1, 500.0)
    outbox.queue_cached_part("i-0", "ab", 300, 0.0)
    updates = outbox.take(0.0)
    assert (len(updates["loads"]), len(updates["cached_parts"])) == (1, 1)
    outbox.queue_load("i-0", 1, 500.0)
    outbox.queue_cached_part("i-0", "ab", 300, 1.0)
    assert not any(outbox.take(1.0).values())
    outbox.queue_load("i-0", 0, 0.0)
    outbox.queue_cached_part("i-0", "ab", 300, outbox_module.CACHED_PART_REPEAT_SECONDS)
    updates = outbox.take(outbox_module.CACHED_PART_REPEAT_SECONDS)
    assert (len(updates["loads"]), len(updates["cached_parts"])) == (1, 1)


def test_a_datagram_fits_a_packet():
    outbox = Outbox()
    for number in range(500):
        outbox.queue_load(f"i-{number}", 60, 123456.0)
        outbox.queue_cached_part(f"i-{number}", "0123456789ab", 10000, 0.0)
        outbox.queue_leaving(LeavingUpdate(name_hash(f"i-{number}"), 2**41))
    latest = Position(100, 2**31)
    known = KnownState(latest, 0, latest, latest, 2**32 - 1, 2**32 - 1)
    admitted = [AdmittedUpdate(2**32 - 1, 10**9)] * MAX_ADMITTED_UPDATES
    datagram = Datagram(2**41, known, **outbox.take(0.0), admitted=admitted)
    assert len(encode(datagram)) < 1400
    assert outbox.due(1.0, 0.04)


@pytest.mark.parametrize(
    ("waiting", "after", "due"),
    [
        (False, 0.5, False),
        (False, outbox_module.HEARTBEAT_SECONDS, True),
        (True, 0.01, False),
        (True, 0.05, True),
    ],
)
def test_when_a_datagram_is_due(waiting, after, due):
    outbox = Outbox()
    outbox.take(10.0)
    if waiting:
        outbox.queue_leaving(LeavingUpdate(1, 2))
    assert outbox.due(10.0 + after, 0.04) is due


def test_routers_are_probed_and_expire():
    peers = PeerTable("10.0.0.1")
    peers.add_addresses(["10.0.0.1", "10.0.0.2", "10.0.0.3"], 0.0)
    assert [peer.address for peer in peers.take_due_probes(2.0)] == ["10.0.0.2", "10.0.0.3"]
    assert peers.take_due_probes(2.1) == []
    peers.record("10.0.0.2", Datagram(1), 2.5)
    assert [peer.address for peer in peers.alive(3.0)] == ["10.0.0.2"]
    assert peers.alive(2.5 + peer_table.ALIVE_TIMEOUT_SECONDS + 0.1) == []
    assert peers.record("10.0.0.2", Datagram(1, leaving=True), 9.0) is None
    peers.take_due_probes(peer_table.PEER_LIFETIME_SECONDS + 1.0)
    assert peers.by_address == {}


def watcher_datagram(rank, watching=True):
    return Datagram(1, rank=rank, watching=watching)


@pytest.mark.parametrize(
    ("watching", "rank", "after", "watches"),
    [
        ((), 0, 0.0, True),
        (range(peer_table.WATCHING_ROUTERS - 1), 100, 0.0, True),
        (range(peer_table.WATCHING_ROUTERS), 100, 60.0, False),
        (range(1, 20), 0, 0.0, True),
        (range(19), 100, 60.0, False),
    ],
)
def test_few_routers_watch_the_store(watching, rank, after, watches):
    peers = PeerTable("10.0.0.200")
    for number in watching:
        peers.record(f"10.0.0.{number}", watcher_datagram(number), 10.0)
    assert peers.should_watch(rank, 10.0) is watches
    for number in watching:
        peers.record(f"10.0.0.{number}", watcher_datagram(number), 10.0 + after)
    assert peers.should_watch(rank, 10.0 + after) is watches


def test_failed_watchers_are_replaced_one_after_another():
    """When watching routers fail, a whole fleet must not list the store at once."""
    count, lost, lag = 28, 5, 4
    fleet = [PeerTable(f"10.0.0.{number}") for number in range(count)]
    history = [[number < peer_table.WATCHING_ROUTERS for number in range(count)]]
    started = set()
    for step in range(80):
        now = 10.0 + step * 0.05
        reported = history[max(0, step - lag)]
        watching = []
        for rank, peers in enumerate(fleet):
            for other in range(count):
                if other != rank:
                    peers.record(f"10.0.0.{other}", watcher_datagram(other, reported[other]), now)
            able = rank >= lost or step < 20
            watching.append(able and peers.should_watch(rank, now))
        started |= {rank for rank in range(count) if watching[rank]}
        history.append(watching)
    expected = set(range(lost, lost + peer_table.WATCHING_ROUTERS))
    assert {rank for rank in range(count) if watching[rank]} == expected
    assert len(started) <= peer_table.WATCHING_ROUTERS + lost + lag


def test_a_watcher_that_sends_nothing_is_replaced():
    peers = PeerTable("10.0.0.200")
    for number in range(peer_table.WATCHING_ROUTERS):
        peers.record(f"10.0.0.{number}", watcher_datagram(number), 10.0)
    assert not peers.should_watch(100, 10.0 + peer_table.WATCHING_LIFETIME_SECONDS)
    assert not peers.should_watch(100, 10.1 + peer_table.WATCHING_LIFETIME_SECONDS)
    assert peers.should_watch(100, 10.2 + peer_table.WATCHING_LIFETIME_SECONDS)


@pytest.mark.parametrize(
    ("seeds", "configuration", "after", "watches"),
    [
        ((), 0, 0.0, True),
        (("10.0.0.2",), None, 0.0, False),
        (("10.0.0.2",), None, peer_table.BOOTSTRAP_PROBE_SECONDS, True),
        (("10.0.0.2",), 0, peer_table.BOOTSTRAP_PROBE_SECONDS, True),
        (("10.0.0.2",), 7, peer_table.BOOTSTRAP_PROBE_SECONDS, False),
        (("10.0.0.2",), 7, peer_table.BOOTSTRAP_PULL_SECONDS, True),
    ],
)
def test_a_starting_router_asks_other_routers_before_the_store(
    seeds, configuration, after, watches
):
    peers = PeerTable("10.0.0.1", started_at=10.0)
    peers.add_addresses(seeds, 10.0)
    for address in seeds if configuration is not None else ():
        peers.record(
            address, Datagram(1, KnownState(Position(0, configuration), configuration)), 10.0
        )
    now = 10.0 + after
    assert peers.should_watch(0, now, empty=True) is watches
    assert peers.should_watch(0, now, empty=False)
