"""A single attempt to forward a request to one endpoint, and its outcome."""

import contextlib
import enum
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio
import h11

from ..events import Event, log
from ..exceptions import ConnectionLost, InconsistentResponse, PeerRefused, PeerTimeout, Ran
from ..http import Channel, Client, ClientResponse, header
from .endpoints import Endpoint
from .records import NOT_RUN_STATUSES, AnswerInfo
from .sends import Match, Send, Sends
from .sse import EventParser
from .timeouts import RETRY_CHECK_INTERVAL_SECONDS, ResponseTimeouts

ENDPOINT_CONNECT_SECONDS = 0.3
MAX_IDLE_SECONDS = 0.5  # Of a reused connection, for requests that may not be repeated.
MAX_STALE_RESPONSES = 2
MAX_PARSED_BYTES = 8 * 1024  # Of a stream at once, until other tasks run.
BEGUN_EVENTS = 3  # With so many events, or all of them, a stream has begun without a crash.
MAX_DISCARDED_BYTES = 64 * 1024  # Of a body that no caller gets.
DISCARD_SECONDS = 0.2  # For the body of a rejection, whose head has said everything.


class Result(enum.Enum):
    """Result of an attempt."""

    ANSWERED = "answered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    BROKEN = "broken"
    EXPIRED = "expired"


CONNECTION_FAILURES = frozenset((Result.NOT_SENT, Result.LOST, Result.BROKEN))


@dataclass(slots=True)
class Outcome:
    """Outcome of an attempt.

    :param status: HTTP status of the endpoint's own response; 0 if there was none.
    :param body: body of a response that was not streamed.
    :param refused: the endpoint refused a connection, so that its process has ended.
    :param lost_early: the connection failed before the endpoint had written much of its answer.
    :param connection_lost: the connection failed, other than by silence.
    """

    result: Result
    detail: str = ""
    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    info: AnswerInfo | None = None
    lost_early: bool = False
    connection_lost: bool = False
    refused: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """The request as it is sent to an endpoint."""

    request_id: str
    method: str
    target: str
    host: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Attempt:
    """Sends one request to one endpoint and reads the response.

    :param stream: receives the head and the events of a streamed response.
    :param deadline: monotonic seconds.
    :param sends: all sends of the request, to which this attempt adds its own.
    :param timeouts: response timeouts; None to wait until the deadline.
    :param on_head: called with what the head of the response says.
    :param on_begun: called when the endpoint has written much of its answer.
    :param read_body: reads a complete body.
    """

    def __init__(
        self,
        client: Client,
        endpoint: Endpoint,
        upstream_request: UpstreamRequest,
        read_answer,
        stream,
        deadline: float,
        sends: Sends,
        timeouts: ResponseTimeouts | None = None,
        on_head: Callable[[AnswerInfo], None] = lambda info: None,
        on_begun: Callable[[], None] = lambda: None,
        read_body: Callable[[ClientResponse], Awaitable[bytes]] = ClientResponse.body,
    ):
        self.client = client
        self.endpoint = endpoint
        self.upstream_request = upstream_request
        self.read_answer = read_answer
        self.stream = stream
        self.deadline = deadline
        self.sends = sends
        self.timeouts = timeouts
        self.on_head = on_head
        self.on_begun = on_begun
        self.read_body = read_body
        self.send: Send | None = None
        self.begun = False
        self.channel: Channel | None = None

    async def run(self) -> Outcome:
        """Run the attempt and return its outcome.

        The connection is returned to the pool after a complete exchange and closed otherwise.
        """
        entry = self.endpoint.entry
        left = self.deadline - time.monotonic()
        if left <= 0:  # Such as after the process was paused.
            return Outcome(Result.EXPIRED, "the deadline passed before the request was sent")
        try:
            async with curio.timeout_after(left):
                outcome = await self.round_trip()
        except curio.TaskTimeout:
            outcome = Outcome(Result.EXPIRED, "the deadline passed")
        except (ConnectionLost, h11.ProtocolError, InconsistentResponse) as error:
            outcome = Outcome(self.failure_result(), str(error) or repr(error))
            lost = isinstance(error, ConnectionLost) and not isinstance(error, PeerTimeout)
            outcome.connection_lost = lost
            outcome.lost_early = lost and not self.begun
            outcome.refused = isinstance(error, PeerRefused)
        except BaseException:
            await self.close()
            raise
        if outcome.result in (Result.LOST, Result.BROKEN, Result.EXPIRED, Result.NOT_SENT):
            await self.close()
        elif self.channel is not None:
            await self.client.release(entry.address, entry.port, self.channel)
        return outcome

    def failure_result(self) -> Result:
        """Return the result of an attempt whose connection failed."""
        if self.send is None:
            return Result.NOT_SENT
        return Result.BROKEN if self.stream is not None and self.stream.started else Result.LOST

    async def close(self) -> None:
        """Reset the connection so that the endpoint stops processing the request."""
        if self.channel is not None:
            await self.channel.abort()
            self.channel = None

    async def round_trip(self) -> Outcome:
        """Send the request and read the response.

        :raises ConnectionLost: if the connection can't be opened or fails.
        :raises InconsistentResponse: if the response is invalid or not from the endpoint.
        """
        entry = self.endpoint.entry
        self.channel = await self.client.acquire(
            entry.address,
            entry.port,
            # A response on a used connection that names no request may be one to another.
            fresh=not self.upstream_request.request_id,
            max_idle=float("inf") if self.sends.repeatable else MAX_IDLE_SECONDS,
            timeout=ENDPOINT_CONNECT_SECONDS,
            avoid=self.sends.channels,
        )
        if not self.endpoint.wants_requests(time.monotonic()):
            raise ConnectionLost("the endpoint wants no requests since it was chosen")
        upstream_request = self.upstream_request
        self.send = self.sends.begin(upstream_request.request_id, self.endpoint.name, self.channel)
        await self.client.send_request(
            self.channel,
            upstream_request.method,
            upstream_request.target,
            upstream_request.headers,
            upstream_request.body,
            upstream_request.host,
        )
        response, info = await self.matching_response()
        self.on_head(info)
        if self.send.accept_rejection(info):
            await self.skip_body(response)
            return Outcome(Result.NOT_RUN, f"status {info.status}", info.status, info=info)
        if info.encoded or (info.status < 300 and not info.stamped):
            raise InconsistentResponse(
                "the response was altered or did not come from the endpoint"
            )
        if self.is_stream(response):
            return await self.relay_stream(response, info)
        if self.stream is not None and self.stream.started:
            raise InconsistentResponse(
                f"the request to resume a stream returned status {response.status}"
            )
        body = await self.read_body(response)
        if response.status < 300:
            self.mark_begun()
        self.send.ran = Ran.YES
        failed = response.status >= 500 or response.status in NOT_RUN_STATUSES
        result = Result.FAILED if failed else Result.ANSWERED
        return Outcome(result, "", response.status, response.headers, body, info)

    def mark_begun(self) -> None:
        """Record that the endpoint has written much of its answer."""
        if not self.begun:
            self.begun = True
            self.on_begun()

    async def skip_body(self, response: ClientResponse) -> None:
        """Read the body of a rejection to its end, or close the connection if it has none soon."""
        with contextlib.suppress(ConnectionLost):
            async with curio.ignore_after(DISCARD_SECONDS):
                await response.skip(MAX_DISCARDED_BYTES)
        if not response.complete:
            await self.close()

    def is_stream(self, response: ClientResponse) -> bool:
        """Return whether a response is relayed event by event."""
        content_type = header(response.headers, b"content-type")
        return (
            self.stream is not None
            and response.status == 200
            and content_type.startswith(b"text/event-stream")
        )

    async def matching_response(self) -> tuple[ClientResponse, AnswerInfo]:
        """Return the response to this request, discarding late responses to earlier ones.

        :raises InconsistentResponse: if too many responses belong to other requests, or if a
            rejection may belong to another one.
        """
        for _ in range(MAX_STALE_RESPONSES + 1):
            response = await self.next_response()
            self.endpoint.last_byte_at = time.monotonic()
            info = self.read_answer(response.status, response.headers)
            match = self.send.match(info)
            if match is Match.OWN:
                return response, info
            if match is Match.AMBIGUOUS:
                raise InconsistentResponse("a response names no request on a used connection")
            self.log_discarded(info)
            await self.discard(response)
        raise InconsistentResponse("the connection delivered only responses to other requests")

    def log_discarded(self, info: AnswerInfo) -> None:
        """Log a response to another request."""
        log(
            Event.RESPONSE_DISCARDED,
            info.request_id,
            request=self.upstream_request.request_id,
            endpoint=self.endpoint.name,
            status=info.status,
            **self.send.log_fields(),
        )

    async def next_response(self) -> ClientResponse:
        """Return the head of the next response.

        :raises PeerTimeout: if it takes too long and the request can be retried elsewhere.
        """
        if self.timeouts is None:
            return await self.client.receive_response(self.channel)
        left = max(0.0, self.timeouts.respond_by - time.monotonic())
        return await self.await_data(left, self.client.receive_response, self.channel)

    async def await_data(self, seconds: float, receive, *arguments):
        """Await data from the endpoint.

        :param seconds: timeout, after which the endpoint is abandoned as soon as the request can
            be retried on another one.
        :raises PeerTimeout: if the endpoint is abandoned.
        """
        while True:
            async with curio.ignore_after(seconds):
                return await receive(*arguments)
            if self.timeouts.can_retry():
                raise PeerTimeout("the endpoint sent no data in time")
            seconds = RETRY_CHECK_INTERVAL_SECONDS

    async def discard(self, response: ClientResponse) -> None:
        """Read a response to another request to its end and prepare to parse the next one."""
        await response.skip(MAX_DISCARDED_BYTES)
        old = self.channel.protocol
        data, _ = old.trailing_data
        state = h11.Connection(h11.CLIENT)
        state.send(
            h11.Request(method=self.upstream_request.method, target="/", headers=[("host", "-")])
        )
        state.send(h11.EndOfMessage())
        if data:
            state.receive_data(data)
        self.channel.protocol = state

    async def relay_stream(self, response: ClientResponse, info: AnswerInfo) -> Outcome:
        """Relay a stream event by event.

        :raises ConnectionLost: if the connection ends within the stream.
        :raises InconsistentResponse: if the stream ends within an event or an event is missing.
        """
        await self.stream.start(response)
        parser = EventParser(self.stream.last_event_id, self.stream.change_partial)
        try:
            await self.relay_events(response, parser)
            check_end(response, parser)
        finally:
            parser.close()
        self.mark_begun()
        self.send.ran = Ran.YES
        return Outcome(Result.ANSWERED, "", response.status, response.headers, info=info)

    async def relay_events(self, response: ClientResponse, parser: EventParser) -> None:
        """Relay events until the stream ends.

        :raises ConnectionLost: if the connection ends within the stream.
        :raises InconsistentResponse: if an event is malformed or missing.
        """
        idle_since = time.monotonic()
        while (chunk := await self.next_chunk(response, idle_since)) is not None:
            seen = parser.numbered_count
            for start in range(0, len(chunk), MAX_PARSED_BYTES):
                if start:
                    await curio.sleep(0)
                if events := parser.feed(chunk[start : start + MAX_PARSED_BYTES]):
                    await self.stream.write(events)
                    self.stream.last_event_id = parser.last_id
            if parser.numbered_count > seen:
                response.record_progress()
                idle_since = self.endpoint.last_byte_at = time.monotonic()
            if parser.numbered_count >= BEGUN_EVENTS:
                self.mark_begun()

    async def next_chunk(self, response: ClientResponse, idle_since: float) -> bytes | None:
        """Return the next chunk of a stream, or None at its end.

        :param idle_since: monotonic seconds of the latest event with an id. Other bytes don't
            count, as a stalled endpoint may still send some.
        :raises PeerTimeout: if the endpoint pauses for too long.
        """
        if self.timeouts is None or self.timeouts.idle_timeout is None:
            return await response.read_bytes()
        left = idle_since + self.timeouts.idle_timeout - time.monotonic()
        if left <= 0 and self.timeouts.can_retry():
            raise PeerTimeout("the endpoint sent no complete event in time")
        return await self.await_data(max(0.0, left), response.read_bytes)


def check_end(response: ClientResponse, parser: EventParser) -> None:
    """Check that a stream has not ended too early.

    Where only the end of the connection ends it, a stream that has no event was broken off.

    :raises ConnectionLost: if the connection ended within the stream.
    :raises InconsistentResponse: if the stream ended within an event.
    """
    if response.end_is_verifiable():
        if parser.partial:
            raise InconsistentResponse("the stream ended within an event")
    elif parser.partial or not parser.numbered_count:
        raise ConnectionLost("the connection ended within the stream")
