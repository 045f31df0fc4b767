"""Adoption and distribution of configuration revisions.

The revision in force at a node is only ever replaced by a higher one.
"""

import enum
import random
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from .. import defaults
from ..digests import hex_digest
from ..records import Member, MemberState, Revision

PLATFORM = ""


@dataclass(frozen=True, slots=True)
class Offer:
    """A revision offered by a source.

    :param source: name of a member, or :data:`PLATFORM` for the object API.
    :param revision: the offered revision, None when the source has none.
    :param ancestors: the preceding revisions that the source knows, oldest first.
    :param highest_known: the highest revision number that the source knows of.
    """

    source: str
    revision: Revision | None
    ancestors: tuple[Revision, ...] = ()
    highest_known: int = 0

    @property
    def number(self) -> int:
        """Return the number of the offered revision, 0 when there is none."""
        return self.revision.number if self.revision else 0


@dataclass(frozen=True, slots=True)
class Pull:
    """A request to a source for the revision that it has in force."""

    source: str


class Verdict(enum.StrEnum):
    """Result of checking an offered revision."""

    ADOPT = "adopt"
    SAME = "same"
    OLDER = "older"
    CORRUPT = "corrupt"
    BROKEN = "broken"
    FORKED = "forked"
    UNLINKED = "unlinked"


def revision_digest(revision: Revision) -> str:
    """Return the digest that identifies a revision as the parent of the next one."""
    fields = (
        revision.number,
        revision.digest,
        revision.parent,
        revision.author,
        revision.reason,
        revision.time,
        revision.nonce,
        revision.parts,
        revision.changes,
    )
    return hex_digest(msgspec.json.encode(fields))


def first_discontinuity(chain: Iterable[Revision]) -> int | None:
    """Return the number of the first revision that does not continue the one before it.

    :param chain: revisions, oldest first.
    :return: None when the chain is intact.
    """
    previous: Revision | None = None
    for revision in chain:
        follows = previous is None or revision.number == previous.number + 1
        if not follows or (previous is not None and revision.parent != revision_digest(previous)):
            return revision.number
        previous = revision
    return None


def watchers(
    members: Iterable[Member], domain: str, count: int = defaults.WATCHERS_PER_FAILURE_DOMAIN
) -> tuple[str, ...]:
    """Return the names of the members that watch the object API for a failure domain.

    They are chosen by rendezvous hashing, so that members with the same view of the membership
    agree on the watchers.
    """
    names = [
        member.name
        for member in members
        if member.failure_domain == domain and member.state is MemberState.READY
    ]
    ranked = sorted(names, key=lambda name: xxhash.xxh3_64_intdigest(f"{domain} {name}".encode()))
    return tuple(ranked[:count])


class Revisions:
    """The revision in force at one node, and the sources of higher ones.

    :param rng: source of randomness for the choice of peers and for polling intervals.
    """

    def __init__(self, rng: random.Random | None = None):
        self.rng = rng or random.Random(0)
        self.current: Revision | None = None
        self.ancestors: tuple[Revision, ...] = ()
        self.highest_known = 0
        self.sources: dict[str, int] = {}
        self.pulling: str | None = None
        self.next_poll_at = 0.0
        self.pulls_enabled = False

    @property
    def number(self) -> int:
        """Return the number of the revision in force, 0 when there is none."""
        return self.current.number if self.current else 0

    def is_behind(self) -> bool:
        """Return whether a higher revision than the one in force is known to exist."""
        return self.highest_known > self.number

    def record_number(self, number: int) -> None:
        """Record that a revision exists."""
        self.highest_known = max(self.highest_known, number)

    def enable_pulls(self) -> list[Pull]:
        """Allow pulls after the start-up has completed."""
        self.pulls_enabled = True
        return self.next_pull()

    def on_revision_announced(self, origin: str, number: int) -> list[Pull]:
        """Record the revision that a member has in force."""
        self.record_number(number)
        if number <= self.number:
            self.sources.pop(origin, None)
            return []
        self.sources[origin] = number
        return self.next_pull()

    def next_pull(self) -> list[Pull]:
        """Return a pull from one of the members with the highest revision.

        Only one pull runs at a time.
        """
        if not self.pulls_enabled or self.pulling is not None or not self.sources:
            return []
        best = max(self.sources.values())
        names = sorted(name for name, number in self.sources.items() if number == best)
        self.pulling = self.rng.choice(names)
        return [Pull(self.pulling)]

    def on_pull_ended(self, source: str) -> list[Pull]:
        """Remove a source after its pull, successful or not, and return the next pull if any."""
        self.pulling = None
        self.sources = {
            name: number
            for name, number in self.sources.items()
            if name != source and number > self.number
        }
        return self.next_pull()

    def on_tick(self, now: float, peers: list[str]) -> list[Pull]:
        """Return a pull from a random source if a poll is due, in case no announcement arrived.

        The source is chosen uniformly among the peers and the object API, so that the rate of
        object API calls does not grow with the fleet. A node that knows of a higher revision
        polls more often, and the object API in more than half of the cases.

        :param now: monotonic seconds.
        """
        if not self.pulls_enabled or self.pulling is not None or now < self.next_poll_at:
            return []
        behind = self.is_behind()
        pause = defaults.STALE_REVISION_POLL_SECONDS if behind else defaults.REVISION_POLL_SECONDS
        self.next_poll_at = now + pause * self.rng.uniform(0.5, 1.5)
        ask_platform = behind and self.rng.random() < 0.5
        self.pulling = PLATFORM if ask_platform else self.rng.choice([*peers, PLATFORM])
        return [Pull(self.pulling)]

    def check_offer(self, offer: Offer) -> Verdict:
        """Check an offer before its content is known."""
        if offer.number < self.number or offer.revision is None:
            return Verdict.OLDER
        if self.current is not None and offer.number == self.number:
            same = revision_digest(offer.revision) == revision_digest(self.current)
            return Verdict.SAME if same else Verdict.FORKED
        chain = (*offer.ancestors, offer.revision)
        if first_discontinuity(chain) is not None:
            return Verdict.BROKEN
        if self.current is None:
            return Verdict.ADOPT
        return self.check_continuity(offer.source, chain)

    def check_continuity(self, source: str, chain: tuple[Revision, ...]) -> Verdict:
        """Check whether a chain with a higher revision continues the one in force.

        Only the object API may leave a gap: a chain from a peer has to be complete.
        """
        child = next((entry for entry in chain if entry.number == self.number + 1), None)
        if child is None:
            return Verdict.ADOPT if source == PLATFORM else Verdict.UNLINKED
        return Verdict.ADOPT if child.parent == revision_digest(self.current) else Verdict.FORKED

    @property
    def chain(self) -> tuple[Revision, ...]:
        """Return the known revisions up to the one in force, oldest first."""
        return (*self.ancestors, self.current) if self.current else ()

    def ancestors_of(self, offer: Offer) -> tuple[Revision, ...]:
        """Return the known revisions before an offered one, oldest first, without gaps."""
        first = offer.ancestors[0].number if offer.ancestors else offer.number
        earlier = tuple(entry for entry in self.chain if entry.number < first)
        contiguous = bool(earlier) and earlier[-1].number + 1 == first
        return (*earlier, *offer.ancestors) if contiguous else offer.ancestors

    def is_ancestor(self, offer: Offer) -> bool:
        """Return whether an offered revision precedes the one in force in its chain."""
        known = next((entry for entry in self.ancestors if entry.number == offer.number), None)
        return known is not None and revision_digest(known) == revision_digest(offer.revision)

    def adopt(self, offer: Offer, digest: str) -> Verdict:
        """Put an offered revision in force if it passes all checks.

        :param digest: digest of the content that came with the offer.
        """
        verdict = self.check_offer(offer)
        if verdict is not Verdict.ADOPT:
            return verdict
        if digest != offer.revision.digest:
            return Verdict.CORRUPT
        self.ancestors = self.ancestors_of(offer)[-defaults.MAX_CHAIN_LINKS :]
        self.current = offer.revision
        self.highest_known = max(self.highest_known, offer.number)
        return Verdict.ADOPT


class StartupSelection:
    """Selection of the first revision of a starting node.

    :param peers: names of the peers that are asked in addition to the object API.
    :param started_at: time of the start in monotonic seconds.
    """

    def __init__(self, peers: Iterable[str], started_at: float):
        self.sources = (PLATFORM, *peers)
        self.started_at = started_at
        self.offers: dict[str, Offer] = {}

    def on_offer(self, offer: Offer) -> None:
        """Record the answer of a source."""
        self.offers[offer.source] = offer

    def on_pull_failed(self, source: str) -> None:
        """Remove the offer of a source that failed to deliver it."""
        self.offers.pop(source, None)

    def missing(self) -> list[str]:
        """Return the sources without an answer."""
        return [source for source in self.sources if source not in self.offers]

    def is_decided(self, now: float) -> bool:
        """Return whether the highest offer may be put in force.

        An answer of the object API suffices. Without it, every peer has to have answered and none
        may know of a higher revision; after ``defaults.STARTUP_PEER_TIMEOUT_SECONDS`` seconds any
        answer of a peer suffices.

        :param now: monotonic seconds.
        """
        if PLATFORM in self.offers:
            return True
        if len(self.sources) == 1 or not self.offers:
            return False
        highest_known = max(offer.highest_known for offer in self.offers.values())
        complete = self.missing() == [PLATFORM] and highest_known <= self.best().number
        return complete or now - self.started_at > defaults.STARTUP_PEER_TIMEOUT_SECONDS

    def best(self) -> Offer:
        """Return the offer with the highest number, preferring the object API among equals."""
        return max(
            self.offers.values(), key=lambda offer: (offer.number, offer.source == PLATFORM)
        )
