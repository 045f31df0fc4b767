"""Runs the servers and background tasks of one router process and shuts them down."""

import signal
import socket

import curio

from ..events import Event, log
from ..http import listen
from ..process import Signals, supervise
from .node import Node, create_store_watchers
from .router import Router
from .settings import DirectSettings
from .status_servers import MetricsServer, ReadinessServer

EXIT_MARGIN_SECONDS = 0.3  # Left for the exit itself before the process is killed.
MAX_START_WAIT_SECONDS = 0.3  # Maximum wait of the first callers for a configuration.
START_POLL_SECONDS = 0.002


async def accept_when_ready(node: Node, router: Router, listener: socket.socket | None) -> None:
    """Serve callers once the router is ready, or after a short wait at most."""
    settings = node.settings
    sock = curio.io.Socket(listener) if listener else listen(settings.address, settings.port)
    waited = 0.0
    while not node.ready() and waited < MAX_START_WAIT_SECONDS:
        await curio.sleep(START_POLL_SECONDS)
        waited += START_POLL_SECONDS
    await router.server.serve(sock)


async def main(
    settings: DirectSettings, codec, store_class, listener: socket.socket | None = None
) -> None:
    """Run a router until SIGTERM.

    :param codec: module that decodes the platform's documents and headers.
    :param store_class: class of the client for the platform's store.
    :param listener: socket that already listens for callers.
    """
    node = Node(settings, codec, store_class)
    router = Router(node)
    readiness = ReadinessServer(node, codec.READY_PATH)
    signals = Signals(signal.SIGHUP)
    log(Event.STARTED, f"{settings.vm} listens on {settings.address}:{settings.port}")
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(readiness.server.serve, listen(settings.address, settings.ready_port))
        metrics_server = MetricsServer(node, router)
        await group.spawn(
            metrics_server.server.serve, listen(settings.address, settings.metrics_port)
        )
        await group.spawn(accept_when_ready, node, router, listener)
        for task in (
            node.expire,
            node.watch_settings,
            node.peer_sync.run,
            router.forwarder.placer.recheck_queued,
            *(watcher.run for watcher in create_store_watchers(node)),
        ):
            await group.spawn(supervise, task)
        while await signals.wait() is signal.SIGHUP:
            node.reload()
        node.draining = True
        router.server.draining = True
        log(Event.DRAINING, f"{settings.vm} waits for requests in flight")
        async with curio.ignore_after(settings.drain_grace - EXIT_MARGIN_SECONDS):
            await router.drain()
        await node.peer_sync.leave()
    log(Event.STOPPED, f"{settings.vm} has shut down")
