"""One router process: listeners, tasks, signals and the end."""

import signal

import curio

from ..events import Event, log
from ..http import listen
from ..process import Signals, supervise
from .node import Node, followers
from .pages import MetricsPage, Readiness
from .router import Router
from .settings import DirectSettings

EXIT_MARGIN = 0.3  # Seconds before the process would be killed.


async def main(settings: DirectSettings, codec, store_class) -> None:
    """Run a router until SIGTERM."""
    node = Node(settings, codec, store_class)
    router = Router(node)
    readiness = Readiness(node, codec.READY_PATH)
    signals = Signals(signal.SIGHUP)
    log(Event.STARTED, f"{settings.vm} listens on {settings.address}:{settings.port}")
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(readiness.server.serve, listen(settings.address, settings.ready_port))
        page = MetricsPage(node, router)
        await group.spawn(page.server.serve, listen(settings.address, settings.metrics_port))
        await group.spawn(router.server.serve, listen(settings.address, settings.port))
        for task in (
            node.expire,
            node.watch_settings,
            node.neighbours.run,
            *(follower.run for follower in followers(node)),
        ):
            await group.spawn(supervise, task)
        while await signals.wait() is signal.SIGHUP:
            node.reload()
        node.draining = True
        router.server.draining = True
        log(Event.DRAINING, f"{settings.vm} finishes what is in flight")
        async with curio.ignore_after(settings.drain_grace - EXIT_MARGIN):
            await router.drain()
        await node.neighbours.leave()
    log(Event.STOPPED, f"{settings.vm} stops")
