"""Server-sent events: whole events out of pieces of bytes."""

import re

from ..exceptions import InconsistentResponse

END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")
MAX_EVENT_BYTES = 1024 * 1024


class Events:
    """Splits a stream into whole events and checks that their ids rise.

    :param last: id of the last event that was passed on; events up to it are dropped.
    """

    def __init__(self, last: str | None = None):
        self.buffer = b""
        self.last = last

    def feed(self, data: bytes) -> list[bytes]:
        """Return the whole events that are new.

        :raises InconsistentResponse: when an event is too large or its id doesn't rise.
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
            raise InconsistentResponse("an event is too large")
        return events

    def accept(self, event: bytes) -> bool:
        """Tell whether an event is new, and remember its id."""
        match = ID.search(event)
        if match is None:
            return True
        name = match[1].decode("latin-1")
        if self.last is not None and name.isdigit() and self.last.isdigit():
            step = int(name) - int(self.last)
            if step <= 0:
                return False
            if step > 1:
                raise InconsistentResponse(f"event {name} follows event {self.last}")
        self.last = name
        return True

    @property
    def partial(self) -> bool:
        """Tell whether the stream ended within an event."""
        return bool(self.buffer.strip())
