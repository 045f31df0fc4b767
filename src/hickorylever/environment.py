"""The shared state of a process: settings, clock, metrics, configuration and client."""

import random
import time
import uuid
from collections.abc import Awaitable, Callable

from . import defaults
from .addresses import split_address
from .decisions.budgets import RetryBudget
from .decisions.chats import PrefixPopularity
from .decisions.loads import LoadTable, WorkEstimator
from .decisions.pools import Pool, load_groups, make_pools
from .decisions.revisions import PLATFORM, Offer, Revisions, Verdict
from .decisions.routing_policies import View
from .decisions.suspects import Suspects
from .events import Event, log
from .exceptions import ContentError, Kind
from .fleet.content import Content, Decoder
from .fleet.pull_protocol import PullServer
from .heartbeats import HeartbeatMonitor
from .http import Client
from .interfaces import ClaimService, Membership
from .limits import RequestQueues
from .metrics import Metrics
from .objects import ObjectClient
from .packets import Phase
from .records import Application, ClientAccount, ClockSample, Endpoint, Fleet, Member, Revision
from .settings import Settings
from .timers import Timers


class Environment:
    """State and services that the components of one process share.

    :param settings: the settings of the process.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.incarnation = uuid.uuid4().hex
        self.rng = random.Random(settings.seed or None)
        self.metrics = Metrics()
        self.client = Client()
        self.timers = Timers(self.rng, self.log_timer_error)
        address, port = split_address(settings.platform)
        self.platform = ObjectClient(address, port, self.client, self.metrics)
        self.revisions = Revisions(self.rng)
        self.fleet: Fleet | None = None
        self.content = Content({})
        self.decoder = Decoder()
        self.pull_server = PullServer()
        self.configuration_callbacks: list[Callable[[Revision], None]] = []
        self.loads = LoadTable()
        self.estimates = WorkEstimator()
        self.popularity = PrefixPopularity()
        self.suspects = Suspects()
        self.suspects_retry_at = 0.0
        self.incarnations: dict[str, str] = {}
        self.clock_samples: dict[str, ClockSample] = {}
        self.claims: ClaimService | None = None
        self.gossip: Membership | None = None
        self.retry_budget = RetryBudget(defaults.RETRY_BUDGET_RATIO, defaults.RETRY_BUDGET_BURST)
        self.view = View(
            loads=self.loads,
            failure_domain=settings.failure_domain,
            rng=self.rng,
            usable=self.usable,
        )
        self.limits = RequestQueues(self)
        self.client_accounts: dict[str, ClientAccount] = {}
        self.heartbeats = HeartbeatMonitor()
        self.draining = False
        self.tasks: list[Callable[[], Awaitable[None]]] = []
        self.accounts_by_key: dict[str, ClientAccount] = {}
        self.applications: dict[str, Application] = {}
        self.pools: dict[str, Pool] = {}
        self.models: dict[str, Pool] = {}

    def clock(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall_clock(self) -> float:
        """Return the time in seconds since the epoch, for timestamps in stored objects."""
        return time.time()

    def usable(self, endpoint: str) -> bool:
        """Return whether an endpoint may receive new requests, as far as this node knows."""
        return self.gossip is None or self.gossip.usable(endpoint)

    def record_refusal(self, endpoint: str, kind: Kind) -> None:
        """Stop using an endpoint whose sidecar is draining or unreachable."""
        if self.gossip is not None:
            self.gossip.record_refusal(endpoint, kind)

    async def announce_phase(self, phase: Phase) -> None:
        """Announce immediately to other members that this process is draining or has left."""
        if self.gossip is not None:
            await self.gossip.leave(phase)

    def log_timer_error(self, name: str, error: Exception) -> None:
        """Log the failure of a timer callback."""
        log(Event.TIMER_FAILED, f"timer {name} failed: {error!r}", 40)

    def live_members(self) -> list[Member]:
        """Return the ready members, or none if this process runs no gossip."""
        return self.gossip.live_members() if self.gossip else []

    def adopt(
        self,
        revision: Revision,
        content: Content,
        links: tuple[Revision, ...] = (),
        source: str = PLATFORM,
    ) -> bool:
        """Put a configuration in force if it is newer, a descendant and intact.

        :param links: the ancestors of the revision that its source knows, oldest first.
        :param source: name of the peer that sent it, or ``PLATFORM``.
        :returns: whether it was put in force.
        """
        offer = Offer(source, revision, links)
        verdict = self.revisions.check_offer(offer)
        if verdict is Verdict.ADOPT:
            try:
                fleet = self.decoder.decode(content)
            except ContentError:
                verdict = Verdict.CORRUPT
            else:
                verdict = self.revisions.adopt(offer, content.digest)
        if verdict is not Verdict.ADOPT:
            self.reject(revision.number, source, verdict)
            return False
        self.content = content
        self.pull_server.add_base(content)
        self.apply_fleet(fleet)
        self.metrics.revision.set({}, revision.number)
        log(Event.CONFIGURATION_ADOPTED, f"revision {revision.number} is in force", source=source)
        for callback in self.configuration_callbacks:
            callback(revision)
        return True

    def reject(self, number: int, source: str, verdict: Verdict) -> None:
        """Log a rejected revision, unless it is the one in force."""
        if verdict is Verdict.SAME:
            return
        log(
            Event.CONFIGURATION_REJECTED,
            f"revision {number} was rejected: {verdict.value}",
            30,
            source=source or "platform",
            in_force=self.revisions.number,
        )

    def apply_fleet(self, fleet: Fleet) -> None:
        """Build the lookup tables for a configuration."""
        self.fleet = fleet
        self.accounts_by_key = {
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
        self.loads.replace_groups(load_groups(every, self.settings.vm))
