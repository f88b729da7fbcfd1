"""Detects answers that are much slower than the current version's baseline."""

import math

import msgspec

# A bad version is several times slower. Healthy targets differ by a third, and
# queues add as much.
MIN_SLOW_RATIO = 2.2
# Upper limit of the ratio on routes whose times vary more.
MAX_SLOW_RATIO = 3.0
SLOW_DEVIATIONS = 3.0
# No answer counts as slow until the baseline of its route has this many samples.
MIN_SAMPLES = 3
# The baseline adapts to a general slow-down after about twenty answers.
SAMPLE_WEIGHT = 0.05
# In logarithms. Limits the effect of one very late answer to that of a slow one.
MAX_STEP = math.log(MAX_SLOW_RATIO)
# Standard deviation of the logarithm before it is known: about a third.
INITIAL_DEVIATION = 0.3
MAX_ROUTES = 256


class Baseline(msgspec.Struct):
    """Moving mean and variance of the logarithms of one route's times."""

    mean: float
    variance: float = INITIAL_DEVIATION**2
    samples: int = 1

    def record(self, value: float) -> None:
        """Record the logarithm of one time."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self.samples)
        step = min(MAX_STEP, max(-MAX_STEP, value - self.mean))
        self.mean += weight * step
        self.variance += SAMPLE_WEIGHT * (step * step - self.variance)

    @property
    def slow_threshold(self) -> float:
        """Return the logarithm from which on an answer counts as slow."""
        deviations = SLOW_DEVIATIONS * math.sqrt(self.variance)
        minimum, maximum = math.log(MIN_SLOW_RATIO), math.log(MAX_SLOW_RATIO)
        return self.mean + min(maximum, max(minimum, deviations))


class AnswerTimings(msgspec.Struct, frozen=True):
    """
    Times of one answer; None where a time does not depend on the version.

    Parameters
    ----------
    first_byte_s : float or None
        Time from sending the request to the first byte, in seconds. None if the
        prompt had to be processed first or the target is cold.
    pace_s : float or None
        For a plain answer, the time from sending the request to the end of the
        answer. For a stream, the time per byte between its first events and
        later ones. In seconds.
    """

    first_byte_s: float | None = None
    pace_s: float | None = None


NO_TIMINGS = AnswerTimings()


class RouteBaselines(msgspec.Struct):
    """Baselines of one kind of time, by route, for the current version."""

    _routes: dict[int, Baseline] = msgspec.field(default_factory=dict)

    def record_current(self, route: int, duration_s: float) -> None:
        """Record the time of one answer of the current version."""
        if not 0.0 < duration_s < math.inf:
            return
        value = math.log(duration_s)
        baseline = self._routes.pop(route, None)
        if baseline is None:
            baseline = Baseline(value)
        else:
            baseline.record(value)
        self._routes[route] = baseline
        if len(self._routes) > MAX_ROUTES:
            del self._routes[next(iter(self._routes))]

    def is_slow(self, route: int, duration_s: float) -> bool:
        """
        Return whether `duration_s` is several times the baseline of `route`.

        Always False while the route has too few samples.
        """
        baseline = self._routes.get(route)
        if baseline is None or baseline.samples < MIN_SAMPLES or duration_s <= 0.0:
            return False
        return math.log(duration_s) >= baseline.slow_threshold


class TimingBaselines(msgspec.Struct):
    """Baselines of the current version's answer times, by route."""

    first_byte: RouteBaselines = msgspec.field(default_factory=RouteBaselines)
    pace: RouteBaselines = msgspec.field(default_factory=RouteBaselines)

    def record_current(self, route: int, times: AnswerTimings) -> None:
        """Record the times of one answer of the current version."""
        for baselines, value in self._pairs(times):
            baselines.record_current(route, value)

    def is_slow(self, route: int, times: AnswerTimings) -> bool:
        """Return whether an answer was several times slower in any of its times."""
        return any(
            baselines.is_slow(route, value) for baselines, value in self._pairs(times)
        )

    def _pairs(self, times: AnswerTimings) -> list[tuple[RouteBaselines, float]]:
        """Return each known time of an answer with its baselines."""
        pairs = ((self.first_byte, times.first_byte_s), (self.pace, times.pace_s))
        return [(baselines, value) for baselines, value in pairs if value is not None]
