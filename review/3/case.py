"""A second, late copy of a rejection, on the connection on which the request is sent once more."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import PLAIN, TROUBLE, Server, configuration, main, message, route

SECONDS = 95.0
PERIOD_SECONDS = 0.4  # In each, other callers take all slots for a moment.
FULL_SECONDS = 0.06
COPIED_RATIO = 0.02  # Share of its answers that the faulty server sends twice (`garble`, x).
CLIENTS = 3


class SharedServer(Server):
    """A plain server that is full now and then, and says when it wants requests again.

    :ivar garbles: whether it is faulty: it sends some answers once more, late.
    :ivar copies: number of answers that it has sent once more.
    """

    garbles = False
    copies = 0

    def full_for(self):
        """Return the seconds for which it is still full."""
        return max(
            0.0, FULL_SECONDS - (time.monotonic() - self.fleet.record.began) % PERIOD_SECONDS
        )

    async def answer(self, reader, writer, method, headers, connection):
        if copy := connection.pop("copy", b""):
            self.copies += 1
            self.fleet.record.say(
                "late copy",
                server=self.name,
                status=copy[9:12].decode(),
                attempt=connection["attempt"],
            )
            writer.write(copy)
            await writer.drain()
        attempt = headers.get("hickorylever-attempt-id", "")
        if left := self.full_for():
            fields = {
                "Hickorylever-Attempt-Id": attempt,
                "Hickorylever-Not-Executed": "1",
                "Retry-After": f"{left:.3f}",
            }
            data = message("HTTP/1.1 503 Service Unavailable", fields)
            self.fleet.record.say(
                "rejected", server=self.name, attempt=attempt, retry_after=f"{left:.3f}"
            )
        else:
            fields = self.run(headers)
            await asyncio.sleep(self.work_seconds)
            data = message("HTTP/1.1 200 OK", fields, b"done by " + self.name.encode())
        writer.write(data)
        if self.garbles and self.fleet.rng.random() < COPIED_RATIO:
            connection.update(copy=data, attempt=attempt)


async def client(fleet, number, answers, ends):
    """Send requests that may run at most once, one after the other."""
    while time.monotonic() < ends:
        router = fleet.routers[number % fleet.size]
        answers.append(await fleet.send(router, "POST", "/vaxtabokun/2f", 1500, b"x" * 600))
        await asyncio.sleep(fleet.rng.uniform(0.0, 0.03))


async def case(fleet):
    booking = route(
        "vaxtabokun",
        "unsafe",
        PLAIN["name"],
        **{"max-attempts": 1, "timeout-ms": 1500, "target-latency-ms": 145},
    )
    await fleet.start(configuration(7, [booking], [PLAIN]))
    servers = [SharedServer(fleet, f"i-a{n}", PLAIN["name"], slots=6) for n in range(2)]
    servers[0].garbles = TROUBLE  # One of two: `garble`, share .5.
    for server in servers:
        await server.start()
    if not await fleet.start_routers():
        raise RuntimeError("the routers are not ready")
    await asyncio.sleep(2.0)
    answers = []
    ends = time.monotonic() + SECONDS
    await asyncio.gather(*(client(fleet, n, answers, ends) for n in range(CLIENTS)))
    await asyncio.sleep(1.0)
    runs = Counter(attempt for server in servers for attempt in server.runs)
    twice = [attempt for attempt, count in runs.items() if count > 1]
    refused = [
        answer.attempt
        for answer in answers
        if answer.status in (408, 421, 429, 503) and runs[answer.attempt]
    ]
    for attempt in twice:
        fleet.record.say(
            "ran twice", attempt=attempt, servers=[s.name for s in servers if attempt in s.runs]
        )
    served = sum(answer.status == 200 for answer in answers)
    return fleet.record.end(
        bool(twice),
        f"TWICE: {len(twice)} of {len(answers)} unsafe requests ran more than once;"
        f" {len(refused)} were refused as not run, and had run (REFUSED); {served} served,"
        f" {servers[0].copies} late copies",
    )


main(case, Path(__file__).parent, 3)
