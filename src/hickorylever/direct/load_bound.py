"""Limits on which endpoints may take one more request.

They answer the loads of a pool whose requests prefer a few of its endpoints: the bound on an
endpoint's load, rate limits, cold endpoints, and the windows of endpoints that start or recover.
"""

from .candidates import Candidate, PlacementRequest, mean_requests, of_version
from .slow_start import MAX_STARTING_RATIO

BOUND_SLACK_REQUESTS = 2
BOUND_EXCESS_RATIO = 0.4  # Share of the allowed excess in use, as peers' loads arrive late.


def within_load_bound(
    candidates: list[Candidate], request: PlacementRequest
) -> tuple[list[Candidate], bool]:
    """Return the candidates that can take one more request within the bound, or all if none can.

    The bound is :func:`load_limit` of the candidates' mean. Candidates whose rate limit permits no
    request now are left out first. Those of other versions than the request's and cold ones that
    take no request now count only in the mean. Of the returned candidates, only those with
    capacity and within their slow-start windows are kept if there are any; the second value says
    whether that is so.
    """
    permitted = within_rate_limit(candidates, request)
    eligible = of_version(permitted, request)
    if not eligible:
        return of_version(candidates, request), False
    counted = permitted
    if len(permitted) < len(candidates):
        counted = within_rate_limit(candidates, request, include_cold_limits=False)
    mean = mean_requests(counted)
    limit = load_limit(mean, request.load_multiple)
    allowed = [entry for entry in eligible if entry.requests + 1 <= limit]
    if not allowed:
        if len(counted) > len(permitted) and not within_multiple(eligible, mean, request):
            return eligible, False
        allowed = eligible
    available = [entry for entry in allowed if entry.available(request)]
    if windows_apply(eligible):
        available, allowed = apply_windows(available, allowed, eligible, request)
    return (available, True) if available else (allowed, False)


def apply_windows(
    available: list[Candidate],
    allowed: list[Candidate],
    eligible: list[Candidate],
    request: PlacementRequest,
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the first two lists without candidates whose slow-start window is used up.

    They are returned unchanged if nothing would be available although endpoints beyond the load
    bound have capacity, since a window must not lead to refusals then.

    :param available: candidates within the load bound that have capacity.
    :param allowed: candidates within the load bound.
    :param eligible: candidates that can serve the request, also beyond the load bound.
    """
    within = [entry for entry in available if entry.within_window()]
    others = [entry for entry in eligible if entry.endpoint.active_slow_start is None]
    if not within and any(entry.available(request) for entry in others):
        return available, allowed
    return within, [entry for entry in allowed if entry.within_window()] or allowed


def load_limit(mean: float, load_multiple: float) -> float:
    """Return the number of requests that an endpoint may have in flight.

    It leaves a margin to the load multiple, of whose excess over 1 only `BOUND_EXCESS_RATIO` is
    used.

    :param mean: mean requests in flight of the candidates.
    """
    multiple = 1.0 + BOUND_EXCESS_RATIO * (load_multiple - 1.0)
    return multiple * mean + BOUND_SLACK_REQUESTS


def windows_apply(candidates: list[Candidate]) -> bool:
    """Return whether slow-start windows limit the choice.

    Where most endpoints are starting, the others could not take what the windows keep out.
    """
    windows = [candidate.endpoint.slow_start for candidate in candidates]
    if not any(windows):
        return False
    starting = sum([window is not None and window.active for window in windows])
    return 0 < starting <= MAX_STARTING_RATIO * len(candidates)


def within_multiple(candidates: list[Candidate], mean: float, request: PlacementRequest) -> bool:
    """Return whether one of the candidates can take a request within the whole load multiple.

    While others are held back as they are cold, the few that are warm must not take all requests.

    :param mean: mean requests in flight of the candidates, with those that are held back.
    """
    limit = request.load_multiple * mean + BOUND_SLACK_REQUESTS
    return any(candidate.requests + 1 <= limit for candidate in candidates)


def within_rate_limit(
    candidates: list[Candidate], request: PlacementRequest, include_cold_limits: bool = True
) -> list[Candidate]:
    """Return the candidates without a rate limit and those whose limit permits a request now.

    :param include_cold_limits: whether the limits of cold endpoints count as well.
    """
    return [
        candidate
        for candidate in candidates
        if ((limit := candidate.endpoint.rate_limit) is None or limit.permits(request.now))
        and not (include_cold_limits and candidate.endpoint.held(request.now))
    ]
