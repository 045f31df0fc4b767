"""Hashes that all routers compute alike."""

from collections.abc import Iterable

import xxhash


def name_hash(name: str) -> int:
    """Return the 32-bit hash that identifies a name in datagrams."""
    return xxhash.xxh3_64_intdigest(name.encode()) & 0xFFFFFFFF


def hash_strings(strings: Iterable[str]) -> xxhash.xxh3_64:
    """Return the state of a hash that depends on where each string ends."""
    state = xxhash.xxh3_64()
    for string in strings:
        state.update(f"{len(string)}:{string}".encode())
    return state
