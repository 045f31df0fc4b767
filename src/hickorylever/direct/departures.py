"""Endpoints that have left or are about to, by incarnation.

An endpoint that shuts down does not become ready again before it restarts. Its entry can still
seem ready: the store may not know yet, or may have been restored from an earlier copy.
"""

from dataclasses import dataclass

DEPARTURE_LIFETIME_SECONDS = 300.0  # Longer than an endpoint takes to shut down.


@dataclass(frozen=True, slots=True)
class Departure:
    """One incarnation of an endpoint that has left or is about to.

    :param started_ms: start of the incarnation as Unix time in milliseconds; 0 when unknown.
    :param leaving: whether the endpoint said so itself. If not, its entry was removed, which also
        happens to a running endpoint that could not renew it.
    :param era: of the store when this was recorded.
    :param at: monotonic seconds.
    """

    started_ms: int
    leaving: bool
    era: int
    at: float


class Departures:
    """Known departures by the hash of the endpoint's name."""

    def __init__(self):
        self.by_hash: dict[int, Departure] = {}

    def record_leaving(self, key: int, started_ms: int, era: int, now: float) -> None:
        """Record that an endpoint said that it shuts down, unless this is known."""
        if not self.is_leaving(key, started_ms):
            self.by_hash[key] = Departure(started_ms, True, era, now)

    def record_removal(self, key: int, started_ms: int, era: int, now: float) -> None:
        """Record that the entry of an endpoint was removed."""
        leaving = self.is_leaving(key, started_ms)
        self.by_hash[key] = Departure(started_ms, leaving, era, now)

    def is_leaving(self, key: int, started_ms: int) -> bool:
        """Return whether this incarnation said that it shuts down."""
        departure = self.by_hash.get(key)
        return departure is not None and departure.leaving and departure.started_ms == started_ms

    def was_removed_before(self, key: int, started_ms: int, era: int) -> bool:
        """Return whether the entry of this incarnation was removed before an era."""
        departure = self.by_hash.get(key)
        return departure is not None and departure.started_ms == started_ms and departure.era < era

    def leaving(self) -> list[tuple[int, int]]:
        """Return the hash and the start of the endpoints that said that they shut down."""
        return [
            (key, departure.started_ms)
            for key, departure in self.by_hash.items()
            if departure.leaving
        ]

    def expire(self, now: float) -> None:
        """Forget departures that are older than `DEPARTURE_LIFETIME_SECONDS`."""
        for key, departure in list(self.by_hash.items()):
            if now - departure.at > DEPARTURE_LIFETIME_SECONDS:
                del self.by_hash[key]
