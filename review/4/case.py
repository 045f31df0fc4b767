"""Streams broken off by the end of all routers while a release replaces their servers."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import ENGINE, TROUBLE, Server, configuration, main, route

STREAMS = 20
DOWN_SECONDS = 2.6  # As in rejoined.toml.
TRIES = 5
RETRY_SECONDS = 0.8  # Where the answer names no time.
LIMIT_MS = 15000


async def client(fleet, number, results):
    """Ask for a stream, and take it up with Last-Event-Id until it is whole."""
    ends = time.monotonic() + LIMIT_MS / 1000
    events, first = [], ""
    for attempt in range(TRIES):
        left = int((ends - time.monotonic()) * 1000)
        if left <= 0:
            break
        headers = {}
        if events:
            headers = {"Last_Event_Id": str(events[-1][0]), "Resumes": first}
        router = fleet.routers[(number + attempt) % fleet.size]
        answer = await fleet.send(
            router,
            "POST",
            "/afgreidsla/2f",
            left,
            b"x" * 830,
            **headers,
            Hickorylever_Model="m",
            Hickorylever_Token_Usage="829,290",
            Hickorylever_Prompt_Prefix=f"5c1e07a2:119,{number:08x}:710",
        )
        if answer.status == 200:
            if not events and answer.events:
                first = answer.attempt
            events += answer.events
            if answer.complete:
                results.append((number, events))
                return
        await asyncio.sleep(float(answer.headers.get("retry-after", RETRY_SECONDS)))


async def case(fleet):
    stream = route(
        "afgreidsla",
        "streaming",
        ENGINE["name"],
        **{
            "resumable": True,
            "session-affinity": True,
            "target-latency-ms": 500,
            "target-gap-ms": 400,
        },
    )
    await fleet.start(configuration(7, [stream], [ENGINE]))
    old = [Server(fleet, f"i-a{n}", ENGINE["name"], "v1") for n in range(4)]
    for server in old:
        await server.start()
    if not await fleet.start_routers():
        raise RuntimeError("the routers are not ready")
    await asyncio.sleep(3.0)
    results = []
    clients = []
    for number in range(STREAMS):
        clients.append(asyncio.create_task(client(fleet, number, results)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    if TROUBLE:
        for router in fleet.routers:
            router.kill()
    killed_at = time.monotonic()
    await asyncio.sleep(0.1)
    for n in range(4):
        await Server(fleet, f"i-b{n}", ENGINE["name"], "v2").start()
    drains = [asyncio.create_task(server.drain()) for server in old]
    if TROUBLE:
        await asyncio.sleep(killed_at + DOWN_SECONDS - time.monotonic())
        for router in fleet.routers:
            router.start()
    await asyncio.gather(*clients, *drains)
    joined = 0
    for number, events in results:
        versions = {version for _, version in events}
        numbers = [event for event, _ in events]
        whole = numbers == list(range(1, len(numbers) + 1))
        fleet.record.say(
            "stream", number=number, versions=sorted(versions), events=len(events), in_order=whole
        )
        joined += len(versions) > 1
    return fleet.record.end(
        joined > 2,  # As issue 31 states the rule: more than two streams.
        f"ORDER: {joined} of {STREAMS} streams were answered 200 to the end with"
        f" pieces of two versions; {len(results)} ended whole",
    )


main(case, Path(__file__).parent, 3)
