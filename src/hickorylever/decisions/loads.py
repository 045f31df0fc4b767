"""Load reports of endpoints, the load bound, and estimates of the work of a request."""

import heapq
import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

import msgspec

from .. import defaults
from ..records import Load


@dataclass(slots=True)
class Total:
    """Sums over the load reports of a group of endpoints.

    :param work: tokens.
    :param members: number of reports.
    :param times: sum of the times of the reports in monotonic seconds.
    """

    work: float = 0.0
    capacity: int = 0
    members: int = 0
    times: float = 0.0


@dataclass(frozen=True, slots=True)
class Mean:
    """Mean load of a group of endpoints.

    :param work: tokens per unit of capacity.
    :param age: mean age of the reports in seconds.
    :param members: number of reports.
    """

    work: float = 0.0
    age: float = math.inf
    members: int = 0


class LoadTable:
    """The latest load report of each endpoint, and totals over groups of endpoints.

    Expired reports are left out of all results.

    :param max_age: seconds until a report expires.
    """

    def __init__(self, max_age: float = defaults.MAX_LOAD_AGE_SECONDS):
        self.max_age = max_age
        self.reports: dict[str, Load] = {}
        self.by_time: list[tuple[float, str]] = []
        self.groups_by_endpoint: dict[str, tuple[str, ...]] = {}
        self.totals: dict[str, Total] = {}

    def replace_groups(self, groups: Mapping[str, Iterable[str]]) -> None:
        """Replace the groups by these, each with the names of its endpoints."""
        membership: dict[str, list[str]] = {}
        for group, names in groups.items():
            for name in names:
                membership.setdefault(name, []).append(group)
        self.groups_by_endpoint = {name: tuple(listed) for name, listed in membership.items()}
        self.totals = {group: Total() for group in groups}
        for load in self.reports.values():
            self.adjust_totals(load, 1)

    def adjust_totals(self, load: Load, sign: int) -> None:
        """Add a report to the totals of its groups (`sign` 1) or subtract it (`sign` -1)."""
        for group in self.groups_by_endpoint.get(load.endpoint, ()):
            total = self.totals[group]
            total.work += sign * load.work
            total.capacity += sign * load.capacity
            total.members += sign
            total.times += sign * load.time

    def update(self, load: Load) -> bool:
        """Store a report. Return False when a newer one is stored already."""
        stored = self.reports.get(load.endpoint)
        if stored is not None:
            if stored.time > load.time:
                return False
            self.adjust_totals(stored, -1)
        self.reports[load.endpoint] = load
        self.adjust_totals(load, 1)
        heapq.heappush(self.by_time, (load.time, load.endpoint))
        return True

    def add(self, endpoint: str, work: float) -> None:
        """Add work in tokens to an endpoint's stored report.

        Accounts for requests that this node has just sent, until the next report includes them.
        """
        stored = self.reports.get(endpoint)
        if stored is not None:
            self.update(replace(stored, work=max(0.0, stored.work + work)))

    def get(self, endpoint: str) -> Load | None:
        """Return an endpoint's latest report, None without one."""
        return self.reports.get(endpoint)

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint's report."""
        stored = self.reports.pop(endpoint, None)
        if stored is not None:
            self.adjust_totals(stored, -1)

    def expire(self, now: float) -> None:
        """Remove expired reports."""
        while self.by_time and self.by_time[0][0] < now - self.max_age:
            _, endpoint = heapq.heappop(self.by_time)
            stored = self.reports.get(endpoint)
            if stored is not None and stored.time < now - self.max_age:
                self.remove(endpoint)

    def total(self, group: str, now: float) -> Total:
        """Return a group's totals over the reports that have not expired."""
        self.expire(now)
        return self.totals.get(group) or Total()

    def mean_with_age(self, group: str, now: float) -> Mean:
        """Return a group's mean load with the age and the number of its reports."""
        total = self.total(group, now)
        if not total.members:
            return Mean()
        return Mean(self.mean(group, now), now - total.times / total.members, total.members)

    def mean(self, group: str, now: float) -> float:
        """Return a group's mean work in tokens per unit of capacity, 0 without reports."""
        total = self.total(group, now)
        return max(0.0, total.work) / total.capacity if total.capacity else 0.0


def fresher(local: Mean, received: Mean) -> Mean:
    """Return the mean whose reports are more recent.

    The one from the other node is only used when it covers at least as many endpoints.
    """
    return received if received.age < local.age and received.members >= local.members else local


def load_bound(mean: float, capacity: int, multiple: float, floor: float) -> float:
    """Return the load bound of an endpoint: the maximum admitted work in tokens.

    :param mean: mean work in tokens per unit of capacity of the endpoint and its peers.
    :param capacity: the endpoint's capacity.
    :param multiple: the bound as a multiple of the mean.
    :param floor: tokens per unit of capacity below which the bound never falls.
    """
    return max(floor * capacity, multiple * mean * capacity)


class PromptDetails(msgspec.Struct):
    """Breakdown of the prompt tokens of a usage report."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts that an engine reports at the end of a response."""

    prompt_tokens: int
    completion_tokens: int = 0
    prompt_tokens_details: PromptDetails | None = None

    def cached(self) -> int:
        """Return the number of prompt tokens read from the engine's cache."""
        return self.prompt_tokens_details.cached_tokens if self.prompt_tokens_details else 0


_usage_decoder = msgspec.json.Decoder(Usage)


def leading_object(data: bytes) -> bytes:
    """Return the JSON object at the start of some bytes, empty when it is not complete."""
    depth = 0
    for position, byte in enumerate(data):
        depth += (byte == ord("{")) - (byte == ord("}"))
        if not depth:
            return data[: position + 1]
    return b""


def read_usage(tail: bytes) -> Usage | None:
    """Return the usage reported in the last bytes of a response, None without a valid one."""
    _, found, rest = tail.rpartition(b'"usage":')
    if not found:
        return None
    try:
        return _usage_decoder.decode(leading_object(rest[: defaults.MAX_USAGE_BYTES].lstrip()))
    except msgspec.DecodeError:
        return None


@dataclass(slots=True)
class MovingAverages:
    """Exponential moving averages over the requests of one account to one model.

    :param tokens_per_byte: prompt tokens per byte of prompt.
    :param uncached: ratio of prompt tokens that were not in the engine's cache.
    :param output: output tokens per request.
    """

    tokens_per_byte: float = 1 / defaults.BYTES_PER_TOKEN
    uncached: float = 1.0
    output: float = defaults.EXPECTED_OUTPUT_TOKENS

    def learn(self, size: int, usage: Usage) -> None:
        """Update the averages from a finished request.

        :param size: of the prompt in bytes.
        """
        prompt = max(1, usage.prompt_tokens)
        samples = {
            "tokens_per_byte": prompt / max(1, size),
            "uncached": 1 - min(1.0, usage.cached() / prompt),
            "output": float(usage.completion_tokens),
        }
        for name, sample in samples.items():
            known = getattr(self, name)
            setattr(self, name, known + defaults.ESTIMATE_LEARNING_RATE * (sample - known))


class WorkEstimator:
    """WorkEstimator the work of requests from earlier ones of the same client account and model.

    :param limit: maximum number of pairs of account and model; the least recently used one is
        evicted first.
    """

    def __init__(self, limit: int = defaults.MAX_ESTIMATES):
        self.limit = limit
        self.entries: OrderedDict[tuple[str, str], MovingAverages] = OrderedDict()

    def entry(self, account: str, model: str) -> MovingAverages:
        """Return the averages of an account and model, with initial values for a new pair."""
        key = (account, model)
        averages = self.entries.setdefault(key, MovingAverages())
        self.entries.move_to_end(key)
        if len(self.entries) > self.limit:
            self.entries.popitem(last=False)
        return averages

    def estimate(self, account: str, model: str, size: int, max_output: int | None) -> float:
        """Return the estimated work in tokens: uncached prompt tokens plus output tokens.

        :param size: of the prompt in bytes.
        :param max_output: maximum output in tokens that the caller allows, None or 0 for no limit.
        """
        averages = self.entry(account, model)
        output = averages.output if not max_output else min(averages.output, max_output)
        return max(1.0, size * averages.tokens_per_byte * averages.uncached + output)

    def learn(self, account: str, model: str, size: int, usage: Usage) -> None:
        """Update the estimates from a finished request.

        :param size: of the prompt in bytes.
        """
        self.entry(account, model).learn(size, usage)
