"""Data types of a router that forwards to endpoints directly, without sidecars.

Times are in seconds, sizes in bytes, lengths of prompts and memory of engines in tokens.
"""

import enum
from dataclasses import dataclass

from .position import UNKNOWN, Position

MISDIRECTED_STATUS = 421  # Another endpoint has the address and has sent the response.
# They tell callers that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))


class RouteKind(enum.StrEnum):
    """Which requests of a route may be retried.

    `IDEMPOTENT` requests may run several times, `AT_MOST_ONCE` requests only once. A `STREAM` is
    answered with server-sent events and may be resumed if its route says so.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service of a route, with its weight in the choice between the route's services."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route for requests with a host and a path prefix.

    :param timeout: limit on the time of a request; 0 for none.
    :param latency_objective: time within which the answer, or the first event of a stream, should
        arrive.
    :param priority: priority class; 0 is served first.
    :param weighted_services: the services and their weights.
    :param max_attempts: limit on the attempts that may run one request.
    :param public: whether callers need no key.
    :param resumable: whether a stream may be resumed after its last event.
    :param max_gap: time within which the next event of a stream should arrive, or None.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    latency_objective: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    max_gap: float | None = None

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class Engine:
    """The capacity of a model engine.

    :param slots: requests that run concurrently.
    :param memory_tokens: tokens of running requests and cached prompt parts together.
    :param tokens_per_event: tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Warmup:
    """How endpoints of a service take requests while they are cold.

    :param seconds: for which an endpoint is cold after a start during traffic.
    :param rate: requests per second of all routers that a cold endpoint takes.
    """

    seconds: float
    rate: float


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of endpoints.

    :param health_path: path of the endpoints' health check.
    :param max_connections: limit on connections to one endpoint as configured. The direct router
        does not enforce it.
    :param engine: capacity of the engines; None for a plain service.
    :param warmup: limit on the requests to cold endpoints, or None.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    warmup: Warmup | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    :param keys: accepted bearer keys.
    :param priority: priority class that overrides the route's, or None.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    :param header_timeout: limit on the time until a request's headers are complete.
    :param idle_timeout: time after which an idle connection is closed.
    """

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """A decoded configuration.

    :param position: of the object in the store.
    :param version: number assigned by the operator.
    :param accounts: client accounts, or None when callers need no key.
    """

    position: Position
    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] | None
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An endpoint's own entry in the store.

    :param address: IP address.
    :param slots: requests that run concurrently; 0 when unknown.
    :param draining: whether the endpoint takes no new requests.
    :param warmup_left: remaining time for which the endpoint is slow after its start.
    :param started_ms: start of the endpoint as Unix time in milliseconds; 0 when unknown.
    :param version: version of the endpoint's software.
    :param reports_warmup: whether the entry states `warmup_left`.
    """

    name: str
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    draining: bool = False
    warmup_left: float = 0.0
    started_ms: int = 0
    version: str = ""
    reports_warmup: bool = True

    @property
    def incarnation(self) -> tuple[int, str]:
        """Return what changes when the endpoint starts again."""
        return self.started_ms, self.version


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that engines can cache for other requests.

    :param id: digest that is equal for equal parts.
    :param tokens: size of the part.
    """

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """The fields of a request's headers that routing needs; empty or 0 where absent.

    :param id: request id from the caller.
    :param time_limit: time limit from the caller, or None.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: expected length of the output.
    :param parts: parts of the prompt, in order.
    :param last_event_id: id of the last event that the caller received of a stream to resume.
    :param key: bearer key.
    :param resumes: id of the request that brought the first event of a stream to resume.
    """

    id: str
    time_limit: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ""
    key: str = ""
    resumes: str = ""


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """The fields that a router adds to a request's headers; None is left out.

    :param endpoint: name of the endpoint that the request is meant for.
    :param time_left: time until the deadline.
    :param account: name of the client account.
    :param priority: priority class for the engine's scheduler.
    :param cache_source: ``address:port`` of an endpoint to copy cached prompt parts from.
    :param last_event_id: id of the event after which a resumed stream continues.
    """

    endpoint: str
    time_left: float | None = None
    account: str | None = None
    priority: int | None = None
    cache_source: str | None = None
    last_event_id: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerInfo:
    """Metadata in the head of an endpoint's answer.

    :param request_id: id of the request that the answer belongs to.
    :param stamped: whether it carries the stamp that only the endpoint itself sets.
    :param not_run: whether the endpoint states that it did not run the request and never will.
    :param encoded: whether an intermediary encoded the body.
    :param running: requests that run at the endpoint, or None when not stated.
    :param waiting: requests that wait at the endpoint, or None when not stated.
    :param endpoint: name of the endpoint that states that a request was meant for another one.
    :param leaving: whether the endpoint states that it is about to shut down.
    :param retry_after: time for which the endpoint wants no more requests from this router, or
        None when not stated.
    :param rate_limit: requests per second that the endpoint takes from all routers together, or
        None for any number.
    :param warmup_left: time for which the endpoint is still cold, or None when not stated.
    :param slots: requests that the endpoint can run concurrently, or None when not stated.
    :param pace: how long work takes at the endpoint at this moment, as a multiple of the usual
        time, or None when not stated.
    """

    status: int
    request_id: str
    stamped: bool
    not_run: bool
    encoded: bool = False
    endpoint: str = ""
    running: int | None = None
    waiting: int | None = None
    leaving: bool = False
    retry_after: float | None = None
    rate_limit: float | None = None
    warmup_left: float | None = None
    slots: int | None = None
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    :param position: of the store at the object's last change.
    :param spec: undecoded JSON.
    :param deleted: whether the change is the object's deletion.
    """

    name: str
    position: Position
    spec: bytes
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, and the position of the store to watch from."""

    objects: tuple[StoredObject, ...]
    position: Position


@dataclass(frozen=True, slots=True)
class Changes:
    """Changed objects, oldest first, and the position of the store to watch from."""

    objects: tuple[StoredObject, ...]
    position: Position


@dataclass(frozen=True, slots=True)
class EntriesAnswer:
    """What another router says of the endpoints' entries.

    :param objects: all entries, or the changes after `since`, oldest first.
    :param complete: whether `objects` holds all entries.
    :param as_of: position up to which the other router knows all changes.
    :param latest: position that it announces.
    :param since: position of the entries that the changes start from. Where it is later than the
        position that was asked about, the entries at both are the same.
    :param digest: of the entries that the other router knows, or None if it doesn't say.
    :param asked_digest: of the entries that this router knew when it asked.
    """

    objects: tuple[StoredObject, ...]
    complete: bool
    as_of: Position
    latest: Position
    since: Position = UNKNOWN
    digest: int | None = None
    asked_digest: int | None = None
