"""Which prompt parts an endpoint holds, as far as this router's requests tell."""

from collections import OrderedDict
from collections.abc import Sequence

from .records import PromptPart

MAX_PARTS = 4096
TOLD_PARTS = 400  # Of an endpoint, told to a router that starts.


class Holdings:
    """The parts that an endpoint was sent, least recently used first."""

    def __init__(self):
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0

    def note(self, parts: Sequence[PromptPart], memory: int) -> None:
        """Remember parts that the endpoint has read.

        :param memory: tokens that the endpoint can hold; 0 when unknown.
        """
        for part in parts:
            self.tokens += part.tokens - self.parts.pop(part.id, 0)
            self.parts[part.id] = part.tokens
        while self.parts and (len(self.parts) > MAX_PARTS or (memory and self.tokens > memory)):
            self.tokens -= self.parts.popitem(last=False)[1]

    def recent(self) -> dict[str, int]:
        """Return the parts that were used last, oldest first, with their tokens."""
        return dict(list(self.parts.items())[-TOLD_PARTS:])

    def cached(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens at the start of a prompt that are held."""
        tokens = 0
        for part in parts:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens
