"""The sidecar's and the router's glue around load reports and the load bound."""

import math

from . import defaults
from .decisions import loads
from .decisions.fairness import WorkQuota
from .decisions.pools import Pool, peer_group
from .records import Attempt, Endpoint, Load


def take_load(env, load: Load) -> None:
    """Take an endpoint's load as its sidecar has told it; too old a report is left out.

    :param load: its `time` is in this process's monotonic seconds.
    """
    if load.time >= env.clock() - env.loads.max_age:
        env.loads.update(load)


def cap(env, endpoint: Endpoint, work: float, running: int, attempt: Attempt) -> float:
    """Return the largest work in tokens that an endpoint may hold after one more attempt.

    The mean is over the reports that are young enough, or the one that the router hands over if
    its reports are younger on average. An endpoint that is not above the mean of several may take
    one request of any size. What an account borrows beyond its share must leave room for others.
    """
    own = Load(endpoint.name, work, running, endpoint.capacity, time=env.clock())
    env.loads.update(own)
    known = env.loads.mean_with_age(peer_group(endpoint), own.time)
    told = loads.Mean(attempt.mean, attempt.mean_age, attempt.members)
    mean = loads.fresher(known, told)
    multiple, floor = env.view.multiple, env.view.floor
    if attempt.borrowed:
        multiple, floor = defaults.BORROWED_LOAD_MULTIPLE, floor * defaults.BORROWED_LIMIT_RATIO
    limit = loads.load_bound(mean.work, endpoint.capacity, multiple, floor)
    below = mean.members > 1 and work <= mean.work * endpoint.capacity
    if below and not attempt.borrowed:
        return max(limit, work + attempt.work)
    return limit


def room(env, pool: Pool, held: float) -> WorkQuota:
    """Return the work in tokens that this router may have at a pool.

    :param held: work of this router's own requests there, which the reports count too.
    """
    capacity = sum(entry.capacity for entry in pool if env.usable(entry.name))
    whole = defaults.POOL_LIMIT_MULTIPLE * env.view.floor * capacity
    routers = sum(vm.role == "entry" for vm in env.fleet.vms)
    others = max(0.0, env.loads.total(pool.name, env.clock()).work - held)
    part = whole / max(1, routers)
    return WorkQuota(max(part, whole - others), part)


def retry_after(seconds: float) -> float:
    """Return a whole pause in seconds for a caller, within sensible limits."""
    return min(defaults.MAX_RETRY_AFTER_SECONDS, max(1.0, math.ceil(seconds)))
