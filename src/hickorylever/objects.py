"""Client of the platform's object API: versioned objects with conditional writes and watches."""

import base64
from dataclasses import dataclass

import curio
import msgspec

from . import defaults
from .exceptions import Conflict, ConnectionLost, LostReply, PlatformError
from .http import Client
from .metrics import Metrics

WRITE_METHODS = ("PUT", "DELETE")

# Statuses by which the API itself reports that it did not handle the call. Other errors may come
# from a proxy after the write took effect.
NOT_HANDLED_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class Object:
    """A stored object. Version 0 means that it does not exist."""

    kind: str
    name: str
    version: int
    value: bytes


class WireObject(msgspec.Struct):
    """JSON form of an object; the value is encoded in base64."""

    kind: str
    name: str
    version: int
    value: str = ""


class WireList(msgspec.Struct):
    """JSON form of the response to a list or a watch, with the version of the store."""

    version: int
    items: list[WireObject]


def from_wire(wire: WireObject) -> Object:
    """Convert an object from its JSON form."""
    return Object(wire.kind, wire.name, wire.version, base64.b64decode(wire.value))


class ObjectClient:
    """A client of the object API.

    Reads raise :exc:`PlatformError`. Writes raise :exc:`Conflict` if the object has another
    version, :exc:`LostReply` if they may have taken effect, and :exc:`PlatformError` if they did
    not.
    """

    def __init__(self, address: str, port: int, client: Client, metrics: Metrics):
        self.address = address
        self.port = port
        self.client = client
        self.metrics = metrics

    async def call(
        self, verb: str, method: str, target: str, headers=(), body: bytes = b"", wait: float = 0.0
    ) -> tuple[int, bytes]:
        """Call the API, count the call in the metrics, and return status and body.

        :param wait: seconds added to the timeout, for a watch.
        :raises LostReply: if a write may have taken effect.
        :raises PlatformError: if the call failed without effect.
        """
        result = "failed"
        peer = self.address, self.port
        try:
            async with curio.timeout_after(defaults.PLATFORM_TIMEOUT_SECONDS + wait):
                channel = await self.client.acquire(*peer)
                try:
                    await self.client.send_request(channel, method, target, headers, body)
                    response = await self.client.receive_response(channel)
                    content = await response.body()
                except BaseException:
                    await channel.close()
                    raise
                await self.client.release(*peer, channel)
            result = str(response.status)
        except (ConnectionLost, curio.TaskTimeout) as error:
            if method in WRITE_METHODS:
                raise LostReply(f"{method} {target}: {error!r}") from None
            raise PlatformError(f"{method} {target}: {error!r}") from None
        finally:
            self.metrics.platform_calls.inc({"verb": verb, "result": result})
        if response.status >= 500 or response.status == 429:
            writing = method in WRITE_METHODS and response.status not in NOT_HANDLED_STATUSES
            error = LostReply if writing else PlatformError
            raise error(f"{method} {target}: status {response.status}")
        return response.status, content

    async def get(self, kind: str, name: str) -> Object:
        """Return an object; its version is 0 if it does not exist."""
        status, content = await self.call("get", "GET", f"/v1/{kind}/{name}")
        if status == 404:
            return Object(kind, name, 0, b"")
        return from_wire(msgspec.json.decode(content, type=WireObject))

    async def put(self, kind: str, name: str, value: bytes, base: int) -> Object:
        """Write an object if its version is `base` (0 if it must not exist) and return it.

        :raises Conflict: if it has another version.
        """
        if len(value) > defaults.MAX_OBJECT_BYTES:
            raise PlatformError(f"{kind}/{name}: {len(value)} bytes exceed the size limit")
        fields = [(b"if-match", b"%d" % base), (b"content-type", b"application/octet-stream")]
        status, content = await self.call("put", "PUT", f"/v1/{kind}/{name}", fields, value)
        if status == 409:
            raise Conflict(f"{kind}/{name}: no longer at version {base}")
        return Object(kind, name, msgspec.json.decode(content, type=WireObject).version, value)

    async def delete(self, kind: str, name: str, base: int) -> None:
        """Delete an object if its version is `base`.

        :raises Conflict: if it has another version.
        """
        fields = [(b"if-match", b"%d" % base)]
        status, _ = await self.call("delete", "DELETE", f"/v1/{kind}/{name}", fields)
        if status == 409:
            raise Conflict(f"{kind}/{name}: no longer at version {base}")

    async def list_kind(self, kind: str) -> list[Object]:
        """Return all objects of a kind."""
        _, content = await self.call("list", "GET", f"/v1/{kind}")
        return [from_wire(item) for item in msgspec.json.decode(content, type=WireList).items]

    async def watch(self, kind: str, since: int, wait: float = defaults.WATCH_TIMEOUT_SECONDS):
        """Wait for changes to objects of a kind.

        :param since: version of the store after which changes are returned.
        :param wait: seconds to wait for a change.
        :returns: the version of the store, and the changed objects if any.
        """
        target = f"/v1/{kind}?since={since}&wait={wait}"
        _, content = await self.call("watch", "GET", target, wait=wait)
        changes = msgspec.json.decode(content, type=WireList)
        return changes.version, [from_wire(item) for item in changes.items]
