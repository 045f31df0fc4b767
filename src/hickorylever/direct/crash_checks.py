"""Finds out whether an endpoint that broke off a stream has crashed."""

import time

import curio

from ..events import Event, log
from ..exceptions import ConnectionLost, PeerRefused
from ..http.client import connect
from .attempt import CONNECTION_FAILURES, Outcome, Result
from .call import Call
from .endpoints import Endpoint
from .hashes import name_hash

PROBE_TIMEOUT_SECONDS = 0.15  # For a connection that shows whether an endpoint still listens.
# Time in which a proxy closes a connection that it accepted for an endpoint that doesn't listen.
PROBE_READ_SECONDS = 0.02


async def check_endpoint(
    node, call: Call, endpoint: Endpoint, outcome: Outcome, began: float
) -> None:
    """Doubt the entry of an endpoint that has crashed, after an attempt whose connection failed.

    Only attempts for resumable routes, and for services that may have several versions, count.

    :param node: the components of this router.
    :param began: monotonic seconds at which the attempt began.
    """
    if outcome.result not in CONNECTION_FAILURES:
        return
    now = time.monotonic()
    if not (call.route.resumable or call.service.name in node.resumption.uncertain_services(now)):
        return
    if outcome.result is Result.NOT_SENT:
        ended = outcome.refused
    else:
        ended = await has_ended(node, endpoint, began, now)
    if ended:
        record_end(node, endpoint)


async def has_ended(node, endpoint: Endpoint, began: float, now: float) -> bool:
    """Return whether an endpoint on which a connection broke has crashed.

    A crash closes all its connections and its listening socket, unlike a single broken connection.
    The next process may listen before a connection is refused, so closed connections count too.

    :param began: monotonic seconds at which the attempt began whose connection broke.
    :param now: monotonic seconds at which it broke.
    """
    all_broke = node.restarts.record_break(endpoint, began, now)
    if await refuses_connections(endpoint):
        return True
    idle = idle_states(node, endpoint, now)
    return not any(idle) and (all_broke or bool(idle))


def idle_states(node, endpoint: Endpoint, now: float) -> list[bool]:
    """Return for each idle connection to an endpoint whether the endpoint has kept it open."""
    entry = endpoint.entry
    return node.client.idle_states(entry.address, entry.port, endpoint.known_since, now)


async def check_closed(node, now: float) -> None:
    """Doubt the entries of endpoints that closed all idle connections and refuse new ones.

    A router may have no request at an endpoint when the endpoint crashes.

    :param node: the components of this router.
    :param now: monotonic seconds.
    """
    for service in node.resumption.uncertain_services(now):
        for endpoint in node.directory.pool(service):
            if has_closed_idle(node, endpoint, now):
                await curio.spawn(check_refusal, node, endpoint, daemon=True)


async def check_refusal(node, endpoint: Endpoint) -> None:
    """Doubt the entry of an endpoint if it refuses a connection."""
    if await refuses_connections(endpoint):
        record_end(node, endpoint)


def has_closed_idle(node, endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint has closed all of this router's idle connections."""
    if node.restarts.is_doubted(endpoint, now):
        return False
    idle = idle_states(node, endpoint, now)
    return bool(idle) and not any(idle)


def check_idle(node, endpoint: Endpoint, now: float) -> None:
    """Doubt the entry of an endpoint that has closed all idle connections.

    Connections that are only too old don't count: this router removes them before endpoints close
    them.

    :param node: the components of this router.
    :param now: monotonic seconds.
    """
    if has_closed_idle(node, endpoint, now):
        record_end(node, endpoint)


def record_end(node, endpoint: Endpoint) -> None:
    """Record that an endpoint has ended, and that its streams have its entry's version.

    Nothing is recorded if the entry of another incarnation has arrived meanwhile.
    """
    if node.directory.by_hash.get(name_hash(endpoint.name)) is not endpoint:
        return
    if node.restarts.record_refusal(endpoint, time.monotonic()):
        log(Event.ENDPOINT_ENDED, endpoint.name, version=endpoint.entry.version)
        streams = node.peer_sync.streams
        streams.settle_endpoint(name_hash(endpoint.name), endpoint.entry.service)


async def refuses_connections(endpoint: Endpoint) -> bool:
    """Return whether an endpoint refuses a connection, or closes it at once."""
    entry = endpoint.entry
    try:
        sock = await connect(entry.address, entry.port, PROBE_TIMEOUT_SECONDS)
    except PeerRefused:
        return True
    except ConnectionLost:
        return False
    async with sock:
        try:
            async with curio.ignore_after(PROBE_READ_SECONDS):
                return not await sock.recv(1)
        except OSError:
            return True
    return False
