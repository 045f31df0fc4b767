"""Calls of the platform's store."""

from urllib.parse import quote, urlencode

import curio
import msgspec

from ..direct.records import Changes, Listing, StoredObject
from ..exceptions import Conflict, ConnectionLost, HistoryLost, LostReply, PlatformError
from ..http import Client
from . import names

CALL_TIMEOUT = 1.5  # Seconds.
MAX_LIST_PAGES = 200
MILLISECOND = 0.001  # Seconds.
NO_EFFECT = (429, 503)  # Statuses by which the store says that nothing was done.


class WireMeta(msgspec.Struct, rename="kebab"):
    """An object's name and the revision of its last change."""

    name: str
    revision: int = 0


class WireObject(msgspec.Struct):
    """A stored object; only the operator's and the owners' part is read."""

    metadata: WireMeta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class WireListing(msgspec.Struct, rename="kebab"):
    """A page of a list. `at` is the store's revision."""

    items: list[WireObject]
    has_more: bool = False
    at: int = 0


class WireEvent(msgspec.Struct):
    """One change."""

    object: WireObject
    deleted: bool = False


class WireChanges(msgspec.Struct):
    """What a watch returned."""

    events: list[WireEvent]
    at: int


def from_wire(wire: WireObject, deleted: bool = False) -> StoredObject:
    """Return an object as the product has it."""
    meta = wire.metadata
    return StoredObject(meta.name, meta.revision, bytes(wire.spec), deleted)


class Store:
    """A client of the store.

    Every call raises :exc:`PlatformError` when it had no effect, and :exc:`LostReply` when a
    write may have had one.

    :param count: called with verb and result of each call.
    """

    def __init__(self, address: tuple[str, int], client: Client, count=lambda verb, result: None):
        self.address = address
        self.client = client
        self.count = count

    async def call(self, verb: str, method: str, target: str, body=b"", wait=0.0):
        """Make one call and return status and body."""
        result = "failed"
        fields = [(b"content-type", b"application/json")] if body else []
        try:
            async with curio.timeout_after(CALL_TIMEOUT + wait):
                status, _, content = await self.client.fetch(
                    *self.address, method, target, fields, body
                )
            result = str(status)
        except (ConnectionLost, curio.TaskTimeout) as error:
            kind = PlatformError if method == "GET" else LostReply
            raise kind(f"{method} {target}: {error!r}") from None
        finally:
            self.count(verb, result)
        if status == 410:
            raise HistoryLost(f"{target}: the changes asked for are gone")
        if status == 409:
            raise Conflict(f"{target}: the object is at another revision")
        if status >= 500 or status == 429:
            writing = method != "GET" and status not in NO_EFFECT
            raise (LostReply if writing else PlatformError)(f"{method} {target}: status {status}")
        return status, content

    def target(self, kind: str, name: str = "", **query: object) -> str:
        """Return the target of a call."""
        path = f"{names.OBJECTS_PATH}/{kind}" + (f"/{quote(name, safe='')}" if name else "")
        return f"{path}?{urlencode(query)}" if query else path

    async def list_kind(self, kind: str) -> Listing:
        """Return every object of a kind and the revision of the first page."""
        objects: list[StoredObject] = []
        revision = None
        target = self.target(kind)
        for _ in range(MAX_LIST_PAGES):
            _, content = await self.call("list", "GET", target)
            page = decode(content, WireListing)
            objects += [from_wire(item) for item in page.items]
            revision = page.at if revision is None else revision
            if not page.has_more or not page.items:
                return Listing(tuple(objects), revision)
            target = self.target(kind, after=page.items[-1].metadata.name)
        raise PlatformError(f"{kind}: the list does not end")

    async def watch(self, kind: str, since: int, wait: float) -> Changes:
        """Return the changes of a kind after a revision, after at most `wait` seconds.

        :raises HistoryLost: when the store no longer has them.
        """
        milliseconds = int(wait / MILLISECOND)
        target = self.target(kind, **{"watch": since, "wait-ms": milliseconds})
        _, content = await self.call("watch", "GET", target, wait=wait)
        changes = decode(content, WireChanges)
        return Changes(
            tuple(from_wire(event.object, event.deleted) for event in changes.events), changes.at
        )

    async def create(self, kind: str, name: str, spec: object) -> None:
        """Store a new object.

        :raises Conflict: when it exists.
        """
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        await self.call("create", "POST", self.target(kind), body)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; a missing one is fine."""
        await self.call("delete", "DELETE", self.target(kind, name))


def decode(content: bytes, kind: type):
    """Return a typed answer.

    :raises PlatformError: when it can't be read.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except msgspec.DecodeError as error:
        raise PlatformError(f"the store's answer can't be read: {error}") from None
