"""Common parts of routers and sidecars: listeners, health, metrics and shutdown."""

from collections.abc import Awaitable, Callable

import curio
import msgspec

from . import defaults, problems
from .environment import Environment
from .events import Event, log
from .exceptions import Kind, RequestError
from .http import Exchange, Server, listen
from .packets import Phase
from .process import Signals, supervise
from .registry import Registry


async def refuse(exchange: Exchange, error: RequestError) -> None:
    """Respond with a problem document."""
    problem_type = problems.PROBLEM_TYPES[error.kind]
    await exchange.respond(problem_type.status, problems.headers(error), problems.document(error))


async def respond_json(exchange: Exchange, value: object, status: int = 200) -> None:
    """Respond with a value encoded as JSON."""
    body = msgspec.json.encode(value)
    await exchange.respond(status, [(b"content-type", b"application/json")], body)


Page = Callable[[Environment, Exchange], Awaitable[None]]
pages: Registry[Page] = Registry("admin page")


@pages.register("/healthz")
async def health(env: Environment, exchange: Exchange) -> None:
    """Respond with 200 while the process runs."""
    await exchange.respond(200, body=b"ok\n")


@pages.register("/readyz")
async def ready(env: Environment, exchange: Exchange) -> None:
    """Respond with 200 if a configuration is in force and the process is not draining."""
    is_ready = env.fleet is not None and not env.draining
    await exchange.respond(
        200 if is_ready else 503, body=b"ready\n" if is_ready else b"not ready\n"
    )


@pages.register("/metrics")
async def metrics(env: Environment, exchange: Exchange) -> None:
    """Respond with all metrics in the Prometheus text format."""
    fields = [(b"content-type", b"text/plain; version=0.0.4")]
    await exchange.respond(200, fields, env.metrics.render())


class AdminServer:
    """The admin server for health, metrics and peers. Other modules register its pages."""

    def __init__(self, env: Environment):
        self.env = env
        self.server = Server(self.handle, refuse)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request.

        :raises RequestError: when no page has the path.
        """
        if exchange.path not in pages:
            raise RequestError(Kind.NOT_FOUND)
        await pages[exchange.path](self.env, exchange)


async def run_node(env: Environment, server: Server, drain) -> None:
    """Run the servers and background tasks until a signal, then drain and return.

    :param drain: awaited after the signal for at most the drain period; returns when no work is in
        flight.
    """
    settings = env.settings
    env.timers.subscribe("idle connections", defaults.REAP_INTERVAL_SECONDS, env.client.reap)
    signals = Signals()
    listener = listen(settings.address, settings.port)
    admin_listener = listen(settings.address, settings.admin_port)
    log(
        Event.STARTED,
        f"{settings.vm} is listening on {listener.getsockname()}",
        admin=admin_listener.getsockname()[1],
        incarnation=env.incarnation,
    )
    if env.gossip is not None:
        env.gossip.bind(settings.address, admin_listener.getsockname()[1])
        env.tasks.append(env.gossip.run)
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(server.serve, listener)
        await group.spawn(AdminServer(env).server.serve, admin_listener)
        for task in (env.timers.run, *env.tasks):
            await group.spawn(supervise, task)
        await signals.wait()
        env.draining = True
        server.draining = True
        log(Event.DRAINING, f"{settings.vm} is draining")
        await env.announce_phase(Phase.DRAINING)
        async with curio.ignore_after(settings.balancer_delay + settings.drain_grace):
            await drain()
        await env.announce_phase(Phase.LEFT)
    log(Event.STOPPED, f"{settings.vm} has stopped")
