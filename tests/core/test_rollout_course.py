"""Tests of one roll-out as one router carries it out."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from scaleloom_core.ids import ServiceName, TargetId, Version
from scaleloom_core.rollouts.course import (
    DONE_LEAD_S,
    DOUBT_FRACTION,
    EXTENSION_FRACTION,
    LATE_OBSERVATION_S,
    FleetReadiness,
    RolloutCourse,
    begin_course,
)
from scaleloom_core.rollouts.exposure import USABLE_FRACTION, ExposureBounds
from scaleloom_core.rollouts.orders import RolloutOrder
from scaleloom_core.rollouts.paces import AnswerTimes
from scaleloom_core.rollouts.stages import Stage, Standing
from scaleloom_core.rollouts.versions import Track

SERVICE = ServiceName("llm")
OLD, NEW, OLDER = Version("v1"), Version("v2"), Version("v0")
DURATION_S = 20.0
LATENESS_S = 3.0
ORDER = RolloutOrder(SERVICE, NEW, DURATION_S, 7)
ROUTE = 1
READY = FleetReadiness(candidate_slots=100, current_slots=100, is_drained=False)
CLEAR = msgspec.structs.replace(READY, is_drained=True)
SMALL = msgspec.structs.replace(READY, candidate_slots=79)
GONE = FleetReadiness(candidate_slots=0, current_slots=100, is_drained=True)
RATE_PER_S = 50.0


def _course(saw_order_given=True, routers=5) -> RolloutCourse:
    """Return the course of the order, given at 100 s."""
    bounds = ExposureBounds()
    return begin_course(ORDER, bounds, routers, LATENESS_S, saw_order_given, 100.0)


def _told(stage, position=7, elapsed_ms=0, **versions) -> Standing:
    """Return what another router tells."""
    return Standing(SERVICE, position, stage, elapsed_ms, **versions)


def _answer(course, track, count, now_s, is_failed=False, pace=None):
    """Let targets answer, three of the candidate in turn."""
    for number in range(count):
        course.note_answer(
            track, ROUTE, number % 3, is_failed, AnswerTimes(None, pace), now_s
        )


def _good_course() -> RolloutCourse:
    """Return a course whose candidate was found good so far."""
    course = _course()
    _answer(course, Track.CURRENT, 60, 101.0)
    _answer(course, Track.CANDIDATE, 30, 102.0)
    return course


def _bad_course() -> RolloutCourse:
    """Return a course whose candidate was found bad."""
    course = _course()
    _answer(course, Track.CURRENT, 60, 101.0)
    _answer(course, Track.CANDIDATE, 30, 101.5, is_failed=True)
    return course


def _send(course, until_s, since_s=100.0) -> list[Track]:
    """Let requests come; return where they went."""
    count = int((until_s - since_s) * RATE_PER_S)
    tracks = []
    for number in range(count):
        now_s = since_s + number / RATE_PER_S
        tracks.append(course.pick_track(now_s))
        course.note_sent(tracks[-1], now_s)
    return tracks


def test_an_order_seen_given_is_tried_at_once_and_another_is_not():
    assert _course().stage is Stage.RUNNING
    late = _course(saw_order_given=False)
    assert late.stage is Stage.UNKNOWN
    assert set(_send(late, 110.0)) == {Track.CURRENT}


def test_a_router_that_learned_late_takes_no_part_of_the_slack():
    assert _course().budget.slack_share == 10.0
    assert _course(saw_order_given=False).budget.slack_share == 0.0


def test_a_router_that_is_told_the_stage_takes_part():
    course = _course(saw_order_given=False)
    assert course.merge(_told(Stage.RUNNING, elapsed_ms=4000), 101.0)
    assert course.stage is Stage.RUNNING
    assert course.elapsed_s(101.0) == 4.0
    assert Track.CANDIDATE in _send(course, 110.0, since_s=101.0)


def test_what_is_told_of_another_order_changes_nothing():
    course = _course()
    for position in (6, 8):
        assert not course.merge(_told(Stage.DONE, position, 90_000), 101.0)
    assert (course.stage, course.elapsed_s(101.0)) == (Stage.RUNNING, 1.0)


def test_no_stage_goes_back():
    course = _course()
    assert course.merge(_told(Stage.ROLLED_BACK), 101.0)
    assert not course.merge(_told(Stage.PROMOTING), 102.0)
    assert course.stage is Stage.ROLLED_BACK


def test_time_that_is_told_never_makes_an_order_younger():
    course = _course()
    course.merge(_told(Stage.RUNNING, elapsed_ms=100), 105.0)
    assert course.left_s(105.0) == 15.0


def test_a_trial_gets_a_small_part_of_the_requests():
    tracks = _send(_course(), 120.0)
    tried = tracks.count(Track.CANDIDATE)
    assert 0 < tried <= 0.8 * (0.05 * len(tracks) + 10.0)


def _doubtful_course() -> RolloutCourse:
    """Return a course whose candidate looks bad, and not clearly so."""
    course = _course()
    _answer(course, Track.CURRENT, 60, 101.0)
    _answer(course, Track.CANDIDATE, 3, 102.0, is_failed=True)
    assert course.evidence.is_doubtful(102.0)
    assert course.next_stage(READY, True, 102.0) is Stage.RUNNING
    return course


def test_a_version_that_looks_bad_late_in_its_trial_gets_more_within_the_bound():
    half_s = 100.0 + DOUBT_FRACTION * DURATION_S
    tried = {}
    for name, course in (("usual", _course()), ("doubtful", _doubtful_course())):
        early = _send(course, half_s - 0.1).count(Track.CANDIDATE)
        late = _send(course, 100.0 + DURATION_S, half_s).count(Track.CANDIDATE)
        tried[name] = (early, late)
    assert tried["doubtful"][0] == tried["usual"][0]
    assert tried["doubtful"][1] > 1.5 * tried["usual"][1]
    bounds = ExposureBounds()
    allowed = bounds.share * RATE_PER_S * DURATION_S + bounds.slack / 5
    assert sum(tried["doubtful"]) <= USABLE_FRACTION * allowed


def test_a_promoted_version_gets_all_once_that_fits_to_the_deadline():
    course = _good_course()
    _send(course, 110.0)
    course.merge(_told(Stage.PROMOTING), 110.0)
    tracks = _send(course, 120.0, since_s=110.0)
    assert set(tracks[:100]) == {Track.CURRENT, Track.CANDIDATE}
    assert set(tracks[-5:]) == {Track.CANDIDATE}
    exposed = course.budget.exposed
    assert exposed <= 0.1 * course.budget.requests + course.budget.slack_share


def test_a_router_without_requests_does_not_hold_up_the_end():
    course = _good_course()
    course.stage = Stage.PROMOTING
    assert not course.has_switched(118.0)
    assert course.has_switched(119.9 - DONE_LEAD_S)


def test_a_router_whose_clients_have_left_does_not_hold_up_the_end():
    course = _good_course()
    course.note_sent(Track.CURRENT, 105.0)
    course.stage = Stage.PROMOTING
    assert course.has_switched(119.9 - DONE_LEAD_S)


def test_a_router_with_few_requests_does_not_pass_for_one_without():
    course = _good_course()
    course.note_sent(Track.CURRENT, 118.5)
    course.stage = Stage.PROMOTING
    assert not course.has_switched(119.9 - DONE_LEAD_S)


def test_an_unused_router_that_has_switched_keeps_its_share():
    course = _course(saw_order_given=False)
    course.stage = Stage.PROMOTING
    _answer(course, Track.CURRENT, 60, 101.0)
    _answer(course, Track.CANDIDATE, 30, 102.0)
    assert course.has_switched(119.5)
    assert course.pick_track(119.5) is Track.CURRENT
    course.note_sent(Track.CURRENT, 119.5)
    assert not course.has_switched(119.6)


def test_a_promoted_version_gets_all_after_the_deadline():
    course = _course()
    course.merge(_told(Stage.PROMOTING), 101.0)
    assert course.pick_track(120.0) is Track.CANDIDATE


def test_a_version_that_was_rolled_back_gets_nothing():
    course = _course()
    course.merge(_told(Stage.ROLLED_BACK), 101.0)
    assert set(_send(course, 130.0)) == {Track.CURRENT}
    rule = course.rule()
    assert rule.track_of(NEW) is None
    assert rule.track_of(OLD) is Track.CURRENT


def test_a_version_that_took_over_is_the_current_one():
    course = _course()
    course.merge(_told(Stage.DONE, replaced=frozenset({OLD, NEW})), 120.0)
    rule = course.rule()
    assert rule.track_of(NEW) is Track.CURRENT
    assert rule.track_of(OLD) is None
    assert rule.may_return(OLD)


def test_while_it_runs_what_was_replaced_before_stays_away():
    course = _course()
    course.replaced = frozenset({OLDER})
    rule = course.rule()
    assert rule.track_of(NEW) is Track.CANDIDATE
    assert rule.track_of(OLDER) is None
    assert rule.track_of(OLD) is Track.CURRENT


def test_any_router_may_find_a_version_bad():
    assert _bad_course().next_stage(READY, False, 102.0) is Stage.ROLLED_BACK


def test_a_version_may_be_found_bad_while_it_is_promoted():
    course = _bad_course()
    course.stage = Stage.PROMOTING
    assert course.next_stage(CLEAR, True, 102.0) is Stage.ROLLED_BACK


def test_only_the_decider_promotes():
    course = _good_course()
    assert course.next_stage(READY, False, 103.0) is Stage.RUNNING
    assert course.next_stage(READY, True, 103.0) is Stage.PROMOTING


def test_a_good_version_without_room_for_the_traffic_is_not_promoted():
    assert _good_course().next_stage(SMALL, True, 103.0) is Stage.RUNNING


def test_a_trial_without_a_verdict_ends_after_some_more_time():
    course = _course()
    end_s = 100.0 + DURATION_S * (1.0 + EXTENSION_FRACTION)
    assert course.next_stage(READY, True, end_s - 0.1) is Stage.RUNNING
    assert course.next_stage(READY, True, end_s) is Stage.ROLLED_BACK


def test_a_version_that_nobody_runs_is_rolled_back_at_the_deadline():
    course = _course()
    assert course.next_stage(GONE, True, 119.9) is Stage.RUNNING
    assert course.next_stage(GONE, True, 120.0) is Stage.ROLLED_BACK


def test_the_end_waits_for_requests_at_the_current_version():
    course = _good_course()
    course.stage = Stage.PROMOTING
    due_s = 120.0 - DONE_LEAD_S
    _send(course, due_s, since_s=110.0)
    assert course.has_switched(due_s)
    assert course.next_stage(READY, True, due_s) is Stage.PROMOTING
    assert course.next_stage(CLEAR, True, due_s) is Stage.DONE
    late_s = 120.0 + LATENESS_S
    assert course.next_stage(READY, True, late_s) is Stage.DONE


def test_a_version_that_takes_over_late_is_watched_with_the_whole_traffic():
    course = _good_course()
    course.merge(_told(Stage.PROMOTING), 121.0)
    assert course.next_stage(CLEAR, True, 121.0) is Stage.PROMOTING
    assert course.has_switched(121.0)
    assert course.next_stage(CLEAR, True, 120.9 + LATE_OBSERVATION_S) is Stage.PROMOTING
    assert course.next_stage(CLEAR, True, 121.0 + LATE_OBSERVATION_S) is Stage.DONE


def test_the_whole_traffic_is_watched_until_shortly_before_the_deadline():
    course = _good_course()
    course.stage = Stage.PROMOTING
    early_s = 119.9 - DONE_LEAD_S
    assert course.next_stage(CLEAR, True, early_s) is Stage.PROMOTING
    _answer(course, Track.CURRENT, 60, early_s)
    _answer(course, Track.CANDIDATE, 15, early_s + 0.1, is_failed=True)
    assert course.next_stage(CLEAR, True, 119.9) is Stage.ROLLED_BACK


def test_a_promoted_version_is_only_watched_until_it_takes_over():
    course = _good_course()
    course.merge(_told(Stage.PROMOTING), 103.0)
    tracks = _send(course, 112.0, since_s=103.0)
    watched = tracks.count(Track.CANDIDATE)
    assert 0 < watched <= 0.02 * len(tracks) + 1


def test_no_version_takes_over_without_targets():
    course = _good_course()
    course.stage = Stage.PROMOTING
    end_s = 100.0 + DURATION_S * (1.0 + EXTENSION_FRACTION)
    assert course.next_stage(GONE, True, end_s - 0.1) is Stage.PROMOTING
    assert course.next_stage(GONE, True, end_s) is Stage.ROLLED_BACK


def test_a_version_that_looks_good_no_more_is_neither_switched_to_nor_done():
    course = _course()
    _send(course, 119.5)
    course.merge(_told(Stage.PROMOTING), 119.5)
    assert course.budget.covers(0.1)
    assert not course.has_switched(119.9)
    assert course.next_stage(CLEAR, True, 119.9) is Stage.PROMOTING
    end_s = 100.0 + DURATION_S * (1.0 + EXTENSION_FRACTION)
    assert course.next_stage(CLEAR, True, end_s) is Stage.ROLLED_BACK


def test_a_final_stage_stays():
    course = _bad_course()
    course.stage = Stage.DONE
    assert course.next_stage(CLEAR, True, 130.0) is Stage.DONE


def test_a_slow_version_is_found_bad():
    course = _course()
    _answer(course, Track.CURRENT, 60, 101.0, pace=0.1)
    _answer(course, Track.CANDIDATE, 15, 102.0, pace=0.4)
    assert course.next_stage(READY, False, 102.0) is Stage.ROLLED_BACK


def test_slowness_of_both_versions_is_not_the_candidates():
    course = _course()
    _answer(course, Track.CURRENT, 60, 101.0, pace=0.1)
    for number in range(40):
        _answer(course, Track.CURRENT, 3, 102.0 + number / 20.0, pace=0.4)
        _answer(course, Track.CANDIDATE, 1, 102.0 + number / 20.0, pace=0.4)
        assert course.next_stage(READY, False, 102.0 + number / 20.0) is Stage.RUNNING


def test_own_answers_are_told_to_peers():
    course = _course()
    _answer(course, Track.CURRENT, 2, 101.0)
    _answer(course, Track.CANDIDATE, 1, 101.0, is_failed=True)
    seen = course.unsent.pop_all()
    assert (seen.current[ROUTE].answered, seen.candidate[ROUTE][0].bad) == (2, 1)


def test_all_targets_of_the_candidate_are_tried_in_turn():
    course = _course()
    candidates = [TargetId(f"i-{number}") for number in range(9)]
    at_once = [course.staged(candidates, 9, 100.0 + s) for s in range(20)]
    assert {len(staged) for staged in at_once} == {3}
    assert {target for staged in at_once for target in staged} == set(candidates)


@settings(max_examples=40, database=None, deadline=None)
@given(st.integers(0, 40), st.integers(1, 60), st.floats(0.0, 60.0), st.booleans())
def test_staged_targets_are_some_of_the_candidates_once_each(
    count, currents, elapsed_s, saw_order_given
):
    candidates = [TargetId(f"i-{number}") for number in range(count)]
    course = _course(saw_order_given)
    staged = course.staged(candidates, currents, 100.0 + elapsed_s)
    assert len(set(staged)) == len(staged)
    assert set(staged) <= set(candidates)
    assert len(staged) >= min(3, count)


@settings(max_examples=30, database=None, deadline=None)
@given(
    st.sampled_from([6.0, 12.0, 30.0]),
    st.floats(0.05, 1.0),
    st.floats(5.0, 200.0),
    st.integers(1, 40),
)
def test_the_bound_holds_whenever_a_version_is_promoted(
    duration_s, promoted_part, rate_per_s, routers
):
    order = msgspec.structs.replace(ORDER, duration_s=duration_s)
    bounds = ExposureBounds()
    course = begin_course(order, bounds, routers, LATENESS_S, True, 0.0)
    number = 0
    while (now_s := number / rate_per_s) < duration_s:
        if now_s >= promoted_part * duration_s:
            course.merge(_told(Stage.PROMOTING), now_s)
        course.note_sent(course.pick_track(now_s), now_s)
        number += 1
    allowed = bounds.share * course.budget.requests + bounds.slack / routers
    assert course.budget.exposed <= allowed
