"""Splitting of a server-sent event stream into complete events."""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Holds back incomplete events of a stream, and remembers the last event id."""

    def __init__(self) -> None:
        self._partial = b""
        self.last_id: bytes | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the complete events that `data` finishes."""
        buffered = self._partial + data
        end = 0
        for boundary in _EVENT_END.finditer(buffered):
            end = boundary.end()
        complete, self._partial = buffered[:end], buffered[end:]
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_id = ids[-1]
        return complete

    def drop_partial(self) -> None:
        """Discard an event that its target never finished."""
        self._partial = b""

    @property
    def has_partial(self) -> bool:
        """Return whether an event is incomplete."""
        return bool(self._partial)
