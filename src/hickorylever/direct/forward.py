"""Hands a request to endpoints until one answers."""

import time
from dataclasses import dataclass, field

import curio
import xxhash

from ..events import Event, log
from ..exceptions import Kind, Ran, RequestError
from ..http import Exchange, end_to_end, header
from .attempt import Attempt, Message, Outcome, Result
from .endpoints import Endpoint
from .patience import Patience, caller_patience, first_answer_time, longest_pause
from .placing import Ask, Choice, place, shared
from .records import Account, ForwardingMetadata, RequestInfo, Route, RouteKind, Service
from .stream import Stream
from .waiting import Line, Wish

ROOM_POLL = 0.01  # Seconds between looks of the first in a line whether there is room.
MAX_TRIES = 6  # Endpoints tried for one request, with those that did not run it.
MAX_REJECTIONS = 3  # Endpoints that may say that they did not run a request.
MARGIN = 0.02  # Seconds between an endpoint's time limit and the caller's.
MIN_RETRY_TIME = 0.05  # Seconds that must be left for another attempt.
RETRY_PAUSE = 0.25  # Seconds after which a refused caller may come back.
PROMISES = (408, 421, 429, 503)  # Statuses that tell a caller that its request did not run.


@dataclass(slots=True)
class Call:
    """One caller's request.

    :param deadline: monotonic seconds; the earlier of the caller's and the route's.
    :param fingerprint: the same for every copy of the request.
    :param ran: the strongest claim about execution that is known.
    :param waited: seconds in line for an endpoint with room.
    """

    exchange: Exchange
    info: RequestInfo
    route: Route
    service: Service
    account: Account | None
    begun: float
    deadline: float
    body: bytes = b""
    fingerprint: int = 0
    ran: Ran = Ran.NO
    attempts: int = 0
    rejections: int = 0
    waited: float = 0.0
    tried: set[str] = field(default_factory=set)
    path: list[str] = field(default_factory=list)
    stream: Stream | None = None

    @property
    def rank(self) -> int:
        """Return the urgency: the account's, else the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def fingerprint(call: Call) -> int:
    """Return a digest that is the same whenever an account sends the same request again."""
    state = xxhash.xxh3_64()
    name = call.account.name if call.account else ""
    exchange = call.exchange
    for piece in (name, exchange.method, exchange.path, exchange.query):
        state.update(f"{len(piece)}:{piece}".encode())
    state.update(call.body)
    for part in call.info.parts:
        state.update(f"{part.id},{part.tokens};".encode())
    return state.intdigest()


class Forwarder:
    """Places a call and runs its attempts.

    :param node: the router's parts: directory, budget, crashes, client, codec and settings.
    """

    def __init__(self, node):
        self.node = node
        self.lines: dict[str, Line] = {}

    async def run(self, call: Call) -> None:
        """Answer a call.

        :raises RequestError: with the answer of this router's own, when no endpoint gave one.
        """
        last: Outcome | None = None
        for _ in range(MAX_TRIES):
            choice = await self.place(call)
            if choice is None:
                break
            outcome = await self.attempt(call, choice)
            if outcome.result is Result.ANSWERED:
                await self.deliver(call, outcome)
                return
            last = self.stronger(last, outcome)
            if not self.may_go_on(call, outcome):
                break
        await self.give_up(call, last)

    def stronger(self, last: Outcome | None, outcome: Outcome) -> Outcome:
        """Return the outcome that the caller is to be told about."""
        definite = (Result.NOT_SENT, Result.NOT_RUN)
        if last is not None and outcome.result in definite and last.result not in definite:
            return last
        return outcome

    async def place(self, call: Call) -> Choice | None:
        """Return where the call goes next, once there is room; None where it can't go on.

        A stream that has begun does not wait.

        :raises RequestError: when a call that has not run found no room in time.
        """
        choice = self.choose(call)
        line = self.lines.setdefault(call.service.name, Line())
        begun = call.stream is not None and call.stream.begun
        if choice is None or begun or (choice.room and not line.tickets):
            return choice
        return await self.wait_in_line(call, line)

    async def wait_in_line(self, call: Call, line: Line) -> Choice | None:
        """Return where the call goes when its turn has come.

        :raises RequestError: when it did not come in time and the call has not run.
        """
        joined = time.monotonic()
        leaves = call.deadline
        if call.stream is not None:
            leaves = min(leaves, call.begun + caller_patience(call.route))
        wish = Wish(
            call.rank, call.begun, call.route.latency_objective, leaves, self.node.draining
        )
        ticket = line.join(wish, joined)
        choice = None
        try:
            while not line.hopeless(ticket, now := time.monotonic()):
                if line.first(now) is not ticket:
                    await line.wake_first(now)
                    await ticket.wait(now)
                    continue
                choice = self.choose(call)
                if choice is None or choice.room:
                    return choice
                choice = None
                await curio.sleep(ROOM_POLL)
        finally:
            now = time.monotonic()
            line.leave(ticket, choice is not None, now)
            call.waited += now - joined
            labels = {"service": call.service.name, "result": "placed" if choice else "left"}
            self.node.metrics.waited.observe(labels, now - joined)
            await line.wake_first(now)
        if call.ran is not Ran.NO:
            return None
        pause = line.retry_after(now, call.deadline - now)
        detail = f"no endpoint had room for {now - joined:.3f} s"
        raise RequestError(Kind.OVERLOADED, detail, Ran.NO, pause)

    def choose(self, call: Call) -> Choice | None:
        """Return the best endpoint for the call now."""
        node = self.node
        ask = Ask(
            now=time.monotonic(),
            failure_domain=node.settings.failure_domain,
            multiple=node.settings.load_multiple,
            engine=call.service.engine,
            parts=call.info.parts,
            prompt_tokens=call.info.prompt_tokens,
            avoid=frozenset(call.tried),
        )
        return place(node.directory.pool(call.service.name), ask)

    async def attempt(self, call: Call, choice: Choice) -> Outcome:
        """Hand the call to one endpoint and note what came of it."""
        endpoint = choice.endpoint
        engine = call.service.engine
        call.tried.add(endpoint.name)
        self.log_choice(call, choice)
        began = time.monotonic()
        endpoint.add_request(choice.uncached, began)
        peer_sync = self.node.peer_sync
        reading = Reading(endpoint, choice.uncached, peer_sync)
        peer_sync.announce_load(endpoint)
        if engine and call.info.parts:
            endpoint.prompt_cache.note(call.info.parts, engine.memory_tokens)
            for part in shared(call.info.parts):
                peer_sync.outbox.queue_cached_part(endpoint.name, part.id, part.tokens, began)
        if call.stream is not None:
            call.stream.reading = reading
        attempt = Attempt(
            self.node.client,
            endpoint,
            self.message(call, choice),
            self.node.codec.read_answer,
            call.stream,
            call.deadline,
            call.route.repeatable,
            self.patience(call, endpoint, began),
        )
        try:
            outcome = await attempt.run()
        except BaseException:
            call.path.append(f"{endpoint.name}@{endpoint.entry.failure_domain}:abandoned")
            if attempt.sent:
                call.ran = Ran.UNKNOWN
            raise
        finally:
            endpoint.running -= 1
            reading.done()
        self.note(call, endpoint, outcome, time.monotonic() - began)
        return outcome

    def log_choice(self, call: Call, choice: Choice) -> None:
        """Log where a call goes and what decided it."""
        endpoint = choice.endpoint
        requests, prefill = endpoint.load()
        reuse = "copied" if choice.source else "rank_0" if choice.rank == 0 else "spilled"
        self.node.metrics.placed.inc({"service": call.service.name, "reuse": reuse})
        log(
            Event.ENDPOINT_CHOSEN,
            endpoint.name,
            request=call.info.id,
            domain=endpoint.entry.failure_domain,
            rank=choice.rank,
            uncached=round(choice.uncached),
            source=choice.source.name if choice.source else "",
            running=requests,
            prefill=round(prefill),
            failures=round(endpoint.failure_rate(time.monotonic()), 2),
            waited=round(call.waited, 3),
            view=self.node.directory.latest_revision,
        )

    def patience(self, call: Call, endpoint: Endpoint, now: float) -> Patience | None:
        """Return how long an attempt waits, or None where only the deadline ends it."""
        if not self.may_move(call):
            return None
        seconds = first_answer_time(call.route, call.service.engine, *endpoint.load())
        pause = longest_pause(call.route) if call.stream is not None else None
        return Patience(now + seconds, pause, lambda: self.movable(call))

    def may_move(self, call: Call) -> bool:
        """Tell whether the rules let the call go on elsewhere after this attempt."""
        return call.route.repeatable and call.attempts + 1 < call.route.max_attempts

    def movable(self, call: Call) -> bool:
        """Tell whether the call could go on at another endpoint now."""
        now = time.monotonic()
        service = call.service.name
        return (
            call.deadline - now >= MIN_RETRY_TIME
            and self.node.budget.left(service, now) >= 1.0
            and any(
                endpoint.usable(now) and not endpoint.silent(now)
                for endpoint in self.node.directory.pool(service)
                if endpoint.name not in call.tried
            )
        )

    def message(self, call: Call, choice: Choice) -> Message:
        """Return the request as the endpoint gets it."""
        exchange = call.exchange
        resumed = call.stream is not None and call.stream.begun
        limit = call.info.time_limit
        left = call.deadline - time.monotonic() - MARGIN
        source = choice.source.entry if choice.source else None
        metadata = ForwardingMetadata(
            endpoint=choice.endpoint.name,
            time_left=None if limit is None else left,
            account=call.account.name if call.account else None,
            priority=min(9, max(0, call.rank)) if call.service.engine else None,
            cache_source=f"{source.address}:{source.port}" if source else None,
            last_event_id=call.stream.last if resumed else None,
        )
        headers = self.node.codec.forwarded(exchange.headers, metadata)
        target = exchange.head.target.decode("ascii")
        host = header(exchange.headers, b"host").decode("latin-1")
        return Message(call.info.id, exchange.method, target, host, headers, call.body)

    def note(self, call: Call, endpoint: Endpoint, outcome: Outcome, seconds: float) -> None:
        """Keep what an attempt told about the endpoint and the request."""
        now = time.monotonic()
        result = outcome.result
        call.path.append(f"{endpoint.name}@{endpoint.entry.failure_domain}:{result.value}")
        self.node.metrics.attempts.inc({"result": result.value})
        if result is Result.NOT_SENT:
            endpoint.pause(now)
        elif result is Result.NOT_RUN:
            call.rejections += 1
            if outcome.status == 421:
                endpoint.pause(now)
        else:
            call.attempts += 1
            failed = result not in (Result.ANSWERED, Result.EXPIRED)
            endpoint.record_answer(failed, now)
            call.ran = Ran.YES if outcome.status else Ran.UNKNOWN
            if result in (Result.LOST, Result.BROKEN) and not outcome.silent:
                if self.node.crashes.note(call.fingerprint, endpoint.name, now):
                    self.node.peer_sync.outbox.queue_crash(call.fingerprint, endpoint.name)
            elif result is Result.ANSWERED:
                self.node.crashes.clear(call.fingerprint)
        if result is not Result.ANSWERED:
            log(
                Event.ATTEMPT_FAILED,
                result.value,
                request=call.info.id,
                endpoint=endpoint.name,
                detail=outcome.detail,
                status=outcome.status,
                seconds=round(seconds, 3),
            )

    def may_go_on(self, call: Call, outcome: Outcome) -> bool:
        """Tell whether another endpoint may be tried after a failure."""
        now = time.monotonic()
        if call.deadline - now < MIN_RETRY_TIME:
            return False
        if outcome.result is Result.NOT_SENT:
            return True
        if outcome.result is Result.EXPIRED:
            return False
        if outcome.result is Result.NOT_RUN:
            if call.rejections > MAX_REJECTIONS:
                return False
        elif not call.route.repeatable or call.attempts >= call.route.max_attempts:
            return False
        if self.node.crashes.suspected(call.fingerprint, now):
            return False
        return self.node.budget.withdraw(call.service.name, now)

    async def deliver(self, call: Call, outcome: Outcome) -> None:
        """Pass an endpoint's answer on."""
        call.ran = Ran.YES
        if call.stream is not None and call.stream.begun:
            await call.exchange.end()
            return
        headers = end_to_end(outcome.headers)
        await call.exchange.respond(outcome.status, headers, outcome.body)

    async def give_up(self, call: Call, last: Outcome | None) -> None:
        """End a call that no endpoint answered well.

        :raises RequestError: when there is no answer of an endpoint to pass on.
        """
        if call.stream is not None and call.stream.begun:
            raise RequestError(Kind.ANSWER_LOST, "the stream broke off", call.ran)
        if last is None:
            raise RequestError(Kind.NO_ENDPOINT, "", Ran.NO, RETRY_PAUSE)
        if last.result is Result.FAILED and last.status not in PROMISES:
            await self.deliver(call, last)
            return
        kind, ran, pause = GIVEN_UP[last.result]
        raise RequestError(kind, last.detail, ran, pause)


# What a caller is told, by the outcome that ended its request.
GIVEN_UP = {
    Result.NOT_SENT: (Kind.NO_ENDPOINT, Ran.NO, RETRY_PAUSE),
    Result.NOT_RUN: (Kind.OVERLOADED, Ran.NO, RETRY_PAUSE),
    Result.FAILED: (Kind.ENDPOINT_FAILED, Ran.YES, None),
    Result.LOST: (Kind.ANSWER_LOST, Ran.UNKNOWN, None),
    Result.BROKEN: (Kind.ANSWER_LOST, Ran.UNKNOWN, None),
    Result.EXPIRED: (Kind.DEADLINE, Ran.UNKNOWN, None),
}


class Reading:
    """Counts a prompt as unread at an endpoint until its first event came."""

    def __init__(self, endpoint: Endpoint, tokens: float, peer_sync):
        self.peer_sync = peer_sync
        self.endpoint = endpoint
        self.tokens = tokens

    def done(self) -> None:
        """Stop counting it."""
        self.endpoint.prefill = max(0.0, self.endpoint.prefill - self.tokens)
        self.tokens = 0.0
        self.peer_sync.announce_load(self.endpoint)


async def forward(forwarder: Forwarder, call: Call) -> None:
    """Prepare a call's stream and run it."""
    if call.route.kind is RouteKind.STREAM:
        after = call.info.last_event_id if call.route.resumable else None
        call.stream = Stream(call.exchange, after or None)
    await forwarder.run(call)
