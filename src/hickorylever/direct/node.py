"""The components and the state of one router process."""

import dataclasses
import logging
import os
import random
import time
from collections.abc import Callable

import curio

from ..events import Event, log
from ..exceptions import ContentError, SettingsError
from ..http import Client
from .account_shares import AccountShares
from .budget import SharedRetryBudget
from .cold_start import ColdReason, ColdStarts
from .crash_checks import check_closed
from .directory import Directory
from .evacuation_control import EvacuationControl
from .held_bytes import HeldBytes, Holder
from .membership import Membership
from .metrics import AccountLabels, DirectMetrics
from .peer_sync import PeerSync
from .position import NO_CONFIGURATION, ConfigurationState, Decision, KnownState, Position, decide
from .quarantine import Quarantine
from .records import Changes, Configuration, EntriesAnswer, Listing, StoredObject
from .restarts import Restarts
from .resumption import Resumption
from .routes import RouteTable
from .settings import DirectSettings
from .store_watcher import StoreWatcher

ENDPOINT_IDLE_TIMEOUT_SECONDS = 8.0  # Of endpoints; connections are reused for half of it.
MAX_STORE_RESPONSE_BYTES = 4 * 1024 * 1024  # Pages and values of the store have up to 1 MiB.
EXPIRY_INTERVAL_SECONDS = 0.2
SETTINGS_POLL_SECONDS = 1.0
HELD_RATIO = 0.25  # Share of the memory for responses that callers have not taken.
RELOADABLE_SETTINGS = (
    "seeds",
    "drain_grace",
    "retry_ratio",
    "retry_window",
    "retry_allowance",
    "load_multiple",
    "warmup_overage",
    "warmup_allowance",
)


def modification_time_ns(path: str) -> int:
    """Return the modification time of a file in nanoseconds, or 0 when it can't be read."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0


class Node:
    """The components and the state of one router process.

    :param codec: translates between the platform's formats and :mod:`.records`.
    :param store_class: client of the platform's store; called with the store's address, an HTTP
        client and a callback that counts calls.
    :ivar configuration_callbacks: callbacks for each configuration that comes into force.
    :ivar stored_configuration: object that the configuration in force was decoded from.
    :ivar configuration_state: version and positions of the configuration in force.
    :ivar settings_modified_ns: modification time of the settings file when it was last read.
    :ivar endpoints_listed: whether the endpoints have been listed since the start.
    :ivar evacuations: puts evacuations of failure domains in force, if the settings enable them.
    :ivar held: responses that callers have not taken yet.
    """

    def __init__(self, settings: DirectSettings, codec, store_class):
        self.settings = settings
        self.settings_modified_ns = modification_time_ns(settings.path)
        self.codec = codec
        self.rng = random.Random()
        self.metrics = DirectMetrics()
        self.client = Client(max_idle=ENDPOINT_IDLE_TIMEOUT_SECONDS)
        self.store = store_class(
            settings.store,
            Client(
                max_idle=ENDPOINT_IDLE_TIMEOUT_SECONDS,
                max_response_bytes=MAX_STORE_RESPONSE_BYTES,
            ),
            self.count_store_call,
        )
        self.membership = Membership(settings.address, bool(settings.seeds))
        self.directory = Directory(
            codec.decode_endpoint,
            self.reject,
            settings.endpoint_entry_lifetime,
            lambda key, started_ms: self.peer_sync.streams.table.forget_endpoint(key, started_ms),
            ColdStarts(self.membership, self.report_cold),
            lambda endpoint, now: self.peer_sync.paces.adopt(endpoint, now),
        )
        self.directory.versions.started_at = None if settings.first_start else time.monotonic()
        self.budget = SharedRetryBudget(
            settings.retry_ratio, settings.retry_allowance, settings.retry_window
        )
        self.quarantine = Quarantine()
        self.restarts = Restarts()
        self.resumption = Resumption(self)
        self.routes: RouteTable | None = None
        self.configuration_callbacks: list[Callable[[RouteTable], None]] = []
        self.stored_configuration: StoredObject | None = None
        self.configuration_state = NO_CONFIGURATION
        self.endpoints_listed = False
        self.evacuations = EvacuationControl(self)
        self.draining = False
        self.account_shares = AccountShares()
        self.held = HeldBytes(int(settings.memory_bytes * HELD_RATIO), self.record_drop)
        self.account_labels = AccountLabels()
        self.peer_sync = PeerSync(self)
        self.store_watchers: list[StoreWatcher] = []

    def count_store_call(self, verb: str, result: str) -> None:
        """Count a call of the store by verb and result."""
        self.metrics.platform_calls.inc({"verb": verb, "result": result})

    def record_drop(self, holder: Holder) -> None:
        """Count and log a response that is dropped, as its caller reads too slowly."""
        names = dict(holder.keys)
        self.metrics.held_dropped.inc({"service": names["service"]})
        log(Event.RESPONSE_DROPPED, names["account"], service=names["service"], bytes=holder.size)

    def reject(self, error: Exception) -> None:
        """Log an object of the store that can't be decoded."""
        log(Event.OBJECT_REJECTED, str(error))

    def ready(self) -> bool:
        """Return whether new connections should come here.

        They should if a configuration and endpoints are known and the router is not draining.
        """
        return self.store_known() and not self.draining

    def store_known(self) -> bool:
        """Return whether this router knows all of the store's state that forwarding needs."""
        return self.routes is not None and self.endpoints_listed and self.evacuations.known()

    def known_state(self) -> KnownState:
        """Return how much of the store's state this router knows."""
        state = self.configuration_state
        return KnownState(
            state.seen,
            state.version,
            self.directory.latest,
            self.evacuations.latest,
            self.directory.digest if self.endpoints_listed else None,
            self.evacuations.digest,
        )

    def lacks(self, other: KnownState) -> bool:
        """Return whether another router knows a later state of something that this one uses."""
        behind = self.evacuations.is_behind(other.evacuations)
        return behind or self.known_state().is_behind(other)

    def apply_stored_configuration(
        self, stored: StoredObject, seen: Position | None = None
    ) -> None:
        """Apply the operator's object; other objects and malformed ones are left out.

        :param seen: latest position of the object that another router knows; by default its own.
        """
        if stored.name != self.codec.CONFIGURATION[1] or stored.deleted:
            return
        try:
            configuration = self.codec.decode_configuration(stored.spec, stored.position)
        except ContentError as error:
            self.reject(error)
            return
        offered = ConfigurationState(
            configuration.version, stored.position, seen or stored.position
        )
        match decide(self.configuration_state, offered):
            case Decision.APPLY:
                self.put_in_force(stored, configuration)
                self.configuration_state = offered
            case Decision.HOLD:
                self.hold_configuration(offered)

    def put_in_force(self, stored: StoredObject, configuration: Configuration) -> None:
        """Put a configuration in force.

        :param stored: the object that it was decoded from.
        """
        self.routes = RouteTable(configuration)
        self.stored_configuration = stored
        self.limit_cold_endpoints()
        self.account_shares.enabled = bool(configuration.accounts)
        for callback in self.configuration_callbacks:
            callback(self.routes)
        self.metrics.revision.set({}, stored.position.revision)
        self.metrics.store_era.set({}, stored.position.era)
        log(
            Event.CONFIGURATION_ADOPTED,
            f"version {configuration.version}",
            revision=stored.position.revision,
            era=stored.position.era,
            routes=len(configuration.routes),
        )

    def report_cold(self, name: str, seconds: float, reason: ColdReason) -> None:
        """Log that an endpoint has become cold, and tell the other routers.

        :param seconds: time for which it is still cold.
        :param reason: how this router learned of it.
        """
        log(Event.ENDPOINT_COLD, name, seconds=round(seconds, 3), reason=reason)
        self.peer_sync.cold.queue(name, reason)

    def limit_cold_endpoints(self) -> None:
        """Apply the limits of cold endpoints that the configuration and the settings give."""
        if self.routes is not None:
            services = self.routes.configuration.services
            settings = self.settings
            self.directory.cold_starts.configure(
                services, settings.warmup_overage, settings.warmup_allowance
            )
            self.directory.update_cold_starts(time.monotonic())

    def hold_configuration(self, offered: ConfigurationState) -> None:
        """Keep the configuration in force, as a restored store holds an older one."""
        state = self.configuration_state
        self.configuration_state = dataclasses.replace(state, seen=offered.seen)
        log(
            Event.CONFIGURATION_HELD,
            f"version {state.version} stays in force",
            logging.WARNING,
            offered=offered.version,
            era=offered.seen.era,
        )

    def apply_configuration_listing(self, listing: Listing, after_outage: bool) -> None:
        """Apply a list of the operator's objects."""
        for stored in listing.objects:
            self.apply_stored_configuration(stored)

    def apply_configuration_changes(self, changes: Changes) -> None:
        """Apply changes of the operator's objects."""
        for stored in changes.objects:
            self.apply_stored_configuration(stored)

    def apply_endpoint_listing(self, listing: Listing, after_outage: bool) -> None:
        """Apply a list of endpoints.

        :param after_outage: whether this is the first list after a failure of the store or after
            the start.
        """
        keep_missing = after_outage and self.endpoints_listed
        self.directory.apply_listing(listing, time.monotonic(), keep_missing)
        self.endpoints_listed = True

    def apply_peer_endpoints(self, answer: EntriesAnswer) -> None:
        """Apply what another router knows of endpoints."""
        self.directory.apply_answer(answer, time.monotonic())
        self.endpoints_listed = self.endpoints_listed or answer.complete

    def apply_endpoint_changes(self, changes: Changes) -> None:
        """Apply changes of endpoints."""
        self.directory.apply_changes(changes.objects, changes.position, time.monotonic())

    def reload(self) -> None:
        """Reload the settings; only the reloadable ones change.

        When they can't be read, the error is logged and the current settings stay.
        """
        try:
            settings = self.codec.load(self.settings.path)
        except SettingsError as error:
            log(Event.SETTINGS_KEPT, str(error), logging.ERROR)
            return
        changed = [
            name
            for name in RELOADABLE_SETTINGS
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = dataclasses.replace(
            self.settings, **{name: getattr(settings, name) for name in changed}
        )
        self.limit_cold_endpoints()
        self.budget.ratio = settings.retry_ratio
        self.budget.allowance = settings.retry_allowance
        self.budget.window = settings.retry_window
        self.peer_sync.peers.add_addresses(settings.seeds, time.monotonic())
        log(Event.SETTINGS_RELOADED, ", ".join(changed) or "nothing changed")

    async def watch_settings(self) -> None:
        """Reload the settings whenever their file changes, until cancelled."""
        while True:
            await curio.sleep(SETTINGS_POLL_SECONDS)
            current = modification_time_ns(self.settings.path)
            if current != self.settings_modified_ns:
                self.settings_modified_ns = current
                self.reload()

    async def expire(self) -> None:
        """Remove expired state and idle connections periodically until cancelled.

        Idle connections that endpoints have closed are checked first, as they may show a crash.
        """
        while True:
            await curio.sleep(EXPIRY_INTERVAL_SECONDS)
            now = time.monotonic()
            self.directory.expire(now)
            self.evacuations.expire()
            self.membership.expire(now)
            self.quarantine.tracker.expire(now)
            self.peer_sync.streams.expire(now)
            self.restarts.expire(self.directory.by_hash, now)
            self.resumption.check_contact(now)
            await check_closed(self, now)
            await self.client.reap()


def create_store_watchers(node: Node) -> list[StoreWatcher]:
    """Create the watchers of the configuration, the endpoints and, if enabled, the evacuations."""
    kinds = (
        (
            node.codec.CONFIGURATION[0],
            node.apply_configuration_listing,
            node.apply_configuration_changes,
        ),
        (node.codec.ENDPOINTS, node.apply_endpoint_listing, node.apply_endpoint_changes),
    )
    node.store_watchers = [
        StoreWatcher(node.store, kind, listing, changes, node.rng, node.peer_sync.should_watch)
        for kind, listing, changes in kinds
    ]
    node.store_watchers += node.evacuations.create_watchers()
    return node.store_watchers
