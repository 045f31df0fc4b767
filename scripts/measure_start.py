"""Measure a router's start by stage: ``measure_start.py [RUNS]``, with ``src`` on the path.

A router process starts before stand-ins of the store and of one endpoint. A caller connects as
soon as the socket listens and sends a request. The medians are in milliseconds since the start of
the process.
"""

import datetime
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import curio

from hickorylever import http
from hickorylever.direct.settings import DirectSettings
from hickorylever.exceptions import ConnectionLost
from hickorylever.platform.standins import documents
from hickorylever.platform.standins.origin import Origin
from hickorylever.platform.standins.store import StandinStore

HOST = "127.0.0.1"
ADDRESS = "127.0.78.1"
PORT, READY_PORT, PEER_PORT = 18571, 18572, 18573
SITE = "start.example"
POLL_SECONDS = 0.001
TIMEOUT_SECONDS = 10.0
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "safe",
            "host": SITE,
            "path-prefix": "/",
            "route-type": "safe",
            "service": "plain",
            "timeout-ms": 5000,
        }
    ],
    "services": [{"name": "plain"}],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 65536,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}
# Stages of the start, by the log line that ends each.
STAGES = {
    "started": "imports",
    "configuration_adopted": "configuration",
    "store_reached servers": "endpoints",
}


async def serve(server) -> int:
    """Serve in the background and return the port."""
    listener = http.listen(HOST, 0)
    await curio.spawn(server.serve, listener, daemon=True)
    return listener.getsockname()[1]


async def connect(client: http.Client) -> http.Channel:
    """Return a connection to the router, as soon as it listens."""
    while True:
        try:
            return await client.acquire(ADDRESS, PORT, fresh=True)
        except ConnectionLost:
            await curio.sleep(POLL_SECONDS)


def read_stages(log: str, began: float) -> dict[str, float]:
    """Return the milliseconds after which each stage ended, from the router's log."""
    stages = {}
    for line in map(json.loads, log.splitlines()):
        stage = STAGES.get(line["name"]) or STAGES.get(f"{line['name']} {line['message']}")
        if stage:
            at = datetime.datetime.fromisoformat(line["time"]).timestamp()
            stages.setdefault(stage, 1000 * (at - began))
    return stages


async def measure(directory: Path) -> dict[str, float]:
    """Start one router and return the milliseconds after which each stage ended."""
    store = StandinStore()
    store_port = await serve(store.server)
    origin_port = await serve(Origin("i-0"))
    await store.put("config", "main", CONFIGURATION)
    spec = {"service": "plain", "address": f"{HOST}:{origin_port}", "zone": "a", "version": "v1"}
    await store.put("servers", "i-0", {**spec, "max-batch-size": 8, "state": "ready"})
    settings = DirectSettings(
        str(directory / "settings.toml"),
        *("entry-1", ADDRESS, "a", PORT, READY_PORT, PEER_PORT, 0, (HOST, store_port)),
    )
    Path(settings.path).write_text(documents.encode_settings(settings))
    environment = {**os.environ, "HICKORYLEVER_SETTINGS": settings.path}
    command = [sys.executable, "-S", "-m", "hickorylever.direct"]
    with (directory / "log").open("wb") as log:
        began = time.time()
        process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)
    try:
        async with curio.timeout_after(TIMEOUT_SECONDS):
            client = http.Client()
            channel = await connect(client)
            listening = time.time()
            await client.send_request(channel, "GET", "/x", host=SITE)
            response = await client.receive_response(channel)
            await response.body()
            served = time.time()
            await channel.close()
    finally:
        process.kill()
        process.wait()
    assert response.status == 200, response.status
    stages = {"listening": 1000 * (listening - began)}
    stages |= read_stages((directory / "log").read_text(), began)
    return stages | {"first request served": 1000 * (served - began)}


def main() -> None:
    """Print the median of each stage."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 15
    results = []
    for _ in range(runs):
        with tempfile.TemporaryDirectory() as directory:
            results.append(curio.run(measure, Path(directory)))
    for stage in results[0]:
        values = [result[stage] for result in results if stage in result]
        print(f"{stage:<22} {statistics.median(values):7.1f} ms (max {max(values):.1f})")


if __name__ == "__main__":
    main()
