"""The sends of a request to endpoints, and what proves that none of them has run it.

All sends of a request have the same id, the caller's. Only the connection tells which of them a
response answers.
"""

import enum
from dataclasses import dataclass, field

from ..exceptions import Ran, SendRefused
from ..http import Channel
from .records import MISDIRECTED_STATUS, AnswerInfo


class Match(enum.Enum):
    """Which request a response on a connection answers."""

    OWN = "own"
    OTHER = "other"
    AMBIGUOUS = "ambiguous"


@dataclass(slots=True)
class Send:
    """One send of a request on a connection.

    :param request_id: empty if the caller gave none.
    :param endpoint: name of the endpoint.
    :param number: of the requests on the connection, from 1.
    :ivar ran: whether the endpoint has run the request. It is not known until a response to this
        send says so, whatever becomes of the connection.
    :ivar named: whether a rejection named the request; None where there was none.
    """

    request_id: str
    endpoint: str
    channel: Channel
    number: int
    ran: Ran = Ran.UNKNOWN
    named: bool | None = None

    def match(self, info: AnswerInfo) -> Match:
        """Return which request a response answers that arrives after this send.

        A response that names no request may be a late copy of an earlier one, unless no other
        request was sent on the connection.
        """
        if info.request_id:
            return Match.OWN if info.request_id == self.request_id else Match.OTHER
        if self.request_id and not info.not_run:
            return Match.OTHER
        return Match.OWN if self.number == 1 else Match.AMBIGUOUS

    def accept_rejection(self, info: AnswerInfo) -> bool:
        """Return whether a response to this send proves that it never runs, and record that.

        Status 421 says that another endpoint has the address; it proves nothing if it comes from
        the one that the request was meant for.
        """
        if not info.not_run or (
            info.status == MISDIRECTED_STATUS and info.endpoint == self.endpoint
        ):
            return False
        self.named = bool(info.request_id)
        self.ran = Ran.NO
        return True

    def log_fields(self) -> dict[str, object]:
        """Return the log fields that tell this send from others of the same request."""
        return {"connection": self.channel.number, "sends": self.number, "named": self.named}


@dataclass(slots=True)
class Sends:
    """All sends of a request. What its caller is told follows from them alone.

    :param repeatable: whether the request may run more than once.
    :param all: the sends, oldest first.
    """

    repeatable: bool
    all: list[Send] = field(default_factory=list)

    @property
    def ran(self) -> Ran:
        """Return whether the request was executed: ``no`` only if that is proved of each send."""
        found = {send.ran for send in self.all}
        return next((ran for ran in (Ran.YES, Ran.UNKNOWN) if ran in found), Ran.NO)

    @property
    def may_begin(self) -> bool:
        """Return whether the request may be sent, once more or for the first time."""
        return self.repeatable or self.ran is Ran.NO

    @property
    def channels(self) -> list[Channel]:
        """Return the connections that carried the request."""
        return [send.channel for send in self.all]

    def begin(self, request_id: str, endpoint: str, channel: Channel) -> Send:
        """Record a send before its first byte is written.

        :raises SendRefused: if the request may have run and must not run again, or if the
            connection carried it before.
        """
        if not self.may_begin:
            raise SendRefused("the request may have run and must not run again")
        if channel in self.channels:
            raise SendRefused("the connection carried the request before")
        send = Send(request_id, endpoint, channel, channel.request_count + 1)
        self.all.append(send)
        return send
