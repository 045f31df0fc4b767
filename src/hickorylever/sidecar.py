"""The sidecar: admits, runs and remembers the attempts of one endpoint."""

import functools
from urllib.parse import parse_qs

import curio
import msgspec
import xxhash

from . import admission, configuration, defaults, frames, gossip, suspicion, vm_poller
from .decisions.attempts import AttemptTable, Refusal
from .environment import Environment
from .events import Event, log
from .exceptions import ConnectionLost, Kind, Ran, RequestError
from .frames import AttemptRequest, CancelResult, Data, End, Failed, Head, Heartbeat, SidecarState
from .http import Exchange, Server, end_to_end
from .node import refuse, respond_json, run_node
from .orders import Orders
from .readiness import Readiness
from .records import Attempt, Endpoint
from .settings import Settings, split_address

DRAIN_POLL = 0.05
FRAMES_TYPE = [(b"content-type", b"application/x-hickorylever-frames")]


def number(query: dict, name: str) -> float:
    """Return a number of the query, 0 when it is missing.

    :raises RequestError: when it is not a number.
    """
    try:
        return float(query.get(name, 0))
    except ValueError:
        raise RequestError(Kind.BAD_REQUEST, f"{name} is not a number") from None


class Running:
    """The answer of one attempt as far as it is known, for every connection that wants it."""

    def __init__(self, handover: AttemptRequest):
        self.handover = handover
        self.head: Head | None = None
        self.body = bytearray()
        self.end: End | Failed | None = None
        self.ended = 0.0
        self.fetched = False
        self.alone = 0.0
        self.events: set[curio.Event] = set()
        self.task: curio.Task | None = None

    def lifetime(self) -> float:
        """Return how many seconds an ended answer is kept."""
        guarded = self.handover.attempt.guarded
        return (
            defaults.GUARDED_RESPONSE_RETENTION_SECONDS
            if guarded
            else defaults.RESPONSE_RETENTION_SECONDS
        )

    def expired(self, now: float) -> bool:
        """Tell whether the answer need not be kept any longer."""
        return self.end is not None and now - self.ended > self.lifetime()

    def orphaned(self, now: float) -> bool:
        """Tell whether nobody has waited for the running attempt for too long."""
        if self.end is not None or self.events or self.handover.attempt.guarded:
            return False
        return now - self.alone > defaults.ORPHAN_GRACE_SECONDS

    def delivered(self, now: float) -> bool:
        """Tell whether the answer was fetched, or nobody has come for it."""
        if self.end is None or self.events:
            return False
        return self.fetched or now - max(self.ended, self.alone) > defaults.ORPHAN_GRACE_SECONDS

    async def wake(self) -> None:
        """Tell every connection that there is something new."""
        for event in tuple(self.events):
            await event.set()


class Sidecar:
    """Stands before one endpoint.

    :param env: the process's environment.
    :param live: the attempts whose answers are not whole yet.
    """

    def __init__(self, env: Environment):
        self.env = env
        self.address, self.port = split_address(env.settings.endpoint)
        self.attempts = AttemptTable(env.incarnation, defaults.TOMBSTONE_LIFETIME_SECONDS)
        self.running: dict[str, Running] = {}
        self.live: dict[str, Attempt] = {}
        self.server = Server(self.handle, refuse)
        self.orders = Orders(env, self.address, self.port, self.endpoint)
        self.streams = 0
        self.crashes: dict[str, curio.Task] = {}
        suspicion.attach(env)
        env.timers.subscribe("expire", 1.0, self.expire)
        env.timers.subscribe(
            "heartbeats", defaults.HEARTBEAT_INTERVAL_SECONDS, self.beat, jitter=0.0
        )

    def endpoint(self) -> Endpoint | None:
        """Return this sidecar's endpoint from the configuration in force."""
        if self.env.fleet is None:
            return None
        vm = self.env.settings.vm
        return next((entry for entry in self.env.fleet.endpoints if entry.vm == vm), None)

    def cap(self, attempt: Attempt) -> float:
        """Return the largest work in tokens that may be held with an attempt."""
        endpoint = self.endpoint()
        if endpoint is None:
            return self.env.view.floor
        table = self.attempts
        return admission.cap(self.env, endpoint, table.work, table.running, attempt)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request of a router."""
        parts = exchange.path.strip("/").split("/")
        query = {key: values[0] for key, values in parse_qs(exchange.query).items()}
        route = (exchange.method, parts[0], len(parts))
        handler = ROUTES.get(route)
        if handler is None:
            raise RequestError(Kind.NOT_FOUND)
        await handler(self, exchange, parts, query)

    async def state(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Tell incarnation and load."""
        endpoint = self.endpoint()
        revision = self.env.revisions.current
        state = SidecarState(
            endpoint=endpoint.name if endpoint else "",
            incarnation=self.env.incarnation,
            work=self.attempts.work,
            running=self.attempts.running,
            draining=self.attempts.draining,
            revision=revision.number if revision else 0,
            time=self.env.clock(),
        )
        await respond_json(exchange, state)

    async def answer_orders(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Answer a controller."""
        await self.orders.answer(exchange)

    async def admit(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Take an attempt and stream its answer."""
        body = await exchange.body(2 * defaults.MAX_BODY_BYTES)
        try:
            handover = msgspec.msgpack.decode(body, type=AttemptRequest)
        except msgspec.DecodeError as error:
            raise RequestError(Kind.BAD_REQUEST, str(error)) from None
        attempt = handover.attempt
        refusal = self.decide(attempt)
        if refusal is not None:
            await self.answer_failed(exchange, attempt.id, refusal)
            return
        running = Running(handover)
        running.alone = self.env.clock()
        self.running[attempt.id] = running
        self.live[attempt.id] = attempt
        running.task = await curio.spawn(self.execute, running, daemon=True)
        await self.stream(exchange, running, 0)

    def decide(self, attempt: Attempt) -> Refusal | None:
        """Admit an attempt, or return why not. Suspects are looked at first."""
        now = self.env.clock()
        reason = suspicion.refuse_attempt(self.env, attempt, list(self.live.values()))
        if reason is None:
            return self.attempts.admit(attempt, self.cap(attempt), now)
        self.attempts.cancel(attempt.id, now, attempt.stamp)
        return Refusal(*reason)

    async def resume(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Stream an attempt's answer from an offset on.

        Asking for an unknown attempt cancels it: it will be refused if it arrives later.
        """
        attempt = parts[1]
        running = self.running.get(attempt)
        if running is not None and query.get("incarnation") == self.env.incarnation:
            await self.stream(exchange, running, int(number(query, "offset")))
            return
        await self.answer_failed(exchange, attempt, self.ask(attempt, query))

    def ask(self, attempt: str, query: dict) -> Refusal:
        """Return what the table knows of an attempt that was asked for."""
        incarnation = query.get("incarnation", "")
        return self.attempts.cancel_with_reason(
            attempt, incarnation, self.env.clock(), number(query, "stamp")
        )

    async def cancel(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Cancel an attempt and tell whether it ran. A guarded one that runs goes on."""
        attempt = parts[1]
        refusal = self.ask(attempt, query)
        running = self.running.get(attempt)
        known = running is not None and refusal.kind is not Kind.WRONG_INCARNATION
        if known and running.end is None and not running.handover.attempt.guarded:
            await running.task.cancel(blocking=False)
        await respond_json(exchange, CancelResult(refusal.ran.value))

    def failed(self, attempt: str, kind: Kind, ran: Ran, detail: str) -> Failed:
        """Return a failure with this sidecar's incarnation and load."""
        table = self.attempts
        return Failed(
            attempt=attempt,
            kind=kind.value,
            ran=ran.value,
            detail=detail,
            incarnation=self.env.incarnation,
            work=table.work,
            running=table.running,
            time=self.env.clock(),
        )

    async def answer_failed(self, exchange: Exchange, attempt: str, refusal: Refusal) -> None:
        """Answer with a single failure."""
        frame = self.failed(attempt, refusal.kind, refusal.ran, refusal.detail)
        self.env.metrics.attempts.inc({"result": "refused", "kind": refusal.kind.value})
        await exchange.start(200, FRAMES_TYPE)
        await exchange.write(frames.encode(frame))
        await exchange.end()

    async def stream(self, exchange: Exchange, running: Running, offset: int) -> None:
        """Send frames until the attempt's answer ends, with heartbeats between them."""
        event = curio.Event()
        running.events.add(event)
        self.streams += 1
        try:
            await exchange.start(200, FRAMES_TYPE)
            await self.send_frames(exchange, running, offset, event)
            await exchange.end()
            running.fetched = True
        finally:
            self.streams -= 1
            running.events.discard(event)
            running.alone = self.env.clock()

    async def send_frames(
        self, exchange: Exchange, running: Running, offset: int, event: curio.Event
    ) -> None:
        """Send what is known and wait for more; a wake-up without anything new sends a beat."""
        head_sent = woken = False
        while True:
            event.clear()
            ready: list[frames.Frame] = []
            if running.head is not None and not head_sent:
                ready.append(running.head)
                head_sent = True
            if len(running.body) > offset:
                ready.append(Data(offset, bytes(running.body[offset:])))
                offset = len(running.body)
            if running.end is not None:
                ready.append(running.end)
            elif woken and not ready:
                ready.append(
                    Heartbeat(self.attempts.work, self.attempts.running, self.env.clock())
                )
            if ready:
                await exchange.write(b"".join(frames.encode(frame) for frame in ready))
            if running.end is not None:
                return
            await event.wait()
            woken = True

    async def beat(self) -> None:
        """Wake every stream, so that each sends a frame at least this often."""
        for attempt in list(self.live):
            await self.running[attempt].wake()

    async def execute(self, running: Running) -> None:
        """Run an attempt at the endpoint and keep its answer."""
        attempt = running.handover.attempt
        try:
            async with curio.timeout_after(attempt.budget):
                end = await self.call_endpoint(running)
        except curio.TaskTimeout:
            end = self.give_up(attempt.id, Kind.DEADLINE, "the deadline passed")
        except curio.CancelledError:
            end = self.give_up(attempt.id, Kind.CANCELLED, "the attempt was cancelled")
        except ConnectionLost as error:
            end = self.give_up(attempt.id, Kind.ENDPOINT_FAILED, str(error))
            await self.report_crash(attempt, Ran(end.ran))
        except Exception as error:  # A router waits for this attempt's end, whatever happened.
            end = self.give_up(attempt.id, Kind.INTERNAL, repr(error))
        running.ended = self.env.clock()
        running.end = end
        self.live.pop(attempt.id, None)
        result = "failed" if isinstance(end, Failed) else "finished"
        self.env.metrics.attempts.inc({"result": result, "kind": getattr(end, "kind", "")})
        await running.wake()

    async def report_crash(self, attempt: Attempt, ran: Ran) -> None:
        """Register a crash under an attempt, and all that ran beside it, before it is told."""
        if ran is Ran.NO or not attempt.fingerprint:
            return
        if attempt.id not in self.crashes:
            live = [
                entry for entry in self.live.values() if self.attempts.ran(entry.id) is not Ran.NO
            ]
            prints = sorted({entry.fingerprint for entry in live if entry.fingerprint})
            task = await curio.spawn(suspicion.register_crash, self.env, prints, daemon=True)
            self.crashes = {entry.id: task for entry in live}
        await self.crashes[attempt.id].wait()

    def give_up(self, attempt: str, kind: Kind, detail: str) -> Failed:
        """End an attempt without a whole answer."""
        now = self.env.clock()
        self.attempts.apply_action(attempt, "cancel", now)
        self.attempts.crash(attempt, now)
        ran = self.attempts.ran(attempt)
        log(Event.ATTEMPT_FAILED, detail, attempt=attempt, kind=kind.value, ran=ran.value)
        return self.failed(attempt, kind, ran, detail)

    async def call_endpoint(self, running: Running) -> End | Failed:
        """Send the request to the endpoint and collect its answer."""
        handover = running.handover
        attempt = handover.attempt.id
        client = self.env.client
        channel = await client.acquire(self.address, self.port, fresh=handover.attempt.guarded)
        try:
            if not self.attempts.start(attempt, self.env.clock()):
                raise ConnectionLost("the attempt was cancelled before it started")
            host = f"{self.address}:{self.port}"
            await client.send_request(
                channel, handover.method, handover.target, handover.headers, handover.body, host
            )
            answer = await client.receive_response(channel)
            if not answer.end_is_verifiable():
                raise ConnectionLost("the end of the endpoint's answer can't be verified")
            running.head = Head(attempt, answer.status, end_to_end(answer.headers))
            await running.wake()
            async for piece in answer.iter_bytes():
                running.body += piece
                if len(running.body) > defaults.MAX_RESPONSE_BYTES:
                    raise ConnectionLost("the answer is too large")
                await running.wake()
        except BaseException:
            await channel.close()
            raise
        now = self.env.clock()
        self.attempts.finish(attempt, now)
        await client.release(self.address, self.port, channel)
        self.env.suspects.clear(handover.attempt.fingerprint, handover.attempt.trial)
        digest = xxhash.xxh3_128_hexdigest(running.body)
        table = self.attempts
        return End(attempt, len(running.body), digest, table.work, table.running, now)

    async def expire(self) -> None:
        """Forget old answers and tombstones, and cancel attempts that nobody waits for."""
        now = self.env.clock()
        self.attempts.expire(now)
        for name, running in list(self.running.items()):
            if running.expired(now):
                del self.running[name]
            elif running.orphaned(now):
                await running.task.cancel(blocking=False)
        self.trim(now)
        self.env.metrics.work.set({}, self.attempts.work)
        self.env.metrics.running.set({}, self.attempts.running)

    def trim(self, now: float) -> None:
        """Drop the oldest delivered answers while all of them take too many bytes."""
        size = sum(len(running.body) for running in self.running.values())
        for name, running in list(self.running.items()):
            if size <= defaults.MAX_RETAINED_BYTES:
                return
            if running.delivered(now):
                size -= len(running.body)
                del self.running[name]

    def undelivered(self) -> bool:
        """Tell whether an attempt runs or its answer still has to be fetched."""
        now = self.env.clock()
        return any(not running.delivered(now) for running in self.running.values())

    async def drain(self) -> None:
        """Refuse new work and return when every attempt has ended and was fetched."""
        self.attempts.draining = True
        while self.streams or self.undelivered():
            await curio.sleep(DRAIN_POLL)


ROUTES = {
    ("GET", "state", 1): Sidecar.state,
    ("POST", "attempts", 1): Sidecar.admit,
    ("GET", "attempts", 2): Sidecar.resume,
    ("DELETE", "attempts", 2): Sidecar.cancel,
    ("GET", "orders", 1): Sidecar.answer_orders,
    ("POST", "orders", 1): Sidecar.answer_orders,
}


async def main(settings: Settings) -> None:
    """Run a sidecar until it is told to stop."""
    env = Environment(settings)
    configuration.attach(env)
    sidecar = Sidecar(env)
    orders = sidecar.orders
    readiness = Readiness(env, sidecar.address, sidecar.port, orders.warm)
    gossip.attach_sidecar(env, sidecar, readiness.ready)
    vm_poller.attach(env)
    env.tasks += [functools.partial(readiness.start, orders.check), orders.read_number]
    env.tasks.append(functools.partial(suspicion.follow_register, env))
    await run_node(env, sidecar.server, sidecar.drain)
