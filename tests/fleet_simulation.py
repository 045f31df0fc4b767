"""Simulation of routers that place requests on engines, with delayed and lost load updates.

A router knows its own requests at once and those of other routers from the datagrams of its real
outbox. An engine reads prompts sequentially and decodes any number of requests in parallel.
"""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from hickorylever.direct.candidates import PlacementRequest
from hickorylever.direct.endpoints import Endpoint, PeerLoad
from hickorylever.direct.hashes import name_hash
from hickorylever.direct.outbox import Outbox
from hickorylever.direct.peer_protocol import FLUSH_INTERVAL_SECONDS, FLUSH_SECONDS_PER_PEER
from hickorylever.direct.placement import place
from hickorylever.direct.pool import Pool
from hickorylever.direct.records import EndpointEntry, Engine, PromptPart

SIMULATED_TOKENS_PER_SECOND = 64_000.0  # Prefill of an engine.
DATAGRAM_DELAY_SECONDS = 0.02
DOMAINS = "abcd"
LOAD_MULTIPLE = 2.0
ENGINE = Engine(slots=64, memory_tokens=500_000, tokens_per_event=5)


@dataclass(frozen=True)
class RequestClass:
    """Class of requests with shared prompt parts.

    :param share: share of all requests.
    :param subjects: number of distinct shared parts.
    :param shared_tokens: prompt tokens of a shared part.
    :param own_tokens: prompt tokens of the request itself.
    :param seconds: mean run time after the prompt was read.
    """

    share: float
    subjects: int
    shared_tokens: int
    own_tokens: int
    seconds: float


REQUEST_CLASSES = (
    RequestClass(0.25, 36, 10_000, 1300, 1.7),
    RequestClass(0.50, 106, 700, 130, 1.3),
    RequestClass(0.25, 93, 2000, 360, 0.2),
)


@dataclass
class Workload:
    """Workload and size of the simulated fleet.

    :param rate: requests per second over all routers.
    :param hot_ratio: share of the requests with the same shared part.
    :param run_time_factor: factor on the run time of requests.
    :param loss_ratio: share of datagrams that are lost.
    :param failures: failures of random engines per second, seen by all routers at once.
    """

    routers: int = 21
    engines: int = 20
    rate: float = 110.0
    seconds: float = 14.0
    hot_ratio: float = 0.0
    run_time_factor: float = 1.0
    loss_ratio: float = 0.001
    failures: float = 0.0


@dataclass(frozen=True)
class Placement:
    """State at the placement of a request.

    :param in_flight: requests at the selected engine before this one.
    :param mean: mean over all engines.
    :param seen_mean: the router's view of `mean`.
    """

    time: float
    in_flight: int
    mean: float
    seen_mean: float

    @property
    def over_bound(self):
        return self.in_flight > LOAD_MULTIPLE * self.mean + 3


@dataclass
class Simulation:
    """Discrete-event simulation; all random choices come from one seeded generator."""

    workload: Workload
    seed: int
    placed: list[Placement] = field(default_factory=list)

    def __post_init__(self):
        workload = self.workload
        self.rng = random.Random(self.seed)
        self.views = [self.pool() for _ in range(workload.routers)]
        self.pools = [Pool(view) for view in self.views]
        self.outboxes = [Outbox() for _ in range(workload.routers)]
        self.numbers = {name_hash(f"i-{n}"): n for n in range(workload.engines)}
        self.in_flight = [0] * workload.engines
        self.prefill_ends_at = [0.0] * workload.engines
        self.events = []
        self.sequence = 0

    def pool(self):
        return [
            Endpoint(EndpointEntry(f"i-{n}", "engines", "10.0.0.1", 80 + n, DOMAINS[n % 4], 64))
            for n in range(self.workload.engines)
        ]

    def schedule(self, time, action, *arguments):
        self.sequence += 1
        heapq.heappush(self.events, (time, self.sequence, action, arguments))

    def run(self):
        """Run the simulation and return the placed requests in order."""
        for router in range(self.workload.routers):
            self.schedule(self.rng.uniform(0, 0.1), self.flush_outbox, router)
        self.schedule(0.0, self.arrive)
        if self.workload.failures:
            self.schedule(0.5, self.fail)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            if now > self.workload.seconds:
                break
            action(now, *arguments)
        return self.placed

    def flush_outbox(self, now, router):
        """Send a router's due load updates to the others."""
        for endpoint in self.views[router]:
            endpoint.expire_loads(now)
        interval = FLUSH_INTERVAL_SECONDS + FLUSH_SECONDS_PER_PEER * (self.workload.routers - 1)
        outbox = self.outboxes[router]
        if outbox.due(now, interval):
            loads = outbox.take(now)["loads"]
            for other in range(self.workload.routers):
                if other != router and self.rng.random() >= self.workload.loss_ratio:
                    self.schedule(
                        now + DATAGRAM_DELAY_SECONDS, self.receive_loads, other, router, loads
                    )
        self.schedule(now + 0.02, self.flush_outbox, router)

    def receive_loads(self, now, router, sender, loads):
        for load in loads:
            endpoint = self.views[router][self.numbers[load.endpoint]]
            endpoint.set_peer_load(str(sender), PeerLoad(load.requests, load.prefill, now))

    def announce_load(self, router, endpoint):
        self.outboxes[router].queue_load(endpoint.name, endpoint.running, endpoint.prefill)

    def fail(self, now):
        number = self.rng.randrange(self.workload.engines)
        for view in self.views:
            view[number].record_answer(True, now)
        self.schedule(now + self.rng.expovariate(self.workload.failures), self.fail)

    def arrive(self, now):
        """Place one request and schedule its end."""
        self.schedule(now + self.rng.expovariate(self.workload.rate), self.arrive)
        router = self.rng.randrange(self.workload.routers)
        request_class = self.rng.choices(
            REQUEST_CLASSES, [request_class.share for request_class in REQUEST_CLASSES]
        )[0]
        hot = self.rng.random() < self.workload.hot_ratio
        subject = 0 if hot else self.rng.randrange(request_class.subjects)
        parts = (
            PromptPart(f"s{request_class.shared_tokens}-{subject}", request_class.shared_tokens),
            PromptPart(f"o{len(self.placed)}", request_class.own_tokens),
        )
        placement_request = PlacementRequest(
            now,
            DOMAINS[router % 4],
            LOAD_MULTIPLE,
            ENGINE,
            parts,
            request_class.shared_tokens + request_class.own_tokens,
        )
        choice = place(self.pools[router], placement_request)
        endpoint = choice.endpoint
        number = int(endpoint.name[2:])
        mean = sum(self.in_flight) / self.workload.engines
        seen_mean = sum(other.load()[0] for other in self.views[router]) / self.workload.engines
        self.placed.append(Placement(now, self.in_flight[number], mean, seen_mean))
        for view in self.views:
            view[number].prompt_cache.add(parts[:1], 0)
        self.in_flight[number] += 1
        endpoint.add_request(choice.uncached, now)
        self.announce_load(router, endpoint)
        self.prefill_ends_at[number] = (
            max(now, self.prefill_ends_at[number]) + choice.uncached / SIMULATED_TOKENS_PER_SECOND
        )
        self.schedule(
            self.prefill_ends_at[number], self.finish_prefill, router, endpoint, choice.uncached
        )
        seconds = (
            request_class.seconds * self.workload.run_time_factor * self.rng.uniform(0.5, 1.5)
        )
        self.schedule(
            self.prefill_ends_at[number] + seconds, self.finish, router, endpoint, number
        )

    def finish_prefill(self, now, router, endpoint, tokens):
        endpoint.prefill = max(0.0, endpoint.prefill - tokens)
        self.announce_load(router, endpoint)

    def finish(self, now, router, endpoint, number):
        self.in_flight[number] -= 1
        endpoint.running -= 1
        self.announce_load(router, endpoint)


def worst_window(placed, seconds=5.0):
    """Return the largest share of requests over the bound in any window of `seconds`."""
    worst = 0.0
    window = deque()
    over_bound = 0
    for entry in placed:
        window.append(entry)
        over_bound += entry.over_bound
        while entry.time - window[0].time > seconds:
            over_bound -= window.popleft().over_bound
            worst = max(worst, over_bound / len(window))
    return worst
