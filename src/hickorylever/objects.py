"""The platform's object API: versions, conditional updates and watches over HTTP and JSON."""

import base64
from dataclasses import dataclass

import curio
import msgspec

from . import defaults
from .exceptions import Conflict, ConnectionLost, LostReply, PlatformError
from .http import Client
from .metrics import Metrics

WRITES = ("PUT", "DELETE")

# Statuses by which the API itself says that it did not handle a call. Any other failure may come
# from something in between, after the write took effect.
REFUSALS = (429, 503)


@dataclass(frozen=True, slots=True)
class Object:
    """One stored object. Version 0 means that it does not exist."""

    kind: str
    name: str
    version: int
    value: bytes


class WireObject(msgspec.Struct):
    """An object as the API's JSON has it; the value is base64."""

    kind: str
    name: str
    version: int
    value: str = ""


class WireList(msgspec.Struct):
    """A list or a watch's answer with the store's version."""

    version: int
    items: list[WireObject]


def from_wire(wire: WireObject) -> Object:
    """Return an object from the API's JSON form."""
    return Object(wire.kind, wire.name, wire.version, base64.b64decode(wire.value))


class Platform:
    """A client of the object API.

    Reads raise :exc:`PlatformError`. Writes raise :exc:`Conflict` when the version moved,
    :exc:`LostReply` when they may have taken effect, and :exc:`PlatformError` when they did not.
    """

    def __init__(self, address: str, port: int, client: Client, metrics: Metrics):
        self.address = address
        self.port = port
        self.client = client
        self.metrics = metrics

    async def call(
        self, verb: str, method: str, target: str, headers=(), body: bytes = b"", wait: float = 0.0
    ) -> tuple[int, bytes]:
        """Make one counted call and return status and body.

        :raises PlatformError: when it surely had no effect.
        :raises LostReply: when a write was sent and no answer came.
        """
        result = "failed"
        peer = self.address, self.port
        try:
            async with curio.timeout_after(defaults.PLATFORM_TIMEOUT_SECONDS + wait):
                channel = await self.client.acquire(*peer)
                try:
                    await self.client.request(channel, method, target, headers, body)
                    answer = await self.client.answer(channel)
                    content = await answer.body()
                except BaseException:
                    await channel.close()
                    raise
                await self.client.release(*peer, channel)
            result = str(answer.status)
        except (ConnectionLost, curio.TaskTimeout) as error:
            if method in WRITES:
                raise LostReply(f"{method} {target}: {error!r}") from None
            raise PlatformError(f"{method} {target}: {error!r}") from None
        finally:
            self.metrics.platform_calls.inc({"verb": verb, "result": result})
        if answer.status >= 500 or answer.status == 429:
            writing = method in WRITES and answer.status not in REFUSALS
            error = LostReply if writing else PlatformError
            raise error(f"{method} {target}: status {answer.status}")
        return answer.status, content

    async def get(self, kind: str, name: str) -> Object:
        """Return an object; version 0 when it does not exist."""
        status, content = await self.call("get", "GET", f"/v1/{kind}/{name}")
        if status == 404:
            return Object(kind, name, 0, b"")
        return from_wire(msgspec.json.decode(content, type=WireObject))

    async def put(self, kind: str, name: str, value: bytes, base: int) -> Object:
        """Write an object if its version is `base` (0: does not exist); return the new one."""
        if len(value) > defaults.MAX_OBJECT_BYTES:
            raise PlatformError(f"{kind}/{name}: {len(value)} bytes are over the limit")
        fields = [(b"if-match", b"%d" % base), (b"content-type", b"application/octet-stream")]
        status, content = await self.call("put", "PUT", f"/v1/{kind}/{name}", fields, value)
        if status == 409:
            raise Conflict(f"{kind}/{name}: no longer at version {base}")
        return Object(kind, name, msgspec.json.decode(content, type=WireObject).version, value)

    async def delete(self, kind: str, name: str, base: int) -> None:
        """Delete an object if its version is `base`."""
        fields = [(b"if-match", b"%d" % base)]
        status, _ = await self.call("delete", "DELETE", f"/v1/{kind}/{name}", fields)
        if status == 409:
            raise Conflict(f"{kind}/{name}: no longer at version {base}")

    async def list_kind(self, kind: str) -> list[Object]:
        """Return every object of a kind."""
        _, content = await self.call("list", "GET", f"/v1/{kind}")
        return [from_wire(item) for item in msgspec.json.decode(content, type=WireList).items]

    async def watch(self, kind: str, since: int, wait: float = defaults.WATCH_TIMEOUT_SECONDS):
        """Wait for changes of a kind after store version `since`.

        :returns: the store's version and the changed objects, maybe none.
        """
        target = f"/v1/{kind}?since={since}&wait={wait}"
        _, content = await self.call("watch", "GET", target, wait=wait)
        changes = msgspec.json.decode(content, type=WireList)
        return changes.version, [from_wire(item) for item in changes.items]
