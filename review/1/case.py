"""One engine in trouble sends bytes that are no event, in small chunks and without end."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import ENGINE, PLAIN, TROUBLE, Server, configuration, main, route

PIECE_BYTES = 55  # As the pieces of the streams on the site.
CHUNK = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
TROUBLE_SECONDS = 5.0  # `srv_grey` on the site lasts longer.
AFTER_SECONDS = 15.0
CALLER_LIMIT_SECONDS = 1.5
TIMEOUT_SECONDS = 0.8  # `timeout-ms` of the plain routes.


class TroubledEngine(Server):
    """An engine whose answers, while it is in trouble, are endless bytes and no event."""

    troubled = False

    async def stream(self, writer, headers, fields):
        if not self.troubled:
            await super().stream(writer, headers, fields)
            return
        fields |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in fields.items())]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.fleet.record.say(
            "endless", server=self.name, attempt=fields["Hickorylever-Attempt-Id"]
        )
        while True:
            writer.write(CHUNK * 1024)
            await writer.drain()
            await asyncio.sleep(0.001)  # The other stand-ins run in this process, too.


async def plain_client(fleet, number, results):
    while True:
        at = time.monotonic()
        router = fleet.routers[number % fleet.size]
        answer = await fleet.send(
            router, "GET", "/stodulestur/2f", 1500, wait=CALLER_LIMIT_SECONDS
        )
        results.append((at, time.monotonic() - at, answer.status))
        await asyncio.sleep(0.1)


async def probe(router, gaps):
    """Ask whether a router is ready, as the platform does, and note how long no 200 came."""
    last = time.monotonic()
    while True:
        if await router.ready():
            gaps.append(time.monotonic() - last)
            last = time.monotonic()
        gaps.append(time.monotonic() - last)
        await asyncio.sleep(1.0)


async def watch_own_loop(delays):
    """Note by how much the stand-ins themselves are late."""
    while True:
        at = time.monotonic()
        await asyncio.sleep(0.05)
        delays.append(time.monotonic() - at - 0.05)


async def stream_client(fleet, number):
    while True:
        await fleet.send(
            fleet.routers[number % fleet.size],
            "POST",
            "/linuprof/2f",
            3000,
            b"x" * 2400,
            Hickorylever_Model="m",
            Hickorylever_Token_Usage="2400,25",
            Hickorylever_Prompt_Prefix=f"5c1e07a2:341,{fleet.rng.getrandbits(32):08x}:2059",
        )
        await asyncio.sleep(0.3)


async def case(fleet):
    tag = route(
        "linuprof",
        "streaming",
        ENGINE["name"],
        **{
            "session-affinity": True,
            "target-latency-ms": 600,
            "target-gap-ms": 400,
            "timeout-ms": 3000,
            "max-attempts": 1,
        },
    )
    lookup = route(
        "stodulestur", "safe", PLAIN["name"], **{"timeout-ms": int(TIMEOUT_SECONDS * 1000)}
    )
    await fleet.start(configuration(7, [tag, lookup], [ENGINE, PLAIN]))
    engines = [
        TroubledEngine(fleet, f"i-e{n}", ENGINE["name"], events=5, event_seconds=0.02)
        for n in range(6)
    ]
    for server in engines + [Server(fleet, f"i-p{n}", PLAIN["name"], slots=6) for n in range(4)]:
        await server.start()
    if not await fleet.start_routers():
        raise RuntimeError("the routers are not ready")
    await asyncio.sleep(4.0)
    results, gaps, delays = [], [], []
    own_loop = asyncio.create_task(watch_own_loop(delays))
    tasks = [asyncio.create_task(probe(router, gaps)) for router in fleet.routers]
    tasks += [asyncio.create_task(plain_client(fleet, n, results)) for n in range(8)]
    tasks += [asyncio.create_task(stream_client(fleet, n)) for n in range(6)]
    await asyncio.sleep(4.0)
    engines[0].troubled = TROUBLE
    await asyncio.sleep(TROUBLE_SECONDS)
    engines[0].troubled = False
    await asyncio.sleep(AFTER_SECONDS)
    for task in [*tasks, own_loop]:
        task.cancel()
    fleet.record.say("stand-ins late by at most", seconds=f"{max(delays):.3f}")
    if max(delays) > 0.4:
        raise RuntimeError("the stand-ins themselves were too slow")
    open_at_timeout = [seconds for _, seconds, _ in results if seconds > TIMEOUT_SECONDS]
    late = [seconds for seconds in open_at_timeout if seconds > TIMEOUT_SECONDS + 0.5]
    served = sum(status == 200 for _, _, status in results)
    return fleet.record.end(
        len(late) * 2 > len(open_at_timeout),
        f"CONFIG: of {len(results)} lookups, {len(open_at_timeout)} had no answer"
        f" at their timeout-ms, and {len(late)} of these none half a second later;"
        f" {served} were served;"
        f" a router did not say that it is ready for up to {max(gaps):.1f} s",
    )


main(case, Path(__file__).parent, 2)
