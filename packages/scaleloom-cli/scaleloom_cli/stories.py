"""A request's story, put together from the logs of several processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

REQUEST_FIELDS = ("request", "request_id")
SHOWN_FIRST = ("time", "instance", "message")
LEFT_OUT = frozenset({*SHOWN_FIRST, *REQUEST_FIELDS, "level", "logger"})


@dataclass(frozen=True)
class LogLine:
    """
    One line of a log.

    Parameters
    ----------
    fields : dict of str to object
        As written, whatever the kind of event.
    """

    fields: dict[str, object]

    def names(self, request: str) -> bool:
        """Return whether the line is about `request`."""
        return any(self.fields.get(name) == request for name in REQUEST_FIELDS)

    @property
    def time(self) -> str:
        """Return when it was written, in a form that sorts."""
        return str(self.fields.get("time", ""))

    def describe(self) -> str:
        """Return the line for a reader."""
        first = "  ".join(str(self.fields.get(name, "")) for name in SHOWN_FIRST)
        rest = [f"{k}={v}" for k, v in self.fields.items() if k not in LEFT_OUT]
        return "  ".join([first, *rest])


def story_of(request: str, files: Iterable[Path]) -> list[str]:
    """Return what `files` tell of `request`, in order of time."""
    lines = [line for file in files for line in _read(file) if line.names(request)]
    return [line.describe() for line in sorted(lines, key=lambda line: line.time)]


def _read(file: Path) -> list[LogLine]:
    """Return the lines of `file` that are JSON objects."""
    found: list[LogLine] = []
    for text in file.read_bytes().splitlines():
        start = text.find(b"{")
        if start < 0:
            continue
        try:
            found.append(LogLine(msgspec.json.decode(text[start:], type=dict)))
        except msgspec.DecodeError:
            continue
    return found
