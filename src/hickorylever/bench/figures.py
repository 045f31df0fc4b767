"""Metrics of a run of the routing benchmark."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Figures:
    """Counters and samples of one run.

    :param prompt: blocks of all prompts.
    :param cached: prompt blocks found in a cache.
    :param spilled: requests admitted by an endpoint other than their preferred one.
    :param refusals: attempts refused by sidecars.
    :param waits: arrival time, account, and seconds from arrival to the start of prefill.
    :param skews: maximum work over mean work at each sample, and the maximum work.
    :param excess: work over the true mean, for each admission above the load floor.
    :param broken: admissions that violate the load bound.
    :param lumps: admissions above the multiple of the mean that the bound allows because the
        endpoint was not above the mean before.
    """

    prompt: int = 0
    cached: int = 0
    done: int = 0
    refused: int = 0
    spilled: int = 0
    refusals: int = 0
    refusals_of: Counter[str] = field(default_factory=Counter)
    broken: int = 0
    lumps: int = 0
    waits: list[tuple[float, str, float]] = field(default_factory=list)
    skews: list[tuple[float, float]] = field(default_factory=list)
    excess: list[float] = field(default_factory=list)


def quantile(values: list[float], part: float) -> float:
    """Return the `part` quantile of the values, 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


def reuse(figures: Figures) -> float:
    """Return the ratio of prompt tokens found in a cache."""
    return figures.cached / max(1, figures.prompt)
