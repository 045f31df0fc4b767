"""Positions in the store's history, and which of two configurations is in force.

A store that is restored from a copy starts a new era. It has lost its latest revisions and assigns
their numbers again, so that revisions can only be compared within an era.
"""

import enum
from dataclasses import dataclass

import msgspec

from ..exceptions import ContentError


class Position(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A revision of the store within an era. Positions are ordered by era, then by revision.

    :param era: number of times that the store was restored, as far as the store counts them.
    :param revision: of the store in this era.
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        """Return the form that logs and requests between routers use."""
        return f"{self.era}.{self.revision}"


UNKNOWN = Position()  # Lower than every position of the store.


def parse_position(text: str) -> Position:
    """Return the position that a string of two numbers joined by a dot describes.

    :raises ContentError: if it is malformed.
    """
    era, _, revision = text.partition(".")
    if not (era.isdecimal() and revision.isdecimal()):
        raise ContentError(f"invalid position {text!r}")
    return Position(int(era), int(revision))


class KnownState(msgspec.Struct, frozen=True, array_like=True):
    """How much of the store's state a router knows.

    :param configuration: latest known position of the configuration's object.
    :param version: of the configuration in force; 0 for none.
    :param endpoints: position of the latest known change of an endpoint's entry.
    :param evacuations: position of the latest known change of an evacuation; `UNKNOWN` where the
        router doesn't know them or doesn't use them.
    :param endpoints_digest: of the endpoints' entries, or None if the router doesn't say.
    :param evacuations_digest: of the evacuated domains, or None if the router doesn't say.
    """

    configuration: Position = UNKNOWN
    version: int = 0
    endpoints: Position = UNKNOWN
    evacuations: Position = UNKNOWN
    endpoints_digest: int | None = None
    evacuations_digest: int | None = None

    @property
    def configuration_order(self) -> tuple[Position, int]:
        """Return the key by which routers compare their configurations; the highest spreads."""
        return self.configuration, self.version

    def is_behind(self, other: "KnownState") -> bool:
        """Return whether another router knows what this one lacks."""
        return (
            other.configuration_order > self.configuration_order
            or other.endpoints > self.endpoints
        )

    def contradicts(self, other: "KnownState") -> bool:
        """Return whether another router has other objects as of the same latest change.

        One of the two has then missed a removal.
        """
        pairs = (
            (self.endpoints, other.endpoints, self.endpoints_digest, other.endpoints_digest),
            (
                self.evacuations,
                other.evacuations,
                self.evacuations_digest,
                other.evacuations_digest,
            ),
        )
        return any(
            latest == other_latest and differ(digest, other_digest)
            for latest, other_latest, digest, other_digest in pairs
        )


NOTHING_KNOWN = KnownState()


def differ(one: int | None, other: int | None) -> bool:
    """Return whether two digests are known and differ."""
    return one is not None and other is not None and one != other


class Decision(enum.Enum):
    """What to do with a configuration that the store or another router offers.

    `APPLY` puts it in force. `HOLD` keeps the configuration in force and records the position of
    the offered one. `IGNORE` changes nothing.
    """

    APPLY = "apply"
    HOLD = "hold"
    IGNORE = "ignore"


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """Where a router stands with the operator's configuration.

    :param version: of the configuration in force, assigned by the operator; it increases.
    :param written: position at which the store held that configuration.
    :param seen: latest position of the configuration's object. It is later than `written` if a
        restored store holds an older version than the one in force.
    """

    version: int
    written: Position
    seen: Position

    @property
    def order(self) -> tuple[Position, int]:
        """Return the key by which routers compare their states; the highest one spreads."""
        return self.seen, self.version


NO_CONFIGURATION = ConfigurationState(0, UNKNOWN, UNKNOWN)


def decide(current: ConfigurationState, offered: ConfigurationState) -> Decision:
    """Return what to do with an offered configuration.

    Within an era, the store's order counts. A restored store may hold an older version than the
    one in force, until the operator writes the lost one again. The version in force is held
    meanwhile, so that no caller is served by an older configuration than before.
    """
    if offered.order <= current.order:
        return Decision.IGNORE
    written_since_restore = offered.seen.era == current.written.era
    if offered.version >= current.version or written_since_restore:
        return Decision.APPLY
    return Decision.HOLD
