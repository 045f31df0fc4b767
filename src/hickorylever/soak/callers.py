"""Simulated callers that send requests to routers and record the responses."""

import random
from dataclasses import dataclass, field

import curio

from .. import http
from ..direct.records import RouteKind
from ..exceptions import ConnectionLost
from ..platform import names
from ..platform.standins.origin import decode_events
from .process import RouterProcess
from .world import (
    API_KEY,
    CALLER_PORT,
    ROUTE_KINDS,
    VIRTUAL_HOST,
    SoakHarness,
    now,
    version_route,
)

DEADLINE_SECONDS = 3.0
COMMON_PART = "a000"  # First part of all prompts.
PART_TOKENS = 20
CONNECTION_REUSE_PROBABILITY = 0.7
DISCONNECT_PROBABILITY = 0.04
LEAVE_STREAM_PROBABILITY = 0.2  # For streams that the caller can take up.
RESUMES = 3
RESUME_DELAYS_SECONDS = (0.0, 0.005, 0.1, 1.0)
DISCONNECT_DELAY_SECONDS = (0.005, 0.1)
CRASHING_PART_PROBABILITY = 0.3
SUBJECT_COUNT = 6
VERSION_ROUTE_PROBABILITY = 0.15  # For the route that only one configuration version has.


@dataclass(slots=True)
class SentRequest:
    """Request and its outcome as seen by the caller. Times are monotonic seconds.

    :param kind: key in `ROUTE_KINDS`.
    :param router: IP address of the router.
    :param router_starts: starts of the router process so far, before and after the request.
    :param version: configuration version whose own route was requested; 0 for a permanent route.
    :param status: status of the response; 0 if there was none.
    :param body: body of the response; None if the response was incomplete.
    :param connected: whether a connection to the router was available.
    :param disconnected: whether the caller disconnected before the response was complete.
    :param parts: ids of the parts of its prompt.
    :param resumes: id of the request that brought the first event of the stream that it takes up;
        empty for a new one.
    :param after: last event of that stream that the caller has.
    :param received: what arrived of the body in any case.
    """

    id: str
    kind: str
    router: str
    started_at: float
    router_starts: tuple[int, int]
    version: int = 0
    ended_at: float = 0.0
    status: int = 0
    body: bytes | None = None
    connected: bool = False
    disconnected: bool = False
    parts: tuple[str, ...] = ()
    resumes: str = ""
    after: int = 0
    received: bytes = b""

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return the ids of the events that arrived, and the versions that wrote them."""
        return decode_events(self.received)

    @property
    def latest_event(self) -> int:
        """Return the last event that the caller has, of all its tries."""
        return self.events[-1][0] if self.events else self.after


@dataclass
class TrafficLog:
    """Requests sent by all callers.

    :param request_ids: ids of all requests, including those whose callers were cancelled.
    :param requests: requests with an outcome.
    """

    request_ids: set[str] = field(default_factory=set)
    requests: list[SentRequest] = field(default_factory=list)


class Caller:
    """Sends requests to random routers, one at a time.

    :param number: identifies the caller in request ids.
    """

    def __init__(self, harness: SoakHarness, traffic: TrafficLog, rng: random.Random, number: int):
        self.harness = harness
        self.traffic = traffic
        self.rng = rng
        self.number = number
        self.client = http.Client()
        self.request_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            router = self.rng.choice(self.harness.routers)
            if self.rng.random() < VERSION_ROUTE_PROBABILITY:
                latest = self.harness.version
                await self.send(router, "safe", max(1, latest - self.rng.randrange(3)))
            else:
                request = await self.send(router, self.rng.choice(tuple(ROUTE_KINDS)))
                await self.resume(request)
            await curio.sleep(self.rng.uniform(0.0, 0.03))

    async def resume(self, request: SentRequest) -> None:
        """Take a stream up at other routers until the caller has all of it, or no more tries."""
        first = request
        for _ in range(RESUMES):
            if request.kind != "resumable" or request.body is not None or not first.events:
                return
            await curio.sleep(self.rng.choice(RESUME_DELAYS_SECONDS))
            router = self.rng.choice(self.harness.routers)
            request = await self.send(
                router, request.kind, resumed=first, after=request.latest_event
            )

    async def send(
        self,
        router: RouterProcess,
        kind: str,
        version: int = 0,
        resumed: SentRequest | None = None,
        after: int = 0,
    ) -> SentRequest:
        """Send a request, record its outcome and return it.

        :param kind: key in `ROUTE_KINDS`.
        :param version: configuration version whose own route is requested; 0 for that of `kind`.
        :param resumed: request that began the stream to take up; None for a new one.
        :param after: last event of that stream that the caller has.
        """
        self.request_count += 1
        request_id = f"{self.number}-{self.request_count}"
        self.traffic.request_ids.add(request_id)
        start_count = router.start_count
        request = SentRequest(
            request_id,
            kind,
            router.ip,
            now(),
            (start_count, start_count),
            version,
            resumes=resumed.id if resumed else "",
            after=after,
        )
        request.parts = resumed.parts if resumed else self.choose_parts(kind)
        probability = LEAVE_STREAM_PROBABILITY if kind == "resumable" else DISCONNECT_PROBABILITY
        disconnects = self.rng.random() < probability and not version
        timeout = (
            self.rng.uniform(*DISCONNECT_DELAY_SECONDS) if disconnects else 2 * DEADLINE_SECONDS
        )
        try:
            async with curio.timeout_after(timeout):
                await self.exchange(request)
        except (ConnectionLost, curio.TaskTimeout):
            request.disconnected = disconnects
        request.ended_at = now()
        request.router_starts = (start_count, router.start_count)
        self.traffic.requests.append(request)
        return request

    def choose_parts(self, kind: str) -> tuple[str, ...]:
        """Return the parts of a prompt: one of all requests, a subject, and one of its own."""
        if ROUTE_KINDS[kind] is not RouteKind.STREAM:
            return ()
        subject = f"b{self.rng.randrange(SUBJECT_COUNT):03x}"
        if self.harness.crashing_part and self.rng.random() < CRASHING_PART_PROBABILITY:
            subject = self.harness.crashing_part
        return COMMON_PART, subject, f"{self.number:04x}{self.request_count:08x}"

    async def exchange(self, request: SentRequest) -> None:
        """Send a request on a reused or new connection and read the response.

        :raises ConnectionLost: if the connection fails before the response is complete.
        """
        fresh = self.rng.random() > CONNECTION_REUSE_PROBABILITY
        headers = [
            (names.ATTEMPT_ID, request.id.encode()),
            (names.DEADLINE, b"%d" % (DEADLINE_SECONDS * 1000)),
            (b"authorization", f"Bearer {API_KEY}".encode()),
        ]
        if request.parts:
            prefix = ",".join(f"{part}:{PART_TOKENS}" for part in request.parts)
            headers.append((names.PREFIX, prefix.encode()))
        if request.resumes:
            headers.append((names.RESUMES, request.resumes.encode()))
            headers.append((names.LAST_EVENT, b"%d" % request.after))
        channel = await self.client.acquire(request.router, CALLER_PORT, fresh)
        request.connected = True
        try:
            path = request_path(request.kind, request.version)
            await self.client.send_request(channel, "POST", path, headers, b"soak", VIRTUAL_HOST)
            response = await self.client.receive_response(channel)
            request.status = response.status
            async for block in response.iter_bytes():
                request.received += block
            request.body = request.received
        except BaseException:
            await channel.close()
            raise
        await self.client.release(request.router, CALLER_PORT, channel)


def request_path(kind: str, version: int) -> str:
    """Return the path of a request of a kind, or for the route of a version."""
    if version:
        return f"/{version_route(version)}/x"
    return f"/{kind}/stream/x" if ROUTE_KINDS[kind] is RouteKind.STREAM else f"/{kind}/x"
