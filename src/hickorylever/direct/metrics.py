"""Metrics of the direct router."""

from aioprometheus import Counter, Gauge, Histogram

from ..metrics import LATENCY_BUCKETS, Metrics

INF = float("inf")
MAX_ACCOUNT_LABELS = 64  # Bounds the number of time series.
OTHER_ACCOUNTS = "(others)"


class AccountLabels:
    """Names of client accounts for labels, the first `MAX_ACCOUNT_LABELS`; others share one."""

    def __init__(self):
        self.known: set[str] = set()

    def label(self, account: str) -> str:
        """Return the label's value for a client account."""
        if account not in self.known:
            if len(self.known) >= MAX_ACCOUNT_LABELS:
                return OTHER_ACCOUNTS
            self.known.add(account)
        return account


class DirectMetrics(Metrics):
    """Counters, gauges and histograms.

    Labels hold only bounded sets of names: routes, services, endpoints, accounts and results.
    """

    def __init__(self):
        super().__init__()
        self.routed = self.make(
            Counter, "hickorylever_routed_total", "Requests by route and kind of outcome"
        )
        self.request_seconds = self.histogram(
            "hickorylever_routed_seconds", "Time to the whole answer"
        )
        self.first_event = self.histogram(
            "hickorylever_first_event_seconds", "Time to the first event of a stream"
        )
        self.event_gap = self.histogram(
            "hickorylever_event_gap_seconds", "Longest pause between events of a stream"
        )
        self.wait_seconds = self.histogram(
            "hickorylever_wait_seconds", "Time in line for an endpoint with room, by result"
        )
        self.waiting = self.make(
            Gauge, "hickorylever_waiting", "Requests in line for an endpoint with room, by service"
        )
        self.placed = self.make(
            Counter, "hickorylever_placed_total", "Placings by service and reuse of the prompt"
        )
        self.resumed = self.make(
            Counter,
            "hickorylever_streams_resumed_total",
            "Streams that callers took up, by where their version was known from",
        )
        self.stream_segments = self.make(
            Counter,
            "hickorylever_stream_segments_total",
            "Segments with records of streams that this router wrote to the store, by result",
        )
        self.store_era = self.make(
            Gauge,
            "hickorylever_store_era",
            "Era of the store that held the configuration in force",
        )
        self.budget_left = self.make(
            Gauge, "hickorylever_retry_budget_left", "Retries allowed now, by service"
        )
        self.peers = self.make(Gauge, "hickorylever_peers", "Routers heard of lately")
        self.endpoints = self.make(Gauge, "hickorylever_endpoints", "Known endpoints by service")
        self.store_age = self.make(
            Gauge, "hickorylever_store_age_seconds", "Time since the store last answered, by kind"
        )
        self.quarantined = self.make(
            Gauge, "hickorylever_quarantined", "Prompt parts and requests that are not run"
        )
        self.rate_limits = self.make(
            Gauge,
            "hickorylever_rate_limits",
            "Endpoints that limit the rate of requests, by service",
        )
        self.cache_listings = self.make(
            Counter,
            "hickorylever_cache_listings_total",
            "Calls that list an engine's cache, by result",
        )
        self.cache_parts = self.make(
            Counter,
            "hickorylever_cache_parts_learned_total",
            "Cached prompt parts learned after the start, by where from",
        )
        self.evacuated = self.make(
            Gauge, "hickorylever_evacuated", "1 while a failure domain is evacuated, by domain"
        )
        self.cold = self.make(
            Gauge, "hickorylever_cold_endpoints", "Endpoints that are or may be cold, by service"
        )
        self.held = self.make(
            Counter,
            "hickorylever_cold_held_total",
            "Requests held back as only cold endpoints could take them, by service",
        )
        self.held_bytes = self.make(
            Gauge, "hickorylever_held_bytes", "Response bytes that callers have not taken yet"
        )
        self.held_dropped = self.make(
            Counter,
            "hickorylever_held_dropped_total",
            "Responses dropped as their callers read too slowly, by service",
        )
        self.admitted_work = self.make(
            Counter,
            "hickorylever_admitted_work_total",
            "Work sent to endpoints in tokens (requests of plain services), by account",
        )
        self.account_waiting = self.make(
            Gauge, "hickorylever_account_waiting", "Queued requests, by service and account"
        )
        self.pace = self.make(
            Gauge,
            "hickorylever_endpoint_pace",
            "Expected time of work by endpoint, as a multiple of the usual",
        )
        self.pace_confidence = self.make(
            Gauge, "hickorylever_endpoint_pace_confidence", "Confidence in the pace, 0 to 1"
        )
        self.windows = self.make(
            Gauge,
            "hickorylever_endpoint_window",
            "Slow-start window by endpoint; 0 when none applies",
        )
        self.prefill_rate = self.make(
            Gauge,
            "hickorylever_prefill_tokens_per_second",
            "Estimated prompt tokens that an engine reads a second, by service",
        )
        self.step_seconds = self.make(
            Gauge,
            "hickorylever_step_seconds",
            "Estimated time of an engine's step, by service and part (base, request)",
        )
        self.in_flight = self.make(Gauge, "hickorylever_in_flight", "Requests under way")
        self.descriptors = self.make(Gauge, "hickorylever_descriptors", "Open descriptors")

    def histogram(self, name: str, doc: str) -> Histogram:
        """Return a new registered histogram of seconds."""
        return Histogram(name, doc, registry=self.registry, buckets=(*LATENCY_BUCKETS, INF))
