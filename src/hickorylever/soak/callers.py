"""Simulated callers that send requests to routers and record the responses."""

import random
from dataclasses import dataclass, field

import curio

from .. import http
from ..direct.records import RouteKind
from ..exceptions import ConnectionLost
from ..platform import names
from .world import FRONT_PORT, KEY, KINDS, SITE, RouterProcess, World, now, version_route

TIME_LIMIT = 3.0
KEEP_SHARE = 0.7  # Requests that may reuse a connection of their caller.
LEAVE_SHARE = 0.04  # Requests whose caller disconnects early.
LEAVE_AFTER = (0.005, 0.1)
VERSION_SHARE = 0.15  # Requests for a route that only one configuration version has.


@dataclass(slots=True)
class Sent:
    """Request and its outcome as seen by the caller. Times are monotonic seconds.

    :param kind: key in `KINDS`.
    :param router: IP address of the router.
    :param starts: how often the router process had been started, before and after the request.
    :param version: configuration version whose own route was requested; 0 for a permanent route.
    :param status: status of the response; 0 if there was none.
    :param body: body of the response; None if the response was incomplete.
    :param connected: whether a connection to the router was available.
    :param left: whether the caller disconnected before the response was complete.
    """

    id: str
    kind: str
    router: str
    began: float
    starts: tuple[int, int]
    version: int = 0
    ended: float = 0.0
    status: int = 0
    body: bytes | None = None
    connected: bool = False
    left: bool = False


@dataclass
class Record:
    """Requests sent by all callers.

    :param asked: ids of all requests, including those whose callers were cancelled.
    :param sent: requests with an outcome.
    """

    asked: set[str] = field(default_factory=set)
    sent: list[Sent] = field(default_factory=list)


class Caller:
    """Sends requests to random routers, one at a time.

    :param name: identifies the caller in request ids.
    """

    def __init__(self, world: World, record: Record, chance: random.Random, name: int):
        self.world = world
        self.record = record
        self.chance = chance
        self.name = name
        self.client = http.Client()
        self.count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            router = self.chance.choice(self.world.routers)
            if self.chance.random() < VERSION_SHARE:
                newest = self.world.version
                await self.send(router, "safe", max(1, newest - self.chance.randrange(3)))
            else:
                await self.send(router, self.chance.choice(tuple(KINDS)))
            await curio.sleep(self.chance.uniform(0.0, 0.03))

    async def send(self, router: RouterProcess, kind: str, version: int = 0) -> Sent:
        """Send a request, record its outcome and return it.

        :param kind: key in `KINDS`.
        :param version: configuration version whose own route is requested; 0 for that of `kind`.
        """
        self.count += 1
        request_id = f"{self.name}-{self.count}"
        self.record.asked.add(request_id)
        starts = router.starts
        sent = Sent(request_id, kind, router.ip, now(), (starts, starts), version)
        leaves = self.chance.random() < LEAVE_SHARE and not version
        patience = self.chance.uniform(*LEAVE_AFTER) if leaves else 2 * TIME_LIMIT
        try:
            async with curio.timeout_after(patience):
                await self.exchange(sent)
        except (ConnectionLost, curio.TaskTimeout):
            sent.left = leaves
        sent.ended = now()
        sent.starts = (starts, router.starts)
        self.record.sent.append(sent)
        return sent

    async def exchange(self, sent: Sent) -> None:
        """Send a request on a reused or new connection and read the response.

        :raises ConnectionLost: if the connection fails before the response is complete.
        """
        fresh = self.chance.random() > KEEP_SHARE
        fields = [
            (names.ATTEMPT_ID, sent.id.encode()),
            (names.DEADLINE, b"%d" % (TIME_LIMIT * 1000)),
            (b"authorization", f"Bearer {KEY}".encode()),
        ]
        channel = await self.client.acquire(sent.router, FRONT_PORT, fresh)
        sent.connected = True
        try:
            path = request_path(sent.kind, sent.version)
            await self.client.send_request(channel, "POST", path, fields, b"soak", SITE)
            answer = await self.client.receive_response(channel)
            sent.status = answer.status
            sent.body = await answer.body()
        except BaseException:
            await channel.close()
            raise
        await self.client.release(sent.router, FRONT_PORT, channel)


def request_path(kind: str, version: int) -> str:
    """Return the path of a request of a kind, or for the route of a version."""
    if version:
        return f"/{version_route(version)}/x"
    return f"/{kind}/stream/x" if KINDS[kind] is RouteKind.STREAM else f"/{kind}/x"
