"""Counts of answers by route and, for the version on trial, by target."""

from collections.abc import Iterable
from typing import Annotated

import msgspec

RouteKey = int
TargetKey = int
# Above the number of answers in any roll-out; sums of such counts fit into a message.
MAX_COUNT = 2**32
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]

# A service has a few routes and tens of targets on trial; further ones share counts.
MAX_ROUTES = 32
MAX_TARGETS = 64


class Tally(msgspec.Struct, array_like=True, frozen=True):
    """
    The number of answers, and how many of them were bad.

    Parameters
    ----------
    answered : int
        Requests that a target answered or that failed there, the bad ones
        included.
    bad : int
        Requests that failed, were cut off, or were answered much more slowly
        than the baseline of the current version.
    """

    answered: Count = 0
    bad: Count = 0

    def __post_init__(self) -> None:
        """
        Check that `bad` does not exceed `answered`.

        Raises
        ------
        ValueError
            If it does; a message that contains such a tally is rejected.
        """
        if self.bad > self.answered:
            raise ValueError(
                f"bad answers exceed all answers: {self.bad} of {self.answered}"
            )

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of both, limited to `MAX_COUNT`."""
        answered = min(self.answered + other.answered, MAX_COUNT)
        return Tally(answered, min(self.bad + other.bad, MAX_COUNT))


EMPTY_TALLY = Tally()


def total_tally(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of `tallies`."""
    answered = bad = 0
    for tally in tallies:
        answered += tally.answered
        bad += tally.bad
    return Tally(answered, bad)


def merge_by_route(tables: Iterable[dict[RouteKey, Tally]]) -> dict[RouteKey, Tally]:
    """Return the sum by route of several tables."""
    merged: dict[RouteKey, Tally] = {}
    for table in tables:
        for route, tally in table.items():
            merged[route] = merged.get(route, EMPTY_TALLY).plus(tally)
    return merged


class AnswerTallies(msgspec.Struct, array_like=True, frozen=True):
    """
    Answers that one router or group has observed, by route.

    Parameters
    ----------
    current : dict of RouteKey to Tally
        From targets of the current version.
    candidate : dict of RouteKey to dict of TargetKey to Tally
        From each target of the version on trial.
    """

    current: dict[int, Tally] = {}
    candidate: dict[int, dict[int, Tally]] = {}

    def candidate_tallies(self) -> Iterable[Tally]:
        """Return the tallies of the version on trial."""
        return (
            tally
            for by_target in self.candidate.values()
            for tally in by_target.values()
        )


class BoundedKeys(msgspec.Struct):
    """A bounded set of keys; once it is full, a new key shares an existing one."""

    max_keys: int
    _indexes: dict[int, int] = msgspec.field(default_factory=dict)
    _keys: list[int] = msgspec.field(default_factory=list)

    def bucket(self, key: int) -> int:
        """Return the key under which `key` is counted."""
        if key in self._indexes:
            return key
        if len(self._keys) < self.max_keys:
            self._indexes[key] = len(self._keys)
            self._keys.append(key)
            return key
        return self._keys[key % self.max_keys]


class AnswerCounts(msgspec.Struct):
    """Growing tallies with a bounded number of routes and targets."""

    current: dict[RouteKey, Tally] = msgspec.field(default_factory=dict)
    candidate: dict[RouteKey, dict[TargetKey, Tally]] = msgspec.field(
        default_factory=dict
    )
    _routes: BoundedKeys = msgspec.field(
        default_factory=lambda: BoundedKeys(MAX_ROUTES)
    )
    _targets: BoundedKeys = msgspec.field(
        default_factory=lambda: BoundedKeys(MAX_TARGETS)
    )

    def add_current(self, route: RouteKey, tally: Tally) -> None:
        """Add answers of the current version."""
        bucket = self._routes.bucket(route)
        self.current[bucket] = self.current.get(bucket, EMPTY_TALLY).plus(tally)

    def add_candidate(self, route: RouteKey, target: TargetKey, tally: Tally) -> None:
        """Add answers of one target of the version on trial."""
        by_target = self.candidate.setdefault(self._routes.bucket(route), {})
        bucket = self._targets.bucket(target)
        by_target[bucket] = by_target.get(bucket, EMPTY_TALLY).plus(tally)

    def add(self, answers: AnswerTallies) -> None:
        """Add all tallies of `answers`."""
        for route, tally in answers.current.items():
            self.add_current(route, tally)
        for route, by_target in answers.candidate.items():
            for target, tally in by_target.items():
                self.add_candidate(route, target, tally)

    def snapshot(self) -> AnswerTallies:
        """Return a copy of the tallies."""
        candidate = {
            route: dict(by_target) for route, by_target in self.candidate.items()
        }
        return AnswerTallies(dict(self.current), candidate)

    def empty_copy(self) -> "AnswerCounts":
        """Return empty tallies that share the set of known keys."""
        return AnswerCounts(_routes=self._routes, _targets=self._targets)


class UnsentAnswers(msgspec.Struct):
    """Answers that have not been reported to peers yet."""

    _counts: AnswerCounts = msgspec.field(default_factory=AnswerCounts)

    def add_current(self, route: RouteKey, tally: Tally) -> None:
        """Add answers of the current version."""
        self._counts.add_current(route, tally)

    def add_candidate(self, route: RouteKey, target: int, tally: Tally) -> None:
        """Add answers of one target of the version on trial."""
        self._counts.add_candidate(route, target, tally)

    def add(self, answers: AnswerTallies) -> None:
        """Add all tallies of `answers`."""
        self._counts.add(answers)

    def pop_all(self) -> AnswerTallies:
        """Return the answers added since the last call, and remove them."""
        counts, self._counts = self._counts, AnswerCounts()
        return AnswerTallies(counts.current, counts.candidate)
