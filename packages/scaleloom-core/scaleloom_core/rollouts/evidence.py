"""What the answers of both versions show about the version on trial."""

from enum import Enum

import msgspec

from scaleloom_core.rollouts.answer_counts import (
    AnswerCounts,
    AnswerTallies,
    RouteKey,
    Tally,
    UnsentAnswers,
    merge_by_route,
    total_tally,
)
from scaleloom_core.rollouts.sequential_test import SequentialTest

__all__ = [
    "AnswerTallies",
    "Assessment",
    "Evidence",
    "EvidenceSummary",
    "RouteKey",
    "Tally",
    "UnsentAnswers",
]

# A second is confirmed once the following one has ended, since the current version's
# answers of that second count as well: peers report up to half a second late.
CONFIRMED_AFTER_S = 2
# Maximum age of an assessment; bad answers of the candidate update it at once.
REFRESH_INTERVAL_S = 0.25
# Share of the current version's answers; on rarer routes a short trial shows nothing.
MIN_ROUTE_SHARE = 0.08


class Assessment(Enum):
    """What the evidence shows about the version on trial."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


class EvidenceSummary(msgspec.Struct, frozen=True):
    """
    A summary of the evidence for logs and metrics.

    Parameters
    ----------
    targets : int
        The number of targets of the candidate that have answered.
    worst_route : RouteKey or None
        The route on which the candidate looks worst.
    """

    assessment: Assessment
    candidate: Tally
    current: Tally
    targets: int
    worst_route: int | None


class Evidence(msgspec.Struct):
    """
    The known answers of both versions over time, and their assessment.

    Answers are counted by the second in which they became known. Older seconds
    are confirmed. The most recent ones are tested again on each assessment, since
    more answers of the current version in these seconds may still be reported.
    """

    _totals: AnswerCounts = msgspec.field(default_factory=AnswerCounts)
    _seconds: dict[int, AnswerCounts] = msgspec.field(default_factory=dict)
    _confirmed: SequentialTest = msgspec.field(default_factory=SequentialTest)
    _confirmed_to: int | None = None
    _latest: SequentialTest | None = None
    _latest_s: float = 0.0
    _is_changed: bool = False
    _is_urgent: bool = False
    _assessment: Assessment = Assessment.UNDECIDED

    def record(self, answers: AnswerTallies, now_s: float) -> None:
        """Record answers seen by this router or reported by a peer."""
        second = self._confirm_seconds(now_s)
        counts = self._seconds.get(second)
        if counts is None:
            counts = self._seconds[second] = self._totals.empty_copy()
        counts.add(answers)
        self._totals.add(answers)
        self._is_changed = True
        self._is_urgent |= any(tally.bad for tally in answers.candidate_tallies())

    def assess(self, now_s: float) -> Assessment:
        """Return what the answers counted so far show about the candidate."""
        self._confirm_seconds(now_s)
        is_outdated = now_s - self._latest_s >= REFRESH_INTERVAL_S
        if (
            self._is_urgent
            or (self._is_changed and is_outdated)
            or self._latest is None
        ):
            self._latest = self._updated_test()
            self._latest_s = now_s
            self._is_changed = self._is_urgent = False
            self._assessment = self._assess_test(self._latest)
        return self._assessment

    def is_doubtful(self, now_s: float) -> bool:
        """
        Return whether there is evidence against a candidate that is not found good.

        Answers of targets that may be outliers count as well: with three targets, the
        one excluded as an outlier has most of the evidence against a bad version.
        """
        if self.assess(now_s) is Assessment.GOOD or self._latest is None:
            return False
        return self._latest.exceeds_doubt_threshold(frozenset())

    def _confirm_seconds(self, now_s: float) -> int:
        """Confirm the seconds that ended long enough ago; return the current one."""
        second = int(now_s)
        if self._confirmed_to is None:
            self._confirmed_to = second - 1
        if second - CONFIRMED_AFTER_S <= self._confirmed_to:
            return second
        for completed in sorted(self._seconds):
            if self._confirmed_to < completed <= second - CONFIRMED_AFTER_S:
                self._add_second(self._confirmed, completed)
                self._confirmed.record_current(self._seconds[completed].current)
                self._is_changed = True
        self._confirmed_to = second - CONFIRMED_AFTER_S
        for old in [old for old in self._seconds if old < self._confirmed_to]:
            del self._seconds[old]
        return second

    def _updated_test(self) -> SequentialTest:
        """Return the confirmed test, updated with the most recent seconds."""
        test = self._confirmed.copy()
        for recent in sorted(self._seconds):
            if recent > self._confirmed_to:
                self._add_second(test, recent)
        return test

    def _add_second(self, test: SequentialTest, second: int) -> None:
        """Update `test` with one second, compared with the adjacent ones."""
        adjacent = (self._seconds.get(second + k) for k in (-1, 0, 1))
        window = merge_by_route(
            counts.current for counts in adjacent if counts is not None
        )
        counts = self._seconds[second]
        test.add(counts.candidate, [counts.current, window], second)

    def _assess_test(self, test: SequentialTest) -> Assessment:
        """Return the assessment that follows from `test`."""
        if test.is_bad():
            return Assessment.BAD
        if test.is_good(self._relevant_routes()):
            return Assessment.GOOD
        return Assessment.UNDECIDED

    def _relevant_routes(self) -> list[RouteKey]:
        """Return the routes with enough of the current version's answers."""
        current = self._totals.current
        answered = sum(tally.answered for tally in current.values())
        min_answers = max(1.0, MIN_ROUTE_SHARE * answered)
        return [
            route for route, tally in current.items() if tally.answered >= min_answers
        ]

    def summary(self, now_s: float) -> EvidenceSummary:
        """Return a summary of the evidence."""
        assessment = self.assess(now_s)
        candidate = self._totals.candidate
        return EvidenceSummary(
            assessment,
            total_tally(
                tally
                for by_target in candidate.values()
                for tally in by_target.values()
            ),
            total_tally(self._totals.current.values()),
            len({target for by_target in candidate.values() for target in by_target}),
            self._latest.worst_route() if self._latest is not None else None,
        )

    def totals(self) -> AnswerTallies:
        """Return all answers counted so far, for the decision log."""
        return self._totals.snapshot()

    def restore(self, totals: AnswerTallies, now_s: float) -> None:
        """
        Add the totals of the decision log, unless answers were already recorded.

        The totals count as one completed second, so that a change within it is
        detected less precisely than by the router that wrote it.
        """
        if self._totals.current or self._totals.candidate:
            return
        self._totals.add(totals)
        completed = int(now_s) - CONFIRMED_AFTER_S - 1
        restored = self._totals.snapshot()
        self._confirmed.add(restored.candidate, [restored.current], completed)
        self._confirmed.record_current(restored.current)
        self._latest = None
