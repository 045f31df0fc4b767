"""The state of one caller's request while it is forwarded."""

from dataclasses import dataclass, field

from ..exceptions import Ran
from ..http import Exchange
from .hashes import hash_strings
from .held_bytes import Holder
from .records import Account, RequestInfo, Route, Service
from .sends import Sends
from .stream import CallerStream

MAX_PARTS = 16  # Of a prompt, that count as causes of crashes.


@dataclass(slots=True)
class Call:
    """State of one caller's request.

    :param started_at: monotonic seconds.
    :param deadline: monotonic seconds; the earlier of the caller's and the route's.
    :param causes: what the request may crash endpoints with, see :mod:`.crashes`.
    :param attempts: attempts in which the request may have run.
    :param rejections: attempts that endpoints rejected without running the request.
    :param queued_seconds: seconds spent queued for an endpoint with capacity.
    :param tried: names of the endpoints tried.
    :param version: software version of the endpoints at which a stream may go on; None for any.
    :param stream_key: key of the stream in the table of streams, once it has an event.
    :param holder: counts what is held for the caller; None for a call that is only described.
    :ivar sends: sends of the request to endpoints.
    :param attempt_results: endpoint, failure domain and result of each attempt, for the log.
    """

    exchange: Exchange
    info: RequestInfo
    route: Route
    service: Service
    account: Account | None
    started_at: float
    deadline: float
    body: bytes = b""
    causes: tuple[str, ...] = ()
    attempts: int = 0
    rejections: int = 0
    queued_seconds: float = 0.0
    tried: set[str] = field(default_factory=set)
    attempt_results: list[str] = field(default_factory=list)
    stream: CallerStream | None = None
    version: str | None = None
    stream_key: int = 0
    holder: Holder | None = None
    sends: Sends = field(init=False)

    def __post_init__(self):
        self.sends = Sends(self.route.repeatable)
        if self.exchange is not None:
            channel = self.exchange.channel
            keys = ("service", self.service.name), ("account", self.account_name)
            self.holder = Holder(keys, channel.shut_down, lambda: channel.written_at)

    @property
    def ran(self) -> Ran:
        """Return what is known about whether the request was executed."""
        return self.sends.ran

    @property
    def account_name(self) -> str:
        """Return the name of the client account, or an empty string if there is none."""
        return self.account.name if self.account else ""

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller takes up a stream that an earlier request began."""
        return self.route.resumable and bool(self.info.last_event_id)

    @property
    def priority(self) -> int:
        """Return the priority of the account, or else of the route; 0 is most urgent."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


def causes(call: Call) -> tuple[str, ...]:
    """Return the prompt's parts and the fingerprint of a call, as causes of crashes."""
    return *(part.id for part in call.info.parts[:MAX_PARTS]), fingerprint(call)


def fingerprint(call: Call) -> str:
    """Return a digest that is equal whenever an account repeats the same request."""
    exchange = call.exchange
    state = hash_strings((call.account_name, exchange.method, exchange.path, exchange.query))
    state.update(call.body)
    for part in call.info.parts:
        state.update(f"{part.id},{part.tokens};".encode())
    return f"request-{state.hexdigest()}"
