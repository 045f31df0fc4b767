"""The load bound: an endpoint's cap from the mean over its peers."""

from collections.abc import Iterable

from ..records import Load


def mean_work(loads: Iterable[Load]) -> float:
    """Return the mean work in tokens per unit of capacity; 0 for no loads."""
    work = 0.0
    capacity = 0
    for load in loads:
        work += load.work
        capacity += load.capacity
    return work / capacity if capacity else 0.0


def cap(mean: float, capacity: int, multiple: float, floor: float) -> float:
    """Return the largest work in tokens that an endpoint may hold.

    :param mean: mean work per unit of capacity over the endpoint's peers.
    """
    return max(floor * capacity, multiple * mean * capacity)
