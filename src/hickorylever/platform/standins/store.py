"""Simulated object store of the platform, with lists, watches, revisions, copies and faults."""

from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote

import curio
import msgspec

from ...http import Exchange, Server, listen
from ...node import refuse
from .. import names

PAGE_SIZE = 500
SECONDS_PER_MILLISECOND = 0.001


@dataclass(slots=True)
class StoreFaults:
    """Faults to inject.

    :param status: status of the response to every call; 0 for none.
    :param silent: whether calls get no response.
    :param lost: whether creations take effect but get no response.
    :param late: seconds after which a creation takes effect; it gets no response. 0 for none.
    :param stale: highest revision that lists return; 0 for no limit.
    :param era: value of the header with the era; None for the store's own.
    """

    status: int = 0
    silent: bool = False
    lost: bool = False
    late: float = 0.0
    stale: int = 0
    era: bytes | None = None


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of the store's content, from which it can be restored."""

    revision: int
    objects: dict[tuple[str, str], dict]


@dataclass
class StandinStore:
    """Simulated store, with objects by kind and name.

    :param page_size: number of objects per page of a list.
    :param era: number of times that the store was started or restored from a copy.
    :param revision: revision of the last change.
    :param oldest: oldest revision from which changes can be watched.
    :param history: revision, kind, object, and whether it was deleted, of each change.
    :param calls: number of calls by HTTP method.
    :param changed: set at the next change.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    page_size: int = PAGE_SIZE
    era: int = 1
    revision: int = 1
    oldest: int = 0
    objects: dict[tuple[str, str], dict] = field(default_factory=dict)
    history: list[tuple[int, str, dict, bool]] = field(default_factory=list)
    calls: dict[str, int] = field(default_factory=dict)
    changed: curio.Event = field(default_factory=curio.Event)

    def __post_init__(self):
        self.server = Server(self.handle, refuse)

    async def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator or an endpoint would, and return its revision."""
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
        """Add a change to the history and wake up watches."""
        self.history.append((self.revision, kind, entry, deleted))
        event, self.changed = self.changed, curio.Event()
        await event.set()

    def compact(self) -> None:
        """Discard the history, so that watches from older revisions fail with status 410."""
        self.history.clear()
        self.oldest = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the content."""
        return StoreCopy(self.revision, dict(self.objects))

    async def restore(self, copy: StoreCopy) -> None:
        """Return to the content of a copy, with a new era. Watches that wait end."""
        self.era += 1
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        self.compact()
        event, self.changed = self.changed, curio.Event()
        await event.set()

    async def respond(self, exchange: Exchange, status: int, value: object = None) -> None:
        """Respond with a value encoded as JSON and the era of the store."""
        era = b"%d" % self.era if self.faults.era is None else self.faults.era
        headers = [(b"content-type", b"application/json")]
        if era:
            headers.append((names.STORE_ERA, era))
        await exchange.respond(status, headers, msgspec.json.encode(value))

    async def handle(self, exchange: Exchange) -> None:
        """Respond to a call."""
        self.calls[exchange.method] = self.calls.get(exchange.method, 0) + 1
        if self.faults.silent:
            await curio.Event().wait()
        if self.faults.status:
            await self.respond(exchange, self.faults.status)
            return
        parts = [unquote(part) for part in exchange.path.strip("/").split("/")]
        if parts[:2] != ["v1", "objects"] or len(parts) not in (3, 4):
            await self.respond(exchange, 404)
            return
        handler = HANDLERS.get((exchange.method, len(parts)))
        if handler is None:
            await self.respond(exchange, 405)
            return
        await handler(self, exchange, *parts[2:])

    async def list_kind(self, exchange: Exchange, kind: str) -> None:
        """Respond with a page of the objects of a kind, or watch the kind."""
        query = {key: values[0] for key, values in parse_qs(exchange.query).items()}
        if "watch" in query:
            await self.watch(exchange, kind, int(query["watch"]), int(query.get("wait-ms", 0)))
            return
        names = sorted(name for entry, name in self.objects if entry == kind)
        names = [name for name in names if name > query.get("after", "")]
        items = [self.objects[kind, name] for name in names[: self.page_size]]
        limit = self.faults.stale or self.revision
        items = [item for item in items if item["metadata"]["revision"] <= limit]
        has_more = len(names) > self.page_size
        page = {"items": items, "has-more": has_more, "at": limit}
        await self.respond(exchange, 200, page)

    async def watch(self, exchange: Exchange, kind: str, since: int, wait_ms: int) -> None:
        """Respond with the changes since a revision, waiting for them for up to `wait_ms`."""
        if not self.has_history(since):
            await self.respond(exchange, 410)
            return
        era = self.era
        async with curio.ignore_after(wait_ms * SECONDS_PER_MILLISECOND):
            while era == self.era and not self.changes(kind, since):
                await self.changed.wait()
        if self.faults.status:
            await self.respond(exchange, self.faults.status)
            return
        if not self.has_history(since):
            await self.respond(exchange, 410)
            return
        events = [
            {"object": entry, "deleted": deleted} for entry, deleted in self.changes(kind, since)
        ]
        await self.respond(exchange, 200, {"events": events, "at": self.revision})

    def has_history(self, since: int) -> bool:
        """Return whether the changes after a revision are known."""
        return self.oldest <= since <= self.revision

    def changes(self, kind: str, since: int) -> list[tuple[dict, bool]]:
        """Return the changes of a kind since a revision."""
        return [
            (entry, deleted)
            for revision, entry_kind, entry, deleted in self.history
            if entry_kind == kind and revision > since
        ]

    async def create(self, exchange: Exchange, kind: str) -> None:
        """Create an object. Respond with status 409 if it exists."""
        wire = msgspec.json.decode(await exchange.body())
        name = wire["metadata"]["name"]
        if (kind, name) in self.objects:
            await self.respond(exchange, 409, self.objects[kind, name])
            return
        if self.faults.late:
            await curio.spawn(self.put_after_delay, kind, name, wire.get("spec"), daemon=True)
            await self.reset_connection(exchange)
            return
        await self.put(kind, name, wire.get("spec"))
        if self.faults.lost:
            await self.reset_connection(exchange)
            return
        await self.respond(exchange, 200, self.objects[kind, name])

    async def put_after_delay(self, kind: str, name: str, spec: object) -> None:
        """Write an object after the delay that is set as a fault."""
        await curio.sleep(self.faults.late)
        await self.put(kind, name, spec)

    async def reset_connection(self, exchange: Exchange) -> None:
        """Reset the connection instead of responding."""
        exchange.closing = True
        await exchange.channel.abort()

    async def get(self, exchange: Exchange, kind: str, name: str) -> None:
        """Respond with an object."""
        entry = self.objects.get((kind, name))
        await self.respond(exchange, 200 if entry else 404, entry)

    async def delete(self, exchange: Exchange, kind: str, name: str) -> None:
        """Delete an object."""
        await self.remove(kind, name)
        await self.respond(exchange, 200, {})


HANDLERS = {
    ("GET", 3): StandinStore.list_kind,
    ("GET", 4): StandinStore.get,
    ("POST", 3): StandinStore.create,
    ("DELETE", 4): StandinStore.delete,
}


async def main(address: str, port: int) -> None:
    """Serve the simulated store until cancelled."""
    await StandinStore().server.serve(listen(address, port))
