"""Tests of targets that start again under the entry that they had."""

from hypothesis import given, settings
from hypothesis import strategies as st

from scaleloom_core.fleet_load import FleetLoad, target_key
from scaleloom_core.ids import EntryKey, TargetId
from scaleloom_core.list_history import ListHistory
from scaleloom_core.listed import ListedState, ListedTarget, target_id
from scaleloom_core.target_outcomes import Outcomes
from scaleloom_core.targets import TargetView
from tests.fixtures.targets import HERE, SERVICE

ENTRIES = 3
FAILED = Outcomes(failed=20)
# A former start failed everything that peers sent there, and is out of use.
TOLD_S = 1.0


def _listed(number: int, born_ms: int | None, **fields) -> ListedTarget:
    """Return what the list says of one start of a target."""
    key = EntryKey(f"i-{number}")
    born = target_id(key, born_ms)
    return ListedTarget(born, SERVICE, "10.0.0.1", 80, HERE, 8, entry=key, **fields)


def _reading(starts: list[int]) -> list[ListedTarget]:
    """Return the list in which each target has started so often."""
    return [_listed(number, born_ms) for number, born_ms in enumerate(starts)]


def test_a_target_that_started_again_is_another_one():
    view = TargetView()
    view.apply_list(_reading([1, 1, 1]), 1)
    before = view.find_entry(EntryKey("i-0"))
    before.note_unreachable(0.0)
    view.note_outcomes({target_key(before.listed.id): FAILED}, True)
    view.apply_list(_reading([2, 1, 1]), 2, now_s=0.1)
    after = view.find_entry(EntryKey("i-0"))
    assert after.listed.id != before.listed.id
    assert (after.absence_s, after.away_until_s, after.failure_ratio) == (0.0, 0.0, 0.0)
    assert view.find_source(before.listed.id, 0.2) is None
    kept = view.find_entry(EntryKey("i-1"))
    assert kept.listed.id == "i-1@1"


def test_an_entry_that_lapsed_is_not_kept_for_a_former_start():
    view = TargetView()
    view.apply_list(_reading([1, 1]), 1)
    view.allow_lapses(0.0)
    view.apply_list(_reading([2]), 2, now_s=0.1)
    assert set(view.records) == {"i-0@2", "i-1@1"}


def test_what_a_former_start_held_is_not_held_by_the_new_one():
    load = FleetLoad()
    former, newer = target_id(EntryKey("i-0"), 1), target_id(EntryKey("i-0"), 2)
    load.take(former)
    load.note_report("peer", {target_key(former): 5}, 0.0)
    assert (load.held(former), load.held(newer)) == (6, 0)
    load.take(newer)
    load.release(former)
    assert load.held(newer) == 1


def test_peers_are_told_of_a_new_start_by_its_entry():
    history = ListHistory()
    first, second = _reading([1, 1]), _reading([2, 1])
    history.note(1, {target.key: target for target in first})
    history.note(2, {target.key: target for target in second})
    change = history.change_since(1)
    assert (change.changed, change.gone) == ({"i-0"}, frozenset())


READINGS = st.lists(
    st.tuples(st.integers(0, 30), st.sampled_from(["list", "report"])),
    min_size=1,
    max_size=40,
)


@given(st.lists(st.integers(0, ENTRIES - 1), max_size=30), READINGS)
@settings(max_examples=200, deadline=None)
def test_no_belief_about_a_start_is_stale(restarts, told):
    # The history of the store: at each position one target has started again.
    history = [[1] * ENTRIES]
    for number in restarts:
        starts = list(history[-1])
        starts[number] += 1
        history.append(starts)
    view = TargetView()
    newest = -1
    for at, kind in told:
        position = min(at, len(history) - 1)
        if kind == "list":
            view.apply_list(_reading(history[position]), position)
            newest = max(newest, position)
        else:
            # Peers that read that list tell of failures at the starts in it.
            counts = {target_key(t.id): FAILED for t in _reading(history[position])}
            view.note_outcomes(counts, True, TOLD_S)
        if newest < 0:
            continue
        for number, born_ms in enumerate(history[newest]):
            record = view.find_entry(EntryKey(f"i-{number}"))
            assert record.listed.id == target_id(EntryKey(f"i-{number}"), born_ms)
            told_of_it = any(
                history[min(a, len(history) - 1)][number] == born_ms
                for a, k in told
                if k == "report"
            )
            assert told_of_it or record.failure_ratio == 0.0


def test_an_id_without_a_start_is_the_entry():
    assert target_id(EntryKey("i-1"), None) == TargetId("i-1")
    assert _listed(1, None).state is ListedState.READY
