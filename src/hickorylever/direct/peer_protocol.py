"""The messages between routers.

A datagram carries what changed since the last one: loads of endpoints, prompt parts that an
endpoint has cached, requests during which an endpoint crashed, endpoints that shut down, which
software version began a stream, the pace and slow-start windows of endpoints, and admitted work by
account.
"""

import msgspec

from .position import NOTHING_KNOWN, KnownState
from .streams import StreamUpdate

MILLISECONDS_PER_SECOND = 1000
FLUSH_INTERVAL_SECONDS = 0.04  # Between two datagrams.
FLUSH_SECONDS_PER_PEER = 0.006  # Added to the interval.


class LoadUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The sender's load at an endpoint.

    :param endpoint: hash of the endpoint's name.
    :param requests: requests in flight.
    :param prefill: prompt tokens of these requests that are not prefilled yet.
    """

    endpoint: int
    requests: int
    prefill: int


class CachedPartUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint has cached a prompt part.

    :param endpoint: hash of the endpoint's name.
    :param part: id of the part.
    :param tokens: size of the part.
    """

    endpoint: int
    part: str
    tokens: int


class CrashUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint closed the connection during a request, perhaps because of a crash.

    :param crash: number of the endpoint's incarnation.
    :param causes: what the request may have crashed it with, see :mod:`.crashes`.
    """

    crash: int
    causes: tuple[str, ...]


class AnswerUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A cause that is suspected elsewhere and that the sender saw answered.

    :param age: seconds since the latest answer.
    """

    cause: str
    age: int


class SuspectUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A cause in quarantine.

    :param depth: position of the cause in requests.
    :param crashes: numbers of the endpoints' incarnations that it may have crashed.
    :param requests: last causes of some of the requests that ran.
    :param age: seconds since the latest crash.
    """

    cause: str
    depth: int
    crashes: list[int]
    requests: list[str]
    age: int


class LimitUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of an endpoint's rate limit.

    :param endpoint: hash of the endpoint's name.
    :param rate: requests per second of all routers, or None for any number.
    :param count: requests that the sender has sent since it learned of the limit.
    """

    endpoint: int
    rate: float | None
    count: int


class ColdUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint has become cold.

    :param endpoint: hash of the endpoint's name.
    :param started_ms: start of its incarnation, as Unix time in milliseconds.
    :param left_ms: milliseconds for which it is still cold.
    """

    endpoint: int
    started_ms: int
    left_ms: int


class LeavingUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint shuts down.

    :param endpoint: hash of the endpoint's name.
    :param started_ms: start of the incarnation that shuts down, as Unix time in milliseconds.
    """

    endpoint: int
    started_ms: int


class CacheListingUpdate(msgspec.Struct, array_like=True, frozen=True):
    """How far the sender is with listing the cache of an engine.

    :param endpoint: hash of the engine's name.
    :param stage: value of a :class:`.cache_plan.Stage`.
    """

    endpoint: int
    stage: int


class EndedUpdate(msgspec.Struct, array_like=True, frozen=True):
    """An endpoint has ended, see :mod:`.restarts`.

    :param endpoint: hash of the endpoint's name.
    :param started_ms: start of the incarnation that has ended, as Unix time in milliseconds.
    :param version: of its software.
    """

    endpoint: int
    started_ms: int
    version: str


class PaceUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A pace that an endpoint stated.

    :param endpoint: hash of the endpoint's name.
    :param pace: how long work takes, in hundredths of the usual time.
    :param age: milliseconds since the statement.
    """

    endpoint: int
    pace: int
    age: int


class WindowUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows of an endpoint's slow-start window, see :mod:`.slow_start`.

    :param endpoint: hash of the endpoint's name.
    :param started_ms: start of the incarnation, as Unix time in milliseconds.
    :param in_time: responses in time that the sender saw since the latest halving.

    The other fields are those of :class:`.slow_start.WindowState`.
    """

    endpoint: int
    started_ms: int
    generation: int
    halvings: int
    base: int
    in_time: int
    ended: bool


class AdmittedUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Work that the sender admitted beyond an account's share, see :mod:`.account_shares`.

    :param flow: hash of service, priority and account.
    :param work: tokens, decayed up to now.
    """

    flow: int
    work: int


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """A message from one router to another.

    :param incarnation: identifies one run of the sender; a new run starts without loads.
    :param known: how much of the store's state the sender knows.
    :param domain_hash: hash of the name of the sender's failure domain.
    :param rank: position in the election of the routers that watch the store; the lowest win.
    :param watching: whether the sender watches the store and the store answers.
    :param answer_wanted: whether the sender asks for a datagram in return.
    :param leaving: whether the sender is shutting down.
    :param routers: IP addresses of routers that the sender knows.
    :param limits: rate limits of endpoints, where one or the number of requests has changed.
    :param suspects: causes in quarantine.
    :param streams: streams that have begun.
    :param stream_questions: keys of streams that the sender asks for.
    :param cache_listings: engines whose caches the sender lists after a start of all routers.
    :param caches_known: whether the sender knows what engines had cached before it started.
    :param cold_endpoints: endpoints that have become cold.
    :param ended_endpoints: endpoints that have ended.
    :param paces: stated paces of endpoints that other routers don't expect.
    :param windows: slow-start windows of endpoints.
    :param admitted: work of accounts beyond their shares, while requests wait at the sender.
    """

    incarnation: int
    known: KnownState = NOTHING_KNOWN
    domain_hash: int = 0
    rank: int = 0
    watching: bool = False
    answer_wanted: bool = False
    leaving: bool = False
    loads: list[LoadUpdate] = []
    cached_parts: list[CachedPartUpdate] = []
    crashes: list[CrashUpdate] = []
    leaving_endpoints: list[LeavingUpdate] = []
    routers: list[str] = []
    answered: list[AnswerUpdate] = []
    suspects: list[SuspectUpdate] = []
    limits: list[LimitUpdate] = []
    streams: list[StreamUpdate] = []
    stream_questions: list[int] = []
    cache_listings: list[CacheListingUpdate] = []
    caches_known: bool = False
    cold_endpoints: list[ColdUpdate] = []
    ended_endpoints: list[EndedUpdate] = []
    paces: list[PaceUpdate] = []
    windows: list[WindowUpdate] = []
    admitted: list[AdmittedUpdate] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram as MessagePack."""
    return _encoder.encode(datagram)


def decode(data: bytes) -> Datagram:
    """Decode a datagram.

    :raises msgspec.DecodeError: when it is malformed.
    """
    return _decoder.decode(data)
