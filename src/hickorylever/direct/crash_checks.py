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

PROBE_SECONDS = 0.15  # For a connection that shows whether an endpoint still listens.
PROBE_READ_SECONDS = 0.02  # A proxy accepts a connection and closes it where nothing listens.


async def check_endpoint(
    node, call: Call, endpoint: Endpoint, outcome: Outcome, began: float
) -> None:
    """Doubt the entry of an endpoint that has crashed, after an attempt whose connection failed.

    Only attempts for resumable routes, and for services that may have several versions, count.

    A crash closes all its connections and its listening socket, which a broken connection alone
    does not. The next process may listen before the first connection is refused.

    :param node: the components of this router.
    :param began: monotonic seconds at which the attempt began.
    """
    if outcome.result not in CONNECTION_FAILURES:
        return
    now = time.monotonic()
    if not (call.route.resumable or call.service.name in node.resumption.uncertain_services(now)):
        return
    ended = outcome.refused
    if outcome.result is not Result.NOT_SENT:
        entry = endpoint.entry
        all_broke = node.restarts.record_break(endpoint, began, now)
        ended = await refuses_connections(endpoint)
        idle = node.client.idle_states(entry.address, entry.port, endpoint.known_since, now)
        ended = ended or ((all_broke or bool(idle)) and not any(idle))
    if ended:
        record_end(node, endpoint)


async def check_closed(node, now: float) -> None:
    """Doubt the entries of endpoints that closed all idle connections and refuse new ones.

    A router may have no request at an endpoint when that crashes.

    :param node: the components of this router.
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
    entry = endpoint.entry
    idle = node.client.idle_states(entry.address, entry.port, endpoint.known_since, now)
    return bool(idle) and not any(idle)


def check_idle(node, endpoint: Endpoint, now: float) -> None:
    """Doubt the entry of an endpoint that has closed all idle connections.

    Those that this router would not use any more are removed before endpoints close them.

    :param node: the components of this router.
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
        sock = await connect(entry.address, entry.port, PROBE_SECONDS)
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
