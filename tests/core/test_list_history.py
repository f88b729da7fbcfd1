"""Tests of the list changes that routers send to each other."""

from hypothesis import given
from hypothesis import strategies as st

from scaleloom_core.ids import DataCentreName, ServiceName, TargetId
from scaleloom_core.list_history import ListHistory
from scaleloom_core.target_entries import ListedTarget

LISTS = st.lists(
    st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 3), max_size=6),
    min_size=1,
    max_size=12,
)


def _listed(slots: dict[str, int]) -> dict[TargetId, ListedTarget]:
    """Return a list whose targets differ by their slots."""
    service, here = ServiceName("llm"), DataCentreName("here")
    return {
        TargetId(name): ListedTarget(TargetId(name), service, "h", 1, here, count)
        for name, count in slots.items()
    }


@given(LISTS)
def test_a_change_makes_the_newest_state_of_any_that_is_remembered(lists):
    history = ListHistory(max_states=4)
    states = [_listed(slots) for slots in lists]
    for digest, state in enumerate(states):
        history.add(digest, state)
    newest = states[-1]
    for digest, state in enumerate(states):
        change = history.change_since(digest)
        if digest < len(states) - 4:
            assert change is None
            continue
        remaining = {
            t: listed for t, listed in state.items() if t not in change.removed
        }
        assert {**remaining, **{t: newest[t] for t in change.changed}} == newest
        assert not change.changed & change.removed


def test_an_unknown_state_has_no_change():
    history = ListHistory()
    assert history.change_since(1) is None
    history.add(1, _listed({"a": 1}))
    assert history.change_since(2) is None
    assert history.change_since(1).changed == frozenset()
