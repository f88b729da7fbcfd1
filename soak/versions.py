"""How a version of a target's software is bad, for drawn roll-outs."""

import random
from dataclasses import dataclass
from enum import Enum

FAILING_SHARE = 0.4
SLOWDOWN = 4.0
# Requests a second at one target: a trial brings fewer, the whole traffic more.
LOADED_PER_S = 12.0
LATER_PARTS = (0.2, 0.9)


class Badness(Enum):
    """What is wrong with the answers of a version."""

    NONE = "good"
    FAILING = "fails"
    SLOW = "slow"


class Moment(Enum):
    """When it is wrong."""

    AT_ONCE = "at once"
    LATER = "later"
    UNDER_LOAD = "under load"
    ONE_ROUTE = "on one route"


@dataclass
class VersionFault:
    """
    What is wrong with one version.

    Parameters
    ----------
    begins_s : float
        When it begins, on the runtime's clock.
    path_prefix : str
        The route on which it shows; all if it is empty.
    """

    badness: Badness
    moment: Moment
    begins_s: float = 0.0
    path_prefix: str = ""

    def strikes(self, path: str, per_s: float, now_s: float) -> bool:
        """Return whether a request shows it, at a target with `per_s` requests."""
        if self.badness is Badness.NONE or now_s < self.begins_s:
            return False
        if self.moment is Moment.UNDER_LOAD and per_s < LOADED_PER_S:
            return False
        return path.startswith(self.path_prefix)


def draw_fault(draw: random.Random, paths: tuple[str, ...]) -> VersionFault:
    """Return what is wrong with a version; with a third of them nothing is."""
    badness = draw.choice(list(Badness))
    moment = draw.choice(list(Moment)) if badness is not Badness.NONE else None
    fault = VersionFault(badness, moment or Moment.AT_ONCE)
    if moment is Moment.ONE_ROUTE:
        fault.path_prefix = f"/{draw.choice(paths)}/"
    return fault
