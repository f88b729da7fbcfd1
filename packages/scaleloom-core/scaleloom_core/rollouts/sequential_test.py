"""Sequential test of the version on trial against the current one."""

import math
from collections.abc import Iterable

import msgspec

from scaleloom_core.rollouts.answer_counts import RouteKey, Tally, TargetKey
from scaleloom_core.rollouts.baseline_shares import BaselineBadShares
from scaleloom_core.rollouts.cumulative_sums import CumulativeSums, max_outliers

# Difference in the share of bad answers from which on a version counts as bad.
MIN_BAD_EXCESS = 0.25
# Routes on which the current version fails more often than this are not compared.
MAX_EXPECTED_BAD_SHARE = 0.6
# Log likelihood ratios. The error rates are in docs/design/rollout-verdict.md.
BAD_THRESHOLD = 8.0
# The sum without outliers must reach the first threshold, or the lower one if it
# makes up at least this share of the total sum.
TRIMMED_BAD_THRESHOLD = 6.0
LOW_TRIMMED_BAD_THRESHOLD = 4.5
LOW_TRIMMED_MIN_SHARE = 0.4
# With a single target, a fault of that target is ruled out by a higher threshold.
SINGLE_TARGET_BAD_THRESHOLD = 16.0
GOOD_THRESHOLD = -4.0
# A short trial has few answers on a route: one bad and three good ones.
ROUTE_GOOD_THRESHOLD = 1.0
# A version whose sum reaches this is not promoted.
DOUBT_THRESHOLD = 3.0
# Bad answers above expectation: half of the number after which the time limit for
# a rollback starts.
MAX_EXCESS = 25.0
# Part of the excess that must come from more than one target.
MIN_TRIMMED_EXCESS = 12.5
# Targets without an answer for this long are not counted as active.
ACTIVE_S = 5


EMPTY_SUMS = CumulativeSums()


class SequentialTest(msgspec.Struct):
    """
    The test statistics: by route, over all routes, and the excess of bad answers.

    Parameters
    ----------
    shares : BaselineBadShares
        The share of bad answers of the current version in the confirmed seconds.
    second : int
        The second of the latest answers.
    last_answers : dict of TargetKey to int
        The second of the last answer of each target.
    """

    shares: BaselineBadShares = msgspec.field(default_factory=BaselineBadShares)
    second: int = 0
    last_answers: dict[TargetKey, int] = msgspec.field(default_factory=dict)
    _routes: dict[RouteKey, CumulativeSums] = msgspec.field(default_factory=dict)
    _overall: CumulativeSums = EMPTY_SUMS
    _excess: CumulativeSums = EMPTY_SUMS

    def copy(self) -> "SequentialTest":
        """Return a copy that can be updated independently."""
        return SequentialTest(
            self.shares,
            self.second,
            dict(self.last_answers),
            dict(self._routes),
            self._overall,
            self._excess,
        )

    def record_current(self, answers: dict[RouteKey, Tally]) -> None:
        """Record the current version's answers of a completed second."""
        self.shares.record(answers)

    def add(
        self,
        answers: dict[RouteKey, dict[TargetKey, Tally]],
        windows: Iterable[dict[RouteKey, Tally]],
        second: int,
    ) -> None:
        """
        Update the sums with the candidate's answers of one second.

        Parameters
        ----------
        windows : iterable of dict of RouteKey to Tally
            The current version's answers about the same time, as for
            `BaselineBadShares.max_good_shares`.
        """
        if not answers:
            return
        self.second = max(self.second, second)
        ratios: dict[TargetKey, float] = {}
        excess: dict[TargetKey, float] = {}
        for route, share in self.shares.max_good_shares(windows, answers).items():
            route_ratios = _log_likelihood_ratios(answers[route], share)
            self._routes[route] = self._routes.get(route, EMPTY_SUMS).plus(route_ratios)
            for target, tally in answers[route].items():
                ratios[target] = ratios.get(target, 0.0) + route_ratios[target]
                target_excess = tally.bad - share * tally.answered
                excess[target] = excess.get(target, 0.0) + target_excess
        self.last_answers.update(dict.fromkeys(ratios, second))
        self._overall = self._overall.plus(ratios)
        self._excess = self._excess.plus(excess)

    def _count_active(self) -> int:
        """Return how many targets have answered recently."""
        oldest = self.second - ACTIVE_S
        return sum(last > oldest for last in self.last_answers.values())

    def is_bad(self) -> bool:
        """Return whether the candidate is bad on one route or over all."""
        if self._has_too_much_excess():
            return True
        return any(
            self._exceeds_bad_threshold(sums)
            for sums in (self._overall, *self._routes.values())
        )

    def _exceeds_bad_threshold(self, sums: CumulativeSums) -> bool:
        """Return whether these sums show a bad version, with outliers excluded."""
        if sums.cusum < BAD_THRESHOLD:
            return False
        if len(self.last_answers) < 2:
            return sums.cusum >= SINGLE_TARGET_BAD_THRESHOLD
        trimmed = sums.trimmed_cusum(max(1, max_outliers(self._count_active())))
        is_shared = (
            trimmed >= LOW_TRIMMED_BAD_THRESHOLD
            and trimmed >= LOW_TRIMMED_MIN_SHARE * sums.cusum
        )
        return trimmed >= TRIMMED_BAD_THRESHOLD or is_shared

    def _has_too_much_excess(self) -> bool:
        """Return whether the bad answers of all targets together are too many."""
        excess = self._excess
        return (
            excess.cusum >= MAX_EXCESS and excess.trimmed_cusum(1) >= MIN_TRIMMED_EXCESS
        )

    def is_good(self, routes: Iterable[RouteKey]) -> bool:
        """
        Return whether the candidate is good over all and on each of `routes`.

        Parameters
        ----------
        routes : iterable of RouteKey
            Routes on which the candidate must have been tried and not look bad.
        """
        outliers = self._overall.outliers(DOUBT_THRESHOLD)
        if (
            self._overall.ratio_sum_excluding(outliers) > GOOD_THRESHOLD
            or self.is_doubtful()
        ):
            return False
        return all(self._is_good_on(route, outliers) for route in routes)

    def is_doubtful(self) -> bool:
        """Return whether targets other than outliers give evidence against it."""
        return self.exceeds_doubt_threshold(self._overall.outliers(DOUBT_THRESHOLD))

    def exceeds_doubt_threshold(self, excluded: frozenset[TargetKey]) -> bool:
        """Return whether targets other than `excluded` give evidence against it."""
        return any(
            sums.cusum_excluding(excluded) >= DOUBT_THRESHOLD
            for sums in (self._overall, *self._routes.values())
        )

    def _is_good_on(self, route: RouteKey, outliers: frozenset[TargetKey]) -> bool:
        """Return whether the targets other than `outliers` did well on `route`."""
        sums = self._routes.get(route, EMPTY_SUMS)
        is_tried = any(target not in outliers for target in sums.ratio_sums)
        return is_tried and sums.ratio_sum_excluding(outliers) < ROUTE_GOOD_THRESHOLD

    def worst_route(self) -> RouteKey | None:
        """Return the route on which the candidate looks worst."""
        return max(self._routes, key=lambda r: self._routes[r].cusum, default=None)


def _log_likelihood_ratios(
    answers: dict[TargetKey, Tally], expected: float
) -> dict[TargetKey, float]:
    """Return the log likelihood ratio of bad to good for each target's answers."""
    if expected > MAX_EXPECTED_BAD_SHARE:
        return dict.fromkeys(answers, 0.0)
    bad_share = expected + MIN_BAD_EXCESS
    bad = math.log(bad_share / expected)
    good = math.log((1.0 - bad_share) / (1.0 - expected))
    return {
        target: tally.bad * bad + (tally.answered - tally.bad) * good
        for target, tally in answers.items()
    }
