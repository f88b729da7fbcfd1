"""
Counts, over the whole fleet, of target crashes by the request in flight.

Every request in flight at a target when the target crashes may have caused the
crash, and most did not. A request is sent freely until targets crashed under it
more often than coincidence explains. It then gets a few isolated trials, and an
answer clears it. An answer shortly before a crash says the same as one after it:
where all targets of a service crash at once, no later one can come.
"""

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum

import msgspec

from scaleloom_core.ids import RequestDigest, TargetId, TargetStart

# One crash is weak evidence: up to 64 requests of the users' engines share it. A
# second one is a coincidence only where targets crash one after another.
MIN_SUSPECT_CRASHES = 2
# With this many crashes, a request is quarantined while crashes cannot be counted.
MIN_QUARANTINE_CRASHES = 3
# The users allow three more crashes once three targets have crashed. One of them is
# kept for requests already under way and for crashes lost with restarted routers.
MAX_TRIALS = 2
# Targets restart 2 to 6 s after a crash in the users' workloads, and any other
# cause of a crash is over by then.
TRIAL_INTERVAL_S = 5.0
# A request that begins to crash targets after it was answered must be counted before
# the users' limit on its retries applies, 4 s after the third crash.
ANSWER_RETENTION_S = 3.0
# Twice the requests that the users' routers answer in that time at the peak, at 200
# bytes each.
MAX_ANSWERED = 512
# How long a crash counts if its request does not come again.
SINGLE_CRASH_RETENTION_S = 600.0
SUSPECT_RETENTION_S = 3600.0
# The requests of a rack of 32 full engines, at 540 bytes each.
MAX_REQUESTS = 2048
MAX_SUSPECTS = 512
MAX_CRASHES_PER_REQUEST = 8
# Some reports are lost and some are relayed, so a crash is repeated in ten reports.
REPORT_PERIOD_S = 1.0
MAX_REPORTED_CRASHES = 128
NEVER_S = float("-inf")


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """A start of a target that crashed, and a request that was in flight there."""

    request: RequestDigest
    start: TargetStart


class RunningTrial(msgspec.Struct, frozen=True):
    """
    A trial that is known to be running.

    Parameters
    ----------
    began_s : float
        When this router learned of it, on the runtime's clock. It tells the trial from
        a later one under the same number, if the log has deleted this one.
    """

    number: int
    began_s: float


class ReportSource(Enum):
    """How this router learned of a crash."""

    LOCAL = "own"
    SAME_GROUP = "near"
    OTHER_GROUP = "far"
    LOG = "log"


class SendPermission(Enum):
    """Whether a request may be sent to a target."""

    ALLOWED = "free"
    TRIAL_ONLY = "on_trial"
    QUARANTINED = "held"


class SendDecision(msgspec.Struct, frozen=True):
    """
    Whether a request may be sent, and when to ask again if not.

    Parameters
    ----------
    crash_count : int
        Number of targets that crashed under the request.
    retry_at_s : float
        When to ask again, on the runtime's clock.
    is_trial_running : bool
        Whether a trial that may clear the request is known to be running.
    """

    permission: SendPermission
    crash_count: int = 0
    retry_at_s: float = 0.0
    is_trial_running: bool = False


_FREE = SendDecision(SendPermission.ALLOWED)


class CrashHistory(msgspec.Struct):
    """
    The crashes under one request.

    Parameters
    ----------
    starts : dict of TargetStart to bool
        The target starts that crashed, each with whether the log holds the crash.
    trials : int
        Number of trials since the crashes.
    has_pending_trial : bool
        Whether no crash has become known since the last trial.
    trial_target : TargetId
        The target of the last trial.
    last_crash_s, last_trial_s : float
        When this router last learned of a crash, and of a trial.
    """

    starts: dict[TargetStart, bool] = msgspec.field(default_factory=dict)
    trials: int = 0
    has_pending_trial: bool = False
    trial_target: TargetId = TargetId("")
    last_crash_s: float = NEVER_S
    last_trial_s: float = NEVER_S

    @property
    def is_suspect(self) -> bool:
        """Return whether the crashes are too many for a coincidence."""
        return len(self.starts) >= MIN_SUSPECT_CRASHES

    @property
    def may_be_logged(self) -> bool:
        """Return whether the log may hold a crash or trial of the request."""
        return self.trials > 0 or any(self.starts.values())

    @property
    def expires_s(self) -> float:
        """Return until when the crashes count."""
        retention_s = (
            SUSPECT_RETENTION_S if self.is_suspect else SINGLE_CRASH_RETENTION_S
        )
        return max(self.last_crash_s, self.last_trial_s) + retention_s

    def is_trial_running(self, now_s: float) -> bool:
        """Return whether a trial is known to be running."""
        return self.has_pending_trial and now_s < self.last_trial_s + TRIAL_INTERVAL_S

    def decide(self, now_s: float) -> SendDecision:
        """Return whether the request may be sent."""
        crash_count = len(self.starts)
        if not self.is_suspect:
            return SendDecision(SendPermission.ALLOWED, crash_count)
        next_trial_s = self.last_trial_s + TRIAL_INTERVAL_S
        if now_s < next_trial_s and (
            self.trials < MAX_TRIALS or self.has_pending_trial
        ):
            return SendDecision(
                SendPermission.QUARANTINED,
                crash_count,
                next_trial_s,
                self.has_pending_trial,
            )
        if self.trials >= MAX_TRIALS:
            return SendDecision(SendPermission.QUARANTINED, crash_count, self.expires_s)
        return SendDecision(SendPermission.TRIAL_ONLY, crash_count)


class CrashTable:
    """
    The requests under which targets crashed, as far as this router knows.

    Crashes are recorded from this router's connections, peers and the log, in any
    order and any number of times. Each start of a target counts once.
    """

    def __init__(self) -> None:
        self._histories: OrderedDict[RequestDigest, CrashHistory] = OrderedDict()
        self._suspects: OrderedDict[RequestDigest, None] = OrderedDict()
        # Crashes cleared by an answer may still arrive from peers or the log.
        self._cleared: OrderedDict[Crash, None] = OrderedDict()
        self._answered_s: OrderedDict[RequestDigest, float] = OrderedDict()
        self._evicted: dict[RequestDigest, CrashHistory] = {}
        self._reportable: list[tuple[float, Crash, ReportSource]] = []

    def __len__(self) -> int:
        """Return how many requests are known."""
        return len(self._histories)

    @property
    def suspect_count(self) -> int:
        """Return how many requests need a trial or are quarantined."""
        return len(self._suspects)

    def is_suspect(self, request: RequestDigest) -> bool:
        """Return whether `request` needs a trial or is quarantined."""
        return request in self._suspects

    def find_history(self, request: RequestDigest) -> CrashHistory | None:
        """Return the crashes under `request`, or None if there are none."""
        return self._histories.get(request)

    def decide(self, request: RequestDigest, now_s: float) -> SendDecision:
        """Return whether `request` may be sent."""
        history = self._histories.get(request)
        return _FREE if history is None else history.decide(now_s)

    def record_crash(self, crash: Crash, source: ReportSource, now_s: float) -> bool:
        """Record a crash under a request; return whether the crash is new."""
        is_logged = source is ReportSource.LOG
        if crash in self._cleared:
            return False
        if self._was_answered_recently(crash.request, now_s):
            self._add_cleared(crash)
            return False
        history = self._histories.get(crash.request)
        if history is not None and crash.start in history.starts:
            history.starts[crash.start] |= is_logged
            return False
        if history is None:
            history = self._histories[crash.request] = CrashHistory()
        if len(history.starts) >= MAX_CRASHES_PER_REQUEST:
            return False
        history.starts[crash.start] = is_logged
        history.last_crash_s = now_s
        history.has_pending_trial = False
        self._mark_recent(crash.request, history)
        if source in (ReportSource.LOCAL, ReportSource.SAME_GROUP):
            self._reportable.append((now_s, crash, source))
        return True

    def record_trial(
        self, request: RequestDigest, number: int, target: TargetId, now_s: float
    ) -> None:
        """Record trial `number` of `request` at `target`."""
        history = self._histories.setdefault(request, CrashHistory())
        if number > history.trials:
            history.trials = number
            history.last_trial_s = now_s
            history.has_pending_trial = True
            history.trial_target = target
            self._mark_recent(request, history)

    def find_running_trial(
        self, request: RequestDigest, now_s: float
    ) -> RunningTrial | None:
        """Return the running trial, or None if there is none."""
        history = self._histories.get(request)
        if history is None or not history.is_trial_running(now_s):
            return None
        return RunningTrial(history.trials, history.last_trial_s)

    def trial_targets(self, now_s: float) -> set[TargetId]:
        """Return the targets at which some trial is running."""
        histories = (self._histories[request] for request in self._suspects)
        return {
            history.trial_target
            for history in histories
            if history.is_trial_running(now_s)
        }

    def _mark_recent(self, request: RequestDigest, history: CrashHistory) -> None:
        """Mark `request` as the most recent one and evict entries above the limits."""
        self._histories.move_to_end(request)
        if history.is_suspect:
            self._suspects[request] = None
            self._suspects.move_to_end(request)
        if len(self._suspects) > MAX_SUSPECTS:
            self._evict(next(iter(self._suspects)))
        if len(self._histories) > MAX_REQUESTS:
            self._evict(next(r for r in self._histories if r not in self._suspects))

    def _evict(self, request: RequestDigest) -> None:
        """Remove `request` because the table is full."""
        self._evicted[request] = self._histories[request]
        self._remove(request)

    def record_answer(self, request: RequestDigest, now_s: float) -> None:
        """Record that a target answered `request` and kept running."""
        self._answered_s[request] = now_s
        self._answered_s.move_to_end(request)
        if len(self._answered_s) > MAX_ANSWERED:
            self._answered_s.popitem(last=False)

    def _was_answered_recently(self, request: RequestDigest, now_s: float) -> bool:
        """Return whether a target answered `request` shortly before now."""
        answered_s = self._answered_s.get(request, NEVER_S)
        return now_s <= answered_s + ANSWER_RETENTION_S

    def clear(self, request: RequestDigest) -> CrashHistory | None:
        """Remove and return the crashes under `request`, which did not cause them."""
        history = self._histories.get(request)
        if history is None:
            return None
        for start in history.starts:
            self._add_cleared(Crash(request, start))
        self._remove(request)
        return history

    def _add_cleared(self, crash: Crash) -> None:
        """Ignore `crash` if it is reported again."""
        self._cleared[crash] = None
        if len(self._cleared) > MAX_REQUESTS:
            self._cleared.popitem(last=False)

    def remove_crash(self, crash: Crash) -> None:
        """Remove a crash that the log no longer holds."""
        self._add_cleared(crash)
        history = self._histories.get(crash.request)
        if history is None or history.starts.pop(crash.start, None) is None:
            return
        if not history.starts:
            self._remove(crash.request)
        elif not history.is_suspect:
            self._suspects.pop(crash.request, None)

    def remove_trial(self, request: RequestDigest, number: int) -> None:
        """
        Remove a trial of `request` that the log no longer holds.

        It was never sent, so the next one need not wait for its result.
        """
        history = self._histories.get(request)
        if history is not None and history.trials >= number:
            history.trials = number - 1
            history.has_pending_trial = False
            history.last_trial_s = NEVER_S

    def _remove(self, request: RequestDigest) -> None:
        """Remove all that is known of `request`."""
        del self._histories[request]
        self._suspects.pop(request, None)

    def remove_expired(self, now_s: float) -> dict[RequestDigest, CrashHistory]:
        """Remove expired entries; return them together with the evicted ones."""
        expired = {r: s for r, s in self._histories.items() if now_s >= s.expires_s}
        for request in expired:
            self._remove(request)
        evicted, self._evicted = self._evicted, {}
        return evicted | expired

    def unlogged_crashes(self, has_no_peers: bool) -> list[Crash]:
        """
        Return the crashes that the log should hold and does not.

        Parameters
        ----------
        has_no_peers : bool
            Whether no peer receives reports of first crashes under a request.
        """
        requests: Iterable[RequestDigest] = (
            self._histories if has_no_peers else self._suspects
        )
        return [
            Crash(request, start)
            for request in requests
            for start, is_logged in self._histories[request].starts.items()
            if not is_logged
        ]

    def crashes_to_report(self, is_group_report: bool, now_s: float) -> list[Crash]:
        """
        Return the crashes to include in the next report to peers.

        Parameters
        ----------
        is_group_report : bool
            Whether this router reports for its group, or for itself only.
        """
        self._reportable = [
            row for row in self._reportable if row[0] > now_s - REPORT_PERIOD_S
        ]
        crashes = [
            crash
            for _, crash, source in self._reportable
            if is_group_report or source is ReportSource.LOCAL
        ]
        return crashes[-MAX_REPORTED_CRASHES:]
