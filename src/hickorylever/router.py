"""The router: callers' HTTP in front of the filter chain."""

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

DRAIN_POLL = 0.05


class Router:
    """Answers callers.

    :param env: the process's environment.
    """

    def __init__(self, env: Environment):
        self.env = env
        env.claims = Claims(env)
        self.server = Server(self.handle, refuse)
        self.in_flight = 0
        suspicion.attach(env)
        env.timers.subscribe("silence", defaults.HEARTBEAT_INTERVAL_SECONDS, self.check_silence)
        env.timers.subscribe("limits", defaults.QUEUE_REVIEW_INTERVAL_SECONDS, env.limits.review)

    async def check_silence(self) -> None:
        """Cut connections to sidecars that have gone silent."""
        self.env.silence.check(self.env.clock())

    async def handle(self, exchange: Exchange) -> None:
        """Answer one caller's request."""
        self.in_flight += 1
        try:
            await self.answer(exchange)
        finally:
            self.in_flight -= 1

    async def answer(self, exchange: Exchange) -> None:
        """Run the filter chain and log what came of it."""
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
        """Return the caller's time limit in seconds, or the default."""
        text = header(exchange.headers, b"hickory-timeout")
        try:
            seconds = float(text) if text else defaults.REQUEST_TIMEOUT_SECONDS
        except ValueError:
            raise RequestError(Kind.BAD_REQUEST, "Hickory-Timeout is not a number") from None
        if not 0 < seconds <= defaults.REQUEST_TIMEOUT_SECONDS:
            limit = (
                "Hickory-Timeout must be over 0 and at most "
                f"{defaults.REQUEST_TIMEOUT_SECONDS:.0f}"
            )
            raise RequestError(Kind.BAD_REQUEST, limit)
        return seconds

    async def list_models(self, call: Call) -> None:
        """Answer with the models that the account may use."""

        async def reply() -> None:
            models = [
                {"id": model, "object": "model", "created": 0, "owned_by": self.env.fleet.name}
                for model in call.account.models
            ]
            await respond_json(call.exchange, {"object": "list", "data": models})

        await identify(self.env, call, reply)

    def finish(self, call: Call, kind: str, ran: Ran) -> None:
        """Count and log one request."""
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
        """Serve until the balancer has noticed, then return when no request is in flight."""
        await curio.sleep(self.env.settings.balancer_delay)
        await self.server.stop()
        while self.in_flight:
            await curio.sleep(DRAIN_POLL)


async def main(settings: Settings) -> None:
    """Run a router until it is told to stop."""
    env = Environment(settings)
    configuration.attach(env)
    gossip.attach_router(env)
    vm_poller.attach(env)
    leases.attach(env)
    router = Router(env)
    await run_node(env, router.server, router.drain)
