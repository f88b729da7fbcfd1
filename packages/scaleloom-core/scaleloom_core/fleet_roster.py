"""
Membership of the router fleet and its division into groups for gossip.

The routers of one data centre form a group; a large data centre is split into
several groups. The members of a group send reports to each other. Each router
outside the group receives the group's summary from one member, its relay. In a
fleet of `n` routers with groups of `m`, a router therefore sends
``(m - 1) + (n - m) / m`` messages a round instead of ``n - 1``: 15 instead of 67
for 68 routers in 6 data centres, and 39 instead of 419 for 420 routers in 22.
"""

import msgspec

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_core.precedence import extract_capacity_shortfall, precedence

# Several reports arrive within this time even in the largest supported fleet.
ALIVE_TIMEOUT_S = 1.5
# A relay reports only members that it heard from within this time. Otherwise
# dead members would count as alive outside the group twice as long as inside.
RELAY_MAX_AGE_S = ALIVE_TIMEOUT_S / 2
# A router that was added but never heard from counts towards the fleet's size for
# this long.
UNHEARD_TIMEOUT_S = 10.0
# Longer than the interval at which the store's list of routers is read.
ROUTER_RETENTION_S = 150.0
# Routers that start together have received each other's reports after this time.
STARTUP_SETTLE_S = 2.0
# In a fleet of 420 routers, reports within a group of this size cost about as much
# as its reports to other groups.
MAX_GROUP_SIZE = 24
MIN_GROUP_SIZE = 6
NEVER_S = float("-inf")


class GroupId(msgspec.Struct, array_like=True, frozen=True):
    """
    Identifier of a group of routers.

    Parameters
    ----------
    group_count : int
        Number of groups that the data centre is divided into.
    index : int
        Number of this group, counted from 0.
    """

    data_centre: DataCentreName
    group_count: int = 1
    index: int = 0


class FleetMember(msgspec.Struct, array_like=True, frozen=True):
    """
    State of a router that is reported to all other routers.

    Parameters
    ----------
    precedence : int
        Order in which routers are elected for fleet-wide tasks, lowest first.
    follows_store : bool
        Whether the router receives new configurations directly from the store.
    """

    router: InstanceId
    precedence: int
    follows_store: bool


class _Sighting(msgspec.Struct):
    """Last report of a router, received directly or through its group's relay."""

    member: FleetMember
    group: GroupId
    heard_s: float


class FleetRoster:
    """
    The other routers of the fleet, by group.

    Parameters
    ----------
    own : InstanceId
        This router.
    started_s : float
        Start time of this process on the runtime's clock, in seconds.
    """

    def __init__(
        self, own: InstanceId, data_centre: DataCentreName, started_s: float
    ) -> None:
        self._own = own
        self._settled_s = started_s + STARTUP_SETTLE_S
        self._added_s: dict[InstanceId, float] = {}
        self._sightings: dict[InstanceId, _Sighting] = {}
        self._relay_by_router: dict[InstanceId, InstanceId] = {}
        self._relay_candidates: tuple[InstanceId, ...] = ()
        self.group = GroupId(data_centre)

    def add(self, router: InstanceId, now_s: float) -> bool:
        """Add a router that may exist, and return whether it is new."""
        is_new = router != self._own and router not in self._added_s
        if router != self._own:
            self._added_s[router] = now_s
        return is_new

    def record_heard(self, member: FleetMember, group: GroupId, now_s: float) -> bool:
        """Record a report of a router, and return whether the router is new."""
        is_new = self.add(member.router, now_s)
        if member.router != self._own:
            self._sightings[member.router] = _Sighting(member, group, now_s)
        return is_new

    def remove_stale(self, now_s: float) -> None:
        """Remove routers that were not added or heard from for `ROUTER_RETENTION_S`."""
        horizon_s = now_s - ROUTER_RETENTION_S
        self._added_s = {
            r: at_s for r, at_s in self._added_s.items() if at_s > horizon_s
        }
        for router in [r for r in self._sightings if r not in self._added_s]:
            del self._sightings[router]

    def _alive_sightings(self, now_s: float) -> list[_Sighting]:
        """Return the sightings that are younger than `ALIVE_TIMEOUT_S`."""
        horizon_s = now_s - ALIVE_TIMEOUT_S
        return [seen for seen in self._sightings.values() if seen.heard_s > horizon_s]

    def group_members(self, now_s: float) -> list[FleetMember]:
        """Return the other members of this router's group that are alive."""
        return [s.member for s in self._alive_sightings(now_s) if s.group == self.group]

    def recent_group_members(self, now_s: float) -> list[FleetMember]:
        """Return the members of this router's group to report to other groups."""
        horizon_s = now_s - RELAY_MAX_AGE_S
        recent = [s for s in self._alive_sightings(now_s) if s.heard_s > horizon_s]
        return [s.member for s in recent if s.group == self.group]

    def relay_recipients(self, now_s: float) -> list[InstanceId]:
        """Return the routers of other groups for which this router is the relay."""
        members = [self._own, *(member.router for member in self.group_members(now_s))]
        candidates = tuple(sorted(members))
        if candidates != self._relay_candidates:
            self._relay_candidates = candidates
            self._relay_by_router = {}
        return [
            seen.member.router
            for seen in self._alive_sightings(now_s)
            if seen.group != self.group
            and self._relay_of(seen.member.router) == self._own
        ]

    def _relay_of(self, router: InstanceId) -> InstanceId:
        """Return the member of this group that sends its summary to `router`."""
        relay = self._relay_by_router.get(router)
        if relay is None:
            relay = max(
                self._relay_candidates, key=lambda member: hash_text(router, member)
            )
            self._relay_by_router[router] = relay
        return relay

    def silent_routers(self, now_s: float) -> list[InstanceId]:
        """Return the known routers that are not alive."""
        alive = {seen.member.router for seen in self._alive_sightings(now_s)}
        return [router for router in self._added_s if router not in alive]

    def alive_routers(self, now_s: float) -> list[InstanceId]:
        """Return all other routers that are alive."""
        return [seen.member.router for seen in self._alive_sightings(now_s)]

    def known_routers(self) -> list[InstanceId]:
        """Return this router and all others that may be running, silent ones too."""
        return [self._own, *self._added_s]

    def rank(self, own_precedence: int, now_s: float) -> int:
        """
        Return the number of routers that precede this one.

        While this router is starting, it assumes that routers it has not heard
        from are alive and have the same capacity shortfall as itself. When the
        whole fleet starts at once, this keeps fleet-wide tasks from being done by
        every router, or by none.
        """
        ahead = sum(
            s.member.precedence < own_precedence for s in self._alive_sightings(now_s)
        )
        if now_s < self._settled_s:
            same_shortfall = extract_capacity_shortfall(own_precedence)
            unheard = (
                precedence(router, False, False, same_shortfall)
                for router in self.silent_routers(now_s)
            )
            ahead += sum(other < own_precedence for other in unheard)
        return ahead

    def follower_count(self, now_s: float) -> int:
        """Return the number of other live routers that follow the store."""
        return sum(seen.member.follows_store for seen in self._alive_sightings(now_s))

    def fleet_size(self, now_s: float) -> int:
        """
        Return the number of routers that share fleet-wide budgets, including this.

        Silent routers count until `ROUTER_RETENTION_S` has passed: in a network
        partition each side would otherwise use the whole budget.
        """
        heard_s, unheard_s = now_s - ROUTER_RETENTION_S, now_s - UNHEARD_TIMEOUT_S
        heard = {r for r, seen in self._sightings.items() if seen.heard_s > heard_s}
        added = {r for r, added_s in self._added_s.items() if added_s > unheard_s}
        return 1 + len(heard | added)

    def sender_count(self, now_s: float) -> int:
        """
        Return the number of routers that may send to targets, or 0 if unknown.

        Silent routers count until `ROUTER_RETENTION_S` has passed, since they may
        be unreachable for this router only. The number is unknown during start-up,
        when not all routers have been heard from. A router that hears from nobody
        may itself be partitioned, so it counts all routers that it knows.
        """
        if now_s < self._settled_s:
            return 0
        horizon_s = now_s - ROUTER_RETENTION_S
        heard = sum(seen.heard_s > horizon_s for seen in self._sightings.values())
        return 1 + (heard or len(self._added_s))

    def update_group(self, now_s: float) -> None:
        """Split the data centre's groups if too large, or merge them if too small."""
        own = self.group
        same_data_centre = [
            s
            for s in self._alive_sightings(now_s)
            if s.group.data_centre == own.data_centre
        ]
        size = (1 + len(same_data_centre)) / own.group_count
        group_count = own.group_count
        if size > MAX_GROUP_SIZE:
            group_count *= 2
        elif size < MIN_GROUP_SIZE and group_count > 1 and now_s >= self._settled_s:
            group_count //= 2
        if group_count != own.group_count:
            index = hash_text(self._own) % group_count
            self.group = GroupId(own.data_centre, group_count, index)
