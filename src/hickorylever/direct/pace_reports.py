"""What responses show of the pace of endpoints, and what routers report to each other.

A service is estimated from the first response that states a pace; until then nothing changes for
it. Routers report a stated pace only where it differs from what the receivers expect, and their
slow-start windows when they change and while they last.
"""

from ..events import Event, log
from .capacity import slot_count
from .endpoints import Endpoint
from .hashes import name_hash
from .load_bound import load_limit
from .pace import EndpointPace, FirstEventSample, ServiceRates
from .peer_protocol import MILLISECONDS_PER_SECOND, PaceUpdate, WindowUpdate
from .placement import Choice
from .records import MISDIRECTED_STATUS, AnswerInfo, Service
from .slow_start import (
    EQUAL_SHARE_SECONDS,
    RECOVERY_FAILURES,
    SlowStart,
    WindowState,
    is_in_time,
    router_share,
)

MAX_UPDATES = 16  # Of each kind in one datagram, so that it fits a packet.
REPORTED_RATIO = 1.25  # A pace is reported if it differs from the expected one by this factor.
WINDOW_REPEAT_SECONDS = 1.0  # For datagrams that were lost, and routers that start.
MAX_COUNT = 10_000  # Higher counts in a report are taken for faults of the sender.
HUNDREDTHS = 100


class PaceReports:
    """Estimates the pace of endpoints, and exchanges it and their windows with other routers.

    :param node: the components of this router: directory, peer_sync, settings, endpoints_listed.
    :ivar services: what work takes, by service whose endpoints state their pace.
    :ivar pending_paces: hashes of the names of endpoints whose pace is to be reported.
    :ivar pending_windows: the same for windows.
    :ivar repeated_at: monotonic seconds at which all windows were last queued.
    """

    def __init__(self, node):
        self.node = node
        self.services: dict[str, ServiceRates] = {}
        self.pending_paces: set[int] = set()
        self.pending_windows: set[int] = set()
        self.repeated_at = 0.0

    def adopt(self, endpoint: Endpoint, now: float) -> None:
        """Prepare an endpoint that has just become known.

        Windows don't apply to the endpoints that a starting router finds.
        """
        rates = self.services.get(endpoint.entry.service)
        if rates is None:
            return
        endpoint.pace = EndpointPace(rates)
        if self.node.endpoints_listed:
            self.begin_window(endpoint, "started", now)

    def record_head(self, endpoint: Endpoint, info: AnswerInfo, now: float) -> None:
        """Record what the head of a response says about the endpoint's pace."""
        if info.status == MISDIRECTED_STATUS:
            return
        if info.pace is not None and info.stamped:
            self.enable(endpoint.entry.service)
            if endpoint.pace is None:
                return  # The endpoint was removed meanwhile.
            expected = endpoint.pace.stated_pace(now)
            endpoint.pace.record_statement(info.pace, now)
            ratio = endpoint.pace.stated / expected
            if not 1.0 / REPORTED_RATIO < ratio < REPORTED_RATIO:
                self.pending_paces.add(name_hash(endpoint.name))
        if endpoint.pace is not None and endpoint.failed_connections >= RECOVERY_FAILURES:
            self.begin_window(endpoint, "recovered", now)

    def enable(self, service: str) -> None:
        """Begin to estimate a service, unless it is estimated already."""
        if service in self.services:
            return
        rates = self.services[service] = ServiceRates()
        for endpoint in self.node.directory.pool(service):
            endpoint.pace = EndpointPace(rates)
        log(Event.PACE_STATED, service)

    def sample(
        self, endpoint: Endpoint, slots: int, uncached: float, now: float
    ) -> FirstEventSample | None:
        """Return what is known at the start of an attempt, which the endpoint's load includes.

        :param slots: of the endpoint; 0 when unknown.
        :param uncached: prompt tokens of the request that the endpoint has to read.
        """
        if endpoint.pace is None:
            return None
        requests, tokens = endpoint.load()
        rates = endpoint.pace.rates
        usual = rates.first_event.predict(tokens)
        expected = usual * endpoint.pace.stated_pace(now)
        return FirstEventSample(now, tokens, uncached, 0 < slots < requests, expected)

    def record_first_event(
        self, endpoint: Endpoint, sample: FirstEventSample | None, now: float
    ) -> None:
        """Record the first event of a response."""
        if sample is None or endpoint.pace is None:
            return
        endpoint.pace.record_first_event(sample, now)
        if endpoint.active_slow_start is not None and not sample.queued:
            in_time = is_in_time(now - sample.sent_at, sample.expected)
            self.record_result(endpoint, sample.sent_at, in_time, now)

    def record_plain(self, endpoint: Endpoint, sample: FirstEventSample, now: float) -> None:
        """Record the response of a plain endpoint."""
        rates = endpoint.pace.rates
        stated = endpoint.pace.stated_pace(now)
        expected = rates.plain.seconds * stated
        known = rates.plain.samples > 0
        if not sample.queued:
            rates.plain.add((now - sample.sent_at) / stated)
        if endpoint.active_slow_start is not None:
            in_time = not known or is_in_time(now - sample.sent_at, expected)
            self.record_result(endpoint, sample.sent_at, in_time, now)

    def record_failure(
        self, endpoint: Endpoint, sample: FirstEventSample | None, engine: bool, now: float
    ) -> None:
        """Record an attempt that failed although the endpoint received it.

        :param engine: whether the endpoint is an engine. The time of plain requests differs too
            much to say something about the machine.
        """
        if sample is not None and endpoint.pace is not None:
            if engine:
                endpoint.pace.record_no_event(sample, now)
            self.record_result(endpoint, sample.sent_at, False, now)

    def record_result(self, endpoint: Endpoint, sent_at: float, in_time: bool, now: float) -> None:
        """Adapt an endpoint's window to a response, and report it to the other routers.

        :param sent_at: monotonic seconds at which the request was sent.
        :param in_time: whether the first event, or a plain response, was in time.
        """
        start = endpoint.active_slow_start
        if start is None:
            return
        start.record_first_event(sent_at, in_time, now)
        pool = self.node.directory.pool(endpoint.entry.service)
        mean = sum(other.load()[0] for other in pool) / max(1, len(pool))
        if start.end_beyond(load_limit(mean, self.node.settings.load_multiple), now):
            seconds = round(now - start.began_at, 3)
            log(Event.SLOW_START_ENDED, endpoint.name, window=start.window, seconds=seconds)
        self.update_share(endpoint, start, now)
        self.pending_windows.add(name_hash(endpoint.name))

    def begin_window(self, endpoint: Endpoint, cause: str, now: float) -> None:
        """Begin a window unless one is active or ended within `RESTART_SECONDS`.

        :param cause: why it begins, for the log.
        """
        previous = endpoint.slow_start
        if previous is not None and not previous.may_restart(now):
            return
        generation = previous.generation + 1 if previous else 1
        start = endpoint.slow_start = SlowStart(now, generation)
        self.update_share(endpoint, start, now)
        self.pending_windows.add(name_hash(endpoint.name))
        log(Event.SLOW_START_BEGUN, endpoint.name, cause=cause, window=start.window)

    def update_share(self, endpoint: Endpoint, start: SlowStart, now: float) -> None:
        """Compute this router's share of a window.

        Some routers may have no requests for the service. After `EQUAL_SHARE_SECONDS` they get no
        share, so that the endpoint doesn't stay idle.
        """
        others = [peer.address for peer in self.node.peer_sync.peers.alive(now)]
        if now - start.began_at > EQUAL_SHARE_SECONDS:
            pool = self.node.directory.pool(endpoint.entry.service)
            active = {address for other in pool for address in other.peers}
            others = [address for address in others if address in active]
        key = name_hash(endpoint.name)
        start.share = router_share(start.window, key, self.node.settings.address, others)

    def expected_seconds(self, choice: Choice, now: float) -> float | None:
        """Return the expected seconds to the first event at a chosen endpoint, or None."""
        estimate = choice.endpoint.estimate(now)
        return estimate.first_event_seconds(choice.uncached) if estimate.known else None

    def placement_rate(self, service: Service, now: float) -> float:
        """Return this router's share of the requests that a service can start in a second.

        It is 0 if nothing has been estimated.
        """
        if service.name not in self.services:
            return 0.0
        total = 0.0
        for endpoint in self.node.directory.pool(service.name):
            estimate = endpoint.estimate(now)
            seconds = estimate.slot_seconds if service.engine else estimate.plain_seconds
            slots = slot_count(endpoint.entry, service.engine)
            if seconds and endpoint.usable(now):
                total += slots / (estimate.pace * seconds)
        return total / (len(self.node.peer_sync.peers.alive(now)) + 1)

    def refresh(self, now: float) -> None:
        """Queue active windows again and update their shares, every `WINDOW_REPEAT_SECONDS`."""
        if now - self.repeated_at < WINDOW_REPEAT_SECONDS:
            return
        self.repeated_at = now
        for service in self.services:
            for endpoint in self.node.directory.pool(service):
                if (start := endpoint.active_slow_start) is not None:
                    self.update_share(endpoint, start, now)
                    self.pending_windows.add(name_hash(endpoint.name))

    def take(self, now: float, room: int) -> dict[str, list]:
        """Remove and return the updates for one datagram, by its field.

        :param room: updates of each kind for which the datagram has room; the rest remains queued.
        """
        self.refresh(now)
        updates: dict[str, list] = {}
        for name, pending, report in (
            ("paces", self.pending_paces, self.pace_update),
            ("windows", self.pending_windows, self.window_update),
        ):
            keys = sorted(pending)[: min(room, MAX_UPDATES)]
            pending.difference_update(keys)
            known = [key for key in keys if key in self.node.directory.by_hash]
            if reports := [report(key, self.node.directory.by_hash[key], now) for key in known]:
                updates[name] = [entry for entry in reports if entry is not None]
        return updates

    def pace_update(self, key: int, endpoint: Endpoint, now: float) -> PaceUpdate | None:
        """Return the report of an endpoint's pace, or None if it has none."""
        pace = endpoint.pace
        if pace is None:
            return None
        age_ms = round(MILLISECONDS_PER_SECOND * (now - pace.stated_at))
        return PaceUpdate(key, round(HUNDREDTHS * pace.stated), age_ms)

    def window_update(self, key: int, endpoint: Endpoint, now: float) -> WindowUpdate | None:
        """Return the report of an endpoint's latest window, or None if it had none."""
        start = endpoint.slow_start
        if start is None:
            return None
        state = start.state()
        return WindowUpdate(
            key,
            endpoint.entry.started_ms,
            state.generation,
            state.halvings,
            state.base,
            state.in_time,
            state.ended,
        )

    def apply(
        self,
        address: str,
        paces: list[PaceUpdate],
        windows: list[WindowUpdate],
        now: float,
    ) -> None:
        """Apply the reports of another router.

        :param address: IP address of the router.
        """
        by_hash = self.node.directory.by_hash
        for update in paces:
            endpoint = by_hash.get(update.endpoint)
            if endpoint is None or update.pace <= 0 or update.age < 0:
                continue
            self.enable(endpoint.entry.service)
            if endpoint.pace is not None:
                at = now - update.age / MILLISECONDS_PER_SECOND
                endpoint.pace.record_statement(update.pace / HUNDREDTHS, at, own=False)
        for update in windows:
            endpoint = by_hash.get(update.endpoint)
            if endpoint is not None and update.started_ms == endpoint.entry.started_ms:
                self.apply_window(address, endpoint, update, now)

    def apply_window(
        self, address: str, endpoint: Endpoint, update: WindowUpdate, now: float
    ) -> None:
        """Merge another router's report of an endpoint's window; impossible counts are ignored."""
        counts = update.generation, update.halvings, update.base, update.in_time
        if not all(0 <= count <= MAX_COUNT for count in counts):
            return
        self.enable(endpoint.entry.service)
        if endpoint.slow_start is None:
            endpoint.slow_start = SlowStart(now, update.generation, update.halvings, update.base)
        start = endpoint.slow_start
        start.merge(address, WindowState(*counts, update.ended), now)
        self.update_share(endpoint, start, now)
