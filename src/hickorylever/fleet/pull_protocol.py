"""Messages with which a node pulls a revision and the parts that it lacks from a peer."""

import msgspec

from .. import defaults
from ..decisions.revisions import Revisions
from ..records import Revision
from .content import Content, Part


class PullRequest(msgspec.Struct):
    """A request for the revision in force.

    :param number: revision that the sender has in force, 0 for none.
    :param digest: digest of the sender's content, the base of a delta.
    :param content: whether the parts are requested too, not only the revision.
    """

    number: int = 0
    digest: str = ""
    content: bool = True


class PullResponse(msgspec.Struct):
    """The revision that a node has in force; fields are encoded under their names.

    :param links: earlier revisions, oldest first, from the one that the requester has in force on.
    :param heard: highest revision number that the node knows of.
    :param difference: whether `parts` has only those that differ from the requester's content.
    """

    revision: Revision | None = None
    links: tuple[Revision, ...] = ()
    heard: int = 0
    difference: bool = False
    parts: list[Part] = []


class PullServer:
    """Builds responses for peers that pull the configuration.

    :param active_pulls: number of pulls being served; the caller counts and limits them.
    :param bases: keys of the parts of earlier contents, by the content's digest. Peers that have
        one of them get a delta.
    """

    def __init__(self):
        self.active_pulls = 0
        self.bases: dict[str, frozenset[str]] = {}

    def add_base(self, content: Content) -> None:
        """Record a content as a base of later deltas; the oldest base is evicted."""
        self.bases[content.digest] = content.keys()
        while len(self.bases) > defaults.MAX_DELTA_BASES:
            del self.bases[next(iter(self.bases))]

    def respond(
        self, revisions: Revisions, content: Content, request: PullRequest
    ) -> PullResponse:
        """Return the response to a request, with the parts only if the requester is behind."""
        links = tuple(entry for entry in revisions.ancestors if entry.number >= request.number)
        response = PullResponse(revisions.current, links, revisions.highest_known)
        if request.content and revisions.number > request.number:
            base_keys = self.bases.get(request.digest)
            response.difference = base_keys is not None
            response.parts = content.parts_not_in(base_keys or frozenset())
        return response
