"""A server leaves without a report while one machine stands still and another one restarts."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from fleet import GROWN_BOUNDS, Fleet, main  # noqa: E402

DRAIN_SECONDS = 3.0  # The bound drain-ms of the grown deployments.
WINDOW_SECONDS = 4.0  # Their stability-window-ms.
BEFORE_SECONDS = 23.0  # Longer than the 20 s for which a machine waits for a change at the store.
FREEZE_SECONDS = 2.9
DOWN_SECONDS = 0.05  # From the kill to the start of the other machine.
BETWEEN_SECONDS = 0.03  # Between the freeze, the server's leaving and the kill.
SERVES_ON_SECONDS = 15.0  # The server that leaves; drain-ms "and a little longer (many seconds)".
PAUSE_SECONDS = 0.05  # Of a client between two requests.
CLIENTS = 4  # All in the zone of the machine that stands still, and connected to it.
ROUTERS = 10
FROZEN, RESTARTED = 10, 9
FAR = ("vogar-d", 5.0)  # Their zone and their links, of 5 Mbit/s.


async def traffic(fleet, router, seconds):
    """Send unsafe requests of one client to one machine, one after the other."""
    until = fleet.record.now() + seconds
    number = 0
    while fleet.record.now() < until:
        number += 1
        await fleet.plain_request(router, f"booking {number} at machine {router.number}")
        await asyncio.sleep(PAUSE_SECONDS)


async def trouble_makers(fleet, trouble, in_touch_from):
    """Freeze one machine, remove a server's entry, and kill and start another machine."""
    record = fleet.record
    frozen, restarted = fleet.routers[FROZEN - 1], fleet.routers[RESTARTED - 1]
    await asyncio.sleep(BEFORE_SECONDS)
    if trouble:
        record.write(f"machine {FROZEN} freezes")
        frozen.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(BETWEEN_SECONDS)
    gone_at = record.now()
    leaving = asyncio.create_task(fleet.plain[0].leave(SERVES_ON_SECONDS))
    await asyncio.sleep(BETWEEN_SECONDS)
    if trouble:
        restarted.kill()
        await asyncio.sleep(DOWN_SECONDS)
        restarted.start(first=False)
        in_touch_from[RESTARTED] = restarted.started_at + WINDOW_SECONDS
        await asyncio.sleep(FREEZE_SECONDS - DOWN_SECONDS - 2 * BETWEEN_SECONDS)
        frozen.process.send_signal(signal.SIGCONT)
        in_touch_from[FROZEN] = record.now() + WINDOW_SECONDS
        record.write(f"machine {FROZEN} runs again")
    await leaving
    return gone_at


async def case(record, trouble):
    """Return whether DRAIN held."""
    places = {FROZEN: FAR, RESTARTED: FAR}
    places |= {number: ("keflavik-a", 100.0) for number in range(1, RESTARTED)}
    in_touch_from = {}
    async with Fleet(
        record,
        router_count=ROUTERS,
        server_count=0,
        plain_count=4,
        places=places,
        bounds=GROWN_BOUNDS,
    ) as fleet:
        name = fleet.plain[0].name
        seconds = BEFORE_SECONDS + SERVES_ON_SECONDS + 2.0
        senders = [
            asyncio.create_task(traffic(fleet, fleet.routers[FROZEN - 1], seconds))
            for _ in range(CLIENTS)
        ]
        gone_at = await trouble_makers(fleet, trouble, in_touch_from)
        await asyncio.gather(*senders)
        machines = {answer.id: answer.router.number for answer in fleet.answers}
        late = [
            (at, machines[attempt])
            for at, server, attempt, _ in fleet.arrivals
            if server == name
            and at > gone_at + DRAIN_SECONDS
            and at > in_touch_from.get(machines[attempt], 0.0)
        ]
        lost = [
            answer
            for answer in fleet.answers
            if answer.sent_at > gone_at + DRAIN_SECONDS
            and answer.sent_at > in_touch_from.get(answer.router.number, 0.0)
            and answer.status != 200
        ]
        for at, machine in late:
            record.write(f"late: a request of machine {machine} reached {name} at {at:.3f} s")
        result = (
            f"requests that reached the server later than {DRAIN_SECONDS:g} s after the store "
            f"confirmed that it is gone, by machines in touch: {len(late)}; requests in that time "
            f"that were not served: {len(lost)}"
        )
        record.write(result)
        print(result)
        return not late


main(case, FOLDER)
