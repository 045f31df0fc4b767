"""Dissemination and priority of the topics that members publish."""

import enum
from dataclasses import dataclass


class Spread(enum.Enum):
    """How the values of a topic are disseminated."""

    SAMPLE = "sample"
    """The origin sends its latest value to random members of the topic's groups periodically."""

    RUMOUR = "rumour"
    """Every member forwards the latest value of each origin."""

    REACHED = "reached"
    """Values only grow. A member forwards a value only as its own, after it has adopted it."""


@dataclass(frozen=True, slots=True)
class Topic:
    """Dissemination of a topic.

    :param value: priority; topics with higher values are sent first and dropped last.
    """

    spread: Spread
    value: int


TOPICS = {
    "revision": Topic(Spread.REACHED, 4),
    "suspect": Topic(Spread.RUMOUR, 2),
    "use": Topic(Spread.SAMPLE, 1),
    "load": Topic(Spread.SAMPLE, 0),
}
OTHER_TOPIC = Topic(Spread.SAMPLE, 0)


def spread_of(topic: str) -> Spread:
    """Return how a topic is disseminated."""
    return TOPICS.get(topic, OTHER_TOPIC).spread


def value_of(topic: str) -> int:
    """Return the priority of a topic."""
    return TOPICS.get(topic, OTHER_TOPIC).value


@dataclass(frozen=True, slots=True)
class Group:
    """Members that a sampled topic is sent to.

    :param count: number of members that are chosen at random for each sample.
    """

    members: tuple[int, ...]
    count: int
