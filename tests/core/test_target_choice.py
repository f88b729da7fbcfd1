"""Tests of the choice of a target within the load bound."""

from nose2.tools import params

from scaleloom_core.fleet_load import PEER_REPORT_LIFE_S, FleetLoad, target_key
from scaleloom_core.ids import InstanceId, TargetId
from scaleloom_core.service_pools import LARGE_POOL, LIFE_FOR_EACH_S
from scaleloom_core.target_choice import BOUND_HEADROOM, TargetChooser
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.targets import TargetView
from tests.fixtures.targets import (
    ENGINE,
    HERE,
    PLAIN,
    SERVICE,
    THERE,
    listed_target,
    placement_key,
    target_chooser,
    target_view,
)


def test_the_more_comes_between_reports_the_less_a_home_takes():
    view = target_view(6)
    chooser = target_chooser(view)
    home = chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id

    def places_at_home(sends_per_interval: int) -> int:
        load = FleetLoad()
        chooser.load = load
        for peer in range(4):
            load.note_report(InstanceId(f"p-{peer}"), {}, 0.0)
        for report in range(60):
            for _ in range(sends_per_interval):
                load.take(home)
                load.release(home)
            load.own_report(report * load.report_pause_s)
        for record in view.records.values():
            for _ in range(6):
                load.take(record.listed.id)
        while chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id == home:
            load.take(home)
        return load.held(home)

    assert places_at_home(0) == places_at_home(0) > places_at_home(5)


@params(1, 2, 3)
def test_a_shared_part_has_one_home_on_every_router(seed):
    part = placement_key(f"part-{seed}")
    homes = {
        target_chooser(target_view()).choose(part, ENGINE, set(), 0.0).listed.id
        for _ in range(5)
    }
    assert len(homes) == 1


def test_no_choice_breaks_the_bound_when_all_ask_for_one_part():
    view = target_view(6)
    chooser = target_chooser(view)
    for _ in range(200):
        record = chooser.choose(placement_key(), ENGINE, set(), 0.0)
        loads = [chooser.load.held(target) for target in view.records]
        mean = sum(loads) / len(loads)
        assert chooser.load.held(record.listed.id) + 1 <= 2.0 * mean + 3
        chooser.load.take(record.listed.id)


def test_peers_count_towards_the_bound_until_they_fall_silent():
    view = target_view(6)
    chooser = target_chooser(view)
    home = chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id
    report = {target_key(home): 30}
    chooser.load.note_report(InstanceId("peer"), report, now_s=1.0)
    assert chooser.choose(placement_key(), ENGINE, set(), 1.0).listed.id != home
    chooser.load.forget_silent(1.0 + PEER_REPORT_LIFE_S + 0.1)
    assert chooser.choose(placement_key(), ENGINE, set(), 3.0).listed.id == home


def test_a_large_pool_is_looked_through_now_and_then():
    view = target_view(LARGE_POOL)
    chooser = target_chooser(view)
    first = chooser.choose(placement_key(), ENGINE, set(), 0.0)
    for record in view.records.values():
        if record is not first:
            chooser.load.take(record.listed.id)
    stale_s = LIFE_FOR_EACH_S * LARGE_POOL / 2
    fresh_s = LIFE_FOR_EACH_S * LARGE_POOL
    filled = _filled_at_home(chooser, first, stale_s)
    assert filled == BOUND_HEADROOM
    assert _filled_at_home(chooser, first, fresh_s) > filled


def _filled_at_home(chooser: TargetChooser, home: TargetRecord, now_s: float) -> int:
    """Fill the home of a part as far as the bound allows; return what it holds."""
    while chooser.choose(placement_key(), ENGINE, set(), now_s) is home:
        chooser.load.take(home.listed.id)
    return chooser.load.held(home.listed.id)


def test_what_is_gone_from_a_large_pool_is_offered_nothing_more():
    view = target_view(LARGE_POOL)
    chooser = target_chooser(view)
    first = chooser.choose(placement_key(), ENGINE, set(), 0.0)
    first.note_unreachable(0.0)
    second = chooser.choose(placement_key(), ENGINE, set(), 0.0)
    assert second is not first
    kept = [listed_target(n) for n in range(LARGE_POOL) if f"i-{n}" != second.listed.id]
    view.apply_list(kept, 2)
    assert chooser.choose(placement_key(), ENGINE, set(), 0.0) not in (first, second)


def test_places_are_given_back():
    load = FleetLoad()
    target = TargetId("i-1")
    load.take(target)
    load.take(target)
    load.release(target)
    assert (load.held(target), load.own_report(0.0)) == (1, {target_key(target): 1})


def test_a_full_service_has_no_choice():
    view = target_view(2)
    chooser = target_chooser(view)
    while (
        record := chooser.choose(placement_key(None), PLAIN, set(), 0.0)
    ) is not None:
        chooser.load.take(record.listed.id)
    assert not chooser.has_place(SERVICE, 0.0)
    assert chooser.load.held(TargetId("i-0")) == chooser.load.held(TargetId("i-1"))


def test_plain_requests_stay_in_the_data_centre_while_it_has_room():
    view = TargetView()
    near = [listed_target(n) for n in range(2)]
    far = [listed_target(n, data_centre=THERE) for n in range(2, 4)]
    view.apply_list(near + far, 1)
    record = target_chooser(view).choose(placement_key(None), PLAIN, set(), 0.0)
    assert record.listed.data_centre == HERE


def test_a_target_that_was_tried_is_not_chosen_again():
    chooser = target_chooser(target_view(3))
    tried: set[TargetId] = set()
    for _ in range(3):
        tried.add(chooser.choose(placement_key(), ENGINE, tried, 0.0).listed.id)
    assert len(tried) == 3
    assert chooser.choose(placement_key(), ENGINE, tried, 0.0) is None


def test_what_engines_have_no_slot_for_waits_here():
    view = target_view(2)
    chooser = target_chooser(view)
    slots = view.records[TargetId("i-0")].listed.slots
    taken = 0
    while (record := chooser.choose(placement_key(), ENGINE, set(), 0.0)) is not None:
        chooser.load.take(record.listed.id)
        taken += 1
    assert taken == 2 * slots


def test_plain_services_queue_a_little():
    view = target_view(2)
    chooser = target_chooser(view)
    slots = view.records[TargetId("i-0")].listed.slots
    key = placement_key(None)
    taken = 0
    while (record := chooser.choose(key, PLAIN, set(), 0.0)) is not None:
        chooser.load.take(record.listed.id)
        taken += 1
    assert taken > 2 * slots


def test_targets_left_out_for_failures_count_in_the_load_that_the_bound_rests_on():
    view = target_view(10)
    chooser = target_chooser(view)
    left_out = [TargetId(f"i-{number}") for number in range(4)]
    for target in left_out:
        view.records[target].failing_until_s = 5.0
    in_use = [target for target in view.records if target not in left_out]
    for target in in_use:
        for _ in range(15):
            chooser.load.take(target)
    home = chooser.choose(placement_key(), ENGINE, set(), 1.0).listed.id
    while chooser.choose(placement_key(), ENGINE, set(), 1.0).listed.id == home:
        chooser.load.take(home)
    held = [chooser.load.held(target) for target in view.records]
    assert chooser.load.held(home) <= 2.0 * sum(held) / len(held) + 3
