"""Tests of targets that restart under the same entry."""

from hypothesis import given, settings
from hypothesis import strategies as st

from scaleloom_core.fleet_load import FleetLoad, target_key
from scaleloom_core.ids import EntryKey, TargetId
from scaleloom_core.list_history import ListHistory
from scaleloom_core.target_entries import ListedState, ListedTarget, target_start_id
from scaleloom_core.target_outcomes import Outcomes
from scaleloom_core.targets import TargetView
from tests.fixtures.targets import HERE, SERVICE

ENTRIES = 3
FAILED = Outcomes(failed=20)
# When peers report that a former start failed every request.
REPORTED_S = 1.0


def _listed(number: int, started_ms: int | None, **fields) -> ListedTarget:
    """Return the list entry of one start of a target."""
    key = EntryKey(f"i-{number}")
    start_id = target_start_id(key, started_ms)
    return ListedTarget(start_id, SERVICE, "10.0.0.1", 80, HERE, 8, entry=key, **fields)


def _reading(starts: list[int]) -> list[ListedTarget]:
    """Return a list in which each target has started `starts` times."""
    return [_listed(number, started_ms) for number, started_ms in enumerate(starts)]


def test_a_restarted_target_is_another_target():
    view = TargetView()
    view.apply_list(_reading([1, 1, 1]), 1)
    before = view.find_by_entry(EntryKey("i-0"))
    before.mark_unreachable(0.0)
    view.record_outcomes({target_key(before.listed.id): FAILED}, True)
    view.apply_list(_reading([2, 1, 1]), 2, now_s=0.1)
    after = view.find_by_entry(EntryKey("i-0"))
    assert after.listed.id != before.listed.id
    assert (after.ejection_s, after.ejected_until_s, after.failure_ratio) == (
        0.0,
        0.0,
        0.0,
    )
    assert view.find_source(before.listed.id, 0.2) is None
    restarted = view.find_by_entry(EntryKey("i-1"))
    assert restarted.listed.id == "i-1@1"


def test_a_former_start_is_not_retained_after_a_restart():
    view = TargetView()
    view.apply_list(_reading([1, 1]), 1)
    view.retain_expired(0.0)
    view.apply_list(_reading([2]), 2, now_s=0.1)
    assert set(view.records) == {"i-0@2", "i-1@1"}


def test_requests_of_a_former_start_do_not_count_for_the_new_one():
    load = FleetLoad()
    former, newer = target_start_id(EntryKey("i-0"), 1), target_start_id(
        EntryKey("i-0"), 2
    )
    load.add_request(former)
    load.update_peer("peer", {target_key(former): 5}, 0.0)
    assert (load.in_flight(former), load.in_flight(newer)) == (6, 0)
    load.add_request(newer)
    load.remove_request(former)
    assert load.in_flight(newer) == 1


def test_a_list_change_names_a_new_start_by_its_entry():
    history = ListHistory()
    first, second = _reading([1, 1]), _reading([2, 1])
    history.add(1, {target.key: target for target in first})
    history.add(2, {target.key: target for target in second})
    change = history.change_since(1)
    assert (change.changed, change.removed) == ({"i-0"}, frozenset())


READINGS = st.lists(
    st.tuples(st.integers(0, 30), st.sampled_from(["list", "report"])),
    min_size=1,
    max_size=40,
)


@given(st.lists(st.integers(0, ENTRIES - 1), max_size=30), READINGS)
@settings(max_examples=200, deadline=None)
def test_no_belief_about_a_start_is_stale(restarts, readings):
    # The history of the store: at each position one target has restarted.
    history = [[1] * ENTRIES]
    for number in restarts:
        starts = list(history[-1])
        starts[number] += 1
        history.append(starts)
    view = TargetView()
    newest = -1
    for at, kind in readings:
        position = min(at, len(history) - 1)
        if kind == "list":
            view.apply_list(_reading(history[position]), position)
            newest = max(newest, position)
        else:
            # Peers that read that list report failures of the starts in it.
            counts = {target_key(t.id): FAILED for t in _reading(history[position])}
            view.record_outcomes(counts, True, REPORTED_S)
        if newest < 0:
            continue
        for number, started_ms in enumerate(history[newest]):
            record = view.find_by_entry(EntryKey(f"i-{number}"))
            assert record.listed.id == target_start_id(
                EntryKey(f"i-{number}"), started_ms
            )
            was_reported = any(
                history[min(a, len(history) - 1)][number] == started_ms
                for a, k in readings
                if k == "report"
            )
            assert was_reported or record.failure_ratio == 0.0


def test_an_id_without_a_start_time_equals_the_entry():
    assert target_start_id(EntryKey("i-1"), None) == TargetId("i-1")
    assert _listed(1, None).state is ListedState.READY
