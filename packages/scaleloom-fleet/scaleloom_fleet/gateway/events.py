"""Whole events of a stream, cut out of its bytes."""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Passes on whole events only, and remembers the last one's id."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: bytes | None = None

    def take(self, data: bytes) -> bytes:
        """Return the whole events that `data` completes."""
        gathered = self._rest + data
        end = 0
        for mark in _EVENT_END.finditer(gathered):
            end = mark.end()
        whole, self._rest = gathered[:end], gathered[end:]
        ids = _ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole

    def drop_partial(self) -> None:
        """Forget an event that its target never finished."""
        self._rest = b""

    @property
    def has_partial(self) -> bool:
        """Return whether an event was begun and not finished."""
        return bool(self._rest)
