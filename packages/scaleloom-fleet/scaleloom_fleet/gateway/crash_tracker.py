"""State of this router about requests and prompt parts that crash targets."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from enum import Enum

import trio
from msgspec.structs import replace

from scaleloom_core.cause_digests import is_prompt_part
from scaleloom_core.crash_history import (
    NEVER_S,
    Crash,
    CrashHistory,
    SendDecision,
    SendPermission,
)
from scaleloom_core.crash_reports import ReportSource
from scaleloom_core.crash_table import CrashTable
from scaleloom_core.ids import CauseDigest, TargetId
from scaleloom_core.part_names import PartNames
from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.gateway.target_probes import TargetProber

_logger = logging.getLogger("scaleloom.crashes")


class TrialOutcome(Enum):
    """Outcome of the attempt to begin a trial."""

    BEGUN = "begun"
    LEFT_TO_OTHERS = "left_to_others"
    UNCOUNTED = "uncounted"


BeginTrial = Callable[[tuple[CauseDigest, ...], TargetId], Awaitable[TrialOutcome]]


def _ignore_report() -> None:
    """Do nothing; used until peers are connected."""


async def _record_no_trial(
    causes: tuple[CauseDigest, ...], target: TargetId
) -> TrialOutcome:
    """Begin no trial; used until the crash log is connected."""
    return TrialOutcome.UNCOUNTED


class CrashTracker:
    """
    Collects crashes of targets from all report sources, and clears possible causes.

    Parameters
    ----------
    table : CrashTable
        Counts the crashes by their possible causes.
    part_names : PartNames
        The ids of the prompt parts among these.
    prober : TargetProber
        Finds out whether a target crashed.
    changed : trio.Event
        Set at the next change, for requests that wait for one.
    log_is_behind : trio.Event
        Set when the log may lack a crash.
    outdated : dict of CauseDigest to CrashHistory
        Records that the log may hold and that no longer count.
    has_outdated : trio.Event
        Set when an entry is added to `outdated` or `cancelled_trials`.
    cancelled_trials : list of tuple
        Causes and numbers of trials that the log holds and that were never run.
    begin_trial : callable
        Begins a trial of some causes at a target unless another router does.
    store_retry_at_s : float
        Until when the log is not asked to record trials, since it just failed to.
    """

    def __init__(self) -> None:
        self.table = CrashTable()
        self.part_names = PartNames()
        self.prober = TargetProber()
        self.prober.connect(self._record_target_crash, self._record_running)
        self.changed = trio.Event()
        self.log_is_behind = trio.Event()
        self.has_outdated = trio.Event()
        self._report: Callable[[], None] = _ignore_report
        self.outdated: dict[CauseDigest, CrashHistory] = {}
        self.cancelled_trials: list[tuple[CauseDigest, int]] = []
        self.begin_trial: BeginTrial = _record_no_trial
        self.store_retry_at_s = NEVER_S

    def connect(self, report: Callable[[], None]) -> None:
        """Call `report` when a report to peers must not wait for the next round."""
        self._report = report

    def _record_target_crash(
        self, target: ListedTarget, causes: list[CauseDigest]
    ) -> None:
        """Record that `target` crashed while `causes` were in flight there."""
        crashes = [Crash(cause, target.start) for cause in dict.fromkeys(causes)]
        if self.record_crashes(crashes, ReportSource.LOCAL):
            self._report()

    def _record_running(self, causes: list[CauseDigest]) -> None:
        """Record that a target was found running behind its answers to `causes`."""
        self.record_answer(
            cause for cause in causes if self.table.find_history(cause) is not None
        )

    def record_crashes(self, crashes: list[Crash], source: ReportSource) -> bool:
        """Record crashes of targets; return whether any of them is new."""
        now_s = trio.current_time()
        if source is ReportSource.LOG:
            self._delete_contradicted(crashes, now_s)
        new = [
            crash for crash in crashes if self.table.record_crash(crash, source, now_s)
        ]
        for crash in new:
            self._log_suspect(crash.cause, source)
        if new:
            self.notify_change()
        return bool(new)

    def _delete_contradicted(self, crashes: list[Crash], now_s: float) -> None:
        """
        Have the log delete crashes whose causes were answered at this router.

        Other routers may not have heard of the answers.
        """
        for crash in crashes:
            if self.table.contradicts(crash, now_s):
                known = self.outdated.get(crash.cause, CrashHistory())
                starts = {**known.starts, crash.start: True}
                self.outdated[crash.cause] = replace(known, starts=starts)
                self.has_outdated.set()

    def _log_suspect(self, cause: CauseDigest, source: ReportSource) -> None:
        """
        Log a cause that has become a suspect, and one that is quarantined.

        It is a suspect once more targets crashed under it than the other requests and
        parts in flight there explain.
        """
        if not self.table.is_suspect(cause):
            return
        decision = self.send_decision(cause)
        fields = {
            **self.log_fields(cause),
            "ends": decision.crash_count,
            "by": source.value,
        }
        is_part = is_prompt_part(cause)
        subject = "prompt part" if is_part else "request"
        _logger.info(f"{subject} suspected of crashing targets", extra=fields)
        if decision.permission is SendPermission.QUARANTINED:
            held_s = decision.retry_at_s - trio.current_time()
            fields = {**fields, "held_s": round(held_s, 1)}
            _logger.warning(f"{subject} quarantined", extra=fields)

    def log_fields(self, cause: CauseDigest) -> dict[str, object]:
        """Return the fields of log lines that identify a possible cause."""
        fields: dict[str, object] = {"digest": f"{cause:016x}"}
        if is_prompt_part(cause):
            fields["part"] = self.part_names.find(cause)
        return fields

    def record_trial(self, cause: CauseDigest, number: int, target: TargetId) -> None:
        """Record that trial `number` of `cause` runs at `target`."""
        self.table.record_trial(cause, number, target, trio.current_time())
        self.notify_change()

    def running_trials(self, causes: Iterable[CauseDigest]) -> dict[CauseDigest, int]:
        """Return the numbers of the running trials of `causes`."""
        now_s = trio.current_time()
        trials = {
            cause: self.table.find_running_trial(cause, now_s) for cause in causes
        }
        return {cause: trial.number for cause, trial in trials.items() if trial}

    def notify_change(self) -> None:
        """Wake tasks that wait for a change, and the writer of the log."""
        self.changed.set()
        self.changed = trio.Event()
        self.log_is_behind.set()

    def targets_on_trial(self) -> set[TargetId]:
        """Return the targets at which a trial is under way."""
        return self.table.trial_targets(trio.current_time())

    def send_decision(self, cause: CauseDigest) -> SendDecision:
        """Return whether requests with `cause` may be sent."""
        return self.table.decide(cause, trio.current_time())

    def cancel_trial(self, cause: CauseDigest, number: int) -> None:
        """Have the log delete a trial of `cause` that no target ran."""
        self.cancelled_trials.append((cause, number))
        self.has_outdated.set()

    def record_answer(self, causes: Iterable[CauseDigest]) -> None:
        """Record that a target answered a request with `causes` and keeps running."""
        for cause in causes:
            self.table.record_answer(cause, trio.current_time())
            history = self.table.clear(cause)
            if history is not None and (history.is_suspect or history.may_be_logged):
                self._record_cleared(cause, history)

    def _record_cleared(self, cause: CauseDigest, history: CrashHistory) -> None:
        """Log that an answer cleared a cause, and have the log delete its records."""
        subject = "prompt part" if history.is_part else "request"
        message = f"{subject} cleared of crashing targets"
        _logger.info(message, extra=self.log_fields(cause))
        self.outdated[cause] = history
        self.has_outdated.set()
        self.notify_change()

    def forget_old(self, prunes_log: bool) -> None:
        """
        Forget expired crashes.

        Parameters
        ----------
        prunes_log : bool
            Whether this router is the one that deletes them from the log.
        """
        forgotten = self.table.remove_expired(trio.current_time())
        if prunes_log:
            self.outdated |= {r: s for r, s in forgotten.items() if s.may_be_logged}
