"""The targets of one service and track that may be chosen, as they stand."""

import msgspec

from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import TargetId
from scaleloom_core.target_comparison import slownesses
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.target_tracks import TrackKey
from scaleloom_core.targets import TargetView

# Looking through a pool takes about 2 us a target, so that this keeps it under a
# tenth of a core; peers' reports are older than this in a fleet of that size.
LARGE_POOL = 128
LIFE_FOR_EACH_S = 2e-5
LONGEST_LIFE_S = 0.1


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


class ServicePools(msgspec.Struct):
    """The pools of all services and tracks, each made when it is asked for."""

    _pools: dict[TrackKey, ServicePool] = msgspec.field(default_factory=dict)

    def get(
        self, key: TrackKey, view: TargetView, load: FleetLoad, now_s: float
    ) -> ServicePool:
        """Return a pool, looked through anew unless its targets are many."""
        pool = self._pools.get(key)
        if pool is not None and pool.generation == view.generation:
            if now_s - pool.made_s < pool.life_s:
                return pool
        usable = view.usable(key.service, now_s, key.track)
        pool = ServicePool(
            records=usable,
            by_id={record.listed.id: record for record in usable},
            slow=slownesses(usable, now_s),
            mean_held=_mean_held(view.ready_of(key.service), usable, load),
            made_s=now_s,
            generation=view.generation,
        )
        self._pools[key] = pool
        return pool


def _mean_held(
    ready: list[TargetRecord], usable: list[TargetRecord], load: FleetLoad
) -> float:
    """
    Return the mean that the load bound rests on.

    What is left out for its failures, away, evacuated or on the other track holds
    little and still belongs to the service. With 10 of 25 targets left out, a
    bound on the mean of the others alone let 4 in 100 requests reach a target
    that held over twice the mean (one day, three plays).
    """
    if len(ready) == len(usable):
        return _mean_of(usable, load)
    return min(_mean_of(usable, load), _mean_of(ready, load))


def _mean_of(records: list[TargetRecord], load: FleetLoad) -> float:
    """Return how many requests one of `records` holds on average."""
    total = sum(load.held(record.listed.id) for record in records)
    return total / max(1, len(records))
