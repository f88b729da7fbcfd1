"""A limit on how many lines of each kind are written in a second."""

from collections import Counter

import msgspec

# A gateway on the users' sheets logs some lines a second while all is well; a line
# takes about 40 us of a processor, so that one kind is kept under 1 % of it.
LINES_PER_KIND_PER_S = 50
# The cause of each failed request matters more than its repeats elsewhere.
PRECIOUS_LINES_PER_S = 200
WINDOW_S = 1.0
# Kinds beyond this share one limit; the kinds are named in the code and few.
KINDS_LIMIT = 128
OTHER_KINDS = "other kinds"


class KindWindow(msgspec.Struct):
    """
    The lines of one kind in the present second.

    Parameters
    ----------
    left_out : Counter of str
        How many lines were left out since the last summary, by their cause.
    """

    began_s: float
    written: int = 0
    left_out: Counter[str] = msgspec.field(default_factory=Counter)


class KindLimits(msgspec.Struct):
    """The windows of all kinds."""

    _windows: dict[str, KindWindow] = msgspec.field(default_factory=dict)

    def is_first(self, kind: str) -> bool:
        """Return whether no line of `kind` was offered yet."""
        return kind not in self._windows and len(self._windows) < KINDS_LIMIT

    def take(self, kind: str, cause: str, is_precious: bool, now_s: float) -> bool:
        """Return whether a line of `kind` may be written now, and count it."""
        if kind not in self._windows and len(self._windows) >= KINDS_LIMIT:
            kind = OTHER_KINDS
        window = self._windows.setdefault(kind, KindWindow(now_s))
        if now_s - window.began_s >= WINDOW_S:
            window.began_s, window.written = now_s, 0
        if window.written >= _limit(is_precious):
            window.left_out[cause] += 1
            return False
        window.written += 1
        return True

    def summaries(self, now_s: float) -> list[tuple[str, dict[str, int]]]:
        """Return what was left out in seconds that are over, by kind and cause."""
        told: list[tuple[str, dict[str, int]]] = []
        for kind, window in self._windows.items():
            if window.left_out and now_s - window.began_s >= WINDOW_S:
                told.append((kind, dict(window.left_out)))
                window.left_out.clear()
        return told

    @property
    def has_left_out(self) -> bool:
        """Return whether something was left out that no summary told yet."""
        return any(window.left_out for window in self._windows.values())


def _limit(is_precious: bool) -> int:
    """Return how many lines of a kind are written in a second."""
    return PRECIOUS_LINES_PER_S if is_precious else LINES_PER_KIND_PER_S
