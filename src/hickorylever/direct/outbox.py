"""Updates that wait for the next datagram to the other routers."""

from dataclasses import dataclass, field

from .hashes import name_hash
from .peer_protocol import CachedPartUpdate, LeavingUpdate, LoadUpdate

MAX_UPDATES_PER_KIND = 33  # In one datagram, so that it fits a packet.
MAX_LEAVING_UPDATES = 4  # In one datagram; few endpoints leave at the same time.
CACHED_PART_REPEAT_SECONDS = 4.0  # A cached part that is used again is announced after this time.
LEAVING_REPEATS = 4  # Datagrams that announce an endpoint's shutdown, as some may be lost.
LOAD_REPEAT_SECONDS = 1.2  # An unchanged load is sent again before the receivers expire it.
HEARTBEAT_SECONDS = 1.0  # Interval of datagrams without updates.


@dataclass(frozen=True, slots=True)
class SentLoad:
    """A load that was sent to the other routers.

    :param requests: requests in flight.
    :param prefill: prompt tokens that are not prefilled yet.
    :param sent_at: monotonic seconds at which it was sent.
    """

    requests: int
    prefill: int
    sent_at: float


@dataclass(slots=True)
class Outbox:
    """Updates that are waiting to be sent to the other routers. Times are monotonic seconds.

    A load is sent again while it lasts, which makes up for lost datagrams and lets the receivers
    expire the loads of a router that died. A load that falls to zero is sent twice.

    :param loads: requests and prompt tokens to prefill, by endpoint.
    :param sent_loads: loads that were last sent, by endpoint.
    :param cached_parts: tokens of cached prompt parts, by endpoint and part.
    :param sent_parts: when a cached prompt part was last sent, by endpoint and part.
    :param leaving_endpoints: number of datagrams that still announce each endpoint's shutdown.
    :param last_sent: when updates were last taken for a datagram.
    """

    loads: dict[int, tuple[int, int]] = field(default_factory=dict)
    sent_loads: dict[int, SentLoad] = field(default_factory=dict)
    cached_parts: dict[tuple[int, str], int] = field(default_factory=dict)
    sent_parts: dict[tuple[int, str], float] = field(default_factory=dict)
    leaving_endpoints: dict[LeavingUpdate, int] = field(default_factory=dict)
    last_sent: float = 0.0

    def queue_load(self, endpoint: str, requests: int, prefill: float) -> None:
        """Queue this router's load at an endpoint if it differs from the one last sent."""
        key = name_hash(endpoint)
        sent = self.sent_loads.get(key)
        load = requests, int(prefill)
        if load == ((sent.requests, sent.prefill) if sent else (0, 0)):
            self.loads.pop(key, None)
        else:
            self.loads[key] = load

    def requeue_loads(self, now: float) -> None:
        """Queue loads again that were last sent at least `LOAD_REPEAT_SECONDS` ago."""
        for key, sent in list(self.sent_loads.items()):
            if now - sent.sent_at < LOAD_REPEAT_SECONDS or key in self.loads:
                continue
            self.loads[key] = sent.requests, sent.prefill
            if not sent.requests:
                del self.sent_loads[key]

    def queue_cached_part(self, endpoint: str, part: str, tokens: int, now: float) -> None:
        """Queue a shareable prompt part that an endpoint caches, unless it was sent lately.

        :param tokens: size of the part.
        """
        key = name_hash(endpoint), part
        if (
            now - self.sent_parts.get(key, -CACHED_PART_REPEAT_SECONDS)
            >= CACHED_PART_REPEAT_SECONDS
        ):
            self.cached_parts[key] = tokens

    def queue_leaving(self, update: LeavingUpdate) -> None:
        """Queue a report that an endpoint shuts down."""
        self.leaving_endpoints[update] = LEAVING_REPEATS

    def due(self, now: float, interval: float) -> bool:
        """Return whether a datagram is due.

        :param interval: minimum time in seconds between two datagrams.
        """
        pending = self.loads or self.cached_parts or self.leaving_endpoints
        return now - self.last_sent >= (interval if pending else HEARTBEAT_SECONDS)

    def take(self, now: float) -> dict[str, list]:
        """Remove and return the updates for one datagram, by its field.

        At most `MAX_UPDATES_PER_KIND` of each kind are returned; the rest remains queued.
        """
        self.last_sent = now
        self.requeue_loads(now)
        loads = dict(list(self.loads.items())[:MAX_UPDATES_PER_KIND])
        parts = dict(list(self.cached_parts.items())[:MAX_UPDATES_PER_KIND])
        for key, load in loads.items():
            del self.loads[key]
            if load != (0, 0) or key in self.sent_loads:
                self.sent_loads[key] = SentLoad(*load, now)
        for key in parts:
            del self.cached_parts[key]
            self.sent_parts[key] = now
        self.prune(now)
        return {
            "loads": [LoadUpdate(key, *load) for key, load in loads.items()],
            "cached_parts": [CachedPartUpdate(*key, tokens) for key, tokens in parts.items()],
            "leaving_endpoints": take_sends(self.leaving_endpoints, MAX_LEAVING_UPDATES),
        }

    def prune(self, now: float) -> None:
        """Drop records of cached parts that may be sent again anyway."""
        if len(self.sent_parts) > 4096:
            recent = now - CACHED_PART_REPEAT_SECONDS
            self.sent_parts = {key: at for key, at in self.sent_parts.items() if at >= recent}


def take_sends(sends: dict, limit: int) -> list:
    """Return the first updates of a table and count one datagram for each.

    Those that are to be sent again come last.

    :param sends: number of datagrams that still carry each update.
    :param limit: number of updates in one datagram.
    """
    taken = list(sends)[:limit]
    for update in taken:
        left = sends.pop(update) - 1
        if left:
            sends[update] = left
    return taken
