"""Routers that place requests on engines in virtual time, each with a view that lags.

A router knows its own requests at once and the others' by the datagrams that its real outbox lets
it send. Engines read prompts one after the other and run any number of requests beside each other.
"""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from hickorylever.direct.endpoints import Endpoint, PeerLoad
from hickorylever.direct.peer_protocol import (
    FLUSH_INTERVAL_SECONDS,
    FLUSH_SECONDS_PER_PEER,
    Outbox,
    name_hash,
)
from hickorylever.direct.placing import Ask, place
from hickorylever.direct.records import EndpointEntry, Engine, PromptPart

READ_RATE = 64_000.0  # Prompt tokens a second that an engine reads.
DELAY = 0.02  # Seconds that a datagram takes.
DOMAINS = "abcd"
MULTIPLE = 2.0
ENGINE = Engine(slots=64, memory_tokens=500_000, tokens_per_event=5)


@dataclass(frozen=True)
class Kind:
    """Requests that share prompt parts.

    :param subjects: how many different shared parts there are.
    :param own: prompt tokens of the request itself.
    :param seconds: that a request runs after its prompt was read.
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
    """The load that a fleet answers.

    :param rate: requests a second over all routers.
    :param hot_share: of the requests that are about the same subject.
    :param stretch: factor on the time that requests run.
    :param lost: share of datagrams that do not arrive.
    :param failures: a second, of engines picked at random, that every router hears of at once.
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
    """A request as it reached its engine.

    :param held: requests that the engine held when it came.
    :param mean: of all engines.
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
    """Plays a load; time is virtual, and every choice is drawn from one seeded generator."""

    load: Load
    seed: int
    placed: list[Placed] = field(default_factory=list)

    def __post_init__(self):
        load = self.load
        self.chance = random.Random(self.seed)
        self.views = [self.pool() for _ in range(load.routers)]
        self.outboxes = [Outbox() for _ in range(load.routers)]
        self.numbers = {name_hash(f"i-{n}"): n for n in range(load.engines)}
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
        """Play the load and return the requests in their order."""
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
        """Let a router tell the others what is due."""
        for endpoint in self.views[router]:
            endpoint.expire_loads(now)
        interval = FLUSH_INTERVAL_SECONDS + FLUSH_SECONDS_PER_PEER * (self.load.routers - 1)
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
            endpoint.set_peer_load(str(sender), PeerLoad(load.requests, load.prefill, now))

    def tell(self, router, endpoint):
        self.outboxes[router].queue_load(endpoint.name, endpoint.running, endpoint.prefill)

    def fail(self, now):
        number = self.chance.randrange(self.load.engines)
        for view in self.views:
            view[number].record_answer(True, now)
        self.at(now + self.chance.expovariate(self.load.failures), self.fail)

    def arrive(self, now):
        """Place one request."""
        self.at(now + self.chance.expovariate(self.load.rate), self.arrive)
        router = self.chance.randrange(self.load.routers)
        kind = self.chance.choices(KINDS, [kind.share for kind in KINDS])[0]
        hot = self.chance.random() < self.load.hot_share
        subject = 0 if hot else self.chance.randrange(kind.subjects)
        parts = (
            PromptPart(f"s{kind.shared}-{subject}", kind.shared),
            PromptPart(f"o{len(self.placed)}", kind.own),
        )
        ask = Ask(now, DOMAINS[router % 4], MULTIPLE, ENGINE, parts, kind.shared + kind.own)
        choice = place(self.views[router], ask)
        endpoint = choice.endpoint
        number = int(endpoint.name[2:])
        mean = sum(self.held) / self.load.engines
        seen = sum(other.load()[0] for other in self.views[router]) / self.load.engines
        self.placed.append(Placed(now, self.held[number], mean, seen))
        for view in self.views:
            view[number].prompt_cache.note(parts[:1], 0)
        self.held[number] += 1
        endpoint.add_request(choice.uncached, now)
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
    """Return the largest share of requests over the bound in any window of that length."""
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
