"""Exceptions, the kinds of errors, and the response for each kind."""

import enum
from dataclasses import dataclass


class Ran(enum.StrEnum):
    """Whether an endpoint executed a request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Kind(enum.StrEnum):
    """All kinds of errors that are reported to callers; there are no others."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    ALREADY_RAN = "already_ran"
    STILL_RUNNING = "still_running"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    CRASHING = "crashing"
    QUARANTINED = "quarantined"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    WRONG_INCARNATION = "wrong_incarnation"
    CANCELLED = "cancelled"
    NO_ENDPOINT = "no_endpoint"
    NOT_READY = "not_ready"
    STREAM_UNKNOWN = "stream_unknown"
    VERSION_GONE = "version_gone"
    DEADLINE = "deadline"
    ENDPOINT_FAILED = "endpoint_failed"
    ANSWER_LOST = "answer_lost"
    ANSWER_TOO_LARGE = "answer_too_large"
    INTERNAL = "internal"


class Advice(enum.StrEnum):
    """Advice on retries for callers.

    It depends only on the kind of the error. The :class:`Ran` of the same response tells whether
    the request was executed.

    * ``never``: a retry fails again.
    * ``safe``: retry at once.
    * ``after``: retry after a pause.
    * ``with_key``: retry with the same Idempotency-Key.
    * ``ask``: find out whether the request was executed before a retry.
    """

    NEVER = "never"
    SAFE = "safe"
    AFTER = "after"
    WITH_KEY = "with_key"
    ASK = "ask"


@dataclass(frozen=True, slots=True)
class ProblemType:
    """Response for a kind of error.

    :param status: HTTP status.
    :param retry_after: seconds to wait before a retry, if any.
    """

    status: int
    title: str
    advice: Advice
    retry_after: int | None = None


PROBLEM_TYPES: dict[Kind, ProblemType] = {
    Kind.BAD_REQUEST: ProblemType(400, "The request is malformed", Advice.NEVER),
    Kind.HEADERS_TOO_LARGE: ProblemType(431, "The request head is too large", Advice.NEVER),
    Kind.BODY_TOO_LARGE: ProblemType(413, "The request body is too large", Advice.NEVER),
    Kind.REQUEST_TIMEOUT: ProblemType(408, "The request arrived too slowly", Advice.SAFE),
    Kind.UNAUTHENTICATED: ProblemType(401, "The client account is not known", Advice.NEVER),
    Kind.FORBIDDEN: ProblemType(403, "The client account may not do this", Advice.NEVER),
    Kind.NOT_FOUND: ProblemType(404, "No such model or application", Advice.NEVER),
    Kind.KEY_REQUIRED: ProblemType(428, "An Idempotency-Key is required", Advice.NEVER),
    Kind.KEY_REUSED: ProblemType(
        422, "The Idempotency-Key was used for another request", Advice.NEVER
    ),
    Kind.ALREADY_RAN: ProblemType(409, "The request already ran", Advice.NEVER),
    Kind.STILL_RUNNING: ProblemType(409, "The request is still running", Advice.WITH_KEY, 1),
    Kind.CLAIMS_UNAVAILABLE: ProblemType(503, "Claims cannot be recorded now", Advice.AFTER, 5),
    Kind.CRASHING: ProblemType(
        422, "The request crashed endpoints and is refused", Advice.AFTER, 600
    ),
    Kind.QUARANTINED: ProblemType(503, "The request crashed endpoints and waits", Advice.AFTER, 5),
    Kind.OVERLOADED: ProblemType(503, "No endpoint has room", Advice.AFTER, 1),
    Kind.DRAINING: ProblemType(503, "The node is shutting down", Advice.SAFE),
    Kind.WRONG_INCARNATION: ProblemType(503, "The sidecar was restarted", Advice.SAFE),
    Kind.CANCELLED: ProblemType(503, "The request was cancelled", Advice.SAFE),
    Kind.NO_ENDPOINT: ProblemType(503, "No endpoint is available", Advice.AFTER, 2),
    Kind.NOT_READY: ProblemType(503, "No configuration is in force yet", Advice.AFTER, 2),
    Kind.STREAM_UNKNOWN: ProblemType(503, "What began the stream is not known", Advice.AFTER, 1),
    Kind.VERSION_GONE: ProblemType(503, "What began the stream is gone", Advice.NEVER),
    Kind.DEADLINE: ProblemType(504, "The deadline passed", Advice.ASK),
    Kind.ENDPOINT_FAILED: ProblemType(502, "The endpoint failed", Advice.ASK),
    Kind.ANSWER_LOST: ProblemType(502, "The answer was lost", Advice.ASK),
    Kind.ANSWER_TOO_LARGE: ProblemType(502, "The answer is too large", Advice.NEVER),
    Kind.INTERNAL: ProblemType(500, "Internal error", Advice.ASK),
}


class HickoryleverError(Exception):
    """Base class of the exceptions of this package."""


class SettingsError(HickoryleverError):
    """Raised when settings are not valid.

    :param faults: a line for each error, with the file, the key and the allowed values.
    """

    def __init__(self, faults: list[str]):
        super().__init__("\n".join(faults))
        self.faults = faults


class FleetError(SettingsError):
    """Raised when a fleet directory is not valid. Each error has file, line and column."""


class ContentError(HickoryleverError):
    """Raised when the content of a configuration is corrupt, incomplete or too large."""


class PlatformError(HickoryleverError):
    """Raised when a call of the object API fails or gets no response."""


class Conflict(PlatformError):  # noqa: N818
    """Raised by a conditional write when the object no longer has the expected version."""


class LostReply(PlatformError):  # noqa: N818
    """Raised when a write gets no reply, so that it may or may not have taken effect."""


class HistoryLost(PlatformError):  # noqa: N818
    """Raised by a watch when the object API no longer has the requested changes."""


class ConnectionLost(HickoryleverError):  # noqa: N818
    """Raised when a connection was closed or reset, or the peer stopped responding."""


class PeerRefused(ConnectionLost):
    """Raised when a peer refuses a connection. Nothing listens at its address."""


class PeerTimeout(ConnectionLost):
    """Raised when a peer sends nothing within its timeout. It may still be working."""


class CallerGone(HickoryleverError):  # noqa: N818
    """Raised when the caller has closed its connection."""


class InconsistentResponse(HickoryleverError):  # noqa: N818
    """Raised when the parts of a response are inconsistent or too large."""


class SendRefused(HickoryleverError):  # noqa: N818
    """Raised instead of sending a request that must not be sent."""


class RequestError(HickoryleverError):
    """Raised to end a request with an error response.

    :param ran: whether the request was executed.
    :param detail: one sentence for the caller; by default the title of the kind.
    :param retry_after: seconds to wait before a retry; None for the default of the kind.
    """

    def __init__(
        self, kind: Kind, detail: str = "", ran: Ran = Ran.NO, retry_after: float | None = None
    ):
        super().__init__(detail or PROBLEM_TYPES[kind].title)
        self.kind = kind
        self.ran = ran
        self.detail = str(self)
        self.retry_after = PROBLEM_TYPES[kind].retry_after if retry_after is None else retry_after
