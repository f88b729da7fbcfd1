"""Splitting of a streamed answer into complete events, and its last event."""

import re

import httpcore

MAX_EVENT_BYTES = 1 << 20
# The end of an event is at most this many bytes long.
_EVENT_END_BYTES = 4
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_LAST_EVENTS = frozenset({b"data: [DONE]", b"data:[DONE]"})


class EventSplitter:
    """
    Buffers an event until it is complete.

    Parameters
    ----------
    is_finished : bool
        Whether the last event of a completion was received; nothing follows it.
    """

    def __init__(self) -> None:
        self._partial = b""
        self.is_finished = False

    def feed(self, data: bytes) -> bytes:
        """
        Return the events that `data` completes.

        Raises
        ------
        httpcore.RemoteProtocolError
            If an event is longer than `MAX_EVENT_BYTES`.
        """
        searched = max(0, len(self._partial) - _EVENT_END_BYTES)
        buffered = self._partial + data
        end = 0
        for boundary in _EVENT_END.finditer(buffered, searched):
            end = boundary.end()
        complete, self._partial = buffered[:end], buffered[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise httpcore.RemoteProtocolError("an event of the stream is too long")
        if complete:
            self.is_finished = _last_line(complete) in _LAST_EVENTS
        return complete

    @property
    def has_partial(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial)


def _last_line(events: bytes) -> bytes:
    """Return the last line of `events` that is not empty."""
    return events.rstrip(b"\r\n").rpartition(b"\n")[2]
