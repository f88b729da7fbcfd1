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
        self, view: TargetView, rollout_state: RolloutState, now_s: float
    ) -> list[TargetId]:
        """Return the targets that trial requests of the roll-out may be sent to now."""
        ranking = self._ranking(view, rollout_state)
        current_count = len(view.open_ids(rollout_state.service, Track.CURRENT))
        return rollout_state.staged(ranking.targets, current_count, now_s)

    def _ranking(self, view: TargetView, rollout_state: RolloutState) -> TrialRanking:
        """Return the ranked candidate targets of the roll-out, cached by generation."""
        position = rollout_state.order.position
        cached = self._rankings.get(rollout_state.service)
        if cached is not None and cached.position == position:
            if cached.generation == view.generation:
                return cached
        name = f"{rollout_state.service}/{position}"
        ranked = sorted(
            view.open_ids(rollout_state.service, Track.CANDIDATE),
            key=lambda target: rendezvous_score(name, target, 1.0),
            reverse=True,
        )
        ranking = TrialRanking(position, view.generation, ranked)
        self._rankings[rollout_state.service] = ranking
        return ranking
