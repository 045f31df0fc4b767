"""The router: the HTTP server for callers, in front of the filter chain."""

import uuid

import curio

from . import configuration, defaults, filters, gossip, suspicion, vm_poller
from .call import Call
from .controllers import leases
from .controllers.claims import Claims
from .environment import Environment
from .events import Event, log, logger
from .exceptions import HickoryleverError, Kind, Ran, RequestError
from .filters.identify import identify
from .http import Exchange, Server, header
from .node import refuse, respond_json, run_node
from .settings import Settings

DRAIN_POLL_SECONDS = 0.05


class Router:
    """Handles the requests of callers.

    :param env: the environment of the process.
    """

    def __init__(self, env: Environment):
        self.env = env
        env.claims = Claims(env)
        self.server = Server(self.handle, refuse)
        self.in_flight = 0
        suspicion.attach(env)
        env.timers.subscribe("silence", defaults.HEARTBEAT_INTERVAL_SECONDS, self.check_heartbeats)
        env.timers.subscribe("limits", defaults.QUEUE_REVIEW_INTERVAL_SECONDS, env.limits.review)

    async def check_heartbeats(self) -> None:
        """Abort connections to sidecars whose heartbeats are missing."""
        self.env.heartbeats.check(self.env.clock())

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request and count it as in flight meanwhile.

        :raises RequestError: when the request is refused or fails.
        """
        self.in_flight += 1
        try:
            await self.run_filters(exchange)
        finally:
            self.in_flight -= 1

    async def run_filters(self, exchange: Exchange) -> None:
        """Run the filter chain and log the result."""
        env = self.env
        call = Call(exchange, uuid.uuid4().hex, env.clock(), env.clock() + self.budget(exchange))
        try:
            if exchange.path == "/v1/models":
                await self.list_models(call)
            else:
                await filters.run(env, call)
        except RequestError as error:
            self.finish(call, error.kind.value, error.ran)
            raise
        except (HickoryleverError, curio.CancelledError):
            self.finish(call, "caller_gone", call.ran)
            raise
        except Exception as error:
            logger.exception("request failed", extra={"event": Event.INTERNAL_ERROR})
            self.finish(call, Kind.INTERNAL.value, Ran.UNKNOWN)
            raise RequestError(Kind.INTERNAL, "", Ran.UNKNOWN) from error
        self.finish(call, "", call.ran)

    def budget(self, exchange: Exchange) -> float:
        """Return the time limit from the Hickory-Timeout header in seconds, or the default.

        :raises RequestError: when the header is not a number or out of range.
        """
        header_value = header(exchange.headers, b"hickory-timeout")
        try:
            seconds = float(header_value) if header_value else defaults.REQUEST_TIMEOUT_SECONDS
        except ValueError:
            raise RequestError(Kind.BAD_REQUEST, "Hickory-Timeout is not a number") from None
        if not 0 < seconds <= defaults.REQUEST_TIMEOUT_SECONDS:
            detail = (
                "Hickory-Timeout must be over 0 and at most "
                f"{defaults.REQUEST_TIMEOUT_SECONDS:.0f}"
            )
            raise RequestError(Kind.BAD_REQUEST, detail)
        return seconds

    async def list_models(self, call: Call) -> None:
        """Respond with the models that the client account may use."""

        async def respond_models() -> None:
            models = [
                {"id": model, "object": "model", "created": 0, "owned_by": self.env.fleet.name}
                for model in call.account.models
            ]
            await respond_json(call.exchange, {"object": "list", "data": models})

        await identify(self.env, call, respond_models)

    def finish(self, call: Call, kind: str, ran: Ran) -> None:
        """Record metrics of a finished request and log it."""
        seconds = self.env.clock() - call.started_at
        application = call.application.name if call.application else ""
        labels = {"application": application, "kind": kind, "ran": ran.value}
        self.env.metrics.requests.inc(labels)
        self.env.metrics.latency.observe({"application": application}, seconds)
        log(
            Event.REQUEST_REFUSED if kind else Event.REQUEST_DONE,
            kind or "answered",
            request=call.id,
            account=call.account.name if call.account else "",
            endpoint=call.endpoint,
            seconds=round(seconds, 4),
            **labels,
        )

    async def drain(self) -> None:
        """Drain the router.

        Requests are accepted until the load balancer has had time to remove this router; then the
        listener closes, and requests in flight are finished.
        """
        await curio.sleep(self.env.settings.balancer_delay)
        await self.server.stop()
        while self.in_flight:
            await curio.sleep(DRAIN_POLL_SECONDS)


async def main(settings: Settings) -> None:
    """Run a router until a signal stops it."""
    env = Environment(settings)
    configuration.attach(env)
    gossip.attach_router(env)
    vm_poller.attach(env)
    leases.attach(env)
    router = Router(env)
    await run_node(env, router.server, router.drain)
