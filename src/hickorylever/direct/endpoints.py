"""The endpoints that a router knows, with their load and health."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..exceptions import ContentError
from .capacity import PREFILL_TOKENS_PER_SECOND
from .peer_protocol import name_hash
from .prompt_cache import PromptCacheIndex
from .records import EndpointEntry, Listing, PromptPart, StoredObject

MISSING_GRACE_SECONDS = 2.0  # Time to renew an entry that expired during a store outage.
FIRST_PAUSE_SECONDS = 0.25  # After the first failed connection or rejection with status 421.
MAX_PAUSE_SECONDS = 2.0
FAILURE_WEIGHT = 0.2  # Weight of the latest attempt in the moving average of failures.
FAILURE_HALF_LIFE_SECONDS = 3.0  # Of the failure rate while no results are recorded.
SILENCE_TIMEOUT_SECONDS = 0.4  # Of a busy endpoint, in addition to the time for prefill.
CHANGE_LOG_LENGTH = 256
LOAD_LIFETIME_SECONDS = 4.0  # Spans several LOAD_REPEAT_SECONDS, as datagrams may be lost.


@dataclass(slots=True)
class PeerLoad:
    """The load of another router at an endpoint.

    :param requests: requests in flight.
    :param prefill: prompt tokens of these requests that are not prefilled yet.
    :param received_at: monotonic seconds at which this load was received.
    """

    requests: int
    prefill: int
    received_at: float


@dataclass(slots=True)
class Endpoint:
    """An endpoint with its load and health as this router sees them.

    Times are monotonic seconds.

    :param entry: the endpoint's entry in the store.
    :param running: this router's requests in flight.
    :param prefill: prompt tokens of these requests that are not prefilled yet.
    :param failure_average: moving average of failures, 0 to 1, as of `failure_average_at`. It
        covers the attempts that were sent and not rejected, and those that expired.
    :param failure_average_at: when `failure_average` was last updated.
    :param last_byte_at: when the last byte of an answer arrived.
    :param busy_since: when the number of requests in flight last rose from zero.
    :param failed_connections: failed connections, and rejections with status 421, since the last
        attempt that was sent and not rejected, or that expired.
    :param paused_until: time before which no new requests are sent.
    :param warm_at: when the slow phase after the endpoint's start ends.
    :param missing_since: since when its entry is missing after an outage of the store, or None.
    :param peers: loads of the other routers, by their address.
    :param peer_requests: total requests in `peers`.
    :param peer_prefill: total prompt tokens in `peers`.
    :param prompt_cache: prompt parts that the endpoint has probably cached.
    """

    entry: EndpointEntry
    running: int = 0
    prefill: float = 0.0
    failure_average: float = 0.0
    failure_average_at: float = 0.0
    last_byte_at: float = 0.0
    busy_since: float = 0.0
    failed_connections: int = 0
    paused_until: float = 0.0
    warm_at: float = 0.0
    missing_since: float | None = None
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    peer_requests: int = 0
    peer_prefill: int = 0
    prompt_cache: PromptCacheIndex = field(default_factory=PromptCacheIndex)

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.entry.name

    def usable(self, now: float) -> bool:
        """Return whether new requests may be sent."""
        return not self.entry.draining and now >= self.paused_until

    def load(self) -> tuple[int, float]:
        """Return the requests in flight and the prompt tokens to prefill, of all routers."""
        return self.running + self.peer_requests, self.prefill + self.peer_prefill

    def set_peer_load(self, router: str, load: PeerLoad) -> None:
        """Replace the load of another router; an empty load removes it.

        :param router: IP address of the router.
        """
        self.remove_peer_load(router)
        if load.requests or load.prefill:
            self.peers[router] = load
            self.peer_requests += load.requests
            self.peer_prefill += load.prefill

    def remove_peer_load(self, router: str) -> None:
        """Remove the load of another router."""
        load = self.peers.pop(router, None)
        if load is not None:
            self.peer_requests -= load.requests
            self.peer_prefill -= load.prefill

    def expire_loads(self, now: float) -> None:
        """Remove loads that are older than `LOAD_LIFETIME_SECONDS`."""
        for router, load in list(self.peers.items()):
            if now - load.received_at > LOAD_LIFETIME_SECONDS:
                self.remove_peer_load(router)

    def pause(self, now: float) -> None:
        """Stop new requests for a time, with exponential back-off.

        This follows a failed connection or a rejection with status 421.
        """
        self.failed_connections += 1
        self.paused_until = now + min(
            MAX_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2 ** (self.failed_connections - 1)
        )

    def failure_rate(self, now: float) -> float:
        """Return the failure rate, 0 to 1, decayed since the last recorded result."""
        return self.failure_average * 0.5 ** (
            (now - self.failure_average_at) / FAILURE_HALF_LIFE_SECONDS
        )

    def record_answer(self, failed: bool, now: float) -> None:
        """Record the result of an attempt that was sent and not rejected, or that expired."""
        self.failed_connections = 0
        rate = self.failure_rate(now)
        self.failure_average = rate + FAILURE_WEIGHT * (failed - rate)
        self.failure_average_at = now

    def add_request(self, tokens: float, now: float) -> None:
        """Count a request that is being sent.

        :param tokens: prompt tokens that the endpoint has to prefill.
        """
        if not self.running:
            self.busy_since = now
        self.running += 1
        self.prefill += tokens

    def silent(self, now: float) -> bool:
        """Return whether it has requests of this router and sent this router nothing for too long.

        The time allowed includes that for the prefill of these requests' prompts.
        """
        if not self.running:
            return False
        silence = now - max(self.last_byte_at, self.busy_since)
        return silence > SILENCE_TIMEOUT_SECONDS + self.prefill / PREFILL_TOKENS_PER_SECOND


class Directory:
    """The known endpoints, by name and by service. Times are monotonic seconds.

    :param decode: returns the entry for an object's name and spec, or raises
        :exc:`ContentError`.
    :param reject: called with the error of an entry that can't be decoded.
    :ivar endpoints: endpoints by name.
    :ivar pools: endpoints by service, sorted by name.
    :ivar by_hash: endpoints by the hash of their name.
    :ivar objects: objects of the store that the entries were decoded from, by name.
    :ivar latest_revision: latest known revision of an entry or of the removal of one.
    :ivar change_log: latest changes, oldest first.
    :ivar change_log_start: revision after which `change_log` is complete.
    """

    def __init__(self, decode, reject=lambda error: None):
        self.decode = decode
        self.reject = reject
        self.endpoints: dict[str, Endpoint] = {}
        self.pools: dict[str, list[Endpoint]] = {}
        self.by_hash: dict[int, Endpoint] = {}
        self.objects: dict[str, StoredObject] = {}
        self.latest_revision = 0
        self.change_log: deque[StoredObject] = deque(maxlen=CHANGE_LOG_LENGTH)
        self.change_log_start = 0

    def pool(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service, sorted by name."""
        return self.pools.get(service, [])

    def apply_listing(self, listing: Listing, now: float, keep_missing: bool) -> None:
        """Replace all entries.

        :param keep_missing: whether endpoints missing from the list stay for
            `MISSING_GRACE_SECONDS`, since their entries may have expired during an outage of the
            store.
        """
        present = {entry.name for entry in listing.objects}
        for entry in listing.objects:
            self.apply(entry, now)
        for name in [name for name in self.endpoints if name not in present]:
            self.mark_missing(name, now, keep_missing)
        self.change_log.clear()
        self.change_log_start = self.latest_revision
        self.rebuild_indexes()

    def apply_changes(self, objects: Iterable[StoredObject], revision: int, now: float) -> None:
        """Apply changes, oldest first.

        :param revision: of the store after the changes.
        """
        for entry in objects:
            self.append_change(entry)
            if entry.deleted:
                self.remove(entry.name, entry.revision)
            else:
                self.apply(entry, now)
        self.latest_revision = max(self.latest_revision, revision)
        self.rebuild_indexes()

    def apply(self, stored: StoredObject, now: float) -> None:
        """Add or update one endpoint; one whose entry can't be decoded is removed."""
        self.latest_revision = max(self.latest_revision, stored.revision)
        try:
            entry = self.decode(stored.name, stored.spec)
        except ContentError as error:
            self.reject(error)
            self.remove(stored.name)
            return
        self.objects[stored.name] = stored
        endpoint = self.endpoints.get(entry.name)
        if endpoint is None or endpoint.entry.started_ms != entry.started_ms:
            endpoint = self.endpoints[entry.name] = Endpoint(entry)
        endpoint.entry = entry
        endpoint.missing_since = None
        endpoint.warm_at = now + entry.warmup_left

    def mark_missing(self, name: str, now: float, keep_missing: bool) -> None:
        """Remove an endpoint that a list lacks, or mark it as missing when `keep_missing`."""
        if not keep_missing:
            self.remove(name)
        elif self.endpoints[name].missing_since is None:
            self.endpoints[name].missing_since = now

    def remove(self, name: str, revision: int = 0) -> None:
        """Remove an endpoint.

        :param revision: of the removal; 0 when unknown.
        """
        self.latest_revision = max(self.latest_revision, revision)
        self.endpoints.pop(name, None)
        self.objects.pop(name, None)

    def append_change(self, entry: StoredObject) -> None:
        """Append a change to the log for other routers."""
        if len(self.change_log) == CHANGE_LOG_LENGTH:
            self.change_log_start = self.change_log[0].revision
        self.change_log.append(entry)

    def changes_since(self, revision: int) -> list[StoredObject] | None:
        """Return the changes after a revision, or None when the log doesn't reach that far."""
        if revision < self.change_log_start:
            return None
        return [entry for entry in self.change_log if entry.revision > revision]

    def cached_parts(self) -> dict[str, dict[str, int]]:
        """Return the size in tokens of recently cached prompt parts, by endpoint and part."""
        return {
            name: endpoint.prompt_cache.latest_parts() for name, endpoint in self.endpoints.items()
        }

    def add_cached_parts(self, cached: dict[str, dict[str, int]]) -> None:
        """Add cached prompt parts that another router knows of."""
        for name, parts in cached.items():
            endpoint = self.endpoints.get(name)
            if endpoint is not None:
                endpoint.prompt_cache.add(
                    [PromptPart(part, tokens) for part, tokens in parts.items()], 0
                )

    def stored_objects(self) -> list[StoredObject]:
        """Return the store's objects of all endpoints."""
        return list(self.objects.values())

    def remove_router_loads(self, router: str) -> None:
        """Remove all loads of a router that left or restarted."""
        for endpoint in self.endpoints.values():
            endpoint.remove_peer_load(router)

    def expire(self, now: float) -> None:
        """Remove expired loads, and endpoints that are missing for `MISSING_GRACE_SECONDS`."""
        for endpoint in self.endpoints.values():
            endpoint.expire_loads(now)
        overdue = [
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.missing_since is not None
            and now - endpoint.missing_since >= MISSING_GRACE_SECONDS
        ]
        for name in overdue:
            self.remove(name)
        if overdue:
            self.rebuild_indexes()

    def rebuild_indexes(self) -> None:
        """Rebuild the indexes by service and by hash."""
        pools: dict[str, list[Endpoint]] = {}
        for name in sorted(self.endpoints):
            endpoint = self.endpoints[name]
            pools.setdefault(endpoint.entry.service, []).append(endpoint)
        self.pools = pools
        self.by_hash = {name_hash(name): endpoint for name, endpoint in self.endpoints.items()}
