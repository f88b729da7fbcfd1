"""Tests of the tracks of a service that has targets of two versions."""

from nose2.tools import params

from scaleloom_core.fleet_load import target_key
from scaleloom_core.ids import TargetId, Version
from scaleloom_core.prefix_holders import part_key
from scaleloom_core.rollouts.exposure import ExposureBounds
from scaleloom_core.rollouts.orders import RolloutOrder
from scaleloom_core.rollouts.state import RolloutState, start_rollout
from scaleloom_core.rollouts.versions import Track, VersionRule
from scaleloom_core.routing import ServicePolicy
from scaleloom_core.target_comparison import FAILURE_EJECTION_S
from scaleloom_core.target_entries import ListedState
from scaleloom_core.targets import TargetView
from scaleloom_core.trial_targets import TrialTargets
from scaleloom_core.version_holds import VERSION_HOLD_S
from tests.fixtures.targets import (
    ENGINE,
    HERE,
    PLAIN,
    SERVICE,
    THERE,
    listed_range,
    listed_target,
    placement_key,
    target_chooser,
)

OLD, NEW = Version("v1"), Version("v2")
OLD_COUNT, NEW_COUNT = 6, 4
END = OLD_COUNT + NEW_COUNT
ON_TRIAL = VersionRule(NEW)
DONE = VersionRule(None, frozenset({OLD}))
REJECTED = VersionRule(None, frozenset(), frozenset({NEW}))
SLOW_WHEN_COLD = ServicePolicy(SERVICE, cold_start_s=3.0, cold_requests_per_s=10.0)
PARTS = [f"part-{number}" for number in range(60)]


def _view(rule: VersionRule = ON_TRIAL) -> TargetView:
    """Return a view whose first list contains both versions."""
    view = TargetView()
    view.apply_list(_both(), 1)
    view.apply_rules({SERVICE: rule}, 0.0)
    return view


def _both():
    """Return the list entries of both versions."""
    return [*_old(), *_new()]


def _old():
    """Return the list entries of the old version."""
    return listed_range(0, OLD_COUNT, OLD)


def _new(**fields):
    """Return the list entries of the new version."""
    return listed_range(OLD_COUNT, END, NEW, **fields)


def _ids(listed) -> set[TargetId]:
    """Return the ids of `listed`."""
    return {target.id for target in listed}


def _usable(view: TargetView, track=Track.CURRENT, now_s: float = 0.0):
    """Return the ids of the usable targets of `track`."""
    return {record.listed.id for record in view.usable_targets(SERVICE, now_s, track)}


def _rollout_state(position: int = 3, duration_s: float = 30.0) -> RolloutState:
    """Return the state of a roll-out whose order this router read when it was given."""
    order = RolloutOrder(SERVICE, NEW, duration_s, position)
    return start_rollout(order, ExposureBounds(), 1, 1.0, True, 0.0)


def test_each_version_has_its_own_track():
    view = _view()
    assert _usable(view) == _ids(_old())
    assert _usable(view, Track.CANDIDATE) == _ids(_new())


def test_without_a_rule_all_versions_serve():
    assert _usable(_view(VersionRule())) == _ids(_both())


def test_a_rejected_version_gets_no_requests_even_as_the_only_one():
    view = _view(REJECTED)
    assert _usable(view) == _ids(_old())
    view.apply_list(_new(), 2)
    assert _usable(view) == _usable(view, Track.CANDIDATE) == set()


def test_a_replaced_version_serves_again_once_no_other_is_listed():
    view = _view(DONE)
    assert _usable(view) == _ids(_new())
    view.apply_list([*_old(), *_new(state=ListedState.DRAINING)], 2)
    assert _usable(view) == set()
    view.apply_list(_old(), 3)
    assert _usable(view) == _ids(_old())
    view.apply_list(_both(), 4)
    assert _usable(view) == _ids(_new())


def test_a_replaced_and_rejected_version_does_not_serve_again():
    view = _view(VersionRule(None, frozenset({OLD}), frozenset({OLD})))
    view.apply_list(_old(), 2)
    assert _usable(view) == set()


def test_lists_with_different_versions_have_different_digests():
    view, other = TargetView(), TargetView()
    view.apply_list(listed_range(0, 3, OLD), 1)
    other.apply_list(listed_range(0, 3, NEW), 1)
    assert view.digest != other.digest


def test_all_versions_serve_once_the_rule_is_removed():
    view = _view()
    view.apply_rules({}, 0.0)
    assert _usable(view) == _ids(_both())


def test_a_rule_that_changes_nothing_does_not_rebuild_the_pools():
    view = _view()
    before = view.generation
    view.apply_rules({SERVICE: VersionRule(NEW)}, 5.0)
    assert view.generation == before


def test_a_new_version_is_held_until_an_order_may_have_arrived():
    view = TargetView()
    view.apply_list(_old(), 1, 10.0)
    view.apply_list(_both(), 2, 20.0)
    for now_s in (20.0, 20.0 + VERSION_HOLD_S - 0.1):
        assert _usable(view, now_s=now_s) == _ids(_old())
    view.apply_list(_both(), 3, 20.5)
    assert _usable(view, now_s=20.0 + VERSION_HOLD_S) == _ids(_both())


def test_an_order_ends_the_hold_of_its_version():
    view = TargetView()
    view.apply_list(_old(), 1, 10.0)
    view.apply_list(_both(), 2, 20.0)
    view.apply_rules({SERVICE: ON_TRIAL}, 20.1)
    assert _usable(view, Track.CANDIDATE, 20.1) == _ids(_new())
    assert _usable(view, now_s=30.0) == _ids(_old())


def test_versions_in_the_first_list_are_not_held():
    view = TargetView()
    view.apply_list(_both(), 1, 10.0)
    assert _usable(view, now_s=10.0) == _ids(_both())


def test_a_version_that_replaces_all_targets_at_once_is_not_held():
    view = TargetView()
    view.apply_list(_old(), 1, 10.0)
    view.apply_list(_new(), 2, 20.0)
    assert _usable(view, now_s=20.0) == _ids(_new())


def test_a_held_version_serves_once_no_other_is_listed():
    view = TargetView()
    view.apply_list(_old(), 1, 10.0)
    view.apply_list(_both(), 2, 20.0)
    view.apply_list(_new(), 3, 20.1)
    assert _usable(view, now_s=20.1) == _ids(_new())


def test_additional_targets_of_a_known_version_are_not_held():
    view = TargetView()
    view.apply_list(_old(), 1, 10.0)
    view.apply_list(listed_range(0, OLD_COUNT + 2, OLD), 2, 20.0)
    assert len(_usable(view, now_s=20.0)) == OLD_COUNT + 2


def test_a_version_that_is_listed_again_is_not_held():
    view = TargetView()
    for position, listed in enumerate((_old(), _both(), _old(), _both())):
        view.apply_list(listed, position, 10.0 * position)
    assert _usable(view, now_s=30.0) == _ids(_both())


def _homes(view: TargetView, track: Track) -> dict[str, TargetId]:
    """Return the home of each part on `track`."""
    return {part: view.candidates(SERVICE, part, track)[0] for part in PARTS}


def test_homes_of_a_candidate_stay_when_it_becomes_the_current_version():
    view = _view()
    before = _homes(view, Track.CANDIDATE)
    view.apply_rules({SERVICE: DONE}, 5.0)
    assert _homes(view, Track.CURRENT) == before
    view.apply_list(_new(), 2, 6.0)
    assert _homes(view, Track.CURRENT) == before


def test_homes_of_the_current_version_do_not_change_for_a_candidate():
    view = TargetView()
    view.apply_list(_old(), 1)
    before = _homes(view, Track.CURRENT)
    view.apply_rules({SERVICE: ON_TRIAL}, 1.0)
    view.apply_list(_both(), 2, 2.0)
    assert _homes(view, Track.CURRENT) == before


@params(ON_TRIAL, DONE)
def test_the_cache_source_of_a_candidate_is_the_home_at_the_old_version(rule):
    view = _view()
    homes = _homes(view, Track.CURRENT)
    track = Track.CANDIDATE if rule is ON_TRIAL else Track.CURRENT
    view.apply_rules({SERVICE: rule}, 1.0)
    chooser = target_chooser(view)
    for part in PARTS:
        key = placement_key(part, track)
        chosen = chooser.choose(key, ENGINE, set(), 1.0).listed.id
        assert chosen in _ids(_new())
        assert chooser.cache_source(key, chosen, 1.0).id == homes[part]


def test_removed_targets_are_no_cache_sources():
    view = _view(DONE)
    view.apply_list(_new(), 2, 10.0)
    view.apply_list(_new(), 3, 20.0)
    chooser = target_chooser(view)
    chosen = chooser.choose(placement_key(), ENGINE, set(), 20.0).listed.id
    assert chooser.cache_source(placement_key(), chosen, 20.0).id in _ids(_new())


def test_a_rejected_target_with_a_cached_part_is_still_a_cache_source():
    view = _view(REJECTED)
    chooser = target_chooser(view)
    source = listed_target(OLD_COUNT, version=NEW)
    chooser.holders.add(part_key("p"), target_key(source.id), 0.0)
    chosen = chooser.choose(placement_key(), ENGINE, set(), 1.0).listed
    assert chosen.version == OLD
    assert chooser.cache_source(placement_key(), chosen.id, 1.0) == source


def test_a_part_cached_by_a_candidate_does_not_attract_other_requests():
    view = _view()
    chooser = target_chooser(view)
    chooser.holders.add(part_key("p"), target_key(TargetId("i-7")), 0.0)
    chosen = chooser.choose(placement_key(), ENGINE, set(), 1.0).listed
    assert chosen.version == OLD


def test_failing_targets_are_compared_within_their_track():
    view = _view()
    for number in range(OLD_COUNT, END):
        for _ in range(20):
            view.records[TargetId(f"i-{number}")].record_failure()
    assert _usable(view, Track.CANDIDATE) == _ids(_new())
    assert _usable(view) == _ids(_old())


def test_one_failing_candidate_among_several_is_ejected():
    view = _view()
    failing = view.records[TargetId(f"i-{OLD_COUNT}")]
    for _ in range(20):
        failing.record_failure()
    left = _ids(_new()) - {failing.listed.id}
    assert _usable(view, Track.CANDIDATE) == left
    later_s = FAILURE_EJECTION_S + 0.1
    assert _usable(view, Track.CANDIDATE, later_s) == _ids(_new())


def test_tracks_are_evacuated_independently():
    view = TargetView()
    view.apply_list([*_old(), *_new(data_centre=THERE)], 1)
    view.apply_rules({SERVICE: ON_TRIAL}, 0.0)
    view.evacuate(frozenset({HERE}))
    assert view.is_evacuated(SERVICE)
    assert not view.is_evacuated(SERVICE, Track.CANDIDATE)
    view.evacuate(frozenset({THERE}))
    assert not view.is_evacuated(SERVICE)
    assert view.is_evacuated(SERVICE, Track.CANDIDATE)


def test_idle_candidates_lower_the_load_bound_of_the_current_version():
    view = _view()
    chooser = target_chooser(view)
    home = chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id
    for _ in range(12):
        for target in _ids(_old()):
            chooser.load.add_request(target)
    while chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id == home:
        chooser.load.add_request(home)
    in_flight = [chooser.load.in_flight(target) for target in view.records]
    assert chooser.load.in_flight(home) <= max(
        13, 2.0 * sum(in_flight) / len(in_flight) + 3
    )


def _stage(view: TargetView, course: RolloutState, now_s: float) -> list[TargetId]:
    """Return the trial targets of a router that has just applied `view`."""
    return TrialTargets().select(view, course, now_s)


def test_all_routers_have_the_same_trial_targets():
    view, other = _view(), TargetView()
    other.apply_list(list(reversed(_both())), 1)
    other.apply_rules({SERVICE: ON_TRIAL}, 0.0)
    assert _stage(view, _rollout_state(), 1.0) == _stage(other, _rollout_state(), 1.0)


def test_trial_targets_rotate_and_are_ranked_by_order():
    view = _view()
    staged = TrialTargets()
    tried: set[TargetId] = set()
    for second in range(30):
        now = staged.select(view, _rollout_state(), float(second))
        assert len(now) < NEW_COUNT
        tried.update(now)
    assert tried == _ids(_new())
    first = {
        tuple(_stage(view, _rollout_state(position), 0.0)) for position in range(20)
    }
    assert len(first) > 1


def test_trial_targets_follow_the_list():
    view = _view()
    staged = TrialTargets()
    removed = staged.select(view, _rollout_state(), 0.0)[0]
    remaining = [target for target in _both() if target.id != removed]
    view.apply_list(remaining, 2, 1.0)
    assert removed not in staged.select(view, _rollout_state(), 1.0)


def test_a_trial_request_goes_to_the_least_loaded_trial_target():
    view = _view()
    chooser = target_chooser(view)
    first, second = TargetId("i-6"), TargetId("i-7")
    chooser.load.add_request(first)
    key = placement_key(track=Track.CANDIDATE)
    chosen = chooser.choose_among([first, second], key, ENGINE, set(), 0.0)
    assert chosen.listed.id == second
    left = chooser.choose_among([first, second], key, ENGINE, {second}, 0.0)
    assert left.listed.id == first


@params("draining", "away", "full", "tried", "cold", "evacuated")
def test_a_candidate_that_cannot_serve_a_trial_request_is_skipped(state):
    view = _view()
    chooser = target_chooser(view)
    target = TargetId("i-6")
    policy, tried = PLAIN, set()
    if state == "draining":
        entries = _new()[1:] + _new(state=ListedState.DRAINING)[:1]
        view.apply_list([*_old(), *entries], 2)
    elif state == "away":
        view.records[target].mark_unreachable(0.9)
    elif state == "full":
        for _ in range(200):
            chooser.load.add_request(target)
    elif state == "tried":
        tried = {target}
    elif state == "cold":
        view.records[target].cold_until_s = 9.0
        policy = SLOW_WHEN_COLD
    else:
        entries = _new()[1:] + _new(data_centre=THERE)[:1]
        view.apply_list([*_old(), *entries], 2)
        view.evacuate(frozenset({THERE}))
    key = placement_key(None, Track.CANDIDATE)
    assert chooser.choose_among([target], key, policy, tried, 1.0) is None
    others = [target, TargetId("i-7")]
    chosen = chooser.choose_among(others, key, policy, tried, 1.0)
    assert chosen.listed.id == "i-7"
