"""What a router reports about where a described request would go now.

Times are in seconds, lengths of prompts and costs of engines in tokens, costs of plain endpoints
in requests.
"""

import msgspec


class Question(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Description of a request.

    :param host: value of the Host header.
    :param account: name of the client account, empty for a caller without a key.
    :param service: service of the route; by default the one with the largest weight.
    :param version: software version that a resumed stream needs, or None for any.
    :param prompt: parts of the prompt as in the header of a request.
    :param time_limit: time that the caller allows, or None.
    """

    host: str
    path: str
    account: str = ""
    service: str = ""
    version: str | None = None
    prompt: str = ""
    prompt_tokens: int = 0
    time_limit: float | None = None


class RouteView(msgspec.Struct):
    """The route and the client account of the request.

    :param service_share: share of the route's requests that go to the service.
    :param time_limit: time until the request ends, the caller's or the route's.
    """

    name: str
    kind: str
    service: str
    service_share: float
    account: str
    priority: int
    objective: float
    time_limit: float
    max_attempts: int


class QueueView(msgspec.Struct):
    """The queue of the service at this router, as the request would join it.

    :param ahead: queued requests that go first.
    :param rate: requests that leave the queue per second, 0 if not known.
    :param expected_wait: time until its turn, or None if not known.
    :param longest_wait: time after which it would be refused.
    """

    waiting: int
    ahead: int
    rate: float
    expected_wait: float | None
    longest_wait: float


class CandidateView(msgspec.Struct):
    """An endpoint of the service.

    :param requests: in flight there, from all known routers.
    :param prefill: prompt tokens that it has yet to read.
    :param cached: tokens of the prompt that it has cached.
    :param source: endpoint that it would copy cached parts from, or empty.
    :param rank: position in the prompt's rendezvous order.
    :param ruled_out: why the request does not go there; empty if it could.
    :param costs: what makes up `cost`.
    """

    name: str
    domain: str
    version: str
    requests: int
    prefill: float
    cached: int
    source: str
    rank: int
    ruled_out: str
    cost: float
    costs: dict[str, float]


class Knowledge(msgspec.Struct):
    """How current the information behind the decision is.

    :param configuration: version in force.
    :param endpoints: position of the latest entry of an endpoint.
    :param store_ages: time since the store last answered this router, by kind; empty if never.
    :param routers: other routers heard lately.
    :param oldest_load: age of the oldest load of another router at an endpoint of the service.
    :param caches_known: whether the router has learned what engines had cached before its start.
    """

    configuration: int
    configuration_position: str
    endpoints: str
    store_ages: dict[str, float]
    routers: int
    oldest_load: float
    caches_known: bool


class Report(msgspec.Struct):
    """Where a request would go.

    :param result: ``sent``, ``queued``, ``waits`` for an endpoint that wants a pause, or
        ``refused``.
    :param endpoint: that it is sent to, or that would be next if it had capacity; or empty.
    :param detail: why, for people.
    :param kind: of the refusal, or empty.
    :param retry_after: that the caller of a refused request is told, or None.
    """

    router: str
    result: str
    knowledge: Knowledge
    endpoint: str = ""
    detail: str = ""
    kind: str = ""
    retry_after: float | None = None
    route: RouteView | None = None
    queue: QueueView | None = None
    candidates: list[CandidateView] = []
