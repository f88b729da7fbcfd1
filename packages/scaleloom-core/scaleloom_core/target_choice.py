"""The choice of a target for one request, within the load bound of its service."""

import math
from collections.abc import Callable, Iterable

import msgspec

from scaleloom_core.cache_sources import find_cache_source
from scaleloom_core.cold_targets import ColdShares, suffers
from scaleloom_core.fleet_load import FleetLoad, target_key
from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import (
    DataCentreName,
    RequestDigest,
    ServiceName,
    TargetId,
)
from scaleloom_core.listed import ListedTarget
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.prefix_holders import PrefixHolders, part_key
from scaleloom_core.routing import ServicePolicy
from scaleloom_core.service_pools import ServicePool, ServicePools
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.targets import TargetView

# Peers' reports are a fraction of a second old, so the bound that a router
# keeps to is narrower than the one that is promised.
BOUND_MARGIN = 0.8
BOUND_HEADROOM = 2
# The part of that difference which covers what reports do not show yet.
BOUND_SLACK = 1.0
QUEUE_PER_SLOT = 2.0
OTHER_DATA_CENTRE_LOAD = 0.75


Fits = Callable[[TargetRecord], bool]


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
    cold: ColdShares = msgspec.field(default_factory=ColdShares)
    _pools: ServicePools = msgspec.field(default_factory=ServicePools)

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
        goes where the least is held, the own data centre first. Targets that
        are cold take part while it is this router's turn to send to them.
        """
        pool = self._pool(key, now_s)
        is_open = self._opens(policy, tried, now_s)
        has_room, is_not_full = self._room(policy, pool)

        def fits(record: TargetRecord) -> bool:
            return is_open(record) and has_room(record)

        if key.shared_part is None:
            return self._least_loaded(pool.records, fits, pool)
        holding = self._holding(key.shared_part, pool, now_s)
        holder = self._least_loaded(holding, fits, pool)
        if holder is not None:
            return holder
        for candidate in self._homes(key):
            record = pool.by_id.get(candidate)
            if record is not None and fits(record):
                return record

        def bears_more(record: TargetRecord) -> bool:
            return is_open(record) and is_not_full(record)

        return self._least_loaded(pool.records, bears_more, pool)

    def choose_among(
        self,
        targets: Iterable[TargetId],
        key: PlacementKey,
        policy: ServicePolicy,
        tried: set[TargetId],
        now_s: float,
    ) -> TargetRecord | None:
        """Return the least loaded of `targets` with room, or None."""
        pool = self._pool(key, now_s)
        is_open = self._opens(policy, tried, now_s)
        has_room, _ = self._room(policy, pool)
        among = [pool.by_id[target] for target in targets if target in pool.by_id]
        return self._least_loaded(
            among, lambda record: is_open(record) and has_room(record), pool
        )

    def choose_apart(
        self,
        key: PlacementKey,
        policy: ServicePolicy,
        tried: set[TargetId],
        now_s: float,
        request: RequestDigest,
    ) -> TargetRecord | None:
        """
        Return a target that holds little, another one for each request.

        A request that may end its target goes where few others are, and apart
        from those that were under way beside it.
        """
        pool = self._pool(key, now_s)
        is_open = self._opens(policy, tried, now_s)
        has_room, _ = self._room(policy, pool)
        fitting = [r for r in pool.records if is_open(r) and has_room(r)]
        fitting.sort(key=lambda record: self.load.held(record.listed.id))
        idler = fitting[: math.ceil(len(fitting) / 2)]

        def score(record: TargetRecord) -> int:
            return hash_text(f"{request:x}", record.listed.id)

        return max(idler, key=score, default=None)

    def _opens(self, policy: ServicePolicy, tried: set[TargetId], now_s: float) -> Fits:
        """Return whether a target may be asked at all."""

        def is_open(record: TargetRecord) -> bool:
            if record.listed.id in tried or not record.takes_work(now_s):
                return False
            if record.news.is_returning(now_s):
                places = record.news.places(record.listed.slots, now_s)
                if self.load.held(record.listed.id) >= places:
                    return False
            return self._bears_one_more(record, policy, now_s)

        return is_open

    def _room(self, policy: ServicePolicy, pool: ServicePool) -> tuple[Fits, Fits]:
        """Return whether a target has room within the bound, and beyond it."""
        if policy.is_engine:
            has_room = self._fits_within(self._bound(pool), pool)
            return has_room, self._has_free_slot
        return self._has_place, self._has_place

    def _bears_one_more(
        self, record: TargetRecord, policy: ServicePolicy, now_s: float
    ) -> bool:
        """Return whether a target that may be cold bears a request now."""
        if not suffers(record, policy, now_s):
            return True
        return self.cold.may_take(record.listed.id, policy.cold_per_s, now_s)

    def note_sent(
        self, record: TargetRecord, policy: ServicePolicy, now_s: float
    ) -> None:
        """Count a request that is sent to the target that was chosen."""
        if suffers(record, policy, now_s):
            self.cold.note_taken(record.listed.id, policy.cold_per_s, now_s)

    def _pool(self, key: PlacementKey, now_s: float) -> ServicePool:
        """Return the targets among which a request is placed."""
        return self._pools.get(key.pool, self.view, self.load, now_s)

    def _homes(self, key: PlacementKey) -> tuple[TargetId, ...]:
        """Return where the request's shared part belongs, its home first."""
        return self.view.candidates(key.service, key.shared_part or "", key.track)

    def _holding(
        self, part: str, pool: ServicePool, now_s: float
    ) -> list[TargetRecord]:
        """Return those of `pool` that hold `part`."""
        keys = self.holders.latest(part_key(part), now_s)
        found = map(self.view.find_key, keys)
        return [pool.by_id[target] for target in found if target in pool.by_id]

    def is_kept(self, key: PlacementKey, policy: ServicePolicy, now_s: float) -> bool:
        """Return whether a target that may be chosen keeps the shared part."""
        if key.shared_part is None or not policy.is_engine:
            return True
        return bool(self._holding(key.shared_part, self._pool(key, now_s), now_s))

    def is_warm(self, key: PlacementKey, target: TargetId, now_s: float) -> bool:
        """Return whether `target` need not read the request's shared part first."""
        if key.shared_part is None:
            return True
        part = part_key(key.shared_part)
        return self.holders.holds(part, target_key(target), now_s)

    def cache_source(
        self, key: PlacementKey, chosen: TargetId, now_s: float
    ) -> ListedTarget | None:
        """Return whose cache `chosen` should copy the shared part from, if any."""
        if self.is_warm(key, chosen, now_s):
            return None
        return find_cache_source(key, chosen, self.view, self.holders, now_s)

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

    def _bound(self, pool: ServicePool) -> float:
        """Return how many requests one target of `pool` may hold."""
        return BOUND_HEADROOM + self.bound_multiple * BOUND_MARGIN * pool.mean_held

    def _fits_within(self, bound: float, pool: ServicePool) -> Fits:
        """Return whether a target may take one more within `bound`."""

        def fits(record: TargetRecord) -> bool:
            target = record.listed.id
            unseen = max(0.0, self.load.uncertainty(target) - BOUND_SLACK)
            limit = min(bound - unseen, record.listed.slots)
            slow = pool.slow.get(target, 1.0)
            if slow > 1.0:
                # It holds each request longer, and each waits for the others.
                # Where that leaves it nothing, it is tried again once what was
                # seen of it has faded.
                limit = math.floor(limit / slow**2)
            return self.load.held(target) < limit

        return fits

    def _has_place(self, record: TargetRecord) -> bool:
        """Return whether `record` could take a request without a long wait."""
        limit = record.listed.slots * QUEUE_PER_SLOT
        return self.load.held(record.listed.id) < limit

    def _has_free_slot(self, record: TargetRecord) -> bool:
        """
        Return whether an engine would begin a request at once.

        What an engine queues can be neither reordered nor taken back, and its
        callers' time runs out there, so what waits does so here. With four
        fifths of the engines gone in a burst, targets so turn away 2 requests in
        100 instead of 39, and 0.012 fail instead of 0.123 (one day, paired seed).
        """
        return self.load.held(record.listed.id) < record.listed.slots

    def _least_loaded(
        self,
        records: list[TargetRecord],
        fits: Fits,
        pool: ServicePool,
    ) -> TargetRecord | None:
        """Return the one of `records` that holds the least for its slots."""

        def cost(record: TargetRecord) -> tuple[float, int]:
            return self._cost(record, pool.slow.get(record.listed.id, 1.0))

        return min(filter(fits, records), key=cost, default=None)

    def _cost(self, record: TargetRecord, slow: float) -> tuple[float, int]:
        """Return how loaded `record` is, with a fixed order among equals."""
        held = self.load.held(record.listed.id)
        if record.listed.data_centre != self.data_centre:
            held += OTHER_DATA_CENTRE_LOAD
        order = hash_text(self.data_centre, record.listed.id)
        # One more request counts too, or an idle target would never be slow.
        waited = (held + 1) * slow if slow > 1.0 else held
        return waited / max(1, record.listed.slots), order
