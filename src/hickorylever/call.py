"""State of a request in the filter chain."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .decisions.pools import Pool
from .exceptions import Ran
from .http import Exchange
from .records import Application, ClientAccount, Endpoint


@dataclass(slots=True)
class Call:
    """State of one request in the router, filled in by the filters.

    :param started_at: time of arrival in monotonic seconds.
    :param deadline: monotonic seconds.
    :param pool: the pool that serves the request.
    :param chat: identity of the chat that the request belongs to.
    :param prefix: identity of a long prefix shared with other chats, or empty.
    :param work: estimated tokens.
    :param priority: a larger number is served earlier by the endpoint.
    :param borrowed: whether the account exceeds its share.
    :param response_tail: last bytes of the response, where engines report usage.
    :param idempotency_key: the Idempotency-Key, or empty.
    :param guarded: whether a guard forbids to execute the request twice.
    :param common_order: returns the endpoints in the order that all routers compute alike.
    :param order_uncertain: whether routers may compute different orders.
    :param suspects_checked: whether the register of suspects was read for this request.
    :param suspected: whether an endpoint crashed while running the request, or refused it as a
        suspect.
    :param trial_version: version of the object that grants a suspect its one trial run, or 0.
    :param candidates: endpoints in order of preference, produced lazily.
    :param ran: whether the request was executed, as far as known.
    """

    exchange: Exchange
    id: str
    started_at: float
    deadline: float
    account: ClientAccount | None = None
    application: Application | None = None
    pool: Pool = Pool("")
    model: str = ""
    body: bytes = b""
    stream: bool = False
    chat: str = ""
    prefix: str = ""
    prompt_bytes: int = 0
    work: float = 0.0
    priority: int = 0
    borrowed: bool = False
    response_tail: bytes = b""
    idempotency_key: str = ""
    guarded: bool = False
    fingerprint: str = ""
    common_order: Callable[[], Iterator[Endpoint]] | None = None
    order_uncertain: bool = False
    suspects_checked: bool = False
    suspected: bool = False
    trial_version: int = 0
    candidates: Iterator[Endpoint] = iter(())
    ran: Ran = Ran.NO
    status: int = 0
    endpoint: str = ""

    def record_ran(self, ran: Ran) -> None:
        """Update :attr:`ran`; it only grows in the order no, unknown, yes."""
        order = (Ran.NO, Ran.UNKNOWN, Ran.YES)
        self.ran = max(self.ran, ran, key=order.index)
