"""A request to place, and the endpoints that come into question for it."""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from .capacity import DEFAULT_ESTIMATE, Estimate, has_capacity
from .endpoints import Endpoint
from .records import Engine, PromptPart


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A request to place and the limits that apply.

    :param now: monotonic seconds.
    :param load_multiple: limit on the requests at an endpoint, as a multiple of the mean of the
        candidates.
    :param engine: properties of the service's engines; None for a plain service.
    :param parts: parts of the prompt; empty for a plain service.
    :param failure_domain: failure domain of this router.
    :param avoid: names of endpoints that have been tried.
    :param version: software version that the endpoint must have, or None for any.
    :param objective: seconds within which the response, or its first event, is on time; None for
        no limit.
    """

    now: float
    failure_domain: str
    load_multiple: float
    engine: Engine | None = None
    parts: Sequence[PromptPart] = ()
    prompt_tokens: int = 0
    avoid: frozenset[str] = frozenset()
    version: str | None = None
    objective: float | None = None

    @property
    def prompt_length(self) -> int:
        """Return the length of the prompt in tokens."""
        return max(self.prompt_tokens, sum(part.tokens for part in self.parts))


class Candidate(msgspec.Struct, frozen=True, gc=False):
    """An endpoint with the properties that the selection compares.

    :param requests: requests in flight there from all known routers.
    :param prefill: prompt tokens that it has yet to read.
    :param cached_tokens: tokens of the prompt's prefix that it has cached.
    :param rank: its position in the rendezvous order.
    :param estimate: expected times of work there.
    """

    endpoint: Endpoint
    requests: int
    prefill: float
    cached_tokens: int = 0
    rank: int = 0
    estimate: Estimate = DEFAULT_ESTIMATE

    @classmethod
    def of(
        cls, endpoint: Endpoint, now: float, cached_tokens: int = 0, rank: int = 0
    ) -> "Candidate":
        """Return an endpoint as a candidate.

        :param now: monotonic seconds.
        """
        return cls(endpoint, *endpoint.load(), cached_tokens, rank, endpoint.estimate(now))

    def available(self, request: PlacementRequest) -> bool:
        """Return whether it can start one more request soon."""
        return has_capacity(
            self.endpoint.entry,
            request.engine,
            self.requests,
            self.prefill,
            self.estimate,
            request.objective,
            request.prompt_tokens - self.cached_tokens,
        )

    def within_window(self) -> bool:
        """Return whether its slow-start window, if it has one, permits one more request."""
        start = self.endpoint.active_slow_start
        return start is None or start.permits(self.requests, self.endpoint.running)


def is_usable(endpoint: Endpoint, request: PlacementRequest) -> bool:
    """Return whether the request may be sent to an endpoint."""
    return endpoint.usable(request.now) and endpoint.entry.name not in request.avoid


def of_version(candidates: list[Candidate], request: PlacementRequest) -> list[Candidate]:
    """Return the candidates of the version that the request needs."""
    if request.version is None:
        return candidates
    return [entry for entry in candidates if entry.endpoint.entry.version == request.version]


def mean_requests(candidates: list[Candidate]) -> float:
    """Return the mean number of requests in flight."""
    return sum([candidate.requests for candidate in candidates]) / len(candidates)


def is_remote(endpoint: Endpoint, request: PlacementRequest) -> bool:
    """Return whether an endpoint is in another failure domain than the router."""
    return endpoint.entry.failure_domain != request.failure_domain
