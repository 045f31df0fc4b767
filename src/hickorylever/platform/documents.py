"""Objects that the operator and the endpoints keep in the store."""

from functools import lru_cache
from typing import Annotated

import msgspec

from ..direct.records import (
    Account,
    CallerLimits,
    Configuration,
    EndpointEntry,
    Engine,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from ..exceptions import ContentError
from ..settings import split_address
from . import names

MILLISECOND = 0.001  # Seconds.
KEPT_ROUTES = 8192  # Decoded routes that later versions of the configuration may use again.

KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}

Count = Annotated[int, msgspec.Meta(ge=0)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0)]


class Wire(msgspec.Struct, rename="kebab", frozen=True):
    """Base of documents: lower-case names with hyphens, unknown fields ignored."""


class WireBacking(Wire):
    """A service that takes a share of a route's requests."""

    service: str
    weight: float = 1.0


class WireRoute(Wire):
    """A route. `session_affinity` says that requests carry models and prompt parts."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: Milliseconds
    service: str | None = None
    backends: list[WireBacking] | None = None
    target_latency_ms: Milliseconds = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    session_affinity: bool = False
    resumable: bool = False
    target_gap_ms: Milliseconds | None = None


class WireEngine(Wire):
    """What the engines of a service can do; `stride` is the tokens of one event."""

    max_batch_size: Count = 1
    kv_capacity_tokens: Count = 0
    stride: Count = 1


class WireService(Wire):
    """A service."""

    name: str
    health_path: str = ""
    max_connections: Count = 0
    engine: WireEngine | None = None


class WireLimits(Wire):
    """What callers may send, and how long they may take."""

    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: Milliseconds
    idle_timeout_ms: Milliseconds


class WireAccount(Wire):
    """A client account with its bearer keys; its priority goes before the route's."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class WireConfiguration(Wire):
    """The whole configuration.

    `version` grows in uneven steps; `routes` are :class:`WireRoute`, decoded one by one.
    """

    version: int
    routes: list[msgspec.Raw]
    services: list[WireService]
    limits: WireLimits
    tenants: list[WireAccount] | None = None


class WireEndpoint(Wire):
    """What an endpoint says of itself. `version` is that of its software."""

    service: str
    address: str
    zone: str
    max_batch_size: Count
    state: str
    warmup_left_ms: Milliseconds = 0.0
    born: int | None = None


route_decoder = msgspec.json.Decoder(WireRoute)


def decode_configuration(spec: msgspec.Raw, revision: int) -> Configuration:
    """Return the configuration from the operator's object.

    :param revision: of the object in the store.
    :raises ContentError: when it can't be read.
    """
    try:
        wire = msgspec.json.decode(spec, type=WireConfiguration)
        routes = tuple(decode_route(bytes(route)) for route in wire.routes)
    except (msgspec.DecodeError, KeyError, ValueError) as error:
        raise ContentError(f"the configuration can't be read: {error}") from None
    limits = wire.limits
    accounts = None
    if wire.tenants is not None:
        accounts = tuple(
            Account(entry.name, tuple(entry.api_keys), entry.priority) for entry in wire.tenants
        )
    return Configuration(
        revision=revision,
        version=wire.version,
        routes=routes,
        services=tuple(decode_service(service) for service in wire.services),
        accounts=accounts,
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms * MILLISECOND,
            limits.idle_timeout_ms * MILLISECOND,
        ),
    )


@lru_cache(KEPT_ROUTES)
def decode_route(content: bytes) -> Route:
    """Return one route; most routes of a new version are those of the version before."""
    wire = route_decoder.decode(content)
    weighted_services = tuple(
        WeightedService(entry.service, entry.weight) for entry in wire.backends or ()
    )
    if not weighted_services and wire.service:
        weighted_services = (WeightedService(wire.service, 1.0),)
    gap = wire.target_gap_ms
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=KINDS[wire.route_type],
        timeout=wire.timeout_ms * MILLISECOND,
        latency_objective=wire.target_latency_ms * MILLISECOND,
        priority=wire.priority,
        weighted_services=weighted_services,
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
        resumable=wire.resumable,
        max_gap=None if gap is None else gap * MILLISECOND,
    )


def decode_service(wire: WireService) -> Service:
    """Return one service."""
    engine = wire.engine
    shape = None
    if engine is not None:
        shape = Engine(engine.max_batch_size, engine.kv_capacity_tokens, max(1, engine.stride))
    return Service(wire.name, wire.health_path, wire.max_connections, shape)


def decode_endpoint(name: str, spec: msgspec.Raw) -> EndpointEntry:
    """Return an endpoint's entry.

    :raises ContentError: when a field is missing, of another type or not known.
    """
    try:
        wire = msgspec.json.decode(spec, type=WireEndpoint)
        address, port = split_address(wire.address)
    except (msgspec.DecodeError, ValueError) as error:
        raise ContentError(f"endpoint {name!r}: {error}") from None
    if wire.state not in names.STATES:
        raise ContentError(f"endpoint {name!r}: unknown state {wire.state!r}")
    return EndpointEntry(
        name=name,
        service=wire.service,
        address=address,
        port=port,
        failure_domain=wire.zone,
        slots=wire.max_batch_size,
        draining=wire.state != names.STATE_READY,
        warmup_left=wire.warmup_left_ms * MILLISECOND,
        started_ms=wire.born or 0,
    )
