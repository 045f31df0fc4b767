import json
import logging
import os

import pytest

from hickorylever.events import FAILURE_RATE_FACTOR, Event, JSONFormatter, RateLimitedHandler

RATE = 5


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


class Clock:
    now = 10.0

    def __call__(self):
        return self.now


def make_handler(writer, clock):
    handler = RateLimitedHandler(writer, RATE, clock)
    handler.setFormatter(JSONFormatter())
    return handler


def emit(handler, event, message="x"):
    record = logging.makeLogRecord({"msg": message, "levelno": 20, "levelname": "INFO"})
    record.event = event
    handler.emit(record)


def read(reader):
    data = b""
    try:
        while piece := os.read(reader, 65536):
            data += piece
    except BlockingIOError:
        pass
    return data


def rows_of(data):
    return [json.loads(entry) for entry in data.splitlines()]


@pytest.mark.parametrize(
    ("event", "kept"),
    [
        (Event.REQUEST_DONE, RATE),
        (Event.ENDPOINT_CHOSEN, RATE),
        (Event.REQUEST_REFUSED, RATE * FAILURE_RATE_FACTOR),
        (Event.ATTEMPT_FAILED, RATE * FAILURE_RATE_FACTOR),
    ],
)
def test_rate_limit_per_event_and_count_of_dropped_lines(event, kept, pipe):
    reader, writer = pipe
    clock = Clock()
    handler = make_handler(writer, clock)
    for _ in range(100):
        emit(handler, event)
    emit(handler, Event.STARTED)
    clock.now += 1.0
    emit(handler, Event.STOPPED)
    rows = rows_of(read(reader))
    assert [row["event"] for row in rows].count(event) == kept
    assert [row["event"] for row in rows[-3:]] == [100, 106, 103]
    assert rows[-2]["left_out"] == 100 - kept


def test_stalled_reader_loses_lines_without_blocking_the_writer(pipe):
    reader, writer = pipe
    clock = Clock()
    handler = make_handler(writer, clock)
    for second in range(50):
        clock.now = 10.0 + second
        for _ in range(RATE):
            emit(handler, Event.REQUEST_DONE, "y" * 4000)
    assert handler.lost > 0
    data = read(reader)
    clock.now += 1
    emit(handler, Event.STOPPED)
    rows = rows_of(data + read(reader))
    assert rows[-1]["event"] == Event.STOPPED
    assert any(row["event"] == Event.LINES_LEFT_OUT and row["lost"] for row in rows)


def test_closed_pipe_is_not_an_error():
    reader, writer = os.pipe()
    os.close(reader)
    handler = make_handler(writer, Clock())
    emit(handler, Event.STARTED)
    assert handler.lost == 1
    os.close(writer)
