"""Simulation of routers that place requests on engines, with delayed and lost load updates.

A router knows its own requests at once and those of other routers from the datagrams of its real
outbox. An engine reads prompts sequentially and decodes any number of requests in parallel.
"""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from hickorylever.direct.endpoints import Endpoint, PeerLoad
from hickorylever.direct.news import FLUSH_INTERVAL, FLUSH_PER_PEER, Outbox, short
from hickorylever.direct.placing import Ask, place
from hickorylever.direct.records import EndpointEntry, Engine, Part

READ_RATE = 64_000.0  # Of an engine.
DELAY = 0.02  # Of a datagram.
DOMAINS = "abcd"
MULTIPLE = 2.0
ENGINE = Engine(slots=64, memory=500_000, event_tokens=5)


@dataclass(frozen=True)
class Kind:
    """Class of requests with shared prompt parts.

    :param share: share of all requests.
    :param subjects: number of distinct shared parts.
    :param shared: prompt tokens of a shared part.
    :param own: prompt tokens of the request itself.
    :param seconds: mean run time after the prompt was read.
    """

    share: float
    subjects: int
    shared: int
    own: int
    seconds: float


KINDS = (
    Kind(0.25, 36, 10_000, 1300, 1.7),
    Kind(0.50, 106, 700, 130, 1.3),
    Kind(0.25, 93, 2000, 360, 0.2),
)


@dataclass
class Load:
    """Workload and size of the simulated fleet.

    :param rate: requests per second over all routers.
    :param hot_share: share of the requests with the same shared part.
    :param stretch: factor on the run time of requests.
    :param lost: share of datagrams that are lost.
    :param failures: failures of random engines per second, seen by all routers at once.
    """

    routers: int = 21
    engines: int = 20
    rate: float = 110.0
    seconds: float = 14.0
    hot_share: float = 0.0
    stretch: float = 1.0
    lost: float = 0.001
    failures: float = 0.0


@dataclass(frozen=True)
class Placed:
    """State at the placement of a request.

    :param held: requests at the selected engine before this one.
    :param mean: mean over all engines.
    :param seen: the router's view of `mean`.
    """

    time: float
    held: int
    mean: float
    seen: float

    @property
    def over(self):
        return self.held > MULTIPLE * self.mean + 3


@dataclass
class Fleet:
    """Discrete-event simulation; all random choices come from one seeded generator."""

    load: Load
    seed: int
    placed: list[Placed] = field(default_factory=list)

    def __post_init__(self):
        load = self.load
        self.chance = random.Random(self.seed)
        self.views = [self.pool() for _ in range(load.routers)]
        self.outboxes = [Outbox() for _ in range(load.routers)]
        self.numbers = {short(f"i-{n}"): n for n in range(load.engines)}
        self.held = [0] * load.engines
        self.read_until = [0.0] * load.engines
        self.events = []
        self.count = 0

    def pool(self):
        return [
            Endpoint(EndpointEntry(f"i-{n}", "engines", "10.0.0.1", 80 + n, DOMAINS[n % 4], 64))
            for n in range(self.load.engines)
        ]

    def at(self, time, action, *arguments):
        self.count += 1
        heapq.heappush(self.events, (time, self.count, action, arguments))

    def run(self):
        """Run the simulation and return the placed requests in order."""
        for router in range(self.load.routers):
            self.at(self.chance.uniform(0, 0.1), self.flush, router)
        self.at(0.0, self.arrive)
        if self.load.failures:
            self.at(0.5, self.fail)
        while self.events:
            now, _, action, arguments = heapq.heappop(self.events)
            if now > self.load.seconds:
                break
            action(now, *arguments)
        return self.placed

    def flush(self, now, router):
        """Send a router's due load updates to the others."""
        for endpoint in self.views[router]:
            endpoint.expire_loads(now)
        interval = FLUSH_INTERVAL + FLUSH_PER_PEER * (self.load.routers - 1)
        outbox = self.outboxes[router]
        if outbox.due(now, interval):
            loads, _, _ = outbox.take(now)
            for other in range(self.load.routers):
                if other != router and self.chance.random() >= self.load.lost:
                    self.at(now + DELAY, self.hear, other, router, loads)
        self.at(now + 0.02, self.flush, router)

    def hear(self, now, router, sender, loads):
        for load in loads:
            endpoint = self.views[router][self.numbers[load.endpoint]]
            endpoint.take_load(str(sender), PeerLoad(load.requests, load.prefill, now))

    def tell(self, router, endpoint):
        self.outboxes[router].note_load(endpoint.name, endpoint.running, endpoint.prefill)

    def fail(self, now):
        number = self.chance.randrange(self.load.engines)
        for view in self.views:
            view[number].answered(True, now)
        self.at(now + self.chance.expovariate(self.load.failures), self.fail)

    def arrive(self, now):
        """Place one request and schedule its end."""
        self.at(now + self.chance.expovariate(self.load.rate), self.arrive)
        router = self.chance.randrange(self.load.routers)
        kind = self.chance.choices(KINDS, [kind.share for kind in KINDS])[0]
        hot = self.chance.random() < self.load.hot_share
        subject = 0 if hot else self.chance.randrange(kind.subjects)
        parts = (
            Part(f"s{kind.shared}-{subject}", kind.shared),
            Part(f"o{len(self.placed)}", kind.own),
        )
        ask = Ask(now, DOMAINS[router % 4], MULTIPLE, ENGINE, parts, kind.shared + kind.own)
        choice = place(self.views[router], ask)
        endpoint = choice.endpoint
        number = int(endpoint.name[2:])
        mean = sum(self.held) / self.load.engines
        seen = sum(other.load()[0] for other in self.views[router]) / self.load.engines
        self.placed.append(Placed(now, self.held[number], mean, seen))
        for view in self.views:
            view[number].held.note(parts[:1], 0)
        self.held[number] += 1
        endpoint.begin(choice.uncached, now)
        self.tell(router, endpoint)
        self.read_until[number] = max(now, self.read_until[number]) + choice.uncached / READ_RATE
        self.at(self.read_until[number], self.read, router, endpoint, choice.uncached)
        seconds = kind.seconds * self.load.stretch * self.chance.uniform(0.5, 1.5)
        self.at(self.read_until[number] + seconds, self.end, router, endpoint, number)

    def read(self, now, router, endpoint, tokens):
        endpoint.prefill = max(0.0, endpoint.prefill - tokens)
        self.tell(router, endpoint)

    def end(self, now, router, endpoint, number):
        self.held[number] -= 1
        endpoint.running -= 1
        self.tell(router, endpoint)


def worst_window(placed, seconds=5.0):
    """Return the largest share of requests over the bound in any window of `seconds`."""
    worst = 0.0
    window = deque()
    over = 0
    for entry in placed:
        window.append(entry)
        over += entry.over
        while entry.time - window[0].time > seconds:
            over -= window.popleft().over
            worst = max(worst, over / len(window))
    return worst
