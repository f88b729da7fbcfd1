"""What one router knows of one target: whether it is reached, fails or is slow."""

import msgspec

from scaleloom_core.listed import ListedState, ListedTarget
from scaleloom_core.target_delays import PERCENT, DelayRatio
from scaleloom_core.target_news import TargetNews
from scaleloom_core.target_outcomes import ONE_ANSWERED, ONE_FAILED, Outcomes

# Two limits for a connection to come up (0.25 s), so that trying a dead target
# again takes a small part of the callers' time.
FIRST_ABSENCE_S = 0.5
# Targets that crash on the users' sheets are back after 2 to 6 s.
LONGEST_ABSENCE_S = 4.0
# About the last eight requests count.
FAILURE_WEIGHT = 0.12
# Requests of one route fail up to 0.14 of the time at every target on the
# users' sheets, which is no reason to leave any of them out.
FAILURE_EXCESS = 0.25
# After fewer requests, bad luck alone would leave targets out.
FAILURE_SAMPLES = 5
# A list that names the address' new target arrives long before.
MISPLACED_S = 30.0
MS_PER_S = 1000.0
NEVER_S = float("inf")
LONG_AGO_S = float("-inf")


class FailureRatio(msgspec.Struct):
    """A moving mean of the share of requests that fail, and how many it rests on."""

    ratio: float = 0.0
    samples: int = 0

    def note(self, outcomes: Outcomes) -> None:
        """Take in how some requests fared."""
        count = outcomes.answered + outcomes.failed
        if count > 0:
            self.samples += count
            weight = 1.0 - (1.0 - FAILURE_WEIGHT) ** count
            self.ratio += (outcomes.failed / count - self.ratio) * weight

    @property
    def told(self) -> float:
        """Return the ratio, or nothing while it rests on too few requests."""
        return self.ratio if self.samples >= FAILURE_SAMPLES else 0.0


class TargetRecord(msgspec.Struct):
    """
    What this process knows of one target.

    Parameters
    ----------
    near_failures : FailureRatio
        Of the requests that this router and its group sent there. A target may
        fail the callers of one data centre only.
    fleet_failures : FailureRatio
        Of the requests of all routers.
    delays : DelayRatio
        How long its answers take to begin, over the usual.
    lapses_at_s : float
        When the target counts as gone because its entry is missing.
    ends_at_s : float
        When a target that is listed no more has surely ended.
    cold_until_s : float
        Until when the target says that it is cold.
    reopened_s : float
        When it became open to work again after it was away or evacuated. It may
        have become cold meanwhile, which its entry tells a heartbeat later.
    misplaced_until_s : float
        Until when another target is taken to answer at its address.
    news : TargetNews
        What it said of itself in its answers to this router.
    """

    listed: ListedTarget
    near_failures: FailureRatio = msgspec.field(default_factory=FailureRatio)
    fleet_failures: FailureRatio = msgspec.field(default_factory=FailureRatio)
    delays: DelayRatio = msgspec.field(default_factory=DelayRatio)
    absence_s: float = 0.0
    away_until_s: float = 0.0
    failing_until_s: float = 0.0
    lapses_at_s: float = NEVER_S
    ends_at_s: float = NEVER_S
    cold_until_s: float = LONG_AGO_S
    reopened_s: float = LONG_AGO_S
    misplaced_until_s: float = LONG_AGO_S
    news: TargetNews = msgspec.field(default_factory=TargetNews)

    @property
    def is_ready(self) -> bool:
        """Return whether the target takes new work, by its entry and its answers."""
        return self.listed.state is ListedState.READY and not self.news.is_leaving

    def is_reachable(self, now_s: float) -> bool:
        """Return whether the target is taken to be where its entry says."""
        reached_s = max(self.away_until_s, self.misplaced_until_s)
        return reached_s <= now_s < self.lapses_at_s

    def takes_work(self, now_s: float) -> bool:
        """Return whether the target can be reached and wants work now."""
        return self.is_reachable(now_s) and self.news.takes_work(now_s)

    def note_answer(self) -> None:
        """Count an answer that shows the target well."""
        self.absence_s = 0.0
        self.away_until_s = 0.0
        self.note_outcomes(ONE_ANSWERED, is_near=True)

    def note_failure(self) -> None:
        """Count a request that failed at the target."""
        self.note_outcomes(ONE_FAILED, is_near=True)

    def note_outcomes(
        self, outcomes: Outcomes, is_near: bool, now_s: float = 0.0
    ) -> None:
        """Count requests that were sent to the target, by the own group or not."""
        self.fleet_failures.note(outcomes)
        if is_near:
            self.near_failures.note(outcomes)
        if outcomes.begun > 0:
            mean_ratio = outcomes.delays_pct / PERCENT / outcomes.begun
            self.delays.note(outcomes.begun, mean_ratio, now_s)

    @property
    def failure_ratio(self) -> float:
        """Return the share of requests that lately failed, near or everywhere."""
        return max(self.near_failures.told, self.fleet_failures.told)

    def leave_out_until(self, until_s: float) -> None:
        """Offer the target nothing until `until_s`, and little failure then."""
        self.failing_until_s = until_s
        returning = FAILURE_EXCESS * (1.0 - FAILURE_WEIGHT)
        for failures in (self.near_failures, self.fleet_failures):
            failures.ratio = min(failures.ratio, returning)

    def note_unreachable(self, now_s: float) -> None:
        """Offer the target nothing for a while, longer each time in a row."""
        doubled_s = max(FIRST_ABSENCE_S, 2 * self.absence_s)
        self.absence_s = min(LONGEST_ABSENCE_S, doubled_s)
        self.away_until_s = self.reopened_s = now_s + self.absence_s

    def note_listed(self, listed: ListedTarget, now_s: float) -> None:
        """Take in what the target's entry says."""
        if listed.cold_left_ms != self.listed.cold_left_ms:
            self.cold_until_s = now_s + listed.cold_left_ms / MS_PER_S
        if (listed.host, listed.port) != (self.listed.host, self.listed.port):
            self.misplaced_until_s = LONG_AGO_S
        self.listed = listed

    def is_cold(self, cold_start_s: float, now_s: float) -> bool:
        """Return whether the target is cold, or may be for all that is known."""
        return now_s < max(self.cold_until_s, self.reopened_s + cold_start_s)

    def note_misplaced(self, now_s: float) -> None:
        """Note that another target answers at this one's address."""
        self.misplaced_until_s = now_s + MISPLACED_S
