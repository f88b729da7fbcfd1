"""What is written down of a roll-out, and what a later order makes of it."""

import msgspec

from scaleloom_core.ids import Version
from scaleloom_core.rollouts.evidence import SeenAnswers
from scaleloom_core.rollouts.stages import Stage, Standing


class FormerVersions(msgspec.Struct, frozen=True):
    """
    What former roll-outs of a service leave to the next one.

    Parameters
    ----------
    replaced, rejected : frozenset of Version
        As in `Standing`.
    """

    replaced: frozenset[Version] = frozenset()
    rejected: frozenset[Version] = frozenset()

    def without(self, version: Version) -> "FormerVersions":
        """Return what holds once `version` is ordered again."""
        ordered = {version}
        return FormerVersions(self.replaced - ordered, self.rejected - ordered)


class Decision(msgspec.Struct, array_like=True, frozen=True):
    """
    One record of the log of decisions.

    Parameters
    ----------
    version : Version
        The one that the order names.
    totals : SeenAnswers
        All answers that its writer knew of.
    """

    standing: Standing
    version: Version
    totals: SeenAnswers = SeenAnswers()

    def left_to_next(self) -> FormerVersions:
        """Return what this leaves to a later order, which ends it if it runs."""
        replaced, rejected = self.standing.replaced, self.standing.rejected
        if self.standing.stage is not Stage.DONE:
            rejected |= {self.version}
        return FormerVersions(replaced, rejected)
