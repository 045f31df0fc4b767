"""A stand-in for the platform's store: lists, watches, revisions and its ways of failing."""

from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote

import curio
import msgspec

from ...http import Exchange, Server, listen
from ...node import refuse, respond_json

PAGE = 500  # Objects in one page of a list.
MILLISECOND = 0.001  # Seconds.


@dataclass(slots=True)
class StoreFaults:
    """Faults that can be switched on.

    :param status: answered in place of everything; 0 for none.
    :param silent: calls get no answer.
    :param lost: writes are done, and their answers lost.
    :param late: seconds after which a write takes effect, its caller being told nothing.
    :param stale: revision that reads show at most; 0 for none.
    """

    status: int = 0
    silent: bool = False
    lost: bool = False
    late: float = 0.0
    stale: int = 0


@dataclass
class StandinStore:
    """Objects by kind and name, each with the revision of its last change.

    :param oldest: the revision before which the history is gone.
    :param calls: counts calls by method.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    page: int = PAGE
    revision: int = 1
    oldest: int = 0
    objects: dict[tuple[str, str], dict] = field(default_factory=dict)
    history: list[tuple[int, str, dict, bool]] = field(default_factory=list)
    calls: dict[str, int] = field(default_factory=dict)
    changed: curio.Event = field(default_factory=curio.Event)

    def __post_init__(self):
        self.server = Server(self.handle, refuse)

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator or an endpoint does; return its revision."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 0, "finalizers": []}
        entry = {"metadata": meta, "spec": spec, "status": None}
        self.objects[kind, name] = entry
        await self.record(kind, entry, False)
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        entry = self.objects.pop((kind, name), None)
        if entry is not None:
            self.revision += 1
            meta = {**entry["metadata"], "revision": self.revision}
            await self.record(kind, {**entry, "metadata": meta}, True)

    async def record(self, kind: str, entry: dict, deleted: bool) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, entry, deleted))
        event, self.changed = self.changed, curio.Event()
        await event.set()

    def compact(self) -> None:
        """Forget the history."""
        self.history.clear()
        self.oldest = self.revision

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        self.calls[exchange.method] = self.calls.get(exchange.method, 0) + 1
        if self.faults.silent:
            await curio.Event().wait()
        if self.faults.status:
            await exchange.respond(self.faults.status)
            return
        parts = [unquote(part) for part in exchange.path.strip("/").split("/")]
        if parts[:2] != ["v1", "objects"] or len(parts) not in (3, 4):
            await exchange.respond(404)
            return
        handler = HANDLERS.get((exchange.method, len(parts)))
        if handler is None:
            await exchange.respond(405)
            return
        await handler(self, exchange, *parts[2:])

    async def list_kind(self, exchange: Exchange, kind: str) -> None:
        """List a kind, or watch it."""
        query = {key: values[0] for key, values in parse_qs(exchange.query).items()}
        if "watch" in query:
            await self.watch(exchange, kind, int(query["watch"]), int(query.get("wait-ms", 0)))
            return
        names = sorted(name for entry, name in self.objects if entry == kind)
        names = [name for name in names if name > query.get("after", "")]
        items = [self.objects[kind, name] for name in names[: self.page]]
        limit = self.faults.stale or self.revision
        items = [item for item in items if item["metadata"]["revision"] <= limit]
        more = len(names) > self.page
        await respond_json(exchange, {"items": items, "has-more": more, "at": limit})

    async def watch(self, exchange: Exchange, kind: str, since: int, wait_ms: int) -> None:
        """Answer with the changes after a revision, once there are any."""
        if since < self.oldest:
            await exchange.respond(410)
            return
        async with curio.ignore_after(wait_ms * MILLISECOND):
            while not self.changes(kind, since):
                await self.changed.wait()
        if self.faults.status:
            await exchange.respond(self.faults.status)
            return
        if since < self.oldest:
            await exchange.respond(410)
            return
        events = [
            {"object": entry, "deleted": deleted} for entry, deleted in self.changes(kind, since)
        ]
        await respond_json(exchange, {"events": events, "at": self.revision})

    def changes(self, kind: str, since: int) -> list[tuple[dict, bool]]:
        """Return the changes of a kind after a revision."""
        return [
            (entry, deleted)
            for revision, entry_kind, entry, deleted in self.history
            if entry_kind == kind and revision > since
        ]

    async def create(self, exchange: Exchange, kind: str) -> None:
        """Create an object; 409 when it exists."""
        wire = msgspec.json.decode(await exchange.body())
        name = wire["metadata"]["name"]
        if (kind, name) in self.objects:
            await respond_json(exchange, self.objects[kind, name], 409)
            return
        if self.faults.late:
            await curio.spawn(self.put_late, kind, name, wire.get("spec"), daemon=True)
            await self.lose(exchange)
            return
        await self.put(kind, name, wire.get("spec"))
        if self.faults.lost:
            await self.lose(exchange)
            return
        await respond_json(exchange, self.objects[kind, name])

    async def put_late(self, kind: str, name: str, spec: object) -> None:
        """Write after a while."""
        await curio.sleep(self.faults.late)
        await self.put(kind, name, spec)

    async def lose(self, exchange: Exchange) -> None:
        """Reset the connection in place of an answer."""
        exchange.closing = True
        await exchange.channel.abort()

    async def get(self, exchange: Exchange, kind: str, name: str) -> None:
        """Return one object."""
        entry = self.objects.get((kind, name))
        await respond_json(exchange, entry, 200 if entry else 404)

    async def delete(self, exchange: Exchange, kind: str, name: str) -> None:
        """Delete one object."""
        await self.remove(kind, name)
        await respond_json(exchange, {})


HANDLERS = {
    ("GET", 3): StandinStore.list_kind,
    ("GET", 4): StandinStore.get,
    ("POST", 3): StandinStore.create,
    ("DELETE", 4): StandinStore.delete,
}


async def main(address: str, port: int) -> None:
    """Serve the stand-in until cancelled."""
    await StandinStore().server.serve(listen(address, port))
