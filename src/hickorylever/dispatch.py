"""One attempt as the router sees it: hand over, receive, resume, and tell what is known."""

import uuid

import curio
import h11
import msgspec

from . import admission, defaults, frames
from .events import Event, log
from .exceptions import ConnectionLost, Kind, Ran
from .frames import Beat, Data, End, Failed, Handover, Head
from .http import Answer, Channel, end_to_end
from .records import Attempt, Endpoint, Load
from .relay import BrokenAnswer, CallerGone, Relay

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

    async def run(self) -> Failed | None:
        """Return None when the answer is whole, else why it is not.

        A sidecar with another incarnation than expected is tried once more.
        """
        failed = await self.run_once()
        if failed is None or failed.kind != Kind.WRONG_INCARNATION:
            return failed
        if Ran(failed.ran) is not Ran.NO:
            return failed
        return await self.run_once()

    def new_attempt(self) -> Attempt:
        """Return a new attempt for the sidecar's last known incarnation."""
        call = self.call
        return Attempt(
            id=uuid.uuid4().hex,
            endpoint=self.endpoint.name,
            incarnation=self.env.incarnations.get(self.endpoint.name, ""),
            budget=call.deadline - self.env.clock(),
            work=call.work,
            account=call.account.name,
            fingerprint=call.fingerprint,
            guarded=call.guarded,
        )

    async def run_once(self) -> Failed | None:
        """Make one attempt."""
        self.attempt = self.new_attempt()
        if not self.relay.begun:
            self.relay.reset()
        try:
            channel = await self.acquire(fresh=False)
        except ConnectionLost as error:
            return self.failed(Kind.NO_ENDPOINT, Ran.NO, str(error))
        try:
            return await self.exchange(channel)
        except CallerGone:
            await self.cancel()
            raise ConnectionLost("the caller is gone") from None
        except BrokenAnswer as error:
            await self.cancel()
            return self.failed(Kind.ANSWER_LOST, Ran.UNKNOWN, str(error))
        except curio.CancelledError:
            await self.cancel()
            raise

    async def acquire(self, fresh: bool) -> Channel:
        """Return a connection to the sidecar."""
        address, port = self.endpoint.address, self.endpoint.sidecar_port
        return await self.env.client.acquire(address, port, fresh)

    async def exchange(self, channel: Channel) -> Failed | None:
        """Hand over, and resume on fresh connections until the answer ends."""
        resumes = 0
        send = self.hand_over
        while True:
            try:
                await send(channel)
                return await self.receive(channel)
            except LOST as error:
                await channel.close()
                log(
                    Event.ATTEMPT_LOST,
                    f"connection to {self.endpoint.name} lost: {error!r}",
                    attempt=self.attempt.id,
                )
            except BaseException:
                await channel.close()
                raise
            channel = None
            while channel is None:
                resumes += 1
                if resumes > defaults.MAX_RESUMES:
                    detail = "the sidecar could not be asked what became of the request"
                    return self.failed(Kind.ANSWER_LOST, Ran.UNKNOWN, detail)
                channel = await self.reconnect(resumes)
            self.env.metrics.resumes.inc({})
            send = self.resume

    async def reconnect(self, tries: int) -> Channel | None:
        """Return a fresh connection, or None after a pause."""
        try:
            return await self.acquire(fresh=True)
        except ConnectionLost:
            await curio.sleep(defaults.HEARTBEAT_INTERVAL * tries)
            return None

    async def hand_over(self, channel: Channel) -> None:
        """Send the request to the sidecar."""
        exchange = self.call.exchange
        target = exchange.path + ("?" + exchange.query if exchange.query else "")
        handover = Handover(
            attempt=self.attempt,
            method=exchange.method,
            target=target,
            headers=end_to_end(
                exchange.headers, b"authorization", b"host", b"content-length", b"hickory-chat"
            ),
            body=self.call.body,
        )
        body = msgspec.msgpack.encode(handover)
        await self.env.client.request(channel, "POST", "/attempts", body=body)

    async def resume(self, channel: Channel) -> None:
        """Ask the sidecar for the answer from the current offset on."""
        target = f"/attempts/{self.attempt.id}?offset={self.relay.offset}"
        target += f"&incarnation={self.attempt.incarnation}"
        await self.env.client.request(channel, "GET", target)

    async def receive(self, channel: Channel) -> Failed | None:
        """Take frames until the answer ends."""
        silence = defaults.HEARTBEAT_INTERVAL * defaults.HEARTBEATS_MISSED
        answer = await curio.timeout_after(silence, self.env.client.answer, channel)
        reader = frames.Reader()
        result: Failed | End | None = None
        while result is None:
            piece = await self.next_piece(answer, silence)
            for frame in reader.feed(piece):
                result = await self.take(frame)
        await self.finish_channel(channel, answer)
        return result if isinstance(result, Failed) else None

    async def next_piece(self, answer: Answer, silence: float) -> bytes:
        """Return the next bytes of the internal hop's answer."""
        event = await curio.timeout_after(silence, answer.channel.receive)
        if not isinstance(event, h11.Data):
            raise ConnectionLost("the sidecar ended its answer early")
        return bytes(event.data)

    async def finish_channel(self, channel: Channel, answer: Answer) -> None:
        """Read the terminator and give the connection back."""
        try:
            event = await curio.timeout_after(defaults.HEARTBEAT_INTERVAL, channel.receive)
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

    async def take_beat(self, frame: Beat) -> None:
        """A heartbeat carries the sidecar's load."""
        self.note_load(frame.work, frame.running)

    async def take_head(self, frame: Head) -> None:
        """Pass the head on."""
        self.check(frame.attempt)
        await self.relay.take_head(frame)

    async def take_data(self, frame: Data) -> None:
        """Pass body bytes on."""
        await self.relay.take_data(frame)
        self.call.tail = (self.call.tail + frame.body)[-defaults.ANSWER_TAIL_BYTES :]

    async def take_end(self, frame: End) -> End:
        """Release a whole answer."""
        self.check(frame.attempt)
        self.note_load(frame.work, frame.running)
        await self.relay.take_end(frame)
        return frame

    async def take_failed(self, frame: Failed) -> Failed:
        """Note the sidecar's incarnation and load."""
        self.check(frame.attempt)
        self.note_load(frame.work, frame.running)
        self.env.incarnations[self.endpoint.name] = frame.incarnation
        return frame

    def check(self, attempt: str) -> None:
        """Drop the connection when an answer is for another attempt."""
        if attempt != self.attempt.id:
            raise ConnectionLost("the answer is for another attempt")

    def note_load(self, work: float, running: int) -> None:
        """Remember the load that an answer carried."""
        load = Load(
            endpoint=self.endpoint.name,
            work=work,
            running=running,
            capacity=self.endpoint.capacity,
            time=self.env.clock(),
        )
        admission.take_load(self.env, load)

    def failed(self, kind: Kind, ran: Ran, detail: str) -> Failed:
        """Return a failure that this router has found itself."""
        return Failed(self.attempt.id, kind.value, ran.value, detail, "", 0.0, 0)

    async def cancel(self) -> None:
        """Tell the sidecar that nobody waits any more; failures are ignored."""
        target = f"/attempts/{self.attempt.id}?incarnation={self.attempt.incarnation}"
        address, port = self.endpoint.address, self.endpoint.sidecar_port
        async with curio.ignore_after(defaults.CONNECT_TIMEOUT):
            try:
                await self.env.client.fetch(address, port, "DELETE", target, fresh=True)
            except LOST:
                return


TAKERS = {
    Beat: Dispatch.take_beat,
    Head: Dispatch.take_head,
    Data: Dispatch.take_data,
    End: Dispatch.take_end,
    Failed: Dispatch.take_failed,
}
