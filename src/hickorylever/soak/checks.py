"""Checks of the routers' guarantees against the records of callers and endpoints.

Each check yields a message for every violation.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from ..direct.records import RouteKind
from ..platform.standins.origin import encode_event, most_in_a_second, prompt_parts
from ..registry import Registry
from .callers import DEADLINE_SECONDS, SentRequest, TrafficLog
from .faults import PLANNED_OPERATIONS, faults
from .world import (
    EVACUATION_SECONDS,
    EVENTS_PER_STREAM,
    MAX_ATTEMPTS,
    ROUTE_KINDS,
    WARMUP,
    WARMUP_ALLOWANCE,
    WARMUP_OVERAGE,
    SoakHarness,
    failure_domain,
)

Check = Callable[[SoakHarness, TrafficLog], Iterator[str]]
checks: Registry[Check] = Registry("check")

NOT_RUN_STATUSES = (408, 421, 429, 503)  # Statuses that guarantee that the request did not run.
DRAIN_TIMEOUT_SECONDS = 2.0  # Time after which a draining endpoint must get no new request.
FAULT_FREE_SECONDS = 4.0  # Time without other faults that must precede a checked event.
MAX_CRASHES = 5  # Of endpoints under one prompt part, before routers must keep it from others.
MAX_LATE_RUNS = 3
REPORT_SECONDS = 1.0  # Time in which all routers learn of a crash.
RECOVERY_SECONDS = 6.0  # Time after which sound requests are served again.
MIN_SOUND_REQUESTS = 20
LIMIT_SPAN_SECONDS = 4.0
LIMIT_RATIO = 1.5
LIMIT_EXCESS = 5
LIMIT_REACTION_SECONDS = 3.0  # From the first answer that names a limit.
OTHER_THAN_ROUTER_FAULTS = frozenset(faults) - {
    "kill",
    "kill_all",
    "pause",
    "stall",
    "stop",
}
MIN_RESUMED_STREAMS = 12
LOST_RATIO = 0.5
# Without those that may keep all routers that are asked, and the store, from knowing a stream.
OTHER_THAN_KNOWLEDGE_FAULTS = frozenset(faults) - {
    "evacuate",
    "pause",
    "partition",
    "restore",
    "slow_store",
    "stall",
    "store",
}
# Faults under which no router may hear the store, or a router that runs again hears nothing yet.
HIDING_FAULTS = frozenset(("partition", "pause", "slow_store", "stall", "store"))
DEADLINE_TOLERANCE_SECONDS = 0.5  # Time after its deadline by which a request must have ended.


def count_runs(harness: SoakHarness) -> Counter[str]:
    """Return how often each request ran, by its id."""
    return Counter(run.request_id for origin in harness.origins for run in origin.runs)


@checks.register("unasked")
def only_sent_requests_run(harness: SoakHarness, traffic: TrafficLog) -> Iterator[str]:
    """Endpoints run only requests that a caller sent."""
    for request_id in count_runs(harness):
        if request_id not in traffic.request_ids:
            yield f"{request_id} ran, but no caller sent it"


@checks.register("at most once")
def at_most_once(harness: SoakHarness, traffic: TrafficLog) -> Iterator[str]:
    """Requests that must not be repeated run at most once, others at most `MAX_ATTEMPTS` times."""
    runs = count_runs(harness)
    max_runs = {"unsafe": 1, "stream": 1}
    for request in traffic.requests:
        if runs[request.id] > max_runs.get(request.kind, MAX_ATTEMPTS):
            yield f"{request.id} ({request.kind}) ran {runs[request.id]} times"


@checks.register("not run")
def not_run_status_is_correct(harness: SoakHarness, traffic: TrafficLog) -> Iterator[str]:
    """A request whose status says that it did not run has not run."""
    runs = count_runs(harness)
    for request in traffic.requests:
        if request.status in NOT_RUN_STATUSES and runs[request.id]:
            yield f"{request.id} ran, but its response had status {request.status}"


@checks.register("own answer")
def successful_response_is_complete_and_own(
    harness: SoakHarness, traffic: TrafficLog
) -> Iterator[str]:
    """A complete response with status 200 is the response to the same request."""
    for request in traffic.requests:
        if request.status == 200 and request.body is not None and not is_own_response(request):
            yield f"{request.id} ({request.kind}) got an unexpected body: {request.body[:80]!r}"


def is_own_response(request: SentRequest) -> bool:
    """Return whether the body is the complete response to the request itself."""
    if ROUTE_KINDS[request.kind] is RouteKind.STREAM:
        numbers = range(request.after + 1, EVENTS_PER_STREAM + 1)
        versions = [version for _, version in request.events]
        return len(versions) == len(numbers) and request.body == b"".join(
            map(encode_event, numbers, versions)
        )
    return request.body.endswith(f" for {request.id}".encode())


@checks.register("order")
def streams_hold_events_of_one_version(harness: SoakHarness, traffic: TrafficLog) -> Iterator[str]:
    """All events of a stream, over all tries of its caller, are of one software version."""
    versions = defaultdict(set)
    for request in traffic.requests:
        versions[request.resumes or request.id].update(version for _, version in request.events)
    for request_id, found in versions.items():
        if len(found) > 1:
            yield f"the stream of {request_id} holds events of {', '.join(sorted(found))}"


@checks.register("lost")
def streams_go_on(harness: SoakHarness, traffic: TrafficLog) -> Iterator[str]:
    """Streams that callers take up go on half as often as new ones begin, at least.

    Only those whose version at least two endpoints have at the time count.
    """
    versions = {request.id: request.events[0][1] for request in traffic.requests if request.events}
    streams = [
        request
        for request in traffic.requests
        if request.kind == "resumable"
        and not request.disconnected
        and harness.is_fault_free(
            request.started_at - FAULT_FREE_SECONDS,
            request.ended_at,
            OTHER_THAN_KNOWLEDGE_FAULTS,
        )
    ]
    new = [request.status == 200 for request in streams if not request.resumes]
    resumed = [
        request.status == 200
        for request in streams
        if request.resumes
        and harness.serving(versions[request.resumes], request.started_at, request.ended_at) > 1
    ]
    if len(resumed) < MIN_RESUMED_STREAMS or not new:
        return
    if sum(resumed) / len(resumed) < LOST_RATIO * sum(new) / len(new):
        yield f"{sum(resumed)} of {len(resumed)} streams went on, {sum(new)} of {len(new)} began"


@checks.register("no way back")
def configuration_never_reverts(harness: SoakHarness, traffic: TrafficLog) -> Iterator[str]:
    """A router process never goes back to an earlier configuration version.

    Only requests that follow one another are compared, as concurrent ones have no order.
    """
    served = defaultdict(list)
    for request in sorted(traffic.requests, key=lambda request: request.started_at):
        if (
            not request.version
            or request.status != 200
            or request.router_starts[0] != request.router_starts[1]
        ):
            continue
        process = request.router, request.router_starts[0]
        completed = [other for other in served[process] if other.ended_at < request.started_at]
        latest = max((other.version for other in completed), default=0)
        if request.version < latest:
            yield f"{request.id}: {request.router} served version {request.version} after {latest}"
        served[process].append(request)


@checks.register("leaving")
def draining_endpoint_gets_no_new_request(
    harness: SoakHarness, traffic: TrafficLog
) -> Iterator[str]:
    """A draining endpoint gets no new request after `DRAIN_TIMEOUT_SECONDS`."""
    for index, start, end in harness.drain_periods:
        for run in harness.origins[index].runs:
            too_late = start + DRAIN_TIMEOUT_SECONDS < run.time < end
            if too_late and harness.is_fault_free(
                start - FAULT_FREE_SECONDS, run.time, frozenset(("leave", "reload"))
            ):
                name = harness.origins[index].name
                yield f"{run.request_id} reached {name} {run.time - start:.2f} s into its drain"


@checks.register("shutdown")
def endpoint_that_shuts_down_gets_no_new_request(
    harness: SoakHarness, traffic: TrafficLog
) -> Iterator[str]:
    """An endpoint gets no request `DRAIN_TIMEOUT_SECONDS` after it first said that it leaves."""
    harmless = frozenset(("leave", "shutdown", "reload", "configure", "history"))
    for index, start, end in harness.shutdown_periods:
        runs = [run for run in harness.origins[index].runs if start <= run.time <= end]
        first = min((run.time for run in runs), default=end)
        for run in runs:
            too_late = run.time > first + DRAIN_TIMEOUT_SECONDS
            if too_late and harness.is_fault_free(start - FAULT_FREE_SECONDS, run.time, harmless):
                name = harness.origins[index].name
                yield f"{run.request_id} reached {name} {run.time - first:.2f} s after its word"


@checks.register("evacuated")
def evacuated_domain_gets_no_new_request(
    harness: SoakHarness, traffic: TrafficLog
) -> Iterator[str]:
    """An endpoint of an evacuated domain gets no request after `EVACUATION_SECONDS`."""
    for domain, start, end in harness.evacuation_periods:
        obeyed_at = seen_at(harness, start) + EVACUATION_SECONDS
        for number, origin in enumerate(harness.origins):
            if failure_domain(number) != domain:
                continue
            for run in origin.runs:
                if obeyed_at < run.time < end:
                    late = run.time - start
                    yield f"{run.request_id} reached {origin.name} {late:.2f} s into evacuation"


def seen_at(harness: SoakHarness, start: float) -> float:
    """Return the time since which all routers could see a change of the store, or each other.

    :param start: time of the change.
    """
    periods = [fault for fault in harness.fault_periods if fault.name in HIDING_FAULTS]
    for fault in sorted(periods, key=lambda fault: fault.started_at):
        if fault.started_at < start + EVACUATION_SECONDS:
            start = max(start, fault.ended_at)
    return start


@checks.register("crashing part")
def crashing_part_reaches_few_endpoints(
    harness: SoakHarness, traffic: TrafficLog
) -> Iterator[str]:
    """A part that crashed `MAX_CRASHES` endpoints reaches few others a little later."""
    for part, times in crash_times(harness).items():
        late = [
            time
            for time in times
            if time > times[MAX_CRASHES - 1] + REPORT_SECONDS
            and harness.is_fault_free(time - FAULT_FREE_SECONDS, time, OTHER_THAN_ROUTER_FAULTS)
        ]
        if len(late) > MAX_LATE_RUNS:
            yield f"{part} reached endpoints {len(late)} times after {MAX_CRASHES} crashes"


def crash_times(harness: SoakHarness) -> dict[str, list[float]]:
    """Return when endpoints began to run requests with each part that crashes them.

    Parts that crashed fewer than `MAX_CRASHES` endpoints are left out.
    """
    times = defaultdict(list)
    for origin in harness.origins:
        for run in origin.runs:
            for part in set(harness.crashing_parts).intersection(
                prompt_parts(run.headers.items())
            ):
                times[part].append(run.time)
    return {part: sorted(runs) for part, runs in times.items() if len(runs) >= MAX_CRASHES}


@checks.register("sound parts")
def sound_requests_run_beside_a_crashing_part(
    harness: SoakHarness, traffic: TrafficLog
) -> Iterator[str]:
    """Requests that share their other parts with crashing ones are served meanwhile."""
    harmless = frozenset(("crashing_part", "reload", "configure", "history"))
    for part, times in crash_times(harness).items():
        since = times[MAX_CRASHES - 1] + RECOVERY_SECONDS
        until = max(request.started_at for request in traffic.requests if part in request.parts)
        sound = [
            request.status == 200
            for request in traffic.requests
            if since <= request.started_at <= until
            and request.parts
            and not set(harness.crashing_parts).intersection(request.parts)
            and harness.is_fault_free(
                request.started_at - FAULT_FREE_SECONDS, request.ended_at, harmless
            )
        ]
        if len(sound) >= MIN_SOUND_REQUESTS and sum(sound) < len(sound) / 2:
            yield f"{sum(sound)} of {len(sound)} sound requests were served beside {part}"


@checks.register("limit")
def endpoint_gets_no_more_than_its_limit(
    harness: SoakHarness, traffic: TrafficLog
) -> Iterator[str]:
    """An endpoint gets little more than the limit that it names, in any `LIMIT_SPAN_SECONDS`."""
    for period in harness.limit_periods:
        allowed = LIMIT_RATIO * period.rate * LIMIT_SPAN_SECONDS + LIMIT_EXCESS
        times = [run.time for run in harness.origins[period.index].runs]
        named_at = min((time for time in times if time >= period.started_at), default=0.0)
        for start in times:
            end = start + LIMIT_SPAN_SECONDS
            if start < named_at + LIMIT_REACTION_SECONDS or end > period.ended_at:
                continue
            count = sum(start <= time < end for time in times)
            if count > allowed and harness.is_fault_free(
                start - FAULT_FREE_SECONDS, end, OTHER_THAN_ROUTER_FAULTS
            ):
                name = harness.origins[period.index].name
                yield f"{name} named {period.rate} a second and got {count} in {end - start:g} s"
                break


@checks.register("cold")
def cold_endpoint_gets_no_more_than_its_limit(
    harness: SoakHarness, traffic: TrafficLog
) -> Iterator[str]:
    """All routers together send a cold endpoint no more than its limit in any one second."""
    allowed = WARMUP.rate * WARMUP_OVERAGE + WARMUP_ALLOWANCE
    for origin in harness.origins:
        count = most_in_a_second(origin.cold_arrivals)
        if count > allowed:
            yield f"{origin.name} got {count} requests in a second while it was cold"


@checks.register("planned work")
def planned_operations_abort_no_request(
    harness: SoakHarness, traffic: TrafficLog
) -> Iterator[str]:
    """Planned operations interrupt no running request."""
    runs = count_runs(harness)
    for request in traffic.requests:
        aborted = request.body is None and not request.disconnected and runs[request.id]
        if aborted and harness.is_fault_free(
            request.started_at - FAULT_FREE_SECONDS, request.ended_at, PLANNED_OPERATIONS
        ):
            yield f"{request.id} ({request.kind}) was aborted at {request.router} by planned work"


@checks.register("an end in time")
def requests_end_by_deadline(harness: SoakHarness, traffic: TrafficLog) -> Iterator[str]:
    """A request ends by its deadline unless its router was stopped."""
    router_faults = frozenset(("pause", "stall", "kill", "kill_all"))
    for request in traffic.requests:
        duration = request.ended_at - request.started_at
        router_stopped = any(
            fault.name in router_faults
            and fault.started_at <= request.ended_at
            and fault.ended_at >= request.started_at
            for fault in harness.fault_periods
        )
        if (
            request.connected
            and duration > DEADLINE_SECONDS + DEADLINE_TOLERANCE_SECONDS
            and not router_stopped
        ):
            yield f"{request.id} ({request.kind}) took {duration:.2f} s at {request.router}"
