"""The crashes that a router reports to its peers."""

from enum import Enum

from scaleloom_core.cause_digests import is_prompt_part
from scaleloom_core.crash_history import Crash

# Some reports are lost and some are relayed, so a crash is repeated in ten reports.
REPORT_PERIOD_S = 1.0
MAX_REPORTED_CRASHES = 128


class ReportSource(Enum):
    """How this router learned of a crash."""

    LOCAL = "own"
    SAME_GROUP = "near"
    OTHER_GROUP = "far"
    LOG = "log"


class CrashReports:
    """The recent crashes that peers may not have heard of."""

    def __init__(self) -> None:
        self._reportable: list[tuple[float, Crash, ReportSource]] = []

    def add(self, crash: Crash, source: ReportSource, now_s: float) -> None:
        """Report `crash` for a while, unless others do."""
        if source in (ReportSource.LOCAL, ReportSource.SAME_GROUP):
            self._reportable.append((now_s, crash, source))

    def select(self, is_group_report: bool, now_s: float) -> list[Crash]:
        """
        Return the crashes to include in the next report.

        If there are too many, prompt parts are kept rather than requests: a part that
        crashes targets comes again in other requests.

        Parameters
        ----------
        is_group_report : bool
            Whether the router reports for its group, or for itself only.
        """
        self._reportable = [
            row for row in self._reportable if row[0] > now_s - REPORT_PERIOD_S
        ]
        crashes = [
            crash
            for _, crash, source in self._reportable
            if is_group_report or source is ReportSource.LOCAL
        ]
        crashes.sort(key=lambda crash: is_prompt_part(crash.cause))
        return crashes[-MAX_REPORTED_CRASHES:]
