"""Prompt parts that an endpoint has probably cached, inferred from the requests sent to it."""

from collections import OrderedDict
from collections.abc import Sequence

from .records import PromptPart

MAX_PARTS = 4096
MAX_SYNCED_PARTS = 400  # Parts of each endpoint that are sent to a starting router.


class PromptCacheIndex:
    """LRU index of the prompt parts that an endpoint has been sent.

    :ivar parts: tokens by part id, least recently used first.
    :ivar tokens: sum over `parts`.
    """

    def __init__(self):
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0

    def add(self, parts: Sequence[PromptPart], capacity_tokens: int) -> None:
        """Add parts that were sent to the endpoint, and evict parts beyond the limits.

        The limits are `MAX_PARTS` and the capacity. The least recently used parts are evicted.

        :param capacity_tokens: cache capacity in tokens; 0 if unknown.
        """
        for part in parts:
            self.tokens += part.tokens - self.parts.pop(part.id, 0)
            self.parts[part.id] = part.tokens
        while self.parts and (
            len(self.parts) > MAX_PARTS or (capacity_tokens and self.tokens > capacity_tokens)
        ):
            self.tokens -= self.parts.popitem(last=False)[1]

    def add_oldest(self, parts: Sequence[PromptPart], capacity_tokens: int) -> None:
        """Add parts that count as used before all known ones, the last of them most recently.

        Parts that exceed the limits are left out, the first ones before the others.

        :param capacity_tokens: cache capacity in tokens; 0 if unknown.
        """
        for part in reversed(parts):
            if part.id in self.parts:
                continue
            if len(self.parts) >= MAX_PARTS or (
                capacity_tokens and self.tokens + part.tokens > capacity_tokens
            ):
                break
            self.parts[part.id] = part.tokens
            self.parts.move_to_end(part.id, last=False)
            self.tokens += part.tokens

    def latest_parts(self, limit: int = MAX_SYNCED_PARTS) -> dict[str, int]:
        """Return the most recently used parts, oldest first, with their tokens."""
        return dict(list(self.parts.items())[-limit:])

    def cached_prefix_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the length in tokens of the prompt's cached prefix."""
        tokens = 0
        for part in parts:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens
