"""Which targets of a version on trial are tried now, alike on all routers."""

import msgspec

from scaleloom_core.hashing import rendezvous_score
from scaleloom_core.ids import ServiceName, TargetId
from scaleloom_core.rollouts.course import RolloutCourse
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.targets import TargetView


class TrialOrder(msgspec.Struct, frozen=True):
    """
    The candidates of one order, in an order on which all routers agree.

    Parameters
    ----------
    position : int
        The order's.
    generation : int
        The view's, from which this was made.
    """

    position: int
    generation: int
    targets: list[TargetId]


class StagedTargets(msgspec.Struct):
    """The targets on trial of every service, ranked again when the list changes."""

    _orders: dict[ServiceName, TrialOrder] = msgspec.field(default_factory=dict)

    def of(
        self, view: TargetView, course: RolloutCourse, now_s: float
    ) -> list[TargetId]:
        """Return the targets that trial requests of `course` may go to now."""
        order = self._order(view, course)
        currents = len(view.open_ids(course.service, Track.CURRENT))
        return course.staged(order.targets, currents, now_s)

    def _order(self, view: TargetView, course: RolloutCourse) -> TrialOrder:
        """Return the candidates of `course`, ranked by its order."""
        position = course.order.position
        known = self._orders.get(course.service)
        if known is not None and known.position == position:
            if known.generation == view.generation:
                return known
        name = f"{course.service}/{position}"
        ranked = sorted(
            view.open_ids(course.service, Track.CANDIDATE),
            key=lambda target: rendezvous_score(name, target, 1.0),
            reverse=True,
        )
        order = TrialOrder(position, view.generation, ranked)
        self._orders[course.service] = order
        return order
