"""Readiness checks of a sidecar's endpoint."""

from collections.abc import Awaitable, Callable

import curio

from . import defaults
from .events import Event, log
from .exceptions import ConnectionLost
from .http import connect


class Readiness:
    """Checks whether the endpoint of a sidecar is ready for requests.

    :param warm: returns whether the endpoint has its models loaded and warmed up.
    """

    def __init__(self, env, address: str, port: int, warm: Callable[[], bool] = lambda: True):
        self.env = env
        self.address = address
        self.port = port
        self.warm = warm
        self.reachable = False
        self.failures = 0
        env.timers.subscribe("endpoint", defaults.ENDPOINT_CHECK_SECONDS, self.check)

    def ready(self) -> bool:
        """Return whether the endpoint may receive requests."""
        return self.env.fleet is not None and self.reachable and self.warm()

    async def start(self, refresh: Callable[[], Awaitable[None]]) -> None:
        """Check at short intervals until the endpoint is ready for the first time.

        :param refresh: updates the state that `warm` reads.
        """
        while not self.ready():
            await self.check()
            await refresh()
            await curio.sleep(defaults.ENDPOINT_STARTUP_CHECK_SECONDS)

    async def check(self) -> None:
        """Check that the endpoint accepts connections.

        It becomes unready after :data:`defaults.ENDPOINT_UNHEALTHY_THRESHOLD` failures in a row.
        """
        try:
            sock = await connect(self.address, self.port)
        except ConnectionLost as error:
            self.record_failure(str(error))
            return
        await sock.close()
        self.failures = 0
        if not self.reachable:
            self.reachable = True
            log(Event.ENDPOINT_READY, f"{self.address}:{self.port} accepts connections")

    def record_failure(self, detail: str) -> None:
        """Record a failed check."""
        self.failures += 1
        if self.reachable and self.failures >= defaults.ENDPOINT_UNHEALTHY_THRESHOLD:
            self.reachable = False
            log(Event.ENDPOINT_LOST, detail, 30)
