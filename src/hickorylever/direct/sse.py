"""Parser for server-sent events."""

import re
from collections.abc import Callable

from ..exceptions import InconsistentResponse

EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
EVENT_LINE = re.compile(rb"[A-Za-z0-9_-]*(?::[^\x00]*)?")  # A field, or a comment.
FIELD_END = re.compile(rb"[:\r\n]")
EVENT_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")
EVENT_END_BYTES = 4
MAX_EVENT_BYTES = 1024 * 1024
MAX_FIELD_NAME_BYTES = 256  # The standard names have up to 5.
MIN_COUNTED_BYTES = 16  # Of an event without an id, as each costs as much time as many bytes.
MAX_UNNUMBERED_BYTES = 64 * 1024  # Of comments and other events without an id in a row.


class EventParser:
    """Splits a byte stream into complete events and checks that their ids are consecutive.

    The work is proportional to the number of bytes, whatever pieces they arrive in.

    :param last_id: id of the last event that was relayed; events up to it are dropped.
    :param on_partial: called with the former and the present size of the event that is not
        complete yet; may raise :exc:`InconsistentResponse`.
    :ivar buffer: bytes of the event that is not complete yet.
    :ivar partial_size: its size when it was last reported.
    :ivar unnumbered_bytes: bytes of the events without an id since the latest one with an id.
    :ivar numbered_count: number of events with an id, including dropped ones.
    """

    def __init__(
        self,
        last_id: str | None = None,
        on_partial: Callable[[int, int], None] = lambda before, after: None,
    ):
        self.on_partial = on_partial
        self.partial_size = 0
        self.buffer = bytearray()
        self.last_id = last_id
        self.unnumbered_bytes = 0
        self.numbered_count = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the complete new events.

        :raises InconsistentResponse: if an event is too large or malformed, if an id was skipped,
            or if too many events have no id.
        """
        searched = max(0, len(self.buffer) - EVENT_END_BYTES + 1)
        self.buffer += data
        events = []
        start = 0
        for match in EVENT_END.finditer(self.buffer, searched):
            event = bytes(self.buffer[start : match.end()])
            start = match.end()
            if self.accept(event):
                events.append(event)
        del self.buffer[:start]
        self.check_incomplete()
        self.report_partial(len(self.buffer))
        return events

    def close(self) -> None:
        """Forget the event that is not complete."""
        self.buffer.clear()
        self.report_partial(0)

    def report_partial(self, size: int) -> None:
        """Report the size of the event that is not complete.

        :raises InconsistentResponse: if there is no memory for it.
        """
        before, self.partial_size = self.partial_size, size
        if size != before:
            self.on_partial(before, size)

    def check_incomplete(self) -> None:
        """Check that the bytes since the last event can still become one.

        :raises InconsistentResponse: if they can't.
        """
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise InconsistentResponse("an event exceeds the size limit")
        if len(self.buffer) > MAX_FIELD_NAME_BYTES and not FIELD_END.search(
            self.buffer, 0, MAX_FIELD_NAME_BYTES
        ):
            raise InconsistentResponse("a line of an event is malformed")

    def accept(self, event: bytes) -> bool:
        """Return whether an event is new, and record its id.

        :raises InconsistentResponse: if it is malformed, if an id was skipped, or if too many
            events have no id.
        """
        if not all(EVENT_LINE.fullmatch(line) for line in event.splitlines()):
            raise InconsistentResponse("a line of an event is malformed")
        match = EVENT_ID.search(event)
        if match is None:
            self.unnumbered_bytes += max(len(event), MIN_COUNTED_BYTES)
            if self.unnumbered_bytes > MAX_UNNUMBERED_BYTES:
                raise InconsistentResponse("the events have no ids")
            return True
        self.unnumbered_bytes = 0
        self.numbered_count += 1
        event_id = match[1].decode("latin-1")
        if self.last_id is not None and event_id.isdigit() and self.last_id.isdigit():
            step = int(event_id) - int(self.last_id)
            if step <= 0:
                return False
            if step > 1:
                raise InconsistentResponse(f"event {event_id} follows event {self.last_id}")
        self.last_id = event_id
        return True

    @property
    def partial(self) -> bool:
        """Whether the stream has an incomplete event pending."""
        return bool(self.buffer.strip())
