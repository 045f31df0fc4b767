"""Dissemination and priority of the topics that members publish."""

import enum
from dataclasses import dataclass


class Delivery(enum.Enum):
    """How the values of a topic are disseminated."""

    SAMPLE = "sample"
    """The origin sends its latest value to random members of the topic's groups periodically."""

    RUMOUR = "rumour"
    """Every member forwards the latest value of each origin."""

    ADOPTED = "reached"
    """Values only grow. A member forwards a value only as its own, after it has adopted it."""


@dataclass(frozen=True, slots=True)
class Topic:
    """Dissemination of a topic.

    :param priority: topics with higher values are sent first and dropped last.
    """

    delivery: Delivery
    priority: int


TOPICS = {
    "revision": Topic(Delivery.ADOPTED, 4),
    "suspect": Topic(Delivery.RUMOUR, 2),
    "use": Topic(Delivery.SAMPLE, 1),
    "load": Topic(Delivery.SAMPLE, 0),
}
DEFAULT_TOPIC = Topic(Delivery.SAMPLE, 0)


def delivery_of(topic: str) -> Delivery:
    """Return how a topic is disseminated."""
    return TOPICS.get(topic, DEFAULT_TOPIC).delivery


def priority_of(topic: str) -> int:
    """Return the priority of a topic."""
    return TOPICS.get(topic, DEFAULT_TOPIC).priority


@dataclass(frozen=True, slots=True)
class SampleGroup:
    """Members that a sampled topic is sent to.

    :param count: number of members that are chosen at random for each sample.
    """

    members: tuple[int, ...]
    count: int
