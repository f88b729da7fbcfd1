"""State of this router about requests that crash targets."""

import logging
from collections.abc import Awaitable, Callable
from enum import Enum

import trio

from scaleloom_core.crash_table import (
    NEVER_S,
    Crash,
    CrashHistory,
    CrashTable,
    ReportSource,
    SendDecision,
)
from scaleloom_core.ids import RequestDigest, TargetId
from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.gateway.target_probes import TargetProber

_logger = logging.getLogger("scaleloom.crashes")


class TrialOutcome(Enum):
    """Outcome of the attempt to begin a trial."""

    BEGUN = "begun"
    LEFT_TO_OTHERS = "left_to_others"
    UNCOUNTED = "uncounted"


BeginTrial = Callable[[RequestDigest, TargetId], Awaitable[TrialOutcome]]


def _ignore_report() -> None:
    """Do nothing; used until peers are connected."""


async def _record_no_trial(request: RequestDigest, target: TargetId) -> TrialOutcome:
    """Begin no trial; used until the crash log is connected."""
    return TrialOutcome.UNCOUNTED


class CrashTracker:
    """
    Collects crashes of targets from all report sources, and clears requests.

    Parameters
    ----------
    table : CrashTable
        Counts the crashes by request.
    prober : TargetProber
        Finds out whether a target crashed.
    changed : trio.Event
        Set at the next change, for requests that wait for one.
    log_is_behind : trio.Event
        Set when the log may lack a crash.
    outdated : dict of RequestDigest to CrashHistory
        Records that the log may hold and that no longer count.
    has_outdated : trio.Event
        Set when an entry is added to `outdated` or `cancelled_trials`.
    cancelled_trials : list of tuple
        Requests and numbers of trials that the log holds and that were never sent.
    begin_trial : callable
        Begins a trial of a request at a target unless another router does.
    store_retry_at_s : float
        Until when the log is not asked to record trials, since it just failed to.
    """

    def __init__(self) -> None:
        self.table = CrashTable()
        self.prober = TargetProber()
        self.prober.connect(self._record_target_crash, self._record_running)
        self.changed = trio.Event()
        self.log_is_behind = trio.Event()
        self.has_outdated = trio.Event()
        self._report: Callable[[], None] = _ignore_report
        self.outdated: dict[RequestDigest, CrashHistory] = {}
        self.cancelled_trials: list[tuple[RequestDigest, int]] = []
        self.begin_trial: BeginTrial = _record_no_trial
        self.store_retry_at_s = NEVER_S

    def connect(self, report: Callable[[], None]) -> None:
        """Call `report` when a report to peers must not wait for the next round."""
        self._report = report

    def _record_target_crash(
        self, target: ListedTarget, requests: list[RequestDigest]
    ) -> None:
        """Record that `target` crashed while `requests` were in flight there."""
        crashes = [Crash(request, target.start) for request in requests]
        if self.record_crashes(crashes, ReportSource.LOCAL):
            self._report()

    def _record_running(self, requests: list[RequestDigest]) -> None:
        """Record that a target was found running behind its answers to `requests`."""
        for request in requests:
            if self.table.find_history(request) is not None:
                self.record_answer(request)

    def record_crashes(self, crashes: list[Crash], source: ReportSource) -> bool:
        """Record crashes of targets; return whether any of them is new."""
        now_s = trio.current_time()
        new = [
            crash for crash in crashes if self.table.record_crash(crash, source, now_s)
        ]
        for crash in new:
            self._log_suspect(crash.request, source)
        if new:
            self.notify_change()
        return bool(new)

    def _log_suspect(self, request: RequestDigest, source: ReportSource) -> None:
        """
        Log a request that has become a suspect.

        It is one once more targets crashed under it than other requests in flight there
        explain.
        """
        if not self.table.is_suspect(request):
            return
        crashes = self.send_decision(request).crash_count
        fields = {"digest": f"{request:016x}", "ends": crashes, "by": source.value}
        _logger.info("request suspected of crashing targets", extra=fields)

    def record_trial(
        self, request: RequestDigest, number: int, target: TargetId
    ) -> None:
        """Record that trial `number` of `request` runs at `target`."""
        self.table.record_trial(request, number, target, trio.current_time())
        self.notify_change()

    def notify_change(self) -> None:
        """Wake tasks that wait for a change, and the writer of the log."""
        self.changed.set()
        self.changed = trio.Event()
        self.log_is_behind.set()

    def targets_on_trial(self) -> set[TargetId]:
        """Return the targets at which a trial is under way."""
        return self.table.trial_targets(trio.current_time())

    def send_decision(self, request: RequestDigest) -> SendDecision:
        """Return whether `request` may be sent."""
        return self.table.decide(request, trio.current_time())

    def cancel_trial(self, request: RequestDigest, number: int) -> None:
        """Have the log delete a trial of `request` that was not sent."""
        self.cancelled_trials.append((request, number))
        self.has_outdated.set()

    def record_answer(self, request: RequestDigest) -> None:
        """Record that a target answered `request` and keeps running."""
        self.table.record_answer(request, trio.current_time())
        history = self.table.clear(request)
        if history is None:
            return
        if history.is_suspect or history.may_be_logged:
            _logger.info(
                "request cleared of crashing targets",
                extra={"digest": f"{request:016x}"},
            )
            self.outdated[request] = history
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
