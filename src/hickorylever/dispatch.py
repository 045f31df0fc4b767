"""Attempts on the router's side: send a request to a sidecar, receive and resume its response."""

import dataclasses
import uuid

import curio
import h11
import msgspec

from . import admission, defaults, frames, suspicion
from .decisions.outcomes import ExecutionEvidence
from .events import Event, log
from .exceptions import CallerGone, ConnectionLost, InconsistentResponse, Kind, Ran
from .frames import AttemptRequest, CancelResult, Data, End, Failed, Head, Heartbeat, SidecarState
from .http import Channel, ClientResponse, end_to_end
from .records import Attempt, ClockSample, Endpoint, Load
from .relay import Relay

CONNECTION_ERRORS = (ConnectionLost, curio.TaskTimeout, msgspec.DecodeError, h11.ProtocolError)


class Dispatch:
    """Runs attempts of one call at one endpoint.

    :param relay: receives the response.
    """

    def __init__(self, env, call, endpoint: Endpoint, relay: Relay):
        self.env = env
        self.call = call
        self.endpoint = endpoint
        self.relay = relay
        self.attempt: Attempt | None = None
        self.evidence = ExecutionEvidence()
        self.head_received = False

    async def run(self) -> Failed | None:
        """Run an attempt. Return None when the response is complete, else the failure.

        A sidecar that refuses the attempt without running it, because the incarnation is missing
        or another one or the clock stamp is out of range, is tried a second time.
        """
        failed = await self.run_once(self.new_attempt())
        if failed is None or failed.kind != Kind.WRONG_INCARNATION:
            return failed
        if Ran(failed.ran) is not Ran.NO:
            return failed
        return await self.run_once(self.new_attempt())

    def new_attempt(self) -> Attempt:
        """Return a new attempt for the last known incarnation of the sidecar.

        Without a recent clock sample the incarnation is left empty. The sidecar then refuses the
        attempt without running it, and the refusal carries its incarnation and clock.
        """
        call = self.call
        name = self.endpoint.name
        now = self.env.clock()
        sample = self.env.clock_samples.get(name)
        incarnation = self.env.incarnations.get(name, "")
        is_recent = (
            sample is not None
            and now - sample.received_at < defaults.CLOCK_SAMPLE_LIFETIME_SECONDS
        )
        is_current = is_recent and sample.incarnation == incarnation
        mean = self.env.loads.mean_with_age(call.pool.name, now)
        return Attempt(
            id=uuid.uuid4().hex,
            endpoint=name,
            incarnation=incarnation if is_current else "",
            budget=call.deadline - now,
            work=call.work,
            stamp=sample.time if is_current else 0.0,
            account=call.account.name,
            fingerprint=call.fingerprint,
            borrowed=call.borrowed,
            mean=mean.work,
            mean_age=mean.age,
            members=mean.members,
            trial=suspicion.trial_crashes(self.env, call),
            guarded=call.guarded,
        )

    async def refresh_clock_sample(self) -> None:
        """Fetch the incarnation and clock of the sidecar unless a recent sample is at hand.

        :raises ConnectionLost: when the sidecar does not respond.
        """
        name = self.endpoint.name
        sample = self.env.clock_samples.get(name)
        now = self.env.clock()
        if sample is not None and now - sample.received_at < defaults.CLOCK_SAMPLE_REFRESH_SECONDS:
            self.env.incarnations[name] = sample.incarnation
            return
        address, port = self.endpoint.address, self.endpoint.sidecar_port
        try:
            async with curio.timeout_after(defaults.CONNECT_TIMEOUT_SECONDS):
                _, _, body = await self.env.client.fetch(address, port, "GET", "/state")
            state = msgspec.json.decode(body, type=SidecarState)
        except (curio.TaskTimeout, msgspec.DecodeError, h11.ProtocolError) as error:
            raise ConnectionLost(f"{name}: {error!r}") from None
        self.env.incarnations[name] = state.incarnation
        self.env.clock_samples[name] = ClockSample(state.incarnation, state.time, now)

    def with_current_budget(self, attempt: Attempt) -> Attempt:
        """Return an attempt with its budget set to the seconds left until the deadline."""
        budget = self.call.deadline - self.env.clock()
        return dataclasses.replace(attempt, budget=budget)

    async def run_once(self, attempt: Attempt) -> Failed | None:
        """Run one attempt. Return None when the response is complete, else the failure."""
        self.attempt = attempt
        self.evidence = ExecutionEvidence(addressed=bool(attempt.incarnation))
        return await self.run_until_deadline(self.send_attempt)

    async def attach(self, attempt: Attempt) -> Failed | None:
        """Fetch the response of an attempt that was already sent, from its first byte."""
        self.attempt = attempt
        self.evidence = ExecutionEvidence(addressed=True, handed_over=True)
        return await self.run_until_deadline(self.resume)

    async def run_until_deadline(self, send) -> Failed | None:
        """Run an exchange until shortly after the deadline.

        The sidecar ends the attempt at the deadline itself; the grace period lets its report
        arrive.

        :param send: sends the first request, :meth:`send_attempt` or :meth:`resume`.
        """
        if not self.relay.headers_sent:
            self.relay.reset()
        remaining = max(0.0, self.call.deadline - self.env.clock())
        try:
            async with curio.timeout_after(remaining + defaults.DEADLINE_GRACE_SECONDS):
                return await self.exchange(send)
        except curio.TaskTimeout:
            await curio.spawn(self.cancel, daemon=True)
            return self.failed(Kind.DEADLINE, "deadline passed without a report from the sidecar")
        except CallerGone:
            await self.cancel()
            raise ConnectionLost("caller disconnected") from None
        except InconsistentResponse as error:
            await self.cancel()
            return self.failed(Kind.ANSWER_LOST, str(error))
        except curio.CancelledError:
            await self.cancel()
            raise

    async def acquire(self, fresh: bool) -> Channel:
        """Return a connection to the sidecar.

        :raises ConnectionLost: when it can't be established.
        """
        address, port = self.endpoint.address, self.endpoint.sidecar_port
        return await self.env.client.acquire(address, port, fresh)

    async def exchange(self, send) -> Failed | None:
        """Send, then resume on new connections until the response ends or resumes are used up."""
        try:
            channel = await self.acquire(fresh=False)
        except ConnectionLost as error:
            kind = Kind.ANSWER_LOST if self.evidence.handed_over else Kind.NO_ENDPOINT
            self.env.record_refusal(self.endpoint.name, Kind.NO_ENDPOINT)
            return self.failed(kind, str(error))
        resumes_tried = 0
        while True:
            offset = self.relay.offset
            try:
                await curio.timeout_after(defaults.SEND_TIMEOUT_SECONDS, send, channel)
                return await self.receive(channel)
            except CONNECTION_ERRORS as error:
                await channel.abort()
                self.log_connection_lost(error)
            except BaseException:
                await channel.abort()
                raise
            if self.relay.offset > offset:
                resumes_tried = 0
            channel = None
            while channel is None:
                resumes_tried += 1
                if resumes_tried > defaults.MAX_RESUMES:
                    detail = "the state of the attempt could not be queried from the sidecar"
                    return self.failed(Kind.ANSWER_LOST, detail)
                channel = await self.reconnect(resumes_tried)
            self.env.metrics.resumes.inc({})
            send = self.resume

    def log_connection_lost(self, error: Exception) -> None:
        """Log a connection that failed before the response ended."""
        message = f"connection to {self.endpoint.name} lost: {error!r}"
        log(Event.ATTEMPT_LOST, message, attempt=self.attempt.id)

    async def reconnect(self, resumes_tried: int) -> Channel | None:
        """Return a new connection, or None after a delay when it fails."""
        try:
            return await self.acquire(fresh=True)
        except ConnectionLost:
            await curio.sleep(defaults.HEARTBEAT_INTERVAL_SECONDS * resumes_tried)
            return None

    async def send_attempt(self, channel: Channel) -> None:
        """Send the request to the sidecar.

        Before the first byte is sent, the evidence records the attempt as handed over, since bytes
        may have left from then on.
        """
        exchange = self.call.exchange
        target = exchange.path + ("?" + exchange.query if exchange.query else "")
        request = AttemptRequest(
            attempt=self.attempt,
            method=exchange.method,
            target=target,
            headers=end_to_end(
                exchange.headers, b"authorization", b"host", b"content-length", b"hickory-chat"
            ),
            body=self.call.body,
        )
        body = msgspec.msgpack.encode(request)
        self.evidence = self.evidence.with_hand_over()
        await self.env.client.send_request(channel, "POST", "/attempts", body=body)

    async def resume(self, channel: Channel) -> None:
        """Request the rest of the response from the current offset."""
        await self.env.client.send_request(channel, "GET", self.target(self.relay.offset))

    def target(self, offset: int) -> str:
        """Return the request target of the attempt at its sidecar."""
        attempt = self.attempt
        query = f"offset={offset}&incarnation={attempt.incarnation}&stamp={attempt.stamp}"
        return f"/attempts/{attempt.id}?{query}"

    async def receive(self, channel: Channel) -> Failed | None:
        """Process frames until the response ends."""
        self.head_received = False
        timeout = defaults.HEARTBEAT_INTERVAL_SECONDS * defaults.MAX_MISSED_HEARTBEATS
        response = await curio.timeout_after(timeout, self.env.client.receive_response, channel)
        reader = frames.Reader()
        result: Failed | End | None = None
        while result is None:
            for frame in reader.feed(await self.next_chunk(response)):
                result = await self.handle_frame(frame)
        await self.release_channel(channel, response)
        return result if isinstance(result, Failed) else None

    async def next_chunk(self, response: ClientResponse) -> bytes:
        """Return the next bytes that the sidecar sends.

        :raises ConnectionLost: when the connection ends, or is closed for missing heartbeats.
        """
        monitor = self.env.heartbeats
        monitor.begin(response.channel, self.env.clock())
        try:
            event = await response.channel.receive()
        finally:
            monitor.end(response.channel)
        if not isinstance(event, h11.Data):
            raise ConnectionLost("sidecar ended its response before the final frame")
        return bytes(event.data)

    async def release_channel(self, channel: Channel, response: ClientResponse) -> None:
        """Read the end of the message and return the connection to the pool."""
        try:
            event = await curio.timeout_after(defaults.HEARTBEAT_INTERVAL_SECONDS, channel.receive)
        except CONNECTION_ERRORS:
            event = None
        if isinstance(event, h11.EndOfMessage):
            address, port = self.endpoint.address, self.endpoint.sidecar_port
            await self.env.client.release(address, port, channel)
        else:
            await channel.close()

    async def handle_frame(self, frame: frames.Frame) -> Failed | End | None:
        """Process one frame; return it when it ends the response."""
        return await FRAME_HANDLERS[type(frame)](self, frame)

    async def handle_heartbeat(self, frame: Heartbeat) -> None:
        """Record the load that a heartbeat carries."""
        self.record_report(frame)

    async def handle_head(self, frame: Head) -> None:
        """Pass status and headers on."""
        self.check_attempt(frame.attempt)
        self.head_received = True
        await self.relay.handle_head(frame)

    async def handle_data(self, frame: Data) -> None:
        """Pass body bytes on.

        :raises ConnectionLost: when no head came first on this connection, since only the head
            names the attempt.
        """
        if not self.head_received:
            raise ConnectionLost("data frame received before a head frame")
        await self.relay.handle_data(frame)
        self.call.response_tail = (self.call.response_tail + frame.body)[
            -defaults.RESPONSE_TAIL_BYTES :
        ]

    async def handle_end(self, frame: End) -> End:
        """Complete the response."""
        self.check_attempt(frame.attempt)
        self.record_report(frame)
        await self.relay.handle_end(frame)
        return frame

    async def handle_failed(self, frame: Failed) -> Failed:
        """Record what the sidecar reports of the execution, its incarnation and load."""
        self.check_attempt(frame.attempt)
        self.evidence = self.evidence.with_report(Ran(frame.ran))
        self.env.incarnations[self.endpoint.name] = frame.incarnation
        self.record_report(frame, frame.incarnation)
        self.env.record_refusal(self.endpoint.name, Kind(frame.kind))
        return msgspec.structs.replace(frame, ran=self.evidence.ran().value)

    def check_attempt(self, attempt: str) -> None:
        """Check the attempt that a frame names.

        :raises ConnectionLost: when it is another attempt.
        """
        if attempt != self.attempt.id:
            raise ConnectionLost("response is for another attempt")

    def record_report(self, frame: Heartbeat | End | Failed, incarnation: str = "") -> None:
        """Record the load and the clock that a frame carries."""
        name = self.endpoint.name
        now = self.env.clock()
        self.env.clock_samples[name] = ClockSample(
            incarnation or self.attempt.incarnation, frame.time, now
        )
        load = Load(
            endpoint=name,
            work=frame.work,
            running=frame.running,
            capacity=self.endpoint.capacity,
            time=now,
        )
        admission.record_load(self.env, load)

    def failed(self, kind: Kind, detail: str) -> Failed:
        """Return a failure that this router detected, without a report of the sidecar."""
        ran = self.evidence.ran().value
        return Failed(self.attempt.id, kind.value, ran, detail, "", 0.0, 0, 0.0)

    async def cancel(self) -> None:
        """Cancel the attempt at the sidecar, and record whether it ran."""
        if not self.evidence.handed_over or not self.evidence.addressed:
            return
        address, port = self.endpoint.address, self.endpoint.sidecar_port
        async with curio.ignore_after(defaults.CONNECT_TIMEOUT_SECONDS):
            try:
                _, _, body = await self.env.client.fetch(
                    address, port, "DELETE", self.target(0), fresh=True
                )
                result = msgspec.json.decode(body, type=CancelResult)
            except CONNECTION_ERRORS:
                return
            self.evidence = self.evidence.with_report(Ran(result.ran))


FRAME_HANDLERS = {
    Heartbeat: Dispatch.handle_heartbeat,
    Head: Dispatch.handle_head,
    Data: Dispatch.handle_data,
    End: Dispatch.handle_end,
    Failed: Dispatch.handle_failed,
}
