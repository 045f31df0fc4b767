"""Follows the configuration: start-up, watching the object API, and pulls from peers."""

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

FAILURES = (
    PlatformError,
    ConnectionLost,
    ContentError,
    h11.ProtocolError,
    msgspec.MsgspecError,
    ValueError,
)


def attach(env: Environment) -> None:
    """Let a node follow the configuration once it runs."""
    env.tasks.append(lambda: follow(env))
    env.timers.subscribe("revisions", defaults.WATCHER_CHECK_SECONDS, lambda: tick(env))


async def follow(env: Environment) -> None:
    """Take the highest known configuration, then follow changes until cancelled."""
    await start(env)
    await run_pulls(env, env.revisions.enable_pulls())
    await watch(env)


def peers(env: Environment) -> list[str]:
    """Return the peers that may be asked: live members, or those of the settings."""
    names = [member.name for member in env.live_members() if member.name != env.settings.vm]
    return names or list(env.settings.peers)


async def start(env: Environment) -> None:
    """Put the highest revision of the object API and several peers in force."""
    known = peers(env)
    chosen = env.rng.sample(known, min(defaults.STARTUP_PEERS, len(known)))
    state = StartupSelection(chosen, env.clock())
    while True:
        async with curio.TaskGroup() as group:
            for source in state.missing():
                await group.spawn(ask_source, env, state, source)
        if state.is_decided(env.clock()) and await take_best(env, state):
            return
        await curio.sleep(defaults.STARTUP_RETRY_SECONDS * env.rng.uniform(0.5, 1.5))


async def ask_source(env: Environment, state: StartupSelection, source: str) -> None:
    """Ask one source for its revision; a failure leaves it missing."""
    try:
        if source == PLATFORM:
            head = await heads.read_head(env.platform)
            state.on_offer(Offer(PLATFORM, head.revision, head.links, head.number))
        else:
            state.on_offer(await peer_configuration.fetch_offer(env, source))
    except FAILURES as error:
        log(Event.SOURCE_FAILED, f"{source or 'platform'}: {error}", 30)


async def take_best(env: Environment, state: StartupSelection) -> bool:
    """Put the highest offer in force. False when its source can't deliver it."""
    best = state.best()
    if best.revision is None:
        return True
    await pull(env, best.source)
    if env.revisions.number >= best.number:
        if PLATFORM in state.offers and state.offers[PLATFORM].number < best.number:
            await pull(env, PLATFORM)
        return True
    state.on_pull_failed(best.source)
    return False


def watching(env: Environment) -> bool:
    """Tell whether this node is one that watches the object API."""
    members = env.live_members()
    if not members:
        return True
    settings = env.settings
    me = Member(
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
    return settings.vm in watchers([me, *others], settings.failure_domain)


async def watch(env: Environment) -> None:
    """Watch the object API while this node is chosen to; outages are waited out."""
    since = 0
    while True:
        if not watching(env):
            await curio.sleep(defaults.WATCHER_CHECK_SECONDS)
            continue
        try:
            wait = defaults.WATCH_TIMEOUT_SECONDS
            version, changes = await env.platform.watch(heads.KIND, since, wait)
            for entry in changes:
                await take_head(env, heads.parse_head(entry))
            since = version if version >= since else 0
        except FAILURES as error:
            log(Event.PLATFORM_FAILED, str(error), 30)
            await curio.sleep(defaults.PLATFORM_RETRY_SECONDS * env.rng.uniform(0.5, 1.5))


async def take_head(env: Environment, head: Head) -> None:
    """Adopt the object API's head if it is newer, else note when it went back."""
    if head.revision is None and not env.revisions.number:
        return
    offer = Offer(PLATFORM, head.revision, head.links, head.number)
    verdict = env.revisions.check_offer(offer)
    if verdict is Verdict.SAME:
        return
    if verdict is not Verdict.ADOPT:
        env.reject(offer.number, PLATFORM, verdict)
        if env.revisions.is_ancestor(offer):
            await restore(env, head)
        return
    content = await store.update_content(env.platform, head.revision, env.content)
    await prepare(env, content)
    env.adopt(head.revision, content, head.links, PLATFORM)


async def restore(env: Environment, head: Head) -> None:
    """Give accepted revisions back to an object API that went back behind them."""
    revisions = env.revisions
    await heads.restore(env.platform, head, revisions.chain, env.content)
    log(
        Event.CONFIGURATION_RESTORED,
        f"the object API was at revision {head.number} and has {revisions.number} again",
        30,
    )


async def prepare(env: Environment, content: Content) -> None:
    """Decode a content in short steps, so that requests are served in between."""
    for _ in env.decoder.prepare(content):
        await curio.sleep(0)


async def take_revision(env: Environment, origin: str, number: int) -> None:
    """Note the revision that a member has in force, and pull it when it is news."""
    await run_pulls(env, env.revisions.on_revision_announced(origin, number))


async def tick(env: Environment) -> None:
    """Poll a peer now and then, in case nothing was heard."""
    await run_pulls(env, env.revisions.on_tick(env.clock(), peers(env)))


async def run_pulls(env: Environment, actions: list[Pull]) -> None:
    """Run pulls in the background."""
    if actions:
        await curio.spawn(pull_all, env, actions, daemon=True)


async def pull_all(env: Environment, actions: list[Pull]) -> None:
    """Run pulls one after the other until none is due."""
    while actions:
        source = actions[0].source
        try:
            await pull(env, source)
        except curio.CancelledError:
            raise
        except Exception as error:  # A pull that fails in any way must not stop later ones.
            env.log_timer_error("pull", error)
        actions = env.revisions.on_pull_ended(source)


async def pull(env: Environment, source: str) -> None:
    """Ask one source for its configuration and adopt it if it is newer."""
    try:
        if source == PLATFORM:
            await take_head(env, await heads.read_head(env.platform))
            return
        offer, content = await peer_configuration.fetch_content(env, source)
        env.revisions.record_number(offer.highest_known)
        if offer.number > env.revisions.number:
            await prepare(env, content)
            env.adopt(offer.revision, content, offer.ancestors, source)
    except FAILURES as error:
        log(Event.SOURCE_FAILED, f"{source or 'platform'}: {error}", 30)
