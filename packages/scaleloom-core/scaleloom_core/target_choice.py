"""The choice of a target for one request, within the load bound of its service."""

from collections.abc import Callable

import msgspec

from scaleloom_core.fleet_load import FleetLoad, target_key
from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import DataCentreName, ServiceName, TargetId
from scaleloom_core.listed import ListedTarget
from scaleloom_core.prefix_holders import PrefixHolders, part_key
from scaleloom_core.routing import ServicePolicy
from scaleloom_core.targets import TargetRecord, TargetView

# Peers' reports are a fraction of a second old, so the bound that a router
# keeps to is narrower than the one that is promised.
BOUND_MARGIN = 0.8
BOUND_HEADROOM = 2
# The part of that difference which covers what reports do not show yet.
BOUND_SLACK = 1.0
QUEUE_PER_SLOT = 2.0
# What a slow target still gets shows when it is well again.
LEAST_AT_SLOW = 1.0
OTHER_DATA_CENTRE_LOAD = 0.75


class PlacementKey(msgspec.Struct, frozen=True):
    """What a request should land beside: the prompt part it shares."""

    service: ServiceName
    shared_part: str | None


class TargetChooser(msgspec.Struct):
    """
    Picks targets by the view and the load that it is given.

    Parameters
    ----------
    bound_multiple : float
        The most that a target may hold over its service's mean.
    """

    view: TargetView
    load: FleetLoad
    data_centre: DataCentreName
    bound_multiple: float
    holders: PrefixHolders = msgspec.field(default_factory=PrefixHolders)
    _slow: dict[TargetId, float] = msgspec.field(default_factory=dict)

    def choose(
        self,
        key: PlacementKey,
        policy: ServicePolicy,
        tried: set[TargetId],
        now_s: float,
    ) -> TargetRecord | None:
        """
        Return the target to send to, or None if every one is full.

        A request that shares a part of its prompt goes to the least loaded of
        the targets that hold the part and are within the bound. If there is
        none, it goes to the first target in rendezvous order that is, so that
        all routers agree on the home and on where its overflow goes. Any other
        goes where the least is held, the own data centre first.
        """
        usable = self.view.usable(key.service, now_s)
        open_to_it = [r for r in usable if r.listed.id not in tried]
        if not open_to_it:
            return None
        self._slow = self.view.slownesses(usable, now_s)
        if policy.is_engine:
            fits = self._fits_within(self._bound(usable))
        else:
            fits = self._has_place
        if key.shared_part is None:
            return self._least_loaded(open_to_it, fits)
        by_id = {record.listed.id: record for record in open_to_it}
        holder = self._least_loaded(self._holding(key.shared_part, by_id, now_s), fits)
        if holder is not None:
            return holder
        for candidate in self.view.candidates(key.service, key.shared_part):
            record = by_id.get(candidate)
            if record is not None and fits(record):
                return record
        return self._least_loaded(open_to_it, self._has_place)

    def _holding(
        self, part: str, by_id: dict[TargetId, TargetRecord], now_s: float
    ) -> list[TargetRecord]:
        """Return those of `by_id` that hold `part`."""
        keys = self.holders.latest(part_key(part), now_s)
        found = map(self.view.find_key, keys)
        return [by_id[target] for target in found if target in by_id]

    def cache_source(
        self, key: PlacementKey, chosen: TargetId, now_s: float
    ) -> ListedTarget | None:
        """
        Return whose cache `chosen` should copy the shared part from, if any.

        It is the target that a router saw read the part last, or else the
        part's home, its home before the targets changed, or its next home: the
        one before another target joined, which a router that has just started
        cannot know. A copy costs a small part of what reading the prompt again
        does, and nothing if the source does not keep the part.
        """
        part = key.shared_part
        if part is None:
            return None
        number = part_key(part)
        if self.holders.holds(number, target_key(chosen), now_s):
            return None
        holders = self.holders.latest(number, now_s)
        likely = [
            *filter(None, map(self.view.find_key, holders)),
            *self.view.candidates(key.service, part)[:1],
            self.view.former_home(key.service, part),
            *self.view.candidates(key.service, part)[1:2],
        ]
        for target in likely:
            if target is None or target == chosen:
                continue
            record = self.view.find_source(target, now_s)
            if record is not None:
                return record.listed
        return None

    def note_read(self, key: PlacementKey, target: TargetId, now_s: float) -> None:
        """
        Remember that `target` holds the request's shared part.

        It does once its answer begins. Until then a second request for the part
        finds nothing there, and is told of a source as the first one was.
        """
        if key.shared_part is not None:
            number = part_key(key.shared_part)
            self.holders.note_own(number, target_key(target), now_s)

    def has_place(self, service: ServiceName, now_s: float) -> bool:
        """Return whether some target of `service` could take a request."""
        return any(map(self._has_place, self.view.usable(service, now_s)))

    def _fits_within(self, bound: float) -> Callable[[TargetRecord], bool]:
        """Return whether a target may take one more within `bound`."""

        def fits(record: TargetRecord) -> bool:
            target = record.listed.id
            unseen = max(0.0, self.load.uncertainty(target) - BOUND_SLACK)
            limit = min(bound - unseen, record.listed.slots)
            slow = self._slow.get(target, 1.0)
            if slow > 1.0:
                # It holds each request longer, and each waits for the others.
                limit = max(LEAST_AT_SLOW, limit / slow**2)
            return self.load.held(target) < limit

        return fits

    def _has_place(self, record: TargetRecord) -> bool:
        """Return whether `record` could take a request without a long wait."""
        limit = record.listed.slots * QUEUE_PER_SLOT
        return self.load.held(record.listed.id) < limit

    def _bound(self, usable: list[TargetRecord]) -> float:
        """Return how many requests one of `usable` may hold."""
        total = sum(self.load.held(record.listed.id) for record in usable)
        mean = total / len(usable)
        return BOUND_HEADROOM + self.bound_multiple * BOUND_MARGIN * mean

    def _least_loaded(
        self, records: list[TargetRecord], fits: Callable[[TargetRecord], bool]
    ) -> TargetRecord | None:
        """Return the one of `records` that holds the least for its slots."""
        fitting = list(filter(fits, records))
        return min(fitting, key=self._cost, default=None)

    def _cost(self, record: TargetRecord) -> tuple[float, int]:
        """Return how loaded `record` is, with a fixed order among equals."""
        held = self.load.held(record.listed.id)
        if record.listed.data_centre != self.data_centre:
            held += OTHER_DATA_CENTRE_LOAD
        order = hash_text(self.data_centre, record.listed.id)
        slow = self._slow.get(record.listed.id, 1.0)
        # One more request counts too, or an idle target would never be slow.
        waited = (held + 1) * slow if slow > 1.0 else held
        return waited / max(1, record.listed.slots), order
