"""Cumulative sums of log likelihood ratios, with and without single targets."""

import heapq
from collections.abc import Collection

import msgspec

from scaleloom_core.rollouts.answer_counts import TargetKey

# One target in eight may be faulty or absent without a fault of the version.
TARGETS_PER_OUTLIER = 8


def max_outliers(targets: int) -> int:
    """Return how many of `targets` may be bad without a fault of the version."""
    return 1 + targets // TARGETS_PER_OUTLIER if targets > 1 else 0


class CumulativeSums(msgspec.Struct, frozen=True):
    """
    Cumulative sums of log likelihood ratios, by Page and by Wald.

    Page's cumulative sum (CUSUM) never falls below zero, so that a change is
    detected equally soon after any period of good answers. There is one sum over
    all targets and, for each target, one over all other targets.

    Parameters
    ----------
    cusum : float
        Page's sum over all targets.
    cusum_without : dict of TargetKey to float
        Page's sum over all targets but this one.
    ratio_sums : dict of TargetKey to float
        Wald's sum for each target: all its evidence since the start.
    """

    cusum: float = 0.0
    cusum_without: dict[TargetKey, float] = {}
    ratio_sums: dict[TargetKey, float] = {}

    def plus(self, ratios: dict[TargetKey, float]) -> "CumulativeSums":
        """Return the sums after one more second with these ratios by target."""
        total = sum(ratios.values())
        cusum_without = {}
        for target, before in self.cusum_without.items():
            after = before + total - ratios.get(target, 0.0)
            cusum_without[target] = after if after > 0.0 else 0.0
        ratio_sums = dict(self.ratio_sums)
        for target, ratio in ratios.items():
            if target not in ratio_sums:
                cusum_without[target] = max(0.0, self.cusum + total - ratio)
            ratio_sums[target] = ratio_sums.get(target, 0.0) + ratio
        return CumulativeSums(max(0.0, self.cusum + total), cusum_without, ratio_sums)

    def trimmed_cusum(self, count: int) -> float:
        """Return Page's sum without the `count` targets that contribute most."""
        contributions = [
            self.cusum - without for without in self.cusum_without.values()
        ]
        return self.cusum - sum(heapq.nlargest(count, contributions))

    def cusum_excluding(self, targets: Collection[TargetKey]) -> float:
        """Return Page's sum without these targets."""
        contributions = (
            self.cusum - self.cusum_without.get(target, self.cusum)
            for target in targets
        )
        return self.cusum - sum(contributions)

    def ratio_sum_excluding(self, targets: Collection[TargetKey]) -> float:
        """Return Wald's sum over all targets but these."""
        return sum(
            value for target, value in self.ratio_sums.items() if target not in targets
        )

    def outliers(self, threshold: float) -> frozenset[TargetKey]:
        """
        Return the worst targets, at most as many as `max_outliers` allows.

        Parameters
        ----------
        threshold : float
            Targets whose Wald's sum is lower do not count as outliers.
        """
        worst = heapq.nlargest(
            max_outliers(len(self.ratio_sums)),
            self.ratio_sums,
            key=self.ratio_sums.__getitem__,
        )
        return frozenset(
            target for target in worst if self.ratio_sums[target] >= threshold
        )
