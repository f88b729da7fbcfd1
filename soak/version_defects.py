"""Defects of a version of the targets' software, for randomly drawn roll-outs."""

import random
from dataclasses import dataclass
from enum import Enum

FAILING_ANSWER_SHARE = 0.4
SLOWDOWN_FACTOR = 4.0
# Requests a second at one target. The trial stage stays below, full traffic above.
LOAD_THRESHOLD_PER_S = 12.0
LATER_SHARE_RANGE = (0.2, 0.9)


class DefectKind(Enum):
    """What is wrong with the answers of a version."""

    NONE = "good"
    FAILING = "fails"
    SLOW = "slow"


class DefectCondition(Enum):
    """When or where a defect shows."""

    IMMEDIATELY = "at once"
    LATER = "later"
    UNDER_LOAD = "under load"
    ON_ONE_ROUTE = "on one route"


@dataclass
class VersionDefect:
    """
    The defect of one version.

    Parameters
    ----------
    kind : DefectKind
        What is wrong with the answers.
    condition : DefectCondition
        When or where the defect shows.
    starts_s : float
        When the defect starts to show, on trio's clock.
    path_prefix : str
        The paths on which the defect shows; empty for all.
    """

    kind: DefectKind
    condition: DefectCondition
    starts_s: float = 0.0
    path_prefix: str = ""

    def affects(self, path: str, requests_per_s: float, now_s: float) -> bool:
        """Return whether the defect shows at a target with this request rate."""
        if self.kind is DefectKind.NONE or now_s < self.starts_s:
            return False
        if (
            self.condition is DefectCondition.UNDER_LOAD
            and requests_per_s < LOAD_THRESHOLD_PER_S
        ):
            return False
        return path.startswith(self.path_prefix)


def draw_version_defect(rng: random.Random, paths: tuple[str, ...]) -> VersionDefect:
    """Return a random defect; a third of the versions have none."""
    kind = rng.choice(list(DefectKind))
    condition = (
        rng.choice(list(DefectCondition)) if kind is not DefectKind.NONE else None
    )
    defect = VersionDefect(kind, condition or DefectCondition.IMMEDIATELY)
    if condition is DefectCondition.ON_ONE_ROUTE:
        defect.path_prefix = f"/{rng.choice(paths)}/"
    return defect
