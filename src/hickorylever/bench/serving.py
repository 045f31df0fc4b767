"""Simulated routers and sidecars of the routing benchmark, running the real decision code."""

import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from types import SimpleNamespace

from .. import admission, defaults
from ..decisions.attempts import AttemptTable
from ..decisions.chats import PrefixPopularity, choose_prefix
from ..decisions.fairness import FairQueue, QueueChanges, Waiter, overload_backoff
from ..decisions.loads import LoadTable, PromptDetails, Usage, WorkEstimator
from ..decisions.pools import Pool, load_groups
from ..decisions.routing_policies import LastEndpoints, RoutingRequest, View, policies
from ..records import VM, Attempt, Endpoint, Load
from ..standins.engine import BLOCK_BYTES
from .driver import Driver
from .engines import Engine
from .figures import Figures
from .workloads import BLOCK_TOKENS, Request, Shape

HOP = 0.003
REPORT_PERIOD = 1.0
REPORT_DELAY = 2.0
LIST_DELAY = 5.0
REVIEW_PERIOD = 0.5
ABSENCE = 20.0
LOST_EVENTS = 0.1
WARM_UP = 0.25


@dataclass(frozen=True, slots=True)
class Ways:
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


@dataclass(slots=True)
class Job:
    """A request in progress."""

    request: Request
    router: "Router"
    waiter: Waiter
    candidates: Iterator[Endpoint] | None = None
    home: str = ""
    tries: int = 0
    rounds: int = 1
    cached: int = 0
    attempt: Attempt | None = None


class Sidecar:
    """Admission control in front of one engine."""

    def __init__(self, world: "World", endpoint: Endpoint):
        self.world = world
        self.endpoint = endpoint
        self.engine = Engine(world.driver, world.shape.blocks, world.started)
        self.attempts = AttemptTable(endpoint.name, defaults.TOMBSTONE_LIFETIME_SECONDS)
        self.loads = LoadTable()
        self.loads.replace_groups(load_groups([world.pool], endpoint.vm))
        self.env = SimpleNamespace(clock=world.driver.clock, loads=self.loads, view=world.limits)
        self.heard: dict[str, tuple[float, float]] = {}

    def load(self) -> Load:
        """Return the current load of this endpoint."""
        table, name = self.attempts, self.endpoint.name
        return Load(name, table.work, table.running, 1, time=self.world.driver.now)

    def cap(self, attempt: Attempt) -> float:
        """Return the maximum work that may be admitted; infinity without a load bound."""
        if not self.world.ways.bounded:
            return math.inf
        table = self.attempts
        return admission.cap(self.env, self.endpoint, table.work, table.running, attempt)

    def admit(self, job: Job) -> bool:
        """Admit and run a request's attempt; return whether it was admitted."""
        before = self.attempts.work if self.attempts.running else 0.0
        known = self.known_mean(job.attempt)
        if (
            self.attempts.admit(job.attempt, self.cap(job.attempt), self.world.driver.now)
            is not None
        ):
            return False
        self.attempts.start(job.attempt.id, self.world.driver.now)
        self.world.judge(before, job.attempt.work, known)
        priority = 0 if job.waiter.within_share else -1
        self.engine.run(job, priority, self.finish)
        return True

    def finish(self, job: Job) -> None:
        """Finish a request and return it to its router."""
        self.attempts.finish(job.attempt.id, self.world.driver.now)
        self.attempts.entries.pop(job.attempt.id)
        self.world.driver.after(HOP, job.router.finish, job, self.load())

    def hear(self, load: Load) -> None:
        """Record a load report of a peer."""
        if load.endpoint != self.endpoint.name:
            admission.take_load(self.env, load)
            self.heard[load.endpoint] = (load.time, load.work)

    def known_mean(self, attempt: Attempt) -> float:
        """Return the mean work that defines the load bound.

        It is computed independently of the load table, to check the admission against it.
        """
        now = self.world.driver.now
        heard = [
            entry
            for entry in self.heard.values()
            if entry[0] >= now - defaults.MAX_LOAD_AGE_SECONDS
        ]
        heard.append((now, self.attempts.work))
        age = now - sum(time for time, _ in heard) / len(heard)
        if attempt.mean_age < age and attempt.members >= len(heard):
            return attempt.mean
        return sum(work for _, work in heard) / len(heard)


class Router:
    """Queue and endpoint selection of one router."""

    def __init__(self, world: "World", number: int):
        self.world = world
        self.gone: set[str] = set()
        self.places = LastEndpoints()
        self.loads = LoadTable()
        self.loads.replace_groups(load_groups([world.pool], ""))
        self.view = View(
            loads=self.loads,
            floor=world.shape.floor,
            failure_domain=f"domain-{number % 3}",
            rng=random.Random(number),
            last_endpoints=world.events if world.ways.summaries else self.places,
            usable=self.usable,
        )
        self.estimates = WorkEstimator()
        self.popularity = PrefixPopularity()
        self.queue = FairQueue(lambda account: 1.0)
        vms = [VM(str(n), "", "", "", "entry") for n in range(world.shape.routers)]
        self.env = SimpleNamespace(
            clock=world.driver.clock,
            loads=self.loads,
            view=self.view,
            usable=self.usable,
            fleet=SimpleNamespace(vms=vms),
        )
        self.jobs: dict[Waiter, Job] = {}
        self.review()

    def usable(self, name: str) -> bool:
        """Return whether an endpoint is in this router's endpoint list."""
        return name not in self.gone

    def review(self) -> None:
        """Update the queue's limit and refuse requests that would miss their deadline."""
        room = admission.room(self.env, self.world.pool, self.queue.running_work)
        self.apply(self.queue.update_quota(room, self.world.driver.now))

    def submit(self, request: Request) -> None:
        """Queue a request of a caller."""
        now = self.world.driver.now
        size = len(request.keys) * BLOCK_BYTES
        work = self.estimates.estimate(request.account, "model", size, None)
        account = request.account if self.world.ways.fair else "all"
        waiter = Waiter(account, work, now + defaults.REQUEST_TIMEOUT_SECONDS)
        self.jobs[waiter] = Job(request, self, waiter)
        self.popularity.record(request.identity.prefixes, work, now)
        self.apply(self.queue.submit(waiter, now))

    def apply(self, changes: QueueChanges) -> None:
        """Dispatch the granted requests and count the refused ones."""
        for waiter in changes.granted:
            self.choose(self.jobs[waiter])
        for waiter in changes.refused:
            self.world.refuse(self.jobs.pop(waiter))

    def choose(self, job: Job) -> None:
        """Rank the endpoints and try the first one."""
        identity = job.request.identity
        prefix = choose_prefix(identity, self.popularity, len(self.world.pool)).prefix
        ask = RoutingRequest(identity.chat, prefix, job.waiter.work, self.world.driver.now)
        job.candidates = self.world.rank(ask, job, self.view)
        job.home = next(
            policies["bounded"](RoutingRequest(ask.chat, prefix), self.world.pool, View())
        ).name
        self.try_next(job)

    def try_next(self, job: Job) -> None:
        """Send a request to its next candidate."""
        endpoint = next(job.candidates, None)
        job.tries += 1
        if endpoint is None or job.tries > defaults.MAX_DISPATCH_ATTEMPTS:
            self.offer_again(job)
            return
        self.world.driver.after(HOP, self.arrive, job, endpoint)

    def offer_again(self, job: Job) -> None:
        """Rank the endpoints again after a backoff, or refuse the request."""
        left = job.waiter.deadline - self.world.driver.now
        pause = overload_backoff(job.rounds, left, self.world.driver.rng)
        job.rounds += 1
        job.tries = 0
        if pause is not None:
            self.world.driver.after(pause, self.choose, job)
            return
        self.world.refuse(job)
        self.release(job)

    def arrive(self, job: Job, endpoint: Endpoint) -> None:
        """Offer a request to a sidecar; a refusal carries the sidecar's load."""
        sidecar = self.world.sidecars[endpoint.name]
        name = str(next(self.world.numbers))
        job.attempt = self.attempt(job, name, endpoint)
        if sidecar.admit(job):
            self.loads.update(sidecar.load())
            self.places.record(job.request.identity.chat, endpoint.name)
            self.world.figures.spilled += endpoint.name != job.home
            self.world.tell_place(job.request.identity.chat, endpoint.name)
            return
        self.world.figures.refusals += 1
        self.loads.update(sidecar.load())
        self.world.driver.after(HOP, self.try_next, job)

    def attempt(self, job: Job, name: str, endpoint: Endpoint) -> Attempt:
        """Return an attempt of a request at an endpoint."""
        mean = self.loads.mean_with_age(self.world.pool.name, self.world.driver.now)
        return Attempt(
            name,
            endpoint.name,
            endpoint.name,
            defaults.REQUEST_TIMEOUT_SECONDS,
            job.waiter.work,
            stamp=self.world.driver.now,
            borrowed=not job.waiter.within_share,
            mean=mean.work,
            mean_age=mean.age,
            members=mean.members,
        )

    def finish(self, job: Job, load: Load) -> None:
        """Update the estimates from a finished request and release its queue slot."""
        prompt = len(job.request.keys) * BLOCK_TOKENS
        details = PromptDetails(job.cached * BLOCK_TOKENS)
        usage = Usage(prompt, job.request.output, details)
        size = len(job.request.keys) * BLOCK_BYTES
        self.estimates.learn(job.request.account, "model", size, usage)
        self.loads.update(load)
        self.world.figures.done += 1
        self.release(job)

    def release(self, job: Job) -> None:
        """Release the queue slot of a request."""
        del self.jobs[job.waiter]
        self.apply(self.queue.finish(job.waiter, self.world.driver.now))


class World:
    """Simulation of one workload under one routing variant."""

    def __init__(self, shape: Shape, ways: Ways, requests: list[Request], seed: int):
        self.shape = shape
        self.ways = ways
        self.requests = requests
        self.driver = Driver(seed)
        self.numbers = itertools.count()
        self.figures = Figures()
        self.limits = View(floor=shape.floor)
        self.events = LastEndpoints()
        names = range(shape.endpoints)
        self.pool = Pool("model", [self.endpoint(number) for number in names])
        self.sidecars = {endpoint.name: Sidecar(self, endpoint) for endpoint in self.pool}
        self.routers = [Router(self, number) for number in range(shape.routers)]

    def endpoint(self, number: int) -> Endpoint:
        """Return the endpoint with a number."""
        domain = f"domain-{number % 3}"
        return Endpoint(f"e{number}", f"vm{number}", "", 1, 1, "llm", "r", domain, 1, ("model",))

    def run(self) -> Figures:
        """Run the workload and return its metrics after the warm-up."""
        driver = self.driver
        for request in self.requests:
            driver.at(request.time, driver.rng.choice(self.routers).submit, request)
        for sidecar in self.sidecars.values():
            driver.every(REPORT_PERIOD, self.report, sidecar)
        for router in self.routers:
            driver.every(REVIEW_PERIOD, router.review)
        driver.every(1.0, self.sample)
        if self.shape.churn:
            driver.every(self.shape.churn, self.leave)
        driver.run(self.shape.seconds * WARM_UP)
        self.figures = Figures()
        driver.run(self.shape.seconds)
        return self.figures

    def report(self, sidecar: Sidecar) -> None:
        """Send a load report, which arrives after a delay."""
        if not sidecar.attempts.draining:
            self.driver.after(REPORT_DELAY, self.hear, sidecar.load())

    def hear(self, load: Load) -> None:
        """Deliver a load report to all routers and sidecars."""
        for router in self.routers:
            admission.take_load(router.env, load)
        for sidecar in self.sidecars.values():
            sidecar.hear(load)

    def tell_place(self, chat: str, name: str) -> None:
        """Publish a cache event, which is delayed or lost."""
        if self.driver.rng.random() >= LOST_EVENTS:
            self.driver.after(REPORT_DELAY, self.events.record, chat, name)

    def leave(self) -> None:
        """Drain a random endpoint, which rejoins later with an empty cache."""
        sidecar = self.sidecars[self.driver.rng.choice(self.pool).name]
        self.withdraw(sidecar)
        self.driver.after(ABSENCE, self.join, sidecar)

    def withdraw(self, sidecar: Sidecar) -> None:
        """Drain an endpoint; each router removes it from its list after a random delay."""
        sidecar.attempts.draining = True
        for router in self.routers:
            name = sidecar.endpoint.name
            self.driver.after(self.driver.rng.uniform(0, LIST_DELAY), router.gone.add, name)

    def join(self, sidecar: Sidecar) -> None:
        """Return an endpoint to service with an empty cache."""
        sidecar.attempts.draining = False
        sidecar.engine.cache.entries.clear()
        for router in self.routers:
            name = sidecar.endpoint.name
            self.driver.after(self.driver.rng.uniform(0, LIST_DELAY), router.gone.discard, name)

    def rank(self, ask: RoutingRequest, job: Job, view: View) -> Iterator[Endpoint]:
        """Return the endpoints in the order of the variant's policy."""
        if self.ways.policy == "oracle":
            return iter(self.oracle(ask, job))
        return policies[self.ways.policy](ask, self.pool, view)

    def oracle(self, ask: RoutingRequest, job: Job) -> list[Endpoint]:
        """Return the endpoints by cached prefix, given the true state of all caches and loads."""
        attempt = job.router.attempt(job, "", self.pool[0])

        def rank(endpoint: Endpoint) -> tuple:
            sidecar = self.sidecars[endpoint.name]
            table = sidecar.attempts
            full = table.draining or (
                table.running and table.work + ask.work > sidecar.cap(attempt)
            )
            return (bool(full), -sidecar.engine.cache.count(job.request.keys), table.work)

        return sorted(self.pool, key=rank)

    def started(self, job: Job) -> None:
        """Record a request at the start of its prefill."""
        self.figures.prompt += len(job.request.keys)
        self.figures.cached += job.cached
        wait = self.driver.now - job.request.time
        self.figures.waits.append((job.request.time, job.request.account, wait))

    def refuse(self, job: Job) -> None:
        """Count a refused request."""
        self.figures.refused += 1
        self.figures.refusals_of[job.request.account] += 1

    def works(self) -> list[float]:
        """Return the current work of every endpoint that is not draining."""
        tables = [sidecar.attempts for sidecar in self.sidecars.values()]
        return [table.work for table in tables if not table.draining]

    def judge(self, before: float, work: float, known: float) -> None:
        """Check an admission against the load bound and against the true mean."""
        after = before + work
        if not before or after <= self.shape.floor:
            return
        works = self.works()
        mean = (sum(works) - work) / max(1, len(works))
        self.figures.excess.append(after / mean)
        within = after <= defaults.LOAD_MULTIPLE * known or before <= known
        self.figures.broken += not within
        self.figures.lumps += after > defaults.LOAD_MULTIPLE * known and within

    def sample(self) -> None:
        """Record the current skew."""
        works = self.works()
        mean = sum(works) / max(1, len(works))
        if mean:
            self.figures.skews.append((max(works) / mean, max(works)))
