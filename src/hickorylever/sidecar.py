"""The sidecar: admits and runs the attempts of one endpoint, and retains their responses."""

import functools
from urllib.parse import parse_qs

import curio
import msgspec
import xxhash

from . import admission, configuration, defaults, frames, gossip, suspicion, vm_poller
from .addresses import split_address
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
from .responses import AttemptResponse
from .settings import Settings

DRAIN_POLL_SECONDS = 0.05
FRAMES_TYPE = [(b"content-type", b"application/x-hickorylever-frames")]


def float_parameter(query: dict, name: str) -> float:
    """Return a numeric query parameter, or 0 when it is missing.

    :raises RequestError: when it is not a number.
    """
    try:
        return float(query.get(name, 0))
    except ValueError:
        raise RequestError(Kind.BAD_REQUEST, f"{name} is not a number") from None


class Sidecar:
    """Runs the attempts of one endpoint and serves their responses to routers.

    :param env: the environment of the process.
    :ivar live: attempts that have not ended, by id.
    """

    def __init__(self, env: Environment):
        self.env = env
        self.address, self.port = split_address(env.settings.endpoint)
        self.attempts = AttemptTable(env.incarnation, defaults.TOMBSTONE_LIFETIME_SECONDS)
        self.responses: dict[str, AttemptResponse] = {}
        self.live: dict[str, Attempt] = {}
        self.server = Server(self.handle, refuse)
        self.orders = Orders(env, self.address, self.port, self.endpoint)
        self.streams = 0
        self.crash_tasks: dict[str, curio.Task] = {}
        suspicion.attach(env)
        env.timers.subscribe("expire", 1.0, self.expire)
        env.timers.subscribe(
            "heartbeats", defaults.HEARTBEAT_INTERVAL_SECONDS, self.send_heartbeats, jitter=0.0
        )

    def endpoint(self) -> Endpoint | None:
        """Return the endpoint of this sidecar in the configuration in force, or None."""
        if self.env.fleet is None:
            return None
        vm = self.env.settings.vm
        return next((entry for entry in self.env.fleet.endpoints if entry.vm == vm), None)

    def max_work(self, attempt: Attempt) -> float:
        """Return the load bound in tokens, this attempt included."""
        endpoint = self.endpoint()
        if endpoint is None:
            return self.env.view.floor
        table = self.attempts
        return admission.max_work(self.env, endpoint, table.work, table.running, attempt)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request of a router or controller.

        :raises RequestError: when the request is malformed or its path is unknown.
        """
        parts = exchange.path.strip("/").split("/")
        query = {key: values[0] for key, values in parse_qs(exchange.query).items()}
        route = (exchange.method, parts[0], len(parts))
        handler = ROUTES.get(route)
        if handler is None:
            raise RequestError(Kind.NOT_FOUND)
        await handler(self, exchange, parts, query)

    async def state(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Respond with incarnation, clock and load."""
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

    async def handle_orders(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Handle an order or status query of a controller."""
        await self.orders.respond(exchange)

    async def admit(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Start an attempt and stream its response, or respond with the refusal."""
        body = await exchange.body(2 * defaults.MAX_BODY_BYTES)
        try:
            request = msgspec.msgpack.decode(body, type=AttemptRequest)
        except msgspec.DecodeError as error:
            raise RequestError(Kind.BAD_REQUEST, str(error)) from None
        attempt = request.attempt
        refusal = self.try_admit(attempt)
        if refusal is not None:
            await self.respond_failed(exchange, attempt.id, refusal)
            return
        response = AttemptResponse(request)
        response.detached_at = self.env.clock()
        self.responses[attempt.id] = response
        self.live[attempt.id] = attempt
        response.task = await curio.spawn(self.execute, response, daemon=True)
        await self.stream(exchange, response, 0)

    def try_admit(self, attempt: Attempt) -> Refusal | None:
        """Admit an attempt, or return why it is refused. Crash suspects are checked first."""
        now = self.env.clock()
        reason = suspicion.refuse_attempt(self.env, attempt, list(self.live.values()))
        if reason is None:
            return self.attempts.admit(attempt, self.max_work(attempt), now)
        self.attempts.cancel(attempt.id, now, attempt.stamp)
        return Refusal(*reason)

    async def resume(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Stream the response of an attempt from an offset on.

        An unknown attempt is cancelled: it is refused if it arrives later.
        """
        attempt = parts[1]
        response = self.responses.get(attempt)
        if response is not None and query.get("incarnation") == self.env.incarnation:
            await self.stream(exchange, response, int(float_parameter(query, "offset")))
            return
        await self.respond_failed(exchange, attempt, self.cancel_from_query(attempt, query))

    def cancel_from_query(self, attempt: str, query: dict) -> Refusal:
        """Cancel an attempt that can still be cancelled, and return its state as a refusal."""
        incarnation = query.get("incarnation", "")
        return self.attempts.cancel_with_reason(
            attempt, incarnation, self.env.clock(), float_parameter(query, "stamp")
        )

    async def cancel(self, exchange: Exchange, parts: list[str], query: dict) -> None:
        """Cancel an attempt and respond with whether it ran.

        A guarded attempt that is running continues.
        """
        attempt = parts[1]
        refusal = self.cancel_from_query(attempt, query)
        response = self.responses.get(attempt)
        found = response is not None and refusal.kind is not Kind.WRONG_INCARNATION
        if found and response.end is None and not response.request.attempt.guarded:
            await response.task.cancel(blocking=False)
        await respond_json(exchange, CancelResult(refusal.ran.value))

    def failed(self, attempt: str, kind: Kind, ran: Ran, detail: str) -> Failed:
        """Return a failure frame with the incarnation and load of this sidecar."""
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

    async def respond_failed(self, exchange: Exchange, attempt: str, refusal: Refusal) -> None:
        """Respond with a single failure frame."""
        frame = self.failed(attempt, refusal.kind, refusal.ran, refusal.detail)
        self.env.metrics.attempts.inc({"result": "refused", "kind": refusal.kind.value})
        await exchange.start(200, FRAMES_TYPE)
        await exchange.write(frames.encode(frame))
        await exchange.end()

    async def stream(self, exchange: Exchange, response: AttemptResponse, offset: int) -> None:
        """Send frames until the response ends, with heartbeats while there is no data."""
        event = curio.Event()
        response.events.add(event)
        self.streams += 1
        try:
            await exchange.start(200, FRAMES_TYPE)
            await self.send_frames(exchange, response, offset, event)
            await exchange.end()
            response.fetched = True
        finally:
            self.streams -= 1
            response.events.discard(event)
            response.detached_at = self.env.clock()

    async def send_frames(
        self, exchange: Exchange, response: AttemptResponse, offset: int, event: curio.Event
    ) -> None:
        """Send new frames at each wake-up, or a heartbeat when there is nothing new."""
        head_sent = notified = False
        while True:
            event.clear()
            ready: list[frames.Frame] = []
            if response.head is not None and not head_sent:
                ready.append(response.head)
                head_sent = True
            if len(response.body) > offset:
                ready.append(Data(offset, bytes(response.body[offset:])))
                offset = len(response.body)
            if response.end is not None:
                ready.append(response.end)
            elif notified and not ready:
                ready.append(
                    Heartbeat(self.attempts.work, self.attempts.running, self.env.clock())
                )
            if ready:
                await exchange.write(b"".join(frames.encode(frame) for frame in ready))
            if response.end is not None:
                return
            await event.wait()
            notified = True

    async def send_heartbeats(self) -> None:
        """Wake all streams, so that each sends at least one frame per heartbeat interval."""
        for attempt in list(self.live):
            await self.responses[attempt].notify()

    async def execute(self, response: AttemptResponse) -> None:
        """Run an attempt at the endpoint and store how it ended."""
        attempt = response.request.attempt
        try:
            async with curio.timeout_after(attempt.budget):
                end = await self.call_endpoint(response)
        except curio.TaskTimeout:
            end = self.fail_attempt(
                attempt.id,
                Kind.DEADLINE,
                "deadline passed before the endpoint finished the response",
            )
        except curio.CancelledError:
            end = self.fail_attempt(attempt.id, Kind.CANCELLED, "attempt cancelled")
        except ConnectionLost as error:
            end = self.fail_attempt(attempt.id, Kind.ENDPOINT_FAILED, str(error))
            await self.report_crash(attempt, Ran(end.ran))
        except Exception as error:  # Routers wait for the end of the attempt.
            end = self.fail_attempt(attempt.id, Kind.INTERNAL, repr(error))
        response.ended_at = self.env.clock()
        response.end = end
        self.live.pop(attempt.id, None)
        result = "failed" if isinstance(end, Failed) else "finished"
        self.env.metrics.attempts.inc({"result": result, "kind": getattr(end, "kind", "")})
        await response.notify()

    async def report_crash(self, attempt: Attempt, ran: Ran) -> None:
        """Register a crash with all requests that were running, before routers learn of it.

        Attempts that ran at the time of one crash share its record.
        """
        if ran is Ran.NO or not attempt.fingerprint:
            return
        if attempt.id not in self.crash_tasks:
            live = [
                entry for entry in self.live.values() if self.attempts.ran(entry.id) is not Ran.NO
            ]
            fingerprints = sorted({entry.fingerprint for entry in live if entry.fingerprint})
            task = await curio.spawn(suspicion.register_crash, self.env, fingerprints, daemon=True)
            self.crash_tasks = {entry.id: task for entry in live}
        await self.crash_tasks[attempt.id].wait()

    def fail_attempt(self, attempt: str, kind: Kind, detail: str) -> Failed:
        """End an attempt whose response is incomplete, and return the failure."""
        now = self.env.clock()
        self.attempts.apply_action(attempt, "cancel", now)
        self.attempts.crash(attempt, now)
        ran = self.attempts.ran(attempt)
        log(Event.ATTEMPT_FAILED, detail, attempt=attempt, kind=kind.value, ran=ran.value)
        return self.failed(attempt, kind, ran, detail)

    async def call_endpoint(self, response: AttemptResponse) -> End | Failed:
        """Send the request to the endpoint and collect the response.

        :raises ConnectionLost: when the endpoint can't be reached, the attempt was cancelled
            before it started, or the response is incomplete, too large, or its end can't be
            verified.
        """
        request = response.request
        attempt = request.attempt.id
        client = self.env.client
        channel = await client.acquire(self.address, self.port, fresh=request.attempt.guarded)
        try:
            if not self.attempts.start(attempt, self.env.clock()):
                raise ConnectionLost("attempt cancelled before it started")
            host = f"{self.address}:{self.port}"
            await client.send_request(
                channel, request.method, request.target, request.headers, request.body, host
            )
            endpoint_response = await client.receive_response(channel)
            if not endpoint_response.end_is_verifiable():
                raise ConnectionLost("the end of the endpoint's response can't be verified")
            response.head = Head(
                attempt, endpoint_response.status, end_to_end(endpoint_response.headers)
            )
            await response.notify()
            async for chunk in endpoint_response.iter_bytes():
                response.body += chunk
                if len(response.body) > defaults.MAX_RESPONSE_BYTES:
                    raise ConnectionLost("response exceeds the size limit")
                await response.notify()
        except BaseException:
            await channel.close()
            raise
        now = self.env.clock()
        self.attempts.finish(attempt, now)
        await client.release(self.address, self.port, channel)
        self.env.suspects.clear(request.attempt.fingerprint, request.attempt.trial)
        digest = xxhash.xxh3_128_hexdigest(response.body)
        table = self.attempts
        return End(attempt, len(response.body), digest, table.work, table.running, now)

    async def expire(self) -> None:
        """Evict expired responses and tombstones, and cancel orphaned attempts."""
        now = self.env.clock()
        self.attempts.expire(now)
        for name, response in list(self.responses.items()):
            if response.is_expired(now):
                del self.responses[name]
            elif response.is_orphaned(now):
                await response.task.cancel(blocking=False)
        self.evict_responses(now)
        self.env.metrics.work.set({}, self.attempts.work)
        self.env.metrics.running.set({}, self.attempts.running)

    def evict_responses(self, now: float) -> None:
        """Evict the oldest delivered responses while the total exceeds the memory limit."""
        size = sum(len(response.body) for response in self.responses.values())
        for name, response in list(self.responses.items()):
            if size <= defaults.MAX_RETAINED_BYTES:
                return
            if response.is_delivered(now):
                size -= len(response.body)
                del self.responses[name]

    def has_undelivered(self) -> bool:
        """Return whether any attempt is running or has a response that is still to be fetched."""
        now = self.env.clock()
        return any(not response.is_delivered(now) for response in self.responses.values())

    async def drain(self) -> None:
        """Refuse new attempts, and return when all responses are delivered."""
        self.attempts.draining = True
        while self.streams or self.has_undelivered():
            await curio.sleep(DRAIN_POLL_SECONDS)


ROUTES = {
    ("GET", "state", 1): Sidecar.state,
    ("POST", "attempts", 1): Sidecar.admit,
    ("GET", "attempts", 2): Sidecar.resume,
    ("DELETE", "attempts", 2): Sidecar.cancel,
    ("GET", "orders", 1): Sidecar.handle_orders,
    ("POST", "orders", 1): Sidecar.handle_orders,
}


async def main(settings: Settings) -> None:
    """Run a sidecar until a signal stops it."""
    env = Environment(settings)
    configuration.attach(env)
    sidecar = Sidecar(env)
    orders = sidecar.orders
    readiness = Readiness(env, sidecar.address, sidecar.port, orders.is_warm)
    gossip.attach_sidecar(env, sidecar, readiness.ready)
    vm_poller.attach(env)
    env.tasks += [functools.partial(readiness.start, orders.check), orders.read_fencing_number]
    env.tasks.append(functools.partial(suspicion.load_suspects, env))
    await run_node(env, sidecar.server, sidecar.drain)
