"""Tests of the state of targets and of which targets are usable."""

import random

from nose2.tools import params

from scaleloom_core.fleet_load import target_key
from scaleloom_core.ids import TargetId
from scaleloom_core.target_comparison import FAILURE_EJECTION_S, slowness_by_target
from scaleloom_core.target_delays import MAX_RATIO, BaselineDelays
from scaleloom_core.target_entries import ListedState
from scaleloom_core.target_outcomes import Outcomes
from scaleloom_core.target_records import MAX_EJECTION_S, MIN_EJECTION_S
from scaleloom_core.targets import EXPIRY_GRACE_S, TargetView
from tests.fixtures.targets import (
    ENGINE,
    PLAIN,
    SERVICE,
    listed_target,
    placement_key,
    target_chooser,
    target_view,
)

FAILURE_SHARE = 0.45
FAILING_COUNT = 10
ROUTER_COUNT = 68
DURATION_S = 1.5
REPORT_INTERVAL_S = 0.2


def test_a_stale_list_is_not_applied():
    view = target_view(3)
    assert not view.apply_list([], 0)
    assert len(view.records) == 3
    assert view.apply_list([listed_target(9)], 2)
    assert set(view.records) == {"i-9"}


def _usable(view: TargetView, now_s: float) -> set[TargetId]:
    return {record.listed.id for record in view.usable_targets(SERVICE, now_s)}


def test_entries_that_expired_in_an_outage_are_retained_for_a_grace_time():
    view = target_view(3)
    view.retain_expired(10.0)
    view.apply_list([listed_target(0)], 2, 10.0)
    assert _usable(view, 10.1) == {"i-0", "i-1", "i-2"}
    view.apply_list([listed_target(0), listed_target(1)], 3, 11.0)
    assert _usable(view, 11.0) == {"i-0", "i-1", "i-2"}
    assert _usable(view, 10.0 + EXPIRY_GRACE_S) == {"i-0", "i-1"}
    view.apply_list([listed_target(0), listed_target(1)], 4, 12.5)
    assert set(view.records) == {"i-0", "i-1"}


def test_an_entry_that_disappears_without_an_outage_is_removed_at_once():
    view = target_view(2)
    view.apply_list([listed_target(0)], 2, 10.0)
    assert _usable(view, 10.0) == {"i-0"}


def test_a_target_that_drained_before_the_outage_is_not_retained():
    view = target_view(2, state=ListedState.DRAINING)
    view.retain_expired(10.0)
    view.apply_list([], 2, 10.0)
    assert _usable(view, 10.0) == set()


def test_a_draining_target_is_not_usable():
    view = TargetView()
    view.apply_list([listed_target(1), listed_target(2, ListedState.DRAINING)], 1)
    assert [r.listed.id for r in view.usable_targets(SERVICE, 0.0)] == ["i-1"]


def test_an_unreachable_target_is_ejected_for_longer_each_time():
    view = target_view(2)
    record = view.records[TargetId("i-0")]
    record.mark_unreachable(10.0)
    assert len(view.usable_targets(SERVICE, 10.0 + MIN_EJECTION_S / 2)) == 1
    assert len(view.usable_targets(SERVICE, 10.0 + MIN_EJECTION_S)) == 2
    for _ in range(9):
        record.mark_unreachable(20.0)
    assert len(view.usable_targets(SERVICE, 20.0 + MAX_EJECTION_S - 0.1)) == 1
    record.record_answer()
    assert len(view.usable_targets(SERVICE, 20.0)) == 2


def test_an_ejection_outlasts_a_reading_of_the_list():
    view = target_view(2)
    view.records[TargetId("i-0")].mark_unreachable(5.0)
    view.apply_list([listed_target(0), listed_target(1)], 2)
    assert len(view.usable_targets(SERVICE, 5.0)) == 1


def test_a_failing_target_is_ejected_and_readmitted():
    view = target_view(6)
    record = view.records[TargetId("i-0")]
    for _ in range(12):
        record.record_failure()
    assert record not in view.usable_targets(SERVICE, 0.0)
    assert record in view.usable_targets(SERVICE, FAILURE_EJECTION_S + 0.1)
    record.record_failure()
    assert record not in view.usable_targets(SERVICE, FAILURE_EJECTION_S + 0.2)


def _record_partial_failures(
    view: TargetView, failing: set[TargetId], is_reported: bool
) -> None:
    """Record failures at `failing`, seen by one router or reported by all of them."""
    random_draws = random.Random(5)
    for _ in range(int(DURATION_S / REPORT_INTERVAL_S)):
        counts: dict[int, Outcomes] = {}
        for target in view.records:
            sent = 3 if is_reported else random_draws.random() < 3 / ROUTER_COUNT
            share = FAILURE_SHARE if target in failing else 0.0
            failed = sum(random_draws.random() < share for _ in range(sent))
            counts[target_key(target)] = Outcomes(sent - failed, failed)
        view.record_outcomes(counts, is_own_group=not is_reported)


def test_reports_reveal_failing_targets_to_routers_that_send_little():
    failing = {TargetId(f"i-{number}") for number in range(FAILING_COUNT)}
    unreported, reported = target_view(70), target_view(70)
    _record_partial_failures(unreported, failing, is_reported=False)
    _record_partial_failures(reported, failing, is_reported=True)
    used_unreported = {
        record.listed.id for record in unreported.usable_targets(SERVICE, 2.0)
    }
    used_reported = {
        record.listed.id for record in reported.usable_targets(SERVICE, 2.0)
    }
    assert failing <= used_unreported
    assert len(failing & used_reported) <= 2
    assert used_reported >= set(reported.records) - failing


def _record_slow(view: TargetView, slow: set[TargetId], factor: float, now_s: float):
    """Record answers that begin `factor` times later at `slow` than elsewhere."""
    for target in view.records:
        ratio = factor if target in slow else 1.0
        counts = {target_key(target): Outcomes(10, 0, 10, int(1000 * ratio))}
        for _ in range(3):
            view.record_outcomes(counts, is_own_group=False, now_s=now_s)


@params(1, 6, 12)
def test_slow_targets_get_few_requests_until_they_recover(slow_count):
    slow = {TargetId(f"i-{number}") for number in range(slow_count)}
    view = target_view(24)
    chooser = target_chooser(view)
    _record_slow(view, slow, 3.5, 10.0)
    for number in range(100):
        record = chooser.choose(placement_key(f"part-{number}"), ENGINE, set(), 10.0)
        chooser.load.add_request(record.listed.id)
    assert all(chooser.load.in_flight(target) <= 1 for target in slow)
    assert slowness_by_target(view.usable_targets(SERVICE, 30.0), 30.0) == {}


def test_no_target_counts_as_slow_if_all_are():
    view = target_view(6)
    _record_slow(view, set(view.records), 3.5, 10.0)
    assert slowness_by_target(view.usable_targets(SERVICE, 10.0), 10.0) == {}


def test_a_small_difference_does_not_count_as_slow():
    view = target_view(6)
    _record_slow(view, {TargetId("i-0")}, 1.4, 10.0)
    assert slowness_by_target(view.usable_targets(SERVICE, 10.0), 10.0) == {}


def test_an_idle_slow_target_is_not_the_least_loaded():
    view = target_view(3)
    chooser = target_chooser(view)
    _record_slow(view, {TargetId("i-0")}, 4.0, 10.0)
    chosen = [chooser.choose(placement_key(None), PLAIN, set(), 10.0) for _ in range(2)]
    for record in chosen:
        chooser.load.add_request(record.listed.id)
    assert TargetId("i-0") not in {record.listed.id for record in chosen}


def test_delays_are_compared_within_a_route():
    delays = BaselineDelays()
    for _ in range(200):
        assert 0.9 < delays.record_ratio("long", 0.4) < 1.1
        assert 0.9 < delays.record_ratio("short", 0.05) < 1.1
    assert 2.9 < delays.record_ratio("short", 0.15) < 3.1
    assert delays.record_ratio("long", 60.0) == MAX_RATIO


def test_a_target_that_fails_one_group_is_ejected_there():
    view = target_view(6)
    key = target_key(TargetId("i-0"))
    for _ in range(10):
        view.record_outcomes({key: Outcomes(answered=20)}, is_own_group=False)
        view.record_outcomes({key: Outcomes(answered=1, failed=1)}, is_own_group=True)
    assert view.records[TargetId("i-0")] not in view.usable_targets(SERVICE, 0.0)


def test_half_of_the_targets_stay_usable_those_that_fail_least():
    view = target_view(10)
    for number in range(6):
        for _ in range(30):
            view.records[TargetId(f"i-{number}")].record_failure()
    used = {record.listed.id for record in view.usable_targets(SERVICE, 0.0)}
    assert used >= {TargetId(f"i-{number}") for number in range(6, 10)}
    assert len(used) == 5


def test_no_target_is_ejected_if_all_fail():
    view = target_view(6)
    for record in view.records.values():
        for _ in range(12):
            record.record_failure()
    assert len(view.usable_targets(SERVICE, 0.0)) == 6
