"""A planned stop in calm, with requests on kept and new connections through the whole grace."""

import dataclasses
import random
import signal
from collections import defaultdict

import curio
import pytest

from hickorylever import http
from hickorylever.exceptions import ConnectionLost
from hickorylever.platform import names
from hickorylever.soak import world
from hickorylever.soak.world import API_KEY, CALLER_PORT, VIRTUAL_HOST, SoakHarness, now

GRACE_SECONDS = 8.0
LAST_SEND_SECONDS = 3.0  # Requests passed on later than this after SIGTERM must be answered.
LAST_SIXTH_SECONDS = GRACE_SECONDS * 5 / 6
CALLERS = 24


@dataclasses.dataclass
class Sent:
    """A request: when it was sent, in seconds after SIGTERM, and whether its answer was whole."""

    id: str
    at: float
    answered: bool = False
    connected: bool = False


def run_time(run):
    return run.time


async def call(router, rng, number, began, sent):
    """Send requests on a kept connection, or a new one, until the process has ended."""
    client = http.Client()
    count = 0
    while now() < began[0] + GRACE_SECONDS + 1.0:
        count += 1
        request = Sent(f"{number}-{count}", now() - began[0])
        fields = [
            (names.ATTEMPT_ID, request.id.encode()),
            (names.DEADLINE, b"12000"),
            (b"authorization", f"Bearer {API_KEY}".encode()),
        ]
        path = rng.choice(("/unsafe/x", "/safe/x", "/stream/stream/x", "/resumable/stream/x"))
        try:
            channel = await client.acquire(router.ip, CALLER_PORT, rng.random() < 0.3)
        except ConnectionLost:
            await curio.sleep(0.05)
            continue
        request.connected = True
        sent.append(request)
        try:
            await client.send_request(channel, "POST", path, fields, b"x", VIRTUAL_HOST)
            response = await client.receive_response(channel)
            await response.body()
            request.answered = True
            await client.release(router.ip, CALLER_PORT, channel)
        except ConnectionLost:
            await channel.close()
        await curio.sleep(rng.uniform(0.0, 0.1))


@pytest.mark.parametrize("work", [0.05, 4.0, 7.0])
def test_a_planned_stop_cuts_no_request_that_it_took_late(work, monkeypatch):
    """Requests that came late in the grace were passed on and cut at its end, with no answer."""
    make_route = world.make_route
    monkeypatch.setattr(
        world,
        "make_route",
        lambda name, kind: dataclasses.replace(make_route(name, kind), timeout=12.0),
    )

    async def main():
        async with SoakHarness(1) as harness:
            for origin in harness.origins:
                origin.events = 2
                origin.pause = work / 2
            (router,) = harness.routers
            began = [now() + 1.5]
            sent = []
            async with curio.TaskGroup() as group:
                for number in range(CALLERS):
                    await group.spawn(call, router, random.Random(number), number, began, sent)
                await curio.sleep(began[0] - now())
                router.signal(signal.SIGTERM)
                await curio.sleep(GRACE_SECONDS)
                router.signal(signal.SIGKILL)
            return harness, began[0], sent

    harness, began, sent = curio.run(main)
    runs = defaultdict(list)  # Repeatable requests may have several.
    for run in sorted((run for origin in harness.origins for run in origin.runs), key=run_time):
        runs[run.request_id].append(run.time - began)
    cut = [request for request in sent if request.id in runs and not request.answered]
    allowed = [
        request
        for request in cut
        if request.at <= LAST_SEND_SECONDS and runs[request.id][-1] + work >= LAST_SIXTH_SECONDS
    ]
    last_begun = max(times[0] for times in runs.values())
    print(f"{len(sent)} sent, last one begun {last_begun:.2f} s after SIGTERM; cut:")
    for request in cut:
        print(f"{request.id} sent at {request.at:.2f}, runs at {runs[request.id]}")
    assert [request for request in cut if request not in allowed] == []
    assert 0.5 < last_begun <= LAST_SEND_SECONDS
