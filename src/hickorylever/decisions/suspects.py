"""Requests that may crash the endpoints that run them."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from .. import defaults


class Standing(enum.StrEnum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


# Standing by the number of crashes that a request was running in and is not cleared of.
STANDINGS = (Standing.CLEAR, Standing.SUSPECT, Standing.REFUSED)


def fingerprint(pieces: Iterable[bytes]) -> str:
    """Return a request's fingerprint: the same whoever sends it, through any router."""
    state = xxhash.xxh3_128()
    for piece in pieces:
        state.update(b"%d\x00" % len(piece))
        state.update(piece)
    return state.hexdigest()


def standing(crashes: int, trial: bool) -> Standing:
    """Return a request's standing.

    :param crashes: that it was running in and is not cleared of.
    :param trial: its one further run was taken by somebody.
    """
    known = STANDINGS[min(crashes, len(STANDINGS) - 1)]
    return Standing.REFUSED if trial and known is Standing.SUSPECT else known


@dataclass(slots=True)
class Record:
    """What is known of one fingerprint.

    :param crashes: name of each crash, and when it was.
    :param cleared: names of the crashes that it was not the cause of.
    :param trial: its one further run was taken, at `trial_time`.
    """

    crashes: dict[str, float] = field(default_factory=dict)
    cleared: frozenset[str] = frozenset()
    trial: bool = False
    trial_time: float = 0.0


class Suspects:
    """Fingerprints under suspicion, from this node, the object API and gossip, in any order.

    :param lifetime: seconds that a crash is remembered.
    """

    def __init__(self, lifetime: float = defaults.SUSPECT_LIFETIME_SECONDS):
        self.lifetime = lifetime
        self.records: dict[str, Record] = {}

    def crash(self, name: str, fingerprints: Iterable[str], time: float) -> None:
        """Note a crash of an endpoint and the requests that were running there."""
        for entry in fingerprints:
            self.records.setdefault(entry, Record()).crashes[name] = time

    def begin_trial(self, entry: str, time: float) -> None:
        """Note that a suspect's one further run was taken."""
        record = self.records.setdefault(entry, Record())
        record.trial = True
        record.trial_time = time

    def clear(self, entry: str, crashes: Iterable[str]) -> None:
        """Note that a request has completed elsewhere and did not cause these crashes."""
        record = self.records.get(entry)
        if record is not None:
            record.cleared |= frozenset(crashes)
            record.trial = False

    def crashes(self, entry: str, now: float) -> list[str]:
        """Return the crashes that a request is not cleared of."""
        record = self.records.get(entry)
        if record is None:
            return []
        young = (name for name, time in record.crashes.items() if now - time <= self.lifetime)
        return [name for name in young if name not in record.cleared]

    def standing(self, entry: str, now: float) -> Standing:
        """Return a request's standing as far as this node knows."""
        record = self.records.get(entry)
        if record is None:
            return Standing.CLEAR
        return standing(len(self.crashes(entry, now)), record.trial)

    def expire(self, now: float) -> None:
        """Forget what is over the lifetime."""
        for entry, record in tuple(self.records.items()):
            latest = max((*record.crashes.values(), record.trial_time))
            if now - latest > self.lifetime:
                del self.records[entry]
