"""Problem details (RFC 9457) for request errors."""

import math

import msgspec

from .exceptions import PROBLEM_TYPES, Kind, RequestError

CONTENT_TYPE = b"application/problem+json"


def problem(error: RequestError) -> dict:
    """Return the problem details of an error.

    The ``error`` member is an extension: OpenAI clients show it to their users.
    """
    problem_type = PROBLEM_TYPES[error.kind]
    retry = {"advice": problem_type.advice.value}
    if error.retry_after is not None:
        retry["after_s"] = error.retry_after
    return {
        "type": f"urn:hickorylever:error:{error.kind}",
        "title": problem_type.title,
        "status": problem_type.status,
        "detail": error.detail,
        "kind": error.kind.value,
        "ran": error.ran.value,
        "retry": retry,
        "error": {"message": error.detail, "type": error.kind.value, "code": error.kind.value},
    }


def document(error: RequestError) -> bytes:
    """Return the problem details as JSON."""
    return msgspec.json.encode(problem(error))


def headers(error: RequestError) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error response."""
    fields = [(b"content-type", CONTENT_TYPE), (b"hickory-ran", error.ran.value.encode())]
    if error.kind is Kind.UNAUTHENTICATED:
        fields.append((b"www-authenticate", b"Bearer"))
    if error.retry_after is not None:
        fields.append((b"retry-after", b"%d" % math.ceil(error.retry_after)))
    return fields
