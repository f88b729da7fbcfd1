"""What the answers of two versions say of the one on trial."""

from enum import Enum

import msgspec

RouteKey = int


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

    answered: int = 0
    bad: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return both together."""
        return Tally(self.answered + other.answered, self.bad + other.bad)


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


class Assessment(Enum):
    """What the evidence says of the version on trial."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


class EvidenceSummary(msgspec.Struct, frozen=True):
    """
    The evidence in short, for logs and metrics.

    Parameters
    ----------
    targets : int
        Targets of the candidate that answered.
    worst_route : RouteKey or None
        The route on which the candidate looks worst.
    """

    assessment: Assessment
    candidate: Tally
    current: Tally
    targets: int
    worst_route: int | None


class UntoldAnswers(msgspec.Struct):
    """Answers that peers have not been told of yet."""

    def note_current(self, route: RouteKey, tally: Tally) -> None:
        """Count answers of the current version."""

    def note_candidate(self, route: RouteKey, target: int, tally: Tally) -> None:
        """Count answers of one target of the candidate."""

    def note_all(self, seen: SeenAnswers) -> None:
        """Count what another router told, to pass it on."""

    def take(self) -> SeenAnswers:
        """Return what was counted since this was last called."""


class Evidence(msgspec.Struct):
    """All that is known of both versions' answers, over time."""

    def note(self, seen: SeenAnswers, now_s: float) -> None:
        """Take in answers, own or told."""

    def assess(self, now_s: float) -> Assessment:
        """Return what the answers so far say of the candidate."""

    def summary(self, now_s: float) -> EvidenceSummary:
        """Return the evidence in short."""

    def totals(self) -> SeenAnswers:
        """Return all answers counted so far, to be written down."""

    def restore(self, totals: SeenAnswers, now_s: float) -> None:
        """Take in what was written down, where nothing was seen yet."""
