"""Counts of how requests fared, by route and, on trial, by target."""

from collections.abc import Iterable
from typing import Annotated

import msgspec

RouteKey = int
TargetKey = int
# No fleet gives as many answers in a roll-out; sums of such counts can be sent.
MOST_COUNTED = 2**32
Count = Annotated[int, msgspec.Meta(ge=0, le=MOST_COUNTED)]

# A service has some routes and tens of targets on trial; what is beyond shares.
MOST_ROUTES = 32
MOST_TARGETS = 64


class Tally(msgspec.Struct, array_like=True, frozen=True):
    """
    How some requests fared.

    Parameters
    ----------
    answered : int
        All that ended at a target, the bad ones included.
    bad : int
        Those that failed, broke off or came much slower than is usual at the
        current version.
    """

    answered: Count = 0
    bad: Count = 0

    def __post_init__(self) -> None:
        """
        Check that no more were bad than there were.

        Raises
        ------
        ValueError
            If more were bad; what tells so is not read.
        """
        if self.bad > self.answered:
            raise ValueError("more bad answers than answers")

    def plus(self, other: "Tally") -> "Tally":
        """Return both together, as far as may be counted."""
        answered = min(self.answered + other.answered, MOST_COUNTED)
        return Tally(answered, min(self.bad + other.bad, MOST_COUNTED))


NOTHING = Tally()


def sum_of(tallies: Iterable[Tally]) -> Tally:
    """Return all `tallies` together."""
    answered = bad = 0
    for tally in tallies:
        answered += tally.answered
        bad += tally.bad
    return Tally(answered, bad)


def joined(tables: Iterable[dict[RouteKey, Tally]]) -> dict[RouteKey, Tally]:
    """Return the tallies of several tables together."""
    whole: dict[RouteKey, Tally] = {}
    for table in tables:
        for route, tally in table.items():
            whole[route] = whole.get(route, NOTHING).plus(tally)
    return whole


class SeenAnswers(msgspec.Struct, array_like=True, frozen=True):
    """
    What one router or group saw since it last told.

    Parameters
    ----------
    current : dict of RouteKey to Tally
        At targets of the current version.
    candidate : dict of RouteKey to dict of TargetKey to Tally
        At each target of the version on trial.
    """

    current: dict[int, Tally] = {}
    candidate: dict[int, dict[int, Tally]] = {}

    def candidate_tallies(self) -> Iterable[Tally]:
        """Return the tallies of the version on trial."""
        return (tally for by in self.candidate.values() for tally in by.values())


class BoundedKeys(msgspec.Struct):
    """A limited number of keys; one that comes later shares that of another."""

    most: int
    _known: dict[int, int] = msgspec.field(default_factory=dict)
    _order: list[int] = msgspec.field(default_factory=list)

    def slot(self, key: int) -> int:
        """Return the key under which `key` is counted."""
        if key in self._known:
            return key
        if len(self._order) < self.most:
            self._known[key] = len(self._order)
            self._order.append(key)
            return key
        return self._order[key % self.most]


class AnswerCounts(msgspec.Struct):
    """Tallies that grow, with a bounded number of routes and targets."""

    current: dict[RouteKey, Tally] = msgspec.field(default_factory=dict)
    candidate: dict[RouteKey, dict[TargetKey, Tally]] = msgspec.field(
        default_factory=dict
    )
    _routes: BoundedKeys = msgspec.field(
        default_factory=lambda: BoundedKeys(MOST_ROUTES)
    )
    _targets: BoundedKeys = msgspec.field(
        default_factory=lambda: BoundedKeys(MOST_TARGETS)
    )

    def add_current(self, route: RouteKey, tally: Tally) -> None:
        """Count answers of the current version."""
        slot = self._routes.slot(route)
        self.current[slot] = self.current.get(slot, NOTHING).plus(tally)

    def add_candidate(self, route: RouteKey, target: TargetKey, tally: Tally) -> None:
        """Count answers of one target of the candidate."""
        by_target = self.candidate.setdefault(self._routes.slot(route), {})
        slot = self._targets.slot(target)
        by_target[slot] = by_target.get(slot, NOTHING).plus(tally)

    def add(self, seen: SeenAnswers) -> None:
        """Count all of `seen`."""
        for route, tally in seen.current.items():
            self.add_current(route, tally)
        for route, by_target in seen.candidate.items():
            for target, tally in by_target.items():
                self.add_candidate(route, target, tally)

    def seen(self) -> SeenAnswers:
        """Return a copy of what was counted."""
        candidate = {route: dict(by) for route, by in self.candidate.items()}
        return SeenAnswers(dict(self.current), candidate)

    def empty_copy(self) -> "AnswerCounts":
        """Return counts of nothing under the same keys."""
        return AnswerCounts(_routes=self._routes, _targets=self._targets)


class UntoldAnswers(msgspec.Struct):
    """Answers that peers have not been told of yet."""

    _counts: AnswerCounts = msgspec.field(default_factory=AnswerCounts)

    def note_current(self, route: RouteKey, tally: Tally) -> None:
        """Count answers of the current version."""
        self._counts.add_current(route, tally)

    def note_candidate(self, route: RouteKey, target: int, tally: Tally) -> None:
        """Count answers of one target of the candidate."""
        self._counts.add_candidate(route, target, tally)

    def note_all(self, seen: SeenAnswers) -> None:
        """Count what another router told, to pass it on."""
        self._counts.add(seen)

    def take(self) -> SeenAnswers:
        """Return what was counted since this was last called."""
        counts, self._counts = self._counts, AnswerCounts()
        return SeenAnswers(counts.current, counts.candidate)
