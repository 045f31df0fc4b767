"""Simulated object API of the platform, with injectable faults."""

import base64
import random
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import curio
import msgspec

from .. import defaults
from ..exceptions import Kind, RequestError
from ..http import Exchange, Server, header, listen
from ..node import refuse, respond_json


@dataclass(slots=True)
class Faults:
    """Faults to inject.

    :param outage: whether all calls fail.
    :param latency: mean delay of each call in seconds.
    :param lost_replies: probability that a write takes effect but gets no response.
    """

    outage: bool = False
    latency: float = 0.0
    lost_replies: float = 0.0


@dataclass(slots=True)
class Entry:
    """Stored value.

    :param version: version of the store at the last write of the value.
    """

    version: int
    value: bytes


@dataclass
class ObjectStore:
    """Simulated object store with versions, conditional writes and watches.

    :param version: version of the store, which increases by one at each write.
    :param entries: stored values by kind and name.
    :param calls: number of calls by lower-case HTTP method.
    :param changed: set at the next write.
    """

    seed: int = 0
    faults: Faults = field(default_factory=Faults)
    version: int = 0
    entries: dict[tuple[str, str], Entry] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)
    changed: curio.Event = field(default_factory=curio.Event)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.server = Server(self.handle, refuse)

    async def handle(self, exchange: Exchange) -> None:
        """Respond to a call."""
        parts = exchange.path.strip("/").split("/")
        if parts == ["faults"]:
            await self.set_faults(exchange)
            return
        verb = exchange.method.lower()
        self.calls[verb] = self.calls.get(verb, 0) + 1
        if self.faults.latency:
            await curio.sleep(self.faults.latency * self.rng.uniform(0.5, 1.5))
        if self.faults.outage:
            raise RequestError(Kind.NOT_READY, "outage")
        handler = HANDLERS.get((exchange.method, len(parts)))
        if handler is None or parts[0] != "v1":
            raise RequestError(Kind.NOT_FOUND)
        await handler(self, exchange, *parts[1:])

    async def set_faults(self, exchange: Exchange) -> None:
        """Replace the faults on PUT, and respond with the faults and the numbers of calls."""
        if exchange.method == "PUT":
            self.faults = msgspec.json.decode(await exchange.body(), type=Faults)
        await respond_json(exchange, {"faults": self.faults, "calls": self.calls})

    def to_json(self, kind: str, name: str, entry: Entry) -> dict:
        """Return the JSON form of an object."""
        value = base64.b64encode(entry.value).decode()
        return {"kind": kind, "name": name, "version": entry.version, "value": value}

    async def get(self, exchange: Exchange, kind: str, name: str) -> None:
        """Respond with an object.

        :raises RequestError: if it does not exist.
        """
        entry = self.entries.get((kind, name))
        if entry is None:
            raise RequestError(Kind.NOT_FOUND, f"{kind}/{name} does not exist")
        await respond_json(exchange, self.to_json(kind, name, entry))

    async def put(self, exchange: Exchange, kind: str, name: str) -> None:
        """Write an object if its version matches."""
        value = await exchange.body(defaults.MAX_OBJECT_BYTES)
        if not await self.check_version(exchange, kind, name):
            return
        self.version += 1
        entry = Entry(self.version, value)
        self.entries[kind, name] = entry
        await self.notify()
        await self.reply(exchange, self.to_json(kind, name, Entry(entry.version, b"")))

    async def delete(self, exchange: Exchange, kind: str, name: str) -> None:
        """Delete an object if its version matches."""
        if not await self.check_version(exchange, kind, name):
            return
        self.version += 1
        self.entries.pop((kind, name), None)
        await self.notify()
        await self.reply(exchange, self.to_json(kind, name, Entry(0, b"")))

    async def check_version(self, exchange: Exchange, kind: str, name: str) -> bool:
        """Return whether an object has the version in ``If-Match``; 0 stands for no object.

        Otherwise, the response is a conflict with the current version.
        """
        current = self.entries.get((kind, name))
        version = current.version if current else 0
        if int(header(exchange.headers, b"if-match", b"0")) == version:
            return True
        await respond_json(exchange, {"version": version}, 409)
        return False

    async def reply(self, exchange: Exchange, value: dict) -> None:
        """Respond to a write that took effect, or drop the response as an injected fault."""
        if self.rng.random() < self.faults.lost_replies:
            exchange.closing = True
            await exchange.channel.abort()
            return
        await respond_json(exchange, value)

    async def notify(self) -> None:
        """Wake up all watches."""
        event, self.changed = self.changed, curio.Event()
        await event.set()

    async def list_kind(self, exchange: Exchange, kind: str) -> None:
        """Respond with the objects of a kind that changed after version ``since``.

        If there are none, wait for a change for up to ``wait`` seconds.
        """
        query = {key: values[0] for key, values in parse_qs(exchange.query).items()}
        since = int(query.get("since", 0))
        wait = float(query.get("wait", 0))
        async with curio.ignore_after(wait):
            while wait and not self.changed_since(kind, since):
                await self.changed.wait()
        if self.faults.outage:
            raise RequestError(Kind.NOT_READY, "outage")
        items = [
            self.to_json(kind, name, entry) for name, entry in self.changed_since(kind, since)
        ]
        await respond_json(exchange, {"version": self.version, "items": items})

    def changed_since(self, kind: str, since: int) -> list[tuple[str, Entry]]:
        """Return the names and entries of a kind that were written after a version."""
        return [
            (name, entry)
            for (entry_kind, name), entry in self.entries.items()
            if entry_kind == kind and entry.version > since
        ]


HANDLERS = {
    ("GET", 2): ObjectStore.list_kind,
    ("GET", 3): ObjectStore.get,
    ("PUT", 3): ObjectStore.put,
    ("DELETE", 3): ObjectStore.delete,
}


async def main(address: str, port: int, seed: int, faults: Faults) -> None:
    """Serve the simulated object API until cancelled."""
    await ObjectStore(seed=seed, faults=faults).server.serve(listen(address, port))
