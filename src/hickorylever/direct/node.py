"""The parts of one router process, and what it believes."""

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
from .budget import SharedRetryBudget
from .crashes import CrashTracker
from .discovery import Follower
from .endpoints import Directory
from .metrics import DirectMetrics
from .peers import Neighbours
from .records import Changes, Configuration, Listing, StoredObject
from .routes import RouteTable
from .settings import DirectSettings

ENDPOINT_IDLE = 8.0  # Seconds; connections to endpoints are used for half of it.
EXPIRY_INTERVAL = 0.2  # Seconds.
SETTINGS_INTERVAL = 1.0  # Seconds.
RELOADABLE = (
    "seeds",
    "drain_grace",
    "retry_ratio",
    "retry_window",
    "retry_allowance",
    "load_multiple",
)


def modified(path: str) -> int:
    """Return when a file was last changed, in nanoseconds; 0 when it can't be told."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0


class Node:
    """The parts of one process.

    :param codec: decodes requests, answers and documents of the surroundings.
    :param store: a client of the platform's store.
    """

    def __init__(self, settings: DirectSettings, codec, store_class):
        self.settings = settings
        self.codec = codec
        self.chance = random.Random()
        self.metrics = DirectMetrics()
        self.client = Client(max_idle=ENDPOINT_IDLE)
        self.store = store_class(settings.store, Client(max_idle=ENDPOINT_IDLE), self.count_call)
        self.directory = Directory(codec.decode_endpoint, self.reject)
        self.budget = SharedRetryBudget(
            settings.retry_ratio, settings.retry_allowance, settings.retry_window
        )
        self.crashes = CrashTracker()
        self.routes: RouteTable | None = None
        self.adopted: list[Callable[[RouteTable], None]] = []
        self.stored_configuration: StoredObject | None = None
        self.listed = False
        self.draining = False
        self.neighbours = Neighbours(self)
        self.followers: list[Follower] = []

    def count_call(self, verb: str, result: str) -> None:
        """Count a call of the store."""
        self.metrics.platform_calls.inc({"verb": verb, "result": result})

    def reject(self, error: Exception) -> None:
        """Log an object that can't be read."""
        log(Event.OBJECT_REJECTED, str(error))

    def ready(self) -> bool:
        """Tell whether callers can be served."""
        return self.routes is not None and self.listed and not self.draining

    def take_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer than the one that is; tell whether."""
        known = self.routes
        if known is not None and configuration.revision <= known.configuration.revision:
            return False
        self.routes = RouteTable(configuration)
        for call in self.adopted:
            call(self.routes)
        self.metrics.revision.set({}, configuration.revision)
        log(
            Event.CONFIGURATION_ADOPTED,
            f"version {configuration.version}",
            revision=configuration.revision,
            routes=len(configuration.routes),
        )
        return True

    def take_stored(self, stored: StoredObject) -> None:
        """Take the operator's object."""
        if stored.name != self.codec.CONFIGURATION[1] or stored.deleted:
            return
        try:
            configuration = self.codec.decode_configuration(stored.spec, stored.revision)
            if self.take_configuration(configuration):
                self.stored_configuration = stored
        except ContentError as error:
            self.reject(error)

    def take_configuration_listing(self, listing: Listing, away: bool) -> None:
        """Take the operator's objects."""
        for stored in listing.objects:
            self.take_stored(stored)

    def take_configuration_changes(self, changes: Changes) -> None:
        """Take changes of the operator's objects."""
        for stored in changes.objects:
            self.take_stored(stored)

    def take_endpoints(self, listing: Listing, away: bool) -> None:
        """Take the list of endpoints."""
        patient = away and self.listed
        self.directory.take_listing(listing, time.monotonic(), patient)
        self.listed = True

    def take_peer_endpoints(self, objects, newest: int, complete: bool) -> None:
        """Take endpoints, or changes of them, that another router knows."""
        now = time.monotonic()
        if newest <= self.directory.newest and self.listed:
            return
        if complete:
            self.directory.take_listing(Listing(tuple(objects), newest), now, patient=True)
            self.listed = True
        else:
            self.directory.take_changes(objects, newest, now)
        self.directory.newest = max(self.directory.newest, newest)

    def take_endpoint_changes(self, changes: Changes) -> None:
        """Take changes of endpoints."""
        self.directory.take_changes(changes.objects, changes.revision, time.monotonic())

    def reload(self) -> None:
        """Read the settings again; what a running process can't change stays as it was."""
        try:
            settings = self.codec.load(self.settings.path)
        except SettingsError as error:
            log(Event.SETTINGS_KEPT, str(error), logging.ERROR)
            return
        changed = [
            name for name in RELOADABLE if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = dataclasses.replace(
            self.settings, **{name: getattr(settings, name) for name in changed}
        )
        self.budget.ratio = settings.retry_ratio
        self.budget.allowance = settings.retry_allowance
        self.budget.window = settings.retry_window
        self.neighbours.peers.learn(settings.seeds, time.monotonic())
        log(Event.SETTINGS_RELOADED, ", ".join(changed) or "nothing changed")

    async def watch_settings(self) -> None:
        """Read the settings again when their file changes without a signal."""
        seen = modified(self.settings.path)
        while True:
            await curio.sleep(SETTINGS_INTERVAL)
            now = modified(self.settings.path)
            if now != seen:
                seen = now
                self.reload()

    async def expire(self) -> None:
        """Forget what is over its time."""
        while True:
            await curio.sleep(EXPIRY_INTERVAL)
            self.directory.expire(time.monotonic())
            await self.client.reap()


def followers(node: Node) -> list[Follower]:
    """Return what keeps the configuration and the endpoints up to date."""
    kinds = (
        (
            node.codec.CONFIGURATION[0],
            node.take_configuration_listing,
            node.take_configuration_changes,
        ),
        (node.codec.ENDPOINTS, node.take_endpoints, node.take_endpoint_changes),
    )
    node.followers = [
        Follower(node.store, kind, listing, changes, node.chance, node.neighbours.must_follow)
        for kind, listing, changes in kinds
    ]
    return node.followers
