"""Keeps a crashing request from a third endpoint: crashes and trials in the object API.

A sidecar registers a crash before anybody is told of the failure. A router reads the register
before it passes over an endpoint that would have known, and writes a trial before a suspect runs
once more.
"""

import time

import curio
import msgspec

from . import defaults
from .decisions.suspects import SuspectStatus
from .events import Event, log
from .exceptions import Conflict, Kind, LostReply, PlatformError, Ran, RequestError
from .records import Attempt, Endpoint

KIND = "suspects"


class CrashRecord(msgspec.Struct, tag="crash"):
    """An endpoint crashed while these requests ran. Time is in seconds since the epoch."""

    name: str
    fingerprints: list[str]
    time: float


class TrialRecord(msgspec.Struct, tag="trial"):
    """A suspect's one further run; `cleared` lists the crashes that it did not cause."""

    fingerprint: str
    nonce: str
    time: float
    cleared: list[str] = []


_decoder = msgspec.json.Decoder(CrashRecord | TrialRecord)


def decode(value: bytes) -> CrashRecord | TrialRecord:
    """Return a record from its bytes.

    :raises msgspec.DecodeError: when it is malformed.
    """
    return _decoder.decode(value)


def take_record(env, record: CrashRecord | TrialRecord) -> None:
    """Take one record of the register, or of gossip."""
    age = max(0.0, time.time() - record.time)
    then = env.clock() - age
    if isinstance(record, CrashRecord):
        env.suspects.record_crash(record.name, record.fingerprints, then)
    elif record.cleared:
        env.suspects.clear(record.fingerprint, record.cleared)
    else:
        env.suspects.begin_trial(record.fingerprint, then)


def attach(env) -> None:
    """Let a node forget old suspicions."""

    async def expire() -> None:
        env.suspects.expire(env.clock())

    env.timers.subscribe("suspects", defaults.SUSPECT_LIFETIME_SECONDS / 10, expire)


async def follow_register(env) -> None:
    """Read the register when a sidecar starts, since it has forgotten what it knew."""
    while True:
        try:
            await read_register(env)
            return
        except PlatformError as error:
            log(Event.REGISTER_FAILED, str(error), 30)
            await curio.sleep(defaults.PLATFORM_RETRY_SECONDS)


def trial_crashes(env, call) -> tuple[str, ...]:
    """Return the crashes that a call's one further run is for, empty for any other run."""
    if not call.trial_version:
        return ()
    return tuple(env.suspects.crashes(call.fingerprint, env.clock())) or ("unknown",)


def take_suspects(env, origin: str, value: bytes) -> None:
    """Take what another node tells: one encoded record. Anything else is left out."""
    try:
        record = _decoder.decode(value)
    except (msgspec.DecodeError, TypeError):
        return
    take_record(env, record)


async def read_register(env) -> None:
    """Read all crashes and trials; records long past their time are deleted.

    :raises PlatformError: when the register can't be read.
    """
    async with curio.ignore_after(defaults.SUSPECT_READ_TIMEOUT_SECONDS) as timeout:
        objects = await env.platform.list_kind(KIND)
    if timeout.expired:
        raise PlatformError("the register of suspects did not answer in time")
    records = [(item, _decoder.decode(item.value)) for item in objects]
    for item, record in sorted(records, key=lambda entry: isinstance(entry[1], TrialRecord)):
        if time.time() - record.time <= 2 * defaults.SUSPECT_LIFETIME_SECONDS:
            take_record(env, record)
        else:
            await curio.spawn(delete_old, env, item, daemon=True)


async def delete_old(env, item) -> None:
    """Delete an old record; another node may have been faster."""
    try:
        await env.platform.delete(KIND, item.name, item.version)
    except PlatformError as error:
        log(Event.REGISTER_FAILED, str(error))


async def register_crash(env, fingerprints: list[str]) -> None:
    """Register a crash of this node's endpoint; the node itself knows it in any case."""
    name = f"{env.incarnation}-{env.clock():.6f}"
    record = CrashRecord(name, fingerprints, time.time())
    take_record(env, record)
    if env.gossip is not None:
        env.gossip.tell("suspect", msgspec.json.encode(record))
    log(Event.ENDPOINT_CRASHED, f"{len(fingerprints)} requests are suspects", crash=name)
    if not await write_crash(env, record):
        await curio.spawn(keep_writing, env, record, daemon=True)


async def write_crash(env, record: CrashRecord) -> bool:
    """Write a crash's record; tell whether it stands in the register."""
    try:
        await env.platform.put(KIND, f"crash-{record.name}", msgspec.json.encode(record), 0)
    except Conflict:
        return True
    except PlatformError as error:
        log(Event.REGISTER_FAILED, str(error), 30)
        return False
    return True


async def keep_writing(env, record: CrashRecord) -> None:
    """Write a crash's record once the object API answers again."""
    until = env.clock() + defaults.SUSPECT_LIFETIME_SECONDS
    written = False
    while not written and env.clock() < until:
        await curio.sleep(defaults.PLATFORM_RETRY_SECONDS)
        written = await write_crash(env, record)


def refusal(call, standing: SuspectStatus, pause: float | None = None) -> RequestError:
    """Return the answer to a request that may not run now."""
    detail = f"the request is under suspicion of crashing endpoints ({standing.value})"
    return RequestError(Kind.CRASHING, detail, call.ran, pause)


async def next_endpoint(env, call) -> Endpoint | None:
    """Return the endpoint to hand a request over to, None when there is no other.

    A suspect's one further run starts anew from the agreed order, with nothing passed over, so
    that the first endpoints hear of the suspicion.

    :raises RequestError: when it may not run; nothing has been handed over.
    """
    endpoint = next(call.candidates, None)
    if endpoint is None:
        return None
    held = call.trial_version
    await screen(env, call, endpoint)
    if not call.trial_version or held or not call.model:
        return endpoint
    call.candidates = call.common_order()
    return next(call.candidates)


async def screen(env, call, endpoint: Endpoint) -> None:
    """Check a request right before it is handed over to an endpoint.

    Only the first endpoint of the agreed order would know of an earlier crash itself.
    """
    away = bool(call.model) and next(call.common_order()) != endpoint
    if (away or call.order_uncertain) and not call.suspects_checked:
        await consult(env, call)
    standing = env.suspects.status(call.fingerprint, env.clock())
    if standing is SuspectStatus.REFUSED and not call.trial_version:
        raise refusal(call, standing)
    if (standing is SuspectStatus.SUSPECT or call.suspected) and not call.trial_version:
        await begin_trial(env, call)


async def consult(env, call) -> None:
    """Read the register; without it, go by what this node knows unless the call is suspected.

    :raises RequestError: when the call is suspected and the register can't be read.
    """
    if env.clock() < env.register_pause and not call.suspected:
        return
    try:
        await read_register(env)
        call.suspects_checked = True
    except PlatformError as error:
        env.register_pause = env.clock() + defaults.PLATFORM_RETRY_SECONDS
        log(Event.REGISTER_FAILED, str(error), 30)
        if call.suspected:
            raise refusal(
                call, SuspectStatus.SUSPECT, defaults.SUSPECT_RETRY_AFTER_SECONDS
            ) from None


async def begin_trial(env, call) -> None:
    """Take the one further run of a suspect by a conditional write.

    :raises RequestError: when another has taken it, or it can't be written.
    """
    record = TrialRecord(call.fingerprint, call.id, time.time())
    try:
        call.trial_version = await write_trial(env, call, record)
        env.suspects.begin_trial(call.fingerprint, env.clock())
    except Conflict:
        call.suspected = True
        await consult(env, call)
        standing = env.suspects.status(call.fingerprint, env.clock())
        if standing is not SuspectStatus.CLEAR:
            raise refusal(call, standing, defaults.SUSPECT_RETRY_AFTER_SECONDS) from None
    except PlatformError as error:
        log(Event.REGISTER_FAILED, str(error), 30)
        raise refusal(call, SuspectStatus.SUSPECT, defaults.SUSPECT_RETRY_AFTER_SECONDS) from None


async def write_trial(env, call, record: TrialRecord) -> int:
    """Write a trial and return its version; a lost reply is settled by reading back.

    :raises Conflict: when there is another's trial.
    :raises PlatformError: when it can't be written.
    """
    try:
        written = await env.platform.put(KIND, trial_name(call), msgspec.json.encode(record), 0)
        return written.version
    except LostReply:
        found = await env.platform.get(KIND, trial_name(call))
        if found.version and _decoder.decode(found.value).nonce == record.nonce:
            return found.version
        raise


def trial_name(call) -> str:
    """Return the name of the object that stands for a suspect's one further run."""
    return f"trial-{call.fingerprint}"


async def finish_trial(env, call) -> None:
    """Clear a suspect that has completed. If that can't be written it stays refused for a time."""
    crashes = env.suspects.crashes(call.fingerprint, env.clock())
    if not call.trial_version or not crashes:
        return
    env.suspects.clear(call.fingerprint, crashes)
    record = TrialRecord(call.fingerprint, call.id, time.time(), crashes)
    if env.gossip is not None:
        env.gossip.tell("suspect", msgspec.json.encode(record))
    try:
        await env.platform.put(
            KIND, trial_name(call), msgspec.json.encode(record), call.trial_version
        )
    except PlatformError as error:
        log(Event.REGISTER_FAILED, str(error), 30)


def note_failure(call, kind: str, ran: Ran) -> None:
    """Note how an attempt failed: a crash while it ran, or a sidecar that knows of one.

    :raises RequestError: when a suspect's one further run can't go on.
    """
    crashed = kind == Kind.ENDPOINT_FAILED and ran is not Ran.NO
    if call.trial_version and kind in (Kind.CRASHING, Kind.NO_ENDPOINT):
        raise refusal(call, SuspectStatus.SUSPECT)
    if crashed:
        call.trial_version = 0
    if crashed or kind == Kind.CRASHING:
        call.suspected = call.order_uncertain = True
        call.suspects_checked = False


def refuse_attempt(env, attempt: Attempt, running: list[Attempt]) -> tuple[Kind, str] | None:
    """Return why a sidecar must not run an attempt beside those that run, None when it may.

    An attempt that is a suspect's one further run tells this sidecar of the suspicion.
    """
    now = env.clock()
    for crash in attempt.trial:
        env.suspects.record_crash(crash, [attempt.fingerprint], now)

    def suspected(entry: Attempt) -> bool:
        return (
            bool(entry.trial)
            or env.suspects.status(entry.fingerprint, now) is not SuspectStatus.CLEAR
        )

    if not attempt.fingerprint or not suspected(attempt):
        return None
    if not attempt.trial:
        return Kind.CRASHING, "an endpoint crashed while this request ran"
    if any(entry.fingerprint == attempt.fingerprint for entry in running):
        return Kind.CRASHING, "the same request runs here already"
    if any(map(suspected, running)):
        return Kind.OVERLOADED, "another suspect runs here"
    return None
