"""Which endpoint is ordered to load which models, a few at a time."""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .. import defaults
from ..records import Endpoint


class LoadState(enum.StrEnum):
    """What an endpoint's sidecar says of the models there."""

    READY = "ready"
    LOADING = "loading"
    EMPTY = "empty"
    FIXED = "fixed"  # the endpoint takes no orders


@dataclass(frozen=True, slots=True)
class Assignment:
    """What a model engine holds or is to hold.

    :param role: ``mixed``, ``prefill`` or ``decode``.
    """

    models: tuple[str, ...] = ()
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


@dataclass(frozen=True, slots=True)
class Loaded:
    """What an endpoint has loaded, and whether that is ready."""

    state: LoadState
    assignment: Assignment = Assignment()


@dataclass(frozen=True, slots=True)
class Order:
    """What an endpoint is to load, in place of what it has.

    :param number: the fencing number of the lease under which it was given.
    """

    endpoint: str
    assignment: Assignment
    number: int


def wanted(endpoint: Endpoint) -> Assignment:
    """Return what the inventory says that an endpoint holds."""
    return Assignment(endpoint.models, endpoint.version, endpoint.adapters, endpoint.engine_role)


def right(endpoint: Endpoint, loaded: Loaded) -> bool:
    """Tell whether an endpoint needs no order."""
    if loaded.state is LoadState.FIXED:
        return True
    return loaded.state is LoadState.READY and loaded.assignment == wanted(endpoint)


def copies(
    endpoints: Iterable[Endpoint], loaded: Mapping[str, Loaded], usable: set[str]
) -> dict[str, set[str]]:
    """Return the endpoints where each model is ready and may be used."""
    result: dict[str, set[str]] = {}
    for endpoint in endpoints:
        known = loaded.get(endpoint.name)
        if known is None or endpoint.name not in usable:
            continue
        if known.state is LoadState.FIXED:
            models = endpoint.models
        else:
            models = known.assignment.models if known.state is LoadState.READY else ()
        for model in models:
            result.setdefault(model, set()).add(endpoint.name)
    return result


def last_copy(endpoint: Endpoint, known: Loaded, ready: Mapping[str, set[str]]) -> bool:
    """Tell whether an endpoint is the only one that has a model ready which it would drop."""
    if known.state is not LoadState.READY:
        return False
    return any(ready.get(model) == {endpoint.name} for model in known.assignment.models)


def plan(
    endpoints: tuple[Endpoint, ...],
    loaded: Mapping[str, Loaded],
    usable: set[str],
    demand: Mapping[str, float],
    number: int,
    at_once: int = defaults.MAX_CONCURRENT_LOADS,
) -> list[Order]:
    """Return the orders to give now.

    Endpoints that serve the models with the fewest ready copies for their demand come first. An
    order takes its endpoint out while it loads, so one that would take the last ready copy of a
    model waits until there is another one.

    :param loaded: what is known; endpoints that are missing were not heard and get no order.
    :param demand: recent work by model.
    :param at_once: how many endpoints may read from the weight store at a time.
    """
    ready = copies(endpoints, loaded, usable)
    loading = sum(entry.state is LoadState.LOADING for entry in loaded.values())

    def urgency(endpoint: Endpoint) -> float:
        return max(
            (demand.get(m, 0.0) + 1.0) / (len(ready.get(m, ())) + 0.01) for m in endpoint.models
        )

    wrong = [
        endpoint
        for endpoint in endpoints
        if endpoint.models
        and endpoint.name in loaded
        and loaded[endpoint.name].state is not LoadState.LOADING
        and not right(endpoint, loaded[endpoint.name])
    ]
    orders = []
    for endpoint in sorted(wrong, key=urgency, reverse=True):
        if loading + len(orders) >= at_once:
            break
        known = loaded[endpoint.name]
        if last_copy(endpoint, known, ready):
            continue
        orders.append(Order(endpoint.name, wanted(endpoint), number))
        for model in known.assignment.models:
            ready.get(model, set()).discard(endpoint.name)
    return orders
