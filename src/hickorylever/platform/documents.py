"""Decoding of the objects that the operator and the endpoints write to the store."""

from functools import lru_cache
from typing import Annotated

import msgspec

from ..addresses import is_ipv4_address, split_address
from ..decoding import DECODE_ERRORS
from ..direct.position import Position
from ..direct.records import (
    Account,
    CallerLimits,
    Configuration,
    EndpointEntry,
    Engine,
    Route,
    RouteKind,
    Service,
    Warmup,
    WeightedService,
)
from ..exceptions import ContentError
from . import names

SECONDS_PER_MILLISECOND = 0.001
MAX_CACHED_ROUTES = 8192
MAX_PORT = 65535

ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}

MAX_COUNT = 2**31 - 1
MAX_UNIX_MS = 2**53 - 1  # Other JSON decoders keep whole numbers up to this exactly.
MAX_MILLISECONDS = 86_400_000.0
MAX_NAME_LENGTH = 253

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class Wire(msgspec.Struct, rename="kebab", frozen=True):
    """Base class of documents. Field names are in kebab case, and unknown fields are ignored."""


class WireBackend(Wire):
    """A service of a route, with its share of the route's requests."""

    service: str
    weight: float = 1.0


class WireRoute(Wire):
    """A route.

    `session_affinity` is set if requests name their model and the parts of their prompt.
    """

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: Milliseconds
    service: str | None = None
    backends: list[WireBackend] | None = None
    target_latency_ms: Milliseconds = 0.0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    session_affinity: bool = False
    resumable: bool = False
    target_gap_ms: Milliseconds | None = None


class WireEngine(Wire):
    """Capacity of the engines of a service. `stride` is the number of tokens per event."""

    max_batch_size: Count = 1
    kv_capacity_tokens: Count = 0
    stride: Count = 1


class WireService(Wire):
    """A service. Its endpoints take `warmup_per_s` requests a second for `warmup_s` from a start.

    Both are 0 for a service without a limit.
    """

    name: str
    health_path: str = ""
    max_connections: Count = 0
    engine: WireEngine | None = None
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


class WireLimits(Wire):
    """Limits on the size and the duration of callers' requests."""

    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_ms: Milliseconds
    idle_timeout_ms: Milliseconds


class WireAccount(Wire):
    """A client account and its bearer keys. Its priority takes precedence over the route's."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class WireConfiguration(Wire):
    """The configuration.

    `version` increases by steps of any size. `routes` holds encoded :class:`WireRoute` documents,
    which are decoded one by one so that unchanged ones come from the cache.
    """

    version: int
    routes: list[msgspec.Raw]
    services: list[WireService]
    limits: WireLimits
    tenants: list[WireAccount] | None = None


class WireEndpoint(Wire):
    """State that an endpoint reports of itself.

    `born` is its start as Unix time in ms, `version` that of its software.
    """

    service: Name
    address: Name
    zone: Name
    version: Name
    max_batch_size: Count
    state: Name
    warmup_left_ms: Milliseconds | None = None
    born: UnixMilliseconds | None = None


route_decoder = msgspec.json.Decoder(WireRoute)


def decode_configuration(spec: msgspec.Raw, position: Position) -> Configuration:
    """Return the configuration that the operator's object describes.

    :param position: position of the object in the store.
    :raises ContentError: if the object is invalid.
    """
    try:
        wire = msgspec.json.decode(spec, type=WireConfiguration)
        routes = tuple(decode_route(bytes(route)) for route in wire.routes)
    except (*DECODE_ERRORS, KeyError, ValueError) as error:
        raise ContentError(f"invalid configuration: {error}") from None
    limits = wire.limits
    accounts = None
    if wire.tenants is not None:
        accounts = tuple(
            Account(entry.name, tuple(entry.api_keys), entry.priority) for entry in wire.tenants
        )
    return Configuration(
        position=position,
        version=wire.version,
        routes=routes,
        services=tuple(decode_service(service) for service in wire.services),
        accounts=accounts,
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms * SECONDS_PER_MILLISECOND,
            limits.idle_timeout_ms * SECONDS_PER_MILLISECOND,
        ),
    )


@lru_cache(MAX_CACHED_ROUTES)
def decode_route(content: bytes) -> Route:
    """Return a route. Cached because most routes are the same in the next configuration."""
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
        kind=ROUTE_KINDS[wire.route_type],
        timeout=wire.timeout_ms * SECONDS_PER_MILLISECOND,
        latency_objective=wire.target_latency_ms * SECONDS_PER_MILLISECOND,
        priority=wire.priority,
        weighted_services=weighted_services,
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
        resumable=wire.resumable,
        max_gap=None if gap is None else gap * SECONDS_PER_MILLISECOND,
    )


def decode_service(wire: WireService) -> Service:
    """Return a service."""
    engine = wire.engine
    capacity = None
    if engine is not None:
        capacity = Engine(engine.max_batch_size, engine.kv_capacity_tokens, max(1, engine.stride))
    warmup = None
    if wire.warmup_per_s > 0.0:
        warmup = Warmup(max(0.0, wire.warmup_s), wire.warmup_per_s)
    return Service(wire.name, wire.health_path, wire.max_connections, capacity, warmup)


def decode_endpoint(name: str, spec: msgspec.Raw) -> EndpointEntry:
    """Return the entry of an endpoint.

    :raises ContentError: if a field is missing or invalid.
    """
    if not is_endpoint_name(name):
        raise ContentError(f"endpoint with the invalid name {name!r}")
    try:
        wire = msgspec.json.decode(spec, type=WireEndpoint)
        address, port = split_address(wire.address)
    except (*DECODE_ERRORS, ValueError) as error:
        raise ContentError(f"endpoint {name!r}: {error}") from None
    if not is_ipv4_address(address) or not 0 < port <= MAX_PORT:
        raise ContentError(f"endpoint {name!r}: invalid address {wire.address!r}")
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
        warmup_left=(wire.warmup_left_ms or 0.0) * SECONDS_PER_MILLISECOND,
        started_ms=wire.born or 0,
        version=wire.version,
        reports_warmup=wire.warmup_left_ms is not None,
    )


def is_endpoint_name(name: str) -> bool:
    """Return whether a name can be that of an endpoint, which requests carry in a header."""
    return (
        0 < len(name) <= MAX_NAME_LENGTH
        and name.isascii()
        and name.isprintable()
        and " " not in name
    )


def decode_evacuation(name: str) -> str:
    """Return the failure domain that the object of an evacuation names.

    Domains without endpoints are valid, since endpoints may appear there.

    :raises ContentError: if the name can't be that of a failure domain.
    """
    if not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable() or " " in name:
        raise ContentError(f"evacuation of the invalid failure domain {name!r}")
    return name
