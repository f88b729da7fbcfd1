"""
The other routers of a fleet, and which of them tells whom of which.

Routers that stand in one data centre form a group, and a large data centre is
split into several. The members of a group report to each other. What a group
holds in all is told to each router outside by one member, its relay there. A
router of `n` in groups of `m` so sends ``(m - 1) + (n - m) / m`` messages a
round instead of ``n - 1``: 15 instead of 67 at 68 routers in 6 data centres,
and 39 instead of 419 at 420 in 22.
"""

import msgspec

from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_core.precedence import precedence, weakness_in

# Reports come several times in this time, also in the largest fleet designed for.
LIVELY_S = 1.5
# A group's relay tells of members that it heard within this, or the dead would
# count as alive outside for twice as long as within the group.
TOLD_S = LIVELY_S / 2
# For so long a router counts in what the fleet shares that was named and not heard.
NAMED_S = 10.0
# Longer than the store's own list of routers takes to be read again.
FORGOTTEN_S = 150.0
# By then all routers that started together have told each other of themselves.
SETTLES_S = 2.0
# A group of this size and its relaying cost about the same at 420 routers.
MOST_IN_GROUP = 24
LEAST_IN_GROUP = 6
NEVER_S = float("-inf")


class GroupId(msgspec.Struct, array_like=True, frozen=True):
    """
    One group of routers.

    Parameters
    ----------
    split : int
        Into how many groups the data centre is divided.
    index : int
        Which of them this is.
    """

    data_centre: DataCentreName
    split: int = 1
    index: int = 0


class FleetMember(msgspec.Struct, array_like=True, frozen=True):
    """
    What all routers learn of one.

    Parameters
    ----------
    precedence : int
        The lower, the sooner it does what one router does for all.
    follows_store : bool
        Whether it would learn of a newer configuration from the store at once.
    """

    router: InstanceId
    precedence: int
    follows_store: bool


class _Sighting(msgspec.Struct):
    """One router as it was heard last, itself or through its group's relay."""

    member: FleetMember
    group: GroupId
    heard_s: float


class FleetRoster:
    """
    The routers that are heard, by group.

    Parameters
    ----------
    own : InstanceId
        This router.
    started_s : float
        When this process started, on the runtime's clock.
    """

    def __init__(
        self, own: InstanceId, data_centre: DataCentreName, started_s: float
    ) -> None:
        self._own = own
        self._settled_s = started_s + SETTLES_S
        self._added_s: dict[InstanceId, float] = {}
        self._sightings: dict[InstanceId, _Sighting] = {}
        self._relays: dict[InstanceId, InstanceId] = {}
        self._relaying: tuple[InstanceId, ...] = ()
        self.group = GroupId(data_centre)

    def add(self, router: InstanceId, now_s: float) -> bool:
        """Take in a router that may be there; return whether it is new."""
        is_new = router != self._own and router not in self._added_s
        if router != self._own:
            self._added_s[router] = now_s
        return is_new

    def note(self, member: FleetMember, group: GroupId, now_s: float) -> bool:
        """Take in that a router lives; return whether it was not known before."""
        is_new = self.add(member.router, now_s)
        if member.router != self._own:
            self._sightings[member.router] = _Sighting(member, group, now_s)
        return is_new

    def forget(self, now_s: float) -> None:
        """Forget routers of which nobody has told anything for long."""
        horizon_s = now_s - FORGOTTEN_S
        self._added_s = {
            r: at_s for r, at_s in self._added_s.items() if at_s > horizon_s
        }
        for router in [r for r in self._sightings if r not in self._added_s]:
            del self._sightings[router]

    def _lively(self, now_s: float) -> list[_Sighting]:
        """Return the routers that were heard a moment ago."""
        horizon_s = now_s - LIVELY_S
        return [seen for seen in self._sightings.values() if seen.heard_s > horizon_s]

    def near(self, now_s: float) -> list[FleetMember]:
        """Return the other members of the own group."""
        return [s.member for s in self._lively(now_s) if s.group == self.group]

    def near_to_tell(self, now_s: float) -> list[FleetMember]:
        """Return the other members of the own group of which others are told."""
        horizon_s = now_s - TOLD_S
        lately = [s for s in self._lively(now_s) if s.heard_s > horizon_s]
        return [s.member for s in lately if s.group == self.group]

    def relayed_to(self, now_s: float) -> list[InstanceId]:
        """Return the routers outside to which this one tells of its group."""
        members = [self._own, *(member.router for member in self.near(now_s))]
        relaying = tuple(sorted(members))
        if relaying != self._relaying:
            self._relaying = relaying
            self._relays = {}
        return [
            seen.member.router
            for seen in self._lively(now_s)
            if seen.group != self.group and self._relay(seen.member.router) == self._own
        ]

    def _relay(self, router: InstanceId) -> InstanceId:
        """Return which member of the own group tells `router` of the group."""
        relay = self._relays.get(router)
        if relay is None:
            relay = max(self._relaying, key=lambda member: hash_text(router, member))
            self._relays[router] = relay
        return relay

    def silent(self, now_s: float) -> list[InstanceId]:
        """Return the routers that are known and not heard."""
        lively = {seen.member.router for seen in self._lively(now_s)}
        return [router for router in self._added_s if router not in lively]

    def lively(self, now_s: float) -> list[InstanceId]:
        """Return all other routers that are heard."""
        return [seen.member.router for seen in self._lively(now_s)]

    def rank(self, own_precedence: int, now_s: float) -> int:
        """
        Return how many routers come before this one.

        A router that has just started takes those that it has not heard yet for
        alive and as strong as itself, so that a fleet that starts at once
        neither works as one each nor leaves the work to nobody.
        """
        ahead = sum(s.member.precedence < own_precedence for s in self._lively(now_s))
        if now_s < self._settled_s:
            alike = weakness_in(own_precedence)
            unheard = (
                precedence(router, False, False, alike) for router in self.silent(now_s)
            )
            ahead += sum(drawn < own_precedence for drawn in unheard)
        return ahead

    def followers(self, now_s: float) -> int:
        """Return how many other routers follow the store."""
        return sum(seen.member.follows_store for seen in self._lively(now_s))

    def count(self, now_s: float) -> int:
        """
        Return how many routers share what is the fleet's, this one included.

        Those that fell silent count for long: they may be cut off from this
        router only, and each would take the whole for its own.
        """
        heard_s, named_s = now_s - FORGOTTEN_S, now_s - NAMED_S
        heard = {r for r, seen in self._sightings.items() if seen.heard_s > heard_s}
        named = {r for r, added_s in self._added_s.items() if added_s > named_s}
        return 1 + len(heard | named)

    def senders(self, now_s: float) -> int:
        """
        Return how many routers may send to targets, or 0 while that is not known.

        Those that fell silent count for long, since they may be cut off from
        this router only. One that has just started has not heard of all others
        yet; one that hears nobody may be cut off from all that it knows of.
        """
        if now_s < self._settled_s:
            return 0
        horizon_s = now_s - FORGOTTEN_S
        heard = sum(seen.heard_s > horizon_s for seen in self._sightings.values())
        return 1 + (heard or len(self._added_s))

    def regroup(self, now_s: float) -> None:
        """Split the own data centre if its groups have grown large, or join them."""
        own = self.group
        alike = [
            s for s in self._lively(now_s) if s.group.data_centre == own.data_centre
        ]
        size = (1 + len(alike)) / own.split
        split = own.split
        if size > MOST_IN_GROUP:
            split *= 2
        elif size < LEAST_IN_GROUP and split > 1 and now_s >= self._settled_s:
            split //= 2
        if split != own.split:
            index = hash_text(self._own) % split
            self.group = GroupId(own.data_centre, split, index)
