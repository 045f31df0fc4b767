"""Load of endpoints: known reports, the load bound, and estimates of a request's work."""

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
    """Sum of the reports of one group of endpoints; `times` is the sum of their times."""

    work: float = 0.0
    capacity: int = 0
    members: int = 0
    times: float = 0.0


@dataclass(frozen=True, slots=True)
class Mean:
    """A group's mean work in tokens per unit of capacity.

    :param age: mean age of its reports in seconds.
    :param members: number of reports.
    """

    work: float = 0.0
    age: float = math.inf
    members: int = 0


class Loads:
    """The latest report of each endpoint and the totals of groups of endpoints.

    Reports that are older than the limit count nowhere.

    :param max_age: seconds that a report counts.
    """

    def __init__(self, max_age: float = defaults.MAX_LOAD_AGE_SECONDS):
        self.max_age = max_age
        self.reports: dict[str, Load] = {}
        self.ages: list[tuple[float, str]] = []
        self.groups: dict[str, tuple[str, ...]] = {}
        self.totals: dict[str, Total] = {}

    def arrange(self, groups: Mapping[str, Iterable[str]]) -> None:
        """Set the groups, each with its endpoints' names."""
        membership: dict[str, list[str]] = {}
        for group, names in groups.items():
            for name in names:
                membership.setdefault(name, []).append(group)
        self.groups = {name: tuple(listed) for name, listed in membership.items()}
        self.totals = {group: Total() for group in groups}
        for load in self.reports.values():
            self.count(load, 1)

    def count(self, load: Load, sign: int) -> None:
        """Add a report to its groups' totals or take it away."""
        for group in self.groups.get(load.endpoint, ()):
            total = self.totals[group]
            total.work += sign * load.work
            total.capacity += sign * load.capacity
            total.members += sign
            total.times += sign * load.time

    def note(self, load: Load) -> bool:
        """Take a report; False when a newer one is known."""
        known = self.reports.get(load.endpoint)
        if known is not None:
            if known.time > load.time:
                return False
            self.count(known, -1)
        self.reports[load.endpoint] = load
        self.count(load, 1)
        heapq.heappush(self.ages, (load.time, load.endpoint))
        return True

    def add(self, endpoint: str, work: float) -> None:
        """Add work that this node has just handed over to an endpoint's report."""
        known = self.reports.get(endpoint)
        if known is not None:
            self.note(replace(known, work=max(0.0, known.work + work)))

    def get(self, endpoint: str) -> Load | None:
        """Return an endpoint's latest report."""
        return self.reports.get(endpoint)

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint's report."""
        known = self.reports.pop(endpoint, None)
        if known is not None:
            self.count(known, -1)

    def expire(self, now: float) -> None:
        """Drop the reports that are over the limit."""
        while self.ages and self.ages[0][0] < now - self.max_age:
            _, endpoint = heapq.heappop(self.ages)
            known = self.reports.get(endpoint)
            if known is not None and known.time < now - self.max_age:
                self.forget(endpoint)

    def total(self, group: str, now: float) -> Total:
        """Return a group's total over the reports that count."""
        self.expire(now)
        return self.totals.get(group) or Total()

    def aged_mean(self, group: str, now: float) -> Mean:
        """Return a group's mean with its age."""
        total = self.total(group, now)
        if not total.members:
            return Mean()
        return Mean(self.mean(group, now), now - total.times / total.members, total.members)

    def mean(self, group: str, now: float) -> float:
        """Return a group's mean work in tokens per unit of capacity; 0 without reports."""
        total = self.total(group, now)
        return max(0.0, total.work) / total.capacity if total.capacity else 0.0


def fresher(own: Mean, told: Mean) -> Mean:
    """Return the mean of the younger reports, unless it is over fewer endpoints."""
    return told if told.age < own.age and told.members >= own.members else own


def cap(mean: float, capacity: int, multiple: float, floor: float) -> float:
    """Return the largest work in tokens that an endpoint may hold.

    :param mean: mean work per unit of capacity over the endpoint's peers and itself.
    """
    return max(floor * capacity, multiple * mean * capacity)


class PromptDetails(msgspec.Struct):
    """The part of a usage report on cached prompt tokens."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """What an engine reports at the end of an answer, in tokens."""

    prompt_tokens: int
    completion_tokens: int = 0
    prompt_tokens_details: PromptDetails | None = None

    def cached(self) -> int:
        """Return the prompt tokens that were found cached."""
        return self.prompt_tokens_details.cached_tokens if self.prompt_tokens_details else 0


_usage_decoder = msgspec.json.Decoder(Usage)


def braced(data: bytes) -> bytes:
    """Return the leading JSON object of some bytes, empty when it does not close."""
    depth = 0
    for position, byte in enumerate(data):
        depth += (byte == ord("{")) - (byte == ord("}"))
        if not depth:
            return data[: position + 1]
    return b""


def read_usage(tail: bytes) -> Usage | None:
    """Return the usage that the last bytes of an answer report, None without one."""
    _, found, rest = tail.rpartition(b'"usage":')
    if not found:
        return None
    try:
        return _usage_decoder.decode(braced(rest[: defaults.MAX_USAGE_BYTES].lstrip()))
    except msgspec.DecodeError:
        return None


@dataclass(slots=True)
class Moving:
    """Moving means of one account's requests to one model."""

    tokens_per_byte: float = 1 / defaults.BYTES_PER_TOKEN
    uncached: float = 1.0
    output: float = defaults.EXPECTED_OUTPUT_TOKENS

    def learn(self, size: int, usage: Usage) -> None:
        """Take in one finished request whose prompt had `size` bytes."""
        prompt = max(1, usage.prompt_tokens)
        samples = {
            "tokens_per_byte": prompt / max(1, size),
            "uncached": 1 - min(1.0, usage.cached() / prompt),
            "output": float(usage.completion_tokens),
        }
        for name, sample in samples.items():
            known = getattr(self, name)
            setattr(self, name, known + defaults.ESTIMATE_LEARNING_RATE * (sample - known))


class Estimates:
    """Expected work of requests, learned for each client account and model.

    :param limit: pairs that are remembered; the least recently used go first.
    """

    def __init__(self, limit: int = defaults.MAX_ESTIMATES):
        self.limit = limit
        self.entries: OrderedDict[tuple[str, str], Moving] = OrderedDict()

    def entry(self, account: str, model: str) -> Moving:
        """Return the means of a pair, new ones for a new pair."""
        key = (account, model)
        moving = self.entries.setdefault(key, Moving())
        self.entries.move_to_end(key)
        if len(self.entries) > self.limit:
            self.entries.popitem(last=False)
        return moving

    def expect(self, account: str, model: str, size: int, max_output: int | None) -> float:
        """Return the expected work in tokens: prompt that isn't cached, and output.

        :param size: of the prompt in bytes.
        :param max_output: the caller's limit in tokens.
        """
        moving = self.entry(account, model)
        output = moving.output if not max_output else min(moving.output, max_output)
        return max(1.0, size * moving.tokens_per_byte * moving.uncached + output)

    def learn(self, account: str, model: str, size: int, usage: Usage) -> None:
        """Take in one finished request."""
        self.entry(account, model).learn(size, usage)
