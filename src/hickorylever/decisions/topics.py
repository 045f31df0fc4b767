"""How each topic travels, and which are dropped first."""

import enum
from dataclasses import dataclass


class Spread(enum.Enum):
    """How a topic travels."""

    SAMPLE = "sample"  # from its origin to random members of its groups, every second
    RUMOUR = "rumour"  # passed on by everyone, the latest value of each origin
    REACHED = "reached"  # told by each member that has reached the value itself


@dataclass(frozen=True, slots=True)
class Topic:
    """How a topic is sent.

    :param value: topics of a higher value are sent first and dropped last.
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
    """Return how a topic travels."""
    return TOPICS.get(topic, OTHER_TOPIC).spread


def value_of(topic: str) -> int:
    """Return a topic's value."""
    return TOPICS.get(topic, OTHER_TOPIC).value


@dataclass(frozen=True, slots=True)
class Group:
    """Members that a sampled topic goes to, `count` of them every second."""

    members: tuple[int, ...]
    count: int
