"""The central object of a process: settings, registries, clock, metrics and the fleet in force."""

import random
import time
import uuid
from collections.abc import Awaitable, Callable

import curio
import msgspec

from . import defaults
from .decisions.affinity import View
from .decisions.chats import Popularity
from .decisions.loads import Estimates, Loads
from .decisions.pools import Pool, load_groups, make_pools
from .decisions.revisions import Revisions
from .events import Event, log
from .exceptions import ConnectionLost, PlatformError
from .fleet import decode, digest
from .http import Client
from .limits import Limits
from .metrics import Metrics
from .platform import Platform
from .records import Application, ClientAccount, Endpoint, Fleet, Revision
from .settings import Settings, split_address
from .timers import Timers


class Environment:
    """What the parts of one process share.

    :param settings: the process's settings.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.incarnation = uuid.uuid4().hex
        self.chance = random.Random(settings.seed or None)
        self.metrics = Metrics()
        self.client = Client()
        self.timers = Timers(self.chance, self.timer_failed)
        address, port = split_address(settings.platform)
        self.platform = Platform(address, port, self.client, self.metrics)
        self.revisions = Revisions()
        self.fleet: Fleet | None = None
        self.fleet_bytes = b""
        self.loads = Loads()
        self.estimates = Estimates()
        self.popularity = Popularity()
        self.incarnations: dict[str, str] = {}
        self.view = View(
            loads=self.loads,
            failure_domain=settings.failure_domain,
            chance=self.chance,
            usable=self.usable,
        )
        self.limits = Limits(self)
        self.client_accounts: dict[str, ClientAccount] = {}
        self.draining = False
        self.tasks: list[Callable[[], Awaitable[None]]] = [self.follow_configuration]
        self.accounts: dict[str, ClientAccount] = {}
        self.applications: dict[str, Application] = {}
        self.pools: dict[str, Pool] = {}
        self.models: dict[str, Pool] = {}

    def clock(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def usable(self, endpoint: str) -> bool:
        """Tell whether an endpoint may be given new work, as far as this node knows."""
        return True

    def timer_failed(self, name: str, error: Exception) -> None:
        """Log a failed subscription of the timer service."""
        log(Event.TIMER_FAILED, f"timer {name} failed: {error!r}", 40)

    def adopt(self, revision: Revision, data: bytes) -> bool:
        """Put a configuration in force if it is newer and its digest is right."""
        if not self.revisions.adopt(revision, digest(data)):
            log(Event.CONFIGURATION_REJECTED, f"revision {revision.number} was not adopted")
            return False
        self.put_in_force(decode(data), data)
        self.metrics.revision.set({}, revision.number)
        log(Event.CONFIGURATION_ADOPTED, f"revision {revision.number} is in force")
        return True

    def put_in_force(self, fleet: Fleet, data: bytes) -> None:
        """Build the tables that requests are looked up in."""
        self.fleet = fleet
        self.fleet_bytes = data
        self.accounts = {
            key: account for account in fleet.client_accounts for key in account.key_digests
        }
        self.client_accounts = {entry.name: entry for entry in fleet.client_accounts}
        self.applications = {entry.name: entry for entry in fleet.applications}
        pools: dict[str, list[Endpoint]] = {}
        models: dict[str, list[Endpoint]] = {}
        for endpoint in fleet.endpoints:
            pools.setdefault(endpoint.application, []).append(endpoint)
            for model in endpoint.models:
                models.setdefault(model, []).append(endpoint)
        self.pools = make_pools("application", pools, self.pools)
        self.models = make_pools("model", models, self.models)
        self.view.multiple = fleet.load_multiple
        self.view.floor = fleet.load_floor
        every = (*self.pools.values(), *self.models.values())
        self.loads.arrange(load_groups(every, self.settings.vm))

    async def pull_configuration(self) -> None:
        """Read the accepted configuration from the object API and adopt it if it is newer."""
        head = await self.platform.get("configuration", "head")
        if head.version == 0:
            return
        revision = msgspec.json.decode(head.value, type=Revision)
        self.revisions.hear(revision.number)
        if not self.revisions.behind():
            return
        content = await self.platform.get("configuration", f"content-{revision.digest}")
        self.adopt(revision, content.value)

    async def follow_configuration(self) -> None:
        """Follow the configuration until cancelled; platform outages are waited out."""
        since = 0
        while True:
            try:
                await self.pull_configuration()
                since, _ = await self.platform.watch("configuration", since)
            except (PlatformError, ConnectionLost) as error:
                log(Event.PLATFORM_FAILED, str(error), 30)
                await curio.sleep(defaults.PLATFORM_RETRY)
