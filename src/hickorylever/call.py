"""One caller's request on its way through the filter chain."""

from dataclasses import dataclass, field

from .exceptions import Ran
from .http import Exchange
from .records import Application, ClientAccount, Endpoint


@dataclass(slots=True)
class Call:
    """State of one request in the router; each filter fills its part.

    :param deadline: monotonic seconds.
    :param work: estimated tokens.
    :param candidates: endpoints in order of preference.
    :param ran: the strongest claim about execution that is known so far.
    """

    exchange: Exchange
    id: str
    begun: float
    deadline: float
    account: ClientAccount | None = None
    application: Application | None = None
    endpoints: list[Endpoint] = field(default_factory=list)
    model: str = ""
    body: bytes = b""
    stream: bool = False
    chat: str = ""
    work: float = 0.0
    key: str = ""
    guarded: bool = False
    fingerprint: str = ""
    candidates: list[Endpoint] = field(default_factory=list)
    ran: Ran = Ran.NO
    status: int = 0
    endpoint: str = ""

    def note(self, ran: Ran) -> None:
        """Keep the strongest claim about execution: no < unknown < yes."""
        order = (Ran.NO, Ran.UNKNOWN, Ran.YES)
        self.ran = max(self.ran, ran, key=order.index)
