"""Accepts callers' requests, routes and forwards them, and records their outcomes."""

import dataclasses
import time
from dataclasses import dataclass

import curio

from ..defaults import MAX_BUFFERED_BYTES
from ..events import Event, log
from ..exceptions import CallerGone, ConnectionLost, Kind, Ran, RequestError
from ..http import Exchange, Limits, Server, cancel_on_disconnect, header
from .call import Call, causes
from .forward import Forwarder, forward
from .node import Node
from .records import RequestInfo
from .routes import RouteTable

BODIES_RATIO = 0.15  # Of the memory, for request bodies, also while endpoints read them.
SEND_BUFFER_BYTES = 256 * 1024  # Of a caller; the kernel would take over 1 MiB if it reads slowly.
DEFAULT_TIMEOUT_SECONDS = 30.0  # For requests without a deadline of their own.
DRAIN_ACCEPT_SECONDS = 2.2  # New connections are accepted for this time after SIGTERM.
DRAIN_FIRST_REQUEST_SECONDS = 0.5  # Then open connections may still send their first request.
DRAIN_POLL_SECONDS = 0.02
NOT_READY_RETRY_AFTER_SECONDS = 0.5
CALLER_GONE = "caller_gone"  # Outcome in logs and metrics.


@dataclass(slots=True)
class RequestRecord:
    """What is known about a request, for its log line and metrics.

    :param started_at: monotonic seconds.
    :param kind: kind of the error that ended it; empty if an endpoint answered.
    """

    exchange: Exchange
    started_at: float
    info: RequestInfo | None = None
    routes: RouteTable | None = None
    call: Call | None = None
    kind: str = ""
    detail: str = ""
    ran: Ran = Ran.NO


def call_fields(call: Call) -> dict[str, object]:
    """Return the log fields of a routed call."""
    stream = call.stream
    return {
        "route": call.route.name,
        "account": call.account_name,
        "limit": round(call.deadline - call.started_at, 3),
        "path": call.attempt_results,
        "resumes": call.info.resumes,
        "after": call.info.last_event_id,
        "events": stream.event_count if stream else 0,
        "first": round(stream.first_event_at - call.started_at, 3)
        if stream and stream.event_count
        else 0.0,
        "gap": round(stream.max_gap, 3) if stream else 0.0,
        "parts": [f"{part.id}:{part.tokens}" for part in call.info.parts],
    }


class Router:
    """HTTP server for callers."""

    def __init__(self, node: Node):
        self.node = node
        self.forwarder = Forwarder(node)
        connections = node.settings.max_descriptors // 2
        bodies = min(MAX_BUFFERED_BYTES, int(node.settings.memory_bytes * BODIES_RATIO))
        limits = Limits(
            max_age=float("inf"),
            max_connections=connections,
            max_buffered_bytes=bodies,
            send_buffer=SEND_BUFFER_BYTES,
        )
        self.server = Server(self.handle, self.refuse, limits)
        self.in_flight = 0
        node.configuration_callbacks.append(self.apply_limits)

    def apply_limits(self, routes: RouteTable) -> None:
        """Apply the configuration's limits on callers."""
        limits = routes.limits
        self.server.limits = dataclasses.replace(
            self.server.limits,
            header_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
            max_head_bytes=limits.header_bytes,
        )

    async def refuse(self, exchange: Exchange, error: RequestError) -> None:
        """Send an error response of this router."""
        status, fields, body = self.node.codec.refusal(error)
        await exchange.respond(status, fields, body)

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request and log its outcome."""
        self.in_flight += 1
        started_at = time.monotonic()
        record = RequestRecord(exchange, started_at)
        try:
            await self.route_request(record)
        except RequestError as error:
            if record.call is not None and record.call.ran is not Ran.NO:
                error.ran = record.call.ran
            record.kind = error.kind.value
            record.detail = error.detail
            record.ran = error.ran
            raise
        except (CallerGone, ConnectionLost) as error:
            record.kind = CALLER_GONE
            raise ConnectionLost(str(error)) from error
        finally:
            self.in_flight -= 1
            self.finish(record, time.monotonic() - started_at)

    async def route_request(self, record: RequestRecord) -> None:
        """Find a request's route, client account and service, read its body and forward it.

        :raises RequestError: if the request is refused or fails.
        """
        node = self.node
        exchange = record.exchange
        info = record.info = node.codec.read_request(exchange.headers)
        if not node.store_known():
            raise RequestError(Kind.NOT_READY, "", Ran.NO, NOT_READY_RETRY_AFTER_SECONDS)
        routes = record.routes = node.routes
        host = header(exchange.headers, b"host").decode("latin-1")
        route = routes.find(host, exchange.path)
        account = routes.identify(route, info.key)
        service = routes.choose_service(route, node.rng)
        limit = DEFAULT_TIMEOUT_SECONDS if info.time_limit is None else info.time_limit
        deadline = record.started_at + min(limit, route.timeout or limit)
        call = Call(exchange, info, route, service, account, record.started_at, deadline)
        record.call = call
        call.body = await exchange.body(routes.limits.body_bytes)
        call.causes = causes(call)
        await self.forward_call(call)

    async def forward_call(self, call: Call) -> None:
        """Forward a call until it ends or its caller disconnects.

        :raises RequestError: if the call is refused or fails.
        """
        node = self.node
        node.quarantine.check(call)
        node.budget.record_request(call.service.name, time.monotonic())
        await cancel_on_disconnect(call.exchange, forward, self.forwarder, call)

    def finish(self, record: RequestRecord, seconds: float) -> None:
        """Count and log a finished request."""
        call = record.call
        self.count(call, record.kind, seconds)
        configuration = record.routes.configuration if record.routes else None
        fields = {
            "request": record.info.id if record.info else "",
            "ran": call.ran if call and call.ran is not Ran.NO else record.ran,
            "detail": record.detail,
            "version": configuration.version if configuration else 0,
            "seconds": round(seconds, 4),
        }
        if call is not None:
            fields |= call_fields(call)
        if record.kind and self.node.directory.evacuated_domains:
            fields["evacuated"] = sorted(self.node.directory.evacuated_domains)
        log(
            Event.REQUEST_REFUSED if record.kind else Event.REQUEST_DONE,
            record.kind or "answered",
            **fields,
        )

    def count(self, call: Call | None, kind: str, seconds: float) -> None:
        """Update the metrics of finished requests."""
        metrics = self.node.metrics
        labels = {"route": call.route.name if call else ""}
        metrics.routed.inc({**labels, "kind": kind or "answered"})
        metrics.request_seconds.observe(labels, seconds)
        stream = call.stream if call else None
        if stream is not None and stream.event_count:
            metrics.first_event.observe(labels, stream.first_event_at - call.started_at)
            metrics.event_gap.observe(labels, stream.max_gap)

    async def drain(self) -> None:
        """Accept connections for a while longer, then wait until no request is in flight."""
        await curio.sleep(DRAIN_ACCEPT_SECONDS)
        if self.server.accept_task is not None:
            await self.server.stop(DRAIN_FIRST_REQUEST_SECONDS)
        while self.in_flight:
            await curio.sleep(DRAIN_POLL_SECONDS)
