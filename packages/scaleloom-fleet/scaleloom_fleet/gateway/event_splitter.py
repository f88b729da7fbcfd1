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
_DATA_LINE = re.compile(rb"^data[:\r\n]", re.MULTILINE)
# Ids rise, so they are numbers; of another one nobody can tell whether it does.
_NUMBER = re.compile(rb"[0-9]{1,20}")


def event_id(event: bytes) -> bytes | None:
    """Return the id of an event, or None if it has none."""
    identifier = None
    for line in _ID_LINE.finditer(event):
        identifier = line[1]
    return identifier


def event_number(identifier: bytes) -> int | None:
    """Return the number that an id is, or None if it is none."""
    return int(identifier) if _NUMBER.fullmatch(identifier) else None


def has_data(event: bytes) -> bool:
    """Return whether an event is more than a comment."""
    return _DATA_LINE.search(event) is not None


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
    last_number : int or None
        The number that this id is; None if it is none.
    ends_with_id : bool
        Whether a stream that is resumed behind that id repeats nothing: all ids were
        numbers that rose, and no complete event without an id came after the last.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self._has_risen = True
        self.last_id: bytes | None = None
        self.last_number: int | None = None
        self.ends_with_id = False

    def feed(self, data: bytes) -> bytes:
        """Return the complete events that `data` finishes."""
        events = self.split(data)
        for event in events:
            self.record(event)
        return b"".join(events)

    def split(self, data: bytes) -> list[bytes]:
        """Return the complete events that `data` finishes, without recording them."""
        searched_bytes = max(0, len(self._partial) - _UNDECIDED_BYTES)
        self._partial += data
        # Each end of an event ends with LF; the pattern is far slower than this search.
        if b"\n" not in data:
            return []
        events, begin = [], 0
        for boundary in _EVENT_END.finditer(self._partial, searched_bytes):
            events.append(bytes(self._partial[begin : boundary.end()]))
            begin = boundary.end()
        del self._partial[:begin]
        return events

    def record(self, event: bytes) -> None:
        """Remember the id of an event that is passed on, or that it has none."""
        identifier = event_id(event)
        if identifier is None:
            self.ends_with_id = self.ends_with_id and not has_data(event)
            return
        number, last = event_number(identifier), self.last_number
        is_first = self.last_id is None
        self._has_risen &= number is not None and (
            is_first or (last is not None and number > last)
        )
        self.last_id, self.last_number = identifier, number
        self.ends_with_id = self._has_risen

    def drop_partial(self) -> None:
        """Discard an event that its target never finished."""
        self._partial.clear()

    def go_back_to(self, last_id: bytes | None) -> None:
        """Discard what came after the event `last_id`, the last that was passed on."""
        self.drop_partial()
        self.last_id = last_id
        self.last_number = None if last_id is None else event_number(last_id)
        self._has_risen = True
        self.ends_with_id = last_id is not None

    @property
    def has_partial(self) -> bool:
        """Return whether an event is incomplete."""
        return bool(self._partial)

    @property
    def partial_bytes(self) -> int:
        """Return how much of an incomplete event is held back."""
        return len(self._partial)
