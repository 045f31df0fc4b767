"""The store is down for some seconds, and a server leaves some seconds after its return."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from fleet import (  # noqa: E402
    BROKEN,
    HELD,
    TENANT,
    Fleet,
    ask,
    encode,
    has_trouble,
    main,
    plain_route,
    plain_service,
)

ROUTERS = 3
SERVERS = 4
WORK_SECONDS = 0.045
DOWN_SECONDS = 4.5  # The site's `platform_down` with `silent`.
STABLE_SECONDS = 4.0  # After its return; `stability-window-ms` is 3,000.
DRAIN_SECONDS = 2.0  # `drain-ms`.
SERVES_ON_SECONDS = 6.0  # From its report until the server exits.
AFTER_SECONDS = 9.0
INTERVAL_SECONDS = 0.04


async def run(server, request, headers, writer) -> None:
    """Book a posting."""
    assert request.headers.get("hickorylever-tenant") == TENANT
    await asyncio.sleep(WORK_SECONDS)
    writer.write(encode("HTTP/1.1 200 OK", headers, b"x" * 800))


async def call(fleet: Fleet, number: int, counts: dict) -> None:
    """Send one posting and record the answer."""
    router = fleet.routers[number % ROUTERS]
    request_id = f"posting-{number:04d}"
    answer = await ask(router, "POST", "/bokhald/1", request_id)
    key = f"{answer.status}{'' if answer.complete else ' incomplete'}"
    counts[key] = counts.get(key, 0) + 1
    fleet.record.write(f"client: {request_id} at router {router.number} got {key}")


async def send_all(fleet: Fleet, counts: dict) -> None:
    """Send postings until cancelled."""
    async with asyncio.TaskGroup() as group:
        number = 0
        while True:
            number += 1
            group.create_task(call(fleet, number, counts))
            await asyncio.sleep(INTERVAL_SECONDS)


async def case() -> int:
    """Play the case and return its result."""
    counts: dict[str, int] = {}
    async with Fleet(FOLDER, ROUTERS) as fleet:
        for number in range(1, SERVERS + 1):
            await fleet.add_server(f"i-{number}", "bokhald", run, 6)
        routes = [plain_route("postings", "/bokhald/", "unsafe", "bokhald")]
        fleet.put_config(1, routes, [plain_service("bokhald")])
        await fleet.start_routers()
        traffic = asyncio.create_task(send_all(fleet, counts))
        await asyncio.sleep(2.0)
        if has_trouble():
            fleet.store.down = True
            fleet.record.write("store: down, silent")
        await asyncio.sleep(DOWN_SECONDS)
        fleet.store.down = False
        fleet.record.write("store: serves")
        await asyncio.sleep(STABLE_SECONDS)
        leaving = fleet.servers[0]
        confirmed_at = await leaving.drain(SERVES_ON_SECONDS)
        await asyncio.sleep(AFTER_SECONDS)
        traffic.cancel()
        await asyncio.wait([traffic])
    late = [name for at, name in leaving.arrivals if at > confirmed_at + DRAIN_SECONDS]
    last = max((at for at, _ in leaving.arrivals), default=confirmed_at)
    print(f"answers: {counts}")
    print(
        f"requests that reached {leaving.name} later than {DRAIN_SECONDS} s after the store"
        f" had accepted its leaving: {len(late)}, the last one {last - confirmed_at:.2f} s after"
    )
    assert counts.get("200"), "nothing was served"
    return BROKEN if late else HELD


main(case)
