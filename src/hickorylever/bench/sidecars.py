"""Simulated sidecars of the routing benchmark, running the real admission code."""

import math
from collections.abc import Iterator
from dataclasses import dataclass
from types import SimpleNamespace
from typing import TYPE_CHECKING

from .. import admission, defaults
from ..decisions.attempts import AttemptTable
from ..decisions.fairness import Waiter
from ..decisions.loads import LoadTable
from ..decisions.pools import load_groups
from ..records import Attempt, Endpoint, Load
from .engines import Engine
from .workloads import Request

if TYPE_CHECKING:
    from .serving import Router, RoutingSimulation

HOP_SECONDS = 0.003


@dataclass(slots=True)
class Job:
    """A request in progress."""

    request: Request
    router: "Router"
    waiter: Waiter
    candidates: Iterator[Endpoint] | None = None
    preferred: str = ""
    candidates_tried: int = 0
    rounds: int = 1
    cached: int = 0
    attempt: Attempt | None = None


class Sidecar:
    """Admission control in front of one engine."""

    def __init__(self, simulation: "RoutingSimulation", endpoint: Endpoint):
        self.simulation = simulation
        self.endpoint = endpoint
        self.engine = Engine(
            simulation.scheduler, simulation.workload.cache_blocks, simulation.record_prefill
        )
        self.attempts = AttemptTable(endpoint.name, defaults.TOMBSTONE_LIFETIME_SECONDS)
        self.loads = LoadTable()
        self.loads.replace_groups(load_groups([simulation.pool], endpoint.vm))
        self.env = SimpleNamespace(
            clock=simulation.scheduler.clock, loads=self.loads, view=simulation.sidecar_view
        )
        self.peer_loads: dict[str, tuple[float, float]] = {}

    def load(self) -> Load:
        """Return the current load of this endpoint."""
        table, name = self.attempts, self.endpoint.name
        return Load(name, table.work, table.running, 1, time=self.simulation.scheduler.now)

    def work_limit(self, attempt: Attempt) -> float:
        """Return the maximum work that may be admitted; infinity without a load bound."""
        if not self.simulation.variant.bounded:
            return math.inf
        table = self.attempts
        return admission.max_work(self.env, self.endpoint, table.work, table.running, attempt)

    def admit(self, job: Job) -> bool:
        """Admit and run a request's attempt; return whether it was admitted."""
        before = self.attempts.work if self.attempts.running else 0.0
        bound_mean = self.known_mean(job.attempt)
        if (
            self.attempts.admit(
                job.attempt, self.work_limit(job.attempt), self.simulation.scheduler.now
            )
            is not None
        ):
            return False
        self.attempts.start(job.attempt.id, self.simulation.scheduler.now)
        self.simulation.check_admission(before, job.attempt.work, bound_mean)
        priority = 0 if job.waiter.within_share else -1
        self.engine.run(job, priority, self.finish)
        return True

    def finish(self, job: Job) -> None:
        """Finish a request and return it to its router."""
        self.attempts.finish(job.attempt.id, self.simulation.scheduler.now)
        self.attempts.entries.pop(job.attempt.id)
        self.simulation.scheduler.after(HOP_SECONDS, job.router.finish, job, self.load())

    def receive_load(self, load: Load) -> None:
        """Record a load report of a peer."""
        if load.endpoint != self.endpoint.name:
            admission.record_load(self.env, load)
            self.peer_loads[load.endpoint] = (load.time, load.work)

    def known_mean(self, attempt: Attempt) -> float:
        """Return the mean work that defines the load bound.

        It is computed independently of the load table, to check the admission against it.
        """
        now = self.simulation.scheduler.now
        peer_loads = [
            entry
            for entry in self.peer_loads.values()
            if entry[0] >= now - defaults.MAX_LOAD_AGE_SECONDS
        ]
        peer_loads.append((now, self.attempts.work))
        age = now - sum(time for time, _ in peer_loads) / len(peer_loads)
        if attempt.mean_age < age and attempt.members >= len(peer_loads):
            return attempt.mean
        return sum(work for _, work in peer_loads) / len(peer_loads)
