"""Admission of requests by load: load reports, load bound and work quota."""

import math

from . import defaults
from .decisions import loads
from .decisions.fairness import WorkQuota
from .decisions.pools import Pool, peer_group
from .records import Attempt, Endpoint, Load


def record_load(env, load: Load) -> None:
    """Record the load of an endpoint that its sidecar reported, unless the report is too old.

    :param load: its `time` is in monotonic seconds of this process.
    """
    if load.time >= env.clock() - env.loads.max_age:
        env.loads.update(load)


def max_work(env, endpoint: Endpoint, work: float, running: int, attempt: Attempt) -> float:
    """Return the load bound of an endpoint in tokens, with one more attempt included.

    The mean load is that of the reports that have not expired, or the one sent by the router if
    its reports are newer on average. An endpoint at or below the mean of several may accept one
    request of any size. Requests beyond an account's share have a lower bound, which leaves
    capacity for other accounts.

    :param work: work that the endpoint holds now, in tokens.
    :param running: attempts that the endpoint runs now.
    """
    own_load = Load(endpoint.name, work, running, endpoint.capacity, time=env.clock())
    env.loads.update(own_load)
    known = env.loads.mean_with_age(peer_group(endpoint), own_load.time)
    reported = loads.Mean(attempt.mean, attempt.mean_age, attempt.members)
    mean = loads.fresher(known, reported)
    multiple, floor = env.view.multiple, env.view.floor
    if attempt.borrowed:
        multiple, floor = defaults.BORROWED_LOAD_MULTIPLE, floor * defaults.BORROWED_LIMIT_RATIO
    limit = loads.load_bound(mean.work, endpoint.capacity, multiple, floor)
    below_mean = mean.members > 1 and work <= mean.work * endpoint.capacity
    if below_mean and not attempt.borrowed:
        return max(limit, work + attempt.work)
    return limit


def work_quota(env, pool: Pool, own_work: float) -> WorkQuota:
    """Return the work in tokens that this router may have in progress at a pool.

    :param own_work: tokens of work in progress there from this router, which load reports include.
    """
    capacity = sum(entry.capacity for entry in pool if env.usable(entry.name))
    total_limit = defaults.POOL_LIMIT_MULTIPLE * env.view.floor * capacity
    routers = sum(vm.role == "entry" for vm in env.fleet.vms)
    others = max(0.0, env.loads.total(pool.name, env.clock()).work - own_work)
    share = total_limit / max(1, routers)
    return WorkQuota(max(share, total_limit - others), share)


def retry_after(seconds: float) -> float:
    """Return a Retry-After value: whole seconds, at least 1 and at most the limit."""
    return min(defaults.MAX_RETRY_AFTER_SECONDS, max(1.0, math.ceil(seconds)))
