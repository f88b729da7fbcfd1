"""Tests of evacuated data centres and their targets."""

from scaleloom_core.evacuations import EvacuationChange, Evacuations
from scaleloom_core.fleet_load import target_key
from scaleloom_core.prefix_holders import part_key
from scaleloom_core.target_entries import ListedState
from tests.fixtures.targets import (
    ENGINE,
    HERE,
    SERVICE,
    THERE,
    listed_target,
    placement_key,
    target_chooser,
    target_view,
)

BOTH = frozenset({HERE, THERE})


def _view_of_two_data_centres():
    """Return a view of two data centres with three targets each."""
    view = target_view(0)
    here = [listed_target(number) for number in range(3)]
    there = [listed_target(number, data_centre=THERE) for number in range(3, 6)]
    view.apply_list(here + there, 2)
    return view


def test_changes_are_applied_in_order():
    began = EvacuationChange(HERE, is_start=True)
    ended = EvacuationChange(HERE, is_start=False)
    first = Evacuations(3).with_changes([began], 4)
    assert first.data_centres == {HERE}
    assert first.with_changes([ended], 5).data_centres == frozenset()
    again = first.with_changes([ended, began], 6)
    assert again.data_centres == {HERE}
    assert again.is_newer_than(first) and not first.is_newer_than(again)


def test_the_end_of_an_unknown_evacuation_changes_nothing():
    ended = EvacuationChange(HERE, is_start=False)
    assert Evacuations().with_changes([ended], 1).data_centres == frozenset()


def test_targets_of_an_evacuated_data_centre_are_not_chosen():
    view = _view_of_two_data_centres()
    chooser = target_chooser(view)
    keys = [placement_key(f"part-{number}") for number in range(40)]
    keys.append(placement_key(None))
    before = {chooser.choose(k, ENGINE, set(), 0.0).listed.data_centre for k in keys}
    view.evacuate(frozenset({THERE}))
    after = {chooser.choose(k, ENGINE, set(), 0.0).listed.data_centre for k in keys}
    assert before == BOTH
    assert after == {HERE}
    view.evacuate(frozenset())
    back = {chooser.choose(k, ENGINE, set(), 0.0).listed.data_centre for k in keys}
    assert back == BOTH


def test_a_target_that_joins_an_evacuated_data_centre_is_not_used():
    view = _view_of_two_data_centres()
    view.evacuate(frozenset({THERE}))
    listed = [record.listed for record in view.records.values()]
    view.apply_list([*listed, listed_target(9, data_centre=THERE)], 3)
    usable = view.usable_targets(SERVICE, 0.0)
    assert {record.listed.data_centre for record in usable} == {HERE}


def test_requests_at_evacuated_targets_do_not_count_in_the_mean():
    view = _view_of_two_data_centres()
    chooser = target_chooser(view)
    for number in range(3, 6):
        for _ in range(60):
            chooser.load.add_request(listed_target(number).id)
    view.evacuate(frozenset({THERE}))
    home = chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id
    acquired = 0
    while chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id == home:
        chooser.load.add_request(home)
        acquired += 1
    assert acquired <= 5


def test_the_load_bound_covers_evacuated_targets():
    view = _view_of_two_data_centres()
    view.evacuate(frozenset({THERE}))
    chooser = target_chooser(view)
    for number in range(3):
        for _ in range(20):
            chooser.load.add_request(listed_target(number).id)
    while (chosen := chooser.choose(placement_key(), ENGINE, set(), 0.0)) is not None:
        in_flight = [chooser.load.in_flight(target) for target in view.records]
        if chooser.load.in_flight(chosen.listed.id) > min(in_flight[:3]):
            assert (
                chooser.load.in_flight(chosen.listed.id) + 1
                <= 2.0 * sum(in_flight) / 6 + 3
            )
        if sum(in_flight) >= 150:
            break
        chooser.load.add_request(chosen.listed.id)


def test_an_evacuated_target_is_still_a_cache_source():
    view = _view_of_two_data_centres()
    chooser = target_chooser(view)
    source = listed_target(4, data_centre=THERE)
    chooser.holders.add(part_key("p"), target_key(source.id), 0.0)
    view.evacuate(frozenset({THERE}))
    chosen = chooser.choose(placement_key("p"), ENGINE, set(), 1.0)
    assert chosen.listed.data_centre == HERE
    assert chooser.cache_source(placement_key("p"), chosen.listed.id, 1.0) == source


def test_a_service_is_evacuated_once_all_its_data_centres_are():
    view = _view_of_two_data_centres()
    view.evacuate(frozenset({THERE}))
    assert not view.is_evacuated(SERVICE)
    view.evacuate(BOTH)
    assert view.is_evacuated(SERVICE)
    assert target_chooser(view).choose(placement_key(), ENGINE, set(), 0.0) is None


def test_a_service_whose_targets_all_drain_is_not_evacuated():
    view = target_view(3, state=ListedState.DRAINING)
    view.evacuate(frozenset({HERE}))
    assert not view.is_evacuated(SERVICE)
