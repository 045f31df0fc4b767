"""Quarantine of requests that crash endpoints, so that none reaches a third endpoint.

Crashes and trials are recorded in the object API. A sidecar records a crash before it reports the
failure. A router reads the records before it skips an endpoint that would know of a crash, and
writes a trial record before a suspect is run once more.
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
    """The only further run of a suspect. Time is in seconds since the epoch.

    :param cleared: names of the crashes that a completed run showed it did not cause.
    """

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


def apply_record(env, record: CrashRecord | TrialRecord) -> None:
    """Apply a record that was read from the object API or received by gossip."""
    age = max(0.0, time.time() - record.time)
    recorded_at = env.clock() - age
    if isinstance(record, CrashRecord):
        env.suspects.record_crash(record.name, record.fingerprints, recorded_at)
    elif record.cleared:
        env.suspects.clear(record.fingerprint, record.cleared)
    else:
        env.suspects.begin_trial(record.fingerprint, recorded_at)


def attach(env) -> None:
    """Subscribe the expiry of suspects to the timers."""

    async def expire() -> None:
        env.suspects.expire(env.clock())

    env.timers.subscribe("suspects", defaults.SUSPECT_LIFETIME_SECONDS / 10, expire)


async def load_suspects(env) -> None:
    """Read the suspects when a sidecar starts, since a restart loses its state.

    Retries until the object API responds.
    """
    while True:
        try:
            await read_suspects(env)
            return
        except PlatformError as error:
            log(Event.REGISTER_FAILED, str(error), 30)
            await curio.sleep(defaults.PLATFORM_RETRY_SECONDS)


def trial_crashes(env, call) -> tuple[str, ...]:
    """Return the crashes that a trial run is for, empty for any other run.

    A trial whose crashes are not known here has a placeholder entry, so that its sidecar still
    recognises it as a trial.
    """
    if not call.trial_version:
        return ()
    return tuple(env.suspects.crashes(call.fingerprint, env.clock())) or ("unknown",)


def receive_record(env, origin: str, value: bytes) -> None:
    """Apply an encoded record received from another node. Malformed records are ignored."""
    try:
        record = _decoder.decode(value)
    except (msgspec.DecodeError, TypeError):
        return
    apply_record(env, record)


async def read_suspects(env) -> None:
    """Read all crash and trial records, and delete those that expired long ago.

    :raises PlatformError: when the records can't be read in time.
    """
    async with curio.ignore_after(defaults.SUSPECT_READ_TIMEOUT_SECONDS) as timeout:
        objects = await env.platform.list_kind(KIND)
    if timeout.expired:
        raise PlatformError("object API did not list the records of suspects in time")
    records = [(item, _decoder.decode(item.value)) for item in objects]
    for item, record in sorted(records, key=lambda entry: isinstance(entry[1], TrialRecord)):
        if time.time() - record.time <= 2 * defaults.SUSPECT_LIFETIME_SECONDS:
            apply_record(env, record)
        else:
            await curio.spawn(delete_expired, env, item, daemon=True)


async def delete_expired(env, item) -> None:
    """Delete an expired record. A failure is only logged: another node may have deleted it."""
    try:
        await env.platform.delete(KIND, item.name, item.version)
    except PlatformError as error:
        log(Event.REGISTER_FAILED, str(error))


async def register_crash(env, fingerprints: list[str]) -> None:
    """Record a crash of the endpoint of this node, locally, by gossip and in the object API.

    If the object API fails, the write is retried in the background.
    """
    name = f"{env.incarnation}-{env.clock():.6f}"
    record = CrashRecord(name, fingerprints, time.time())
    apply_record(env, record)
    if env.gossip is not None:
        env.gossip.publish("suspect", msgspec.json.encode(record))
    log(
        Event.ENDPOINT_CRASHED,
        f"{len(fingerprints)} different requests that ran when the endpoint crashed are suspects",
        crash=name,
    )
    if not await write_crash(env, record):
        await curio.spawn(retry_write, env, record, daemon=True)


async def write_crash(env, record: CrashRecord) -> bool:
    """Write a crash record. Return whether it is stored, by this or an earlier write."""
    try:
        await env.platform.put(KIND, f"crash-{record.name}", msgspec.json.encode(record), 0)
    except Conflict:
        return True
    except PlatformError as error:
        log(Event.REGISTER_FAILED, str(error), 30)
        return False
    return True


async def retry_write(env, record: CrashRecord) -> None:
    """Retry writing a crash record until the object API responds or the record expires."""
    expires_at = env.clock() + defaults.SUSPECT_LIFETIME_SECONDS
    written = False
    while not written and env.clock() < expires_at:
        await curio.sleep(defaults.PLATFORM_RETRY_SECONDS)
        written = await write_crash(env, record)


def refusal(call, suspect_status: SuspectStatus, pause: float | None = None) -> RequestError:
    """Return the error for a request that may not run now."""
    detail = f"the request is suspected of crashing endpoints ({suspect_status.value})"
    return RequestError(Kind.CRASHING, detail, call.ran, pause)


async def next_endpoint(env, call) -> Endpoint | None:
    """Return the next endpoint to send a request to, or None when no candidate is left.

    A trial restarts from the common order, without skipping an endpoint, so that the endpoints
    that other routers try first learn that the request is suspected.

    :raises RequestError: when the request may not run; it is not sent to an endpoint.
    """
    endpoint = next(call.candidates, None)
    if endpoint is None:
        return None
    in_trial = call.trial_version
    await screen(env, call, endpoint)
    if not call.trial_version or in_trial or not call.model:
        return endpoint
    call.candidates = call.common_order()
    return next(call.candidates)


async def screen(env, call, endpoint: Endpoint) -> None:
    """Check a request for crash suspicion right before it is sent to an endpoint.

    Only the first endpoint of the common order is sure to know of an earlier crash itself; for any
    other, the records are read first.

    :raises RequestError: when the request may not run.
    """
    not_first = bool(call.model) and next(call.common_order()) != endpoint
    if (not_first or call.order_uncertain) and not call.suspects_checked:
        await check_records(env, call)
    suspect_status = env.suspects.status(call.fingerprint, env.clock())
    if suspect_status is SuspectStatus.REFUSED and not call.trial_version:
        raise refusal(call, suspect_status)
    if (suspect_status is SuspectStatus.SUSPECT or call.suspected) and not call.trial_version:
        await begin_trial(env, call)


async def check_records(env, call) -> None:
    """Read the records. If that fails, a call that is not suspected goes on by local knowledge.

    :raises RequestError: when the call is suspected and the records can't be read.
    """
    if env.clock() < env.suspects_retry_at and not call.suspected:
        return
    try:
        await read_suspects(env)
        call.suspects_checked = True
    except PlatformError as error:
        env.suspects_retry_at = env.clock() + defaults.PLATFORM_RETRY_SECONDS
        log(Event.REGISTER_FAILED, str(error), 30)
        if call.suspected:
            raise refusal(
                call, SuspectStatus.SUSPECT, defaults.SUSPECT_RETRY_AFTER_SECONDS
            ) from None


async def begin_trial(env, call) -> None:
    """Reserve the only further run of a suspect by a conditional write.

    :raises RequestError: when another router has reserved it, or the write fails.
    """
    record = TrialRecord(call.fingerprint, call.id, time.time())
    try:
        call.trial_version = await write_trial(env, call, record)
        env.suspects.begin_trial(call.fingerprint, env.clock())
    except Conflict:
        call.suspected = True
        await check_records(env, call)
        suspect_status = env.suspects.status(call.fingerprint, env.clock())
        if suspect_status is not SuspectStatus.CLEAR:
            raise refusal(call, suspect_status, defaults.SUSPECT_RETRY_AFTER_SECONDS) from None
    except PlatformError as error:
        log(Event.REGISTER_FAILED, str(error), 30)
        raise refusal(call, SuspectStatus.SUSPECT, defaults.SUSPECT_RETRY_AFTER_SECONDS) from None


async def write_trial(env, call, record: TrialRecord) -> int:
    """Write a trial record and return its version. After a lost reply it is read back.

    :raises Conflict: when a trial of another call exists.
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
    """Return the object name of the trial record of a call."""
    return f"trial-{call.fingerprint}"


async def finish_trial(env, call) -> None:
    """Clear a suspect whose trial completed.

    Gossip of the record clears the suspicion on nodes that know of it. If the record can't be
    written, nodes that learn of the suspicion only from the object API refuse the request until it
    expires.
    """
    crashes = env.suspects.crashes(call.fingerprint, env.clock())
    if not call.trial_version or not crashes:
        return
    env.suspects.clear(call.fingerprint, crashes)
    record = TrialRecord(call.fingerprint, call.id, time.time(), crashes)
    if env.gossip is not None:
        env.gossip.publish("suspect", msgspec.json.encode(record))
    try:
        await env.platform.put(
            KIND, trial_name(call), msgspec.json.encode(record), call.trial_version
        )
    except PlatformError as error:
        log(Event.REGISTER_FAILED, str(error), 30)


def record_failure(call, kind: str, ran: Ran) -> None:
    """Mark a call as suspected after a crash, or after a sidecar reported an earlier one.

    :raises RequestError: when the trial of a suspect can't continue.
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
    """Return why a sidecar must not run an attempt besides those running, or None.

    The crashes that a trial names are recorded, so that this sidecar refuses the request later.
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
        return Kind.CRASHING, "an endpoint crashed while this request was running"
    if any(entry.fingerprint == attempt.fingerprint for entry in running):
        return Kind.CRASHING, "the same request is already running on this endpoint"
    if any(map(suspected, running)):
        return Kind.OVERLOADED, "another suspected request is running on this endpoint"
    return None
