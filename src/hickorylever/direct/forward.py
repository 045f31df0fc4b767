"""Forwards requests to endpoints, with retries."""

import time

import curio

from .. import defaults
from ..events import Event, log
from ..exceptions import InconsistentResponse, Kind, Ran, RequestError
from ..http import ClientResponse, end_to_end, header
from .attempt import Attempt, Outcome, Result, UpstreamRequest
from .availability import retry_after
from .call import Call
from .crash_checks import check_endpoint
from .endpoints import Endpoint
from .held_bytes import BODY_COPIES
from .observations import Observations
from .pace_attempts import AttemptWatch
from .placement import Choice
from .placer import Placer
from .pool import shared_parts
from .prefill import PendingPrefill
from .read_ahead import ReadAhead
from .records import NOT_RUN_STATUSES, ForwardingMetadata, RouteKind
from .stream import CallerStream
from .timeouts import (
    ResponseTimeouts,
    first_byte_timeout,
    stream_idle_timeout,
)

MAX_ENDPOINTS_TRIED = 6  # Per request, including endpoints that rejected it.
MAX_REJECTIONS = 3  # Rejections by endpoints after which a request is still retried.
DEADLINE_MARGIN_SECONDS = 0.02  # The endpoint's deadline is this much earlier than the caller's.
ROOM_POLL_SECONDS = 0.02  # While the memory for responses is used up.
MIN_RETRY_SECONDS = 0.05  # No retry starts with less time left.


class Forwarder:
    """Runs the attempts of calls.

    :param node: components of this router: directory, budget, quarantine, client, codec, settings.
    """

    def __init__(self, node):
        self.node = node
        self.placer = Placer(node)
        self.observations = Observations(node)

    async def run(self, call: Call) -> None:
        """Respond to a call, retrying on other endpoints as its route allows.

        :raises RequestError: if there is no response from an endpoint to pass on.
        """
        last: Outcome | None = None
        self.placer.record_offered(call)
        for _ in range(MAX_ENDPOINTS_TRIED):
            if not self.node.resumption.may_continue(call):
                break
            choice = await self.placer.place(call)
            self.node.quarantine.check(call)
            if choice is None or self.node.quarantine.refuses(call):
                break
            outcome = await self.attempt(call, choice)
            if outcome.result is Result.ANSWERED:
                await self.send_response(call, outcome)
                return
            last = self.outcome_to_report(last, outcome)
            if not self.may_retry(call, outcome):
                break
        await self.fail(call, last)

    def outcome_to_report(self, last: Outcome | None, outcome: Outcome) -> Outcome:
        """Return the latest outcome, unless only an earlier attempt may have run the request."""
        never_ran = (Result.NOT_SENT, Result.NOT_RUN)
        if last is not None and outcome.result in never_ran and last.result not in never_ran:
            return last
        return outcome

    async def attempt(self, call: Call, choice: Choice) -> Outcome:
        """Forward the call to one endpoint and record the outcome."""
        endpoint = choice.endpoint
        call.tried.add(endpoint.name)
        self.log_choice(call, choice)
        began = time.monotonic()
        pending_prefill = self.record_start(call, choice, began)
        watch = AttemptWatch(self.node.peer_sync.paces, call, endpoint, choice.uncached, began)
        attempt = Attempt(
            self.node.client,
            endpoint,
            self.upstream_request(call, choice),
            self.node.codec.read_answer,
            call.stream,
            call.deadline,
            call.sends,
            self.response_timeouts(call, endpoint, began),
            lambda info: self.observations.record_head(endpoint, info, began),
            lambda: self.node.quarantine.record_answer(call, time.monotonic()),
            lambda response: self.read_body(call, response),
        )
        if call.stream is not None:
            call.stream.pending_prefill = pending_prefill
            call.stream.on_first_event = lambda: self.record_first_event(call, watch, attempt)
        try:
            outcome = await attempt.run()
        except BaseException:
            watch.record_cancelled(time.monotonic())
            call.attempt_results.append(
                f"{endpoint.name}@{endpoint.entry.failure_domain}:abandoned"
            )
            raise
        finally:
            endpoint.running -= 1
            self.node.restarts.end_attempt(endpoint, began)
            pending_prefill.complete()
        watch.record_outcome(outcome.result, outcome.status, time.monotonic())
        seconds = time.monotonic() - began
        self.observations.record_outcome(call, endpoint, outcome, attempt.send, seconds)
        await check_endpoint(self.node, call, endpoint, outcome, began)
        return outcome

    def record_start(self, call: Call, choice: Choice, now: float) -> PendingPrefill:
        """Record that an attempt begins, and return the prefill that it adds to its endpoint."""
        endpoint = choice.endpoint
        engine = call.service.engine
        peer_sync = self.node.peer_sync
        endpoint.add_request(choice.uncached, now)
        self.placer.record_admitted(call, choice)
        self.node.restarts.begin_attempt(endpoint, now)
        if endpoint.rate_limit is not None:
            peer_sync.limits.queue(endpoint)
        pending_prefill = PendingPrefill(endpoint, choice.uncached, peer_sync)
        peer_sync.announce_load(endpoint)
        if engine and call.info.parts:
            endpoint.prompt_cache.add(call.info.parts, engine.memory_tokens)
            for part in shared_parts(call.info.parts):
                peer_sync.outbox.queue_cached_part(endpoint.name, part.id, part.tokens, now)
        return pending_prefill

    def record_first_event(self, call: Call, watch: AttemptWatch, attempt: Attempt) -> None:
        """Record the first event of a stream."""
        opened_at = attempt.channel.opened_at
        self.node.resumption.record_first_event(call, watch.endpoint, opened_at)
        watch.record_first_event(time.monotonic())

    def log_choice(self, call: Call, choice: Choice) -> None:
        """Log the selected endpoint with the inputs of the decision."""
        endpoint = choice.endpoint
        requests, prefill = endpoint.load()
        reuse = "copied" if choice.source else "rank_0" if choice.rank == 0 else "spilled"
        self.node.metrics.placed.inc({"service": call.service.name, "reuse": reuse})
        log(
            Event.ENDPOINT_CHOSEN,
            endpoint.name,
            request=call.info.id,
            domain=endpoint.entry.failure_domain,
            version=endpoint.entry.version,
            rank=choice.rank,
            uncached=round(choice.uncached),
            source=choice.source.name if choice.source else "",
            running=requests,
            prefill=round(prefill),
            pace=round(endpoint.estimate(time.monotonic()).pace, 2),
            failures=round(endpoint.failure_rate(time.monotonic()), 2),
            waited=round(call.queued_seconds, 3),
            view=str(self.node.directory.latest),
        )

    def response_timeouts(
        self, call: Call, endpoint: Endpoint, now: float
    ) -> ResponseTimeouts | None:
        """Return the response timeouts of an attempt, or None if only the deadline applies."""
        if not self.route_allows_retry(call):
            return None
        seconds = first_byte_timeout(
            call.route, call.service.engine, *endpoint.load(), endpoint.estimate(now)
        )
        idle_timeout = stream_idle_timeout(call.route) if call.stream is not None else None
        return ResponseTimeouts(
            now + seconds, idle_timeout, lambda: self.can_retry_elsewhere(call)
        )

    def route_allows_retry(self, call: Call) -> bool:
        """Return whether the route allows another attempt after the current one."""
        return call.route.repeatable and call.attempts + 1 < call.route.max_attempts

    def can_retry_elsewhere(self, call: Call) -> bool:
        """Return whether the call could be retried on another endpoint now."""
        now = time.monotonic()
        service = call.service.name
        avoid = call.tried | self.node.resumption.doubted_endpoints(call)
        return (
            call.deadline - now >= MIN_RETRY_SECONDS
            and self.node.budget.remaining(service, now) >= 1.0
            and self.node.resumption.may_continue(call)
            and any(
                endpoint.usable(now) and not endpoint.silent(now) and not endpoint.held(now)
                for endpoint in self.node.directory.endpoints_of_version(service, call.version)
                if endpoint.name not in avoid
            )
        )

    def upstream_request(self, call: Call, choice: Choice) -> UpstreamRequest:
        """Return the request to send to the endpoint."""
        exchange = call.exchange
        resumed = call.stream is not None and call.stream.started
        limit = call.info.time_limit
        left = call.deadline - time.monotonic() - DEADLINE_MARGIN_SECONDS
        source = choice.source.entry if choice.source else None
        metadata = ForwardingMetadata(
            endpoint=choice.endpoint.name,
            time_left=None if limit is None else left,
            account=call.account.name if call.account else None,
            priority=min(9, max(0, call.priority)) if call.service.engine else None,
            cache_source=f"{source.address}:{source.port}" if source else None,
            last_event_id=call.stream.last_event_id if resumed else None,
        )
        headers = self.node.codec.forwarded(exchange.headers, metadata)
        target = exchange.head.target.decode("ascii")
        host = header(exchange.headers, b"host").decode("latin-1")
        return UpstreamRequest(call.info.id, exchange.method, target, host, headers, call.body)

    def may_retry(self, call: Call, outcome: Outcome) -> bool:
        """Return whether a failed attempt may be followed by one on another endpoint."""
        now = time.monotonic()
        if call.deadline - now < MIN_RETRY_SECONDS or not call.sends.may_begin:
            return False
        if outcome.result is Result.NOT_SENT:
            return True
        if outcome.result is Result.EXPIRED:
            return False
        if outcome.result is Result.NOT_RUN:
            if call.rejections > MAX_REJECTIONS:
                return False
        elif call.attempts >= call.route.max_attempts:
            return False
        if self.node.quarantine.refuses(call):
            return False
        return self.node.budget.withdraw(call.service.name, now)

    async def send_response(self, call: Call, outcome: Outcome) -> None:
        """Send an endpoint's response to the caller."""
        if call.stream is not None and call.stream.started:
            await call.stream.flush()
            await call.exchange.end()
            return
        headers = end_to_end(outcome.headers)
        self.node.held.complete(call.holder, len(outcome.body))
        call.holder.sending = True
        await call.exchange.respond(outcome.status, headers, outcome.body)

    async def read_body(self, call: Call, response: ClientResponse) -> bytes:
        """Read a response completely, at the pace at which there is memory for it.

        :raises InconsistentResponse: if it announces more than ever fits.
        :raises ConnectionLost: if it exceeds what fits, or the connection fails before its end.
        """
        held = self.node.held
        held.release(call.holder)
        limit = min(defaults.MAX_RESPONSE_BYTES, held.max_body_bytes)
        announced = response.announced_bytes(call.exchange.method)
        if announced is not None and announced > limit:
            raise InconsistentResponse(f"the response announces more than {limit} bytes")
        held.begin(call.holder, limit if announced is None else announced)
        try:
            body = await response.body(limit, lambda count: self.make_room(call, count))
        except BaseException:
            held.release(call.holder)
            raise
        held.complete(call.holder, len(body))
        return body

    async def make_room(self, call: Call, count: int) -> None:
        """Wait until there is memory for so many more bytes of a response."""
        held = self.node.held
        while not held.reserve(call.holder, BODY_COPIES * count, time.monotonic()):
            await curio.sleep(ROOM_POLL_SECONDS)

    async def fail(self, call: Call, last: Outcome | None) -> None:
        """End a call for which all attempts failed.

        :raises RequestError: if there is no response from an endpoint to pass on.
        """
        if call.stream is not None and call.stream.started:
            await call.stream.flush()
            raise RequestError(Kind.ANSWER_LOST, "the stream ended early", call.ran)
        if last is None:
            if self.version_is_gone(call):
                detail = "no endpoint of the software version that began the stream is left"
                raise RequestError(Kind.VERSION_GONE, detail, Ran.NO)
            raise RequestError(Kind.NO_ENDPOINT, "", Ran.NO, self.retry_after(call))
        if last.result is Result.FAILED and last.status not in NOT_RUN_STATUSES:
            await self.send_response(call, last)
            return
        returns = call.ran is Ran.NO and last.result is not Result.EXPIRED
        retry_after = self.retry_after(call) if returns else None
        raise RequestError(CALLER_ERRORS[last.result], last.detail, call.ran, retry_after)

    def retry_after(self, call: Call) -> float:
        """Return the seconds after which the caller of a refused call should retry."""
        now = time.monotonic()
        pool = self.node.directory.endpoints_of_version(call.service.name, call.version)
        return retry_after(pool, now, call.deadline - now)

    def version_is_gone(self, call: Call) -> bool:
        """Return whether only endpoints of other versions than the call's take new requests.

        Where none does at all, those of its version may well come back.
        """
        pool = self.node.directory.pool(call.service.name)
        versions = {endpoint.entry.version for endpoint in pool if endpoint.accepting}
        return call.version is not None and bool(versions) and call.version not in versions


# Error sent to the caller, by the final result.
CALLER_ERRORS = {
    Result.NOT_SENT: Kind.NO_ENDPOINT,
    Result.NOT_RUN: Kind.OVERLOADED,
    Result.FAILED: Kind.ENDPOINT_FAILED,
    Result.LOST: Kind.ANSWER_LOST,
    Result.BROKEN: Kind.ANSWER_LOST,
    Result.EXPIRED: Kind.DEADLINE,
}


async def forward(forwarder: Forwarder, call: Call) -> None:
    """Set up the stream of a streaming call and run the call."""
    held = forwarder.node.held
    if call.route.kind is RouteKind.STREAM:
        resume_after = call.info.last_event_id if call.resumes_stream else None
        read_ahead = ReadAhead(call.exchange, held, call.holder)
        call.stream = CallerStream(call.exchange, resume_after, read_ahead)
        if call.resumes_stream:
            await forwarder.node.resumption.resolve(call)
    try:
        await forwarder.run(call)
    finally:
        if call.stream is not None:
            await call.stream.close()
        held.release(call.holder)
