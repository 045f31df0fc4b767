"""Encoding of responses that a simulated endpoint writes without its server."""


def encode_head(status: int, fields: list[tuple[bytes, bytes]]) -> bytes:
    """Return the encoded head of a response."""
    lines = b"".join(b"%s: %s\r\n" % field for field in fields)
    return b"HTTP/1.1 %d -\r\n%s\r\n" % (status, lines)
