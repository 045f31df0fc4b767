"""The sidecar: admits, runs and remembers the attempts of one endpoint."""

from urllib.parse import parse_qs

import curio
import msgspec
import xxhash

from . import admission, configuration, defaults, frames
from .decisions.attempts import RAN, Attempts, Refusal
from .environment import Environment
from .events import Event, log
from .exceptions import ConnectionLost, Kind, Ran, RequestError
from .frames import Beat, CancelResult, Data, End, Failed, Handover, Head, SidecarState
from .http import Exchange, Server, end_to_end
from .node import refuse, respond_json, run_node
from .records import Endpoint
from .settings import Settings, split_address

DRAIN_POLL = 0.05
FRAMES_TYPE = [(b"content-type", b"application/x-hickorylever-frames")]


class Running:
    """The answer of one attempt as far as it is known, for every connection that wants it."""

    def __init__(self, handover: Handover):
        self.handover = handover
        self.head: Head | None = None
        self.body = bytearray()
        self.end: End | Failed | None = None
        self.ended = 0.0
        self.events: set[curio.Event] = set()
        self.task: curio.Task | None = None

    async def wake(self) -> None:
        """Tell every connection that there is something new."""
        for event in tuple(self.events):
            await event.set()


class Sidecar:
    """Stands before one endpoint.

    :param env: the process's environment.
    """

    def __init__(self, env: Environment):
        self.env = env
        self.address, self.port = split_address(env.settings.endpoint)
        self.attempts = Attempts(env.incarnation, defaults.TOMBSTONE_LIFETIME)
        self.running: dict[str, Running] = {}
        self.server = Server(self.handle, refuse)
        self.streams = 0
        env.timers.subscribe("expire", 1.0, self.expire)

    def endpoint(self) -> Endpoint | None:
        """Return this sidecar's endpoint from the configuration in force."""
        if self.env.fleet is None:
            return None
        vm = self.env.settings.vm
        return next((entry for entry in self.env.fleet.endpoints if entry.vm == vm), None)

    def cap(self) -> float:
        """Return the largest work in tokens that may be admitted now."""
        endpoint = self.endpoint()
        if endpoint is None:
            return self.env.view.floor
        return admission.cap(self.env, endpoint, self.attempts.work, self.attempts.running)

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
        )
        await respond_json(exchange, state)

    async def admit(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Take an attempt and stream its answer."""
        body = await exchange.body(2 * defaults.MAX_BODY_BYTES)
        try:
            handover = msgspec.msgpack.decode(body, type=Handover)
        except msgspec.DecodeError as error:
            raise RequestError(Kind.BAD_REQUEST, str(error)) from None
        attempt = handover.attempt
        refusal = self.attempts.admit(attempt, self.cap(), self.env.clock())
        if refusal is not None:
            await self.answer_failed(exchange, attempt.id, refusal, Ran.NO)
            return
        running = Running(handover)
        self.running[attempt.id] = running
        running.task = await curio.spawn(self.execute, running, daemon=True)
        await self.stream(exchange, running, 0)

    async def resume(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Stream an attempt's answer from an offset on.

        Asking for an unknown attempt cancels it: it will be refused if it arrives later.
        """
        attempt = parts[1]
        if query.get("incarnation") != self.env.incarnation:
            refusal = Refusal(Kind.WRONG_INCARNATION, "the sidecar was restarted")
            await self.answer_failed(exchange, attempt, refusal, Ran.UNKNOWN)
            return
        running = self.running.get(attempt)
        if running is not None:
            await self.stream(exchange, running, int(query.get("offset", 0)))
            return
        ran = self.attempts.cancel(attempt, self.env.clock())
        kind = Kind.CANCELLED if ran is Ran.NO else Kind.ANSWER_LOST
        await self.answer_failed(exchange, attempt, Refusal(kind, "no answer is kept"), ran)

    async def cancel(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Cancel an attempt and tell whether it ran."""
        attempt = parts[1]
        if query.get("incarnation") != self.env.incarnation:
            await respond_json(exchange, CancelResult(Ran.UNKNOWN.value))
            return
        ran = self.attempts.cancel(attempt, self.env.clock())
        running = self.running.get(attempt)
        if running is not None and not running.handover.attempt.guarded and running.end is None:
            await running.task.cancel(blocking=False)
        await respond_json(exchange, CancelResult(ran.value))

    def failed(self, attempt: str, kind: Kind, ran: Ran, detail: str) -> Failed:
        """Return a failure with this sidecar's incarnation and load."""
        table = self.attempts
        return Failed(
            attempt, kind.value, ran.value, detail, self.env.incarnation, table.work, table.running
        )

    async def answer_failed(
        self, exchange: Exchange, attempt: str, refusal: Refusal, ran: Ran
    ) -> None:
        """Answer with a single failure."""
        frame = self.failed(attempt, refusal.kind, ran, refusal.detail)
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
        finally:
            self.streams -= 1
            running.events.discard(event)

    async def send_frames(
        self, exchange: Exchange, running: Running, offset: int, event: curio.Event
    ) -> None:
        """Send what is known and wait for more."""
        head_sent = False
        while True:
            event.clear()
            ready = []
            if running.head is not None and not head_sent:
                ready.append(running.head)
                head_sent = True
            if len(running.body) > offset:
                ready.append(Data(offset, bytes(running.body[offset:])))
                offset = len(running.body)
            if running.end is not None:
                ready.append(running.end)
            if ready:
                await exchange.write(b"".join(frames.encode(frame) for frame in ready))
            if running.end is not None:
                return
            async with curio.ignore_after(defaults.HEARTBEAT_INTERVAL) as timeout:
                await event.wait()
            if timeout.expired:
                beat = Beat(self.attempts.work, self.attempts.running)
                await exchange.write(frames.encode(beat))

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
        running.ended = self.env.clock()
        running.end = end
        result = "failed" if isinstance(end, Failed) else "finished"
        self.env.metrics.attempts.inc({"result": result, "kind": getattr(end, "kind", "")})
        await running.wake()

    def give_up(self, attempt: str, kind: Kind, detail: str) -> Failed:
        """End an attempt without a whole answer."""
        now = self.env.clock()
        self.attempts.cancel(attempt, now)
        self.attempts.crash(attempt, now)
        ran = RAN[self.attempts.entries[attempt].state]
        log(Event.ATTEMPT_FAILED, detail, attempt=attempt, kind=kind.value, ran=ran.value)
        return self.failed(attempt, kind, ran, detail)

    async def call_endpoint(self, running: Running) -> End | Failed:
        """Send the request to the endpoint and collect its answer."""
        handover = running.handover
        attempt = handover.attempt.id
        client = self.env.client
        channel = await client.acquire(self.address, self.port)
        try:
            if not self.attempts.start(attempt, self.env.clock()):
                raise ConnectionLost("the attempt was cancelled before it started")
            host = f"{self.address}:{self.port}"
            await client.request(
                channel, handover.method, handover.target, handover.headers, handover.body, host
            )
            answer = await client.answer(channel)
            if not answer.delimited():
                raise ConnectionLost("the end of the endpoint's answer can't be verified")
            running.head = Head(attempt, answer.status, end_to_end(answer.headers))
            await running.wake()
            async for piece in answer.pieces():
                running.body += piece
                if len(running.body) > defaults.MAX_ANSWER_BYTES:
                    raise ConnectionLost("the answer is too large")
                await running.wake()
        except BaseException:
            await channel.close()
            raise
        await client.release(self.address, self.port, channel)
        self.attempts.finish(attempt, self.env.clock())
        digest = xxhash.xxh3_128_hexdigest(running.body)
        return End(attempt, len(running.body), digest, self.attempts.work, self.attempts.running)

    async def expire(self) -> None:
        """Forget old answers and tombstones, and cancel attempts that nobody waits for."""
        now = self.env.clock()
        self.attempts.expire(now)
        for name, running in list(self.running.items()):
            if running.end is not None and now - running.ended > defaults.FINISHED_LIFETIME:
                del self.running[name]
        self.env.metrics.work.set({}, self.attempts.work)
        self.env.metrics.running.set({}, self.attempts.running)

    async def drain(self) -> None:
        """Refuse new work and return when every attempt has ended and was fetched."""
        self.attempts.draining = True
        while self.attempts.running or self.streams:
            await curio.sleep(DRAIN_POLL)


ROUTES = {
    ("GET", "state", 1): Sidecar.state,
    ("POST", "attempts", 1): Sidecar.admit,
    ("GET", "attempts", 2): Sidecar.resume,
    ("DELETE", "attempts", 2): Sidecar.cancel,
}


async def main(settings: Settings) -> None:
    """Run a sidecar until it is told to stop."""
    env = Environment(settings)
    configuration.attach(env)
    sidecar = Sidecar(env)
    await run_node(env, sidecar.server, sidecar.drain)
