"""Which routers have stopped using the version that a roll-out replaces."""

from collections.abc import Iterable

import msgspec

from scaleloom_core.fleet_roster import ALIVE_TIMEOUT_S, GroupId
from scaleloom_core.ids import InstanceId


class _Report(msgspec.Struct, frozen=True):
    """The last report of one router, or of a group about all its members."""

    is_drained: bool
    received_s: float


class DrainProgress(msgspec.Struct):
    """
    Reports of the other routers on whether they have drained, for one order.

    A router has drained when it sends nothing to the replaced version and has no
    request in flight there. Routers whose reports have stopped are ignored, so
    that a lost router does not delay the end of the roll-out.
    """

    _routers: dict[InstanceId, _Report] = msgspec.field(default_factory=dict)
    _groups: dict[GroupId, _Report] = msgspec.field(default_factory=dict)

    def record_router(self, router: InstanceId, is_drained: bool, now_s: float) -> None:
        """Record whether a member of the own group has drained."""
        self._routers[router] = _Report(is_drained, now_s)

    def record_group(
        self, group: GroupId, drained: int, routers: int, now_s: float
    ) -> None:
        """Record how many of the `routers` of another group have drained."""
        self._groups[group] = _Report(drained >= routers, now_s)

    def count_drained(self, group_members: Iterable[InstanceId], now_s: float) -> int:
        """Return how many of `group_members`, of the own group, have drained."""
        horizon_s = now_s - ALIVE_TIMEOUT_S
        reports = (self._routers.get(router) for router in group_members)
        return sum(
            report is not None and report.is_drained and report.received_s > horizon_s
            for report in reports
        )

    def is_complete(self, now_s: float) -> bool:
        """Return whether all routers with recent reports have drained."""
        horizon_s = now_s - ALIVE_TIMEOUT_S
        reports = (*self._routers.values(), *self._groups.values())
        return all(
            report.is_drained for report in reports if report.received_s > horizon_s
        )
