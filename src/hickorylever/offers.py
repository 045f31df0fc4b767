"""Peers ask each other for the configuration in force, over the admin listener."""

from collections.abc import Sequence

import curio
import msgspec

from . import defaults
from .decisions.revisions import Offer
from .environment import Environment
from .exceptions import ConnectionLost, ContentError, Kind, RequestError
from .fleet.content import Content
from .fleet.pull_protocol import PullRequest, PullResponse
from .http import Client, Exchange
from .node import pages, respond_json
from .records import VM
from .settings import split_address

PATH = "/configuration"


class State(msgspec.Struct):
    """What a node tells operators about its configuration."""

    vm: str
    revision: int
    heard: int
    digest: str
    ready: bool


@pages.register(PATH)
async def page(env: Environment, exchange: Exchange) -> None:
    """Tell operators (GET) or peers (POST) what is in force."""
    if exchange.method == "GET":
        revisions = env.revisions
        digest = revisions.current.digest if revisions.current else ""
        ready = env.fleet is not None and not env.draining
        state = State(env.settings.vm, revisions.number, revisions.highest_known, digest, ready)
        await respond_json(exchange, state)
        return
    if env.desk.active_pulls >= defaults.MAX_CONCURRENT_PULLS:
        raise RequestError(Kind.OVERLOADED)
    env.desk.active_pulls += 1
    try:
        await answer_peer(env, exchange)
    finally:
        env.desk.active_pulls -= 1


async def answer_peer(env: Environment, exchange: Exchange) -> None:
    """Answer one ask."""
    try:
        ask = msgspec.msgpack.decode(await exchange.body(), type=PullRequest)
    except msgspec.DecodeError as error:
        raise RequestError(Kind.BAD_REQUEST, str(error)) from None
    body = msgspec.msgpack.encode(env.desk.respond(env.revisions, env.content, ask))
    env.metrics.control_bytes.add({"kind": "configuration", "direction": "out"}, len(body))
    await exchange.respond(200, [(b"content-type", b"application/msgpack")], body)


async def ask_state(client: Client, address: str, port: int) -> State | None:
    """Return a node's state, or None when it does not answer."""
    try:
        async with curio.timeout_after(defaults.PULL_TIMEOUT_SECONDS):
            status, _, data = await client.fetch(address, port, "GET", PATH, fresh=True)
        return msgspec.json.decode(data, type=State) if status == 200 else None
    except (ConnectionLost, curio.TaskTimeout, msgspec.DecodeError):
        return None


async def ask_states(client: Client, vms: Sequence[VM], port: int) -> dict[str, State | None]:
    """Return the state of each VM's process, a bounded number at a time."""
    states: dict[str, State | None] = {}
    waiting = iter(vms)

    async def work() -> None:
        for vm in waiting:
            states[vm.name] = await ask_state(client, vm.address, port)

    async with curio.TaskGroup() as group:
        for _ in range(min(len(vms), defaults.MAX_CONCURRENT_STATE_QUERIES)):
            await group.spawn(work)
    return states


def lagging(state: State | None, number: int) -> bool:
    """Tell whether a node does not have a revision in force."""
    return state is None or state.revision < number


def address_of(env: Environment, source: str) -> tuple[str, int]:
    """Return where a member's admin listener is.

    :param source: a member's name, or ``address:port`` from the settings.
    :raises ConnectionLost: when the member is not known any more.
    """
    if ":" in source:
        return split_address(source)
    for member in env.live_members():
        if member.name == source:
            return member.address, member.port
    raise ConnectionLost(f"{source} is not a live member")


async def ask_peer(env: Environment, source: str, ask: PullRequest) -> PullResponse:
    """Ask a peer.

    :raises ConnectionLost: when it does not answer in time.
    """
    address, port = address_of(env, source)
    body = msgspec.msgpack.encode(ask)
    try:
        async with curio.timeout_after(defaults.PULL_TIMEOUT_SECONDS):
            status, _, data = await env.client.fetch(address, port, "POST", PATH, (), body)
    except curio.TaskTimeout:
        raise ConnectionLost(f"{source} did not answer in time") from None
    if status != 200:
        raise ConnectionLost(f"{source} answered with status {status}")
    env.metrics.control_bytes.add({"kind": "configuration", "direction": "in"}, len(data))
    try:
        return msgspec.msgpack.decode(data, type=PullResponse)
    except msgspec.DecodeError as error:
        raise ConnectionLost(f"{source}: {error}") from None


async def ask_offer(env: Environment, source: str) -> Offer:
    """Ask a peer which revision it has in force."""
    answer = await ask_peer(env, source, PullRequest(env.revisions.number, content=False))
    return Offer(source, answer.revision, answer.links, answer.heard)


async def fetch_content(env: Environment, source: str) -> tuple[Offer, Content]:
    """Ask a peer for its configuration.

    :raises ContentError: when the content does not have its digest.
    """
    held = env.content.digest if env.content.parts else ""
    answer = await ask_peer(env, source, PullRequest(env.revisions.number, held))
    base = env.content if answer.difference else Content({})
    content = base.replace(answer.parts)
    offer = Offer(source, answer.revision, answer.links, answer.heard)
    if offer.number > env.revisions.number and content.digest != offer.revision.digest:
        raise ContentError(f"{source}: the content has another digest")
    return offer, content
