"""Planning of which endpoints load which models, a few at a time."""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .. import defaults
from ..records import Endpoint


class LoadState(enum.StrEnum):
    """State of an endpoint's models as its sidecar reports it."""

    READY = "ready"
    LOADING = "loading"
    EMPTY = "empty"
    FIXED = "fixed"  # The endpoint does not accept orders.


@dataclass(frozen=True, slots=True)
class Assignment:
    """Models, version, adapters and role that an engine has or is ordered to have.

    :param role: ``mixed``, ``prefill`` or ``decode``.
    """

    models: tuple[str, ...] = ()
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


@dataclass(frozen=True, slots=True)
class Loaded:
    """State of an endpoint and what it has loaded."""

    state: LoadState
    assignment: Assignment = Assignment()


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an endpoint to replace what it has loaded.

    :param endpoint: name of the endpoint.
    :param number: fencing number of the controller's lease.
    """

    endpoint: str
    assignment: Assignment
    number: int


def desired_assignment(endpoint: Endpoint) -> Assignment:
    """Return the assignment that the inventory has for an endpoint."""
    return Assignment(endpoint.models, endpoint.version, endpoint.adapters, endpoint.engine_role)


def needs_no_order(endpoint: Endpoint, loaded: Loaded) -> bool:
    """Return whether an endpoint has its assignment loaded, or does not accept orders."""
    if loaded.state is LoadState.FIXED:
        return True
    return loaded.state is LoadState.READY and loaded.assignment == desired_assignment(endpoint)


def ready_endpoints(
    endpoints: Iterable[Endpoint], loaded: Mapping[str, Loaded], usable: set[str]
) -> dict[str, set[str]]:
    """Return the names of the usable endpoints that have each model ready."""
    result: dict[str, set[str]] = {}
    for endpoint in endpoints:
        current = loaded.get(endpoint.name)
        if current is None or endpoint.name not in usable:
            continue
        if current.state is LoadState.FIXED:
            models = endpoint.models
        else:
            models = current.assignment.models if current.state is LoadState.READY else ()
        for model in models:
            result.setdefault(model, set()).add(endpoint.name)
    return result


def has_last_copy(endpoint: Endpoint, current: Loaded, ready: Mapping[str, set[str]]) -> bool:
    """Return whether an endpoint is the only one that has some model ready."""
    if current.state is not LoadState.READY:
        return False
    return any(ready.get(model) == {endpoint.name} for model in current.assignment.models)


def plan_orders(
    endpoints: tuple[Endpoint, ...],
    loaded: Mapping[str, Loaded],
    usable: set[str],
    demand: Mapping[str, float],
    number: int,
    max_loading: int = defaults.MAX_CONCURRENT_LOADS,
) -> list[Order]:
    """Return the orders to send now.

    Endpoints whose models have the fewest ready copies for their demand come first. An endpoint
    serves no requests while it loads, so one with the last ready copy of a model gets no order
    until another copy is ready.

    :param loaded: state of each endpoint. One that is missing has not reported and gets no order.
    :param usable: names of the endpoints that may receive requests.
    :param demand: recent work in tokens by model.
    :param number: fencing number of the controller's lease.
    :param max_loading: maximum number of endpoints that load from the weight store concurrently.
    """
    ready = ready_endpoints(endpoints, loaded, usable)
    loading = sum(entry.state is LoadState.LOADING for entry in loaded.values())

    def urgency(endpoint: Endpoint) -> float:
        return max(
            (demand.get(model, 0.0) + 1.0) / (len(ready.get(model, ())) + 0.01)
            for model in endpoint.models
        )

    outdated = [
        endpoint
        for endpoint in endpoints
        if endpoint.models
        and endpoint.name in loaded
        and loaded[endpoint.name].state is not LoadState.LOADING
        and not needs_no_order(endpoint, loaded[endpoint.name])
    ]
    orders = []
    for endpoint in sorted(outdated, key=urgency, reverse=True):
        if loading + len(orders) >= max_loading:
            break
        current = loaded[endpoint.name]
        if has_last_copy(endpoint, current, ready):
            continue
        orders.append(Order(endpoint.name, desired_assignment(endpoint), number))
        for model in current.assignment.models:
            ready.get(model, set()).discard(endpoint.name)
    return orders
