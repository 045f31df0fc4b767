"""Digest of configurations and revisions."""

import hashlib

DIGEST_BYTES = 16


def hex_digest(data: bytes) -> str:
    """Return the hexadecimal BLAKE2b digest of `data`."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
