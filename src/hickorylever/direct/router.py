"""Callers' requests: found a route for, forwarded, counted and logged."""

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

DEFAULT_TIME_LIMIT = 30.0  # Seconds.
LISTEN_TIME = 2.2  # Seconds after SIGTERM in which new connections are still served.
LAST_REQUESTS = 0.5  # Seconds more that an open connection has for its first request.
DRAIN_POLL = 0.02  # Seconds.
QUARANTINE_PAUSE = 5.0  # Seconds.
START_PAUSE = 0.5  # Seconds.
CALLER_GONE = "caller_gone"  # Kind of outcome in logs and metrics.


@dataclass(slots=True)
class Asked:
    """A request from its head to its end, for the log.

    :param kind: of the error that ended it; empty when an endpoint answered.
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
    """Return what a log line says of a call that was routed."""
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
    """Answers callers."""

    def __init__(self, node: Node):
        self.node = node
        self.forwarder = Forwarder(node)
        connections = node.settings.max_descriptors // 2
        limits = Limits(max_age=float("inf"), max_connections=connections)
        self.server = Server(self.handle, self.refuse, limits)
        self.in_flight = 0
        node.configuration_callbacks.append(self.take_limits)

    def take_limits(self, routes: Routes) -> None:
        """Put the configuration's limits on callers in force."""
        limits = routes.limits
        self.server.limits = dataclasses.replace(
            self.server.limits,
            header_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
            max_head=limits.header_bytes,
        )

    async def refuse(self, exchange: Exchange, error: RequestError) -> None:
        """Answer with an error of this router's own."""
        status, fields, body = self.node.codec.refusal(error)
        await exchange.respond(status, fields, body)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request and log what came of it."""
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
        """Read a request, find its route, account and service, and forward it."""
        node = self.node
        exchange = asked.exchange
        info = asked.info = node.codec.read_request(exchange.headers)
        if node.routes is None or not node.endpoints_listed:
            raise RequestError(Kind.NOT_READY, "", Ran.NO, START_PAUSE)
        routes = asked.routes = node.routes
        host = header(exchange.headers, b"host").decode("latin-1")
        route = routes.find(host, exchange.path)
        account = routes.identify(route, info.key)
        service = routes.choose_service(route, node.rng)
        limit = DEFAULT_TIME_LIMIT if info.time_limit is None else info.time_limit
        deadline = asked.begun + min(limit, route.timeout or limit)
        call = Call(exchange, info, route, service, account, asked.begun, deadline)
        asked.call = call
        call.body = await exchange.body(routes.limits.body_bytes)
        call.fingerprint = fingerprint(call)
        await self.run(call)

    async def run(self, call: Call) -> None:
        """Forward a call, and stop when its caller goes away."""
        node = self.node
        if node.crashes.suspected(call.fingerprint, time.monotonic()):
            raise RequestError(Kind.QUARANTINED, "", Ran.NO, QUARANTINE_PAUSE)
        node.budget.note_request(call.service.name, time.monotonic())
        await while_wanted(call.exchange, forward, self.forwarder, call)

    def finish(self, asked: Asked, seconds: float) -> None:
        """Count and log one request."""
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
        """Count one request."""
        metrics = self.node.metrics
        labels = {"route": call.route.name if call else ""}
        metrics.routed.inc({**labels, "kind": kind or "answered"})
        metrics.seconds.observe(labels, seconds)
        stream = call.stream if call else None
        if stream is not None and stream.events:
            metrics.first_event.observe(labels, stream.first - call.begun)
            metrics.event_gap.observe(labels, stream.max_gap)

    async def drain(self) -> None:
        """Serve new connections for a time, then return when nothing is in flight."""
        await curio.sleep(LISTEN_TIME)
        if self.server.acceptor is not None:
            await self.server.stop(LAST_REQUESTS)
        while self.in_flight:
            await curio.sleep(DRAIN_POLL)
