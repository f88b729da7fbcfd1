"""Targets of a candidate version that get trial requests, the same on all routers."""

import msgspec

from scaleloom_core.hashing import rendezvous_score
from scaleloom_core.ids import ServiceName, TargetId
from scaleloom_core.rollouts.state import RolloutState
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.targets import TargetView


class TrialRanking(msgspec.Struct, frozen=True):
    """
    Targets of the candidate version of one roll-out order, ranked by a hash.

    Parameters
    ----------
    position : int
        Position of the roll-out order.
    generation : int
        Generation of the view that the targets were read from.
    """

    position: int
    generation: int
    targets: list[TargetId]


class TrialTargets(msgspec.Struct):
    """Ranked candidate targets of each service, updated when the list changes."""

    _rankings: dict[ServiceName, TrialRanking] = msgspec.field(default_factory=dict)

    def select(
        self, view: TargetView, course: RolloutState, now_s: float
    ) -> list[TargetId]:
        """Return the targets that trial requests of `course` may be sent to now."""
        ranking = self._ranking(view, course)
        current_count = len(view.open_ids(course.service, Track.CURRENT))
        return course.staged(ranking.targets, current_count, now_s)

    def _ranking(self, view: TargetView, course: RolloutState) -> TrialRanking:
        """Return the ranked candidate targets of `course`, cached by generation."""
        position = course.order.position
        cached = self._rankings.get(course.service)
        if cached is not None and cached.position == position:
            if cached.generation == view.generation:
                return cached
        name = f"{course.service}/{position}"
        ranked = sorted(
            view.open_ids(course.service, Track.CANDIDATE),
            key=lambda target: rendezvous_score(name, target, 1.0),
            reverse=True,
        )
        ranking = TrialRanking(position, view.generation, ranked)
        self._rankings[course.service] = ranking
        return ranking
