"""Rendezvous hashing, by which routers agree without messages on who does what.

The order of the members is the same at all routers that know the same members, and a member that
comes or goes moves only what it does itself.
"""

from collections.abc import Iterable

import xxhash


def score(key: object, member: str) -> int:
    """Return the 64-bit score of a member for a key; the lowest is first."""
    return xxhash.xxh3_64_intdigest(f"{member}/{key}".encode())


def rank(key: object, own: str, others: Iterable[str]) -> int:
    """Return how many other members precede one in the order of a key."""
    own_score = score(key, own)
    return sum(score(key, member) < own_score for member in others)


def share(total: int, rank: int, count: int) -> int:
    """Return the part of a total that a member gets; the first ones get the remainder.

    :param rank: of the member; 0 is first.
    :param count: number of members, with this one.
    """
    quotient, remainder = divmod(total, count)
    return quotient + (rank < remainder)
