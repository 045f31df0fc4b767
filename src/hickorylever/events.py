"""Numbered log events, and log output as JSON or text."""

import enum
import logging
import os
import sys
import time

import msgspec

logger = logging.getLogger("hickorylever")


class Event(enum.IntEnum):
    """Number of each kind of log event. docs/EVENTS.md lists them.

    1xx process, 20x-24x requests and attempts, 25x claims, 26x-29x routing, 3xx configuration,
    4xx membership, 5xx controllers.
    """

    STARTED = 100
    READY = 101
    DRAINING = 102
    STOPPED = 103
    LINES_LEFT_OUT = 106
    SETTINGS_RELOADED = 104
    SETTINGS_KEPT = 105
    TIMER_FAILED = 110
    INTERNAL_ERROR = 111
    CONNECTIONS_REFUSED = 112
    TASK_FAILED = 113
    REQUEST_DONE = 200
    REQUEST_REFUSED = 201
    ENDPOINT_CHOSEN = 202
    STREAM_RESUMED = 203
    STREAMS_LOADED = 204
    STREAMS_STORED = 205
    ATTEMPT_LOST = 210
    ATTEMPT_RESUMED = 211
    ATTEMPT_FAILED = 212
    RESPONSE_DROPPED = 213
    RESPONSE_DISCARDED = 214
    CLAIMS_FAILED = 250
    ENDPOINT_CRASHED = 260
    REGISTER_FAILED = 261
    CONFIGURATION_ADOPTED = 300
    CONFIGURATION_REJECTED = 301
    SOURCE_FAILED = 302
    CONFIGURATION_RESTORED = 303
    PLATFORM_FAILED = 310
    STORE_REACHED = 311
    STORE_LOST = 312
    OBJECT_REJECTED = 313
    STATE_PULLED = 314
    STORE_RESTORED = 315
    ERA_UNKNOWN = 316
    CONFIGURATION_HELD = 317
    NEWS_REJECTED = 400
    SUPERSEDED = 401
    ENDPOINT_READY = 402
    ENDPOINT_LOST = 403
    VM_LIST_FAILED = 404
    PEER_HEARD = 405
    NEWS_LOST = 406
    ENDPOINT_LEAVES = 407
    ENDPOINT_DEFERS = 408
    CAUSE_QUARANTINED = 409
    CAUSE_RELEASED = 410
    ENDPOINT_LIMITS = 411
    ENDPOINT_ENDED = 412
    CACHE_LISTED = 420
    CACHE_LISTING_FAILED = 421
    CACHES_PULLED = 422
    CACHES_UNKNOWN = 423
    EVACUATION_BEGAN = 424
    EVACUATION_ENDED = 425
    EVACUATION_HELD = 426
    ENDPOINT_COLD = 427
    COLD_SHARES = 428
    PACE_STATED = 430
    SLOW_START_BEGUN = 431
    SLOW_START_ENDED = 432
    LEASE_TAKEN = 500
    LEASE_LOST = 501
    CONTROLLER_FAILED = 502
    ORDER_GIVEN = 510
    ORDER_REFUSED = 511
    ORDER_FAILED = 512
    OBJECTS_DELETED = 520


# These events, and all records of level WARNING or above, have a higher rate limit than others.
FAILURE_EVENTS = frozenset((Event.REQUEST_REFUSED, Event.ATTEMPT_FAILED, Event.ATTEMPT_LOST))
FAILURE_RATE_FACTOR = 4


def log(event: Event, message: str, level: int = logging.INFO, **fields: object) -> None:
    """Log an event with its fields."""
    logger.log(level, message, extra={"event": event, "fields": fields})


class JSONFormatter(logging.Formatter):
    """Formats a record as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a JSON line."""
        event = getattr(record, "event", None)
        line = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "event": int(event) if event else 0,
            "name": event.name.lower() if event else "",
            "message": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class TextFormatter(logging.Formatter):
    """Formats a record as text: time, level, event number, message and fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a line of text."""
        event = getattr(record, "event", None)
        fields = getattr(record, "fields", {})
        suffix = "".join(f" {key}={value}" for key, value in fields.items())
        timestamp = time.strftime("%H:%M:%S", time.localtime(record.created))
        number = int(event) if event else 0
        text = f"{timestamp} {record.levelname:<7} {number:03d} {record.getMessage()}{suffix}"
        if record.exc_info:
            text += "\n" + self.formatException(record.exc_info)
        return text


class RateLimitedHandler(logging.Handler):
    """Writes to a non-blocking file descriptor and limits the rate of lines.

    Lines over the limit are dropped, as are lines that the descriptor does not accept at once. The
    numbers of dropped lines are logged at most once per second.

    :param descriptor: the file descriptor, in non-blocking mode.
    :param rate: lines per second for each event number. Those of :data:`FAILURE_EVENTS`, and
        records of level WARNING or above, may have :data:`FAILURE_RATE_FACTOR` times as many.
    """

    def __init__(self, descriptor: int, rate: int, clock=time.monotonic):
        super().__init__()
        self.descriptor = descriptor
        self.rate = rate
        self.clock = clock
        self.second = 0
        self.counts: dict[int, int] = {}
        self.suppressed = 0
        self.lost = 0
        self.unwritten = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record unless its event has reached the limit for this second."""
        second = int(self.clock())
        if second != self.second:
            self.begin_second(second)
        event = int(getattr(record, "event", 0) or 0)
        count = self.counts[event] = self.counts.get(event, 0) + 1
        failure = event in FAILURE_EVENTS or record.levelno >= logging.WARNING
        if count > self.rate * (FAILURE_RATE_FACTOR if failure else 1):
            self.suppressed += 1
            return
        self.write(self.format(record).encode() + b"\n")

    def begin_second(self, second: int) -> None:
        """Reset the counters and log how many lines were dropped before."""
        self.second = second
        self.counts.clear()
        suppressed, lost = self.suppressed, self.lost
        if suppressed or lost:
            self.suppressed = self.lost = 0
            fields = {"left_out": suppressed, "lost": lost}
            record = logger.makeRecord(
                logger.name,
                logging.WARNING,
                "",
                0,
                "log lines were dropped",
                (),
                None,
                extra={"event": Event.LINES_LEFT_OUT, "fields": fields},
            )
            self.write(self.format(record).encode() + b"\n")

    def write(self, line: bytes) -> None:
        """Write as much as the descriptor accepts; a partly written line is completed first."""
        try:
            if self.unwritten:
                self.unwritten = self.unwritten[os.write(self.descriptor, self.unwritten) :]
            if self.unwritten:
                self.lost += 1
                return
            self.unwritten = line[os.write(self.descriptor, line) :]
        except OSError:  # The pipe is full or closed.
            self.lost += 1


FORMATTERS = {"json": JSONFormatter, "text": TextFormatter}


def configure(log_format: str, level: str) -> None:
    """Log to standard error.

    :param log_format: ``json`` or ``text``.
    :param level: name of a level of :mod:`logging`, in lower case.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(FORMATTERS[log_format]())
    attach(handler, level)


def attach(handler: logging.Handler, level: str) -> None:
    """Send log events, and errors of the curio kernel, to a handler."""
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    kernel = logging.getLogger("curio")
    kernel.handlers[:] = [handler]
    kernel.setLevel(logging.ERROR)
    kernel.propagate = False


def configure_rate_limited(level: str, rate: int) -> None:
    """Log to standard output as JSON, rate-limited and without blocking.

    :param rate: lines per second for each event number.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = RateLimitedHandler(descriptor, rate)
    handler.setFormatter(JSONFormatter())
    attach(handler, level)
