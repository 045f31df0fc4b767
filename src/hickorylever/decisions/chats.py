"""Identity of a chat and of long prefixes that chats share, from a request's own messages."""

import itertools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

from .. import defaults


@dataclass(frozen=True, slots=True)
class Identity:
    """What any router knows about a request without shared state.

    :param chat: digest that stays the same while the chat goes on.
    :param prefixes: digests of the leading text at rising lengths, shortest first.
    """

    chat: str
    prefixes: tuple[str, ...] = ()


def marks(pieces: Iterable[bytes]) -> Iterator[tuple[int, str]]:
    """Yield length and rolling digest of the text at each prefix length that it reaches.

    The last item is the digest of all the text, up to the longest prefix length.
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


def identify(account: str, model: str, given: bytes, leading: Iterable[bytes]) -> Identity:
    """Return the identity of a request's chat.

    :param given: the caller's own identity of the chat, or empty.
    :param leading: pieces of the text up to the first message of the user; at most the
        longest prefix length of it is read.
    """
    *prefixes, (size, whole) = marks(itertools.chain((model.encode(), b"\x00"), leading))
    seed = given or f"{size}\x00{whole}".encode()
    chat = xxhash.xxh3_128_hexdigest(account.encode() + b"\x00" + seed)
    return Identity(chat, tuple(digest for _, digest in prefixes))


@dataclass(slots=True)
class Counter:
    """Work seen for one key; `error` is what it may be too high by."""

    work: float = 0.0
    error: float = 0.0


class Popularity:
    """Share of recent work that each prefix has, in bounded memory (space-saving counters).

    :param limit: keys that are counted.
    :param half_life: seconds after which seen work counts half.
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

    def unit(self, now: float) -> float:
        """Return what one token counts now: it grows, so that older work fades."""
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

    def note(self, keys: Iterable[str], work: float, now: float) -> None:
        """Count a request's work for every prefix that it has."""
        amount = work * self.unit(now)
        self.total += amount
        for key in keys:
            counter = self.counters.get(key)
            if counter is None:
                counter = self.counters[key] = self.replace_least()
            counter.work += amount

    def replace_least(self) -> Counter:
        """Return a new key's counter; the least of a few old ones makes room."""
        if len(self.counters) < self.limit:
            return Counter()
        oldest = [key for key, _ in zip(self.counters, range(8), strict=False)]
        least = min(oldest, key=lambda key: self.counters[key].work)
        removed = self.counters.pop(least)
        return Counter(removed.work, removed.work)

    def share(self, key: str) -> float:
        """Return a key's share of the work, from 0 to 1."""
        counter = self.counters.get(key)
        if counter is None:
            return 0.0
        certain = max(0.0, counter.work - counter.error)
        return certain / (self.total + defaults.PREFIX_PRIOR_TOKENS * self.scale)


@dataclass(frozen=True, slots=True)
class Choice:
    """The prefix that a chat is placed by, or empty.

    :param doubtful: another router may see the shares so that it chooses differently.
    """

    prefix: str = ""
    doubtful: bool = False


def choose_prefix(identity: Identity, popularity: Popularity, endpoints: int) -> Choice:
    """Return the shortest prefix whose chats fit a few endpoints.

    A prefix that most chats of a pool share would send them all the same way.
    """
    limit = defaults.MAX_PREFIX_FAIR_SHARE * defaults.ENDPOINTS_PER_PREFIX / max(1, endpoints)
    doubtful = False
    for prefix in identity.prefixes:
        share = popularity.share(prefix)
        doubtful = doubtful or limit / 2 < share < limit * 2
        if share <= limit:
            return Choice(prefix, doubtful)
    return Choice("", doubtful)
