"""An endpoint with its load and health, as one router sees them."""

from dataclasses import dataclass, field

from .capacity import DEFAULT_ESTIMATE, Estimate
from .cold_start import ColdStart
from .pace import EndpointPace
from .prompt_cache import PromptCacheIndex
from .rate_limit import RateLimit
from .records import EndpointEntry
from .slow_start import SlowStart

FIRST_PAUSE_SECONDS = 0.25  # After the first failed connection or rejection with status 421.
MAX_PAUSE_SECONDS = 2.0
FAILURE_WEIGHT = 0.2  # Weight of the latest attempt in the moving average of failures.
FAILURE_HALF_LIFE_SECONDS = 3.0  # Of the failure rate while no results are recorded.
SILENCE_TIMEOUT_SECONDS = 0.4  # Of a busy endpoint, in addition to the time for prefill.
MAX_DEFERRAL_SECONDS = 60.0  # Longer times are taken for a fault of the endpoint.
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
    :param deferred_until: time before which the endpoint wants no new requests.
    :param leaving: whether it shuts down, which lasts until its next start.
    :param warm_at: when the slow phase after the endpoint's start ends.
    :param rate_limit: limit on the requests of all routers, or None.
    :param missing_since: since when its entry is missing after an outage of the store, or None.
    :param peers: loads of the other routers, by their address.
    :param peer_requests: total requests in `peers`.
    :param peer_prefill: total prompt tokens in `peers`.
    :param prompt_cache: prompt parts that the endpoint has probably cached.
    :param evacuated: whether an operator evacuates its failure domain.
    :param cold: limit on the requests of this router while the endpoint is cold, or None.
    :param known_since: when this incarnation's entry arrived first.
    :param pace: what work takes there, or None where its service's endpoints don't state it.
    :param slow_start: latest window after a start or a recovery, or None.
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
    deferred_until: float = 0.0
    leaving: bool = False
    warm_at: float = 0.0
    rate_limit: RateLimit | None = None
    missing_since: float | None = None
    peers: dict[str, PeerLoad] = field(default_factory=dict)
    peer_requests: int = 0
    peer_prefill: int = 0
    prompt_cache: PromptCacheIndex = field(default_factory=PromptCacheIndex)
    evacuated: bool = False
    cold: ColdStart | None = None
    known_since: float = 0.0
    pace: EndpointPace | None = None
    slow_start: SlowStart | None = None

    @property
    def name(self) -> str:
        """Return the endpoint's name."""
        return self.entry.name

    def usable(self, now: float) -> bool:
        """Return whether new requests may be sent."""
        return now >= self.paused_until and self.wants_requests(now)

    @property
    def accepting(self) -> bool:
        """Return whether it takes new requests, now or after a pause."""
        return not (self.entry.draining or self.leaving)

    def wants_requests(self, now: float) -> bool:
        """Return whether it takes new requests now, as far as it and the operator said."""
        return self.accepting and not self.evacuated and now >= self.deferred_until

    def is_cold(self, now: float) -> bool:
        """Return whether its requests are limited because it is or may be cold."""
        return self.cold is not None and self.cold.is_cold(now)

    def held(self, now: float) -> bool:
        """Return whether this router may send it no request now because it is cold."""
        return self.cold is not None and not self.cold.permits(now)

    def estimate(self, now: float) -> Estimate:
        """Return what work takes there."""
        return DEFAULT_ESTIMATE if self.pace is None else self.pace.estimate(now)

    @property
    def active_slow_start(self) -> SlowStart | None:
        """Return the window of an endpoint that is starting or recovering, else None."""
        start = self.slow_start
        return start if start is not None and start.active else None

    def limit_rate(self, rate: float | None, router_count: int, now: float) -> bool:
        """Set the limit that the endpoint names, and return whether it has changed.

        :param rate: requests per second, or None for any number.
        :param router_count: routers that share the limit, with this one.
        """
        limit = self.rate_limit
        known = limit.rate if limit else None
        if rate is None:
            self.rate_limit = None
        elif limit is None:
            self.rate_limit = RateLimit(rate, router_count, now)
        else:
            limit.rate = rate
            limit.router_count = router_count
        return rate != known

    @property
    def usable_at(self) -> float:
        """Return the end of the pauses."""
        return max(self.paused_until, self.deferred_until)

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
        seconds = FIRST_PAUSE_SECONDS * 2 ** (self.failed_connections - 1)
        self.paused_until = max(self.paused_until, now + min(MAX_PAUSE_SECONDS, seconds))

    def defer(self, seconds: float, now: float) -> None:
        """Stop new requests for as long as the endpoint asked, at most `MAX_DEFERRAL_SECONDS`."""
        self.deferred_until = max(self.deferred_until, now + min(seconds, MAX_DEFERRAL_SECONDS))

    def failure_rate(self, now: float) -> float:
        """Return the failure rate, 0 to 1, decayed since the last recorded result."""
        if not self.failure_average:
            return 0.0
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
        if self.rate_limit is not None:
            self.rate_limit.record_send(now)
        if self.cold is not None:
            self.cold.record_send(now)
        self.running += 1
        self.prefill += tokens

    def silent(self, now: float) -> bool:
        """Return whether it has requests of this router and sent this router nothing for too long.

        The time allowed includes that for the prefill of these requests' prompts.
        """
        if not self.running:
            return False
        silence = now - max(self.last_byte_at, self.busy_since)
        estimate = self.estimate(now)
        prefill_seconds = estimate.pace * (self.prefill / estimate.tokens_per_second)
        return silence > SILENCE_TIMEOUT_SECONDS + prefill_seconds
