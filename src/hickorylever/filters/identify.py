"""Authenticate the client account of a call by its bearer key."""

import hashlib
import hmac

from ..exceptions import Kind, RequestError
from ..http import header
from . import filters


def bearer(headers) -> bytes:
    """Return the bearer key of a request, or ``b""`` when there is none."""
    scheme, _, key = header(headers, b"authorization").partition(b" ")
    return key.strip() if scheme.lower() == b"bearer" else b""


@filters.register("identify")
async def identify(env, call, proceed) -> None:
    """Set the client account of a call from the SHA-256 digest of its key.

    :raises RequestError: when no configuration is in force or the key is unknown.
    """
    if env.fleet is None:
        raise RequestError(Kind.NOT_READY)
    digest = hashlib.sha256(bearer(call.exchange.headers)).hexdigest()
    account = env.accounts_by_key.get(digest)
    known = account.key_digests if account else ("",)
    if not any(hmac.compare_digest(digest, entry) for entry in known):
        raise RequestError(Kind.UNAUTHENTICATED, "missing or unknown bearer key")
    call.account = account
    await proceed()
