"""One router process: listeners, tasks, signals and the end."""

import signal
import socket

import curio

from ..events import Event, log
from ..http import listen
from ..process import Signals, supervise
from .node import Node, create_store_watchers
from .pages import MetricsPage, Readiness
from .router import Router
from .settings import DirectSettings

EXIT_MARGIN = 0.3  # Seconds before the process would be killed.
START_WAIT = 0.3  # Seconds that first callers wait for a configuration.
START_POLL = 0.01  # Seconds.


async def accept_when_ready(node: Node, router: Router, listener: socket.socket | None) -> None:
    """Serve callers once there is something to serve them with, or after a short wait."""
    settings = node.settings
    sock = curio.io.Socket(listener) if listener else listen(settings.address, settings.port)
    waited = 0.0
    while not node.ready() and waited < START_WAIT:
        await curio.sleep(START_POLL)
        waited += START_POLL
    await router.server.serve(sock)


async def main(
    settings: DirectSettings, codec, store_class, listener: socket.socket | None = None
) -> None:
    """Run a router until SIGTERM.

    :param listener: a socket that listens for callers already.
    """
    node = Node(settings, codec, store_class)
    router = Router(node)
    readiness = Readiness(node, codec.READY_PATH)
    signals = Signals(signal.SIGHUP)
    log(Event.STARTED, f"{settings.vm} listens on {settings.address}:{settings.port}")
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(readiness.server.serve, listen(settings.address, settings.ready_port))
        page = MetricsPage(node, router)
        await group.spawn(page.server.serve, listen(settings.address, settings.metrics_port))
        await group.spawn(accept_when_ready, node, router, listener)
        for task in (
            node.expire,
            node.watch_settings,
            node.peer_sync.run,
            *(watcher.run for watcher in create_store_watchers(node)),
        ):
            await group.spawn(supervise, task)
        while await signals.wait() is signal.SIGHUP:
            node.reload()
        node.draining = True
        router.server.draining = True
        log(Event.DRAINING, f"{settings.vm} finishes what is in flight")
        async with curio.ignore_after(settings.drain_grace - EXIT_MARGIN):
            await router.drain()
        await node.peer_sync.leave()
    log(Event.STOPPED, f"{settings.vm} stops")
