"""Benchmark of endpoint outages: one VM, a rack, a failure domain, a region."""

import dataclasses

from . import Report, benches
from .metrics import RunMetrics, cache_hit_ratio, quantile
from .routing import PREFIX_LENGTHS_BLOCKS
from .serving import RoutingSimulation, Variant
from .sidecars import Sidecar
from .workloads import CHURN, Request, Workload, make_requests

WORKLOAD = dataclasses.replace(CHURN, name="outage", churn_seconds=0.0, seconds=300.0)
QUICK_DURATION_SECONDS = 120.0
BEGIN_RATIO, END_RATIO = 0.4, 0.7  # Start and end of the outage as fractions of the run.

# Number of endpoints affected by each outage.
OUTAGES = {"none": 0, "one VM": 1, "rack": 2, "failure domain": 4, "region": 10}


class OutageSimulation(RoutingSimulation):
    """A run in which endpoints fail simultaneously and recover with empty caches.

    :param count: number of endpoints that fail.
    """

    def __init__(self, workload: Workload, requests: list[Request], seed: int, count: int):
        super().__init__(workload, Variant("bounded", "bounded"), requests, seed)
        self.lost = 0
        failing = list(self.sidecars.values())[:count]
        for sidecar in failing:
            self.scheduler.at(workload.seconds * BEGIN_RATIO, self.fail, sidecar)
            self.scheduler.at(workload.seconds * END_RATIO, self.rejoin, sidecar)

    def fail(self, sidecar: Sidecar) -> None:
        """Take an endpoint out of service and count its running requests as lost."""
        self.lost += sidecar.attempts.running
        self.drain(sidecar)


def waits_during(metrics: RunMetrics, workload: Workload) -> list[float]:
    """Return the wait times in seconds of requests that arrived during the outage."""
    begin, end = workload.seconds * BEGIN_RATIO, workload.seconds * END_RATIO
    return [wait for arrival, _, wait in metrics.waits if begin <= arrival <= end]


def measure(seed: int, quick: bool) -> list[dict]:
    """Return one result row per outage."""
    seconds = QUICK_DURATION_SECONDS if quick else WORKLOAD.seconds
    workload = dataclasses.replace(WORKLOAD, seconds=seconds)
    requests = make_requests(workload, seed, PREFIX_LENGTHS_BLOCKS)
    rows = []
    for name, count in OUTAGES.items():
        simulation = OutageSimulation(workload, requests, seed, count)
        metrics = simulation.run()
        skews = [skew for skew, work in metrics.skews if work > workload.load_floor_tokens]
        row = {
            "outage": name,
            "endpoints": f"{count} of {workload.endpoints}",
            "lost": simulation.lost,
            "refused": metrics.refused,
            "reuse": cache_hit_ratio(metrics),
            "skew_p99": quantile(skews, 0.99),
            "wait_p99": quantile(waits_during(metrics, workload), 0.99),
            "over_bound": metrics.bound_violations,
        }
        rows.append(row)
    return rows


@benches.register("outages")
def outages(seed: int, quick: bool) -> Report:
    """Measure cache reuse, skew, wait times and refused requests for each outage."""
    report = Report(rows=measure(seed, quick))
    for row in report.rows:
        within_bound = not row["over_bound"]
        report.expect(
            within_bound, f"{row['outage']}: {row['over_bound']} admissions above the bound"
        )
    return report
