"""Validation of request heads, and the headers that a proxy forwards."""

import re
from collections.abc import Iterable
from urllib.parse import unquote_to_bytes

import h11

from .. import defaults
from ..exceptions import Kind, RequestError

Headers = Iterable[tuple[bytes, bytes]]

INTERNAL_PREFIX = b"hickory-"
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
SINGLETON_HEADERS = (b"host", b"authorization", b"content-type", b"idempotency-key")
AMBIGUOUS_PATH = re.compile(rb"//|/\.{1,2}(?:/|$)|[\\;#]")
ESCAPE = re.compile(rb"%(?:[0-9A-Fa-f]{2})?")
# Unreserved characters need no escape, and decoded separators or controls change the path.
FORBIDDEN_WHEN_ESCAPED = re.compile(rb"[A-Za-z0-9\-._~/\\\x00-\x1f\x7f]")


def header(headers: Headers, name: bytes, default: bytes = b"") -> bytes:
    """Return the first value of a header.

    :param name: in lower case, as h11 delivers names.
    """
    for key, value in headers:
        if key == name:
            return value
    return default


def connection_options(headers: Headers) -> set[bytes]:
    """Return the header names that ``Connection`` lists as hop-by-hop, in lower case."""
    values = [value for key, value in headers if key == b"connection"]
    return {word.strip().lower() for value in values for word in value.split(b",")}


def end_to_end(headers: Headers, *drop: bytes) -> list[tuple[bytes, bytes]]:
    """Return the headers that a proxy forwards, without those in `drop`.

    Hickorylever's internal headers are removed in both directions, so that neither a caller nor an
    endpoint can forge them.
    """
    excluded = HOP_BY_HOP_HEADERS.union(drop, connection_options(headers))
    return [
        (key, value)
        for key, value in headers
        if key not in excluded and not key.startswith(INTERNAL_PREFIX)
    ]


def check_target(target: bytes) -> None:
    """Reject request targets that path rules and endpoints could interpret differently.

    :raises RequestError: unless the target is a normalised path with an optional query.
    """
    path, _, query = target.partition(b"?")
    if not path.startswith(b"/"):
        raise RequestError(Kind.BAD_REQUEST, "the request target must be a path")
    if AMBIGUOUS_PATH.search(path) or b"#" in query:
        raise RequestError(
            Kind.BAD_REQUEST, "the path must be normalised and must not contain ; \\ or #"
        )
    for escape in ESCAPE.findall(path):
        if escape == b"%" or FORBIDDEN_WHEN_ESCAPED.match(unquote_to_bytes(escape)):
            raise RequestError(Kind.BAD_REQUEST, "the path has an invalid or unnecessary escape")


def check_head(head: h11.Request, max_size: int = defaults.MAX_HEADER_BYTES) -> None:
    """Reject request heads that two parsers could interpret differently.

    :param max_size: bytes of the target and the headers.
    :raises RequestError: if the head is too large, its target is ambiguous, it has both
        Content-Length and Transfer-Encoding, or a header with a single value is repeated.
    """
    size = len(head.target) + sum(len(key) + len(value) + 4 for key, value in head.headers)
    if size > max_size:
        detail = f"the request head has {size} bytes; at most {max_size} are allowed"
        raise RequestError(Kind.HEADERS_TOO_LARGE, detail)
    check_target(head.target)
    names = [key for key, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise RequestError(Kind.BAD_REQUEST, "Content-Length and Transfer-Encoding are both set")
    for name in SINGLETON_HEADERS:
        if names.count(name) > 1:
            raise RequestError(Kind.BAD_REQUEST, f"repeated {name.decode()} header")
