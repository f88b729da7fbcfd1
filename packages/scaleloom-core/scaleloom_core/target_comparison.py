"""Targets against each other: which fail or are slow beside the better ones."""

import math

from scaleloom_core.ids import TargetId
from scaleloom_core.target_delays import slowness
from scaleloom_core.target_records import FAILURE_EXCESS, TargetRecord

# Where the better targets fail too, only one that is far worse is left out.
FAILURE_MULTIPLE = 3.0
# Faults of targets on the users' sheets last 4 s and more; each return costs a
# few requests.
FAILING_ABSENCE_S = 1.5
# The others carry at most twice their load, which is the users' load bound.
LEAST_USABLE_SHARE = 0.5


def without_failing(reachable: list[TargetRecord], now_s: float) -> list[TargetRecord]:
    """
    Return `reachable` without those that fail far more often than the better ones.

    They are left out for a while, but never so many that less than half remain:
    those that fail least stay.
    """
    if not any(_may_be_failing(record, now_s) for record in reachable):
        return reachable
    usual = _quartile([record.failure_ratio for record in reachable])
    well = [r for r in reachable if not _is_failing(r, usual, now_s)]
    least = math.ceil(LEAST_USABLE_SHARE * len(reachable))
    if len(well) >= least:
        return well
    return sorted(reachable, key=_failure_ratio)[:least]


def slownesses(records: list[TargetRecord], now_s: float) -> dict[TargetId, float]:
    """Return those of `records` that are slow against the better ones."""
    if not any(record.delays.may_be_slow for record in records):
        return {}
    ratios = {r.listed.id: r.delays.ratio(now_s) for r in records}
    usual = _quartile(list(ratios.values()))
    found = {target: slowness(ratio, usual) for target, ratio in ratios.items()}
    return {target: times for target, times in found.items() if times > 1.0}


def _failure_ratio(record: TargetRecord) -> float:
    """Return the share of requests that lately failed at `record`."""
    return record.failure_ratio


def _quartile(values: list[float]) -> float:
    """Return what a quarter of `values` does not exceed, whatever the others are."""
    return sorted(values)[len(values) // 4]


def _may_be_failing(record: TargetRecord, now_s: float) -> bool:
    """Return whether `record` is to be compared with the others."""
    is_left_out = record.failing_until_s > now_s
    return is_left_out or record.failure_ratio >= FAILURE_EXCESS


def _is_failing(record: TargetRecord, usual: float, now_s: float) -> bool:
    """Return whether `record` is left out for its failures at `now_s`."""
    if record.failing_until_s > now_s:
        return True
    if record.failure_ratio < max(FAILURE_EXCESS, FAILURE_MULTIPLE * usual):
        return False
    record.leave_out_until(now_s + FAILING_ABSENCE_S)
    return True
