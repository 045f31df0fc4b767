"""One attempt as the router sees it: hand over, receive, resume, and tell what is known."""

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

LOST = (ConnectionLost, curio.TaskTimeout, msgspec.DecodeError, h11.ProtocolError)


class Dispatch:
    """Runs attempts of one call at one endpoint.

    :param relay: takes the answer.
    """

    def __init__(self, env, call, endpoint: Endpoint, relay: Relay):
        self.env = env
        self.call = call
        self.endpoint = endpoint
        self.relay = relay
        self.attempt: Attempt | None = None
        self.facts = ExecutionEvidence()
        self.matched = False

    async def run(self) -> Failed | None:
        """Return None when the answer is whole, else why it is not.

        A sidecar with another incarnation than expected is tried once more.
        """
        failed = await self.run_once(self.new_attempt())
        if failed is None or failed.kind != Kind.WRONG_INCARNATION:
            return failed
        if Ran(failed.ran) is not Ran.NO:
            return failed
        return await self.run_once(self.new_attempt())

    def new_attempt(self) -> Attempt:
        """Return a new attempt for the sidecar's last known incarnation.

        Without a fresh stamp it names none, is surely refused, and the refusal tells both.
        """
        call = self.call
        name = self.endpoint.name
        now = self.env.clock()
        stamp = self.env.stamps.get(name)
        incarnation = self.env.incarnations.get(name, "")
        fresh = (
            stamp is not None and now - stamp.received_at < defaults.CLOCK_SAMPLE_LIFETIME_SECONDS
        )
        known = fresh and stamp.incarnation == incarnation
        mean = self.env.loads.mean_with_age(call.pool.name, now)
        return Attempt(
            id=uuid.uuid4().hex,
            endpoint=name,
            incarnation=incarnation if known else "",
            budget=call.deadline - now,
            work=call.work,
            stamp=stamp.time if known else 0.0,
            account=call.account.name,
            fingerprint=call.fingerprint,
            borrowed=call.borrowed,
            mean=mean.work,
            mean_age=mean.age,
            members=mean.members,
            trial=suspicion.trial_crashes(self.env, call),
            guarded=call.guarded,
        )

    async def learn(self) -> None:
        """Ask the sidecar for its incarnation and clock unless they were heard lately.

        :raises ConnectionLost: when it does not answer.
        """
        name = self.endpoint.name
        stamp = self.env.stamps.get(name)
        now = self.env.clock()
        if stamp is not None and now - stamp.received_at < defaults.CLOCK_SAMPLE_REFRESH_SECONDS:
            self.env.incarnations[name] = stamp.incarnation
            return
        address, port = self.endpoint.address, self.endpoint.sidecar_port
        try:
            async with curio.timeout_after(defaults.CONNECT_TIMEOUT_SECONDS):
                _, _, body = await self.env.client.fetch(address, port, "GET", "/state")
            state = msgspec.json.decode(body, type=SidecarState)
        except (curio.TaskTimeout, msgspec.DecodeError, h11.ProtocolError) as error:
            raise ConnectionLost(f"{name}: {error!r}") from None
        self.env.incarnations[name] = state.incarnation
        self.env.stamps[name] = ClockSample(state.incarnation, state.time, now)

    def renew(self, attempt: Attempt) -> Attempt:
        """Return an attempt with the time that is left now."""
        budget = self.call.deadline - self.env.clock()
        return dataclasses.replace(attempt, budget=budget)

    async def run_once(self, attempt: Attempt) -> Failed | None:
        """Make one attempt."""
        self.attempt = attempt
        self.facts = ExecutionEvidence(addressed=bool(attempt.incarnation))
        return await self.bounded(self.hand_over)

    async def attach(self, attempt: Attempt) -> Failed | None:
        """Fetch the answer of an attempt that was handed over before, from its start."""
        self.attempt = attempt
        self.facts = ExecutionEvidence(addressed=True, handed_over=True)
        return await self.bounded(self.resume)

    async def bounded(self, send) -> Failed | None:
        """Exchange until the deadline; the sidecar ends the attempt at the deadline itself.

        :param send: the first thing to send, :meth:`hand_over` or :meth:`resume`.
        """
        if not self.relay.begun:
            self.relay.reset()
        remaining = max(0.0, self.call.deadline - self.env.clock())
        try:
            async with curio.timeout_after(remaining + defaults.DEADLINE_GRACE_SECONDS):
                return await self.exchange(send)
        except curio.TaskTimeout:
            await curio.spawn(self.cancel, daemon=True)
            return self.failed(Kind.DEADLINE, "the deadline passed")
        except CallerGone:
            await self.cancel()
            raise ConnectionLost("the caller is gone") from None
        except InconsistentResponse as error:
            await self.cancel()
            return self.failed(Kind.ANSWER_LOST, str(error))
        except curio.CancelledError:
            await self.cancel()
            raise

    async def acquire(self, fresh: bool) -> Channel:
        """Return a connection to the sidecar."""
        address, port = self.endpoint.address, self.endpoint.sidecar_port
        return await self.env.client.acquire(address, port, fresh)

    async def exchange(self, send) -> Failed | None:
        """Send, and resume on fresh connections until the answer ends."""
        try:
            channel = await self.acquire(fresh=False)
        except ConnectionLost as error:
            kind = Kind.ANSWER_LOST if self.facts.handed_over else Kind.NO_ENDPOINT
            self.env.note_refusal(self.endpoint.name, Kind.NO_ENDPOINT)
            return self.failed(kind, str(error))
        tries = 0
        while True:
            offset = self.relay.offset
            try:
                await curio.timeout_after(defaults.SEND_TIMEOUT_SECONDS, send, channel)
                return await self.receive(channel)
            except LOST as error:
                await channel.abort()
                self.log_lost(error)
            except BaseException:
                await channel.abort()
                raise
            if self.relay.offset > offset:
                tries = 0
            channel = None
            while channel is None:
                tries += 1
                if tries > defaults.MAX_RESUMES:
                    detail = "the sidecar could not be asked what became of the request"
                    return self.failed(Kind.ANSWER_LOST, detail)
                channel = await self.reconnect(tries)
            self.env.metrics.resumes.inc({})
            send = self.resume

    def log_lost(self, error: Exception) -> None:
        """Log a connection that failed while an answer was awaited."""
        message = f"connection to {self.endpoint.name} lost: {error!r}"
        log(Event.ATTEMPT_LOST, message, attempt=self.attempt.id)

    async def reconnect(self, tries: int) -> Channel | None:
        """Return a fresh connection, or None after a pause."""
        try:
            return await self.acquire(fresh=True)
        except ConnectionLost:
            await curio.sleep(defaults.HEARTBEAT_INTERVAL_SECONDS * tries)
            return None

    async def hand_over(self, channel: Channel) -> None:
        """Send the request to the sidecar."""
        exchange = self.call.exchange
        target = exchange.path + ("?" + exchange.query if exchange.query else "")
        handover = AttemptRequest(
            attempt=self.attempt,
            method=exchange.method,
            target=target,
            headers=end_to_end(
                exchange.headers, b"authorization", b"host", b"content-length", b"hickory-chat"
            ),
            body=self.call.body,
        )
        body = msgspec.msgpack.encode(handover)
        self.facts = self.facts.with_hand_over()
        await self.env.client.send_request(channel, "POST", "/attempts", body=body)

    async def resume(self, channel: Channel) -> None:
        """Ask the sidecar for the answer from the current offset on."""
        await self.env.client.send_request(channel, "GET", self.target(self.relay.offset))

    def target(self, offset: int) -> str:
        """Return the path of the attempt at its sidecar."""
        attempt = self.attempt
        query = f"offset={offset}&incarnation={attempt.incarnation}&stamp={attempt.stamp}"
        return f"/attempts/{attempt.id}?{query}"

    async def receive(self, channel: Channel) -> Failed | None:
        """Take frames until the answer ends."""
        self.matched = False
        silence = defaults.HEARTBEAT_INTERVAL_SECONDS * defaults.MAX_MISSED_HEARTBEATS
        answer = await curio.timeout_after(silence, self.env.client.receive_response, channel)
        reader = frames.Reader()
        result: Failed | End | None = None
        while result is None:
            for frame in reader.feed(await self.next_piece(answer)):
                result = await self.take(frame)
        await self.finish_channel(channel, answer)
        return result if isinstance(result, Failed) else None

    async def next_piece(self, answer: ClientResponse) -> bytes:
        """Return the next bytes of the internal hop's answer.

        :raises ConnectionLost: when they don't come; a silent connection is cut.
        """
        silence = self.env.silence
        silence.begin(answer.channel, self.env.clock())
        try:
            event = await answer.channel.receive()
        finally:
            silence.end(answer.channel)
        if not isinstance(event, h11.Data):
            raise ConnectionLost("the sidecar ended its answer early")
        return bytes(event.data)

    async def finish_channel(self, channel: Channel, answer: ClientResponse) -> None:
        """Read the terminator and give the connection back."""
        try:
            event = await curio.timeout_after(defaults.HEARTBEAT_INTERVAL_SECONDS, channel.receive)
        except LOST:
            event = None
        if isinstance(event, h11.EndOfMessage):
            address, port = self.endpoint.address, self.endpoint.sidecar_port
            await self.env.client.release(address, port, channel)
        else:
            await channel.close()

    async def take(self, frame: frames.Frame) -> Failed | End | None:
        """Take one frame; return it when it ends the answer."""
        return await TAKERS[type(frame)](self, frame)

    async def take_beat(self, frame: Heartbeat) -> None:
        """A heartbeat carries the sidecar's load."""
        self.note(frame)

    async def take_head(self, frame: Head) -> None:
        """Pass the head on."""
        self.check(frame.attempt)
        self.matched = True
        await self.relay.take_head(frame)

    async def take_data(self, frame: Data) -> None:
        """Pass body bytes on; they belong to the head that came on the same connection."""
        if not self.matched:
            raise ConnectionLost("data without a head")
        await self.relay.take_data(frame)
        self.call.response_tail = (self.call.response_tail + frame.body)[
            -defaults.RESPONSE_TAIL_BYTES :
        ]

    async def take_end(self, frame: End) -> End:
        """Release a whole answer."""
        self.check(frame.attempt)
        self.note(frame)
        await self.relay.take_end(frame)
        return frame

    async def take_failed(self, frame: Failed) -> Failed:
        """Note what the sidecar says about the execution, its incarnation and load."""
        self.check(frame.attempt)
        self.facts = self.facts.with_report(Ran(frame.ran))
        self.env.incarnations[self.endpoint.name] = frame.incarnation
        self.note(frame, frame.incarnation)
        self.env.note_refusal(self.endpoint.name, Kind(frame.kind))
        return msgspec.structs.replace(frame, ran=self.facts.ran().value)

    def check(self, attempt: str) -> None:
        """Drop the connection when an answer is for another attempt."""
        if attempt != self.attempt.id:
            raise ConnectionLost("the answer is for another attempt")

    def note(self, frame: Heartbeat | End | Failed, incarnation: str = "") -> None:
        """Remember the load and the clock that a frame carried."""
        name = self.endpoint.name
        now = self.env.clock()
        self.env.stamps[name] = ClockSample(
            incarnation or self.attempt.incarnation, frame.time, now
        )
        load = Load(
            endpoint=name,
            work=frame.work,
            running=frame.running,
            capacity=self.endpoint.capacity,
            time=now,
        )
        admission.take_load(self.env, load)

    def failed(self, kind: Kind, detail: str) -> Failed:
        """Return a failure that this router has found itself."""
        ran = self.facts.ran().value
        return Failed(self.attempt.id, kind.value, ran, detail, "", 0.0, 0, 0.0)

    async def cancel(self) -> None:
        """Tell the sidecar that nobody waits any more, and note whether the attempt ran."""
        if not self.facts.handed_over or not self.facts.addressed:
            return
        address, port = self.endpoint.address, self.endpoint.sidecar_port
        async with curio.ignore_after(defaults.CONNECT_TIMEOUT_SECONDS):
            try:
                _, _, body = await self.env.client.fetch(
                    address, port, "DELETE", self.target(0), fresh=True
                )
                result = msgspec.json.decode(body, type=CancelResult)
            except LOST:
                return
            self.facts = self.facts.with_report(Ran(result.ran))


TAKERS = {
    Heartbeat: Dispatch.take_beat,
    Head: Dispatch.take_head,
    Data: Dispatch.take_data,
    End: Dispatch.take_end,
    Failed: Dispatch.take_failed,
}
