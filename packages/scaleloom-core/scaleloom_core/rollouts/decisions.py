"""Records of the decision log, and what a later order inherits from them."""

import msgspec

from scaleloom_core.ids import Version
from scaleloom_core.rollouts.evidence import AnswerTallies
from scaleloom_core.rollouts.stages import RolloutSnapshot, Stage


class InheritedVersions(msgspec.Struct, frozen=True):
    """
    What earlier roll-outs of a service pass on to the next one.

    Parameters
    ----------
    replaced, rejected : frozenset of Version
        As in `RolloutSnapshot`.
    """

    replaced: frozenset[Version] = frozenset()
    rejected: frozenset[Version] = frozenset()

    def excluding(self, version: Version) -> "InheritedVersions":
        """Return the inherited versions once `version` is ordered again."""
        excluded = {version}
        return InheritedVersions(self.replaced - excluded, self.rejected - excluded)


class Decision(msgspec.Struct, array_like=True, frozen=True):
    """
    One record of the decision log.

    Parameters
    ----------
    version : Version
        The version that the order names.
    totals : AnswerTallies
        All answers known to the router that wrote the record.
    """

    snapshot: RolloutSnapshot
    version: Version
    totals: AnswerTallies = AnswerTallies()

    def inherited_by_next(self) -> InheritedVersions:
        """Return what a later order inherits, which ends this one if it runs."""
        replaced, rejected = self.snapshot.replaced, self.snapshot.rejected
        if self.snapshot.stage is not Stage.DONE:
            rejected |= {self.version}
        return InheritedVersions(replaced, rejected)
