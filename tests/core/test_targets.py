"""Tests of what is known of targets."""

import random

from nose2.tools import params

from scaleloom_core.fleet_load import target_key
from scaleloom_core.ids import TargetId
from scaleloom_core.listed import ListedState
from scaleloom_core.target_comparison import FAILING_ABSENCE_S, slownesses
from scaleloom_core.target_delays import LONGEST_RATIO, UsualDelays
from scaleloom_core.target_outcomes import Outcomes
from scaleloom_core.target_records import FIRST_ABSENCE_S, LONGEST_ABSENCE_S
from scaleloom_core.targets import LAPSE_GRACE_S, TargetView
from tests.fixtures.targets import (
    ENGINE,
    PLAIN,
    SERVICE,
    listed_target,
    placement_key,
    target_chooser,
    target_view,
)

GREY_SHARE = 0.45
GREY_COUNT = 10
ROUTER_COUNT = 68
PLAYED_S = 1.5
REPORT_S = 0.2


def test_a_stale_reading_of_the_list_is_not_taken_in():
    view = target_view(3)
    assert not view.apply_list([], 0)
    assert len(view.records) == 3
    assert view.apply_list([listed_target(9)], 2)
    assert set(view.records) == {"i-9"}


def _usable(view: TargetView, now_s: float) -> set[TargetId]:
    return {record.listed.id for record in view.usable(SERVICE, now_s)}


def test_an_entry_that_lapsed_in_an_outage_counts_until_it_is_back():
    view = target_view(3)
    view.allow_lapses(10.0)
    view.apply_list([listed_target(0)], 2, 10.0)
    assert _usable(view, 10.1) == {"i-0", "i-1", "i-2"}
    view.apply_list([listed_target(0), listed_target(1)], 3, 11.0)
    assert _usable(view, 11.0) == {"i-0", "i-1", "i-2"}
    assert _usable(view, 10.0 + LAPSE_GRACE_S) == {"i-0", "i-1"}
    view.apply_list([listed_target(0), listed_target(1)], 4, 12.5)
    assert set(view.records) == {"i-0", "i-1"}


def test_an_entry_that_goes_without_an_outage_is_gone_at_once():
    view = target_view(2)
    view.apply_list([listed_target(0)], 2, 10.0)
    assert _usable(view, 10.0) == {"i-0"}


def test_a_target_that_was_leaving_before_the_outage_does_not_come_back():
    view = target_view(2, state=ListedState.DRAINING)
    view.allow_lapses(10.0)
    view.apply_list([], 2, 10.0)
    assert _usable(view, 10.0) == set()


def test_a_draining_target_takes_nothing_new():
    view = TargetView()
    view.apply_list([listed_target(1), listed_target(2, ListedState.DRAINING)], 1)
    assert [r.listed.id for r in view.usable(SERVICE, 0.0)] == ["i-1"]


def test_an_unreachable_target_is_away_longer_each_time():
    view = target_view(2)
    record = view.records[TargetId("i-0")]
    record.note_unreachable(10.0)
    assert len(view.usable(SERVICE, 10.0 + FIRST_ABSENCE_S / 2)) == 1
    assert len(view.usable(SERVICE, 10.0 + FIRST_ABSENCE_S)) == 2
    for _ in range(9):
        record.note_unreachable(20.0)
    assert len(view.usable(SERVICE, 20.0 + LONGEST_ABSENCE_S - 0.1)) == 1
    record.note_answer()
    assert len(view.usable(SERVICE, 20.0)) == 2


def test_what_is_known_of_a_target_outlives_a_reading_of_the_list():
    view = target_view(2)
    view.records[TargetId("i-0")].note_unreachable(5.0)
    view.apply_list([listed_target(0), listed_target(1)], 2)
    assert len(view.usable(SERVICE, 5.0)) == 1


def test_a_failing_target_is_left_out_and_comes_back():
    view = target_view(6)
    record = view.records[TargetId("i-0")]
    for _ in range(12):
        record.note_failure()
    assert record not in view.usable(SERVICE, 0.0)
    assert record in view.usable(SERVICE, FAILING_ABSENCE_S + 0.1)
    record.note_failure()
    assert record not in view.usable(SERVICE, FAILING_ABSENCE_S + 0.2)


def _play_grey(view: TargetView, grey: set[TargetId], is_told: bool) -> None:
    """Let requests fail at `grey`, seen by one router or told by all of them."""
    drawn = random.Random(5)
    for _ in range(int(PLAYED_S / REPORT_S)):
        counts: dict[int, Outcomes] = {}
        for target in view.records:
            sent = 3 if is_told else drawn.random() < 3 / ROUTER_COUNT
            share = GREY_SHARE if target in grey else 0.0
            failed = sum(drawn.random() < share for _ in range(sent))
            counts[target_key(target)] = Outcomes(sent - failed, failed)
        view.note_outcomes(counts, is_near=not is_told)


def test_targets_that_fail_the_fleet_are_seen_by_routers_that_send_little():
    grey = {TargetId(f"i-{number}") for number in range(GREY_COUNT)}
    alone, told = target_view(70), target_view(70)
    _play_grey(alone, grey, is_told=False)
    _play_grey(told, grey, is_told=True)
    used_alone = {record.listed.id for record in alone.usable(SERVICE, 2.0)}
    used_told = {record.listed.id for record in told.usable(SERVICE, 2.0)}
    assert grey <= used_alone
    assert len(grey & used_told) <= 2
    assert used_told >= set(told.records) - grey


def _play_slow(view: TargetView, slow: set[TargetId], times: float, now_s: float):
    """Let answers begin `times` later at `slow` than elsewhere, as routers tell."""
    for target in view.records:
        ratio = times if target in slow else 1.0
        counts = {target_key(target): Outcomes(10, 0, 10, int(1000 * ratio))}
        for _ in range(3):
            view.note_outcomes(counts, is_near=False, now_s=now_s)


@params(1, 6, 12)
def test_slow_targets_take_little_until_they_are_well(slow_count):
    slow = {TargetId(f"i-{number}") for number in range(slow_count)}
    view = target_view(24)
    chooser = target_chooser(view)
    _play_slow(view, slow, 3.5, 10.0)
    for number in range(100):
        record = chooser.choose(placement_key(f"part-{number}"), ENGINE, set(), 10.0)
        chooser.load.take(record.listed.id)
    assert all(chooser.load.held(target) <= 1 for target in slow)
    assert slownesses(view.usable(SERVICE, 30.0), 30.0) == {}


def test_when_all_targets_turn_slow_none_is_passed_over():
    view = target_view(6)
    _play_slow(view, set(view.records), 3.5, 10.0)
    assert slownesses(view.usable(SERVICE, 10.0), 10.0) == {}


def test_targets_that_differ_a_little_are_not_slow():
    view = target_view(6)
    _play_slow(view, {TargetId("i-0")}, 1.4, 10.0)
    assert slownesses(view.usable(SERVICE, 10.0), 10.0) == {}


def test_a_slow_target_is_not_the_least_loaded_though_it_is_idle():
    view = target_view(3)
    chooser = target_chooser(view)
    _play_slow(view, {TargetId("i-0")}, 4.0, 10.0)
    chosen = [chooser.choose(placement_key(None), PLAIN, set(), 10.0) for _ in range(2)]
    for record in chosen:
        chooser.load.take(record.listed.id)
    assert TargetId("i-0") not in {record.listed.id for record in chosen}


def test_delays_are_compared_within_a_route():
    delays = UsualDelays()
    for _ in range(200):
        assert 0.9 < delays.ratio("long", 0.4) < 1.1
        assert 0.9 < delays.ratio("short", 0.05) < 1.1
    assert 2.9 < delays.ratio("short", 0.15) < 3.1
    assert delays.ratio("long", 60.0) == LONGEST_RATIO


def test_a_target_that_fails_one_data_centre_is_left_out_there():
    view = target_view(6)
    key = target_key(TargetId("i-0"))
    for _ in range(10):
        view.note_outcomes({key: Outcomes(answered=20)}, is_near=False)
        view.note_outcomes({key: Outcomes(answered=1, failed=1)}, is_near=True)
    assert view.records[TargetId("i-0")] not in view.usable(SERVICE, 0.0)


def test_of_many_failing_targets_those_that_fail_least_are_used():
    view = target_view(10)
    for number in range(6):
        for _ in range(30):
            view.records[TargetId(f"i-{number}")].note_failure()
    used = {record.listed.id for record in view.usable(SERVICE, 0.0)}
    assert used >= {TargetId(f"i-{number}") for number in range(6, 10)}
    assert len(used) == 5


def test_failures_of_all_targets_leave_none_out():
    view = target_view(6)
    for record in view.records.values():
        for _ in range(12):
            record.note_failure()
    assert len(view.usable(SERVICE, 0.0)) == 6
