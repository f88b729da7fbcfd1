"""
Outcomes of requests by target, counted over all routers of a fleet.

A router of a large fleet sends too little to each target to judge the target
alone: 68 routers with 20 requests a second each, in front of 77 targets, send one
request to each target in four seconds. Together they send 18 a second.
"""

import msgspec

from scaleloom_core.fleet_load import TargetKey

# More than the targets that a group sends to in one report interval, at 12 bytes
# each.
MAX_TARGETS = 2_000


class Outcomes(msgspec.Struct, array_like=True, frozen=True):
    """
    Outcomes at one target since the last report.

    Parameters
    ----------
    answered, failed : int
        Requests that were answered, and that failed.
    started : int
        Answers that began.
    delay_sum_pct : int
        The sum of their delays, each in percent of its route's baseline.
    """

    answered: int = 0
    failed: int = 0
    started: int = 0
    delay_sum_pct: int = 0

    def plus(self, other: "Outcomes") -> "Outcomes":
        """Return the sum of both."""
        return Outcomes(
            self.answered + other.answered,
            self.failed + other.failed,
            self.started + other.started,
            self.delay_sum_pct + other.delay_sum_pct,
        )


ONE_ANSWERED = Outcomes(answered=1)
ONE_FAILED = Outcomes(failed=1)


class OutcomeCounts(msgspec.Struct):
    """Outcomes that have not been reported to peers yet."""

    _counts: dict[TargetKey, Outcomes] = msgspec.field(default_factory=dict)

    def add(self, target: TargetKey, outcomes: Outcomes) -> None:
        """Add outcomes of `target`; outcomes of targets above the limit are dropped."""
        known = self._counts.get(target)
        if known is None and len(self._counts) >= MAX_TARGETS:
            return
        self._counts[target] = known.plus(outcomes) if known else outcomes

    def merge(self, counts: dict[TargetKey, Outcomes]) -> None:
        """Add the outcomes that another router reported."""
        for target, outcomes in counts.items():
            self.add(target, outcomes)

    def pop_all(self) -> dict[TargetKey, Outcomes]:
        """Return and reset the counts."""
        counts, self._counts = self._counts, {}
        return counts
