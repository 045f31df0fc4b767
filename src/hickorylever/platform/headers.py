"""Headers of requests, of answers and of refusals."""

import re

from .. import problems
from ..direct.records import AnswerInfo, ForwardingMetadata, PromptPart, RequestInfo
from ..exceptions import Kind, RequestError
from ..http import Headers, end_to_end, header
from . import names

PART = re.compile(rb"([0-9a-fA-F]{1,32}):([0-9]{1,9})")
TOKENS = re.compile(rb"([0-9]{1,9}),([0-9]{1,9})")
LOAD = re.compile(rb"([0-9]{1,7}),([0-9]{1,7}),([0-9]{1,7})")
MILLISECONDS = re.compile(rb"[0-9]{1,10}(?:\.[0-9]{1,6})?")
MILLISECOND = 0.001  # Seconds.
SCHEME = b"bearer"


def read_request(fields: Headers) -> RequestInfo:
    """Return what routing needs of a request's headers.

    :raises RequestError: when a value can't be read.
    """
    limit = header(fields, names.DEADLINE)
    if limit and not MILLISECONDS.fullmatch(limit):
        raise RequestError(Kind.BAD_REQUEST, "the time limit is not a number")
    tokens = TOKENS.fullmatch(header(fields, names.TOKENS).replace(b" ", b""))
    scheme, _, key = header(fields, b"authorization").partition(b" ")
    return RequestInfo(
        id=header(fields, names.ATTEMPT_ID).decode("latin-1"),
        time_limit=float(limit) * MILLISECOND if limit else None,
        model=header(fields, names.MODEL).decode("latin-1"),
        prompt_tokens=int(tokens[1]) if tokens else 0,
        output_tokens=int(tokens[2]) if tokens else 0,
        parts=read_parts(header(fields, names.PREFIX)),
        last_event_id=header(fields, names.LAST_EVENT).decode("latin-1"),
        key=key.strip().decode("latin-1") if scheme.lower() == SCHEME else "",
    )


def read_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the prompt's parts in order; entries that can't be read end the list."""
    parts = []
    for entry in value.split(b","):
        match = PART.fullmatch(entry.strip())
        if match is None:
            break
        parts.append(PromptPart(match[1].decode().lower(), int(match[2])))
    return tuple(parts)


def forwarded(fields: Headers, metadata: ForwardingMetadata) -> list[tuple[bytes, bytes]]:
    """Return the headers that go to an endpoint with a request."""
    drop = (b"host", b"content-length", *names.OWN_HEADERS)
    if metadata.last_event_id is not None:
        drop = (*drop, names.LAST_EVENT)
    result = end_to_end(fields, *drop)
    result.append((names.EXPECTED_ENDPOINT, metadata.endpoint.encode()))
    if metadata.time_left is not None:
        result.append((names.DEADLINE, b"%d" % max(1, int(metadata.time_left / MILLISECOND))))
    optional = (
        (names.ACCOUNT, metadata.account),
        (names.PRIORITY, metadata.priority),
        (names.CACHE_SOURCE, metadata.cache_source),
        (names.LAST_EVENT, metadata.last_event_id),
    )
    result += [(name, str(value).encode()) for name, value in optional if value is not None]
    return result


def read_answer(status: int, fields: Headers) -> AnswerInfo:
    """Return what an endpoint's answer says beside its bytes."""
    load = LOAD.fullmatch(header(fields, names.LOAD).replace(b" ", b""))
    return AnswerInfo(
        status=status,
        request_id=header(fields, names.ATTEMPT_ID).decode("latin-1"),
        stamped=bool(header(fields, names.STAMP)),
        not_run=status == 421 or bool(header(fields, names.NOT_RUN)),
        encoded=bool(header(fields, b"content-encoding")),
        running=int(load[1]) if load else None,
        waiting=int(load[2]) if load else None,
    )


def refusal(error: RequestError) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return status, headers and body of an answer of the router's own."""
    fields = [(b"content-type", problems.CONTENT_TYPE)]
    if error.kind is Kind.UNAUTHENTICATED:
        fields.append((b"www-authenticate", b"Bearer"))
    if error.retry_after is not None:
        fields.append((b"retry-after", b"%.3f" % error.retry_after))
    return problems.PROBLEM_TYPES[error.kind].status, fields, problems.document(error)
