"""The share of bad answers of the current version, by route and time."""

from collections.abc import Iterable

import msgspec

from scaleloom_core.rollouts.answer_counts import (
    EMPTY_TALLY,
    RouteKey,
    Tally,
    total_tally,
)

Answers = dict[RouteKey, Tally]

# Prior share of bad answers: one failure in fifty is assumed to be normal.
PRIOR_SHARE = 0.02
# Weight of the prior; a route gets about as many answers in a window.
PRIOR_ANSWERS = 8.0
# Healthy targets of the current version differ by this much among themselves.
ABSOLUTE_MARGIN = 0.03
# Relative part, since the estimate is less precise where more answers are bad.
RELATIVE_MARGIN = 0.15
# Decay per second with answers; answers of about the last 10 s count.
DECAY_FACTOR = 0.9


class BaselineBadShares(msgspec.Struct):
    """
    The share of bad answers of the current version over about ten seconds.

    The share retains its last value while there are no new answers: once all
    traffic goes to the candidate, it is compared with that value.
    """

    _answered: dict[RouteKey, float] = msgspec.field(default_factory=dict)
    _bad: dict[RouteKey, float] = msgspec.field(default_factory=dict)

    def record(self, answers: Answers) -> None:
        """Record the answers of one second."""
        if not answers:
            return
        for route in self._answered:
            self._answered[route] *= DECAY_FACTOR
            self._bad[route] *= DECAY_FACTOR
        for route, tally in answers.items():
            answered = self._answered.get(route, 0.0) + tally.answered
            self._answered[route] = answered
            self._bad[route] = self._bad.get(route, 0.0) + tally.bad

    def max_good_shares(
        self, windows: Iterable[Answers], routes: Iterable[RouteKey]
    ) -> dict[RouteKey, float]:
        """
        Return the highest share of bad answers of a good version, by route.

        Parameters
        ----------
        windows : iterable of dict of RouteKey to Tally
            Answers of the current version about the same time. The window with
            the highest share counts, since a fault that has just begun shows in
            the shortest window first.
        """
        shares = {route: self._recent_share(route) for route in routes}
        for window in windows:
            overall = _share(total_tally(window.values()), PRIOR_SHARE)
            for route, share in shares.items():
                counted = window.get(route, EMPTY_TALLY)
                prior = max(self._recent_share(route), overall)
                shares[route] = max(share, _share(counted, prior))
        return {
            route: share * (1.0 + RELATIVE_MARGIN) + ABSOLUTE_MARGIN
            for route, share in shares.items()
        }

    def _recent_share(self, route: RouteKey) -> float:
        """Return the share over about the last ten seconds."""
        bad = self._bad.get(route, 0.0) + PRIOR_SHARE * PRIOR_ANSWERS
        return bad / (self._answered.get(route, 0.0) + PRIOR_ANSWERS)


def _share(tally: Tally, prior: float) -> float:
    """Return the share of bad answers, drawn towards `prior` if answers are few."""
    return (tally.bad + prior * PRIOR_ANSWERS) / (tally.answered + PRIOR_ANSWERS)
