"""Tests of the choice of a target for a stream that has begun."""

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.ids import CauseDigest, TargetId, Version
from scaleloom_core.rollouts.versions import VersionRule
from scaleloom_core.stream_origins import StreamBound
from scaleloom_core.target_choice import TargetChooser
from scaleloom_core.target_entries import ListedState
from scaleloom_core.target_outcomes import Outcomes
from scaleloom_core.targets import TargetView
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

V1, V2 = Version("1.1"), Version("1.2")
ON_V1, ON_V2 = StreamBound(V1), StreamBound(V2)
NOW_S = 10.0
SHARED_PART = placement_key()
FAILED = Outcomes(failed=20)


def _chooser(*entries) -> TargetChooser:
    """Return a chooser among `entries`."""
    view = TargetView()
    view.apply_list(list(entries), 1)
    return target_chooser(view)


def _mixed_chooser(old_count: int = 3, new_count: int = 3) -> TargetChooser:
    """Return a chooser among targets of two versions, the old ones first."""
    return _chooser(
        *listed_range(0, old_count, V1),
        *listed_range(old_count, old_count + new_count, V2),
    )


def _choose(chooser, bound, key=SHARED_PART, policy=ENGINE, attempted=()):
    """Return the target for a stream, or None."""
    return chooser.choose(key, policy, set(attempted), NOW_S, bound)


@given(
    st.lists(st.sampled_from([V1, V2, ""]), max_size=8),
    st.sampled_from([V1, V2, None]),
    st.sampled_from([placement_key(), placement_key("q"), placement_key(None)]),
    st.sampled_from([ENGINE, PLAIN]),
    st.lists(st.integers(0, 70), max_size=8),
)
def test_a_begun_stream_goes_on_at_its_version_whatever_the_load(
    versions, version, key, policy, loads
):
    entries = [listed_target(n, version=v) for n, v in enumerate(versions)]
    chooser = _chooser(*entries)
    for number, load in enumerate(loads):
        for _ in range(load):
            chooser.load.add_request(TargetId(f"i-{number}"))
    bound = StreamBound(version)
    chosen = [
        _choose(chooser, bound, key, policy),
        chooser.choose_for_trial(key, policy, set(), NOW_S, CauseDigest(7), bound),
    ]
    assert all(record is None or bound.allows(record.listed) for record in chosen)
    if version not in versions:
        assert chosen == [None, None]


def test_a_holder_of_another_version_is_no_place_to_go_on():
    chooser = _mixed_chooser()
    chooser.record_cached(placement_key(), TargetId("i-4"), NOW_S)
    assert _choose(chooser, None).listed.id == "i-4"
    assert _choose(chooser, ON_V1).listed.version == V1
    chooser.record_cached(placement_key(), TargetId("i-2"), NOW_S)
    assert _choose(chooser, ON_V1).listed.id == "i-2"


def test_targets_attempted_before_are_left_out():
    chooser = _mixed_chooser(old_count=2)
    first = _choose(chooser, ON_V1).listed.id
    second = _choose(chooser, ON_V1, attempted=[first]).listed.id
    assert {first, second} == {"i-0", "i-1"}
    assert _choose(chooser, ON_V1, attempted=[first, second]) is None


def test_a_full_version_is_not_left():
    chooser = _mixed_chooser(old_count=1)
    for _ in range(64):
        chooser.load.add_request(TargetId("i-0"))
    assert _choose(chooser, ON_V1) is None
    assert _choose(chooser, None) is not None


@params(ListedState.READY, ListedState.DRAINING)
def test_only_ready_targets_of_evacuated_and_other_data_centres_count(state):
    chooser = _chooser(
        listed_target(0, data_centre=HERE, version=V1),
        listed_target(1, state, data_centre=THERE, version=V1),
        listed_target(2, data_centre=THERE, version=V2),
    )
    chooser.view.evacuate(frozenset({HERE}))
    chosen = _choose(chooser, ON_V1)
    if state is ListedState.READY:
        assert chosen.listed.id == "i-1"
    else:
        assert chosen is None


def test_a_version_that_fails_more_than_another_is_not_ejected_completely():
    chooser = _mixed_chooser(old_count=2, new_count=6)
    for number in range(2):
        record = chooser.view.records[TargetId(f"i-{number}")]
        record.record_outcomes(FAILED, is_own_group=True)
    usable = chooser.view.usable_targets(SERVICE, NOW_S)
    assert {record.listed.version for record in usable} == {V2}
    assert _choose(chooser, ON_V1).listed.version == V1


def test_a_stream_goes_on_at_a_version_that_is_held_back():
    chooser = _chooser(*listed_range(0, 3, V1))
    mixed = [*listed_range(0, 3, V1), *listed_range(3, 6, V2)]
    chooser.view.apply_list(mixed, 2, NOW_S)
    held = chooser.view.usable_targets(SERVICE, NOW_S + VERSION_HOLD_S / 2)
    assert {record.listed.version for record in held} == {V1}
    assert _choose(chooser, ON_V2).listed.version == V2


@params(
    (VersionRule(candidate=V1), V1),
    (VersionRule(candidate=V2), V1),
    (VersionRule(candidate=V2, replaced=frozenset({V1})), V1),
    (VersionRule(rejected=frozenset({V1})), None),
)
def test_tracks_do_not_matter_unless_the_version_is_rejected(rule, expected):
    chooser = _mixed_chooser()
    chooser.view.apply_rules({SERVICE: rule}, NOW_S)
    chosen = _choose(chooser, ON_V1)
    assert (chosen and chosen.listed.version) == expected


def test_a_begun_stream_copies_its_prompt_from_its_own_version():
    chooser = _mixed_chooser()
    chooser.record_cached(placement_key(), TargetId("i-4"), NOW_S)
    chosen = _choose(chooser, ON_V1).listed.id
    assert chooser.cache_source(placement_key(), chosen, NOW_S).id == "i-4"
    source = chooser.cache_source(placement_key(), chosen, NOW_S, ON_V1)
    assert source is None or source.version == V1
    chooser.record_cached(placement_key(), TargetId("i-1"), NOW_S)
    other = _choose(chooser, ON_V1, attempted=["i-1"]).listed.id
    assert chooser.cache_source(placement_key(), other, NOW_S, ON_V1).id == "i-1"
