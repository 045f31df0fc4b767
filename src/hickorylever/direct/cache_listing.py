"""Calls and pulls by which starting routers learn what engines have cached.

They are needed if no other router knows it. The routers divide the engines among themselves, see
:mod:`.cache_plan`. Each lists its own engines once, and the others pull the parts from it.
"""

import time
import zlib
from collections.abc import Iterable, Sequence
from urllib.parse import parse_qs

import curio
import msgspec

from ..decoding import DECODE_ERRORS
from ..events import Event, log
from ..exceptions import ConnectionLost, ContentError, Kind, RequestError
from ..http import Channel, Client, Exchange
from .cache_plan import CachePlan, Stage
from .compression import decompress
from .endpoints import Endpoint
from .hashes import name_hash
from .outbox import MAX_UPDATES_PER_KIND, take_sends
from .peer_protocol import CacheListingUpdate, Datagram
from .peer_table import Peer
from .records import Engine, PromptPart

CACHES_PATH = "/caches"
SOME_HEARD_WAIT_SECONDS = 0.1  # Time in which other routers say whether they know the caches.
NONE_HEARD_WAIT_SECONDS = 0.25  # The same while none answers, as datagrams may be lost.
MAX_CALLS = 8  # At the same time.
LINK_MBPS_PER_CALL = 2.5  # Calls that share a slow link then end within their time limit.
LISTING_TIMEOUT_SECONDS = 2.0
MAX_LISTING_BYTES = 4 * 1024 * 1024
PULL_TIMEOUT_SECONDS = 3.0  # A slow link may have to serve all other routers.
MAX_PULLED_PARTS = 1024  # Of each engine, so that all engines' parts pass a slow link quickly.
MAX_HASH_DIGITS = 10  # Of a 32-bit number.


class CachedParts(msgspec.Struct, array_like=True):
    """The prompt parts that an engine has cached, as sent to another router.

    :param endpoint: hash of the engine's name.
    :param started_ms: start of the engine as Unix time in milliseconds.
    :param parts: size in tokens by part, most recently used last.
    """

    endpoint: int
    started_ms: int
    parts: dict[str, int]


class CacheListing:
    """Learns what engines have cached after the start of this router.

    :param node: the components of this router.
    :param peers: the other routers.
    :ivar plan: what is left to learn, and from whom.
    :ivar first_tick: monotonic time in seconds at which the other routers were first probed.
    :ivar calls: number of engines that are being listed.
    :ivar max_calls: limit on `calls`.
    :ivar pulling: addresses of the routers that parts are being pulled from.
    :ivar announced: whether the other routers were told that this one knows the caches.
    """

    def __init__(self, node, peers):
        self.node = node
        self.peers = peers
        self.plan = CachePlan(node.settings.address)
        self.client = Client()
        self.first_tick: float | None = None
        self.calls = 0
        link_calls = int(node.settings.link_mbps / LINK_MBPS_PER_CALL)
        self.max_calls = max(1, min(MAX_CALLS, link_calls))
        self.pulling: set[str] = set()
        self.announced = False

    async def tick(self, now: float, alive: list[Peer]) -> None:
        """Start the calls and pulls that are due.

        :param now: monotonic time in seconds.
        """
        plan = self.plan
        if self.first_tick is None:
            self.first_tick = now
        if plan.complete:
            await self.announce(alive)
            return
        if plan.pending is None and not self.begin(now, alive):
            return
        informed = [peer for peer in alive if peer.caches_known]
        source = self.node.rng.choice(informed).address if informed else ""
        for address, keys in plan.take_pulls(source, self.pulling, now).items():
            self.pulling.add(address)
            await curio.spawn(self.pull, address, keys, daemon=True)
        plan.divide(self.peers.by_address)
        if not informed:
            await self.start_calls(now, alive)
        if left := plan.give_up(now):
            log(Event.CACHES_UNKNOWN, f"the caches of {left} engines were not learned")

    async def start_calls(self, now: float, alive: list[Peer]) -> None:
        """Start the calls that are due, and tell the other routers at once."""
        heard = {peer.address for peer in alive}
        keys = self.plan.take_calls(heard, self.may_call, self.max_calls - self.calls, now)
        for key in keys:
            self.calls += 1
            self.plan.report(key, Stage.CALLED)
            await curio.spawn(self.list_engine, key, daemon=True)
        if keys:
            await self.node.peer_sync.broadcast(alive, cache_listings=self.take())

    async def send_reports(self, peer: Peer) -> None:
        """Report the engines that this router has listed to one that was just heard."""
        if reports := self.plan.reports():
            await self.node.peer_sync.broadcast([peer], cache_listings=reports)

    async def announce(self, alive: list[Peer]) -> None:
        """Announce to the other routers once that this one knows the caches."""
        if not self.announced:
            self.announced = True
            await self.node.peer_sync.broadcast(alive)

    def begin(self, now: float, alive: list[Peer]) -> bool:
        """Begin once the engines are known and other routers had time to answer.

        Return whether there are engines to learn of.
        """
        if self.node.routes is None or not self.node.endpoints_listed:
            return False
        wait = SOME_HEARD_WAIT_SECONDS if alive else NONE_HEARD_WAIT_SECONDS
        if now - self.first_tick < wait:
            return False
        self.plan.begin(self.engine_keys(), self.peers.by_address, now)
        return not self.plan.complete

    def engine_keys(self) -> list[int]:
        """Return the hashes of the names of all engines that take new requests."""
        return [
            name_hash(endpoint.name)
            for service, pool in self.node.directory.pools.items()
            if self.engine_of(service) is not None
            for endpoint in pool
            if endpoint.accepting
        ]

    def engine_of(self, service: str) -> Engine | None:
        """Return the capacity of a service's engines, or None for a plain or unknown service."""
        found = self.node.routes.services.get(service)
        return found.engine if found else None

    def may_call(self, key: int) -> bool:
        """Return whether an engine takes requests now and has finished its warm-up."""
        endpoint = self.node.directory.by_hash.get(key)
        now = time.monotonic()
        return endpoint is not None and endpoint.usable(now) and now >= endpoint.warm_at

    async def list_engine(self, key: int) -> None:
        """List the cache of one engine and report the result to the other routers."""
        endpoint = self.node.directory.by_hash.get(key)
        stage = Stage.FAILED
        try:
            stage = Stage.UNREACHED if endpoint is None else await self.call(endpoint)
        finally:
            self.calls -= 1
            self.node.metrics.cache_listings.inc({"result": stage.name.lower()})
            self.plan.report(key, stage)
            if stage is not Stage.UNREACHED:
                self.plan.resolve(key)

    async def call(self, endpoint: Endpoint) -> Stage:
        """Add the parts that an engine lists, and return the result of the call."""
        stage = Stage.UNREACHED
        address, port = endpoint.entry.address, endpoint.entry.port
        try:
            async with curio.timeout_after(LISTING_TIMEOUT_SECONDS):
                channel = await self.node.client.acquire(address, port, fresh=True)
                stage = Stage.FAILED
                parts = await self.fetch_parts(endpoint, channel)
        except (ConnectionLost, ContentError, curio.TaskTimeout) as error:
            log(Event.CACHE_LISTING_FAILED, endpoint.name, error=repr(error))
            return stage
        self.add(endpoint, parts, "engine")
        log(Event.CACHE_LISTED, endpoint.name, parts=len(parts))
        return Stage.LISTED

    async def fetch_parts(self, endpoint: Endpoint, channel: Channel) -> list[PromptPart]:
        """Return the parts that an engine lists, over a new connection that is kept for requests.

        The call names no request, so that on a used connection a late copy of an earlier response
        could be taken for the list.

        :raises ConnectionLost: if the call fails.
        :raises ContentError: if the response is malformed.
        """
        codec = self.node.codec
        client = self.node.client
        headers = codec.identify_endpoint(endpoint.name)
        try:
            await client.send_request(channel, "GET", codec.CACHE_LIST_PATH, headers)
            response = await client.receive_response(channel)
            content = await response.body(MAX_LISTING_BYTES)
        except BaseException:
            await channel.close()
            raise
        await client.release(endpoint.entry.address, endpoint.entry.port, channel)
        if response.status != 200:
            raise ContentError(f"status {response.status}")
        return codec.read_cached_parts(content)

    def add(self, endpoint: Endpoint, parts: Sequence[PromptPart], source: str) -> None:
        """Add parts to the index of an engine, as older than those of requests since the start.

        :param source: label of the metric: `engine` or `router`.
        """
        engine = self.engine_of(endpoint.entry.service)
        endpoint.prompt_cache.add_oldest(parts, engine.memory_tokens if engine else 0)
        self.node.metrics.cache_parts.add({"source": source}, len(parts))

    def apply(self, address: str, datagram: Datagram, now: float) -> None:
        """Record what another router reports of the engines that it lists.

        :param now: monotonic time in seconds.
        """
        for update in datagram.cache_listings:
            self.plan.record(address, update, now)

    def take(self) -> list[CacheListingUpdate]:
        """Return the updates for the next datagram."""
        return take_sends(self.plan.sends, MAX_UPDATES_PER_KIND)

    async def pull(self, address: str, keys: list[int]) -> None:
        """Fetch the cached parts of engines from another router."""
        target = f"{CACHES_PATH}?endpoints={','.join(map(str, keys))}"
        try:
            async with curio.timeout_after(PULL_TIMEOUT_SECONDS):
                status, _, body = await self.client.fetch(
                    address, self.node.settings.peer_port, "GET", target
                )
            if status != 200:
                raise ConnectionLost(f"status {status}")
            caches = msgspec.msgpack.decode(decompress(body), type=list[CachedParts])
            self.apply_pulled(address, caches)
        except (ConnectionLost, curio.TaskTimeout, ContentError, *DECODE_ERRORS) as error:
            self.plan.record_failed_pull(keys)
            log(Event.SOURCE_FAILED, repr(error), peer=address)
        finally:
            self.pulling.discard(address)

    def apply_pulled(self, address: str, caches: list[CachedParts]) -> None:
        """Add the parts that another router sent; those of an earlier start are left out."""
        for cached in caches:
            endpoint = self.node.directory.by_hash.get(cached.endpoint)
            if endpoint is not None and endpoint.entry.started_ms == cached.started_ms:
                parts = [PromptPart(part, tokens) for part, tokens in cached.parts.items()]
                self.add(endpoint, parts, "router")
            self.plan.resolve(cached.endpoint)
        log(Event.CACHES_PULLED, address, engines=len(caches))

    async def handle(self, exchange: Exchange) -> None:
        """Respond with the cached parts of the engines that another router asks for.

        Engines that this router does not know the parts of are left out.

        :raises RequestError: if the query is malformed.
        """
        values = parse_qs(exchange.query).get("endpoints", [""])[0].split(",")
        if not all(value.isdecimal() and len(value) <= MAX_HASH_DIGITS for value in values):
            raise RequestError(Kind.BAD_REQUEST, "endpoints are numbers")
        content = msgspec.msgpack.encode(self.known_caches(map(int, values)))
        await exchange.respond(200, body=zlib.compress(content, 1))

    def known_caches(self, keys: Iterable[int]) -> list[CachedParts]:
        """Return the cached parts of engines, without engines of which they are not known."""
        by_hash = self.node.directory.by_hash
        return [
            CachedParts(
                key,
                by_hash[key].entry.started_ms,
                by_hash[key].prompt_cache.latest_parts(MAX_PULLED_PARTS),
            )
            for key in keys
            if key in by_hash and self.plan.knows(key)
        ]
