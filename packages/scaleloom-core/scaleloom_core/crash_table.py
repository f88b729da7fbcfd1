"""
Counts, over the whole fleet, of target crashes by their possible causes.

Every request in flight at a target when the target crashes may have caused the
crash, or a part of its prompt, and most did not. Requests are sent freely until
targets crashed under them, or under a part that they share, more often than
coincidence explains. They then get a few isolated trials, and an answer clears the
request and the part. An answer shortly before a crash says the same as one after it:
where all targets of a service crash at once, no later one can come.
"""

from collections import OrderedDict

from scaleloom_core.answered_causes import AnsweredCauses
from scaleloom_core.cause_digests import is_prompt_part
from scaleloom_core.crash_history import (
    MAX_CRASHES_PER_CAUSE,
    MIN_KNOWN_PART_CRASHES,
    MIN_PART_CRASHES,
    MIN_REQUEST_CRASHES,
    NEVER_S,
    Crash,
    CrashHistory,
    RunningTrial,
    SendDecision,
    SendPermission,
)
from scaleloom_core.crash_reports import CrashReports, ReportSource
from scaleloom_core.ids import CauseDigest, TargetId, TargetStart

# The requests of a rack of 32 full engines, at about a kilobyte each.
MAX_CAUSES = 2048
MAX_SUSPECTS = 512
_FREE = SendDecision(SendPermission.ALLOWED)


class CrashTable:
    """
    The requests and prompt parts under which targets crashed, as this router knows.

    Crashes are recorded from this router's connections, peers and the log, in any
    order and any number of times. Each start of a target counts once.

    Parameters
    ----------
    answered : AnsweredCauses
        What targets answered lately.
    """

    def __init__(self) -> None:
        self.answered = AnsweredCauses()
        self._histories: OrderedDict[CauseDigest, CrashHistory] = OrderedDict()
        # With enough crashes for a suspicion, unless others explain these.
        self._candidates: OrderedDict[CauseDigest, None] = OrderedDict()
        self._candidates_by_start: dict[TargetStart, set[CauseDigest]] = {}
        # Judging a cause may take milliseconds, and its requests may be many.
        self._verdicts: dict[CauseDigest, bool] = {}
        # Crashes cleared by an answer may still arrive from peers or the log.
        self._cleared: OrderedDict[Crash, None] = OrderedDict()
        self._evicted: dict[CauseDigest, CrashHistory] = {}
        self._reports = CrashReports()

    def __len__(self) -> int:
        """Return how many causes are known."""
        return len(self._histories)

    @property
    def suspect_count(self) -> int:
        """Return how many causes may need a trial or be quarantined."""
        return len(self._candidates)

    def suspects(self) -> list[CauseDigest]:
        """Return the causes that need a trial or are quarantined."""
        return [cause for cause in self._candidates if self.is_suspect(cause)]

    def is_suspect(self, cause: CauseDigest) -> bool:
        """
        Return whether requests with `cause` need a trial or are quarantined.

        Crashes that a likelier cause explains do not count.
        """
        if cause not in self._candidates:
            return False
        verdict = self._verdicts.get(cause)
        if verdict is None:
            unexplained = self._unexplained_count(cause)
            verdict = self._verdicts[cause] = unexplained >= self._min_crashes(cause)
        return verdict

    def is_nearly_suspect(self, cause: CauseDigest) -> bool:
        """Return whether one more crash may make `cause` a suspect."""
        history = self._histories.get(cause)
        return history is not None and (
            len(history.starts) + 1 >= self._min_crashes(cause)
        )

    def _min_crashes(self, cause: CauseDigest) -> int:
        """Return how many crashes make `cause` a suspect."""
        if not is_prompt_part(cause):
            return MIN_REQUEST_CRASHES
        if self.answered.is_known_part(cause):
            return MIN_KNOWN_PART_CRASHES
        return MIN_PART_CRASHES

    def _unexplained_count(self, cause: CauseDigest) -> int:
        """Return how many crashes no other cause explains better than `cause`."""
        return sum(
            not any(
                self._explains(other, cause)
                for other in self._candidates_by_start.get(start, ())
            )
            for start in self._histories[cause].starts
        )

    def _explains(self, other: CauseDigest, cause: CauseDigest) -> bool:
        """
        Return whether `other` is the likelier cause of a crash under both.

        That is the prompt part with more crashes, or with as many if no target has
        answered it. A request explains what its parts share with no other request.
        """
        if other == cause:
            return False
        other_count = len(self._histories[other].starts)
        count = len(self._histories[cause].starts)
        if other_count < max(count, self._min_crashes(other)):
            return False
        if not is_prompt_part(other):
            return is_prompt_part(cause)
        is_known = self.answered.is_known_part
        return other_count > count or (is_known(cause) and not is_known(other))

    def find_history(self, cause: CauseDigest) -> CrashHistory | None:
        """Return the crashes under `cause`, or None if there are none."""
        return self._histories.get(cause)

    def decide(self, cause: CauseDigest, now_s: float) -> SendDecision:
        """Return whether requests with `cause` may be sent."""
        history = self._histories.get(cause)
        if history is None:
            return _FREE
        if not self.is_suspect(cause):
            return SendDecision(SendPermission.ALLOWED, len(history.starts))
        return history.decide(now_s)

    def contradicts(self, crash: Crash, now_s: float) -> bool:
        """Return whether an answer has shown that the cause of `crash` is another."""
        return crash in self._cleared or self.answered.is_recent(crash.cause, now_s)

    def record_crash(self, crash: Crash, source: ReportSource, now_s: float) -> bool:
        """Record a crash under a possible cause; return whether the crash is new."""
        is_logged = source is ReportSource.LOG
        if self.contradicts(crash, now_s):
            self._add_cleared(crash)
            return False
        history = self._histories.get(crash.cause)
        if history is not None and crash.start in history.starts:
            history.starts[crash.start] |= is_logged
            return False
        if history is None:
            history = CrashHistory(is_part=is_prompt_part(crash.cause))
            self._histories[crash.cause] = history
        if len(history.starts) >= MAX_CRASHES_PER_CAUSE:
            return False
        history.starts[crash.start] = is_logged
        history.last_crash_s = now_s
        history.has_pending_trial = False
        self._mark_recent(crash.cause, history)
        self._reports.add(crash, source, now_s)
        return True

    def record_trial(
        self, cause: CauseDigest, number: int, target: TargetId, now_s: float
    ) -> None:
        """Record trial `number` of `cause` at `target`."""
        history = self._histories.setdefault(
            cause, CrashHistory(is_part=is_prompt_part(cause))
        )
        if number > history.trials:
            history.trials = number
            history.last_trial_s = now_s
            history.has_pending_trial = True
            history.trial_target = target
            self._mark_recent(cause, history)

    def find_running_trial(
        self, cause: CauseDigest, now_s: float
    ) -> RunningTrial | None:
        """Return the running trial, or None if there is none."""
        history = self._histories.get(cause)
        if history is None or not history.is_trial_running(now_s):
            return None
        return RunningTrial(history.trials, history.last_trial_s)

    def trial_targets(self, now_s: float) -> set[TargetId]:
        """Return the targets at which some trial is running."""
        histories = (self._histories[cause] for cause in self._candidates)
        return {
            history.trial_target
            for history in histories
            if history.is_trial_running(now_s)
        }

    def _mark_recent(self, cause: CauseDigest, history: CrashHistory) -> None:
        """Mark `cause` as the most recent one and evict entries above the limits."""
        self._verdicts.clear()
        self._histories.move_to_end(cause)
        if history.is_suspect:
            self._candidates[cause] = None
            self._candidates.move_to_end(cause)
            for start in history.starts:
                self._candidates_by_start.setdefault(start, set()).add(cause)
        if len(self._candidates) > MAX_SUSPECTS:
            self._evict(next(iter(self._candidates)))
        if len(self._histories) > MAX_CAUSES:
            self._evict(next(c for c in self._histories if c not in self._candidates))

    def _evict(self, cause: CauseDigest) -> None:
        """Remove `cause` because the table is full."""
        self._evicted[cause] = self._histories[cause]
        self._remove(cause)

    def record_answer(self, cause: CauseDigest, now_s: float) -> None:
        """Record that a target answered `cause` and kept running."""
        if is_prompt_part(cause) and not self.answered.is_known_part(cause):
            self._verdicts.clear()
        self.answered.record(cause, now_s)

    def clear(self, cause: CauseDigest) -> CrashHistory | None:
        """Remove and return the crashes under `cause`, which did not cause them."""
        history = self._histories.get(cause)
        if history is None:
            return None
        for start in history.starts:
            self._add_cleared(Crash(cause, start))
        self._remove(cause)
        return history

    def _add_cleared(self, crash: Crash) -> None:
        """Ignore `crash` if it is reported again."""
        self._cleared[crash] = None
        if len(self._cleared) > MAX_CAUSES:
            self._cleared.popitem(last=False)

    def remove_crash(self, crash: Crash) -> None:
        """Remove a crash that the log no longer holds."""
        self._add_cleared(crash)
        history = self._histories.get(crash.cause)
        if history is None or history.starts.pop(crash.start, None) is None:
            return
        self._verdicts.clear()
        self._discard_candidate(crash.cause, crash.start)
        if not history.starts:
            self._remove(crash.cause)
        elif not history.is_suspect:
            self._candidates.pop(crash.cause, None)
            for start in history.starts:
                self._discard_candidate(crash.cause, start)

    def remove_trial(self, cause: CauseDigest, number: int) -> None:
        """
        Remove a trial of `cause` that the log no longer holds.

        It was never sent, so the next one need not wait for its result.
        """
        history = self._histories.get(cause)
        if history is not None and history.trials >= number:
            history.trials = number - 1
            history.has_pending_trial = False
            history.last_trial_s = NEVER_S

    def _remove(self, cause: CauseDigest) -> None:
        """Remove all that is known of `cause`."""
        self._verdicts.clear()
        history = self._histories.pop(cause)
        for start in history.starts:
            self._discard_candidate(cause, start)
        self._candidates.pop(cause, None)

    def _discard_candidate(self, cause: CauseDigest, start: TargetStart) -> None:
        """Remove `cause` from those that may explain the crash of a target."""
        candidates = self._candidates_by_start.get(start, set())
        candidates.discard(cause)
        if not candidates:
            self._candidates_by_start.pop(start, None)

    def remove_expired(self, now_s: float) -> dict[CauseDigest, CrashHistory]:
        """Remove expired entries; return them together with the evicted ones."""
        expired = {c: h for c, h in self._histories.items() if now_s >= h.expires_s}
        for cause in expired:
            self._remove(cause)
        evicted, self._evicted = self._evicted, {}
        return evicted | expired

    def unlogged_crashes(self, has_no_peers: bool) -> list[Crash]:
        """
        Return the crashes that the log should hold and does not.

        Parameters
        ----------
        has_no_peers : bool
            Whether no peer receives reports of first crashes under a cause.
        """
        return [
            Crash(cause, start)
            for cause, history in self._histories.items()
            if has_no_peers or self._belongs_in_log(cause, history)
            for start, is_logged in history.starts.items()
            if not is_logged
        ]

    def _belongs_in_log(self, cause: CauseDigest, history: CrashHistory) -> bool:
        """
        Return whether crashes under `cause` are logged though peers report them.

        Those under a part are from the one before a suspicion on, since routers that
        do not hear each other each see only some of them.
        """
        if history.is_part:
            return self.is_nearly_suspect(cause)
        return self.is_suspect(cause)

    def crashes_to_report(self, is_group_report: bool, now_s: float) -> list[Crash]:
        """
        Return the crashes to include in the next report to peers.

        Parameters
        ----------
        is_group_report : bool
            Whether this router reports for its group, or for itself only.
        """
        return self._reports.select(is_group_report, now_s)
