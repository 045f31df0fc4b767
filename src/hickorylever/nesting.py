"""Nesting depth of JSON texts."""

import re

STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"', re.DOTALL)
NON_BRACKETS = bytes(byte for byte in range(256) if byte not in b"[]{}")
CURLY_TO_SQUARE = bytes.maketrans(b"{}", b"[]")


def exceeds_depth(text: bytes, limit: int) -> bool:
    """Return whether a valid JSON text nests arrays and objects more than `limit` levels deep.

    Each pass removes the innermost level. There is no Python loop over single bytes, which
    would be slow on large bodies.
    """
    brackets = STRING.sub(b"", text).translate(CURLY_TO_SQUARE, NON_BRACKETS)
    for _ in range(limit):
        if not brackets:
            return False
        brackets = brackets.replace(b"[]", b"")
    return bool(brackets)
