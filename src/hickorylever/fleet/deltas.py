"""What peers ask each other for and answer: a revision and the parts that the asker lacks."""

import msgspec

from .. import defaults
from ..decisions.revisions import Revisions
from ..records import Revision
from .content import Content, Part


class Ask(msgspec.Struct):
    """What a peer wants.

    :param number: the revision that it has in force, 0 for none.
    :param digest: of the content that it holds.
    :param content: False when it only wants to know the revision.
    """

    number: int = 0
    digest: str = ""
    content: bool = True


class Answer(msgspec.Struct):
    """What a node has in force.

    :param links: revisions before it, from the asker's number on.
    :param heard: the highest number that the node has heard of.
    :param difference: the parts are only those that differ from the asker's content.
    """

    revision: Revision | None = None
    links: tuple[Revision, ...] = ()
    heard: int = 0
    difference: bool = False
    parts: list[Part] = []


class Desk:
    """Answers the asks of peers, a bounded number at a time.

    :param bases: keys of the parts of contents that were in force, by the content's digest.
    """

    def __init__(self):
        self.open = 0
        self.bases: dict[str, frozenset[str]] = {}

    def note(self, content: Content) -> None:
        """Remember a content as a base of later differences."""
        self.bases[content.digest] = content.keys()
        while len(self.bases) > defaults.MAX_DELTA_BASES:
            del self.bases[next(iter(self.bases))]

    def answer(self, revisions: Revisions, content: Content, ask: Ask) -> Answer:
        """Return the answer to one ask."""
        links = tuple(entry for entry in revisions.ancestors if entry.number >= ask.number)
        answer = Answer(revisions.current, links, revisions.highest_known)
        if ask.content and revisions.number > ask.number:
            base = self.bases.get(ask.digest)
            answer.difference = base is not None
            answer.parts = content.changed(base or frozenset())
        return answer
