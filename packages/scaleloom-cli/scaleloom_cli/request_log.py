"""Log lines of one request, collected from the log files of several processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

REQUEST_FIELDS = ("request", "request_id")
LEADING_FIELDS = ("time", "instance", "message")
OMITTED_FIELDS = frozenset({*LEADING_FIELDS, *REQUEST_FIELDS, "level", "logger"})


@dataclass(frozen=True)
class LogLine:
    """
    One JSON line of a log file.

    Parameters
    ----------
    fields : dict of str to object
        All fields of the line.
    """

    fields: dict[str, object]

    def refers_to(self, request: str) -> bool:
        """Return whether a request id of the line is `request`."""
        return any(self.fields.get(name) == request for name in REQUEST_FIELDS)

    @property
    def time(self) -> str:
        """Return the timestamp of the line as text; the text sorts by time."""
        return str(self.fields.get("time", ""))

    def describe(self) -> str:
        """Return the leading fields, then ``key=value`` for each other field."""
        leading = "  ".join(str(self.fields.get(name, "")) for name in LEADING_FIELDS)
        others = [f"{k}={v}" for k, v in self.fields.items() if k not in OMITTED_FIELDS]
        return "  ".join([leading, *others])


def collect_request_lines(request: str, files: Iterable[Path]) -> list[str]:
    """Return the log lines in `files` that refer to `request`, ordered by time."""
    lines = [line for file in files for line in _read(file) if line.refers_to(request)]
    return [line.describe() for line in sorted(lines, key=lambda line: line.time)]


def _read(file: Path) -> list[LogLine]:
    """
    Return the JSON objects in the lines of `file`.

    Text before the opening brace, such as the prefix that a supervisor adds, is
    skipped, and so are lines that hold no complete JSON object.
    """
    lines: list[LogLine] = []
    for text in file.read_bytes().splitlines():
        start = text.find(b"{")
        if start < 0:
            continue
        try:
            lines.append(LogLine(msgspec.json.decode(text[start:], type=dict)))
        except msgspec.DecodeError:
            continue
    return lines
