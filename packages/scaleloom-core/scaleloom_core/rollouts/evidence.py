"""What the answers of two versions say of the one on trial."""

from enum import Enum

import msgspec

from scaleloom_core.rollouts.answers import (
    AnswerCounts,
    RouteKey,
    SeenAnswers,
    Tally,
    UntoldAnswers,
    joined,
    sum_of,
)
from scaleloom_core.rollouts.comparison import Comparison

__all__ = [
    "Assessment",
    "Evidence",
    "EvidenceSummary",
    "RouteKey",
    "SeenAnswers",
    "Tally",
    "UntoldAnswers",
]

# A second is settled once the next one is over, whose answers of the current
# version are compared as well: peers tell theirs up to half a second late.
SETTLED_AFTER_S = 2
# A comparison is so old at most. Bad answers of the candidate are compared at once.
REFRESH_S = 0.25
# Of the current version's answers; a rarer route says nothing in a short trial.
NOTICEABLE_PART = 0.08


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


class Evidence(msgspec.Struct):
    """
    All that is known of both versions' answers, over time.

    Answers are counted by the second in which they became known. Seconds that
    are over for long are settled; the last ones are compared anew each time,
    since what is known of the current version in them still grows.
    """

    _totals: AnswerCounts = msgspec.field(default_factory=AnswerCounts)
    _seconds: dict[int, AnswerCounts] = msgspec.field(default_factory=dict)
    _settled: Comparison = msgspec.field(default_factory=Comparison)
    _settled_to: int | None = None
    _latest: Comparison | None = None
    _latest_s: float = 0.0
    _is_changed: bool = False
    _is_urgent: bool = False
    _assessment: Assessment = Assessment.UNDECIDED

    def note(self, seen: SeenAnswers, now_s: float) -> None:
        """Take in answers, own or told."""
        second = self._settle(now_s)
        counts = self._seconds.get(second)
        if counts is None:
            counts = self._seconds[second] = self._totals.empty_copy()
        counts.add(seen)
        self._totals.add(seen)
        self._is_changed = True
        self._is_urgent |= any(tally.bad for tally in seen.candidate_tallies())

    def assess(self, now_s: float) -> Assessment:
        """Return what the answers so far say of the candidate."""
        self._settle(now_s)
        is_old = now_s - self._latest_s >= REFRESH_S
        if self._is_urgent or (self._is_changed and is_old) or self._latest is None:
            self._latest = self._compared()
            self._latest_s = now_s
            self._is_changed = self._is_urgent = False
            self._assessment = self._judge(self._latest)
        return self._assessment

    def is_doubtful(self, now_s: float) -> bool:
        """Return whether the answers so far speak against the candidate."""
        self.assess(now_s)
        return self._latest is not None and self._latest.is_doubtful()

    def _settle(self, now_s: float) -> int:
        """Settle what is long over; return the present second."""
        second = int(now_s)
        if self._settled_to is None:
            self._settled_to = second - 1
        if second - SETTLED_AFTER_S <= self._settled_to:
            return second
        for past in sorted(self._seconds):
            if self._settled_to < past <= second - SETTLED_AFTER_S:
                self._add_second(self._settled, past)
                self._settled.note_current(self._seconds[past].current)
                self._is_changed = True
        self._settled_to = second - SETTLED_AFTER_S
        for past in [past for past in self._seconds if past < self._settled_to]:
            del self._seconds[past]
        return second

    def _compared(self) -> Comparison:
        """Return the comparison with the last seconds taken in."""
        compared = self._settled.copy()
        for recent in sorted(self._seconds):
            if recent > self._settled_to:
                self._add_second(compared, recent)
        return compared

    def _add_second(self, comparison: Comparison, second: int) -> None:
        """Compare the answers of a second with those around it."""
        near = (self._seconds.get(second + k) for k in (-1, 0, 1))
        window = joined(counts.current for counts in near if counts is not None)
        counts = self._seconds[second]
        comparison.add(counts.candidate, [counts.current, window], second)

    def _judge(self, compared: Comparison) -> Assessment:
        """Return what a comparison says."""
        if compared.is_bad():
            return Assessment.BAD
        if compared.is_good(self._noticeable_routes()):
            return Assessment.GOOD
        return Assessment.UNDECIDED

    def _noticeable_routes(self) -> list[RouteKey]:
        """Return the routes that have some weight at the current version."""
        current = self._totals.current
        answered = sum(tally.answered for tally in current.values())
        least = max(1.0, NOTICEABLE_PART * answered)
        return [route for route, tally in current.items() if tally.answered >= least]

    def summary(self, now_s: float) -> EvidenceSummary:
        """Return the evidence in short."""
        assessment = self.assess(now_s)
        candidate = self._totals.candidate
        return EvidenceSummary(
            assessment,
            sum_of(tally for by in candidate.values() for tally in by.values()),
            sum_of(self._totals.current.values()),
            len({target for by in candidate.values() for target in by}),
            self._latest.worst_route() if self._latest is not None else None,
        )

    def totals(self) -> SeenAnswers:
        """Return all answers counted so far, to be written down."""
        return self._totals.seen()

    def restore(self, totals: SeenAnswers, now_s: float) -> None:
        """
        Take in what was written down, where nothing was seen yet.

        It counts as one second that is over, so that a change within it is seen
        less sharply than by the router that wrote it.
        """
        if self._totals.current or self._totals.candidate:
            return
        self._totals.add(totals)
        past = int(now_s) - SETTLED_AFTER_S - 1
        restored = self._totals.seen()
        self._settled.add(restored.candidate, [restored.current], past)
        self._settled.note_current(restored.current)
        self._latest = None
