"""Work and state of a router for the possible causes of target crashes."""

from collections.abc import Callable

from scaleloom_core.cause_digests import part_digest
from scaleloom_core.crash_history import MAX_CRASHES_PER_CAUSE, Crash
from scaleloom_core.crash_reports import ReportSource
from scaleloom_core.crash_table import CrashTable
from scaleloom_core.ids import CauseDigest, TargetStart

CRASHES = 3
PARTS_PER_PROMPT = 2


def _causes(size: int) -> list[CauseDigest]:
    """Return `size` causes, half of them requests and half of them prompt parts."""
    parts = [part_digest(f"{number:x}") for number in range(size // 2)]
    return parts + [CauseDigest(number) for number in range(size - len(parts))]


def _record(table: CrashTable, causes: list[CauseDigest], start: int) -> None:
    """Record the crash of a target with all of `causes` in flight."""
    for cause in causes:
        table.record_crash(Crash(cause, TargetStart(start)), ReportSource.LOCAL, 0.0)


def counted_causes(size: int) -> CrashTable:
    """Return a table of `size` causes under which three targets crashed each."""
    table = CrashTable()
    for start in range(CRASHES):
        _record(table, _causes(size), start)
    return table


def answered_parts(size: int) -> CrashTable:
    """Return a table that remembers the answers of `size` parts."""
    table = CrashTable()
    for number in range(size):
        table.record_answer(part_digest(f"{number:x}"), 0.0)
    return table


def record_crash(size: int) -> Callable[[], object]:
    """Return the work of recording a crash with `size` causes in flight."""
    causes = _causes(size)
    return lambda: _record(CrashTable(), causes, 0)


def record_answers(size: int) -> Callable[[], object]:
    """Return the work of remembering `size` answers with their prompt parts."""
    table = CrashTable()

    def work() -> None:
        for number in range(size):
            for part in range(PARTS_PER_PROMPT):
                table.record_answer(part_digest(f"{number}-{part}"), 0.0)

    return work


def decide_beside(size: int) -> Callable[[], object]:
    """Return the work of judging a part whose crashes had `size` causes in flight."""
    table = CrashTable()
    suspect = part_digest("suspect")
    for start in range(MAX_CRASHES_PER_CAUSE):
        # One crash less, so that none of them explains those under the suspect.
        beside = _causes(size) if start > 0 else []
        _record(table, [suspect, *beside], start)

    def work() -> None:
        table._verdicts.clear()
        table.is_suspect(suspect)

    return work
