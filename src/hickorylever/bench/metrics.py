"""Metrics of a run of the routing benchmark."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class RunMetrics:
    """Counters and samples of one run.

    :param prompt_blocks: blocks of all prompts.
    :param cached_blocks: prompt blocks found in a cache.
    :param spilled: requests admitted by an endpoint other than their preferred one.
    :param refusals: attempts refused by sidecars.
    :param waits: arrival time, account, and seconds from arrival to the start of prefill.
    :param skews: maximum work over mean work at each sample, and the maximum work.
    :param excess: work over the true mean, for each admission above the load floor.
    :param bound_violations: admissions that violate the load bound.
    :param allowed_excess: admissions above the multiple of the mean, which the bound allows
        because the endpoint was not above the mean before.
    """

    prompt_blocks: int = 0
    cached_blocks: int = 0
    done: int = 0
    refused: int = 0
    spilled: int = 0
    refusals: int = 0
    refused_by_account: Counter[str] = field(default_factory=Counter)
    bound_violations: int = 0
    allowed_excess: int = 0
    waits: list[tuple[float, str, float]] = field(default_factory=list)
    skews: list[tuple[float, float]] = field(default_factory=list)
    excess: list[float] = field(default_factory=list)


def quantile(values: list[float], ratio: float) -> float:
    """Return the `ratio` quantile of the values, 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))] if ordered else 0.0


def cache_hit_ratio(metrics: RunMetrics) -> float:
    """Return the ratio of prompt tokens found in a cache."""
    return metrics.cached_blocks / max(1, metrics.prompt_blocks)
