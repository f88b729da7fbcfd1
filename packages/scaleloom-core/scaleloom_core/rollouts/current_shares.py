"""Which share of the answers of the current version is bad, by route and time."""

from collections.abc import Iterable

import msgspec

from scaleloom_core.rollouts.answers import NOTHING, RouteKey, Tally, sum_of

Answers = dict[RouteKey, Tally]

# Before anything is known: a target in fifty that fails is nothing unusual.
PRIOR_SHARE = 0.02
# Answers that the prior counts for; a route gets about as many in a window.
PRIOR_ANSWERS = 8.0
# What the current version's own targets may differ by, without being ill.
MARGIN = 0.03
# And more where it fails more often, since its share is known less sharply.
MARGIN_PART = 0.15
# Part of what was counted that is kept after each second with answers: 10 s.
KEPT_PART = 0.9


class CurrentShares(msgspec.Struct):
    """
    The bad share of the current version over the last ten seconds or so.

    Without new answers it stays as it was: once everything is sent to the
    version on trial, the last that is known of the other is compared with.
    """

    _answered: dict[RouteKey, float] = msgspec.field(default_factory=dict)
    _bad: dict[RouteKey, float] = msgspec.field(default_factory=dict)

    def note(self, answers: Answers) -> None:
        """Take in the answers of a second."""
        if not answers:
            return
        for route in self._answered:
            self._answered[route] *= KEPT_PART
            self._bad[route] *= KEPT_PART
        for route, tally in answers.items():
            answered = self._answered.get(route, 0.0) + tally.answered
            self._answered[route] = answered
            self._bad[route] = self._bad.get(route, 0.0) + tally.bad

    def expected(
        self, windows: Iterable[Answers], routes: Iterable[RouteKey]
    ) -> dict[RouteKey, float]:
        """
        Return the bad share that a good version has at most, by route.

        Parameters
        ----------
        windows : iterable of dict of RouteKey to Tally
            Answers of the current version about the same time. Of several
            windows, that counts in which most are bad, since a trouble that has
            just begun shows in the shortest first.
        """
        shares = {route: self._usual(route) for route in routes}
        for window in windows:
            whole = _share(sum_of(window.values()), PRIOR_SHARE)
            for route, share in shares.items():
                now = window.get(route, NOTHING)
                prior = max(self._usual(route), whole)
                shares[route] = max(share, _share(now, prior))
        return {
            route: share * (1.0 + MARGIN_PART) + MARGIN
            for route, share in shares.items()
        }

    def _usual(self, route: RouteKey) -> float:
        """Return the share of the last ten seconds."""
        bad = self._bad.get(route, 0.0) + PRIOR_SHARE * PRIOR_ANSWERS
        return bad / (self._answered.get(route, 0.0) + PRIOR_ANSWERS)


def _share(tally: Tally, prior: float) -> float:
    """Return the bad share, drawn towards `prior` where there are few answers."""
    return (tally.bad + prior * PRIOR_ANSWERS) / (tally.answered + PRIOR_ANSWERS)
