"""Computes where a described request would go now, with the code that places requests.

Nothing is sent, and no state changes: pools and queues that decisions write to are copied.
"""

import copy
import random
import time
from collections.abc import Callable

import msgspec

from ..decoding import DECODE_ERRORS
from ..exceptions import ContentError, Kind, Ran, RequestError
from ..http import Exchange
from .availability import wait_until
from .call import MAX_PARTS, Call
from .candidates import Candidate, PlacementRequest, is_usable, mean_requests
from .endpoints import Endpoint
from .load_bound import within_load_bound
from .placement import Choice, copy_sources, source_for, uncached_tokens
from .placement_cost import PLAIN_COSTS, PROMPT_COSTS, plain_costs, prompt_costs
from .pool import Pool
from .records import RequestInfo, RouteKind, Service
from .router import DEFAULT_TIMEOUT_SECONDS, NOT_READY_RETRY_AFTER_SECONDS
from .stream import CallerStream
from .wait_queue import WaitQueue
from .where_report import CandidateView, Knowledge, Question, QueueView, Report, RouteView

MAX_QUESTION_BYTES = 16 * 1024

# Why an endpoint is not usable; the first reason that applies is named.
REASONS: dict[str, Callable[[Endpoint, PlacementRequest], bool]] = {
    "shuts down": lambda endpoint, request: not endpoint.accepting,
    "its failure domain is evacuated": lambda endpoint, request: endpoint.evacuated,
    "asked for a pause": lambda endpoint, request: request.now < endpoint.deferred_until,
    "paused after failed connections": lambda endpoint, request: (
        request.now < endpoint.paused_until
    ),
    "takes no new requests": lambda endpoint, request: not endpoint.usable(request.now),
    "its version is too new for streams": lambda endpoint, request: endpoint.name in request.avoid,
    "of another version": lambda endpoint, request: (
        request.version not in (None, endpoint.entry.version)
    ),
    "its rate limit is used up": lambda endpoint, request: (
        endpoint.rate_limit is not None and not endpoint.rate_limit.permits(request.now)
    ),
    "it is cold, and this router's share is used up": lambda endpoint, request: endpoint.held(
        request.now
    ),
}


class Where:
    """Answers questions about where requests would go.

    :param node: components of this router.
    :param forwarder: the one that forwards its requests.
    """

    def __init__(self, node, forwarder):
        self.node = node
        self.forwarder = forwarder

    async def handle(self, exchange: Exchange) -> None:
        """Respond with the report on a described request, or with what is wrong with it."""
        try:
            content = await exchange.body(MAX_QUESTION_BYTES)
            question = msgspec.json.decode(content, type=Question)
            report = await self.report(question)
        except (*DECODE_ERRORS, ContentError) as error:
            await exchange.respond(400, body=msgspec.json.encode({"error": str(error)}))
            return
        fields = [(b"content-type", b"application/json")]
        await exchange.respond(200, fields, msgspec.json.encode(report))

    async def report(self, question: Question) -> Report:
        """Return the report on a described request.

        :raises ContentError: if the description is not valid.
        """
        now = time.monotonic()
        report = Report(self.node.settings.vm, "refused", self.knowledge(now))
        try:
            call = self.create_call(question, now)
            report.route = self.route_view(call)
            self.add_candidates(report, call, now)
            self.node.quarantine.check(call)
            await self.add_outcome(report, call, now)
        except RequestError as error:
            report.kind = error.kind.value
            report.detail = error.detail
            report.retry_after = error.retry_after
        return report

    def create_call(self, question: Question, now: float) -> Call:
        """Return the call that a described request would become.

        :raises ContentError: if the description is not valid.
        :raises RequestError: if the request would be refused.
        """
        node = self.node
        parts = node.codec.read_parts(question.prompt.encode())
        if question.prompt and len(parts) != question.prompt.count(",") + 1:
            raise ContentError(f"invalid prompt part after {len(parts)} valid ones")
        if question.time_limit is not None and question.time_limit <= 0:
            raise ContentError("the time limit must be positive")
        if node.routes is None or not node.endpoints_listed:
            raise RequestError(Kind.NOT_READY, "", retry_after=NOT_READY_RETRY_AFTER_SECONDS)
        routes = node.routes
        route = routes.find(question.host, question.path)
        account = routes.identify(route, self.key_of(question.account))
        limit = DEFAULT_TIMEOUT_SECONDS if question.time_limit is None else question.time_limit
        info = RequestInfo(
            "", question.time_limit, prompt_tokens=question.prompt_tokens, parts=parts
        )
        service = self.service(question, route)
        deadline = now + min(limit, route.timeout or limit)
        call = Call(None, info, route, service, account, now, deadline, version=question.version)
        call.causes = tuple(part.id for part in parts[:MAX_PARTS])
        if route.kind is RouteKind.STREAM:
            call.stream = CallerStream(None)
        return call

    def key_of(self, account: str) -> str:
        """Return a key of a client account.

        :raises ContentError: if there is no such account.
        """
        if not account:
            return ""
        for key, entry in self.node.routes.accounts.items():
            if entry.name == account:
                return key
        raise ContentError(f"unknown account {account!r}")

    def service(self, question: Question, route) -> Service:
        """Return the service that is asked about.

        :raises ContentError: if the route does not have it.
        :raises RequestError: if the route has none.
        """
        routes = self.node.routes
        routes.choose_service(route, random.Random(0))  # Raises if no service has a weight.
        weights = {entry.service: entry.weight for entry in route.weighted_services}
        name = question.service or max(weights, key=weights.get)
        if name not in weights:
            raise ContentError(f"route {route.name!r} has no service {name!r}")
        return routes.service(name)

    def route_view(self, call: Call) -> RouteView:
        """Return the description of a call's route and account."""
        route = call.route
        weights = {entry.service: entry.weight for entry in route.weighted_services}
        return RouteView(
            route.name,
            route.kind.value,
            call.service.name,
            weights[call.service.name] / sum(weights.values()),
            call.account_name,
            call.priority,
            route.latency_objective,
            call.deadline - call.started_at,
            route.max_attempts,
        )

    def knowledge(self, now: float) -> Knowledge:
        """Return how current this router's information is."""
        node = self.node
        known = node.known_state()
        loads = [
            now - load.received_at
            for endpoint in node.directory.endpoints.values()
            for load in endpoint.peers.values()
        ]
        ages = {
            watcher.kind: now - watcher.last_success_at
            for watcher in node.store_watchers
            if watcher.last_success_at
        }
        return Knowledge(
            known.version,
            str(known.configuration),
            str(known.endpoints),
            ages,
            len(node.peer_sync.peers.alive(now)),
            max(loads, default=0.0),
            node.peer_sync.caches.plan.complete,
        )

    async def add_outcome(self, report: Report, call: Call, now: float) -> None:
        """Set the result of the report as :class:`.placer.Placer` would decide.

        :raises RequestError: if the request would be refused.
        """
        choice = self.choose(call)
        if choice is None:
            await self.add_wait(report, call, now)
            return
        report.endpoint = choice.endpoint.name
        queue = self.copy_queue(call)
        if choice.available and not queue.entries:
            report.result = "sent"
            return
        report.detail = (
            "other requests wait" if choice.available else "no endpoint can start it soon"
        )
        report.queue, refused = self.queue_view(queue, call, choice, now)
        if refused:
            within_share = self.forwarder.placer.within_share(call, now)
            retry_after = queue.retry_after(now, call.deadline - now, within_share=within_share)
            raise RequestError(
                Kind.OVERLOADED,
                f"{report.detail}, and its turn would come too late",
                Ran.NO,
                retry_after,
            )
        report.result = "queued"

    async def add_wait(self, report: Report, call: Call, now: float) -> None:
        """Set the result while no endpoint is usable.

        :raises RequestError: if the request would be refused.
        """
        pool = self.node.directory.endpoints_of_version(call.service.name, call.version)
        until = wait_until(pool, now, call.started_at, call.route.latency_objective)
        if until is None:
            await self.forwarder.fail(call, None)
            return
        report.result = "waits"
        report.detail = f"all endpoints asked for a pause; the first ends in {until - now:.3f} s"

    def choose(self, call: Call) -> Choice | None:
        """Return the choice for a call, with a copy of the pool, which remembers its orders."""
        pool = Pool(self.node.directory.pool(call.service.name))
        return self.forwarder.placer.choose_from(pool, call)

    def copy_queue(self, call: Call) -> WaitQueue:
        """Return a copy of the queue that a call would join."""
        queue = self.forwarder.placer.queues.get((call.service.name, call.version))
        if queue is None:
            return WaitQueue()
        duplicate = copy.copy(queue)
        duplicate.entries = [copy.copy(entry) for entry in queue.entries]
        return duplicate

    def queue_view(
        self, queue: WaitQueue, call: Call, best: Choice, now: float
    ) -> tuple[QueueView, bool]:
        """Return the place of a call in a copy of its queue, and whether it would be refused.

        :param best: the best endpoint at this moment.
        """
        waiting = len(queue.entries)
        entry = queue.enqueue(self.forwarder.placer.queue_parameters(call, best), now)
        ahead = queue.count_ahead(entry, now)
        rate = queue.placement_rate(now)
        view = QueueView(
            waiting, ahead, rate, ahead / rate if rate else None, entry.wait_until - now
        )
        return view, queue.should_refuse(entry, now)

    def add_candidates(self, report: Report, call: Call, now: float) -> None:
        """Add all endpoints of the service to the report, the cheapest usable one first."""
        unsettled = self.node.resumption.unsettled_endpoints(call)
        request = self.forwarder.placer.placement_request(call, unsettled)
        pool = Pool(self.node.directory.pool(call.service.name))
        views = candidate_views(pool, request)
        report.candidates = sorted(views, key=lambda view: (bool(view.ruled_out), view.cost))


def candidate_views(pool: Pool, request: PlacementRequest) -> list[CandidateView]:
    """Return the endpoints of a pool with what their selection depends on."""
    prompt = bool(request.engine is not None and request.parts)
    order = pool.ranked(request.parts) if prompt else list(pool)
    cached = [endpoint.prompt_cache.cached_prefix_tokens(request.parts) for endpoint in order]
    sources = copy_sources(order, cached, request.now) if prompt else {}
    candidates = [
        Candidate.of(endpoint, request.now, cached[rank] if prompt else 0, rank)
        for rank, endpoint in enumerate(order)
    ]
    usable = [entry for entry in candidates if is_usable(entry.endpoint, request)]
    allowed = within_load_bound(usable, request)[0] if usable else []
    mean = mean_requests(usable) if usable else 0.0
    views = []
    for candidate in candidates:
        ruled_out = "" if candidate in allowed else reason(candidate, request)
        if prompt:
            unread = uncached_tokens(candidate, sources, request.prompt_length)
            items = prompt_costs(candidate, unread, request, mean)
            costs = dict(zip(PROMPT_COSTS, items, strict=True))
            source = source_for(candidate, sources)[0]
        else:
            costs = dict(zip(PLAIN_COSTS, plain_costs(candidate, request), strict=True))
            source = None
        views.append(candidate_view(candidate, costs, source, ruled_out))
    return views


def candidate_view(
    candidate: Candidate, costs: dict[str, float], source: Endpoint | None, ruled_out: str
) -> CandidateView:
    """Return the report on an endpoint.

    :param source: endpoint from which it would copy cached parts, or None.
    :param ruled_out: why the request does not go there; empty if it could.
    """
    endpoint = candidate.endpoint
    return CandidateView(
        endpoint.name,
        endpoint.entry.failure_domain,
        endpoint.entry.version,
        candidate.requests,
        candidate.prefill,
        candidate.cached_tokens,
        source.name if source else "",
        candidate.rank,
        ruled_out,
        sum(costs.values()),
        {name: cost for name, cost in costs.items() if cost},
    )


def reason(candidate: Candidate, request: PlacementRequest) -> str:
    """Return why a request does not go to an endpoint."""
    for text, applies in REASONS.items():
        if applies(candidate.endpoint, request):
            return text
    if not candidate.within_window():
        return "slow start"
    return "load bound" if candidate.available(request) else "no capacity"
