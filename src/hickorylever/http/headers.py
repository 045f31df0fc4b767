"""Rules on request heads: what is refused, and what a relay passes on."""

import re
from collections.abc import Iterable
from urllib.parse import unquote_to_bytes

import h11

from .. import defaults
from ..exceptions import Kind, RequestError

Headers = Iterable[tuple[bytes, bytes]]

INTERNAL_PREFIX = b"hickory-"
HOP_HEADERS = frozenset(
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
SINGLE_HEADERS = (b"host", b"authorization", b"content-type", b"idempotency-key")
AMBIGUOUS_PATH = re.compile(rb"//|/\.{1,2}(?:/|$)|[\\;#]")
ESCAPE = re.compile(rb"%(?:[0-9A-Fa-f]{2})?")
NEVER_ESCAPED = re.compile(rb"[A-Za-z0-9\-._~/\\\x00-\x1f\x7f]")


def header(headers: Headers, name: bytes, default: bytes = b"") -> bytes:
    """Return the first value of a lower-case header name."""
    for key, value in headers:
        if key == name:
            return value
    return default


def listed(headers: Headers) -> set[bytes]:
    """Return the header names that ``Connection`` declares to be for this hop only."""
    words = [value for key, value in headers if key == b"connection"]
    return {word.strip().lower() for value in words for word in value.split(b",")}


def end_to_end(headers: Headers, *drop: bytes) -> list[tuple[bytes, bytes]]:
    """Return the headers that a relay passes on, without those in `drop`.

    Headers of this program's own are dropped in both directions, so that neither a caller nor an
    endpoint can forge them.
    """
    hop = HOP_HEADERS.union(drop, listed(headers))
    return [
        (key, value)
        for key, value in headers
        if key not in hop and not key.startswith(INTERNAL_PREFIX)
    ]


def check_target(target: bytes) -> None:
    """Refuse targets that a rule on paths and an endpoint could read differently.

    :raises RequestError: for anything but a normalised path with an optional query.
    """
    path, _, query = target.partition(b"?")
    if not path.startswith(b"/"):
        raise RequestError(Kind.BAD_REQUEST, "the target must be a path")
    if AMBIGUOUS_PATH.search(path) or b"#" in query:
        raise RequestError(Kind.BAD_REQUEST, "the path must be normalised, without ; \\ or #")
    for escape in ESCAPE.findall(path):
        if escape == b"%" or NEVER_ESCAPED.match(unquote_to_bytes(escape)):
            raise RequestError(Kind.BAD_REQUEST, "the path escapes what needs no escape")


def check_head(head: h11.Request, max_size: int = defaults.MAX_HEADER_BYTES) -> None:
    """Refuse heads that two parsers could read differently.

    :param max_size: bytes of the target and the headers.
    :raises RequestError: for too large a head, an ambiguous target, both lengths at once or a
        repeated header.
    """
    size = len(head.target) + sum(len(key) + len(value) + 4 for key, value in head.headers)
    if size > max_size:
        limit = f"at most {max_size} bytes are allowed"
        raise RequestError(Kind.HEADERS_TOO_LARGE, limit)
    check_target(head.target)
    names = [key for key, _ in head.headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise RequestError(Kind.BAD_REQUEST, "Content-Length and Transfer-Encoding together")
    for name in SINGLE_HEADERS:
        if names.count(name) > 1:
            raise RequestError(Kind.BAD_REQUEST, f"more than one {name.decode()} header")
