"""A router that forwards to endpoints without sidecars: its parts and its listeners."""

import dataclasses
import logging
import os
import random
import signal
import time

import curio

from ..events import Event, log
from ..exceptions import (
    CallerGone,
    ConnectionLost,
    ContentError,
    Kind,
    Ran,
    RequestError,
    SettingsError,
)
from ..http import Client, Exchange, Limits, Server, listen, while_wanted
from ..process import Signals, supervise
from .budget import SharedBudget
from .crashes import Crashes
from .discovery import Follower
from .endpoints import Directory
from .forward import Call, Forwarder, fingerprint, forward
from .metrics import DirectMetrics
from .peers import Neighbours
from .records import Changes, Configuration, Listing, StoredObject
from .routes import Routes
from .settings import DirectSettings

ENDPOINT_IDLE = 8.0  # Seconds; connections to endpoints are used for half of it.
DEFAULT_TIME_LIMIT = 30.0  # Seconds.
LISTEN_TIME = 2.2  # Seconds after SIGTERM in which new connections are still served.
LAST_REQUESTS = 0.5  # Seconds more that an open connection has for its first request.
EXIT_MARGIN = 0.3  # Seconds before the process would be killed.
DRAIN_POLL = 0.02  # Seconds.
EXPIRY_INTERVAL = 0.2  # Seconds.
QUARANTINE_PAUSE = 5.0  # Seconds.
START_PAUSE = 0.5  # Seconds.
SETTINGS_INTERVAL = 1.0  # Seconds.


RELOADABLE = (
    "seeds",
    "drain_grace",
    "retry_ratio",
    "retry_window",
    "retry_allowance",
    "load_multiple",
)


def modified(path: str) -> int:
    """Return when a file was last changed, in nanoseconds; 0 when it can't be told."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0


class Node:
    """The parts of one process.

    :param codec: decodes requests, answers and documents of the surroundings.
    :param store: a client of the platform's store.
    """

    def __init__(self, settings: DirectSettings, codec, store_class):
        self.settings = settings
        self.codec = codec
        self.chance = random.Random()
        self.metrics = DirectMetrics()
        self.client = Client(max_idle=ENDPOINT_IDLE)
        self.store = store_class(settings.store, Client(max_idle=ENDPOINT_IDLE), self.count_call)
        self.directory = Directory(codec.decode_endpoint, self.reject)
        self.budget = SharedBudget(
            settings.retry_ratio, settings.retry_allowance, settings.retry_window
        )
        self.crashes = Crashes()
        self.routes: Routes | None = None
        self.stored_configuration: StoredObject | None = None
        self.listed = False
        self.draining = False
        self.neighbours = Neighbours(self)
        self.followers: list[Follower] = []

    def count_call(self, verb: str, result: str) -> None:
        """Count a call of the store."""
        self.metrics.platform_calls.inc({"verb": verb, "result": result})

    def reject(self, error: Exception) -> None:
        """Log an object that can't be read."""
        log(Event.OBJECT_REJECTED, str(error))

    def ready(self) -> bool:
        """Tell whether callers can be served."""
        return self.routes is not None and self.listed and not self.draining

    def take_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer than the one that is; tell whether."""
        known = self.routes
        if known is not None and configuration.revision <= known.configuration.revision:
            return False
        self.routes = Routes(configuration)
        self.metrics.revision.set({}, configuration.revision)
        log(
            Event.CONFIGURATION_ADOPTED,
            f"version {configuration.version}",
            revision=configuration.revision,
            routes=len(configuration.routes),
        )
        return True

    def take_stored(self, stored: StoredObject) -> None:
        """Take the operator's object."""
        if stored.name != self.codec.CONFIGURATION[1] or stored.deleted:
            return
        try:
            configuration = self.codec.decode_configuration(stored.spec, stored.revision)
            if self.take_configuration(configuration):
                self.stored_configuration = stored
        except ContentError as error:
            self.reject(error)

    def take_configuration_listing(self, listing: Listing, away: bool) -> None:
        """Take the operator's objects."""
        for stored in listing.objects:
            self.take_stored(stored)

    def take_configuration_changes(self, changes: Changes) -> None:
        """Take changes of the operator's objects."""
        for stored in changes.objects:
            self.take_stored(stored)

    def take_endpoints(self, listing: Listing, away: bool) -> None:
        """Take the list of endpoints."""
        patient = away and self.listed
        self.directory.take_listing(listing, time.monotonic(), patient)
        self.listed = True

    def take_peer_endpoints(self, objects, newest: int, complete: bool) -> None:
        """Take endpoints, or changes of them, that another router knows."""
        now = time.monotonic()
        if newest <= self.directory.newest and self.listed:
            return
        if complete:
            self.directory.take_listing(Listing(tuple(objects), newest), now, patient=True)
            self.listed = True
        else:
            self.directory.take_changes(objects, newest, now)
        self.directory.newest = max(self.directory.newest, newest)

    def cut_off(self) -> bool:
        """Tell whether the store does not answer this router."""
        return not all(follower.reached for follower in self.followers)

    def take_endpoint_changes(self, changes: Changes) -> None:
        """Take changes of endpoints."""
        self.directory.take_changes(changes.objects, changes.revision, time.monotonic())

    def reload(self) -> None:
        """Read the settings again; what a running process can't change stays as it was."""
        try:
            settings = self.codec.load(self.settings.path)
        except SettingsError as error:
            log(Event.SETTINGS_KEPT, str(error), logging.ERROR)
            return
        changed = [
            name for name in RELOADABLE if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = dataclasses.replace(
            self.settings, **{name: getattr(settings, name) for name in changed}
        )
        self.budget.ratio = settings.retry_ratio
        self.budget.allowance = settings.retry_allowance
        self.budget.window = settings.retry_window
        self.neighbours.peers.learn(settings.seeds, time.monotonic())
        log(Event.SETTINGS_RELOADED, ", ".join(changed) or "nothing changed")

    async def watch_settings(self) -> None:
        """Read the settings again when their file changes without a signal."""
        seen = modified(self.settings.path)
        while True:
            await curio.sleep(SETTINGS_INTERVAL)
            now = modified(self.settings.path)
            if now != seen:
                seen = now
                self.reload()

    async def expire(self) -> None:
        """Forget what is over its time."""
        while True:
            await curio.sleep(EXPIRY_INTERVAL)
            self.directory.expire(time.monotonic())
            await self.client.reap()


class Router:
    """Answers callers."""

    def __init__(self, node: Node):
        self.node = node
        self.forwarder = Forwarder(node)
        self.server = Server(self.handle, self.refuse, Limits(max_age=float("inf")))
        self.in_flight = 0

    async def refuse(self, exchange: Exchange, error: RequestError) -> None:
        """Answer with an error of this router's own."""
        status, fields, body = self.node.codec.refusal(error)
        await exchange.respond(status, fields, body)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request and log what came of it."""
        self.in_flight += 1
        begun = time.monotonic()
        call = None
        kind = ""
        try:
            call = await self.receive(exchange, begun)
            await self.run(call)
        except RequestError as error:
            kind = error.kind.value
            raise
        except (CallerGone, ConnectionLost) as error:
            kind = "caller_gone"
            raise ConnectionLost(str(error)) from error
        finally:
            self.in_flight -= 1
            self.finish(exchange, call, kind, time.monotonic() - begun)

    async def receive(self, exchange: Exchange, begun: float) -> Call:
        """Read a request and find its route, account and service."""
        node = self.node
        if node.routes is None or not node.listed:
            raise RequestError(Kind.NOT_READY, "", Ran.NO, START_PAUSE)
        routes = node.routes
        info = node.codec.read_request(exchange.headers)
        host = dict(exchange.headers).get(b"host", b"").decode("latin-1")
        route = routes.find(host, exchange.path)
        account = routes.identify(route, info.key)
        service = routes.choose_service(route, node.chance)
        limit = DEFAULT_TIME_LIMIT if info.time_limit is None else info.time_limit
        deadline = begun + min(limit, route.timeout or limit)
        call = Call(exchange, info, route, service, account, begun, deadline)
        call.body = await exchange.body(routes.limits.body_bytes)
        call.fingerprint = fingerprint(call)
        return call

    async def run(self, call: Call) -> None:
        """Forward a call, and stop when its caller goes away."""
        node = self.node
        if node.crashes.suspected(call.fingerprint, time.monotonic()):
            raise RequestError(Kind.QUARANTINED, "", Ran.NO, QUARANTINE_PAUSE)
        node.budget.note_request(call.service.name, time.monotonic())
        await while_wanted(call.exchange, forward, self.forwarder, call)

    def finish(self, exchange: Exchange, call: Call | None, kind: str, seconds: float) -> None:
        """Count and log one request."""
        route = call.route.name if call else ""
        self.count(call, kind, seconds)
        log(
            Event.REQUEST_REFUSED if kind else Event.REQUEST_DONE,
            kind or "answered",
            request=call.info.id if call else "",
            route=route,
            path=call.path if call else [],
            events=call.stream.events if call and call.stream else 0,
            gap=round(call.stream.max_gap, 3) if call and call.stream else 0,
            parts=[f"{p.id}:{p.tokens}" for p in call.info.parts] if call else [],
            seconds=round(seconds, 4),
        )

    def count(self, call: Call | None, kind: str, seconds: float) -> None:
        """Count one request."""
        metrics = self.node.metrics
        labels = {"route": call.route.name if call else ""}
        metrics.routed.inc({**labels, "kind": kind or "answered"})
        metrics.seconds.observe(labels, seconds)
        stream = call.stream if call else None
        if stream is not None and stream.events:
            metrics.first_event.observe(labels, stream.first - call.begun)
            metrics.event_gap.observe(labels, stream.max_gap)

    async def drain(self) -> None:
        """Serve new connections for a time, then return when nothing is in flight."""
        await curio.sleep(LISTEN_TIME)
        await self.server.stop(LAST_REQUESTS)
        while self.in_flight:
            await curio.sleep(DRAIN_POLL)


class MetricsPage:
    """Serves the metrics."""

    def __init__(self, node: Node, router: Router):
        self.node = node
        self.router = router
        self.server = Server(self.handle, refuse_plainly)

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the text exposition format."""
        self.refresh()
        fields = [(b"content-type", b"text/plain; version=0.0.4")]
        await exchange.respond(200, fields, self.node.metrics.render())

    def refresh(self) -> None:
        """Set the gauges."""
        node = self.node
        metrics = node.metrics
        now = time.monotonic()
        metrics.in_flight.set({}, self.router.in_flight)
        metrics.peers.set({}, len(node.neighbours.peers.alive(now)))
        metrics.descriptors.set({}, len(os.listdir("/proc/self/fd")))
        for service, pool in node.directory.pools.items():
            metrics.endpoints.set({"service": service}, len(pool))
            metrics.budget_left.set({"service": service}, node.budget.left(service, now))
        for follower in node.followers:
            metrics.store_age.set({"kind": follower.kind}, now - follower.heard)


class Readiness:
    """Answers the balancer."""

    def __init__(self, node: Node, path: str):
        self.node = node
        self.path = path
        self.server = Server(self.handle, refuse_plainly)

    async def handle(self, exchange: Exchange) -> None:
        """Tell whether new connections should come here."""
        ready = self.node.ready()
        await exchange.respond(200 if ready else 503, body=b"ready\n" if ready else b"not ready\n")


async def refuse_plainly(exchange: Exchange, error: RequestError) -> None:
    """Answer a malformed check."""
    await exchange.respond(400, body=b"malformed\n")


def followers(node: Node) -> list[Follower]:
    """Return what keeps the configuration and the endpoints up to date."""
    kinds = (
        (
            node.codec.CONFIGURATION[0],
            node.take_configuration_listing,
            node.take_configuration_changes,
        ),
        (node.codec.ENDPOINTS, node.take_endpoints, node.take_endpoint_changes),
    )
    node.followers = [
        Follower(node.store, kind, listing, changes, node.chance, node.neighbours.must_follow)
        for kind, listing, changes in kinds
    ]
    return node.followers


async def main(settings: DirectSettings, codec, store_class) -> None:
    """Run a router until SIGTERM."""
    node = Node(settings, codec, store_class)
    router = Router(node)
    readiness = Readiness(node, codec.READY_PATH)
    signals = Signals(signal.SIGHUP)
    log(Event.STARTED, f"{settings.vm} listens on {settings.address}:{settings.port}")
    async with curio.TaskGroup(wait=None) as group:
        await group.spawn(readiness.server.serve, listen(settings.address, settings.ready_port))
        page = MetricsPage(node, router)
        await group.spawn(page.server.serve, listen(settings.address, settings.metrics_port))
        await group.spawn(router.server.serve, listen(settings.address, settings.port))
        for task in (
            node.expire,
            node.watch_settings,
            node.neighbours.run,
            *(follower.run for follower in followers(node)),
        ):
            await group.spawn(supervise, task)
        while await signals.wait() is signal.SIGHUP:
            node.reload()
        node.draining = True
        router.server.draining = True
        log(Event.DRAINING, f"{settings.vm} finishes what is in flight")
        async with curio.ignore_after(settings.drain_grace - EXIT_MARGIN):
            await router.drain()
        await node.neighbours.leave()
    log(Event.STOPPED, f"{settings.vm} stops")
