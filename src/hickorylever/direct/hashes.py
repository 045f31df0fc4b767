"""Hashes that all routers compute alike."""

from collections.abc import Iterable

import xxhash

HASH_MASK = 0xFFFFFFFF  # Half of a hash, to keep datagrams short.


def name_hash(name: str) -> int:
    """Return the 32-bit hash that identifies a name in datagrams."""
    return xxhash.xxh3_64_intdigest(name.encode()) & HASH_MASK


def digest(strings: Iterable[str]) -> int:
    """Return a 32-bit digest of strings, whatever their order."""
    return hash_strings(sorted(strings)).intdigest() & HASH_MASK


def hash_strings(strings: Iterable[str]) -> xxhash.xxh3_64:
    """Return the state of a hash that depends on where each string ends."""
    state = xxhash.xxh3_64()
    for string in strings:
        state.update(f"{len(string)}:{string}".encode())
    return state
