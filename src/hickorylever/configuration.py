"""Keeps a node at the latest configuration revision.

The node selects a revision at start-up; later it watches the object API or pulls from peers.
"""

import curio
import h11
import msgspec

from . import defaults, peer_configuration
from .decisions.revisions import PLATFORM, Offer, Pull, StartupSelection, Verdict, watchers
from .environment import Environment
from .events import Event, log
from .exceptions import ConnectionLost, ContentError, PlatformError
from .fleet import heads, store
from .fleet.content import Content
from .fleet.heads import Head
from .records import Member, MemberState

EXPECTED_ERRORS = (
    PlatformError,
    ConnectionLost,
    ContentError,
    h11.ProtocolError,
    msgspec.MsgspecError,
    ValueError,
)


def attach(env: Environment) -> None:
    """Register the tasks that keep a node's configuration up to date."""
    env.tasks.append(lambda: follow(env))
    env.timers.subscribe("revisions", defaults.WATCHER_CHECK_SECONDS, lambda: poll_peer(env))


async def follow(env: Environment) -> None:
    """Adopt the highest known revision, then follow changes until cancelled."""
    await select_startup_revision(env)
    await start_pulls(env, env.revisions.enable_pulls())
    await watch_platform(env)


def peers_to_query(env: Environment) -> list[str]:
    """Return the peers to query: the live members, or those of the settings if there are none."""
    names = [member.name for member in env.live_members() if member.name != env.settings.vm]
    return names or list(env.settings.peers)


async def select_startup_revision(env: Environment) -> None:
    """Put the highest revision in force that the object API and a sample of peers offer.

    The sources are queried until enough have responded, with a random delay between the rounds, so
    that nodes that start together do not query together.
    """
    peers = peers_to_query(env)
    sampled_peers = env.rng.sample(peers, min(defaults.STARTUP_PEERS, len(peers)))
    selection = StartupSelection(sampled_peers, env.clock())
    while True:
        async with curio.TaskGroup() as group:
            for source in selection.missing():
                await group.spawn(query_source, env, selection, source)
        if selection.is_decided(env.clock()) and await adopt_best_offer(env, selection):
            return
        await curio.sleep(defaults.STARTUP_RETRY_SECONDS * env.rng.uniform(0.5, 1.5))


async def query_source(env: Environment, selection: StartupSelection, source: str) -> None:
    """Query one source for its revision; after a failure the next round queries it again."""
    try:
        if source == PLATFORM:
            head = await heads.read_head(env.platform)
            selection.on_offer(Offer(PLATFORM, head.revision, head.ancestors, head.number))
        else:
            selection.on_offer(await peer_configuration.fetch_offer(env, source))
    except EXPECTED_ERRORS as error:
        log(Event.SOURCE_FAILED, f"{source or 'platform'}: {error}", 30)


async def adopt_best_offer(env: Environment, selection: StartupSelection) -> bool:
    """Put the highest offer in force.

    Return False if its source did not deliver the content; True also if no source has a revision.
    """
    best = selection.best()
    if best.revision is None:
        return True
    await pull(env, best.source)
    if env.revisions.number >= best.number:
        if PLATFORM in selection.offers and selection.offers[PLATFORM].number < best.number:
            await pull(env, PLATFORM)
        return True
    selection.on_pull_failed(best.source)
    return False


def is_watcher(env: Environment) -> bool:
    """Return whether this node is one of those that watch the object API.

    Only a few for each failure domain do, so that the calls do not grow with the fleet.
    """
    members = env.live_members()
    if not members:
        return True
    settings = env.settings
    this_node = Member(
        name=settings.vm,
        address=settings.address,
        port=settings.admin_port,
        role="",
        region=settings.region,
        failure_domain=settings.failure_domain,
        incarnation=env.incarnation,
        state=MemberState.READY,
    )
    others = [member for member in members if member.name != settings.vm]
    return settings.vm in watchers([this_node, *others], settings.failure_domain)


async def watch_platform(env: Environment) -> None:
    """Watch the object API as long as this node is chosen to; retry after errors."""
    since = 0
    while True:
        if not is_watcher(env):
            await curio.sleep(defaults.WATCHER_CHECK_SECONDS)
            continue
        try:
            timeout = defaults.WATCH_TIMEOUT_SECONDS
            version, changes = await env.platform.watch(heads.KIND, since, timeout)
            for entry in changes:
                await adopt_head(env, heads.parse_head(entry))
            since = version if version >= since else 0
        except EXPECTED_ERRORS as error:
            log(Event.PLATFORM_FAILED, str(error), 30)
            await curio.sleep(defaults.PLATFORM_RETRY_SECONDS * env.rng.uniform(0.5, 1.5))


async def adopt_head(env: Environment, head: Head) -> None:
    """Adopt the object API's head if it is newer.

    A head that is an ancestor of the revision in force means that the object API lost revisions;
    they are then restored.
    """
    if head.revision is None and not env.revisions.number:
        return
    offer = Offer(PLATFORM, head.revision, head.ancestors, head.number)
    verdict = env.revisions.check_offer(offer)
    if verdict is Verdict.SAME:
        return
    if verdict is not Verdict.ADOPT:
        env.reject(offer.number, PLATFORM, verdict)
        if env.revisions.is_ancestor(offer):
            await restore(env, head)
        return
    content = await store.update_content(env.platform, head.revision, env.content)
    await decode_in_steps(env, content)
    env.adopt(head.revision, content, head.ancestors, PLATFORM)


async def restore(env: Environment, head: Head) -> None:
    """Write accepted revisions back to an object API that has lost them."""
    revisions = env.revisions
    await heads.restore(env.platform, head, revisions.chain, env.content)
    log(
        Event.CONFIGURATION_RESTORED,
        f"the object API had fallen back to revision {head.number}; restored {revisions.number}",
        30,
    )


async def decode_in_steps(env: Environment, content: Content) -> None:
    """Decode a content part by part and yield in between, so that requests are not delayed."""
    for _ in env.decoder.prepare(content):
        await curio.sleep(0)


async def handle_announcement(env: Environment, origin: str, number: int) -> None:
    """Record the revision number that a member announced, and pull it if it is newer."""
    await start_pulls(env, env.revisions.on_revision_announced(origin, number))


async def poll_peer(env: Environment) -> None:
    """Poll a peer periodically, in case announcements were lost."""
    await start_pulls(env, env.revisions.on_tick(env.clock(), peers_to_query(env)))


async def start_pulls(env: Environment, pulls: list[Pull]) -> None:
    """Start pulls in a background task."""
    if pulls:
        await curio.spawn(run_pulls, env, pulls, daemon=True)


async def run_pulls(env: Environment, pulls: list[Pull]) -> None:
    """Run pulls one after the other until none is due."""
    while pulls:
        source = pulls[0].source
        try:
            await pull(env, source)
        except curio.CancelledError:
            raise
        except Exception as error:  # An unexpected error must not prevent later pulls.
            env.log_timer_error("pull", error)
        pulls = env.revisions.on_pull_ended(source)


async def pull(env: Environment, source: str) -> None:
    """Fetch the configuration of one source and adopt it if it is newer; log expected failures."""
    try:
        if source == PLATFORM:
            await adopt_head(env, await heads.read_head(env.platform))
            return
        offer, content = await peer_configuration.fetch_content(env, source)
        env.revisions.record_number(offer.highest_known)
        if offer.number > env.revisions.number:
            await decode_in_steps(env, content)
            env.adopt(offer.revision, content, offer.ancestors, source)
    except EXPECTED_ERRORS as error:
        log(Event.SOURCE_FAILED, f"{source or 'platform'}: {error}", 30)
