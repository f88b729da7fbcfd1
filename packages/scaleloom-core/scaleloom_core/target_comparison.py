"""Comparison of targets with each other, to find failing and slow ones."""

import math

from scaleloom_core.ids import TargetId
from scaleloom_core.target_delays import slowness
from scaleloom_core.target_records import FAILURE_EXCESS, TargetRecord

# If the better targets fail too, only a target that is far worse is ejected.
FAILURE_MULTIPLE = 3.0
# Faults of targets in the users' scenarios last 4 s and more, and each readmission
# of a target costs a few requests.
FAILURE_EJECTION_S = 1.5
# With half of the targets left, each carries at most twice its load, which is the
# users' load bound.
MIN_USABLE_SHARE = 0.5


def exclude_failing(reachable: list[TargetRecord], now_s: float) -> list[TargetRecord]:
    """
    Return `reachable` without the targets that fail far more often than others.

    Failing targets are ejected for a while. At least half of the targets remain;
    if too many fail, those with the lowest share of failures stay.
    """
    if not any(_is_suspect(record, now_s) for record in reachable):
        return reachable
    baseline = _quartile([record.failure_ratio for record in reachable])
    healthy = [r for r in reachable if not _is_failing(r, baseline, now_s)]
    min_usable = math.ceil(MIN_USABLE_SHARE * len(reachable))
    if len(healthy) >= min_usable:
        return healthy
    return sorted(reachable, key=_failure_ratio)[:min_usable]


def slowness_by_target(
    records: list[TargetRecord], now_s: float
) -> dict[TargetId, float]:
    """Return how many times slower each of the slow `records` is than its peers."""
    if not any(record.delays.may_be_slow for record in records):
        return {}
    ratios = {r.listed.id: r.delays.ratio(now_s) for r in records}
    baseline = _quartile(list(ratios.values()))
    slow = {target: slowness(ratio, baseline) for target, ratio in ratios.items()}
    return {target: factor for target, factor in slow.items() if factor > 1.0}


def _failure_ratio(record: TargetRecord) -> float:
    """Return the share of recent requests that failed at the target."""
    return record.failure_ratio


def _quartile(values: list[float]) -> float:
    """Return the lower quartile of `values`, which a few bad targets don't change."""
    return sorted(values)[len(values) // 4]


def _is_suspect(record: TargetRecord, now_s: float) -> bool:
    """Return whether the target is ejected, or fails often enough to compare it."""
    is_ejected = record.failure_ejected_until_s > now_s
    return is_ejected or record.failure_ratio >= FAILURE_EXCESS


def _is_failing(record: TargetRecord, baseline: float, now_s: float) -> bool:
    """Return whether the target is ejected for its failures at `now_s`."""
    if record.failure_ejected_until_s > now_s:
        return True
    if record.failure_ratio < max(FAILURE_EXCESS, FAILURE_MULTIPLE * baseline):
        return False
    record.eject_until(now_s + FAILURE_EJECTION_S)
    return True
