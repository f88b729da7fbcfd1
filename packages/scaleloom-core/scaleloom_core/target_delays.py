"""Time from sending a request to a target until its answer begins."""

import math

import msgspec

# Limits the effect of a single answer that had to wait for a long prompt.
MAX_RATIO = 8.0
BASELINE_WEIGHT = 0.05
DELAY_WEIGHT = 0.12
MIN_SAMPLES = 4
# Time constant. A slow target gets few requests, so its old delays must lose weight
# for it to be tried again soon.
DECAY_S = 3.0
# Targets of one service differ by a third without a fault, and queues add as much.
MIN_SLOW_RATIO = 2.0
PERCENT = 100


class BaselineDelays(msgspec.Struct):
    """Moving means of the time from sending to the first bytes, by route."""

    _mean_s: dict[str, float] = msgspec.field(default_factory=dict)

    def record_ratio(self, route: str, delay_s: float) -> float:
        """Return `delay_s` relative to the mean of `route`, and update the mean."""
        mean_s = self._mean_s.get(route)
        if mean_s is None or mean_s <= 0.0:
            self._mean_s[route] = delay_s
            return 1.0
        ratio = min(MAX_RATIO, delay_s / mean_s)
        self._mean_s[route] = mean_s * (1.0 + BASELINE_WEIGHT * (ratio - 1.0))
        return ratio


class DelayRatio(msgspec.Struct):
    """
    A moving mean of one target's delays relative to the baseline.

    The ratio decays to 1 while there are no new samples.
    """

    samples: int = 0
    _excess: float = 0.0
    _updated_s: float = 0.0

    def record(self, count: int, mean_ratio: float, now_s: float) -> None:
        """Record the mean ratio of `count` answers to the baseline."""
        excess = self.excess(now_s)
        weight = 1.0 - (1.0 - DELAY_WEIGHT) ** count
        self._excess = excess + (mean_ratio - 1.0 - excess) * weight
        self._updated_s = now_s
        self.samples += count

    @property
    def may_be_slow(self) -> bool:
        """Return whether the target was slow at its last sample."""
        return self._excess >= MIN_SLOW_RATIO - 1.0

    def excess(self, now_s: float) -> float:
        """Return the current ratio minus 1."""
        return self._excess * math.exp((self._updated_s - now_s) / DECAY_S)

    def ratio(self, now_s: float) -> float:
        """Return the current ratio, or 1 while there are too few samples."""
        if self.samples < MIN_SAMPLES:
            return 1.0
        return max(0.0, 1.0 + self.excess(now_s))


def slowness(ratio: float, baseline: float) -> float:
    """
    Return how many times slower than its peers a target is, or 1 if it is not slow.

    Parameters
    ----------
    ratio : float
        The target's delays relative to the baselines of their routes.
    baseline : float
        The same ratio of its better peers; above 1 if all targets have slowed down.
    """
    relative = ratio / max(1.0, baseline)
    return relative if relative >= MIN_SLOW_RATIO else 1.0
