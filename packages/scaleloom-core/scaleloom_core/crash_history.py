"""The crashes under one possible cause, its trials, and whether it may be sent."""

from enum import Enum

import msgspec

from scaleloom_core.ids import CauseDigest, TargetId, TargetStart

# One crash is weak evidence: up to 64 requests of the users' engines share it. A
# second one is a coincidence only where targets crash one after another.
MIN_REQUEST_CRASHES = 2
# Requests in flight at several targets share parts, and a retry carries them on.
MIN_PART_CRASHES = 3
# A part that targets have answered needs more evidence than one that none has. The
# users' limit on requests with a part applies from the fifth crash on.
MIN_KNOWN_PART_CRASHES = 5
# With this many crashes, a cause is quarantined while trials cannot be counted.
MIN_QUARANTINE_CRASHES = 3
# The users allow three more requests after the crashes. One of them is kept for
# requests already under way and for crashes lost with restarted routers.
MAX_TRIALS = 2
# Targets restart 2 to 6 s after a crash in the users' workloads, and any other
# cause of a crash is over by then.
TRIAL_INTERVAL_S = 5.0
# After its trials a cause is tried again once in this time, and later once a day:
# the software of the targets may have been corrected.
QUARANTINE_S = 3600.0
LONG_QUARANTINE_S = 86_400.0
# How long a crash counts if its cause does not come again.
SINGLE_CRASH_RETENTION_S = 600.0
SUSPECT_RETENTION_S = 3600.0
# More than the crashes under one part until all routers know of it, at 0.2 s each.
MAX_CRASHES_PER_CAUSE = 16
NEVER_S = float("-inf")


class Crash(msgspec.Struct, array_like=True, frozen=True):
    """A start of a target that crashed, and a possible cause that was in flight."""

    cause: CauseDigest
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


class SendPermission(Enum):
    """Whether a request may be sent to a target."""

    ALLOWED = "free"
    TRIAL_ONLY = "on_trial"
    QUARANTINED = "held"


class SendDecision(msgspec.Struct, frozen=True):
    """
    Whether requests with one possible cause may be sent, and when to ask again if not.

    Parameters
    ----------
    crash_count : int
        Number of targets that crashed under the cause.
    retry_at_s : float
        When to ask again, on the runtime's clock.
    is_trial_running : bool
        Whether a trial that may clear the cause is known to be running.
    """

    permission: SendPermission
    crash_count: int = 0
    retry_at_s: float = 0.0
    is_trial_running: bool = False


class CrashHistory(msgspec.Struct):
    """
    The crashes under one possible cause.

    Parameters
    ----------
    starts : dict of TargetStart to bool
        The target starts that crashed, each with whether the log holds the crash.
    is_part : bool
        Whether the cause is a prompt part.
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
    is_part: bool = False
    trials: int = 0
    has_pending_trial: bool = False
    trial_target: TargetId = TargetId("")
    last_crash_s: float = NEVER_S
    last_trial_s: float = NEVER_S

    @property
    def is_suspect(self) -> bool:
        """Return whether the crashes may be too many for a coincidence."""
        limit = MIN_PART_CRASHES if self.is_part else MIN_REQUEST_CRASHES
        return len(self.starts) >= limit

    @property
    def may_be_logged(self) -> bool:
        """Return whether the log may hold a crash or trial of the cause."""
        return self.trials > 0 or any(self.starts.values())

    @property
    def expires_s(self) -> float:
        """Return until when the crashes count."""
        retention_s = (
            SUSPECT_RETENTION_S if self.is_suspect else SINGLE_CRASH_RETENTION_S
        )
        if self.trials >= MAX_TRIALS:
            # The trial that is due by then tells whether the cause still crashes.
            retention_s += self._quarantine_s
        return max(self.last_crash_s, self.last_trial_s) + retention_s

    @property
    def _quarantine_s(self) -> float:
        """Return how long the cause is quarantined after the last of its trials."""
        return QUARANTINE_S if self.trials == MAX_TRIALS else LONG_QUARANTINE_S

    def _next_trial_s(self, is_running: bool) -> float:
        """Return when the next trial is due, or when the running one has ended."""
        if is_running or self.trials < MAX_TRIALS:
            return self.last_trial_s + TRIAL_INTERVAL_S
        return max(self.last_crash_s, self.last_trial_s) + self._quarantine_s

    def is_trial_running(self, now_s: float) -> bool:
        """Return whether a trial is known to be running."""
        return self.has_pending_trial and now_s < self.last_trial_s + TRIAL_INTERVAL_S

    def decide(self, now_s: float) -> SendDecision:
        """Return whether requests with the suspected cause may be sent."""
        crash_count = len(self.starts)
        if not self.is_suspect:
            return SendDecision(SendPermission.ALLOWED, crash_count)
        is_running = self.is_trial_running(now_s)
        next_trial_s = self._next_trial_s(is_running)
        if now_s < next_trial_s:
            return SendDecision(
                SendPermission.QUARANTINED, crash_count, next_trial_s, is_running
            )
        return SendDecision(SendPermission.TRIAL_ONLY, crash_count)
