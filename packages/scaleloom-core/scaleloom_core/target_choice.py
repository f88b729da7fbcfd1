"""The choice of a target for one request, within the load bound of its service."""

import math
from collections.abc import Callable

import msgspec

from scaleloom_core.cold_targets import ColdShares
from scaleloom_core.fleet_load import FleetLoad, target_key
from scaleloom_core.hashing import hash_text
from scaleloom_core.ids import DataCentreName, ServiceName, TargetId
from scaleloom_core.listed import ListedTarget
from scaleloom_core.prefix_holders import PrefixHolders, part_key
from scaleloom_core.routing import ServicePolicy
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.targets import TargetView

# Peers' reports are a fraction of a second old, so the bound that a router
# keeps to is narrower than the one that is promised.
BOUND_MARGIN = 0.8
BOUND_HEADROOM = 2
# The part of that difference which covers what reports do not show yet.
BOUND_SLACK = 1.0
QUEUE_PER_SLOT = 2.0
# Looking through a pool takes about 2 us a target, so that this keeps it under a
# tenth of a core; peers' reports are older than this in a fleet of that size.
LARGE_POOL = 128
LIFE_FOR_EACH_S = 2e-5
LONGEST_LIFE_S = 0.1
OTHER_DATA_CENTRE_LOAD = 0.75


class PlacementKey(msgspec.Struct, frozen=True):
    """What a request should land beside: the prompt part it shares."""

    service: ServiceName
    shared_part: str | None


class ServicePool(msgspec.Struct):
    """
    The targets of one service that may be chosen, as they stood a moment ago.

    Parameters
    ----------
    slow : dict of TargetId to float
        How many times slower than usual those are that are slow.
    mean_held : float
        The requests that one of them holds on average.
    generation : int
        The view's, from which this was made.
    """

    records: list[TargetRecord]
    by_id: dict[TargetId, TargetRecord]
    slow: dict[TargetId, float]
    mean_held: float
    made_s: float
    generation: int

    @property
    def life_s(self) -> float:
        """Return for how long this is used, which is no time for a small pool."""
        if len(self.records) < LARGE_POOL:
            return 0.0
        return min(LONGEST_LIFE_S, LIFE_FOR_EACH_S * len(self.records))


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
    _pools: dict[ServiceName, ServicePool] = msgspec.field(default_factory=dict)

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
        pool = self._pool(key.service, now_s)
        if policy.is_engine:
            has_room = self._fits_within(self._bound(pool), pool)
            is_not_full = self._has_free_slot
        else:
            has_room = is_not_full = self._has_place

        def is_open(record: TargetRecord) -> bool:
            if record.listed.id in tried or record.away_until_s > now_s:
                return False
            return self._bears_one_more(record, policy, now_s)

        def fits(record: TargetRecord) -> bool:
            return is_open(record) and has_room(record)

        if key.shared_part is None:
            return self._least_loaded(pool.records, fits, pool)
        holding = self._holding(key.shared_part, pool, now_s)
        holder = self._least_loaded(holding, fits, pool)
        if holder is not None:
            return holder
        for candidate in self.view.candidates(key.service, key.shared_part):
            record = pool.by_id.get(candidate)
            if record is not None and fits(record):
                return record

        def bears_more(record: TargetRecord) -> bool:
            return is_open(record) and is_not_full(record)

        return self._least_loaded(pool.records, bears_more, pool)

    def _bears_one_more(
        self, record: TargetRecord, policy: ServicePolicy, now_s: float
    ) -> bool:
        """Return whether a target that may be cold bears a request now."""
        if not _suffers(record, policy, now_s):
            return True
        return self.cold.may_take(record.listed.id, policy.cold_per_s, now_s)

    def note_sent(
        self, record: TargetRecord, policy: ServicePolicy, now_s: float
    ) -> None:
        """Count a request that is sent to the target that was chosen."""
        if _suffers(record, policy, now_s):
            self.cold.note_taken(record.listed.id, policy.cold_per_s, now_s)

    def _pool(self, service: ServiceName, now_s: float) -> ServicePool:
        """Return the targets of `service`, looked through anew unless they are many."""
        pool = self._pools.get(service)
        if pool is not None and pool.generation == self.view.generation:
            if now_s - pool.made_s < pool.life_s:
                return pool
        usable = self.view.usable(service, now_s)
        pool = ServicePool(
            records=usable,
            by_id={record.listed.id: record for record in usable},
            slow=self.view.slownesses(usable, now_s),
            mean_held=self._mean_held(service, usable),
            made_s=now_s,
            generation=self.view.generation,
        )
        self._pools[service] = pool
        return pool

    def _mean_held(self, service: ServiceName, usable: list[TargetRecord]) -> float:
        """
        Return the mean that the load bound rests on.

        What is left out for its failures, away or evacuated holds little and still
        belongs to the service. With 10 of 25 targets left out, a bound on the
        mean of the others alone let 4 in 100 requests reach a target that held
        over twice the mean (one day, three plays).
        """
        listed = self.view.by_service.get(service, [])
        members = listed + self.view.evacuated_of(service)
        if len(members) == len(usable):
            return self._mean_of(usable)
        return min(self._mean_of(usable), self._mean_of(members))

    def _mean_of(self, records: list[TargetRecord]) -> float:
        """Return how many requests one of `records` holds on average."""
        total = sum(self.load.held(record.listed.id) for record in records)
        return total / max(1, len(records))

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
        return bool(
            self._holding(key.shared_part, self._pool(key.service, now_s), now_s)
        )

    def is_warm(self, key: PlacementKey, target: TargetId, now_s: float) -> bool:
        """Return whether `target` need not read the request's shared part first."""
        if key.shared_part is None:
            return True
        part = part_key(key.shared_part)
        return self.holders.holds(part, target_key(target), now_s)

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
        if part is None or self.is_warm(key, chosen, now_s):
            return None
        number = part_key(part)
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

    def _bound(self, pool: ServicePool) -> float:
        """Return how many requests one target of `pool` may hold."""
        return BOUND_HEADROOM + self.bound_multiple * BOUND_MARGIN * pool.mean_held

    def _fits_within(
        self, bound: float, pool: ServicePool
    ) -> Callable[[TargetRecord], bool]:
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
        fits: Callable[[TargetRecord], bool],
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


def _suffers(record: TargetRecord, policy: ServicePolicy, now_s: float) -> bool:
    """Return whether `record` is cold and would fall over for it."""
    return policy.cold_per_s > 0.0 and record.is_cold(policy.cold_start_s, now_s)
