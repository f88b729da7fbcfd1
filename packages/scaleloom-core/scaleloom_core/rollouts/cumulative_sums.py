"""Sums of evidence over targets, with and without the worst of them."""

import heapq
from collections.abc import Collection

import msgspec

from scaleloom_core.rollouts.answers import TargetKey

# One target in eight may be grey or gone without a fault of the version.
TARGETS_PER_LEFT_OUT = 8


def left_out(targets: int) -> int:
    """Return how many of so many targets may be bad on their own."""
    return 1 + targets // TARGETS_PER_LEFT_OUT if targets > 1 else 0


class CumulativeSums(msgspec.Struct, frozen=True):
    """
    Page's cumulative sums of log likelihood ratios, and Wald's.

    Page's never falls below zero, so that a change is seen as soon however long
    all was well before. There is one over all targets and, for each of them,
    one over all others.

    Parameters
    ----------
    whole : float
        Page's sum over all targets.
    without : dict of TargetKey to float
        Page's sum over all targets but this one.
    plain : dict of TargetKey to float
        Wald's sum of each target: all its evidence since the beginning.
    """

    whole: float = 0.0
    without: dict[TargetKey, float] = {}
    plain: dict[TargetKey, float] = {}

    def plus(self, gains: dict[TargetKey, float]) -> "CumulativeSums":
        """Return the sums with the evidence of each target in one more second."""
        total = sum(gains.values())
        without = {}
        for target, before in self.without.items():
            after = before + total - gains.get(target, 0.0)
            without[target] = after if after > 0.0 else 0.0
        plain = dict(self.plain)
        for target, gain in gains.items():
            if target not in plain:
                without[target] = max(0.0, self.whole + total - gain)
            plain[target] = plain.get(target, 0.0) + gain
        return CumulativeSums(max(0.0, self.whole + total), without, plain)

    def rest(self, count: int) -> float:
        """Return Page's sum without the `count` targets that add most to it."""
        added = [self.whole - without for without in self.without.values()]
        return self.whole - sum(heapq.nlargest(count, added))

    def rest_without(self, targets: Collection[TargetKey]) -> float:
        """Return Page's sum without these targets."""
        added = (self.whole - self.without.get(t, self.whole) for t in targets)
        return self.whole - sum(added)

    def plain_without(self, targets: Collection[TargetKey]) -> float:
        """Return Wald's sum without these targets."""
        return sum(value for t, value in self.plain.items() if t not in targets)

    def suspects(self, least: float) -> frozenset[TargetKey]:
        """
        Return the worst targets, as many as may be bad on their own.

        Parameters
        ----------
        least : float
            Wald's sum from which on a target is taken for a bad one.
        """
        worst = heapq.nlargest(
            left_out(len(self.plain)), self.plain, key=self.plain.__getitem__
        )
        return frozenset(target for target in worst if self.plain[target] >= least)
