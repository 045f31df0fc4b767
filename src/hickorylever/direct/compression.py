"""Compressed content that routers send each other."""

import zlib

from ..exceptions import ContentError

MAX_CONTENT_BYTES = 32 * 1024 * 1024


def decompress(data: bytes) -> bytes:
    """Return decompressed content.

    :raises ContentError: if it is malformed or larger than `MAX_CONTENT_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise ContentError(f"malformed compressed content: {error}") from None
    if not decompressor.eof:
        raise ContentError("the compressed content is incomplete or too large")
    return content
