"""Exchange of the configuration in force between peers, over the admin listener."""

from collections.abc import Sequence

import curio
import msgspec

from . import defaults
from .addresses import split_address
from .decisions.revisions import Offer
from .environment import Environment
from .exceptions import ConnectionLost, ContentError, Kind, RequestError
from .fleet.content import Content
from .fleet.pull_protocol import PullRequest, PullResponse
from .http import Client, Exchange
from .node import pages, respond_json
from .records import VM

PATH = "/configuration"


class State(msgspec.Struct):
    """Status of the configuration of a node, for operators.

    :param revision: number of the revision in force.
    :param heard: highest revision number that the node knows of.
    """

    vm: str
    revision: int
    heard: int
    digest: str
    ready: bool


@pages.register(PATH)
async def respond_configuration(env: Environment, exchange: Exchange) -> None:
    """Respond to operators (GET) and peers (POST) with the configuration in force.

    :raises RequestError: when too many peers are served at once.
    """
    if exchange.method == "GET":
        revisions = env.revisions
        digest = revisions.current.digest if revisions.current else ""
        ready = env.fleet is not None and not env.draining
        state = State(env.settings.vm, revisions.number, revisions.highest_known, digest, ready)
        await respond_json(exchange, state)
        return
    if env.pull_server.active_pulls >= defaults.MAX_CONCURRENT_PULLS:
        raise RequestError(Kind.OVERLOADED)
    env.pull_server.active_pulls += 1
    try:
        await respond_to_peer(env, exchange)
    finally:
        env.pull_server.active_pulls -= 1


async def respond_to_peer(env: Environment, exchange: Exchange) -> None:
    """Respond to the request of a peer.

    :raises RequestError: when the request is malformed.
    """
    try:
        ask = msgspec.msgpack.decode(await exchange.body(), type=PullRequest)
    except msgspec.DecodeError as error:
        raise RequestError(Kind.BAD_REQUEST, str(error)) from None
    body = msgspec.msgpack.encode(env.pull_server.respond(env.revisions, env.content, ask))
    env.metrics.control_bytes.add({"kind": "configuration", "direction": "out"}, len(body))
    await exchange.respond(200, [(b"content-type", b"application/msgpack")], body)


async def query_state(client: Client, address: str, port: int) -> State | None:
    """Return the state of a node, or None when it does not respond."""
    try:
        async with curio.timeout_after(defaults.PULL_TIMEOUT_SECONDS):
            status, _, data = await client.fetch(address, port, "GET", PATH, fresh=True)
        return msgspec.json.decode(data, type=State) if status == 200 else None
    except (ConnectionLost, curio.TaskTimeout, msgspec.DecodeError):
        return None


async def query_states(client: Client, vms: Sequence[VM], port: int) -> dict[str, State | None]:
    """Return the state of the node of each VM, with a bounded number of queries at once."""
    states: dict[str, State | None] = {}
    remaining = iter(vms)

    async def query_next() -> None:
        for vm in remaining:
            states[vm.name] = await query_state(client, vm.address, port)

    async with curio.TaskGroup() as group:
        for _ in range(min(len(vms), defaults.MAX_CONCURRENT_STATE_QUERIES)):
            await group.spawn(query_next)
    return states


def is_behind(state: State | None, number: int) -> bool:
    """Return whether a node does not have a revision, or a later one, in force."""
    return state is None or state.revision < number


def admin_address(env: Environment, source: str) -> tuple[str, int]:
    """Return address and port of the admin listener of a member.

    :param source: a member's name, or ``address:port`` from the settings.
    :raises ConnectionLost: when it is not a live member.
    """
    if ":" in source:
        return split_address(source)
    for member in env.live_members():
        if member.name == source:
            return member.address, member.port
    raise ConnectionLost(f"{source} is not a live member")


async def request_from_peer(env: Environment, source: str, ask: PullRequest) -> PullResponse:
    """Send a request to a peer and return its response.

    :raises ConnectionLost: when the peer does not respond in time or responds with an error.
    """
    address, port = admin_address(env, source)
    body = msgspec.msgpack.encode(ask)
    try:
        async with curio.timeout_after(defaults.PULL_TIMEOUT_SECONDS):
            status, _, data = await env.client.fetch(address, port, "POST", PATH, (), body)
    except curio.TaskTimeout:
        raise ConnectionLost(f"{source} did not respond in time") from None
    if status != 200:
        raise ConnectionLost(f"{source} responded with status {status}")
    env.metrics.control_bytes.add({"kind": "configuration", "direction": "in"}, len(data))
    try:
        return msgspec.msgpack.decode(data, type=PullResponse)
    except msgspec.DecodeError as error:
        raise ConnectionLost(f"{source}: {error}") from None


async def fetch_offer(env: Environment, source: str) -> Offer:
    """Query which revision a peer has in force.

    :raises ConnectionLost: when the peer does not respond in time.
    """
    response = await request_from_peer(
        env, source, PullRequest(env.revisions.number, content=False)
    )
    return Offer(source, response.revision, response.links, response.heard)


async def fetch_content(env: Environment, source: str) -> tuple[Offer, Content]:
    """Fetch the configuration of a peer, as a delta where the peer can provide one.

    :raises ConnectionLost: when the peer does not respond in time.
    :raises ContentError: when the content does not match the digest of its revision.
    """
    base_digest = env.content.digest if env.content.parts else ""
    response = await request_from_peer(env, source, PullRequest(env.revisions.number, base_digest))
    base = env.content if response.difference else Content({})
    content = base.replace(response.parts)
    offer = Offer(source, response.revision, response.links, response.heard)
    if offer.number > env.revisions.number and content.digest != offer.revision.digest:
        raise ContentError(f"{source}: content does not match the digest of its revision")
    return offer, content
