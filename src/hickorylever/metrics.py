"""Prometheus metrics of a process."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

LATENCY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.2, 2.5, 5, 10, 30, 120)


class Metrics:
    """The metrics of a process. Labels have few values: no account keys, no chats."""

    def __init__(self):
        self.registry = Registry()
        self.requests = self.make(
            Counter, "hickorylever_requests_total", "Requests by application, status and kind"
        )
        self.latency = Histogram(
            "hickorylever_request_seconds",
            "Time from request head to last byte of the answer",
            registry=self.registry,
            buckets=(*LATENCY_BUCKETS, float("inf")),
        )
        self.attempts = self.make(
            Counter, "hickorylever_attempts_total", "Attempts by result (and kind)"
        )
        self.resumes = self.make(
            Counter, "hickorylever_resumes_total", "Answers resumed on a fresh connection"
        )
        self.work = self.make(Gauge, "hickorylever_work_tokens", "Admitted work in tokens")
        self.running = self.make(Gauge, "hickorylever_running", "Requests in flight")
        self.revision = self.make(
            Gauge, "hickorylever_configuration_revision", "Configuration revision in force"
        )
        self.control_bytes = self.make(
            Counter, "hickorylever_control_bytes_total", "Control traffic by kind and direction"
        )
        self.platform_calls = self.make(
            Counter, "hickorylever_platform_calls_total", "Object API calls by verb and result"
        )

    def make(self, kind: type, name: str, doc: str):
        """Create a metric in the registry."""
        return kind(name, doc, registry=self.registry)

    def render(self) -> bytes:
        """Return the metrics in the text exposition format."""
        content, _ = render(self.registry, ("text/plain",))
        return content
