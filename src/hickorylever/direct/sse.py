"""Parser for server-sent events."""

import re

from ..exceptions import BrokenAnswer

END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")
MAX_EVENT_BYTES = 1024 * 1024


class Events:
    """Splits a byte stream into complete events and checks that their ids are consecutive.

    :param last: id of the last event that was relayed; events up to it are dropped.
    """

    def __init__(self, last: str | None = None):
        self.buffer = b""
        self.last = last

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the complete new events.

        :raises BrokenAnswer: if an event is too large or an id was skipped.
        """
        self.buffer += data
        events = []
        start = 0
        for match in END.finditer(self.buffer):
            event = self.buffer[start : match.end()]
            start = match.end()
            if self.accept(event):
                events.append(event)
        self.buffer = self.buffer[start:]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise BrokenAnswer("an event exceeds the size limit")
        return events

    def accept(self, event: bytes) -> bool:
        """Return whether an event is new, and record its id.

        :raises BrokenAnswer: if an id was skipped.
        """
        match = ID.search(event)
        if match is None:
            return True
        name = match[1].decode("latin-1")
        if self.last is not None and name.isdigit() and self.last.isdigit():
            step = int(name) - int(self.last)
            if step <= 0:
                return False
            if step > 1:
                raise BrokenAnswer(f"event {name} follows event {self.last}")
        self.last = name
        return True

    @property
    def partial(self) -> bool:
        """Whether the stream has an incomplete event pending."""
        return bool(self.buffer.strip())
