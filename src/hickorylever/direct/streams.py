"""Which software version wrote the first event of each stream."""

import dataclasses
import enum
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from .hashes import hash_strings

ANY_ENDPOINT = 0  # In place of the hash of an endpoint's name.
CLOCK_MARGIN_MS = 1000  # By which the clocks of two VMs may differ.
MAX_STREAMS = 65536  # The earliest ones are forgotten first, and can't go on then.


class KnownBy(enum.Enum):
    """From where a router knows a stream."""

    OWN_EVENT = "own_event"
    DATAGRAM = "datagram"
    STORE = "store"


class StreamUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A stream that has begun.

    :param key: see :func:`stream_key`.
    :param endpoint: hash of the name of the endpoint that wrote its first event.
    :param version: of that endpoint's software.
    :param seconds_left: time for which its caller may still take it up.
    :param opened_ms: see :class:`StreamRecord`.
    """

    key: int
    endpoint: int
    version: str
    seconds_left: int
    opened_ms: int = 0


@dataclass(frozen=True, slots=True)
class StreamRecord:
    """A stream that has begun.

    :param endpoint: hash of the name of the endpoint that wrote its first event, or
        `ANY_ENDPOINT` if the version is certain whatever becomes of the endpoint.
    :param version: of that endpoint's software.
    :param expires_at: monotonic seconds.
    :param opened_ms: when the connection that brought its first event was opened, as Unix time in
        milliseconds; 0 when unknown.
    :param known_by: from where this router knows it.
    """

    endpoint: int
    version: str
    expires_at: float
    opened_ms: int = 0
    known_by: KnownBy = KnownBy.DATAGRAM

    def began_before(self, started_ms: int) -> bool:
        """Return whether its first event is certainly from an earlier process of its endpoint.

        The process at the other end of a connection is the one that accepted it. The clocks of
        the router and of the endpoint may differ by up to `CLOCK_MARGIN_MS`.

        :param started_ms: start of the later process as Unix time in milliseconds.
        """
        return 0 < self.opened_ms < started_ms - CLOCK_MARGIN_MS


def stream_key(account: str, service: str, request_id: str) -> int:
    """Return the 64-bit number of a stream, by the request that brought its first event.

    It depends on the client account, so that one account learns nothing of another's streams.
    """
    return hash_strings((account, service, request_id)).intdigest()


class StreamTable:
    """Streams that have begun, by their key. Times are monotonic seconds."""

    def __init__(self):
        self.records: OrderedDict[int, StreamRecord] = OrderedDict()

    def add(self, key: int, record: StreamRecord) -> None:
        """Add a stream."""
        self.records[key] = record
        self.records.move_to_end(key)
        if len(self.records) > MAX_STREAMS:
            self.records.popitem(last=False)

    def get(self, key: int, now: float) -> StreamRecord | None:
        """Return a stream that its caller may still take up, or None if it isn't known."""
        record = self.records.get(key)
        return record if record is not None and record.expires_at > now else None

    def version(self, key: int, now: float) -> str | None:
        """Return the version that began a stream, or None if this isn't known."""
        record = self.get(key, now)
        return record.version if record else None

    def update(self, key: int, now: float) -> StreamUpdate | None:
        """Return what is known of a stream, for another router."""
        record = self.get(key, now)
        if record is None:
            return None
        seconds_left = int(record.expires_at - now) + 1
        return StreamUpdate(key, record.endpoint, record.version, seconds_left, record.opened_ms)

    def load(self, update: StreamUpdate, now: float) -> None:
        """Add a stream from the store unless it is known; others are forgotten later than it."""
        if update.key not in self.records and len(self.records) < MAX_STREAMS:
            self.records[update.key] = StreamRecord(
                update.endpoint,
                update.version,
                now + update.seconds_left,
                update.opened_ms,
                KnownBy.STORE,
            )
            self.records.move_to_end(update.key, last=False)

    def forget_endpoint(self, endpoint: int, started_ms: int = 0) -> None:
        """Forget the streams of an endpoint that has started again with another version.

        Which of its two processes wrote their first events isn't known, except for those that
        certainly began before the later one started.

        :param endpoint: hash of its name.
        :param started_ms: start of the later process as Unix time in milliseconds.
        """
        for key, record in list(self.records.items()):
            if record.endpoint == endpoint and not record.began_before(started_ms):
                del self.records[key]

    def settle_endpoint(self, endpoint: int) -> list[int]:
        """Record that the versions of an endpoint's streams are certain, and return their keys.

        Only streams whose first event this router passed on itself are meant.

        :param endpoint: hash of its name.
        """
        keys = [
            key
            for key, record in self.records.items()
            if record.endpoint == endpoint and record.known_by is KnownBy.OWN_EVENT
        ]
        for key in keys:
            self.records[key] = dataclasses.replace(self.records[key], endpoint=ANY_ENDPOINT)
        return keys

    def expire(self, now: float) -> None:
        """Forget streams that their callers don't take up any more."""
        for key, record in list(self.records.items()):
            if record.expires_at <= now:
                del self.records[key]
