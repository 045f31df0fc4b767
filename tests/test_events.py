import json
import logging
import os

import pytest

from hickorylever.events import FAILURE_FACTOR, BoundedHandler, Event, JSONFormatter

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


def handler(writer, clock):
    made = BoundedHandler(writer, RATE, clock)
    made.setFormatter(JSONFormatter())
    return made


def emit(made, event, message="x"):
    record = logging.makeLogRecord({"msg": message, "levelno": 20, "levelname": "INFO"})
    record.event = event
    made.emit(record)


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
        (Event.REQUEST_REFUSED, RATE * FAILURE_FACTOR),
        (Event.ATTEMPT_FAILED, RATE * FAILURE_FACTOR),
    ],
)
def test_lines_of_a_kind_are_bounded_and_what_is_left_out_is_told(event, kept, pipe):
    reader, writer = pipe
    clock = Clock()
    made = handler(writer, clock)
    for _ in range(100):
        emit(made, event)
    emit(made, Event.STARTED)
    clock.now += 1.0
    emit(made, Event.STOPPED)
    rows = rows_of(read(reader))
    assert [row["event"] for row in rows].count(event) == kept
    assert [row["event"] for row in rows[-3:]] == [100, 106, 103]
    assert rows[-2]["left_out"] == 100 - kept


def test_a_reader_that_stops_costs_lines_and_no_time(pipe):
    reader, writer = pipe
    clock = Clock()
    made = handler(writer, clock)
    for second in range(50):
        clock.now = 10.0 + second
        for _ in range(RATE):
            emit(made, Event.REQUEST_DONE, "y" * 4000)
    assert made.lost > 0
    data = read(reader)
    clock.now += 1
    emit(made, Event.STOPPED)
    rows = rows_of(data + read(reader))
    assert rows[-1]["event"] == Event.STOPPED
    assert any(row["event"] == Event.LINES_LEFT_OUT and row["lost"] for row in rows)


def test_a_closed_reader_is_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    made = handler(writer, Clock())
    emit(made, Event.STARTED)
    assert made.lost == 1
    os.close(writer)
