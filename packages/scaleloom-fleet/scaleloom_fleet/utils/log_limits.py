"""Rate limits on log lines: how many of each message are written in a second."""

from collections import Counter

import msgspec

# A gateway logs a few lines a second in normal operation. A line takes about 40 us of
# processor time, so that one kind of line takes less than 1 % of a core.
LINES_PER_KIND_PER_S = 50
# Lines that give the cause of a failed request, and errors, have a higher limit.
IMPORTANT_LINES_PER_S = 200
WINDOW_S = 1.0
# Kinds beyond this number share one limit. A kind is a message in the source code, of
# which there are fewer.
MAX_KINDS = 128
OTHER_KINDS = "other kinds"


class KindWindow(msgspec.Struct):
    """
    The lines of one kind in the current second.

    Parameters
    ----------
    suppressed : Counter of str
        The number of lines suppressed since the last summary, by cause.
    """

    started_s: float
    written: int = 0
    suppressed: Counter[str] = msgspec.field(default_factory=Counter)


class KindLimits(msgspec.Struct):
    """The rate limits of all kinds of lines."""

    _windows: dict[str, KindWindow] = msgspec.field(default_factory=dict)

    def is_first(self, kind: str) -> bool:
        """Return whether no line of `kind` has been seen yet."""
        return kind not in self._windows and len(self._windows) < MAX_KINDS

    def admit(self, kind: str, cause: str, is_important: bool, now_s: float) -> bool:
        """Count a line of `kind` and return whether it may be written now."""
        if kind not in self._windows and len(self._windows) >= MAX_KINDS:
            kind = OTHER_KINDS
        window = self._windows.setdefault(kind, KindWindow(now_s))
        if now_s - window.started_s >= WINDOW_S:
            window.started_s, window.written = now_s, 0
        if window.written >= _lines_per_s(is_important):
            window.suppressed[cause] += 1
            return False
        window.written += 1
        return True

    def pop_summaries(self, now_s: float) -> list[tuple[str, dict[str, int]]]:
        """Return and reset the suppressed counts of past seconds, by kind and cause."""
        summaries: list[tuple[str, dict[str, int]]] = []
        for kind, window in self._windows.items():
            if window.suppressed and now_s - window.started_s >= WINDOW_S:
                summaries.append((kind, dict(window.suppressed)))
                window.suppressed.clear()
        return summaries

    @property
    def has_suppressed(self) -> bool:
        """Return whether lines were suppressed that no summary has reported yet."""
        return any(window.suppressed for window in self._windows.values())


def _lines_per_s(is_important: bool) -> int:
    """Return the limit on the lines of a kind in a second."""
    return IMPORTANT_LINES_PER_S if is_important else LINES_PER_KIND_PER_S
