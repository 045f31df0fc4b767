"""One hand-over of a request to an endpoint, and what came of it."""

import enum
import time
from dataclasses import dataclass, field

import curio
import h11

from ..exceptions import ConnectionLost, InconsistentResponse, PeerTimeout
from ..http import Answer, Channel, Client, header
from .endpoints import Endpoint
from .patience import CHECK_INTERVAL, Patience
from .records import AnswerInfo
from .sse import Events

CONNECT_TIME = 0.3  # Seconds.
RECENT = 0.5  # Seconds without use up to which a connection serves what may not repeat.
MAX_STALE_ANSWERS = 2


class Result(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    BROKEN = "broken"
    EXPIRED = "expired"


@dataclass(slots=True)
class Outcome:
    """What came of an attempt.

    :param status: of the endpoint's own answer; 0 when there was none.
    :param body: of an answer that is not a stream.
    :param silent: this router gave up a connection that had not failed.
    """

    result: Result
    detail: str = ""
    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    info: AnswerInfo | None = None
    silent: bool = False


@dataclass(frozen=True, slots=True)
class Message:
    """The request as an endpoint gets it."""

    request_id: str
    method: str
    target: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Attempt:
    """Sends one request to one endpoint and reads its answer.

    :param stream: takes the head and the events of a streamed answer.
    :param patience: how long a silent endpoint is waited for; None for until the deadline.
    """

    def __init__(
        self,
        client: Client,
        endpoint: Endpoint,
        message: Message,
        read_answer,
        stream,
        deadline: float,
        repeatable: bool,
        patience: Patience | None = None,
    ):
        self.client = client
        self.endpoint = endpoint
        self.message = message
        self.read_answer = read_answer
        self.stream = stream
        self.deadline = deadline
        self.repeatable = repeatable
        self.patience = patience
        self.sent = False
        self.channel: Channel | None = None

    async def run(self) -> Outcome:
        """Make the attempt; the connection is closed unless the exchange ended well."""
        entry = self.endpoint.entry
        left = self.deadline - time.monotonic()
        try:
            async with curio.timeout_after(max(0.0, left)):
                outcome = await self.exchange()
        except curio.TaskTimeout:
            outcome = Outcome(Result.EXPIRED, "the time is over")
        except (ConnectionLost, h11.ProtocolError, InconsistentResponse) as error:
            outcome = Outcome(self.failure(), str(error) or repr(error))
            outcome.silent = isinstance(error, PeerTimeout)
        except BaseException:
            await self.close()
            raise
        if outcome.result in (Result.LOST, Result.BROKEN, Result.EXPIRED, Result.NOT_SENT):
            await self.close()
        elif self.channel is not None:
            await self.client.release(entry.address, entry.port, self.channel)
        return outcome

    def failure(self) -> Result:
        """Return what a failed connection means."""
        if not self.sent:
            return Result.NOT_SENT
        return Result.BROKEN if self.stream is not None and self.stream.begun else Result.LOST

    async def close(self) -> None:
        """Close the connection so that the endpoint stops."""
        if self.channel is not None:
            await self.channel.abort()
            self.channel = None

    async def exchange(self) -> Outcome:
        """Send the request and read the answer."""
        entry = self.endpoint.entry
        self.channel = await self.client.acquire(
            entry.address,
            entry.port,
            max_idle=float("inf") if self.repeatable else RECENT,
            timeout=CONNECT_TIME,
        )
        message = self.message
        self.sent = True
        await self.client.request(
            self.channel,
            message.method,
            message.target,
            message.headers,
            message.body,
            message.host,
        )
        answer, info = await self.first_answer()
        if info.not_run:
            await answer.body()
            return Outcome(Result.NOT_RUN, f"status {info.status}", info.status, info=info)
        if info.encoded or (info.status < 300 and not info.stamped):
            raise InconsistentResponse("the answer is not the endpoint's own")
        if self.streamed(answer):
            return await self.pass_on(answer, info)
        if self.stream is not None and self.stream.begun:
            raise InconsistentResponse(
                f"a resumed stream was answered with status {answer.status}"
            )
        body = await answer.body()
        result = Result.ANSWERED if answer.status < 500 else Result.FAILED
        return Outcome(result, "", answer.status, answer.headers, body, info)

    def streamed(self, answer: Answer) -> bool:
        """Tell whether an answer is passed on event by event."""
        kind = header(answer.headers, b"content-type")
        return (
            self.stream is not None
            and answer.status == 200
            and kind.startswith(b"text/event-stream")
        )

    async def first_answer(self) -> tuple[Answer, AnswerInfo]:
        """Return the answer to this request; late answers to earlier ones are dropped."""
        for _ in range(MAX_STALE_ANSWERS + 1):
            answer = await self.answer_in_time()
            self.endpoint.last_byte_at = time.monotonic()
            info = self.read_answer(answer.status, answer.headers)
            if info.request_id == self.message.request_id:
                return answer, info
            if info.not_run and not info.request_id:
                return answer, info
            await self.skip(answer)
        raise ConnectionLost("the connection holds answers to other requests")

    async def answer_in_time(self) -> Answer:
        """Return the next answer's head.

        :raises PeerTimeout: when it takes too long and the request could go on elsewhere.
        """
        if self.patience is None:
            return await self.client.answer(self.channel)
        left = max(0.0, self.patience.first - time.monotonic())
        return await self.await_endpoint(left, self.client.answer, self.channel)

    async def await_endpoint(self, seconds: float, receive, *arguments):
        """Await what an endpoint sends.

        :param seconds: after which the endpoint is given up if the request could go on elsewhere.
        :raises PeerTimeout: when the endpoint is given up.
        """
        while True:
            async with curio.ignore_after(seconds):
                return await receive(*arguments)
            if self.patience.movable():
                raise PeerTimeout("the endpoint sends nothing")
            seconds = CHECK_INTERVAL

    async def skip(self, answer: Answer) -> None:
        """Read an answer to another request to its end and await the next one."""
        await answer.body()
        old = self.channel.state
        data, _ = old.trailing_data
        state = h11.Connection(h11.CLIENT)
        state.send(h11.Request(method=self.message.method, target="/", headers=[("host", "-")]))
        state.send(h11.EndOfMessage())
        if data:
            state.receive_data(data)
        self.channel.state = state

    async def pass_on(self, answer: Answer, info: AnswerInfo) -> Outcome:
        """Pass a stream on, event by event."""
        await self.stream.start(answer)
        events = Events(self.stream.last)
        while (piece := await self.next_piece(answer)) is not None:
            self.endpoint.last_byte_at = time.monotonic()
            for event in events.feed(piece):
                await self.stream.write(event)
                self.stream.last = events.last
        if events.partial:
            raise InconsistentResponse("the stream ended within an event")
        return Outcome(Result.ANSWERED, "", answer.status, answer.headers, info=info)

    async def next_piece(self, answer: Answer) -> bytes | None:
        """Return the next piece of a stream, or None at its end.

        :raises PeerTimeout: when the endpoint pauses for too long.
        """
        if self.patience is None or self.patience.pause is None:
            return await answer.piece()
        return await self.await_endpoint(self.patience.pause, answer.piece)
