"""Tests of the state machine of one roll-out at one router."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from scaleloom_core.ids import ServiceName, TargetId, Version
from scaleloom_core.rollouts.exposure import USABLE_FRACTION, ExposureBounds
from scaleloom_core.rollouts.orders import RolloutOrder
from scaleloom_core.rollouts.stages import RolloutSnapshot, Stage
from scaleloom_core.rollouts.state import (
    DONE_LEAD_S,
    DOUBT_FRACTION,
    EXTENSION_FRACTION,
    LATE_OBSERVATION_S,
    FleetReadiness,
    RolloutState,
    start_rollout,
)
from scaleloom_core.rollouts.timing_baselines import AnswerTimings
from scaleloom_core.rollouts.versions import Track

SERVICE = ServiceName("llm")
OLD, NEW, OLDER = Version("v1"), Version("v2"), Version("v0")
DURATION_S = 20.0
LATENESS_S = 3.0
ORDER = RolloutOrder(SERVICE, NEW, DURATION_S, 7)
ROUTE = 1
NOT_DRAINED = FleetReadiness(candidate_slots=100, current_slots=100, is_drained=False)
DRAINED = msgspec.structs.replace(NOT_DRAINED, is_drained=True)
TOO_FEW_SLOTS = msgspec.structs.replace(NOT_DRAINED, candidate_slots=79)
NO_CANDIDATE = FleetReadiness(candidate_slots=0, current_slots=100, is_drained=True)
RATE_PER_S = 50.0


def _state(saw_order_given=True, routers=5) -> RolloutState:
    """Return the state of the order, given at 100 s."""
    bounds = ExposureBounds()
    return start_rollout(ORDER, bounds, routers, LATENESS_S, saw_order_given, 100.0)


def _snapshot(stage, position=7, elapsed_ms=0, **versions) -> RolloutSnapshot:
    """Return a snapshot received from another router."""
    return RolloutSnapshot(SERVICE, position, stage, elapsed_ms, **versions)


def _answer(state, track, count, now_s, is_failed=False, pace=None):
    """Record answers of three targets in turn."""
    for number in range(count):
        state.record_answer(
            track, ROUTE, number % 3, is_failed, AnswerTimings(None, pace), now_s
        )


def _good_state() -> RolloutState:
    """Return a state whose candidate is currently found good."""
    state = _state()
    _answer(state, Track.CURRENT, 60, 101.0)
    _answer(state, Track.CANDIDATE, 30, 102.0)
    return state


def _bad_state() -> RolloutState:
    """Return a state whose candidate was found bad."""
    state = _state()
    _answer(state, Track.CURRENT, 60, 101.0)
    _answer(state, Track.CANDIDATE, 30, 101.5, is_failed=True)
    return state


def _send(state, until_s, since_s=100.0) -> list[Track]:
    """Send requests at a constant rate; return the track of each."""
    count = int((until_s - since_s) * RATE_PER_S)
    tracks = []
    for number in range(count):
        now_s = since_s + number / RATE_PER_S
        tracks.append(state.pick_track(now_s))
        state.record_sent(tracks[-1], now_s)
    return tracks


def test_only_an_order_seen_when_given_is_tried_at_once():
    assert _state().stage is Stage.RUNNING
    late = _state(saw_order_given=False)
    assert late.stage is Stage.UNKNOWN
    assert set(_send(late, 110.0)) == {Track.CURRENT}


def test_a_router_that_learned_of_the_order_late_gets_no_slack():
    assert _state().budget.slack_share == 10.0
    assert _state(saw_order_given=False).budget.slack_share == 0.0


def test_a_router_takes_part_once_a_peer_reports_the_stage():
    state = _state(saw_order_given=False)
    assert state.merge(_snapshot(Stage.RUNNING, elapsed_ms=4000), 101.0)
    assert state.stage is Stage.RUNNING
    assert state.elapsed_s(101.0) == 4.0
    assert Track.CANDIDATE in _send(state, 110.0, since_s=101.0)


def test_a_snapshot_of_another_order_changes_nothing():
    state = _state()
    for position in (6, 8):
        assert not state.merge(_snapshot(Stage.DONE, position, 90_000), 101.0)
    assert (state.stage, state.elapsed_s(101.0)) == (Stage.RUNNING, 1.0)


def test_stages_never_go_back():
    state = _state()
    assert state.merge(_snapshot(Stage.ROLLED_BACK), 101.0)
    assert not state.merge(_snapshot(Stage.PROMOTING), 102.0)
    assert state.stage is Stage.ROLLED_BACK


def test_a_reported_time_never_reduces_the_elapsed_time():
    state = _state()
    state.merge(_snapshot(Stage.RUNNING, elapsed_ms=100), 105.0)
    assert state.remaining_s(105.0) == 15.0


def test_a_trial_gets_a_small_share_of_the_requests():
    tracks = _send(_state(), 120.0)
    tried = tracks.count(Track.CANDIDATE)
    assert 0 < tried <= 0.8 * (0.05 * len(tracks) + 10.0)


def _doubtful_state() -> RolloutState:
    """Return a state with some evidence that the candidate is bad."""
    state = _state()
    _answer(state, Track.CURRENT, 60, 101.0)
    _answer(state, Track.CANDIDATE, 3, 102.0, is_failed=True)
    assert state.evidence.is_doubtful(102.0)
    assert state.next_stage(NOT_DRAINED, True, 102.0) is Stage.RUNNING
    return state


def test_a_doubtful_version_gets_more_requests_late_in_its_trial_within_the_bound():
    half_s = 100.0 + DOUBT_FRACTION * DURATION_S
    tried = {}
    for name, state in (("undecided", _state()), ("doubtful", _doubtful_state())):
        early = _send(state, half_s - 0.1).count(Track.CANDIDATE)
        late = _send(state, 100.0 + DURATION_S, half_s).count(Track.CANDIDATE)
        tried[name] = (early, late)
    assert tried["doubtful"][0] == tried["undecided"][0]
    assert tried["doubtful"][1] > 1.5 * tried["undecided"][1]
    bounds = ExposureBounds()
    allowed = bounds.share * RATE_PER_S * DURATION_S + bounds.slack / 5
    assert sum(tried["doubtful"]) <= USABLE_FRACTION * allowed


def test_a_promoted_version_gets_all_requests_once_its_exposure_lasts():
    state = _good_state()
    _send(state, 110.0)
    state.merge(_snapshot(Stage.PROMOTING), 110.0)
    tracks = _send(state, 120.0, since_s=110.0)
    assert set(tracks[:100]) == {Track.CURRENT, Track.CANDIDATE}
    assert set(tracks[-5:]) == {Track.CANDIDATE}
    exposed = state.budget.exposed
    assert exposed <= 0.1 * state.budget.requests + state.budget.slack_share


def test_a_router_without_requests_does_not_delay_the_end():
    state = _good_state()
    state.stage = Stage.PROMOTING
    assert not state.has_switched(118.0)
    assert state.has_switched(119.9 - DONE_LEAD_S)


def test_a_router_that_has_become_idle_does_not_delay_the_end():
    state = _good_state()
    state.record_sent(Track.CURRENT, 105.0)
    state.stage = Stage.PROMOTING
    assert state.has_switched(119.9 - DONE_LEAD_S)


def test_a_router_with_few_requests_is_not_idle():
    state = _good_state()
    state.record_sent(Track.CURRENT, 118.5)
    state.stage = Stage.PROMOTING
    assert not state.has_switched(119.9 - DONE_LEAD_S)


def test_an_idle_router_that_has_switched_respects_the_bound():
    state = _state(saw_order_given=False)
    state.stage = Stage.PROMOTING
    _answer(state, Track.CURRENT, 60, 101.0)
    _answer(state, Track.CANDIDATE, 30, 102.0)
    assert state.has_switched(119.5)
    assert state.pick_track(119.5) is Track.CURRENT
    state.record_sent(Track.CURRENT, 119.5)
    assert not state.has_switched(119.6)


def test_a_promoted_version_gets_all_requests_after_the_deadline():
    state = _state()
    state.merge(_snapshot(Stage.PROMOTING), 101.0)
    assert state.pick_track(120.0) is Track.CANDIDATE


def test_a_rolled_back_version_gets_no_requests():
    state = _state()
    state.merge(_snapshot(Stage.ROLLED_BACK), 101.0)
    assert set(_send(state, 130.0)) == {Track.CURRENT}
    rule = state.rule()
    assert rule.track_of(NEW) is None
    assert rule.track_of(OLD) is Track.CURRENT


def test_a_version_becomes_the_current_one_when_done():
    state = _state()
    state.merge(_snapshot(Stage.DONE, replaced=frozenset({OLD, NEW})), 120.0)
    rule = state.rule()
    assert rule.track_of(NEW) is Track.CURRENT
    assert rule.track_of(OLD) is None
    assert rule.may_serve_as_fallback(OLD)


def test_versions_replaced_earlier_stay_excluded_during_a_roll_out():
    state = _state()
    state.replaced = frozenset({OLDER})
    rule = state.rule()
    assert rule.track_of(NEW) is Track.CANDIDATE
    assert rule.track_of(OLDER) is None
    assert rule.track_of(OLD) is Track.CURRENT


def test_any_router_may_roll_back_a_bad_version():
    assert _bad_state().next_stage(NOT_DRAINED, False, 102.0) is Stage.ROLLED_BACK


def test_a_version_may_be_rolled_back_while_it_is_promoted():
    state = _bad_state()
    state.stage = Stage.PROMOTING
    assert state.next_stage(DRAINED, True, 102.0) is Stage.ROLLED_BACK


def test_only_the_decider_promotes():
    state = _good_state()
    assert state.next_stage(NOT_DRAINED, False, 103.0) is Stage.RUNNING
    assert state.next_stage(NOT_DRAINED, True, 103.0) is Stage.PROMOTING


def test_a_good_version_with_too_few_slots_is_not_promoted():
    assert _good_state().next_stage(TOO_FEW_SLOTS, True, 103.0) is Stage.RUNNING


def test_an_undecided_trial_is_rolled_back_after_an_extension():
    state = _state()
    end_s = 100.0 + DURATION_S * (1.0 + EXTENSION_FRACTION)
    assert state.next_stage(NOT_DRAINED, True, end_s - 0.1) is Stage.RUNNING
    assert state.next_stage(NOT_DRAINED, True, end_s) is Stage.ROLLED_BACK


def test_a_version_without_targets_is_rolled_back_at_the_deadline():
    state = _state()
    assert state.next_stage(NO_CANDIDATE, True, 119.9) is Stage.RUNNING
    assert state.next_stage(NO_CANDIDATE, True, 120.0) is Stage.ROLLED_BACK


def test_the_end_is_delayed_by_requests_at_the_current_version():
    state = _good_state()
    state.stage = Stage.PROMOTING
    due_s = 120.0 - DONE_LEAD_S
    _send(state, due_s, since_s=110.0)
    assert state.has_switched(due_s)
    assert state.next_stage(NOT_DRAINED, True, due_s) is Stage.PROMOTING
    assert state.next_stage(DRAINED, True, due_s) is Stage.DONE
    late_s = 120.0 + LATENESS_S
    assert state.next_stage(NOT_DRAINED, True, late_s) is Stage.DONE


def test_a_version_that_takes_over_late_is_observed_with_the_full_traffic():
    state = _good_state()
    state.merge(_snapshot(Stage.PROMOTING), 121.0)
    assert state.next_stage(DRAINED, True, 121.0) is Stage.PROMOTING
    assert state.has_switched(121.0)
    assert (
        state.next_stage(DRAINED, True, 120.9 + LATE_OBSERVATION_S) is Stage.PROMOTING
    )
    assert state.next_stage(DRAINED, True, 121.0 + LATE_OBSERVATION_S) is Stage.DONE


def test_the_full_traffic_is_observed_until_shortly_before_the_deadline():
    state = _good_state()
    state.stage = Stage.PROMOTING
    early_s = 119.9 - DONE_LEAD_S
    assert state.next_stage(DRAINED, True, early_s) is Stage.PROMOTING
    _answer(state, Track.CURRENT, 60, early_s)
    _answer(state, Track.CANDIDATE, 15, early_s + 0.1, is_failed=True)
    assert state.next_stage(DRAINED, True, 119.9) is Stage.ROLLED_BACK


def test_a_promoted_version_gets_only_probes_until_it_takes_over():
    state = _good_state()
    state.merge(_snapshot(Stage.PROMOTING), 103.0)
    tracks = _send(state, 112.0, since_s=103.0)
    probes = tracks.count(Track.CANDIDATE)
    assert 0 < probes <= 0.02 * len(tracks) + 1


def test_no_version_takes_over_without_targets():
    state = _good_state()
    state.stage = Stage.PROMOTING
    end_s = 100.0 + DURATION_S * (1.0 + EXTENSION_FRACTION)
    assert state.next_stage(NO_CANDIDATE, True, end_s - 0.1) is Stage.PROMOTING
    assert state.next_stage(NO_CANDIDATE, True, end_s) is Stage.ROLLED_BACK


def test_a_version_that_no_longer_looks_good_is_neither_switched_to_nor_done():
    state = _state()
    _send(state, 119.5)
    state.merge(_snapshot(Stage.PROMOTING), 119.5)
    assert state.budget.covers(0.1)
    assert not state.has_switched(119.9)
    assert state.next_stage(DRAINED, True, 119.9) is Stage.PROMOTING
    end_s = 100.0 + DURATION_S * (1.0 + EXTENSION_FRACTION)
    assert state.next_stage(DRAINED, True, end_s) is Stage.ROLLED_BACK


def test_a_final_stage_does_not_change():
    state = _bad_state()
    state.stage = Stage.DONE
    assert state.next_stage(DRAINED, True, 130.0) is Stage.DONE


def test_a_slow_version_is_found_bad():
    state = _state()
    _answer(state, Track.CURRENT, 60, 101.0, pace=0.1)
    _answer(state, Track.CANDIDATE, 15, 102.0, pace=0.4)
    assert state.next_stage(NOT_DRAINED, False, 102.0) is Stage.ROLLED_BACK


def test_a_slow_down_of_both_versions_does_not_count_against_the_candidate():
    state = _state()
    _answer(state, Track.CURRENT, 60, 101.0, pace=0.1)
    for number in range(40):
        _answer(state, Track.CURRENT, 3, 102.0 + number / 20.0, pace=0.4)
        _answer(state, Track.CANDIDATE, 1, 102.0 + number / 20.0, pace=0.4)
        assert (
            state.next_stage(NOT_DRAINED, False, 102.0 + number / 20.0) is Stage.RUNNING
        )


def test_own_answers_are_reported_to_peers():
    state = _state()
    _answer(state, Track.CURRENT, 2, 101.0)
    _answer(state, Track.CANDIDATE, 1, 101.0, is_failed=True)
    answers = state.unsent.pop_all()
    assert (answers.current[ROUTE].answered, answers.candidate[ROUTE][0].bad) == (2, 1)


def test_all_targets_of_the_candidate_are_tried_in_turn():
    state = _state()
    candidates = [TargetId(f"i-{number}") for number in range(9)]
    staged_by_second = [state.staged(candidates, 9, 100.0 + s) for s in range(20)]
    assert {len(staged) for staged in staged_by_second} == {3}
    assert {target for staged in staged_by_second for target in staged} == set(
        candidates
    )


@settings(max_examples=40, database=None, deadline=None)
@given(st.integers(0, 40), st.integers(1, 60), st.floats(0.0, 60.0), st.booleans())
def test_staged_targets_are_some_of_the_candidates_once_each(
    count, currents, elapsed_s, saw_order_given
):
    candidates = [TargetId(f"i-{number}") for number in range(count)]
    state = _state(saw_order_given)
    staged = state.staged(candidates, currents, 100.0 + elapsed_s)
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
def test_the_bound_is_respected_whenever_a_version_is_promoted(
    duration_s, promoted_fraction, rate_per_s, routers
):
    order = msgspec.structs.replace(ORDER, duration_s=duration_s)
    bounds = ExposureBounds()
    state = start_rollout(order, bounds, routers, LATENESS_S, True, 0.0)
    number = 0
    while (now_s := number / rate_per_s) < duration_s:
        if now_s >= promoted_fraction * duration_s:
            state.merge(_snapshot(Stage.PROMOTING), now_s)
        state.record_sent(state.pick_track(now_s), now_s)
        number += 1
    allowed = bounds.share * state.budget.requests + bounds.slack / routers
    assert state.budget.exposed <= allowed
