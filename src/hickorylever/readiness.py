"""Tells whether a sidecar's endpoint may be given work: it takes connections and is warm."""

from collections.abc import Awaitable, Callable

import curio

from . import defaults
from .events import Event, log
from .exceptions import ConnectionLost
from .http import connect


class Readiness:
    """Checks the endpoint beside a sidecar.

    :param warm: tells whether the endpoint has loaded what it was ordered to.
    """

    def __init__(self, env, address: str, port: int, warm: Callable[[], bool] = lambda: True):
        self.env = env
        self.address = address
        self.port = port
        self.warm = warm
        self.up = False
        self.misses = 0
        env.timers.subscribe("endpoint", defaults.ENDPOINT_CHECK_SECONDS, self.check)

    def ready(self) -> bool:
        """Tell whether the endpoint may be given work."""
        return self.env.fleet is not None and self.up and self.warm()

    async def start(self, refresh: Callable[[], Awaitable[None]]) -> None:
        """Check often until the endpoint is ready for the first time.

        :param refresh: finds out again whether it is warm.
        """
        while not self.ready():
            await self.check()
            await refresh()
            await curio.sleep(defaults.ENDPOINT_STARTUP_CHECK_SECONDS)

    async def check(self) -> None:
        """Connect to the endpoint; a single miss is forgiven."""
        try:
            sock = await connect(self.address, self.port)
        except ConnectionLost as error:
            self.miss(str(error))
            return
        await sock.close()
        self.misses = 0
        if not self.up:
            self.up = True
            log(Event.ENDPOINT_READY, f"{self.address}:{self.port} takes connections")

    def miss(self, detail: str) -> None:
        """Count a failed check."""
        self.misses += 1
        if self.up and self.misses >= defaults.ENDPOINT_UNHEALTHY_THRESHOLD:
            self.up = False
            log(Event.ENDPOINT_LOST, detail, 30)
