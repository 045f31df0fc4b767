"""Plays a load on routers and engines in virtual time, with the real decisions of the routers.

An engine reads prompts one after another and decodes in steps that get longer with the running
requests. All its work takes longer by the pace of its machine. Chunks of prompts and steps don't
delay each other here.
"""

import heapq
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

from hickorylever.direct.candidates import PlacementRequest
from hickorylever.direct.endpoints import Endpoint, PeerLoad
from hickorylever.direct.hashes import name_hash
from hickorylever.direct.outbox import Outbox
from hickorylever.direct.pace_reports import PaceReports
from hickorylever.direct.placement import COPY_COST_RATIO, place
from hickorylever.direct.pool import Pool
from hickorylever.direct.records import AnswerInfo, EndpointEntry, Engine, PromptPart

STEP_SECONDS, STEP_SECONDS_PER_REQUEST = 0.00327, 0.000082
FIRST_DELAY_SECONDS = 0.04
DATAGRAM_SECONDS = 0.15  # Between datagrams, of 12 to 28 routers.
NETWORK_SECONDS = 0.005
RETRY_SECONDS = 0.02
PATIENCE_SECONDS = 2.0
OBJECTIVE_SECONDS = 0.6
ENGINE = Engine(slots=64, memory_tokens=200_000, tokens_per_event=5)
SHARED_TOKENS = (700, 2000, 10_000)
SUBJECTS = 60


@dataclass
class Load:
    """A load, and what the engines' machines do.

    :param pace: returns the pace of an engine by its number and the time.
    :param stated: returns what it states, or None.
    :param joins: time at which the last engine appears, or None.
    :param own_tokens: limit on the tokens of a prompt that no other has.
    :param busy_routers: number of routers with requests; all by default.
    """

    routers: int = 12
    engines: int = 20
    rate: float = 200.0
    seconds: float = 15.0
    tokens_per_second: float = 85_200.0
    pace: object = lambda engine, now: 1.0
    stated: object = lambda engine, now, pace: pace
    joins: float | None = None
    own_tokens: int = 500
    busy_routers: int | None = None


@dataclass
class Request:
    router: int
    arrived_at: float
    parts: tuple
    output: int
    engine: int = -1
    sent_at: float = 0.0
    first_event_at: float | None = None


@dataclass
class Play:
    """Requests in `requests`; `in_flight` by engine; samples of the latter in `history`."""

    load: Load
    seed: int = 1
    requests: list = field(default_factory=list)
    history: list = field(default_factory=list)

    def __post_init__(self):
        load = self.load
        self.rng = random.Random(self.seed)
        self.events, self.sequence, self.now = [], 0, 0.0
        self.in_flight = [0] * load.engines
        self.reads_until = [0.0] * load.engines
        self.cached = [dict() for _ in range(load.engines)]
        present = load.engines - (load.joins is not None)
        self.nodes = [self.node(number, present) for number in range(load.routers)]

    def node(self, number, present):
        pool = Pool(self.endpoint(n) for n in range(present))
        directory = SimpleNamespace(
            pool=lambda service: directory.endpoints, endpoints=pool, by_hash={}
        )
        directory.by_hash = {name_hash(entry.name): entry for entry in pool}
        addresses = [f"10.1.0.{n}" for n in range(self.load.routers) if n != number]
        peers = [SimpleNamespace(address=address) for address in addresses]
        sync = SimpleNamespace(peers=SimpleNamespace(alive=lambda now: peers))
        settings = SimpleNamespace(address=f"10.1.0.{number}", load_multiple=2.0)
        node = SimpleNamespace(
            directory=directory, peer_sync=sync, settings=settings, endpoints_listed=True
        )
        node.paces = sync.paces = PaceReports(node)
        node.outbox = Outbox()
        return node

    def endpoint(self, n):
        return Endpoint(EndpointEntry(f"i-{n:03}", "engines", "10.0.0.1", 80, "abcd"[n % 4], 64))

    def at(self, time, action, *arguments):
        self.sequence += 1
        heapq.heappush(self.events, (time, self.sequence, action, arguments))

    def run(self):
        for router in range(self.load.routers):
            self.at(self.rng.uniform(0.0, DATAGRAM_SECONDS), self.tell, router)
        if self.load.joins is not None:
            for node in self.nodes:
                self.at(self.load.joins + self.rng.uniform(0.0, 0.2), self.join, node)
        self.at(0.0, self.arrive)
        self.at(0.0, self.observe)
        while self.events and self.now <= self.load.seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def observe(self):
        self.history.append((self.now, tuple(self.in_flight)))
        self.at(self.now + 0.05, self.observe)

    def join(self, node):
        endpoint = self.endpoint(self.load.engines - 1)
        node.directory.endpoints = Pool([*node.directory.endpoints, endpoint])
        node.directory.by_hash[name_hash(endpoint.name)] = endpoint
        node.paces.adopt(endpoint, self.now)

    def tell(self, router):
        node = self.nodes[router]
        loads = node.outbox.take(self.now)["loads"]
        updates = node.paces.take(self.now, 16)
        for other in range(self.load.routers):
            if other != router:
                self.at(self.now + NETWORK_SECONDS, self.hear, other, router, loads, updates)
        self.at(self.now + DATAGRAM_SECONDS, self.tell, router)

    def hear(self, router, sender, loads, updates):
        node = self.nodes[router]
        for load in loads:
            if endpoint := node.directory.by_hash.get(load.endpoint):
                endpoint.set_peer_load(
                    f"10.1.0.{sender}", PeerLoad(load.requests, load.prefill, self.now)
                )
        paces, windows = updates.get("paces", []), updates.get("windows", [])
        node.paces.apply(f"10.1.0.{sender}", paces, windows, self.now)

    def arrive(self):
        self.at(self.now + self.rng.expovariate(self.load.rate), self.arrive)
        tokens = self.rng.choice(SHARED_TOKENS)
        parts = (
            PromptPart(f"s{tokens}-{self.rng.randrange(SUBJECTS)}", tokens),
            PromptPart(f"o{len(self.requests)}", self.rng.randrange(50, self.load.own_tokens)),
        )
        router = self.rng.randrange(self.load.busy_routers or self.load.routers)
        output = self.rng.randrange(50, 400)
        request = Request(router, self.now, parts, output)
        self.requests.append(request)
        self.send(request)

    def send(self, request):
        node = self.nodes[request.router]
        total = sum(part.tokens for part in request.parts)
        choice = place(
            node.directory.endpoints,
            PlacementRequest(
                self.now, "abcd"[request.router % 4], 2.0, ENGINE, request.parts, total,
                objective=OBJECTIVE_SECONDS,
            ),
        )  # fmt: skip
        if not choice.available:
            if self.now - request.arrived_at < PATIENCE_SECONDS:
                self.at(self.now + RETRY_SECONDS, self.send, request)
            return
        endpoint, engine = choice.endpoint, int(choice.endpoint.name[2:])
        request.engine, request.sent_at = engine, self.now
        endpoint.add_request(choice.uncached, self.now)
        self.announce(node, endpoint)
        sample = node.paces.sample(endpoint, ENGINE.slots, choice.uncached, self.now)
        for other in self.nodes:
            if known := other.directory.by_hash.get(name_hash(endpoint.name)):
                known.prompt_cache.add(request.parts[:1], ENGINE.memory_tokens)
        self.in_flight[engine] += 1
        shared, own = request.parts
        tokens = own.tokens
        if shared.id not in self.cached[engine]:
            source = int(choice.source.name[2:]) if choice.source else engine
            copied = shared.id in self.cached[source]
            tokens += shared.tokens * (COPY_COST_RATIO if copied else 1.0)
        self.cached[engine][shared.id] = True
        read = self.worked(
            engine,
            max(self.now, self.reads_until[engine]),
            tokens / self.load.tokens_per_second,
        )
        self.reads_until[engine] = read
        first = self.worked(engine, read, FIRST_DELAY_SECONDS)
        self.at(first, self.first, request, node, endpoint, choice.uncached, sample)

    def worked(self, engine, start, work):
        """Return when work that takes `work` seconds at the usual pace is done."""
        while work > 0:
            done = min(work, 0.01)
            start += done * self.load.pace(engine, start)
            work -= done
        return start

    def first(self, request, node, endpoint, tokens, sample):
        request.first_event_at = self.now
        engine = request.engine
        pace = self.load.pace(engine, self.now)
        stated = self.load.stated(engine, self.now, pace)
        info = AnswerInfo(200, "", True, False, slots=64, pace=stated)
        node.latest_info = info
        node.paces.record_head(endpoint, info, self.now)
        node.paces.record_first_event(endpoint, sample, self.now)
        endpoint.prefill = max(0.0, endpoint.prefill - tokens)
        self.announce(node, endpoint)
        step = STEP_SECONDS + STEP_SECONDS_PER_REQUEST * self.in_flight[engine]
        done = self.worked(engine, self.now, request.output * step)
        self.at(done, self.finish, node, endpoint, engine)

    def finish(self, node, endpoint, engine):
        self.in_flight[engine] -= 1
        endpoint.running -= 1
        self.announce(node, endpoint)

    def announce(self, node, endpoint):
        node.outbox.queue_load(endpoint.name, endpoint.running, endpoint.prefill)

    def late(self, begin=0.0, engine=None):
        """Return the requests that were late or refused since a time, and all of these."""
        asked = [
            request
            for request in self.requests
            if begin <= request.arrived_at < self.load.seconds - PATIENCE_SECONDS
            and (engine is None or request.engine == engine)
        ]
        late = sum(
            request.first_event_at is None
            or request.first_event_at - request.arrived_at > OBJECTIVE_SECONDS
            for request in asked
        )
        return late, len(asked)
