"""Identification of chats, and of long prompt prefixes that several chats share."""

import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

from .. import defaults


@dataclass(frozen=True, slots=True)
class Identity:
    """Digests of a request that every router computes alike without shared state.

    :param chat: digest that is the same for all requests of a chat.
    :param prefixes: digests of the leading text at increasing lengths, shortest first.
    """

    chat: str
    prefixes: tuple[str, ...] = ()


def prefix_digests(pieces: Iterable[bytes]) -> Iterator[tuple[int, str]]:
    """Yield the length in bytes and the digest of each prefix of a text.

    There is a pair for each of `PREFIX_LENGTHS_BYTES` that the text reaches. The last pair covers
    the whole text, up to the longest prefix length.
    """
    lengths = iter(defaults.PREFIX_LENGTHS_BYTES)
    target = next(lengths)
    state = xxhash.xxh3_128()
    size = 0
    for piece in pieces:
        rest = memoryview(piece)
        while target and size + len(rest) >= target:
            state.update(rest[: target - size])
            rest = rest[target - size :]
            size = target
            yield size, state.hexdigest()
            target = next(lengths, 0)
        if not target:
            break
        state.update(rest)
        size += len(rest)
    yield size, state.hexdigest()


def identify(account: str, model: str, caller_chat: bytes, leading: Iterable[bytes]) -> Identity:
    """Return the identity of a request's chat.

    :param account: name of the client account.
    :param caller_chat: chat identifier sent by the caller, or empty.
    :param leading: chunks of the text up to and including the first user message. No more than
        the longest prefix length is read.
    """
    *prefixes, (size, full_digest) = prefix_digests(
        itertools.chain((model.encode(), b"\x00"), leading)
    )
    seed = caller_chat or f"{size}\x00{full_digest}".encode()
    chat = xxhash.xxh3_128_hexdigest(account.encode() + b"\x00" + seed)
    return Identity(chat, tuple(digest for _, digest in prefixes))


@dataclass(slots=True)
class Counter:
    """Estimated work of one key, which is too high by at most `error`."""

    work: float = 0.0
    error: float = 0.0


class PrefixPopularity:
    """Share of the recent work that belongs to each prefix.

    Uses the Space-Saving algorithm with exponential decay, so memory is bounded.

    :param limit: maximum number of counters.
    :param half_life: seconds after which recorded work counts half.
    """

    def __init__(
        self,
        limit: int = defaults.MAX_PREFIXES,
        half_life: float = defaults.PREFIX_HALF_LIFE_SECONDS,
    ):
        self.limit = limit
        self.half_life = half_life
        self.counters: dict[str, Counter] = {}
        self.total = 0.0
        self.scale = 1.0
        self.epoch = 0.0

    def token_weight(self, now: float) -> float:
        """Return the current weight of one token.

        The weight doubles every half-life, which is cheaper than decaying all counters. They are
        rescaled when it reaches `MAX_PREFIX_SCALE`.
        """
        self.scale = 2 ** min(64.0, (now - self.epoch) / self.half_life)
        if self.scale < defaults.MAX_PREFIX_SCALE:
            return self.scale
        for counter in self.counters.values():
            counter.work /= self.scale
            counter.error /= self.scale
        self.total /= self.scale
        self.epoch = now
        self.scale = 1.0
        return 1.0

    def record(self, keys: Iterable[str], work: float, now: float) -> None:
        """Add a request's work in tokens to the counters of its prefixes."""
        amount = work * self.token_weight(now)
        self.total += amount
        for key in keys:
            counter = self.counters.get(key)
            if counter is None:
                counter = self.counters[key] = self.make_counter()
            counter.work += amount

    def make_counter(self) -> Counter:
        """Return a counter for a new key.

        When the table is full, this evicts the smallest of the 8 oldest counters. The new key
        inherits its work, as the Space-Saving algorithm prescribes.
        """
        if len(self.counters) < self.limit:
            return Counter()
        oldest = [key for key, _ in zip(self.counters, range(8), strict=False)]
        smallest = min(oldest, key=lambda key: self.counters[key].work)
        removed = self.counters.pop(smallest)
        return Counter(removed.work, removed.work)

    def share(self, key: str) -> float:
        """Return a lower estimate of a key's share of the recent work, from 0 to 1."""
        counter = self.counters.get(key)
        if counter is None:
            return 0.0
        guaranteed = max(0.0, counter.work - counter.error)
        return guaranteed / (self.total + defaults.PREFIX_PRIOR_TOKENS * self.scale)


@dataclass(frozen=True, slots=True)
class PrefixChoice:
    """The prefix by which a chat is routed.

    :param prefix: digest of the prefix, empty when the chat is routed on its own.
    :param borderline: a share is within a factor of 2 of the limit, so that another router may
        choose differently.
    """

    prefix: str = ""
    borderline: bool = False


def choose_prefix(
    identity: Identity, popularity: PrefixPopularity, endpoints: int
) -> PrefixChoice:
    """Return the shortest prefix whose load fits `ENDPOINTS_PER_PREFIX` endpoints.

    Routing by a more popular prefix would overload these endpoints.

    :param endpoints: number of endpoints in the pool.
    """
    limit = defaults.MAX_PREFIX_FAIR_SHARE * defaults.ENDPOINTS_PER_PREFIX / max(1, endpoints)
    borderline = False
    for prefix in identity.prefixes:
        share = popularity.share(prefix)
        borderline = borderline or limit / 2 < share < limit * 2
        if share <= limit:
            return PrefixChoice(prefix, borderline)
    return PrefixChoice("", borderline)
