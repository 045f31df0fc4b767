"""The promises that a soak checks, from what callers got and endpoints ran."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from ..direct.records import RouteKind
from ..registry import Registry
from .callers import TIME_LIMIT, Record, Sent
from .faults import PLANNED
from .world import EVENTS, KINDS, MAX_ATTEMPTS, World

Check = Callable[[World, Record], Iterator[str]]
checks: Registry[Check] = Registry("check")

PROMISES = (408, 421, 429, 503)  # Statuses that say that a request did not run.
DRAIN_TIME = 2.0  # Seconds after which an endpoint that leaves gets nothing new.
CALM_BEFORE = 4.0  # Seconds without other faults that a check with a time needs.
ANSWER_SLACK = 0.5  # Seconds after its time limit by which a request must have an end.
WHOLE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))


def runs_of(world: World) -> Counter[str]:
    """Return how often each request ran."""
    return Counter(run.request_id for origin in world.origins for run in origin.runs)


@checks.register("unasked")
def nothing_runs_unasked(world: World, record: Record) -> Iterator[str]:
    """Endpoints run only what callers sent."""
    for name in runs_of(world):
        if name not in record.asked:
            yield f"{name} ran and no caller sent it"


@checks.register("at most once")
def at_most_once(world: World, record: Record) -> Iterator[str]:
    """Requests that may not repeat run once at most, others no more often than allowed."""
    runs = runs_of(world)
    allowed = {"unsafe": 1, "stream": 1}
    for sent in record.sent:
        if runs[sent.id] > allowed.get(sent.kind, MAX_ATTEMPTS):
            yield f"{sent.id} ({sent.kind}) ran {runs[sent.id]} times"


@checks.register("not run")
def not_run_is_true(world: World, record: Record) -> Iterator[str]:
    """Whoever is told that a request did not run is told the truth."""
    runs = runs_of(world)
    for sent in record.sent:
        if sent.status in PROMISES and runs[sent.id]:
            yield f"{sent.id} was answered {sent.status} and ran"


@checks.register("own answer")
def whole_own_answer(world: World, record: Record) -> Iterator[str]:
    """A success holds the whole answer to the request itself."""
    for sent in record.sent:
        if sent.status == 200 and sent.body is not None and not own(sent):
            yield f"{sent.id} ({sent.kind}) got another body: {sent.body[:80]!r}"


def own(sent: Sent) -> bool:
    """Tell whether a body is the whole answer to its request."""
    if KINDS[sent.kind] is RouteKind.STREAM:
        return sent.body == WHOLE_STREAM
    return sent.body.endswith(f" for {sent.id}".encode())


@checks.register("no way back")
def configuration_never_reverts(world: World, record: Record) -> Iterator[str]:
    """A process that served a version's route never serves an earlier one's again."""
    served = defaultdict(list)
    for sent in sorted(record.sent, key=lambda sent: sent.began):
        if not sent.version or sent.status != 200 or sent.starts[0] != sent.starts[1]:
            continue
        process = sent.router, sent.starts[0]
        later = [other for other in served[process] if other.ended < sent.began]
        newest = max((other.version for other in later), default=0)
        if sent.version < newest:
            yield f"{sent.id}: {sent.router} served version {sent.version} after {newest}"
        served[process].append(sent)


@checks.register("leaving")
def leaving_endpoints_get_nothing_new(world: World, record: Record) -> Iterator[str]:
    """An endpoint that leaves gets no new request after a while."""
    for number, began, ended in world.leaves:
        for run in world.origins[number].runs:
            late = began + DRAIN_TIME < run.time < ended
            if late and world.calm(began - CALM_BEFORE, run.time, frozenset(("leave", "reload"))):
                name = world.origins[number].name
                yield f"{run.request_id} reached {name} {run.time - began:.2f} s after it left"


@checks.register("planned work")
def planned_work_cuts_nothing(world: World, record: Record) -> Iterator[str]:
    """Stops, reloads, configurations and leaving endpoints cut off no request that runs."""
    runs = runs_of(world)
    for sent in record.sent:
        cut = sent.body is None and not sent.left and runs[sent.id]
        if cut and world.calm(sent.began - CALM_BEFORE, sent.ended, PLANNED):
            yield f"{sent.id} ({sent.kind}) was cut at {sent.router} by planned work"


@checks.register("an end in time")
def requests_end_in_time(world: World, record: Record) -> Iterator[str]:
    """A request has its end soon after its time limit, where its router runs."""
    halted = frozenset(name for name in ("pause", "kill", "kill_all"))
    for sent in record.sent:
        seconds = sent.ended - sent.began
        stopped = any(
            fault.name in halted and fault.began <= sent.ended and fault.ended >= sent.began
            for fault in world.impairments
        )
        if sent.connected and seconds > TIME_LIMIT + ANSWER_SLACK and not stopped:
            yield f"{sent.id} ({sent.kind}) had no end at {sent.router} for {seconds:.2f} s"
