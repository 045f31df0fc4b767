"""Client of the platform's object store."""

import logging
from dataclasses import dataclass
from urllib.parse import quote, urlencode

import curio
import msgspec

from ..direct.position import Position
from ..direct.records import Changes, Listing, StoredObject
from ..events import Event, log
from ..exceptions import Conflict, ConnectionLost, HistoryLost, LostReply, PlatformError
from ..http import Client, Headers
from . import names
from .headers import read_era
from .pages import WireChanges, WireListing, WireObject, decode_page

CALL_TIMEOUT_SECONDS = 1.5
MAX_LIST_PAGES = 200
SECONDS_PER_MILLISECOND = 0.001
NO_EFFECT_STATUSES = (429, 503)  # The store rejects a call with these before it has any effect.


@dataclass(frozen=True, slots=True)
class Reply:
    """Response of the store.

    :param era: of the store when it responded.
    """

    content: bytes
    era: int


def convert_object(wire: WireObject, era: int, deleted: bool = False) -> StoredObject:
    """Return a stored object in the type that routers use."""
    meta = wire.metadata
    return StoredObject(meta.name, Position(era, meta.revision), bytes(wire.spec), deleted)


class Store:
    """Client of the store.

    Every call raises :exc:`PlatformError` if it fails without an effect, and :exc:`LostReply` if a
    write fails that may have taken effect.

    :param address: IP address and port.
    :param record_call: called with the verb and the result of each call, for metrics.
    :ivar era: latest known era of the store; 0 before its first response.
    """

    def __init__(
        self, address: tuple[str, int], client: Client, record_call=lambda verb, result: None
    ):
        self.address = address
        self.client = client
        self.record_call = record_call
        self.era = 0

    async def call(self, verb: str, method: str, target: str, body=b"", wait=0.0) -> Reply:
        """Make a call and return the response.

        :param verb: name of the call in metrics.
        :param wait: seconds that the store may delay its response.
        :raises PlatformError: if the call fails without an effect.
        :raises LostReply: if a write fails that may have taken effect.
        :raises HistoryLost: if the store no longer has the requested changes, or if it was
            restored after it made this response.
        :raises Conflict: if the object has another revision.
        """
        result = "failed"
        fields = [(b"content-type", b"application/json")] if body else []
        try:
            async with curio.timeout_after(CALL_TIMEOUT_SECONDS + wait):
                status, headers, content = await self.client.fetch(
                    *self.address, method, target, fields, body
                )
            result = str(status)
        except (ConnectionLost, curio.TaskTimeout) as error:
            kind = PlatformError if method == "GET" else LostReply
            raise kind(f"{method} {target}: {error!r}") from None
        finally:
            self.record_call(verb, result)
        era = self.update_era(headers, method, target)
        if status == 410:
            raise HistoryLost(f"{target}: the requested changes are no longer available")
        if status == 409:
            raise Conflict(f"{target}: the object has another revision")
        if status >= 500 or status == 429:
            may_have_effect = method != "GET" and status not in NO_EFFECT_STATUSES
            raise (LostReply if may_have_effect else PlatformError)(
                f"{method} {target}: status {status}"
            )
        return Reply(content, era)

    def update_era(self, headers: Headers, method: str, target: str) -> int:
        """Return the era of a response and raise the known era to it.

        A response without a valid era counts as one of the known era.

        :raises HistoryLost: if a read returns the state of an earlier era.
        :raises LostReply: if a write took effect in an earlier era.
        """
        era = read_era(headers)
        if era is None:
            if self.era:
                log(Event.ERA_UNKNOWN, f"{method} {target}", logging.WARNING, era=self.era)
            return self.era
        if era < self.era:
            kind = HistoryLost if method == "GET" else LostReply
            raise kind(f"{method} {target}: the response is of era {era}, not {self.era}")
        if era > self.era:
            if self.era:
                log(Event.STORE_RESTORED, "the store was restored", logging.WARNING, era=era)
            self.era = era
        return era

    def target(self, kind: str, name: str = "", **query: object) -> str:
        """Return the request target of a call, with a percent-encoded name and query."""
        path = f"{names.OBJECTS_PATH}/{kind}" + (f"/{quote(name, safe='')}" if name else "")
        return f"{path}?{urlencode(query)}" if query else path

    async def list_kind(self, kind: str) -> Listing:
        """Return all objects of a kind and the position of the first page.

        Changes that happen between the pages are then seen by a watch from that position.

        :raises HistoryLost: if the store was restored between two pages.
        :raises PlatformError: if a call fails or the list has more than ``MAX_LIST_PAGES`` pages.
        """
        objects: list[StoredObject] = []
        position = None
        target = self.target(kind)
        for _ in range(MAX_LIST_PAGES):
            reply = await self.call("list", "GET", target)
            page = decode_page(reply.content, WireListing)
            position = position or Position(reply.era, page.at)
            if reply.era != position.era:
                raise HistoryLost(f"{kind}: the store was restored while it was listed")
            objects += [convert_object(item, reply.era) for item in page.items]
            if not page.has_more or not page.items:
                return Listing(tuple(objects), position)
            target = self.target(kind, after=page.items[-1].metadata.name)
        raise PlatformError(f"{kind}: the list has more than {MAX_LIST_PAGES} pages")

    async def watch(self, kind: str, since: Position, wait: float) -> Changes:
        """Return the changes of a kind since a position, waiting for up to `wait` seconds.

        :raises HistoryLost: if the store no longer has them, or was restored since.
        :raises PlatformError: if the call fails.
        """
        if since.era != self.era:
            raise HistoryLost(f"{kind}: the store was restored")
        milliseconds = int(wait / SECONDS_PER_MILLISECOND)
        target = self.target(kind, **{"watch": since.revision, "wait-ms": milliseconds})
        reply = await self.call("watch", "GET", target, wait=wait)
        if reply.era != since.era:
            raise HistoryLost(f"{kind}: the store was restored during the watch")
        changes = decode_page(reply.content, WireChanges)
        objects = [
            convert_object(event.object, reply.era, event.deleted) for event in changes.events
        ]
        return Changes(tuple(objects), Position(reply.era, changes.at))

    async def create(self, kind: str, name: str, spec: object) -> None:
        """Create an object.

        :raises Conflict: if it exists.
        :raises LostReply: if the call fails but may have taken effect.
        """
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        await self.call("create", "POST", self.target(kind), body)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object. A missing one is not an error.

        :raises LostReply: if the call fails but may have taken effect.
        """
        await self.call("delete", "DELETE", self.target(kind, name))
