"""Adoption and spread of configuration revisions: a node only moves forward."""

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
    """A revision as a source offers it.

    :param source: a member's name, or :data:`PLATFORM`.
    :param links: the revisions before it that the source knows, oldest first.
    :param heard: the highest number that the source has heard of.
    """

    source: str
    revision: Revision | None
    links: tuple[Revision, ...] = ()
    heard: int = 0

    @property
    def number(self) -> int:
        """Return the offered number, 0 when nothing is offered."""
        return self.revision.number if self.revision else 0


@dataclass(frozen=True, slots=True)
class Pull:
    """Ask a source for what it has in force."""

    source: str


class Verdict(enum.StrEnum):
    """What a node makes of an offered revision."""

    ADOPT = "adopt"
    SAME = "same"
    OLDER = "older"
    CORRUPT = "corrupt"
    BROKEN = "broken"
    FORKED = "forked"
    UNLINKED = "unlinked"


def link(revision: Revision) -> str:
    """Return the digest by which the next revision names this one as its parent."""
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


def broken_at(chain: Iterable[Revision]) -> int | None:
    """Return the number of the first revision that does not name the one before it."""
    before: Revision | None = None
    for revision in chain:
        follows = before is None or revision.number == before.number + 1
        if not follows or (before is not None and revision.parent != link(before)):
            return revision.number
        before = revision
    return None


def watchers(
    members: Iterable[Member], domain: str, count: int = defaults.WATCHERS_PER_FAILURE_DOMAIN
) -> tuple[str, ...]:
    """Return the names of the members that watch the object API for a failure domain.

    Rendezvous hashing: members that agree on who is alive agree on the watchers.
    """
    names = [
        member.name
        for member in members
        if member.failure_domain == domain and member.state is MemberState.READY
    ]
    ranked = sorted(names, key=lambda name: xxhash.xxh3_64_intdigest(f"{domain} {name}".encode()))
    return tuple(ranked[:count])


class Revisions:
    """The revision in force at one node, and where to get a higher one.

    :param chance: chooses among peers and spreads polls.
    """

    def __init__(self, chance: random.Random | None = None):
        self.chance = chance or random.Random(0)
        self.current: Revision | None = None
        self.links: tuple[Revision, ...] = ()
        self.heard = 0
        self.sources: dict[str, int] = {}
        self.pulling: str | None = None
        self.next_poll = 0.0
        self.started = False

    @property
    def number(self) -> int:
        """Return the number in force, 0 before the first."""
        return self.current.number if self.current else 0

    def behind(self) -> bool:
        """Tell whether a higher revision than the one in force is known."""
        return self.heard > self.number

    def hear(self, number: int) -> None:
        """Note that a revision exists."""
        self.heard = max(self.heard, number)

    def begin(self) -> list[Pull]:
        """Allow pulls, once the start-up is over."""
        self.started = True
        return self.next_pull()

    def on_revision_heard(self, origin: str, number: int) -> list[Pull]:
        """Note which revision a member has in force."""
        self.hear(number)
        if number <= self.number:
            self.sources.pop(origin, None)
            return []
        self.sources[origin] = number
        return self.next_pull()

    def next_pull(self) -> list[Pull]:
        """Ask one of the members that told the highest number, one at a time."""
        if not self.started or self.pulling is not None or not self.sources:
            return []
        best = max(self.sources.values())
        names = sorted(name for name, number in self.sources.items() if number == best)
        self.pulling = self.chance.choice(names)
        return [Pull(self.pulling)]

    def on_pull_ended(self, source: str) -> list[Pull]:
        """Forget a source that was asked, whatever came of it, and ask the next if need be."""
        self.pulling = None
        self.sources = {
            name: number
            for name, number in self.sources.items()
            if name != source and number > self.number
        }
        return self.next_pull()

    def on_tick(self, now: float, peers: list[str]) -> list[Pull]:
        """Poll now and then, in case nothing was heard.

        Uniform choice among the peers and the object API keeps the calls of the whole fleet
        constant; a node that knows itself to be behind asks the object API more often.
        """
        if not self.started or self.pulling is not None or now < self.next_poll:
            return []
        behind = self.behind()
        pause = defaults.STALE_REVISION_POLL_SECONDS if behind else defaults.REVISION_POLL_SECONDS
        self.next_poll = now + pause * self.chance.uniform(0.5, 1.5)
        straight = behind and self.chance.random() < 0.5
        self.pulling = PLATFORM if straight else self.chance.choice([*peers, PLATFORM])
        return [Pull(self.pulling)]

    def judge(self, offer: Offer) -> Verdict:
        """Return what to make of an offer, before its content is known."""
        if offer.number < self.number or offer.revision is None:
            return Verdict.OLDER
        if self.current is not None and offer.number == self.number:
            same = link(offer.revision) == link(self.current)
            return Verdict.SAME if same else Verdict.FORKED
        chain = (*offer.links, offer.revision)
        if broken_at(chain) is not None:
            return Verdict.BROKEN
        if self.current is None:
            return Verdict.ADOPT
        return self.judge_link(offer.source, chain)

    def judge_link(self, source: str, chain: tuple[Revision, ...]) -> Verdict:
        """Tell whether a chain of higher revisions continues the one in force.

        Only the object API may leave a gap: a peer's word alone does not bridge it.
        """
        child = next((entry for entry in chain if entry.number == self.number + 1), None)
        if child is None:
            return Verdict.ADOPT if source == PLATFORM else Verdict.UNLINKED
        return Verdict.ADOPT if child.parent == link(self.current) else Verdict.FORKED

    @property
    def chain(self) -> tuple[Revision, ...]:
        """Return the known revisions up to the one in force, oldest first."""
        return (*self.links, self.current) if self.current else ()

    def join(self, offer: Offer) -> tuple[Revision, ...]:
        """Return the known revisions before an offered one."""
        first = offer.links[0].number if offer.links else offer.number
        before = tuple(entry for entry in self.chain if entry.number < first)
        whole = bool(before) and before[-1].number + 1 == first
        return (*before, *offer.links) if whole else offer.links

    def went_back(self, offer: Offer) -> bool:
        """Tell whether an offer is an earlier revision of the chain in force."""
        known = next((entry for entry in self.links if entry.number == offer.number), None)
        return known is not None and link(known) == link(offer.revision)

    def adopt(self, offer: Offer, digest: str) -> Verdict:
        """Move to an offered revision whose content has `digest`, if that may be."""
        verdict = self.judge(offer)
        if verdict is not Verdict.ADOPT:
            return verdict
        if digest != offer.revision.digest:
            return Verdict.CORRUPT
        self.links = self.join(offer)[-defaults.MAX_CHAIN_LINKS :]
        self.current = offer.revision
        self.heard = max(self.heard, offer.number)
        return Verdict.ADOPT


class Start:
    """Which revision a starting node begins with.

    :param peers: the peers that are asked beside the object API.
    :param began: monotonic seconds.
    """

    def __init__(self, peers: Iterable[str], began: float):
        self.sources = (PLATFORM, *peers)
        self.began = began
        self.offers: dict[str, Offer] = {}

    def on_offer(self, offer: Offer) -> None:
        """Note a source's answer."""
        self.offers[offer.source] = offer

    def on_pull_failed(self, source: str) -> None:
        """Forget a source that could not deliver what it offered."""
        self.offers.pop(source, None)

    def missing(self) -> list[str]:
        """Return the sources that have not answered."""
        return [source for source in self.sources if source not in self.offers]

    def settled(self, now: float) -> bool:
        """Tell whether the highest answer may be put in force.

        The object API's answer is enough. Without it every peer must have answered, and none
        may know of a higher revision, unless the node's patience is over.
        """
        if PLATFORM in self.offers:
            return True
        if len(self.sources) == 1 or not self.offers:
            return False
        heard = max(offer.heard for offer in self.offers.values())
        whole = self.missing() == [PLATFORM] and heard <= self.best().number
        return whole or now - self.began > defaults.STARTUP_PEER_TIMEOUT_SECONDS

    def best(self) -> Offer:
        """Return the highest offer; the object API's when several are equal."""
        return max(
            self.offers.values(), key=lambda offer: (offer.number, offer.source == PLATFORM)
        )
