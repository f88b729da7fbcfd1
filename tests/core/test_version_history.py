"""Tests of whether a service is known to have had only one version."""

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from scaleloom_core.ids import ServiceName, Version
from scaleloom_core.target_entries import ListedState
from scaleloom_core.version_history import (
    MAX_GAP_S,
    MAX_TELLER_AGE_S,
    VersionHistory,
)
from scaleloom_core.version_holds import VERSION_HOLD_S
from tests.fixtures.targets import SERVICE, listed_target

V1, V2 = Version("1.1"), Version("1.2")
RETENTION_S = 10.0
POLL_S = 0.7
VERSION_SETS = st.sampled_from([(V1,), (V2,), (V1, V2), (V1, ""), ()])


def _history(seconds: float, versions=(V1,), start_s: float = 0.0) -> VersionHistory:
    """Return the history of a list that showed `versions` for some time."""
    history = VersionHistory()
    _extend(history, start_s, seconds, versions)
    return history


def _extend(history: VersionHistory, start_s: float, seconds: float, versions) -> float:
    """Record a list that shows `versions` for some time; return its last reading."""
    listed = [listed_target(n, version=v) for n, v in enumerate(versions)]
    now_s = start_s
    while now_s < start_s + seconds:
        history.record_listed(listed, now_s)
        now_s += POLL_S
    history.record_listed(listed, start_s + seconds)
    return start_s + seconds


def test_one_version_for_a_streams_life_is_known_to_have_begun_all_streams():
    history = _history(RETENTION_S)
    assert history.only_version(SERVICE, RETENTION_S, RETENTION_S) == V1
    assert not history.must_announce(SERVICE, RETENTION_S, RETENTION_S)


def test_a_router_that_has_just_started_does_not_know_the_version():
    history = _history(RETENTION_S - 0.1)
    now_s = RETENTION_S - 0.1
    assert history.only_version(SERVICE, RETENTION_S, now_s) is None
    assert history.must_announce(SERVICE, RETENTION_S, now_s)


def test_nothing_is_known_of_a_service_that_was_never_listed():
    history = _history(RETENTION_S)
    other = ServiceName("other")
    assert history.only_version(other, RETENTION_S, RETENTION_S) is None
    assert history.must_announce(other, RETENTION_S, RETENTION_S)
    assert VersionHistory().only_version(SERVICE, RETENTION_S, 0.0) is None


@params((V1, V2), (V1, ""), ("", V2))
def test_streams_are_announced_while_several_versions_are_listed(*versions):
    history = _history(2 * RETENTION_S)
    end_s = _extend(history, 2 * RETENTION_S + 0.1, RETENTION_S, versions)
    assert history.only_version(SERVICE, RETENTION_S, end_s) is None
    assert history.must_announce(SERVICE, RETENTION_S, end_s)


def test_a_second_version_ends_what_the_list_proves_at_once():
    history = _history(2 * RETENTION_S)
    confirmed_s = history.confirmed_s
    second_s = confirmed_s + 0.4
    history.record_listed(
        [listed_target(1, version=V1), listed_target(2, version=V2)], second_s
    )
    assert history.must_announce(SERVICE, RETENTION_S, second_s)
    for broken_s in (confirmed_s, second_s):
        assert history.only_version(SERVICE, RETENTION_S, broken_s) is None
        assert history.only_listed(SERVICE, RETENTION_S, broken_s) is None


def test_a_draining_target_still_shows_its_version():
    history = _history(2 * RETENTION_S)
    leaving = listed_target(1, ListedState.DRAINING, version=V1)
    history.record_listed(
        [leaving, listed_target(2, version=V2)], 2 * RETENTION_S + 3.0
    )
    assert history.must_announce(SERVICE, RETENTION_S, 2 * RETENTION_S + 3.0)


def test_the_second_version_alone_is_known_after_a_streams_life():
    history = _history(RETENTION_S)
    both_s = _extend(history, RETENTION_S, 3.0, (V1, V2))
    second_s = _extend(history, both_s + POLL_S, RETENTION_S - 0.1, (V2,))
    assert history.only_version(SERVICE, RETENTION_S, second_s) is None
    assert history.must_announce(SERVICE, RETENTION_S, second_s)
    later_s = _extend(history, second_s, 0.2, (V2,))
    assert history.only_version(SERVICE, RETENTION_S, later_s) == V2
    assert not history.must_announce(SERVICE, RETENTION_S, later_s)


def test_a_list_proves_nothing_of_streams_that_broke_after_its_confirmation():
    history = _history(2 * RETENTION_S)
    last_s = history.confirmed_s
    later_s = last_s + 0.01
    assert history.only_version(SERVICE, RETENTION_S, last_s) == V1
    assert history.only_version(SERVICE, RETENTION_S, later_s) is None
    assert history.only_listed(SERVICE, RETENTION_S, later_s) == V1
    history.confirm(later_s)
    assert history.only_version(SERVICE, RETENTION_S, later_s) == V1
    assert not history.must_announce(SERVICE, RETENTION_S, last_s + VERSION_HOLD_S)
    assert history.must_announce(
        SERVICE, RETENTION_S, later_s + MAX_TELLER_AGE_S + 0.01
    )


@params(0.0, 0.5)
def test_a_router_that_was_cut_off_or_suspended_starts_again(margin_s):
    history = _history(2 * RETENTION_S)
    back_s = history.confirmed_s + MAX_GAP_S + 0.1 + margin_s
    history.confirm(back_s)
    assert history.only_version(SERVICE, RETENTION_S, back_s) is None
    assert history.must_announce(SERVICE, RETENTION_S, back_s)
    again_s = _extend(history, back_s, RETENTION_S, (V1,))
    assert history.only_version(SERVICE, RETENTION_S, again_s) == V1


def test_confirmations_without_a_reading_count():
    history = _history(0.0)
    now_s = 0.0
    while now_s < RETENTION_S:
        now_s += POLL_S
        history.confirm(now_s)
    history.confirm(now_s - 5.0)
    assert history.only_version(SERVICE, RETENTION_S, now_s) == V1


def test_a_service_whose_entries_never_named_a_version_has_one():
    history = _history(0.0, versions=("", ""))
    for now_s in (0.0, 100.0):
        assert not history.must_announce(SERVICE, RETENTION_S, now_s)
        assert history.only_listed(SERVICE, RETENTION_S, now_s) == Version("")
        assert history.only_version(SERVICE, RETENTION_S, now_s + 0.01) is None
        history.confirm(now_s + 0.01)
        assert history.only_version(SERVICE, RETENTION_S, now_s) == Version("")


def test_a_service_that_stops_telling_versions_is_not_known_to_have_one():
    history = _history(2 * RETENTION_S)
    end_s = _extend(history, 2 * RETENTION_S + 0.1, 3 * RETENTION_S, ("",))
    assert history.only_version(SERVICE, RETENTION_S, end_s) is None
    assert history.must_announce(SERVICE, RETENTION_S, end_s)


def test_a_service_under_a_roll_out_order_is_not_known_to_have_one():
    history = _history(2 * RETENTION_S)
    history.ordered = frozenset({SERVICE})
    assert history.only_version(SERVICE, RETENTION_S, 2 * RETENTION_S) is None
    assert history.must_announce(SERVICE, RETENTION_S, 2 * RETENTION_S)
    history.ordered = frozenset({ServiceName("other")})
    assert history.only_version(SERVICE, RETENTION_S, 2 * RETENTION_S) == V1


def test_a_service_without_targets_keeps_its_version():
    history = _history(2 * RETENTION_S)
    history.record_listed([], 2 * RETENTION_S + 0.5)
    now_s = 2 * RETENTION_S + 1.0
    history.record_listed([listed_target(1, version=V1)], now_s)
    assert history.only_version(SERVICE, RETENTION_S, now_s) == V1


@given(
    st.lists(st.tuples(st.floats(0.05, 2.0), VERSION_SETS), min_size=1, max_size=40),
    st.floats(0.0, 3.0),
)
def test_the_only_version_is_the_only_one_listed_for_a_streams_life(steps, later_s):
    history = VersionHistory()
    shown: list[tuple[float, tuple]] = []
    now_s = 0.0
    for step_s, versions in steps:
        now_s += step_s
        listed = [listed_target(n, version=v) for n, v in enumerate(versions)]
        history.record_listed(listed, now_s)
        shown.append((now_s, versions))
    broken_s = now_s - later_s
    only = history.only_version(SERVICE, RETENTION_S, broken_s)
    assert history.only_version(SERVICE, RETENTION_S, now_s + 0.01) is None
    if only is None:
        return
    begun_s = broken_s - RETENTION_S
    # Whatever another router may have sent to was listed by then.
    seen = {v for at_s, versions in shown if begun_s <= at_s for v in versions}
    assert seen <= {only}
    assert shown[0][0] <= begun_s
