"""Splitting of a server-sent event stream into complete events."""

import re

# The last bytes of a stream that ends behind an event: an empty line, whose ends may
# be LF, CR LF or CR.
_ENDS_OF_EVENTS = (b"\n\n", b"\n\r\n", b"\n\r", b"\r\r", b"\r\r\n")
_LONGEST_END_BYTES = 3
_EVENT_END = re.compile(rb"\r?\n\r?\n")
# What may precede the last byte of `_EVENT_END`.
_UNDECIDED_BYTES = 3
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# Another id can't be sent in a header, or tells a target nothing to go on behind.
_HEADER_VALUE = re.compile(rb"[\x21-\x7e\x80-\xff]+(?:[ \t]+[\x21-\x7e\x80-\xff]+)*")
_DATA_LINE = re.compile(rb"^data[:\r\n]", re.MULTILINE)


class EventBoundary:
    """Passes a stream on as it arrives, and tells whether it ends inside an event."""

    partial_bytes = 0

    def __init__(self) -> None:
        self._last_bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return `data` unchanged."""
        last_bytes = self._last_bytes + data[-_LONGEST_END_BYTES:]
        self._last_bytes = last_bytes[-_LONGEST_END_BYTES:]
        return data

    @property
    def has_partial(self) -> bool:
        """Return whether an event is incomplete."""
        return bool(self._last_bytes) and not self._last_bytes.endswith(_ENDS_OF_EVENTS)


class UnsplitBody:
    """Passes a body on that is no stream of events."""

    has_partial = False
    partial_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Return `data` unchanged."""
        return data


class EventSplitter:
    """
    Holds back incomplete events of a stream, and remembers the last event id.

    Parameters
    ----------
    last_id : bytes or None
        The id of the last complete event that has one.
    ends_with_id : bool
        Whether a header can name that id and no complete event without one came after
        it, so that a stream that is resumed behind it repeats none.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self.last_id: bytes | None = None
        self.ends_with_id = False

    def feed(self, data: bytes) -> bytes:
        """Return the complete events that `data` finishes."""
        searched_bytes = max(0, len(self._partial) - _UNDECIDED_BYTES)
        self._partial += data
        # Each end of an event ends with LF; the pattern is far slower than this search.
        if b"\n" not in data:
            return b""
        end = 0
        for boundary in _EVENT_END.finditer(self._partial, searched_bytes):
            end = boundary.end()
        if not end:
            return b""
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        self._record_ids(complete)
        return complete

    def _record_ids(self, events: bytes) -> None:
        """Remember the last id, and whether an event without an id follows it."""
        unnumbered_from = 0
        last_line = None
        for line in _ID_LINE.finditer(events):
            last_line = line
        if last_line is not None:
            self.last_id = last_line[1]
            self.ends_with_id = _HEADER_VALUE.fullmatch(self.last_id) is not None
            unnumbered_from = _EVENT_END.search(events, last_line.end()).end()
        if _DATA_LINE.search(events, unnumbered_from):
            self.ends_with_id = False

    def drop_partial(self) -> None:
        """Discard an event that its target never finished."""
        self._partial.clear()

    def go_back_to(self, last_id: bytes | None) -> None:
        """Discard what came after the event `last_id`, the last that was passed on."""
        self.drop_partial()
        self.last_id = last_id
        self.ends_with_id = last_id is not None

    @property
    def has_partial(self) -> bool:
        """Return whether an event is incomplete."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Return how much of an incomplete event is held back."""
        return len(self._partial)
