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
from .budget import SharedBudget
from .crashes import Crashes
from .discovery import Follower
from .endpoints import Directory
from .metrics import DirectMetrics
from .peers import Neighbours
from .records import Changes, Configuration, Listing, StoredObject
from .routes import Routes
from .settings import DirectSettings

ENDPOINT_IDLE = (
    8.0  # Idle time-out in seconds of endpoints; connections are reused for half of it.
)
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
    :ivar adopted: callbacks for each configuration that comes into force.
    :ivar stored_configuration: object that the configuration in force was decoded from.
    :ivar listed: whether the endpoints have been listed since the start.
    """

    def __init__(self, settings: DirectSettings, codec, store_class):
        self.settings = settings
        self.codec = codec
        self.chance = random.Random()
        self.metrics = DirectMetrics()
        self.client = Client(max_idle=ENDPOINT_IDLE)
        self.store = store_class(settings.store, Client(max_idle=ENDPOINT_IDLE), self.count_call)
        self.directory = Directory(codec.decode_endpoint, self.reject)
        self.budget = SharedBudget(
            settings.retry_ratio, settings.retry_allowance, settings.retry_window
        )
        self.crashes = Crashes()
        self.routes: Routes | None = None
        self.adopted: list[Callable[[Routes], None]] = []
        self.stored_configuration: StoredObject | None = None
        self.listed = False
        self.draining = False
        self.neighbours = Neighbours(self)
        self.followers: list[Follower] = []

    def count_call(self, verb: str, result: str) -> None:
        """Count a call of the store by verb and result."""
        self.metrics.platform_calls.inc({"verb": verb, "result": result})

    def reject(self, error: Exception) -> None:
        """Log an object of the store that can't be decoded."""
        log(Event.OBJECT_REJECTED, str(error))

    def ready(self) -> bool:
        """Return whether the router can serve requests."""
        return self.routes is not None and self.listed and not self.draining

    def take_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration in force and return True, unless its revision is not later."""
        known = self.routes
        if known is not None and configuration.revision <= known.configuration.revision:
            return False
        self.routes = Routes(configuration)
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
        """Apply the operator's object; other objects and malformed ones are left out."""
        if stored.name != self.codec.CONFIGURATION[1] or stored.deleted:
            return
        try:
            configuration = self.codec.decode_configuration(stored.spec, stored.revision)
            if self.take_configuration(configuration):
                self.stored_configuration = stored
        except ContentError as error:
            self.reject(error)

    def take_configuration_listing(self, listing: Listing, away: bool) -> None:
        """Apply a list of the operator's objects."""
        for stored in listing.objects:
            self.take_stored(stored)

    def take_configuration_changes(self, changes: Changes) -> None:
        """Apply changes of the operator's objects."""
        for stored in changes.objects:
            self.take_stored(stored)

    def take_endpoints(self, listing: Listing, away: bool) -> None:
        """Apply a list of endpoints.

        :param away: whether this is the first list after a failure of the store.
        """
        patient = away and self.listed
        self.directory.take_listing(listing, time.monotonic(), patient)
        self.listed = True

    def take_peer_endpoints(self, objects, newest: int, complete: bool) -> None:
        """Apply endpoints from another router unless this router's are as recent.

        :param newest: latest revision that the other router knows.
        :param complete: whether `objects` holds all endpoints rather than changes.
        """
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
        """Apply changes of endpoints."""
        self.directory.take_changes(changes.objects, changes.revision, time.monotonic())

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
        """Reload the settings whenever their file changes, until cancelled."""
        seen = modified(self.settings.path)
        while True:
            await curio.sleep(SETTINGS_INTERVAL)
            now = modified(self.settings.path)
            if now != seen:
                seen = now
                self.reload()

    async def expire(self) -> None:
        """Remove expired endpoints, loads and idle connections periodically until cancelled."""
        while True:
            await curio.sleep(EXPIRY_INTERVAL)
            self.directory.expire(time.monotonic())
            await self.client.reap()


def followers(node: Node) -> list[Follower]:
    """Create the watchers of the configuration and of the endpoints."""
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
