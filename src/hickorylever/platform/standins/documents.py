"""Encodes records in the formats that the operator, the endpoints and the platform write."""

from typing import Any

import msgspec

from ...direct.records import Configuration, EndpointEntry, Route, Service
from ...direct.settings import DirectSettings
from .. import names
from ..documents import (
    ROUTE_KINDS,
    SECONDS_PER_MILLISECOND,
    WireAccount,
    WireBackend,
    WireEndpoint,
    WireEngine,
    WireLimits,
    WireRoute,
    WireService,
)

ROUTE_TYPES = {kind: name for name, kind in ROUTE_KINDS.items()}

SETTINGS_TEMPLATE = """\
node-name = "{settings.vm}"
ip = "{settings.address}"
zone = "{settings.failure_domain}"
internal-ports = [{settings.peer_port}, {settings.peer_port}]
seeds = {seeds}
bootstrap = {first_start}
[listen]
frontend = "{settings.address}:{settings.port}"
ready = "{settings.address}:{settings.ready_port}"
[platform]
address = "{store}"
[limits]
max-fds = {settings.max_descriptors}
[bounds]
grace-s = {settings.drain_grace}
retry-allowance = {settings.retry_allowance}
cap-factor = {settings.load_multiple}
"""
WARMUP_TEMPLATE = """\
warmup-overage = {settings.warmup_overage}
warmup-allowance = {settings.warmup_allowance}
"""


def milliseconds(seconds: float) -> float:
    """Convert seconds to milliseconds, rounded to whole microseconds."""
    return round(seconds / SECONDS_PER_MILLISECOND, 3)


def encode_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return the operator's document. It has no revision, which the store assigns."""
    limits = configuration.limits
    document = {
        "version": configuration.version,
        "routes": [encode_route(route) for route in configuration.routes],
        "services": [encode_service(service) for service in configuration.services],
        "limits": WireLimits(
            limits.header_bytes,
            limits.body_bytes,
            milliseconds(limits.header_timeout),
            milliseconds(limits.idle_timeout),
        ),
    }
    if configuration.accounts is not None:
        document["tenants"] = [
            WireAccount(account.name, list(account.keys), account.priority)
            for account in configuration.accounts
        ]
    return msgspec.to_builtins(document)


def encode_route(route: Route) -> WireRoute:
    """Return the document of a route."""
    return WireRoute(
        name=route.name,
        host=route.host,
        path_prefix=route.prefix,
        route_type=ROUTE_TYPES[route.kind],
        timeout_ms=milliseconds(route.timeout),
        backends=[
            WireBackend(weighted.service, weighted.weight) for weighted in route.weighted_services
        ],
        target_latency_ms=milliseconds(route.latency_objective),
        priority=route.priority,
        max_attempts=route.max_attempts,
        public=route.public,
        resumable=route.resumable,
        target_gap_ms=None if route.max_gap is None else milliseconds(route.max_gap),
    )


def encode_service(service: Service) -> WireService:
    """Return the document of a service."""
    engine = service.engine
    capacity = (
        WireEngine(engine.slots, engine.memory_tokens, engine.tokens_per_event) if engine else None
    )
    warmup = service.warmup
    return WireService(
        service.name,
        service.health_path,
        service.max_connections,
        capacity,
        warmup.seconds if warmup else 0.0,
        warmup.rate if warmup else 0.0,
    )


def encode_endpoint(entry: EndpointEntry) -> dict[str, Any]:
    """Return the document of an endpoint."""
    wire = WireEndpoint(
        service=entry.service,
        address=f"{entry.address}:{entry.port}",
        zone=entry.failure_domain,
        version=entry.version,
        max_batch_size=entry.slots,
        state=names.STATE_DRAINING if entry.draining else names.STATE_READY,
        warmup_left_ms=milliseconds(entry.warmup_left) if entry.reports_warmup else None,
        born=entry.started_ms or None,
    )
    return msgspec.to_builtins(wire)


def encode_settings(settings: DirectSettings) -> str:
    """Return the content of a router's settings file."""
    address, port = settings.store
    seeds = [f"{seed}:1" for seed in settings.seeds]
    template = SETTINGS_TEMPLATE
    if settings.evacuation_time is not None:
        template += f"evacuate-ms = {milliseconds(settings.evacuation_time)}\n"
    if settings.warmup_overage is not None:
        template += WARMUP_TEMPLATE
    first_start = str(settings.first_start).lower()
    return template.format(
        settings=settings, seeds=seeds, first_start=first_start, store=f"{address}:{port}"
    )
