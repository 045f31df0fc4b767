"""Checks of the routers' guarantees against the records of callers and endpoints.

Each check yields a message for every violation.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from ..direct.records import RouteKind
from ..registry import Registry
from .callers import TIME_LIMIT, Record, Sent
from .faults import PLANNED
from .world import EVENTS, KINDS, MAX_ATTEMPTS, World

Check = Callable[[World, Record], Iterator[str]]
checks: Registry[Check] = Registry("check")

PROMISES = (408, 421, 429, 503)  # Statuses that guarantee that the request did not run.
DRAIN_TIME = 2.0  # Time after which a draining endpoint must get no new request.
CALM_BEFORE = 4.0  # Time without other faults that must precede a checked event.
ANSWER_SLACK = 0.5  # Time after its deadline by which a request must have ended.
WHOLE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))


def runs_of(world: World) -> Counter[str]:
    """Return how often each request ran, by its id."""
    return Counter(run.request_id for origin in world.origins for run in origin.runs)


@checks.register("unasked")
def nothing_runs_unasked(world: World, record: Record) -> Iterator[str]:
    """Endpoints run only requests that a caller sent."""
    for name in runs_of(world):
        if name not in record.asked:
            yield f"{name} ran, but no caller sent it"


@checks.register("at most once")
def at_most_once(world: World, record: Record) -> Iterator[str]:
    """Requests that must not be repeated run at most once, others at most `MAX_ATTEMPTS` times."""
    runs = runs_of(world)
    allowed = {"unsafe": 1, "stream": 1}
    for sent in record.sent:
        if runs[sent.id] > allowed.get(sent.kind, MAX_ATTEMPTS):
            yield f"{sent.id} ({sent.kind}) ran {runs[sent.id]} times"


@checks.register("not run")
def not_run_is_true(world: World, record: Record) -> Iterator[str]:
    """A request whose status says that it did not run has not run."""
    runs = runs_of(world)
    for sent in record.sent:
        if sent.status in PROMISES and runs[sent.id]:
            yield f"{sent.id} ran, but its response had status {sent.status}"


@checks.register("own answer")
def whole_own_answer(world: World, record: Record) -> Iterator[str]:
    """A complete response with status 200 is the response to the same request."""
    for sent in record.sent:
        if sent.status == 200 and sent.body is not None and not own(sent):
            yield f"{sent.id} ({sent.kind}) got an unexpected body: {sent.body[:80]!r}"


def own(sent: Sent) -> bool:
    """Return whether the body is the complete response to the request itself."""
    if KINDS[sent.kind] is RouteKind.STREAM:
        return sent.body == WHOLE_STREAM
    return sent.body.endswith(f" for {sent.id}".encode())


@checks.register("no way back")
def configuration_never_reverts(world: World, record: Record) -> Iterator[str]:
    """A router process never goes back to an earlier configuration version.

    Only requests that follow one another are compared, as concurrent ones have no order.
    """
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
    """A draining endpoint gets no new request after `DRAIN_TIME` seconds."""
    for number, began, ended in world.leaves:
        for run in world.origins[number].runs:
            late = began + DRAIN_TIME < run.time < ended
            if late and world.calm(began - CALM_BEFORE, run.time, frozenset(("leave", "reload"))):
                name = world.origins[number].name
                yield f"{run.request_id} reached {name} {run.time - began:.2f} s into its drain"


@checks.register("planned work")
def planned_work_cuts_nothing(world: World, record: Record) -> Iterator[str]:
    """Planned operations interrupt no running request."""
    runs = runs_of(world)
    for sent in record.sent:
        cut = sent.body is None and not sent.left and runs[sent.id]
        if cut and world.calm(sent.began - CALM_BEFORE, sent.ended, PLANNED):
            yield f"{sent.id} ({sent.kind}) was aborted at {sent.router} by a planned operation"


@checks.register("an end in time")
def requests_end_in_time(world: World, record: Record) -> Iterator[str]:
    """A request ends by its deadline unless its router was stopped."""
    halted = frozenset(name for name in ("pause", "kill", "kill_all"))
    for sent in record.sent:
        seconds = sent.ended - sent.began
        stopped = any(
            fault.name in halted and fault.began <= sent.ended and fault.ended >= sent.began
            for fault in world.impairments
        )
        if sent.connected and seconds > TIME_LIMIT + ANSWER_SLACK and not stopped:
            yield f"{sent.id} ({sent.kind}) took {seconds:.2f} s at {sent.router}"
