"""The sequential test of a version on trial against the current one."""

import math
from collections.abc import Iterable

import msgspec

from scaleloom_core.rollouts.answers import RouteKey, Tally, TargetKey
from scaleloom_core.rollouts.cumulative_sums import CumulativeSums, left_out
from scaleloom_core.rollouts.current_shares import CurrentShares

# A bad version has so much more of its answers bad, at least.
BAD_EXCESS = 0.25
# Where the current version fails as often, its answers say nothing of another.
MOST_EXPECTED = 0.6
# Log likelihood ratios. The error rates are in docs/design/rollout-verdict.md.
BAD_SUM = 8.0
# The targets that are not left out must show it as well: clearly, or less clearly
# where they have a fair part in it.
BAD_REST = 6.0
BAD_FAIR_REST = 4.5
FAIR_PART = 0.4
# A single target may be ill; what it shows must be clearer.
BAD_ALONE = 16.0
GOOD_SUM = -4.0
# On a route of which a short trial has a few answers: one bad and three good.
GOOD_ROUTE_SUM = 1.0
# No promotion while a sum is as far from zero as this.
SUSPICIOUS_SUM = 3.0
# Half of the bad answers after which the roll-back's time runs.
MOST_EXCESS = 25.0
# Of these, those that more than one target must have given.
LEAST_EXCESS_BESIDES = 12.5
# A target that has not answered for so long takes no part at the moment.
ACTIVE_S = 5


NO_SUMS = CumulativeSums()


class Comparison(msgspec.Struct):
    """
    The sums of evidence: on each route, over all routes, and of bad answers.

    Parameters
    ----------
    shares : CurrentShares
        What the current version's answers were like, up to the settled seconds.
    second : int
        The second of the last answers.
    heard : dict of TargetKey to int
        The second in which each target answered last.
    """

    shares: CurrentShares = msgspec.field(default_factory=CurrentShares)
    second: int = 0
    heard: dict[TargetKey, int] = msgspec.field(default_factory=dict)
    _routes: dict[RouteKey, CumulativeSums] = msgspec.field(default_factory=dict)
    _all: CumulativeSums = NO_SUMS
    _excess: CumulativeSums = NO_SUMS

    def copy(self) -> "Comparison":
        """Return a comparison that may be added to on its own."""
        return Comparison(
            self.shares,
            self.second,
            dict(self.heard),
            dict(self._routes),
            self._all,
            self._excess,
        )

    def note_current(self, answers: dict[RouteKey, Tally]) -> None:
        """Take in a second of the current version that is over."""
        self.shares.note(answers)

    def add(
        self,
        answers: dict[RouteKey, dict[TargetKey, Tally]],
        windows: Iterable[dict[RouteKey, Tally]],
        second: int,
    ) -> None:
        """
        Compare a second of the candidate's answers.

        Parameters
        ----------
        windows : iterable of dict of RouteKey to Tally
            The current version's answers about the same time, as for
            `CurrentShares.expected`.
        """
        if not answers:
            return
        self.second = max(self.second, second)
        gains: dict[TargetKey, float] = {}
        excess: dict[TargetKey, float] = {}
        for route, share in self.shares.expected(windows, answers).items():
            on_route = _gains(answers[route], share)
            self._routes[route] = self._routes.get(route, NO_SUMS).plus(on_route)
            for target, tally in answers[route].items():
                gains[target] = gains.get(target, 0.0) + on_route[target]
                more = tally.bad - share * tally.answered
                excess[target] = excess.get(target, 0.0) + more
        self.heard.update(dict.fromkeys(gains, second))
        self._all = self._all.plus(gains)
        self._excess = self._excess.plus(excess)

    def _active(self) -> int:
        """Return how many targets answered lately."""
        since = self.second - ACTIVE_S
        return sum(heard > since for heard in self.heard.values())

    def is_bad(self) -> bool:
        """Return whether the candidate is bad, on one route or over all."""
        if self._is_valve_open():
            return True
        return any(self._is_bad(sums) for sums in (self._all, *self._routes.values()))

    def _is_bad(self, sums: CumulativeSums) -> bool:
        """Return whether these sums say so, whichever targets are left out."""
        if sums.whole < BAD_SUM:
            return False
        if len(self.heard) < 2:
            return sums.whole >= BAD_ALONE
        rest = sums.rest(max(1, left_out(self._active())))
        is_fair = rest >= BAD_FAIR_REST and rest >= FAIR_PART * sums.whole
        return rest >= BAD_REST or is_fair

    def _is_valve_open(self) -> bool:
        """Return whether too many bad answers came, whichever targets gave them."""
        excess = self._excess
        return excess.whole >= MOST_EXCESS and excess.rest(1) >= LEAST_EXCESS_BESIDES

    def is_good(self, routes: Iterable[RouteKey]) -> bool:
        """
        Return whether the candidate is good over all, and nothing looks ill.

        Parameters
        ----------
        routes : iterable of RouteKey
            Each must have been tried and not speak against the candidate.
        """
        suspects = self._all.suspects(SUSPICIOUS_SUM)
        if self._all.plain_without(suspects) > GOOD_SUM or self.is_doubtful():
            return False
        return all(self._is_good_on(route, suspects) for route in routes)

    def is_doubtful(self) -> bool:
        """Return whether the targets that aren't ill speak against the candidate."""
        suspects = self._all.suspects(SUSPICIOUS_SUM)
        return any(
            sums.rest_without(suspects) >= SUSPICIOUS_SUM
            for sums in (self._all, *self._routes.values())
        )

    def _is_good_on(self, route: RouteKey, suspects: frozenset[TargetKey]) -> bool:
        """Return whether the targets but `suspects` did well on `route`."""
        sums = self._routes.get(route, NO_SUMS)
        is_tried = any(target not in suspects for target in sums.plain)
        return is_tried and sums.plain_without(suspects) < GOOD_ROUTE_SUM

    def worst_route(self) -> RouteKey | None:
        """Return the route on which the candidate looks worst."""
        return max(self._routes, key=lambda r: self._routes[r].whole, default=None)


def _gains(answers: dict[TargetKey, Tally], expected: float) -> dict[TargetKey, float]:
    """Return the log likelihood ratio of each target's answers, bad over good."""
    if expected > MOST_EXPECTED:
        return dict.fromkeys(answers, 0.0)
    bad_share = expected + BAD_EXCESS
    bad = math.log(bad_share / expected)
    well = math.log((1.0 - bad_share) / (1.0 - expected))
    return {
        target: tally.bad * bad + (tally.answered - tally.bad) * well
        for target, tally in answers.items()
    }
