"""Whether an answer came much slower than is usual at the current version."""

import math

import msgspec

# A bad version is several times slower; targets differ by a third without being
# ill, and queues add as much.
LEAST_SLOW_RATIO = 2.2
# Where paces scatter more, more is needed, up to this.
MOST_SLOW_RATIO = 3.0
SPREADS = 3.0
# Until so many answers of a route are known, none counts as slow.
LEAST_KNOWN = 3
# Weight of one answer: what slows all targets is the usual after some twenty.
WEIGHT = 0.05
# Of the logarithm; one answer that hung moves the usual as little as a slow one.
LONGEST_STEP = math.log(MOST_SLOW_RATIO)
# Spread of the logarithm before it is known: a third more or less.
FIRST_SPREAD = 0.3
MOST_ROUTES = 256


class UsualPace(msgspec.Struct):
    """The mean and the spread of the logarithms of one route's paces."""

    mean: float
    variance: float = FIRST_SPREAD**2
    known: int = 1

    def note(self, value: float) -> None:
        """Take in one more."""
        self.known += 1
        weight = max(WEIGHT, 1.0 / self.known)
        step = min(LONGEST_STEP, max(-LONGEST_STEP, value - self.mean))
        self.mean += weight * step
        self.variance += WEIGHT * (step * step - self.variance)

    @property
    def slow_from(self) -> float:
        """Return the logarithm from which on an answer is slow."""
        spreads = SPREADS * math.sqrt(self.variance)
        least, most = math.log(LEAST_SLOW_RATIO), math.log(MOST_SLOW_RATIO)
        return self.mean + min(most, max(least, spreads))


class AnswerTimes(msgspec.Struct, frozen=True):
    """
    How long an answer took; None where that says nothing of the version.

    Parameters
    ----------
    begun_s : float or None
        From sending to the first byte, in seconds. Nothing is said where the
        prompt had to be read first or the target is cold.
    pace_s : float or None
        Of a plain answer, from sending to its end; of a stream, for each byte
        between its first events and later ones, in seconds.
    """

    begun_s: float | None = None
    pace_s: float | None = None


NO_TIMES = AnswerTimes()


class UsualPaces(msgspec.Struct):
    """One kind of time of the current version's answers, by route."""

    _routes: dict[int, UsualPace] = msgspec.field(default_factory=dict)

    def note_current(self, route: int, pace: float) -> None:
        """Take in an answer of the current version."""
        if not 0.0 < pace < math.inf:
            return
        value = math.log(pace)
        usual = self._routes.pop(route, None)
        if usual is None:
            usual = UsualPace(value)
        else:
            usual.note(value)
        self._routes[route] = usual
        if len(self._routes) > MOST_ROUTES:
            del self._routes[next(iter(self._routes))]

    def is_slow(self, route: int, pace: float) -> bool:
        """
        Return whether `pace` is several times the usual one of `route`.

        None is while the route is not known.
        """
        usual = self._routes.get(route)
        if usual is None or usual.known < LEAST_KNOWN or pace <= 0.0:
            return False
        return math.log(pace) >= usual.slow_from


class UsualTimes(msgspec.Struct):
    """How long answers of the current version usually take, by route."""

    begun: UsualPaces = msgspec.field(default_factory=UsualPaces)
    paces: UsualPaces = msgspec.field(default_factory=UsualPaces)

    def note_current(self, route: int, times: AnswerTimes) -> None:
        """Take in an answer of the current version."""
        for usual, value in self._pairs(times):
            usual.note_current(route, value)

    def is_slow(self, route: int, times: AnswerTimes) -> bool:
        """Return whether an answer began or went on several times as slowly."""
        return any(usual.is_slow(route, value) for usual, value in self._pairs(times))

    def _pairs(self, times: AnswerTimes) -> list[tuple[UsualPaces, float]]:
        """Return what is known of an answer, beside what is usual."""
        pairs = ((self.begun, times.begun_s), (self.paces, times.pace_s))
        return [(usual, value) for usual, value in pairs if value is not None]
