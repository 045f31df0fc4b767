"""Puts evacuations of failure domains in force at one router, where the settings enable them."""

import logging
import time

from ..events import Event, log
from .evacuations import Evacuations, EvacuationState
from .position import UNKNOWN, Position
from .records import Changes, Listing
from .store_watcher import StoreWatcher

# Share of the time limit after which a watch without changes returns. A watch that the store never
# answers, such as one sent during an outage, must be noticed within the limit.
WATCH_RATIO = 0.5


class EvacuationControl:
    """Applies what the store and other routers say of evacuations to the known endpoints.

    :param node: the components of this router.
    :ivar evacuations: the evacuated domains, or None where the settings don't enable evacuations.
    :ivar digest: of the evacuated domains, for other routers; None if they aren't known.
    """

    def __init__(self, node):
        self.node = node
        self.evacuations: Evacuations | None = None
        self.digest: int | None = None
        if node.settings.evacuation_time is not None:
            self.evacuations = Evacuations(node.codec.decode_evacuation, node.reject)

    def create_watchers(self) -> list[StoreWatcher]:
        """Return the watcher of the evacuations, if they are enabled."""
        if self.evacuations is None:
            return []
        node = self.node
        return [
            StoreWatcher(
                node.store,
                node.codec.EVACUATIONS,
                self.apply_listing,
                self.apply_changes,
                node.rng,
                node.peer_sync.should_watch_evacuations,
                WATCH_RATIO * node.settings.evacuation_time,
            )
        ]

    def known(self) -> bool:
        """Return whether the evacuations are known, or not needed."""
        return self.evacuations is None or self.evacuations.listed

    @property
    def latest(self) -> Position:
        """Return the position of the latest known change, for other routers."""
        return UNKNOWN if self.evacuations is None else self.evacuations.latest

    def is_behind(self, latest: Position) -> bool:
        """Return whether another router, which announces a position, knows a later change."""
        return self.evacuations is not None and latest > self.evacuations.latest

    def apply_listing(self, listing: Listing, after_outage: bool) -> None:
        """Apply a list of evacuations."""
        self.apply(self.evacuations.apply_listing, listing)

    def apply_changes(self, changes: Changes) -> None:
        """Apply changes of evacuations."""
        self.apply(self.evacuations.apply_changes, changes)

    def apply_state(self, state: EvacuationState | None) -> None:
        """Apply what another router knows, or nothing where that is None."""
        if self.evacuations is not None and state is not None:
            self.apply(self.evacuations.apply_state, state)

    def state(self) -> EvacuationState | None:
        """Return what other routers need, or None if nothing is known."""
        return None if self.evacuations is None else self.evacuations.state(time.monotonic())

    def expire(self) -> None:
        """End evacuations that a restored store has lacked for too long."""
        if self.evacuations is not None:
            self.evacuations.expire(time.monotonic())
            self.put_in_force()

    def apply(self, method, update) -> None:
        """Apply an update by a method of the evacuations, and put the result in force.

        Evacuations that a restored store lacks are logged, as an operator may have to act.
        """
        before = self.evacuations.missing()
        method(update, time.monotonic())
        for domain in sorted(self.evacuations.missing() - before):
            log(Event.EVACUATION_HELD, domain, logging.WARNING, view=str(self.evacuations.as_of))
        self.put_in_force()

    def put_in_force(self) -> None:
        """Put the known evacuations in force, and log those that have begun or ended."""
        self.digest = self.evacuations.digest()
        directory = self.node.directory
        before, domains = directory.evacuated_domains, self.evacuations.domains
        if before == domains:
            return
        directory.set_evacuated(domains)
        for domain in sorted(domains ^ before):
            self.record_change(domain, domain in domains)

    def record_change(self, domain: str, began: bool) -> None:
        """Log and count that an evacuation has begun or ended."""
        node = self.node
        node.metrics.evacuated.set({"domain": domain}, int(began))
        entries = [endpoint.entry for endpoint in node.directory.endpoints.values()]
        log(
            Event.EVACUATION_BEGAN if began else Event.EVACUATION_ENDED,
            domain,
            logging.WARNING,
            endpoints=sum(entry.failure_domain == domain for entry in entries),
            view=str(self.evacuations.as_of),
        )
