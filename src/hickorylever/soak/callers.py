"""Callers that keep their connections while they can, and note what they got."""

import random
from dataclasses import dataclass, field

import curio

from .. import http
from ..direct.records import RouteKind
from ..exceptions import ConnectionLost
from ..platform import names
from .world import FRONT_PORT, KEY, KINDS, SITE, RouterProcess, World, now, version_route

TIME_LIMIT = 3.0  # Seconds.
KEEP_SHARE = 0.7  # Of requests that reuse their caller's connection.
LEAVE_SHARE = 0.04  # Of requests whose caller leaves early.
LEAVE_AFTER = (0.005, 0.1)  # Seconds.
VERSION_SHARE = 0.15  # Of requests for the route of one version.


@dataclass(slots=True)
class Sent:
    """A request and what its caller got. Times are monotonic seconds.

    :param router: where it went, and the number of that router's process before and after.
    :param version: of the configuration whose own route it asked for; 0 for a lasting route.
    :param status: 0 without an answer.
    :param body: None where the answer was not whole.
    :param connected: a connection was there to send it on.
    :param left: its caller left early.
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
    """All that callers saw.

    :param asked: ids of all requests, also of those whose callers were stopped.
    """

    asked: set[str] = field(default_factory=set)
    sent: list[Sent] = field(default_factory=list)


class Caller:
    """Sends requests one after the other."""

    def __init__(self, world: World, record: Record, chance: random.Random, name: int):
        self.world = world
        self.record = record
        self.chance = chance
        self.name = name
        self.client = http.Client()
        self.count = 0

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            router = self.chance.choice(self.world.routers)
            if self.chance.random() < VERSION_SHARE:
                newest = self.world.version
                await self.send(router, "safe", max(1, newest - self.chance.randrange(3)))
            else:
                await self.send(router, self.chance.choice(tuple(KINDS)))
            await curio.sleep(self.chance.uniform(0.0, 0.03))

    async def send(self, router: RouterProcess, kind: str, version: int = 0) -> Sent:
        """Send one request and note what came of it."""
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
        """Send a request on a kept or a new connection and read the answer."""
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
    """Return the path of a request."""
    if version:
        return f"/{version_route(version)}/x"
    return f"/{kind}/stream/x" if KINDS[kind] is RouteKind.STREAM else f"/{kind}/x"
