"""Benchmark of endpoint outages: one VM, a rack, a failure domain, a region."""

import dataclasses

from . import Report, benches
from .figures import Figures, quantile, reuse
from .routing import LENGTHS
from .serving import Sidecar, Ways, World
from .workloads import CHURN, Request, Shape, make_requests

SHAPE = dataclasses.replace(CHURN, name="outage", churn=0.0, seconds=300.0)
QUICK_SECONDS = 120.0
BEGIN, END = 0.4, 0.7  # Start and end of the outage as fractions of the run.

# Number of endpoints affected by each outage.
OUTAGES = {"none": 0, "one VM": 1, "rack": 2, "failure domain": 4, "region": 10}


class Outage(World):
    """A run in which endpoints fail simultaneously and recover with empty caches.

    :param count: number of endpoints that fail.
    """

    def __init__(self, shape: Shape, requests: list[Request], seed: int, count: int):
        super().__init__(shape, Ways("bounded", "bounded"), requests, seed)
        self.lost = 0
        failing = list(self.sidecars.values())[:count]
        for sidecar in failing:
            self.driver.at(shape.seconds * BEGIN, self.fail, sidecar)
            self.driver.at(shape.seconds * END, self.join, sidecar)

    def fail(self, sidecar: Sidecar) -> None:
        """Take an endpoint out of service and count its running requests as lost."""
        self.lost += sidecar.attempts.running
        self.withdraw(sidecar)


def waits_during(figures: Figures, shape: Shape) -> list[float]:
    """Return the wait times in seconds of requests that arrived during the outage."""
    begin, end = shape.seconds * BEGIN, shape.seconds * END
    return [wait for arrival, _, wait in figures.waits if begin <= arrival <= end]


def measure(seed: int, quick: bool) -> list[dict]:
    """Return one result row per outage."""
    seconds = QUICK_SECONDS if quick else SHAPE.seconds
    shape = dataclasses.replace(SHAPE, seconds=seconds)
    requests = make_requests(shape, seed, LENGTHS)
    rows = []
    for name, count in OUTAGES.items():
        world = Outage(shape, requests, seed, count)
        figures = world.run()
        skews = [skew for skew, work in figures.skews if work > shape.floor]
        row = {
            "outage": name,
            "endpoints": f"{count} of {shape.endpoints}",
            "lost": world.lost,
            "refused": figures.refused,
            "reuse": reuse(figures),
            "skew_p99": quantile(skews, 0.99),
            "wait_p99": quantile(waits_during(figures, shape), 0.99),
            "over_bound": figures.broken,
        }
        rows.append(row)
    return rows


@benches.register("outages")
def outages(seed: int, quick: bool) -> Report:
    """Measure cache reuse, skew, wait times and refused requests for each outage."""
    report = Report(rows=measure(seed, quick))
    for row in report.rows:
        held = not row["over_bound"]
        report.expect(held, f"{row['outage']}: {row['over_bound']} admissions above the bound")
    return report
