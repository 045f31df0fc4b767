"""Reads and writes the platform's headers of requests and responses."""

import re

from .. import problems
from ..direct.records import (
    MISDIRECTED_STATUS,
    NOT_RUN_STATUSES,
    AnswerInfo,
    ForwardingMetadata,
    PromptPart,
    RequestInfo,
)
from ..exceptions import Kind, Ran, RequestError
from ..http import Headers, end_to_end, header
from . import names

PART = re.compile(rb"([0-9a-fA-F]{1,32}):([0-9]{1,9})")
TOKENS = re.compile(rb"([0-9]{1,9}),([0-9]{1,9})")
# Running, waiting, slots, and on some platforms how long work takes as a percentage of the usual.
LOAD = re.compile(rb"([0-9]{1,7}),([0-9]{1,7}),([0-9]{1,7})(?:,([0-9]{1,7}))?")
PERCENT = 100.0
MILLISECONDS = re.compile(rb"[0-9]{1,10}(?:\.[0-9]{1,6})?")
SECONDS_PER_MILLISECOND = 0.001
DECIMAL = re.compile(rb"[0-9]{0,9}\.?[0-9]{1,9}")
ERA = re.compile(rb"[0-9]{1,15}")
AUTH_SCHEME = b"bearer"


def read_request(fields: Headers) -> RequestInfo:
    """Return the routing information in the headers of a request.

    :raises RequestError: if the deadline header is invalid. Other invalid values are ignored.
    """
    deadline = header(fields, names.DEADLINE)
    if deadline and not MILLISECONDS.fullmatch(deadline):
        raise RequestError(Kind.BAD_REQUEST, "the deadline is not a number of milliseconds")
    tokens = TOKENS.fullmatch(header(fields, names.TOKENS).replace(b" ", b""))
    scheme, _, key = header(fields, b"authorization").partition(b" ")
    return RequestInfo(
        id=header(fields, names.ATTEMPT_ID).decode("latin-1"),
        time_limit=float(deadline) * SECONDS_PER_MILLISECOND if deadline else None,
        model=header(fields, names.MODEL).decode("latin-1"),
        prompt_tokens=int(tokens[1]) if tokens else 0,
        output_tokens=int(tokens[2]) if tokens else 0,
        parts=read_parts(header(fields, names.PREFIX)),
        last_event_id=header(fields, names.LAST_EVENT).decode("latin-1"),
        key=key.strip().decode("latin-1") if scheme.lower() == AUTH_SCHEME else "",
        resumes=header(fields, names.RESUMES).decode("latin-1"),
    )


def read_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of the prompt in order, up to the first invalid entry."""
    parts = []
    for entry in value.split(b","):
        match = PART.fullmatch(entry.strip())
        if match is None:
            break
        parts.append(PromptPart(match[1].decode().lower(), int(match[2])))
    return tuple(parts)


def forwarded(fields: Headers, metadata: ForwardingMetadata) -> list[tuple[bytes, bytes]]:
    """Return the headers with which a request is forwarded to an endpoint."""
    drop = (b"host", b"content-length", *names.RESERVED_HEADERS)
    if metadata.last_event_id is not None:
        drop = (*drop, names.LAST_EVENT)
    result = end_to_end(fields, *drop)
    result.append((names.EXPECTED_ENDPOINT, metadata.endpoint.encode()))
    if metadata.time_left is not None:
        result.append(
            (names.DEADLINE, b"%d" % max(1, int(metadata.time_left / SECONDS_PER_MILLISECOND)))
        )
    optional = (
        (names.ACCOUNT, metadata.account),
        (names.PRIORITY, metadata.priority),
        (names.CACHE_SOURCE, metadata.cache_source),
        (names.LAST_EVENT, metadata.last_event_id),
    )
    result += [(name, str(value).encode()) for name, value in optional if value is not None]
    return result


def identify_endpoint(endpoint: str) -> list[tuple[bytes, bytes]]:
    """Return the headers with which another endpoint at the same address refuses a request."""
    return [(names.EXPECTED_ENDPOINT, endpoint.encode())]


def read_answer(status: int, fields: Headers) -> AnswerInfo:
    """Return the information in the status and headers of an endpoint's response."""
    load = LOAD.fullmatch(header(fields, names.LOAD).replace(b" ", b""))
    stamped = bool(header(fields, names.STAMP))
    misdirected = status == MISDIRECTED_STATUS and not stamped
    return AnswerInfo(
        status=status,
        request_id=header(fields, names.ATTEMPT_ID).decode("latin-1"),
        stamped=stamped,
        not_run=misdirected or bool(header(fields, names.NOT_RUN)),
        endpoint=header(fields, names.ENDPOINT).decode("latin-1"),
        encoded=bool(header(fields, b"content-encoding")),
        running=int(load[1]) if load else None,
        waiting=int(load[2]) if load else None,
        leaving=status != MISDIRECTED_STATUS
        and header(fields, names.LEAVING).strip() == names.LEAVING_VALUE,
        retry_after=read_decimal(header(fields, b"retry-after")) if status == 503 else None,
        rate_limit=read_decimal(header(fields, names.LIMIT)),
        warmup_left=read_milliseconds(header(fields, names.WARMUP)),
        slots=int(load[3]) if load else None,
        pace=read_pace(load) if load else None,
    )


def read_pace(load: re.Match[bytes]) -> float | None:
    """Return how long work takes as a multiple of the usual time, or None if it is not stated.

    :param load: match of `LOAD`.
    """
    percent = int(load[4] or 0)
    return percent / PERCENT if percent else None


def read_milliseconds(value: bytes) -> float | None:
    """Return a number of milliseconds in seconds, or None if it is missing or malformed."""
    value = value.strip()
    return float(value) * SECONDS_PER_MILLISECOND if MILLISECONDS.fullmatch(value) else None


def read_decimal(value: bytes) -> float | None:
    """Return a decimal number, or None if it is missing or malformed."""
    return float(value) if DECIMAL.fullmatch(value.strip()) else None


def read_era(fields: Headers) -> int | None:
    """Return the era of the store in its response, or None if it is missing or malformed."""
    value = header(fields, names.STORE_ERA).strip()
    return int(value) if ERA.fullmatch(value) else None


def refusal(error: RequestError) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return the status, headers and body of an error response of the router.

    Statuses that promise that a request has not run are only sent if it has not.
    """
    status = problems.PROBLEM_TYPES[error.kind].status
    if status in NOT_RUN_STATUSES and error.ran is not Ran.NO:
        error = RequestError(Kind.ANSWER_LOST, error.detail, error.ran, error.retry_after)
        status = problems.PROBLEM_TYPES[error.kind].status
    fields = [(b"content-type", problems.CONTENT_TYPE)]
    if error.kind is Kind.UNAUTHENTICATED:
        fields.append((b"www-authenticate", b"Bearer"))
    if error.retry_after is not None:
        fields.append((b"retry-after", b"%.3f" % error.retry_after))
    return status, fields, problems.document(error)
