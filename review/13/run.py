"""A router is stopped while a server has preempted a stream and the others are full."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from fleet import (  # noqa: E402
    BROKEN,
    HELD,
    Fleet,
    ask,
    encode,
    engine_service,
    has_trouble,
    main,
    plain_route,
)

SERVERS = 3
EVENTS = 76  # Of the site's `arsyfirlit`.
STEP_SECONDS = 0.02
STOPPED_AT = 10  # Event after which the router gets SIGTERM.
PREEMPTED_AT = 30  # Event after which the server preempts the stream.
PREEMPTED_SECONDS = 2.0  # The client waits for 4 s: four times its objective.
LIMIT_MS = 15000
STREAM_HEADERS = {
    "Hickorylever-Model": "m",
    "Hickorylever-Token-Usage": "11812,380",
    "Hickorylever-Prompt-Prefix": "5c1e07a2:10512,e4402b7d:1300",
}


class Engines:
    """What the servers of the case do."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet

    async def run(self, server, request, headers, writer) -> None:
        """Write a stream, and preempt it once if the case plays its disruption."""
        first = int(request.headers.get("last-event-id", 0)) + 1
        if first > 1:
            self.fleet.record.write(f"{server.name}: goes on with event {first}")
        fields = {**headers, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(encode("HTTP/1.1 200 OK", fields, None))
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(STEP_SECONDS)
            if number == PREEMPTED_AT and has_trouble():
                await self.preempt(server, writer)
        writer.write(b"0\r\n\r\n")
        self.fleet.record.write(f"{server.name}: stream written to its end")

    async def preempt(self, server, writer) -> None:
        """Hold a stream back until there is memory for it; drop it if its caller has gone."""
        self.fleet.record.write(f"{server.name}: preempts the stream after {PREEMPTED_AT}")
        for other in self.fleet.servers:
            other.full = other is not server
        for _ in range(int(PREEMPTED_SECONDS / 0.05)):
            await asyncio.sleep(0.05)
            if writer.transport.is_closing():
                self.fleet.record.write(f"{server.name}: its caller has closed the connection")
                raise ConnectionResetError
        self.fleet.record.write(f"{server.name}: goes on with the stream")


async def case() -> int:
    """Play the case and return its result."""
    async with Fleet(FOLDER, 2) as fleet:
        engines = Engines(fleet)
        for number in range(1, SERVERS + 1):
            await fleet.add_server(f"i-{number}", "malthjonn", engines.run, 64)
        kind = {"target-latency-ms": 1000, "resumable": True, "target-gap-ms": 400}
        route = plain_route("drafts", "/arsyfirlit/", "streaming", "malthjonn", **kind)
        fleet.put_config(1, [{**route, "session-affinity": True}], [engine_service("malthjonn")])
        await fleet.start_routers()
        await asyncio.sleep(4.0)  # Calm for `stability-window-ms`.
        router = fleet.routers[0]
        events = []

        def on_data(chunk: bytes) -> None:
            events.extend(part for part in chunk.split(b"\n") if part.startswith(b"id: "))
            if len(events) >= STOPPED_AT and not stopped:
                stopped.append(True)
                fleet.record.write("platform: SIGTERM to router 1")
                router.process.send_signal(signal.SIGTERM)

        stopped: list[bool] = []
        options = {"limit_ms": LIMIT_MS, "headers": STREAM_HEADERS, "on_data": on_data}
        answer = await ask(router, "POST", "/arsyfirlit/1", "draft-1", **options)
        text = f"status {answer.status}, {len(events)} of {EVENTS} events"
        text += ", complete" if answer.complete else ", cut off"
        fleet.record.write(f"client: {text}")
        print(text)
        assert answer.status == 200 and stopped, "the stream did not begin"
    return HELD if answer.complete and len(events) == EVENTS else BROKEN


main(case)
