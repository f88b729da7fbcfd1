"""How long targets take to begin their answers, against what is usual."""

import math

import msgspec

# One answer that waited for a long prompt says little.
LONGEST_RATIO = 8.0
USUAL_WEIGHT = 0.05
DELAY_WEIGHT = 0.12
DELAY_SAMPLES = 4
# A target that is offered little because it was slow is soon tried again.
FORGOTTEN_S = 3.0
# Runners of one service differ by a third without being ill; queues add as much.
NOTICED_RATIO = 2.0
PERCENT = 100


class UsualDelays(msgspec.Struct):
    """The time from sending to the first bytes of an answer, by route."""

    _mean_s: dict[str, float] = msgspec.field(default_factory=dict)

    def ratio(self, route: str, delay_s: float) -> float:
        """Return `delay_s` over what is usual on `route`, and take it in."""
        mean_s = self._mean_s.get(route)
        if mean_s is None or mean_s <= 0.0:
            self._mean_s[route] = delay_s
            return 1.0
        ratio = min(LONGEST_RATIO, delay_s / mean_s)
        self._mean_s[route] = mean_s * (1.0 + USUAL_WEIGHT * (ratio - 1.0))
        return ratio


class DelayRatio(msgspec.Struct):
    """
    A moving mean of one target's delays over the usual, which is 1.

    It returns to 1 by itself while nothing is heard of the target.
    """

    samples: int = 0
    _excess: float = 0.0
    _noted_s: float = 0.0

    def note(self, count: int, mean_ratio: float, now_s: float) -> None:
        """Take in how some answers compared with the usual."""
        excess = self.excess(now_s)
        weight = 1.0 - (1.0 - DELAY_WEIGHT) ** count
        self._excess = excess + (mean_ratio - 1.0 - excess) * weight
        self._noted_s = now_s
        self.samples += count

    @property
    def may_be_slow(self) -> bool:
        """Return whether the target was slow when it was heard of last."""
        return self._excess >= NOTICED_RATIO - 1.0

    def excess(self, now_s: float) -> float:
        """Return by how many times the usual an answer takes longer."""
        return self._excess * math.exp((self._noted_s - now_s) / FORGOTTEN_S)

    def ratio(self, now_s: float) -> float:
        """Return how long an answer takes, over the usual."""
        if self.samples < DELAY_SAMPLES:
            return 1.0
        return max(0.0, 1.0 + self.excess(now_s))


def slowness(ratio: float, usual: float) -> float:
    """
    Return how many times slower than its peers a target is, or 1.

    Parameters
    ----------
    ratio : float
        Its delays over the usual ones of their routes.
    usual : float
        The same of its better peers; above 1 where all have turned slow.
    """
    relative = ratio / max(1.0, usual)
    return relative if relative >= NOTICED_RATIO else 1.0
