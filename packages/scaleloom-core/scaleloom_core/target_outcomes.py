"""
How requests fared at targets, counted over all routers of a fleet.

A router of a large fleet sends too little to each target to judge it alone: 68
routers with 20 requests a second each, before 77 targets, send one request to
each target in four seconds. Together they send 18 a second.
"""

import msgspec

from scaleloom_core.fleet_load import TargetKey

# More than all targets of a group's requests in one round; 12 bytes each.
TARGET_LIMIT = 2_000


class Outcomes(msgspec.Struct, array_like=True, frozen=True):
    """
    What happened at one target since the last report.

    Parameters
    ----------
    answered, failed : int
        Requests that ended there.
    begun : int
        Answers that began there.
    delays_pct : int
        The sum of their delays, each in percent of the usual one of its route.
    """

    answered: int = 0
    failed: int = 0
    begun: int = 0
    delays_pct: int = 0

    def plus(self, other: "Outcomes") -> "Outcomes":
        """Return both together."""
        return Outcomes(
            self.answered + other.answered,
            self.failed + other.failed,
            self.begun + other.begun,
            self.delays_pct + other.delays_pct,
        )


ONE_ANSWERED = Outcomes(answered=1)
ONE_FAILED = Outcomes(failed=1)


class OutcomeCounts(msgspec.Struct):
    """Outcomes that peers have not been told yet."""

    _counts: dict[TargetKey, Outcomes] = msgspec.field(default_factory=dict)

    def note(self, target: TargetKey, outcomes: Outcomes) -> None:
        """Count what happened at `target`."""
        known = self._counts.get(target)
        if known is None and len(self._counts) >= TARGET_LIMIT:
            return
        self._counts[target] = known.plus(outcomes) if known else outcomes

    def note_all(self, counts: dict[TargetKey, Outcomes]) -> None:
        """Count what another router told."""
        for target, outcomes in counts.items():
            self.note(target, outcomes)

    def take(self) -> dict[TargetKey, Outcomes]:
        """Return what was counted since this was last called."""
        counts, self._counts = self._counts, {}
        return counts
