"""Facts about a service's targets on which roll-out decisions depend."""

from collections import Counter

from scaleloom_core.ids import Version
from scaleloom_core.rollouts.state import FleetReadiness
from scaleloom_core.rollouts.versions import Track
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway.rollout_records import Rollout
from scaleloom_fleet.gateway.rollout_reports import has_drained
from scaleloom_fleet.gateway.state import GatewayState


def _records(state: GatewayState, rollout: Rollout) -> list[TargetRecord]:
    """Return the listed targets of the service that is rolled out."""
    service = rollout.state.service
    records = state.view.records.values()
    return [record for record in records if record.listed.service == service]


def fleet_readiness(
    state: GatewayState, rollout: Rollout, now_s: float
) -> FleetReadiness:
    """Return what a decision depends on besides the evidence."""
    rule = rollout.rule()
    slots: Counter[Track | None] = Counter()
    for record in _records(state, rollout):
        listed = record.listed
        is_open = record.is_ready
        is_open &= listed.data_centre not in state.view.evacuated
        if is_open and record.is_reachable(now_s):
            slots[rule.track_of(listed.version)] += listed.slots
    is_fleet_drained = has_drained(state, rollout, now_s)
    is_fleet_drained &= rollout.drain_progress.is_complete(now_s)
    return FleetReadiness(
        slots[Track.CANDIDATE], slots[Track.CURRENT], is_fleet_drained
    )


def replaced_versions(state: GatewayState, rollout: Rollout) -> frozenset[Version]:
    """Return the listed versions that the ordered one replaces."""
    rule = rollout.rule()
    listed = (record.listed for record in _records(state, rollout))
    current = {
        target.version
        for target in listed
        if rule.track_of(target.version) is Track.CURRENT
    }
    return frozenset(current)
