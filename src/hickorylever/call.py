"""One caller's request on its way through the filter chain."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .decisions.pools import Pool
from .exceptions import Ran
from .http import Exchange
from .records import Application, ClientAccount, Endpoint


@dataclass(slots=True)
class Call:
    """State of one request in the router; each filter fills its part.

    :param deadline: monotonic seconds.
    :param work: estimated tokens.
    :param prefix: identity of a long prefix that other chats share, or empty.
    :param agreed: returns the endpoints in the order that every router agrees on.
    :param doubtful: routers may disagree about the order.
    :param screened: the register of suspects was read since the call came.
    :param suspected: an endpoint has crashed under it, or refuses it for that.
    :param trial: version of the object that allows a suspect's one further run, or 0.
    :param priority: higher goes first at the endpoint.
    :param borrowed: the account is beyond its share.
    :param tail: last bytes of the answer, where engines report usage.
    :param candidates: endpoints in order of preference, produced on demand.
    :param ran: the strongest claim about execution that is known so far.
    """

    exchange: Exchange
    id: str
    begun: float
    deadline: float
    account: ClientAccount | None = None
    application: Application | None = None
    endpoints: Pool = Pool("")
    model: str = ""
    body: bytes = b""
    stream: bool = False
    chat: str = ""
    prefix: str = ""
    prompt_bytes: int = 0
    work: float = 0.0
    priority: int = 0
    borrowed: bool = False
    tail: bytes = b""
    key: str = ""
    guarded: bool = False
    fingerprint: str = ""
    agreed: Callable[[], Iterator[Endpoint]] | None = None
    doubtful: bool = False
    screened: bool = False
    suspected: bool = False
    trial: int = 0
    candidates: Iterator[Endpoint] = iter(())
    ran: Ran = Ran.NO
    status: int = 0
    endpoint: str = ""

    def note(self, ran: Ran) -> None:
        """Keep the strongest claim about execution: no < unknown < yes."""
        order = (Ran.NO, Ran.UNKNOWN, Ran.YES)
        self.ran = max(self.ran, ran, key=order.index)
