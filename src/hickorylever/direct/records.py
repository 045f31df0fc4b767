"""Typed records of a router that forwards to endpoints without sidecars.

Times are in seconds, sizes in bytes, prompts and memory in tokens.
"""

import enum
from dataclasses import dataclass


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Backing:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go.

    :param objective: time within which an answer, or a stream's first event, is on time.
    :param rank: urgency; 0 goes first.
    :param max_gap: longest pause between a stream's events that is still on time.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    objective: float
    rank: int
    backings: tuple[Backing, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    max_gap: float | None = None

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True, slots=True)
class Engine:
    """A model engine's shape.

    :param slots: requests that run at once.
    :param memory: tokens of running requests and cached prompt parts together.
    :param event_tokens: tokens that one event of a stream holds.
    """

    slots: int
    memory: int
    event_tokens: int


@dataclass(frozen=True, slots=True)
class Service:
    """A pool of endpoints; `engine` is None for a plain service."""

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account with its bearer keys; its rank, if any, goes before the route's."""

    name: str
    keys: tuple[str, ...]
    rank: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted configuration; `accounts` is None where callers need no key.

    :param revision: the store's revision of it; a higher one replaces it.
    :param version: the operator's own number.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...] | None
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """What an endpoint says of itself in the store.

    :param cold_for: how much longer it stays slow after its start.
    :param born: its start as a Unix time in milliseconds; 0 when unknown.
    """

    name: str
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    draining: bool = False
    cold_for: float = 0.0
    born: int = 0


@dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """What routing needs of a request's headers; empty or 0 where it says nothing."""

    id: str
    time_limit: float | None = None
    model: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[Part, ...] = ()
    last_event: str = ""
    key: str = ""


@dataclass(frozen=True, slots=True)
class Handover:
    """What a router adds to a request that it hands to an endpoint; None is left out.

    :param cache_source: ``address:port`` of an endpoint to copy cached prompt parts from.
    :param last_event: id of the event after which a resumed stream goes on.
    """

    endpoint: str
    time_left: float | None = None
    account: str | None = None
    priority: int | None = None
    cache_source: str | None = None
    last_event: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerInfo:
    """What an endpoint's answer says beside its bytes.

    :param stamped: the endpoint vouches for the answer.
    :param not_run: the endpoint did not run the request.
    :param encoded: the body is not the one that the endpoint made.
    :param running: requests that run there, where it tells.
    :param waiting: requests that wait there, where it tells.
    """

    status: int
    request_id: str
    stamped: bool
    not_run: bool
    encoded: bool = False
    running: int | None = None
    waiting: int | None = None


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store; `spec` is undecoded JSON."""

    name: str
    revision: int
    spec: bytes
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Listing:
    """Every object of a kind, and the store's revision to watch from."""

    objects: tuple[StoredObject, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Changed objects, oldest first, and the store's revision to watch from."""

    objects: tuple[StoredObject, ...]
    revision: int
