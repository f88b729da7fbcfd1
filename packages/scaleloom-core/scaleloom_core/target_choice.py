"""The choice of a target for one request, within the load bound of its service."""

import math
from collections.abc import Callable, Iterable

import msgspec

from scaleloom_core.cache_sources import find_cache_source
from scaleloom_core.cold_targets import ColdSendSchedule, is_cold_limited
from scaleloom_core.fleet_load import FleetLoad, target_key
from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import (
    CauseDigest,
    DataCentreName,
    ServiceName,
    TargetId,
)
from scaleloom_core.placement_key import PlacementKey
from scaleloom_core.prefix_holders import PrefixHolders, part_key
from scaleloom_core.routing import ServicePolicy
from scaleloom_core.service_pools import ServicePool, ServicePools, bound_pool
from scaleloom_core.stream_origins import StreamBound
from scaleloom_core.target_entries import ListedTarget
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.targets import TargetView

# Peers' reports are a fraction of a second old, so the router's own bound is
# narrower than the promised one.
BOUND_MARGIN = 0.8
BOUND_HEADROOM = 2
# The part of that difference that covers requests not yet reported.
BOUND_SLACK = 1.0
QUEUE_PER_SLOT = 2.0
OTHER_DATA_CENTRE_LOAD = 0.75


TargetFilter = Callable[[TargetRecord], bool]


class TargetChooser(msgspec.Struct):
    """
    Chooses targets by their state and load.

    Parameters
    ----------
    view : TargetView
        The targets and their state.
    load : FleetLoad
        Requests in flight by target.
    data_centre : DataCentreName
        Where this router runs; its targets are preferred.
    bound_multiple : float
        Upper bound of a target's load, as a multiple of its service's mean.
    holders : PrefixHolders
        Which targets hold which prompt parts.
    cold_schedule : ColdSendSchedule
        When this router may send to cold targets.
    """

    view: TargetView
    load: FleetLoad
    data_centre: DataCentreName
    bound_multiple: float
    holders: PrefixHolders = msgspec.field(default_factory=PrefixHolders)
    cold_schedule: ColdSendSchedule = msgspec.field(default_factory=ColdSendSchedule)
    _pools: ServicePools = msgspec.field(default_factory=ServicePools)

    def choose(
        self,
        key: PlacementKey,
        policy: ServicePolicy,
        attempted: set[TargetId],
        now_s: float,
        bound: StreamBound | None = None,
    ) -> TargetRecord | None:
        """
        Return the target to send to, or None if every target is full.

        A request with a shared prompt part goes to the least loaded target that holds
        the part and is within the bound. If there is none, the request goes to the
        first target within the bound in rendezvous order, so that all routers agree on
        the home and on where its overflow goes. Any other request goes to the least
        loaded target, the own data centre first. Cold targets are included while it
        is this router's turn to send to them.

        Parameters
        ----------
        attempted : set of TargetId
            Targets to exclude, since the request was sent there before.
        bound : StreamBound or None
            Where a stream that has begun may go on; None for any other request.
        """
        pool = self._pool(key, now_s, bound)
        is_available = self._availability_filter(policy, attempted, now_s)
        has_room, is_not_full = self._slot_filters(policy, pool)

        def fits(record: TargetRecord) -> bool:
            return is_available(record) and has_room(record)

        if key.shared_part is None:
            return self._least_loaded(pool.records, fits, pool)
        holders_here = self._holders_in(key.shared_part, pool, now_s)
        holder = self._least_loaded(holders_here, fits, pool)
        if holder is not None:
            return holder
        for candidate in self._home_candidates(key):
            record = pool.by_id.get(candidate)
            if record is not None and fits(record):
                return record

        def fits_beyond_bound(record: TargetRecord) -> bool:
            return is_available(record) and is_not_full(record)

        return self._least_loaded(pool.records, fits_beyond_bound, pool)

    def choose_among(
        self,
        targets: Iterable[TargetId],
        key: PlacementKey,
        policy: ServicePolicy,
        attempted: set[TargetId],
        now_s: float,
    ) -> TargetRecord | None:
        """Return the least loaded of `targets` within the bound, or None."""
        pool = self._pool(key, now_s)
        is_available = self._availability_filter(policy, attempted, now_s)
        has_room, _ = self._slot_filters(policy, pool)
        among = [pool.by_id[target] for target in targets if target in pool.by_id]
        return self._least_loaded(
            among, lambda record: is_available(record) and has_room(record), pool
        )

    def choose_for_trial(
        self,
        key: PlacementKey,
        policy: ServicePolicy,
        attempted: set[TargetId],
        now_s: float,
        request: CauseDigest,
        bound: StreamBound | None = None,
    ) -> TargetRecord | None:
        """
        Return a target with few requests in flight, a different one for each request.

        A request that may crash its target is sent where few others are in flight, and
        away from the requests that were in flight beside it before.
        """
        pool = self._pool(key, now_s, bound)
        is_available = self._availability_filter(policy, attempted, now_s)
        has_room, _ = self._slot_filters(policy, pool)
        fitting = [r for r in pool.records if is_available(r) and has_room(r)]
        fitting.sort(key=lambda record: self.load.in_flight(record.listed.id))
        less_loaded_half = fitting[: math.ceil(len(fitting) / 2)]

        def score(record: TargetRecord) -> int:
            return hash_text(f"{request:x}", record.listed.id)

        return max(less_loaded_half, key=score, default=None)

    def _availability_filter(
        self, policy: ServicePolicy, attempted: set[TargetId], now_s: float
    ) -> TargetFilter:
        """Return a filter of targets that may be sent a request at all."""

        def is_available(record: TargetRecord) -> bool:
            if record.listed.id in attempted or not record.accepts_work(now_s):
                return False
            if record.signals.is_ramping_up(now_s):
                limit = record.signals.ramp_up_limit(record.listed.slots, now_s)
                if self.load.in_flight(record.listed.id) >= limit:
                    return False
            return self._is_within_cold_rate(record, policy, now_s)

        return is_available

    def _slot_filters(
        self, policy: ServicePolicy, pool: ServicePool
    ) -> tuple[TargetFilter, TargetFilter]:
        """Return filters of targets within the load bound, and with a free slot."""
        if policy.is_engine:
            has_room = self._bound_filter(self._load_bound(pool), pool)
            return has_room, self._has_free_slot
        return self._has_queue_slot, self._has_queue_slot

    def _is_within_cold_rate(
        self, record: TargetRecord, policy: ServicePolicy, now_s: float
    ) -> bool:
        """Return whether the rate limit of a cold target allows a request now."""
        if not is_cold_limited(record, policy, now_s):
            return True
        return self.cold_schedule.may_send(
            record.listed.id, policy.cold_requests_per_s, now_s
        )

    def record_sent(
        self, record: TargetRecord, policy: ServicePolicy, now_s: float
    ) -> None:
        """Count a request that is sent to the chosen target."""
        if is_cold_limited(record, policy, now_s):
            self.cold_schedule.record_sent(
                record.listed.id, policy.cold_requests_per_s, now_s
            )

    def _pool(
        self, key: PlacementKey, now_s: float, bound: StreamBound | None = None
    ) -> ServicePool:
        """Return the targets among which a request is placed."""
        if bound is not None:
            return bound_pool(key.service, bound, self.view, self.load, now_s)
        return self._pools.get(key.pool, self.view, self.load, now_s)

    def _home_candidates(self, key: PlacementKey) -> tuple[TargetId, ...]:
        """Return the targets for the request's shared part in order, its home first."""
        return self.view.candidates(key.service, key.shared_part or "", key.track)

    def _holders_in(
        self, part: str, pool: ServicePool, now_s: float
    ) -> list[TargetRecord]:
        """Return the targets of `pool` that hold `part`."""
        keys = self.holders.holders_of(part_key(part), now_s)
        found = map(self.view.find_by_key, keys)
        return [pool.by_id[target] for target in found if target in pool.by_id]

    def has_holder(
        self, key: PlacementKey, policy: ServicePolicy, now_s: float
    ) -> bool:
        """Return whether a usable target holds the shared part, if there is one."""
        if key.shared_part is None or not policy.is_engine:
            return True
        return bool(self._holders_in(key.shared_part, self._pool(key, now_s), now_s))

    def is_cached(self, key: PlacementKey, target: TargetId, now_s: float) -> bool:
        """Return whether `target` holds the request's shared part, if there is one."""
        if key.shared_part is None:
            return True
        part = part_key(key.shared_part)
        return self.holders.holds(part, target_key(target), now_s)

    def cache_source(
        self,
        key: PlacementKey,
        chosen: TargetId,
        now_s: float,
        bound: StreamBound | None = None,
    ) -> ListedTarget | None:
        """Return the target from which `chosen` should copy the shared part, if any."""
        if self.is_cached(key, chosen, now_s):
            return None
        return find_cache_source(key, chosen, self.view, self.holders, now_s, bound)

    def record_cached(self, key: PlacementKey, target: TargetId, now_s: float) -> None:
        """
        Record that `target` holds the request's shared part.

        To be called once the answer begins. Before that, another request for the part
        finds nothing at the target, and is given a cache source like the first one.
        """
        if key.shared_part is not None:
            part = part_key(key.shared_part)
            self.holders.add_local(part, target_key(target), now_s)

    def forget_cached(self, key: PlacementKey, target: TargetId) -> None:
        """Forget that `target` holds the request's shared part."""
        if key.shared_part is not None:
            part = part_key(key.shared_part)
            self.holders.discard_local(part, target_key(target))

    def has_capacity(self, service: ServiceName, now_s: float) -> bool:
        """Return whether some target of `service` could accept a request."""
        return any(map(self._has_queue_slot, self.view.usable_targets(service, now_s)))

    def _load_bound(self, pool: ServicePool) -> float:
        """Return the load bound of one target of `pool`, in requests."""
        return BOUND_HEADROOM + self.bound_multiple * BOUND_MARGIN * pool.mean_in_flight

    def _bound_filter(self, bound: float, pool: ServicePool) -> TargetFilter:
        """Return a filter of targets that fit one more request within `bound`."""

        def fits(record: TargetRecord) -> bool:
            target = record.listed.id
            unreported = max(0.0, self.load.uncertainty(target) - BOUND_SLACK)
            limit = min(bound - unreported, record.listed.slots)
            slowness = pool.slowness.get(target, 1.0)
            if slowness > 1.0:
                # A slow target has each request in flight for longer, and each
                # waits for the others, hence the square. A target whose limit
                # becomes zero is used again once its recorded delays have decayed.
                limit = math.floor(limit / slowness**2)
            return self.load.in_flight(target) < limit

        return fits

    def _has_queue_slot(self, record: TargetRecord) -> bool:
        """Return whether `record` could accept a request without a long wait."""
        limit = record.listed.slots * QUEUE_PER_SLOT
        return self.load.in_flight(record.listed.id) < limit

    def _has_free_slot(self, record: TargetRecord) -> bool:
        """
        Return whether an engine would begin a request at once.

        Requests queued in an engine can be neither reordered nor recalled, and their
        deadlines pass there, so requests wait in the router instead. With four fifths
        of the engines gone in a burst, targets thereby refuse 2 requests in 100
        instead of 39, and 0.012 fail instead of 0.123 (in a simulated day, paired
        seeds).
        """
        return self.load.in_flight(record.listed.id) < record.listed.slots

    def _least_loaded(
        self,
        records: list[TargetRecord],
        fits: TargetFilter,
        pool: ServicePool,
    ) -> TargetRecord | None:
        """Return the target of `records` with the least load relative to its slots."""

        def cost(record: TargetRecord) -> tuple[float, int]:
            return self._cost(record, pool.slowness.get(record.listed.id, 1.0))

        return min(filter(fits, records), key=cost, default=None)

    def _cost(self, record: TargetRecord, slowness: float) -> tuple[float, int]:
        """Return the relative load of `record`, and a fixed order among equals."""
        in_flight = self.load.in_flight(record.listed.id)
        if record.listed.data_centre != self.data_centre:
            in_flight += OTHER_DATA_CENTRE_LOAD
        order = hash_text(self.data_centre, record.listed.id)
        # Includes the request to be placed, or the slowness of an idle target would
        # have no effect.
        weighted = (in_flight + 1) * slowness if slowness > 1.0 else in_flight
        return weighted / max(1, record.listed.slots), order
