import pytest

from hickorylever.direct.sse import Events
from hickorylever.exceptions import InconsistentResponse


def event(number, end="\n\n"):
    return f"id: {number}\ndata: x{end}".encode()


@pytest.mark.parametrize(
    ("pieces", "last", "found", "partial"),
    [
        ([event(1), event(2)], None, 2, False),
        ([event(1) + event(2)], None, 2, False),
        ([event(1)[:5], event(1)[5:]], None, 1, False),
        ([event(1), event(2)[:5]], None, 1, True),
        ([event(1, "\r\n\r\n"), event(2, "\r\n\r\n")], None, 2, False),
        ([event(1), event(2), event(3)], "2", 1, False),
        ([b"data: x\n\n"], None, 1, False),
        ([b": comment\n\n"], "7", 1, False),
        ([event(12)], None, 1, False),
        ([event(8)], "7", 1, False),
    ],
)
def test_whole_events_come_out_once(pieces, last, found, partial):
    events = Events(last)
    out = [entry for piece in pieces for entry in events.feed(piece)]
    assert len(out) == found
    assert events.partial is partial


def test_every_split_gives_the_same_events():
    data = event(1) + event(2, "\r\n\r\n") + event(3)
    for cut in range(len(data)):
        events = Events()
        out = events.feed(data[:cut]) + events.feed(data[cut:])
        assert b"".join(out) == data


def test_a_missing_event_breaks_the_stream():
    events = Events()
    events.feed(event(1))
    with pytest.raises(InconsistentResponse):
        events.feed(event(3))
