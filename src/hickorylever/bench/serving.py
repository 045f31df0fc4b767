"""Simulation of the routing benchmark with its routers, running the real decision code."""

import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass
from types import SimpleNamespace

from .. import admission, defaults
from ..decisions.chats import PrefixPopularity, choose_prefix
from ..decisions.fairness import FairQueue, QueueChanges, Waiter, overload_backoff
from ..decisions.loads import LoadTable, PromptDetails, Usage, WorkEstimator
from ..decisions.pools import Pool, load_groups
from ..decisions.routing_policies import LastEndpoints, RoutingRequest, View, policies
from ..records import VM, Attempt, Endpoint, Load
from ..standins.engine import BLOCK_BYTES
from .metrics import RunMetrics
from .scheduler import EventScheduler
from .sidecars import HOP_SECONDS, Job, Sidecar
from .workloads import BLOCK_TOKENS, Request, Workload

REPORT_INTERVAL_SECONDS = 1.0
REPORT_DELAY_SECONDS = 2.0
MAX_LIST_DELAY_SECONDS = 5.0
REVIEW_INTERVAL_SECONDS = 0.5
ABSENCE_SECONDS = 20.0
EVENT_LOSS_RATIO = 0.1
WARM_UP_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class Variant:
    """One routing variant to measure.

    :param policy: name of a routing policy, or ``oracle``.
    :param bounded: whether sidecars enforce the load bound.
    :param fair: whether each account has its own queue.
    :param summaries: whether hints come from cache events of the endpoints, which arrive late
        or are lost.
    """

    name: str
    policy: str
    bounded: bool = True
    fair: bool = True
    summaries: bool = False


class Router:
    """Queue and endpoint selection of one router."""

    def __init__(self, simulation: "RoutingSimulation", number: int):
        self.simulation = simulation
        self.removed: set[str] = set()
        self.chat_endpoints = LastEndpoints()
        self.loads = LoadTable()
        self.loads.replace_groups(load_groups([simulation.pool], ""))
        self.view = View(
            loads=self.loads,
            floor=simulation.workload.load_floor_tokens,
            failure_domain=f"domain-{number % 3}",
            rng=random.Random(number),
            last_endpoints=simulation.events
            if simulation.variant.summaries
            else self.chat_endpoints,
            usable=self.usable,
        )
        self.estimates = WorkEstimator()
        self.popularity = PrefixPopularity()
        self.queue = FairQueue(lambda account: 1.0)
        vms = [VM(str(n), "", "", "", "entry") for n in range(simulation.workload.routers)]
        self.env = SimpleNamespace(
            clock=simulation.scheduler.clock,
            loads=self.loads,
            view=self.view,
            usable=self.usable,
            fleet=SimpleNamespace(vms=vms),
        )
        self.jobs: dict[Waiter, Job] = {}
        self.review()

    def usable(self, name: str) -> bool:
        """Return whether an endpoint is in this router's endpoint list."""
        return name not in self.removed

    def review(self) -> None:
        """Update the queue's limit and refuse requests that would miss their deadline."""
        quota = admission.work_quota(self.env, self.simulation.pool, self.queue.running_work)
        self.apply(self.queue.update_quota(quota, self.simulation.scheduler.now))

    def submit(self, request: Request) -> None:
        """Queue a request of a caller."""
        now = self.simulation.scheduler.now
        size = len(request.keys) * BLOCK_BYTES
        work = self.estimates.estimate(request.account, "model", size, None)
        account = request.account if self.simulation.variant.fair else "all"
        waiter = Waiter(account, work, now + defaults.REQUEST_TIMEOUT_SECONDS)
        self.jobs[waiter] = Job(request, self, waiter)
        self.popularity.record(request.identity.prefixes, work, now)
        self.apply(self.queue.submit(waiter, now))

    def apply(self, changes: QueueChanges) -> None:
        """Dispatch the granted requests and count the refused ones."""
        for waiter in changes.granted:
            self.choose(self.jobs[waiter])
        for waiter in changes.refused:
            self.simulation.refuse(self.jobs.pop(waiter))

    def choose(self, job: Job) -> None:
        """Rank the endpoints and try the first one."""
        identity = job.request.identity
        prefix = choose_prefix(identity, self.popularity, len(self.simulation.pool)).prefix
        routing_request = RoutingRequest(
            identity.chat, prefix, job.waiter.work, self.simulation.scheduler.now
        )
        job.candidates = self.simulation.rank(routing_request, job, self.view)
        job.preferred = next(
            policies["bounded"](
                RoutingRequest(routing_request.chat, prefix), self.simulation.pool, View()
            )
        ).name
        self.try_next(job)

    def try_next(self, job: Job) -> None:
        """Send a request to its next candidate."""
        endpoint = next(job.candidates, None)
        job.candidates_tried += 1
        if endpoint is None or job.candidates_tried > defaults.MAX_DISPATCH_ATTEMPTS:
            self.retry(job)
            return
        self.simulation.scheduler.after(HOP_SECONDS, self.arrive, job, endpoint)

    def retry(self, job: Job) -> None:
        """Rank the endpoints again after a backoff, or refuse the request."""
        remaining_seconds = job.waiter.deadline - self.simulation.scheduler.now
        backoff = overload_backoff(job.rounds, remaining_seconds, self.simulation.scheduler.rng)
        job.rounds += 1
        job.candidates_tried = 0
        if backoff is not None:
            self.simulation.scheduler.after(backoff, self.choose, job)
            return
        self.simulation.refuse(job)
        self.release(job)

    def arrive(self, job: Job, endpoint: Endpoint) -> None:
        """Offer a request to a sidecar; a refusal carries the sidecar's load."""
        sidecar = self.simulation.sidecars[endpoint.name]
        name = str(next(self.simulation.sequence))
        job.attempt = self.attempt(job, name, endpoint)
        if sidecar.admit(job):
            self.loads.update(sidecar.load())
            self.chat_endpoints.record(job.request.identity.chat, endpoint.name)
            self.simulation.metrics.spilled += endpoint.name != job.preferred
            self.simulation.publish_cache_event(job.request.identity.chat, endpoint.name)
            return
        self.simulation.metrics.refusals += 1
        self.loads.update(sidecar.load())
        self.simulation.scheduler.after(HOP_SECONDS, self.try_next, job)

    def attempt(self, job: Job, name: str, endpoint: Endpoint) -> Attempt:
        """Return an attempt of a request at an endpoint."""
        mean = self.loads.mean_with_age(self.simulation.pool.name, self.simulation.scheduler.now)
        return Attempt(
            name,
            endpoint.name,
            endpoint.name,
            defaults.REQUEST_TIMEOUT_SECONDS,
            job.waiter.work,
            stamp=self.simulation.scheduler.now,
            borrowed=not job.waiter.within_share,
            mean=mean.work,
            mean_age=mean.age,
            members=mean.members,
        )

    def finish(self, job: Job, load: Load) -> None:
        """Update the estimates from a finished request and release its queue slot."""
        prompt = len(job.request.keys) * BLOCK_TOKENS
        details = PromptDetails(job.cached * BLOCK_TOKENS)
        usage = Usage(prompt, job.request.output_tokens, details)
        size = len(job.request.keys) * BLOCK_BYTES
        self.estimates.learn(job.request.account, "model", size, usage)
        self.loads.update(load)
        self.simulation.metrics.done += 1
        self.release(job)

    def release(self, job: Job) -> None:
        """Release the queue slot of a request."""
        del self.jobs[job.waiter]
        self.apply(self.queue.finish(job.waiter, self.simulation.scheduler.now))


class RoutingSimulation:
    """Simulation of one workload under one routing variant."""

    def __init__(self, workload: Workload, variant: Variant, requests: list[Request], seed: int):
        self.workload = workload
        self.variant = variant
        self.requests = requests
        self.scheduler = EventScheduler(seed)
        self.sequence = itertools.count()
        self.metrics = RunMetrics()
        self.sidecar_view = View(floor=workload.load_floor_tokens)
        self.events = LastEndpoints()
        names = range(workload.endpoints)
        self.pool = Pool("model", [self.endpoint(number) for number in names])
        self.sidecars = {endpoint.name: Sidecar(self, endpoint) for endpoint in self.pool}
        self.routers = [Router(self, number) for number in range(workload.routers)]

    def endpoint(self, number: int) -> Endpoint:
        """Return the endpoint with a number."""
        domain = f"domain-{number % 3}"
        return Endpoint(f"e{number}", f"vm{number}", "", 1, 1, "llm", "r", domain, 1, ("model",))

    def run(self) -> RunMetrics:
        """Run the workload and return its metrics after the warm-up."""
        scheduler = self.scheduler
        for request in self.requests:
            scheduler.at(request.time, scheduler.rng.choice(self.routers).submit, request)
        for sidecar in self.sidecars.values():
            scheduler.every(REPORT_INTERVAL_SECONDS, self.send_report, sidecar)
        for router in self.routers:
            scheduler.every(REVIEW_INTERVAL_SECONDS, router.review)
        scheduler.every(1.0, self.sample)
        if self.workload.churn_seconds:
            scheduler.every(self.workload.churn_seconds, self.restart_random_endpoint)
        scheduler.run(self.workload.seconds * WARM_UP_RATIO)
        self.metrics = RunMetrics()
        scheduler.run(self.workload.seconds)
        return self.metrics

    def send_report(self, sidecar: Sidecar) -> None:
        """Send a load report, which arrives after a delay."""
        if not sidecar.attempts.draining:
            self.scheduler.after(REPORT_DELAY_SECONDS, self.receive_load, sidecar.load())

    def receive_load(self, load: Load) -> None:
        """Deliver a load report to all routers and sidecars."""
        for router in self.routers:
            admission.record_load(router.env, load)
        for sidecar in self.sidecars.values():
            sidecar.receive_load(load)

    def publish_cache_event(self, chat: str, name: str) -> None:
        """Publish a cache event, which is delayed or lost."""
        if self.scheduler.rng.random() >= EVENT_LOSS_RATIO:
            self.scheduler.after(REPORT_DELAY_SECONDS, self.events.record, chat, name)

    def restart_random_endpoint(self) -> None:
        """Drain a random endpoint, which rejoins later with an empty cache."""
        sidecar = self.sidecars[self.scheduler.rng.choice(self.pool).name]
        self.drain(sidecar)
        self.scheduler.after(ABSENCE_SECONDS, self.rejoin, sidecar)

    def drain(self, sidecar: Sidecar) -> None:
        """Drain an endpoint; each router removes it from its list after a random delay."""
        sidecar.attempts.draining = True
        for router in self.routers:
            name = sidecar.endpoint.name
            self.scheduler.after(
                self.scheduler.rng.uniform(0, MAX_LIST_DELAY_SECONDS), router.removed.add, name
            )

    def rejoin(self, sidecar: Sidecar) -> None:
        """Return an endpoint to service with an empty cache."""
        sidecar.attempts.draining = False
        sidecar.engine.cache.entries.clear()
        for router in self.routers:
            name = sidecar.endpoint.name
            self.scheduler.after(
                self.scheduler.rng.uniform(0, MAX_LIST_DELAY_SECONDS), router.removed.discard, name
            )

    def rank(self, routing_request: RoutingRequest, job: Job, view: View) -> Iterator[Endpoint]:
        """Return the endpoints in the order of the variant's policy."""
        if self.variant.policy == "oracle":
            return iter(self.oracle(routing_request, job))
        return policies[self.variant.policy](routing_request, self.pool, view)

    def oracle(self, routing_request: RoutingRequest, job: Job) -> list[Endpoint]:
        """Return the endpoints by cached prefix, given the true state of all caches and loads."""
        attempt = job.router.attempt(job, "", self.pool[0])

        def rank(endpoint: Endpoint) -> tuple:
            sidecar = self.sidecars[endpoint.name]
            table = sidecar.attempts
            full = table.draining or (
                table.running and table.work + routing_request.work > sidecar.work_limit(attempt)
            )
            return (bool(full), -sidecar.engine.cache.count_cached(job.request.keys), table.work)

        return sorted(self.pool, key=rank)

    def record_prefill(self, job: Job) -> None:
        """Record a request at the start of its prefill."""
        self.metrics.prompt_blocks += len(job.request.keys)
        self.metrics.cached_blocks += job.cached
        wait = self.scheduler.now - job.request.time
        self.metrics.waits.append((job.request.time, job.request.account, wait))

    def refuse(self, job: Job) -> None:
        """Count a refused request."""
        self.metrics.refused += 1
        self.metrics.refused_by_account[job.request.account] += 1

    def endpoint_work(self) -> list[float]:
        """Return the current work of every endpoint that is not draining."""
        tables = [sidecar.attempts for sidecar in self.sidecars.values()]
        return [table.work for table in tables if not table.draining]

    def check_admission(self, before: float, work: float, bound_mean: float) -> None:
        """Check an admission against the load bound and against the true mean."""
        after = before + work
        if not before or after <= self.workload.load_floor_tokens:
            return
        endpoint_work = self.endpoint_work()
        mean = (sum(endpoint_work) - work) / max(1, len(endpoint_work))
        self.metrics.excess.append(after / mean)
        within = after <= defaults.LOAD_MULTIPLE * bound_mean or before <= bound_mean
        self.metrics.bound_violations += not within
        self.metrics.allowed_excess += after > defaults.LOAD_MULTIPLE * bound_mean and within

    def sample(self) -> None:
        """Record the current skew."""
        endpoint_work = self.endpoint_work()
        mean = sum(endpoint_work) / max(1, len(endpoint_work))
        if mean:
            self.metrics.skews.append((max(endpoint_work) / mean, max(endpoint_work)))
