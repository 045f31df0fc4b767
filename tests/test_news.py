import msgspec
import pytest

from hickorylever.direct import news
from hickorylever.direct.news import Datagram, HeldNews, LoadNews, Outbox, Peers, decode, encode


def test_datagrams_keep_their_content():
    datagram = Datagram(7, 3, 4, loads=[LoadNews(1, 2, 3)], held=[HeldNews(1, "ab", 9)])
    assert decode(encode(datagram)) == datagram


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x90", b"garbage" * 9, b"\x91\xa1x"])
def test_malformed_datagrams_are_told_apart(data):
    with pytest.raises(msgspec.DecodeError):
        decode(data)


def test_only_changes_are_told():
    outbox = Outbox()
    outbox.note_load("i-0", 1, 500.0)
    outbox.note_held("i-0", "ab", 300, 0.0)
    loads, held, _ = outbox.take(0.0)
    assert (len(loads), len(held)) == (1, 1)
    outbox.note_load("i-0", 1, 500.0)
    outbox.note_held("i-0", "ab", 300, 1.0)
    assert outbox.take(1.0) == ([], [], [])
    outbox.note_load("i-0", 0, 0.0)
    outbox.note_held("i-0", "ab", 300, news.REPEAT_AFTER)
    loads, held, _ = outbox.take(news.REPEAT_AFTER)
    assert (len(loads), len(held)) == (1, 1)


def test_a_datagram_fits_a_packet():
    outbox = Outbox()
    for number in range(500):
        outbox.note_load(f"i-{number}", 60, 123456.0)
        outbox.note_held(f"i-{number}", "0123456789ab", 10000, 0.0)
    loads, held, _ = outbox.take(0.0)
    assert len(encode(Datagram(2**41, loads=loads, held=held))) < 1400
    assert outbox.due(1.0, 0.04)


@pytest.mark.parametrize(
    ("waiting", "after", "due"),
    [(False, 0.5, False), (False, news.HEARTBEAT, True), (True, 0.01, False), (True, 0.05, True)],
)
def test_when_a_datagram_is_due(waiting, after, due):
    outbox = Outbox()
    outbox.take(10.0)
    if waiting:
        outbox.note_crash(1, "i-0")
    assert outbox.due(10.0 + after, 0.04) is due


def test_routers_come_and_go():
    peers = Peers("10.0.0.1")
    peers.learn(["10.0.0.1", "10.0.0.2", "10.0.0.3"], 0.0)
    assert [peer.address for peer in peers.away(2.0)] == ["10.0.0.2", "10.0.0.3"]
    assert peers.away(2.1) == []
    peers.heard("10.0.0.2", Datagram(1), 2.5)
    assert [peer.address for peer in peers.alive(3.0)] == ["10.0.0.2"]
    assert peers.alive(2.5 + news.ALIVE_TIME + 0.1) == []
    assert peers.heard("10.0.0.2", Datagram(1, leaving=True), 9.0) is None
    peers.away(news.FORGET_TIME + 1.0)
    assert peers.table == {}


def follower(rank, following=True):
    return Datagram(1, rank=rank, following=following)


@pytest.mark.parametrize(
    ("following", "rank", "after", "follows"),
    [
        ((), 0, 0.0, True),
        (range(news.FOLLOWERS - 1), 100, 0.0, True),
        (range(news.FOLLOWERS), 100, 60.0, False),
        (range(1, 20), 0, 0.0, True),
        (range(19), 100, 60.0, False),
    ],
)
def test_few_routers_follow_the_store(following, rank, after, follows):
    peers = Peers("10.0.0.200")
    for number in following:
        peers.heard(f"10.0.0.{number}", follower(number), 10.0)
    assert peers.must_follow(rank, 10.0) is follows
    for number in following:
        peers.heard(f"10.0.0.{number}", follower(number), 10.0 + after)
    assert peers.must_follow(rank, 10.0 + after) is follows


def test_others_take_the_place_of_followers_one_after_the_other():
    """When watching routers fail, a whole fleet must not list the store at once."""
    count, lost, lag = 28, 5, 4
    fleet = [Peers(f"10.0.0.{number}") for number in range(count)]
    history = [[number < news.FOLLOWERS for number in range(count)]]
    started = set()
    for step in range(80):
        now = 10.0 + step * 0.05
        told = history[max(0, step - lag)]
        following = []
        for rank, peers in enumerate(fleet):
            for other in range(count):
                if other != rank:
                    peers.heard(f"10.0.0.{other}", follower(other, told[other]), now)
            able = rank >= lost or step < 20
            following.append(able and peers.must_follow(rank, now))
        started |= {rank for rank in range(count) if following[rank]}
        history.append(following)
    expected = set(range(lost, lost + news.FOLLOWERS))
    assert {rank for rank in range(count) if following[rank]} == expected
    assert len(started) <= news.FOLLOWERS + lost + lag


def test_a_router_that_went_silent_is_soon_replaced():
    peers = Peers("10.0.0.200")
    for number in range(news.FOLLOWERS):
        peers.heard(f"10.0.0.{number}", follower(number), 10.0)
    assert not peers.must_follow(100, 10.0 + news.FOLLOWING_TIME)
    assert not peers.must_follow(100, 10.1 + news.FOLLOWING_TIME)
    assert peers.must_follow(100, 10.2 + news.FOLLOWING_TIME)


@pytest.mark.parametrize(
    ("seeds", "configuration", "after", "follows"),
    [
        ((), 0, 0.0, True),
        (("10.0.0.2",), None, 0.0, False),
        (("10.0.0.2",), None, news.HELLO_WAIT, True),
        (("10.0.0.2",), 0, news.HELLO_WAIT, True),
        (("10.0.0.2",), 7, news.HELLO_WAIT, False),
        (("10.0.0.2",), 7, news.PULL_WAIT, True),
    ],
)
def test_a_starting_router_asks_the_others_first(seeds, configuration, after, follows):
    peers = Peers("10.0.0.1", began=10.0)
    peers.learn(seeds, 10.0)
    for address in seeds if configuration is not None else ():
        peers.heard(address, Datagram(1, configuration), 10.0)
    now = 10.0 + after
    assert peers.must_follow(0, now, empty=True) is follows
    assert peers.must_follow(0, now, empty=False)
