"""Tests of the holders of shared prompt parts, and of the choice of a cache source."""

from scaleloom_core.fleet_load import FleetLoad
from scaleloom_core.ids import TargetId
from scaleloom_core.prefix_holders import PrefixHolders, part_key
from scaleloom_core.target_choice import TargetChooser
from scaleloom_core.target_entries import ListedState
from scaleloom_core.targets import DEPARTED_SOURCE_S, TargetView
from tests.fixtures.targets import (
    ENGINE,
    SERVICE,
    listed_target,
    placement_key,
    target_chooser,
    target_view,
)


def test_the_next_choice_copies_the_part_from_its_home():
    chooser = target_chooser(target_view(6))
    home = chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id
    other = chooser.choose(placement_key(), ENGINE, {home}, 0.0).listed.id
    assert chooser.cache_source(placement_key(), other, 0.0).id == home
    assert chooser.cache_source(placement_key(None), other, 0.0) is None


def test_a_holder_precedes_a_home_without_the_part():
    chooser = target_chooser(target_view(6))
    home, other, _ = _ranking(chooser)
    chooser.record_cached(placement_key(), other, 5.0)
    assert chooser.choose(placement_key(), ENGINE, set(), 6.0).listed.id == other
    assert chooser.choose(placement_key(), ENGINE, {other}, 6.0).listed.id == home


def test_a_joining_target_gets_no_part_that_another_holds():
    view = target_view(5)
    chooser = target_chooser(view)
    parts = [f"p-{number}" for number in range(60)]
    holder_by_part = {}
    for part in parts:
        holder_by_part[part] = chooser.choose(
            placement_key(part), ENGINE, set(), 0.0
        ).listed.id
        chooser.record_cached(placement_key(part), holder_by_part[part], 0.0)
    view.apply_list([listed_target(n) for n in range(6)], 2)
    after = {
        p: chooser.choose(placement_key(p), ENGINE, set(), 1.0).listed.id for p in parts
    }
    assert after == holder_by_part
    new_homes = {view.candidates(SERVICE, part)[0] for part in parts}
    assert TargetId("i-5") in new_homes


def test_the_least_loaded_of_several_holders_is_chosen():
    chooser = target_chooser(target_view(6))
    home, other, _ = _ranking(chooser)
    chooser.record_cached(placement_key(), home, 5.0)
    chooser.record_cached(placement_key(), other, 5.0)
    for loaded, least in ((home, other), (other, home)):
        chooser.load = FleetLoad()
        for _ in range(2):
            chooser.load.add_request(loaded)
        assert chooser.choose(placement_key(), ENGINE, set(), 6.0).listed.id == least


def test_the_overflow_of_a_full_holder_goes_to_the_next():
    chooser = target_chooser(target_view(6))
    home, other, _ = _ranking(chooser)
    chooser.record_cached(placement_key(), home, 5.0)
    while chooser.choose(placement_key(), ENGINE, set(), 6.0).listed.id == home:
        chooser.load.add_request(home)
    assert chooser.choose(placement_key(), ENGINE, set(), 6.0).listed.id == other
    assert chooser.load.in_flight(home) < 64


def test_a_home_without_known_holders_copies_from_the_next_home():
    chooser = target_chooser(target_view(6))
    home, other, _ = _ranking(chooser)
    assert chooser.cache_source(placement_key(), home, 0.0).id == other


def test_a_restarted_router_finds_the_home_before_a_target_joined():
    before = target_view(5)
    home = (
        target_chooser(before)
        .choose(placement_key("moved"), ENGINE, set(), 0.0)
        .listed.id
    )
    joined = next(
        number
        for number in range(5, 200)
        if _home_with(number, "moved") == TargetId(f"i-{number}")
    )
    started = TargetView()
    started.apply_list([listed_target(n) for n in (*range(5), joined)], 1)
    source = target_chooser(started).cache_source(
        placement_key("moved"), TargetId(f"i-{joined}"), 0.0
    )
    assert source.id == home


def test_a_holder_copies_nothing():
    chooser = target_chooser(target_view(6))
    home = chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id
    other = chooser.choose(placement_key(), ENGINE, {home}, 0.0).listed.id
    chooser.record_cached(placement_key(), other, 5.0)
    assert chooser.cache_source(placement_key(), other, 6.0) is None
    assert chooser.cache_source(placement_key(), home, 6.0).id == other


def test_a_new_home_copies_from_the_draining_former_home():
    view = target_view(6)
    chooser = target_chooser(view)
    home = chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id
    number = int(home.removeprefix("i-"))
    listed = [listed_target(n) for n in range(6) if n != number]
    view.apply_list([*listed, listed_target(number, ListedState.DRAINING)], 2)
    new_home = chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id
    assert new_home != home
    assert chooser.cache_source(placement_key(), new_home, 0.0).id == home
    view.apply_list(listed, 3, 9.0)
    expired_s = 9.0 + DEPARTED_SOURCE_S
    chooser.record_cached(placement_key(), home, 9.0)
    assert chooser.cache_source(placement_key(), new_home, expired_s - 0.1).id == home
    assert chooser.cache_source(placement_key(), new_home, expired_s).id != home


def test_an_unlisted_target_remains_a_source_for_a_while():
    view = target_view(6)
    chooser = target_chooser(view)
    home, other, _ = _ranking(chooser)
    chooser.record_cached(placement_key(), home, 5.0)
    remaining = [listed_target(n) for n in range(6) if TargetId(f"i-{n}") != home]
    view.apply_list(remaining, 2, 6.0)
    assert chooser.choose(placement_key(), ENGINE, set(), 6.0).listed.id == other
    assert chooser.cache_source(placement_key(), other, 6.0).id == home
    view.apply_list(remaining, 3, 6.0 + DEPARTED_SOURCE_S)
    assert (
        chooser.cache_source(placement_key(), other, 6.0 + DEPARTED_SOURCE_S).id != home
    )


def test_an_unreachable_target_is_no_source():
    view = target_view(6)
    chooser = target_chooser(view)
    home, other, _ = _ranking(chooser)
    chooser.record_cached(placement_key(), home, 5.0)
    view.records[home].mark_unreachable(5.5)
    assert chooser.cache_source(placement_key(), other, 9.0) is None
    view.apply_list([listed_target(n) for n in range(6) if f"i-{n}" != home], 2, 9.0)
    assert chooser.cache_source(placement_key(), other, 9.1).id != home


def test_a_reported_holder_is_a_source_for_peers():
    first, second = target_chooser(target_view(6)), target_chooser(target_view(6))
    home, other, third = _ranking(first)
    first.record_cached(placement_key(), other, 5.0)
    for part, target in first.holders.pop_unreported():
        second.holders.add(part, target, 5.1)
    assert second.cache_source(placement_key(), third, 6.0).id == other
    assert second.cache_source(placement_key(), home, 6.0).id == other
    assert first.holders.pop_unreported() == []


def test_a_holder_is_reported_again_at_intervals():
    chooser = target_chooser(target_view(6))
    reported_s = []
    for second in range(25):
        chooser.record_cached(placement_key(), TargetId("i-1"), float(second))
        if chooser.holders.pop_unreported():
            reported_s.append(second)
    assert reported_s == [0, 10, 20]


def _home_with(number: int, part: str) -> TargetId:
    """Return the home of `part` after the target `number` joined five others."""
    view = TargetView()
    view.apply_list([listed_target(n) for n in (*range(5), number)], 1)
    return (
        target_chooser(view).choose(placement_key(part), ENGINE, set(), 0.0).listed.id
    )


def _ranking(chooser: TargetChooser) -> list[TargetId]:
    """Return the three first choices for the part."""
    tried: list[TargetId] = []
    for _ in range(3):
        record = chooser.choose(placement_key(), ENGINE, set(tried), 0.0)
        tried.append(record.listed.id)
    return tried


def test_holders_are_limited_in_age_and_number():
    holders = PrefixHolders(retention_s=10.0, max_parts=2)
    a, c = part_key("a"), part_key("c")
    for second, part in enumerate((a, part_key("b"), c)):
        holders.add(part, 1, float(second))
    assert not holders.holds(a, 1, 3.0)
    assert holders.holds(c, 1, 12.0)
    assert not holders.holds(c, 1, 12.1)
    holders.add(c, 2, 5.0)
    assert holders.holders_of(c, 6.0) == [2, 1]
