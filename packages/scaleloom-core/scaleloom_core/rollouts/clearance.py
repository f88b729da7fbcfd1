"""Which routers have left the version that a roll-out replaces."""

from collections.abc import Iterable

import msgspec

from scaleloom_core.fleet_roster import LIVELY_S, GroupId
from scaleloom_core.ids import InstanceId


class _Told(msgspec.Struct, frozen=True):
    """The last word of one router, or of a group for all its members."""

    is_clear: bool
    heard_s: float


class Clearance(msgspec.Struct):
    """
    What other routers say of one order: whether they are clear.

    A router is clear that sends nothing to the version which is replaced and
    holds nothing there. One that is not heard is not waited for, or a router
    that is lost would hold up the end.
    """

    _routers: dict[InstanceId, _Told] = msgspec.field(default_factory=dict)
    _groups: dict[GroupId, _Told] = msgspec.field(default_factory=dict)

    def note_router(self, router: InstanceId, is_clear: bool, now_s: float) -> None:
        """Take in what a member of the own group says of itself."""
        self._routers[router] = _Told(is_clear, now_s)

    def note_group(
        self, group: GroupId, clear: int, routers: int, now_s: float
    ) -> None:
        """Take in how many of the `routers` of another group are clear."""
        self._groups[group] = _Told(clear >= routers, now_s)

    def count(self, near: Iterable[InstanceId], now_s: float) -> int:
        """Return how many of `near`, members of the own group, are clear."""
        horizon_s = now_s - LIVELY_S
        told = (self._routers.get(router) for router in near)
        return sum(t is not None and t.is_clear and t.heard_s > horizon_s for t in told)

    def is_whole(self, now_s: float) -> bool:
        """Return whether all routers that are heard are clear."""
        horizon_s = now_s - LIVELY_S
        told = (*self._routers.values(), *self._groups.values())
        return all(t.is_clear for t in told if t.heard_s > horizon_s)
