"""Nesting of JSON texts."""

import re

STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"', re.DOTALL)
OTHERS = bytes(byte for byte in range(256) if byte not in b"[]{}")
SQUARE = bytes.maketrans(b"{}", b"[]")


def nested_deeper(text: bytes, limit: int) -> bool:
    """Tell whether a valid JSON text nests arrays and objects more than `limit` deep.

    Each round removes the innermost level. No step is a loop over bytes in Python.
    """
    brackets = STRING.sub(b"", text).translate(SQUARE, OTHERS)
    for _ in range(limit):
        if not brackets:
            return False
        brackets = brackets.replace(b"[]", b"")
    return bool(brackets)
