"""Accepts callers' requests, routes and forwards them, and records their outcomes."""

import dataclasses
import time
from dataclasses import dataclass

import curio

from ..events import Event, log
from ..exceptions import CallerGone, ConnectionLost, Kind, Ran, RequestError
from ..http import Exchange, Limits, Server, header, while_wanted
from .forward import Call, Forwarder, fingerprint, forward
from .node import Node
from .records import RequestInfo
from .routes import Routes

DEFAULT_TIME_LIMIT = 30.0  # For requests without a deadline of their own.
LISTEN_TIME = 2.2  # The load balancer may still open connections for this time after SIGTERM.
LAST_REQUESTS = 0.5  # After that, time for open connections to send their first request.
DRAIN_POLL = 0.02
QUARANTINE_PAUSE = 5.0
START_PAUSE = 0.5
CALLER_GONE = "caller_gone"  # Outcome in logs and metrics.


@dataclass(slots=True)
class Asked:
    """What is known about a request, for its log line and metrics.

    :param begun: monotonic seconds.
    :param kind: kind of the error that ended it; empty if an endpoint answered.
    """

    exchange: Exchange
    begun: float
    info: RequestInfo | None = None
    routes: Routes | None = None
    call: Call | None = None
    kind: str = ""
    detail: str = ""
    ran: Ran = Ran.NO


def describe(call: Call) -> dict[str, object]:
    """Return the log fields of a routed call."""
    stream = call.stream
    return {
        "route": call.route.name,
        "account": call.account.name if call.account else "",
        "limit": round(call.deadline - call.begun, 3),
        "path": call.path,
        "events": stream.events if stream else 0,
        "first": round(stream.first - call.begun, 3) if stream and stream.events else 0.0,
        "gap": round(stream.max_gap, 3) if stream else 0.0,
        "parts": [f"{part.id}:{part.tokens}" for part in call.info.parts],
    }


class Router:
    """HTTP server for callers."""

    def __init__(self, node: Node):
        self.node = node
        self.forwarder = Forwarder(node)
        connections = node.settings.max_descriptors // 2
        limits = Limits(max_age=float("inf"), max_connections=connections)
        self.server = Server(self.handle, self.refuse, limits)
        self.in_flight = 0
        node.adopted.append(self.take_limits)

    def take_limits(self, routes: Routes) -> None:
        """Apply the configuration's limits on callers."""
        limits = routes.limits
        self.server.limits = dataclasses.replace(
            self.server.limits,
            header_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
            max_head=limits.header_bytes,
        )

    async def refuse(self, exchange: Exchange, error: RequestError) -> None:
        """Send an error response of this router."""
        status, fields, body = self.node.codec.refusal(error)
        await exchange.respond(status, fields, body)

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request and log its outcome."""
        self.in_flight += 1
        begun = time.monotonic()
        asked = Asked(exchange, begun)
        try:
            await self.answer(asked)
        except RequestError as error:
            asked.kind = error.kind.value
            asked.detail = error.detail
            asked.ran = error.ran
            raise
        except (CallerGone, ConnectionLost) as error:
            asked.kind = CALLER_GONE
            raise ConnectionLost(str(error)) from error
        finally:
            self.in_flight -= 1
            self.finish(asked, time.monotonic() - begun)

    async def answer(self, asked: Asked) -> None:
        """Find a request's route, client account and service, read its body and forward it.

        :raises RequestError: if the request is refused or fails.
        """
        node = self.node
        exchange = asked.exchange
        info = asked.info = node.codec.read_request(exchange.headers)
        if node.routes is None or not node.listed:
            raise RequestError(Kind.NOT_READY, "", Ran.NO, START_PAUSE)
        routes = asked.routes = node.routes
        host = header(exchange.headers, b"host").decode("latin-1")
        route = routes.find(host, exchange.path)
        account = routes.identify(route, info.key)
        service = routes.choose_service(route, node.chance)
        limit = DEFAULT_TIME_LIMIT if info.time_limit is None else info.time_limit
        deadline = asked.begun + min(limit, route.timeout or limit)
        call = Call(exchange, info, route, service, account, asked.begun, deadline)
        asked.call = call
        call.body = await exchange.body(routes.limits.body_bytes)
        call.fingerprint = fingerprint(call)
        await self.run(call)

    async def run(self, call: Call) -> None:
        """Forward a call until it ends or its caller disconnects.

        :raises RequestError: if the call is refused or fails.
        """
        node = self.node
        if node.crashes.suspected(call.fingerprint, time.monotonic()):
            raise RequestError(Kind.QUARANTINED, "", Ran.NO, QUARANTINE_PAUSE)
        node.budget.note_request(call.service.name, time.monotonic())
        await while_wanted(call.exchange, forward, self.forwarder, call)

    def finish(self, asked: Asked, seconds: float) -> None:
        """Count and log a finished request."""
        call = asked.call
        self.count(call, asked.kind, seconds)
        configuration = asked.routes.configuration if asked.routes else None
        fields = {
            "request": asked.info.id if asked.info else "",
            "ran": call.ran if call and call.ran is not Ran.NO else asked.ran,
            "detail": asked.detail,
            "version": configuration.version if configuration else 0,
            "seconds": round(seconds, 4),
        }
        if call is not None:
            fields |= describe(call)
        log(
            Event.REQUEST_REFUSED if asked.kind else Event.REQUEST_DONE,
            asked.kind or "answered",
            **fields,
        )

    def count(self, call: Call | None, kind: str, seconds: float) -> None:
        """Update the metrics of finished requests."""
        metrics = self.node.metrics
        labels = {"route": call.route.name if call else ""}
        metrics.routed.inc({**labels, "kind": kind or "answered"})
        metrics.seconds.observe(labels, seconds)
        stream = call.stream if call else None
        if stream is not None and stream.events:
            metrics.first_event.observe(labels, stream.first - call.begun)
            metrics.event_gap.observe(labels, stream.max_gap)

    async def drain(self) -> None:
        """Accept connections for a while longer, then wait until no request is in flight."""
        await curio.sleep(LISTEN_TIME)
        if self.server.acceptor is not None:
            await self.server.stop(LAST_REQUESTS)
        while self.in_flight:
            await curio.sleep(DRAIN_POLL)
