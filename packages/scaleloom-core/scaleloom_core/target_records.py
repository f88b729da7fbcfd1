"""What one router knows of one target: reachability, failures and delays."""

import msgspec

from scaleloom_core.target_delays import PERCENT, DelayRatio
from scaleloom_core.target_entries import ListedState, ListedTarget
from scaleloom_core.target_outcomes import ONE_ANSWERED, ONE_FAILED, Outcomes
from scaleloom_core.target_signals import TargetSignals

# Two connection timeouts (0.25 s each), so that retrying an unreachable target
# takes only a small part of the callers' time.
MIN_EJECTION_S = 0.5
# Targets restart 2 to 6 s after a crash in the users' workloads.
MAX_EJECTION_S = 4.0
# The moving average covers about the last eight requests.
FAILURE_WEIGHT = 0.12
# In the users' workloads, up to 0.14 of the requests of one route fail at every
# target, which must not eject any of them.
FAILURE_EXCESS = 0.25
# With fewer samples, chance alone would eject targets.
MIN_FAILURE_SAMPLES = 5
# A list with the new target of the address arrives long before this ends.
MISDIRECTED_S = 30.0
MS_PER_S = 1000.0
FOREVER_S = float("inf")
NEVER_S = float("-inf")


class FailureRatio(msgspec.Struct):
    """A moving average of the share of failed requests, with its sample count."""

    ratio: float = 0.0
    samples: int = 0

    def add(self, outcomes: Outcomes) -> None:
        """Add the outcomes of some requests."""
        count = outcomes.answered + outcomes.failed
        if count > 0:
            self.samples += count
            weight = 1.0 - (1.0 - FAILURE_WEIGHT) ** count
            self.ratio += (outcomes.failed / count - self.ratio) * weight

    @property
    def significant_ratio(self) -> float:
        """Return the ratio, or 0 while there are too few samples."""
        return self.ratio if self.samples >= MIN_FAILURE_SAMPLES else 0.0


class TargetRecord(msgspec.Struct):
    """
    What this process knows of one target.

    Parameters
    ----------
    listed : ListedTarget
        The target's entry in the list.
    group_failures : FailureRatio
        Failures of requests that this router and its group sent to the target. A
        target may fail for the callers of one data centre only.
    fleet_failures : FailureRatio
        Failures of the requests of all routers.
    delays : DelayRatio
        How long its answers take to begin, relative to the baseline.
    ejection_s : float
        Length of the last ejection for a failed connection, in seconds.
    ejected_until_s : float
        When an ejection for a failed connection ends.
    failure_ejected_until_s : float
        When an ejection for a high failure ratio ends.
    expires_s : float
        When the target counts as gone because its entry is missing.
    stopped_by_s : float
        When a target that is no longer listed has certainly stopped.
    cold_until_s : float
        Until when the target reports that it is cold.
    readmitted_s : float
        When the target was offered work again after an ejection or evacuation. It
        may have become cold meanwhile, which its entry reports a heartbeat later.
    misdirected_until_s : float
        Until when another target is assumed to answer at its address.
    signals : TargetSignals
        What the target reported in its answers to this router.
    """

    listed: ListedTarget
    group_failures: FailureRatio = msgspec.field(default_factory=FailureRatio)
    fleet_failures: FailureRatio = msgspec.field(default_factory=FailureRatio)
    delays: DelayRatio = msgspec.field(default_factory=DelayRatio)
    ejection_s: float = 0.0
    ejected_until_s: float = 0.0
    failure_ejected_until_s: float = 0.0
    expires_s: float = FOREVER_S
    stopped_by_s: float = FOREVER_S
    cold_until_s: float = NEVER_S
    readmitted_s: float = NEVER_S
    misdirected_until_s: float = NEVER_S
    signals: TargetSignals = msgspec.field(default_factory=TargetSignals)

    @property
    def is_ready(self) -> bool:
        """Return whether its entry and its answers say that the target accepts work."""
        return self.listed.state is ListedState.READY and not self.signals.is_draining

    def is_reachable(self, now_s: float) -> bool:
        """Return whether the target is expected to answer at its listed address."""
        reachable_s = max(self.ejected_until_s, self.misdirected_until_s)
        return reachable_s <= now_s < self.expires_s

    def accepts_work(self, now_s: float) -> bool:
        """Return whether the target is reachable and accepts work now."""
        return self.is_reachable(now_s) and self.signals.accepts_work(now_s)

    def record_answer(self) -> None:
        """Record a successful answer, which ends an ejection."""
        self.ejection_s = 0.0
        self.ejected_until_s = 0.0
        self.record_outcomes(ONE_ANSWERED, is_own_group=True)

    def record_failure(self) -> None:
        """Record a request that failed at the target."""
        self.record_outcomes(ONE_FAILED, is_own_group=True)

    def record_outcomes(
        self, outcomes: Outcomes, is_own_group: bool, now_s: float = 0.0
    ) -> None:
        """
        Record outcomes of requests to the target.

        Parameters
        ----------
        is_own_group : bool
            Whether routers of the own group sent the requests.
        """
        self.fleet_failures.add(outcomes)
        if is_own_group:
            self.group_failures.add(outcomes)
        if outcomes.started > 0:
            mean_ratio = outcomes.delay_sum_pct / PERCENT / outcomes.started
            self.delays.record(outcomes.started, mean_ratio, now_s)

    @property
    def failure_ratio(self) -> float:
        """Return the recent failure ratio, of the own group or of the fleet."""
        return max(
            self.group_failures.significant_ratio, self.fleet_failures.significant_ratio
        )

    def eject_until(self, until_s: float) -> None:
        """Eject the target until `until_s`; readmit it with a ratio below the limit."""
        self.failure_ejected_until_s = until_s
        readmission_ratio = FAILURE_EXCESS * (1.0 - FAILURE_WEIGHT)
        for failures in (self.group_failures, self.fleet_failures):
            failures.ratio = min(failures.ratio, readmission_ratio)

    def mark_unreachable(self, now_s: float) -> None:
        """Eject the target, for twice as long each time in a row."""
        doubled_s = max(MIN_EJECTION_S, 2 * self.ejection_s)
        self.ejection_s = min(MAX_EJECTION_S, doubled_s)
        self.ejected_until_s = self.readmitted_s = now_s + self.ejection_s

    def update_entry(self, listed: ListedTarget, now_s: float) -> None:
        """Apply a new reading of the target's entry."""
        if listed.cold_left_ms != self.listed.cold_left_ms:
            self.cold_until_s = now_s + listed.cold_left_ms / MS_PER_S
        if (listed.host, listed.port) != (self.listed.host, self.listed.port):
            self.misdirected_until_s = NEVER_S
        self.listed = listed

    def is_cold(self, cold_start_s: float, now_s: float) -> bool:
        """Return whether the target is, or may be, cold."""
        return now_s < max(self.cold_until_s, self.readmitted_s + cold_start_s)

    def mark_misdirected(self, now_s: float) -> None:
        """Mark that another target answers at this target's address."""
        self.misdirected_until_s = now_s + MISDIRECTED_S
