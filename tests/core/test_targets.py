"""Tests of what is known of targets, and of the load bound's choice."""

import random

from nose2.tools import params

from scaleloom_core.fleet_load import PEER_REPORT_LIFE_S, FleetLoad, target_key
from scaleloom_core.ids import DataCentreName, InstanceId, ServiceName, TargetId
from scaleloom_core.listed import ListedState, ListedTarget
from scaleloom_core.prefix_holders import PrefixHolders, part_key
from scaleloom_core.routing import ServicePolicy
from scaleloom_core.target_choice import (
    BOUND_HEADROOM,
    LARGE_POOL,
    LIFE_FOR_EACH_S,
    PlacementKey,
    TargetChooser,
)
from scaleloom_core.target_delays import LONGEST_RATIO, UsualDelays
from scaleloom_core.target_outcomes import Outcomes
from scaleloom_core.targets import (
    DEPARTED_SOURCE_S,
    FAILING_ABSENCE_S,
    FIRST_ABSENCE_S,
    LAPSE_GRACE_S,
    LONGEST_ABSENCE_S,
    TargetRecord,
    TargetView,
)

SERVICE = ServiceName("llm")
ENGINE = ServicePolicy(SERVICE, token_capacity=1000)
PLAIN = ServicePolicy(SERVICE)
HERE, THERE = DataCentreName("here"), DataCentreName("there")


def _listed(number: int, state=ListedState.READY, data_centre=HERE) -> ListedTarget:
    name = TargetId(f"i-{number}")
    return ListedTarget(name, SERVICE, "10.0.0.1", number, data_centre, 64, state)


def _view(count: int = 6, **fields) -> TargetView:
    view = TargetView()
    view.apply_list([_listed(n, **fields) for n in range(count)], 1)
    return view


def _chooser(view: TargetView, multiple: float = 2.0) -> TargetChooser:
    return TargetChooser(view, FleetLoad(), HERE, multiple)


def _key(part: str | None = "p") -> PlacementKey:
    return PlacementKey(SERVICE, part)


def test_a_stale_reading_of_the_list_is_not_taken_in():
    view = _view(3)
    assert not view.apply_list([], 0)
    assert len(view.records) == 3
    assert view.apply_list([_listed(9)], 2)
    assert set(view.records) == {"i-9"}


def _usable(view: TargetView, now_s: float) -> set[TargetId]:
    return {record.listed.id for record in view.usable(SERVICE, now_s)}


def test_an_entry_that_lapsed_in_an_outage_counts_until_it_is_back():
    view = _view(3)
    view.allow_lapses(10.0)
    view.apply_list([_listed(0)], 2, 10.0)
    assert _usable(view, 10.1) == {"i-0", "i-1", "i-2"}
    view.apply_list([_listed(0), _listed(1)], 3, 11.0)
    assert _usable(view, 11.0) == {"i-0", "i-1", "i-2"}
    assert _usable(view, 10.0 + LAPSE_GRACE_S) == {"i-0", "i-1"}
    view.apply_list([_listed(0), _listed(1)], 4, 12.5)
    assert set(view.records) == {"i-0", "i-1"}


def test_an_entry_that_goes_without_an_outage_is_gone_at_once():
    view = _view(2)
    view.apply_list([_listed(0)], 2, 10.0)
    assert _usable(view, 10.0) == {"i-0"}


def test_a_target_that_was_leaving_before_the_outage_does_not_come_back():
    view = _view(2, state=ListedState.DRAINING)
    view.allow_lapses(10.0)
    view.apply_list([], 2, 10.0)
    assert _usable(view, 10.0) == set()


def test_a_draining_target_takes_nothing_new():
    view = TargetView()
    view.apply_list([_listed(1), _listed(2, ListedState.DRAINING)], 1)
    assert [r.listed.id for r in view.usable(SERVICE, 0.0)] == ["i-1"]


def test_the_more_comes_between_reports_the_less_a_home_takes():
    view = _view(6)
    chooser = _chooser(view)
    home = chooser.choose(_key(), ENGINE, set(), 0.0).listed.id

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
        while chooser.choose(_key(), ENGINE, set(), 0.0).listed.id == home:
            load.take(home)
        return load.held(home)

    assert places_at_home(0) == places_at_home(0) > places_at_home(5)


def test_an_unreachable_target_is_away_longer_each_time():
    view = _view(2)
    record = view.records[TargetId("i-0")]
    record.note_unreachable(10.0)
    assert len(view.usable(SERVICE, 10.0 + FIRST_ABSENCE_S / 2)) == 1
    assert len(view.usable(SERVICE, 10.0 + FIRST_ABSENCE_S)) == 2
    for _ in range(9):
        record.note_unreachable(20.0)
    assert len(view.usable(SERVICE, 20.0 + LONGEST_ABSENCE_S - 0.1)) == 1
    record.note_answer()
    assert len(view.usable(SERVICE, 20.0)) == 2


def test_what_is_known_of_a_target_outlives_a_reading_of_the_list():
    view = _view(2)
    view.records[TargetId("i-0")].note_unreachable(5.0)
    view.apply_list([_listed(0), _listed(1)], 2)
    assert len(view.usable(SERVICE, 5.0)) == 1


def test_a_failing_target_is_left_out_and_comes_back():
    view = _view(6)
    record = view.records[TargetId("i-0")]
    for _ in range(12):
        record.note_failure()
    assert record not in view.usable(SERVICE, 0.0)
    assert record in view.usable(SERVICE, FAILING_ABSENCE_S + 0.1)
    record.note_failure()
    assert record not in view.usable(SERVICE, FAILING_ABSENCE_S + 0.2)


GREY_SHARE = 0.45
GREY_COUNT = 10
ROUTER_COUNT = 68
SECONDS = 1.5
REPORT_S = 0.2


def _play_grey(view: TargetView, grey: set[TargetId], is_told: bool) -> None:
    """Let requests fail at `grey`, seen by one router or told by all of them."""
    drawn = random.Random(5)
    for _ in range(int(SECONDS / REPORT_S)):
        counts: dict[int, Outcomes] = {}
        for target in view.records:
            sent = 3 if is_told else drawn.random() < 3 / ROUTER_COUNT
            share = GREY_SHARE if target in grey else 0.0
            failed = sum(drawn.random() < share for _ in range(sent))
            counts[target_key(target)] = Outcomes(sent - failed, failed)
        view.note_outcomes(counts, is_near=not is_told)


def test_targets_that_fail_the_fleet_are_seen_by_routers_that_send_little():
    grey = {TargetId(f"i-{number}") for number in range(GREY_COUNT)}
    alone, told = _view(70), _view(70)
    _play_grey(alone, grey, is_told=False)
    _play_grey(told, grey, is_told=True)
    used_alone = {record.listed.id for record in alone.usable(SERVICE, 2.0)}
    used_told = {record.listed.id for record in told.usable(SERVICE, 2.0)}
    assert grey <= used_alone
    assert len(grey & used_told) <= 2
    assert used_told >= set(told.records) - grey


def _play_slow(view: TargetView, slow: set[TargetId], times: float, now_s: float):
    """Let answers begin `times` later at `slow` than elsewhere, as routers tell."""
    for target in view.records:
        ratio = times if target in slow else 1.0
        counts = {target_key(target): Outcomes(10, 0, 10, int(1000 * ratio))}
        for _ in range(3):
            view.note_outcomes(counts, is_near=False, now_s=now_s)


@params(1, 6, 12)
def test_slow_targets_take_little_until_they_are_well(slow_count):
    slow = {TargetId(f"i-{number}") for number in range(slow_count)}
    view = _view(24)
    chooser = _chooser(view)
    _play_slow(view, slow, 3.5, 10.0)
    for number in range(100):
        record = chooser.choose(_key(f"part-{number}"), ENGINE, set(), 10.0)
        chooser.load.take(record.listed.id)
    assert all(chooser.load.held(target) <= 1 for target in slow)
    assert view.slownesses(view.usable(SERVICE, 30.0), 30.0) == {}


def test_when_all_targets_turn_slow_none_is_passed_over():
    view = _view(6)
    _play_slow(view, set(view.records), 3.5, 10.0)
    assert view.slownesses(view.usable(SERVICE, 10.0), 10.0) == {}


def test_targets_that_differ_a_little_are_not_slow():
    view = _view(6)
    _play_slow(view, {TargetId("i-0")}, 1.4, 10.0)
    assert view.slownesses(view.usable(SERVICE, 10.0), 10.0) == {}


def test_a_slow_target_is_not_the_least_loaded_though_it_is_idle():
    view = _view(3)
    chooser = _chooser(view)
    _play_slow(view, {TargetId("i-0")}, 4.0, 10.0)
    chosen = [chooser.choose(_key(None), PLAIN, set(), 10.0) for _ in range(2)]
    for record in chosen:
        chooser.load.take(record.listed.id)
    assert TargetId("i-0") not in {record.listed.id for record in chosen}


def test_delays_are_compared_within_a_route():
    delays = UsualDelays()
    for _ in range(200):
        assert 0.9 < delays.ratio("long", 0.4) < 1.1
        assert 0.9 < delays.ratio("short", 0.05) < 1.1
    assert 2.9 < delays.ratio("short", 0.15) < 3.1
    assert delays.ratio("long", 60.0) == LONGEST_RATIO


def test_a_target_that_fails_one_data_centre_is_left_out_there():
    view = _view(6)
    key = target_key(TargetId("i-0"))
    for _ in range(10):
        view.note_outcomes({key: Outcomes(answered=20)}, is_near=False)
        view.note_outcomes({key: Outcomes(answered=1, failed=1)}, is_near=True)
    assert view.records[TargetId("i-0")] not in view.usable(SERVICE, 0.0)


def test_of_many_failing_targets_those_that_fail_least_are_used():
    view = _view(10)
    for number in range(6):
        for _ in range(30):
            view.records[TargetId(f"i-{number}")].note_failure()
    used = {record.listed.id for record in view.usable(SERVICE, 0.0)}
    assert used >= {TargetId(f"i-{number}") for number in range(6, 10)}
    assert len(used) == 5


def test_failures_of_all_targets_leave_none_out():
    view = _view(6)
    for record in view.records.values():
        for _ in range(12):
            record.note_failure()
    assert len(view.usable(SERVICE, 0.0)) == 6


@params(1, 2, 3)
def test_a_shared_part_has_one_home_on_every_router(seed):
    part = _key(f"part-{seed}")
    homes = {
        _chooser(_view()).choose(part, ENGINE, set(), 0.0).listed.id for _ in range(5)
    }
    assert len(homes) == 1


def test_no_choice_breaks_the_bound_when_all_ask_for_one_part():
    view = _view(6)
    chooser = _chooser(view)
    for _ in range(200):
        record = chooser.choose(_key(), ENGINE, set(), 0.0)
        loads = [chooser.load.held(target) for target in view.records]
        mean = sum(loads) / len(loads)
        assert chooser.load.held(record.listed.id) + 1 <= 2.0 * mean + 3
        chooser.load.take(record.listed.id)


def test_peers_count_towards_the_bound_until_they_fall_silent():
    view = _view(6)
    chooser = _chooser(view)
    home = chooser.choose(_key(), ENGINE, set(), 0.0).listed.id
    report = {target_key(home): 30}
    chooser.load.note_report(InstanceId("peer"), report, now_s=1.0)
    assert chooser.choose(_key(), ENGINE, set(), 1.0).listed.id != home
    chooser.load.forget_silent(1.0 + PEER_REPORT_LIFE_S + 0.1)
    assert chooser.choose(_key(), ENGINE, set(), 3.0).listed.id == home


def test_a_large_pool_is_looked_through_now_and_then():
    view = _view(LARGE_POOL)
    chooser = _chooser(view)
    first = chooser.choose(_key(), ENGINE, set(), 0.0)
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
    while chooser.choose(_key(), ENGINE, set(), now_s) is home:
        chooser.load.take(home.listed.id)
    return chooser.load.held(home.listed.id)


def test_what_is_gone_from_a_large_pool_is_offered_nothing_more():
    view = _view(LARGE_POOL)
    chooser = _chooser(view)
    first = chooser.choose(_key(), ENGINE, set(), 0.0)
    first.note_unreachable(0.0)
    second = chooser.choose(_key(), ENGINE, set(), 0.0)
    assert second is not first
    kept = [_listed(n) for n in range(LARGE_POOL) if f"i-{n}" != second.listed.id]
    view.apply_list(kept, 2)
    assert chooser.choose(_key(), ENGINE, set(), 0.0) not in (first, second)


def test_places_are_given_back():
    load = FleetLoad()
    target = TargetId("i-1")
    load.take(target)
    load.take(target)
    load.release(target)
    assert (load.held(target), load.own_report(0.0)) == (1, {target_key(target): 1})


def test_a_full_service_has_no_choice():
    view = _view(2)
    chooser = _chooser(view)
    while (record := chooser.choose(_key(None), PLAIN, set(), 0.0)) is not None:
        chooser.load.take(record.listed.id)
    assert not chooser.has_place(SERVICE, 0.0)
    assert chooser.load.held(TargetId("i-0")) == chooser.load.held(TargetId("i-1"))


def test_plain_requests_stay_in_the_data_centre_while_it_has_room():
    view = TargetView()
    near = [_listed(n) for n in range(2)]
    far = [_listed(n, data_centre=THERE) for n in range(2, 4)]
    view.apply_list(near + far, 1)
    record = _chooser(view).choose(_key(None), PLAIN, set(), 0.0)
    assert record.listed.data_centre == HERE


def test_a_target_that_was_tried_is_not_chosen_again():
    chooser = _chooser(_view(3))
    tried: set[TargetId] = set()
    for _ in range(3):
        tried.add(chooser.choose(_key(), ENGINE, tried, 0.0).listed.id)
    assert len(tried) == 3
    assert chooser.choose(_key(), ENGINE, tried, 0.0) is None


def test_an_overflow_copies_the_part_from_its_home():
    chooser = _chooser(_view(6))
    home = chooser.choose(_key(), ENGINE, set(), 0.0).listed.id
    other = chooser.choose(_key(), ENGINE, {home}, 0.0).listed.id
    assert chooser.cache_source(_key(), other, 0.0).id == home
    assert chooser.cache_source(_key(None), other, 0.0) is None


def test_a_target_that_holds_the_part_goes_before_a_home_that_does_not():
    chooser = _chooser(_view(6))
    home, other, _ = _ranking(chooser)
    chooser.note_read(_key(), other, 5.0)
    assert chooser.choose(_key(), ENGINE, set(), 6.0).listed.id == other
    assert chooser.choose(_key(), ENGINE, {other}, 6.0).listed.id == home


def test_a_joining_target_takes_no_part_that_another_holds():
    view = _view(5)
    chooser = _chooser(view)
    parts = [f"p-{number}" for number in range(60)]
    held_by = {}
    for part in parts:
        held_by[part] = chooser.choose(_key(part), ENGINE, set(), 0.0).listed.id
        chooser.note_read(_key(part), held_by[part], 0.0)
    view.apply_list([_listed(n) for n in range(6)], 2)
    after = {p: chooser.choose(_key(p), ENGINE, set(), 1.0).listed.id for p in parts}
    assert after == held_by
    new_homes = {view.candidates(SERVICE, part)[0] for part in parts}
    assert TargetId("i-5") in new_homes


def test_a_part_that_several_hold_goes_to_the_least_loaded_of_them():
    chooser = _chooser(_view(6))
    home, other, _ = _ranking(chooser)
    chooser.note_read(_key(), home, 5.0)
    chooser.note_read(_key(), other, 5.0)
    for loaded, least in ((home, other), (other, home)):
        chooser.load = FleetLoad()
        for _ in range(2):
            chooser.load.take(loaded)
        assert chooser.choose(_key(), ENGINE, set(), 6.0).listed.id == least


def test_a_holder_that_is_full_sends_its_overflow_on():
    chooser = _chooser(_view(6))
    home, other, _ = _ranking(chooser)
    chooser.note_read(_key(), home, 5.0)
    while chooser.choose(_key(), ENGINE, set(), 6.0).listed.id == home:
        chooser.load.take(home)
    assert chooser.choose(_key(), ENGINE, set(), 6.0).listed.id == other
    assert chooser.load.held(home) < 64


def test_a_home_of_which_nothing_is_known_copies_from_the_next_one():
    chooser = _chooser(_view(6))
    home, other, _ = _ranking(chooser)
    assert chooser.cache_source(_key(), home, 0.0).id == other


def test_a_router_without_memory_finds_the_home_before_a_target_joined():
    before = _view(5)
    home = _chooser(before).choose(_key("moved"), ENGINE, set(), 0.0).listed.id
    joined = next(
        number
        for number in range(5, 200)
        if _home_with(number, "moved") == TargetId(f"i-{number}")
    )
    started = TargetView()
    started.apply_list([_listed(n) for n in (*range(5), joined)], 1)
    source = _chooser(started).cache_source(_key("moved"), TargetId(f"i-{joined}"), 0.0)
    assert source.id == home


def test_a_target_that_holds_the_part_copies_nothing():
    chooser = _chooser(_view(6))
    home = chooser.choose(_key(), ENGINE, set(), 0.0).listed.id
    other = chooser.choose(_key(), ENGINE, {home}, 0.0).listed.id
    chooser.note_read(_key(), other, 5.0)
    assert chooser.cache_source(_key(), other, 6.0) is None
    assert chooser.cache_source(_key(), home, 6.0).id == other


def test_a_new_home_copies_from_the_former_one_while_that_drains():
    view = _view(6)
    chooser = _chooser(view)
    home = chooser.choose(_key(), ENGINE, set(), 0.0).listed.id
    number = int(home.removeprefix("i-"))
    listed = [_listed(n) for n in range(6) if n != number]
    view.apply_list([*listed, _listed(number, ListedState.DRAINING)], 2)
    new_home = chooser.choose(_key(), ENGINE, set(), 0.0).listed.id
    assert new_home != home
    assert chooser.cache_source(_key(), new_home, 0.0).id == home
    view.apply_list(listed, 3, 9.0)
    gone_s = 9.0 + DEPARTED_SOURCE_S
    chooser.note_read(_key(), home, 9.0)
    assert chooser.cache_source(_key(), new_home, gone_s - 0.1).id == home
    assert chooser.cache_source(_key(), new_home, gone_s).id != home


def test_a_target_that_leaves_without_a_word_is_a_source_for_a_while():
    view = _view(6)
    chooser = _chooser(view)
    home, other, _ = _ranking(chooser)
    chooser.note_read(_key(), home, 5.0)
    rest = [_listed(n) for n in range(6) if TargetId(f"i-{n}") != home]
    view.apply_list(rest, 2, 6.0)
    assert chooser.choose(_key(), ENGINE, set(), 6.0).listed.id == other
    assert chooser.cache_source(_key(), other, 6.0).id == home
    view.apply_list(rest, 3, 6.0 + DEPARTED_SOURCE_S)
    assert chooser.cache_source(_key(), other, 6.0 + DEPARTED_SOURCE_S).id != home


def test_a_target_that_crashed_is_no_source():
    view = _view(6)
    chooser = _chooser(view)
    home, other, _ = _ranking(chooser)
    chooser.note_read(_key(), home, 5.0)
    view.records[home].note_unreachable(5.5)
    assert chooser.cache_source(_key(), other, 9.0) is None
    view.apply_list([_listed(n) for n in range(6) if f"i-{n}" != home], 2, 9.0)
    assert chooser.cache_source(_key(), other, 9.1).id != home


def test_a_peer_that_was_told_names_the_holder_as_the_source():
    first, second = _chooser(_view(6)), _chooser(_view(6))
    home, other, third = _ranking(first)
    first.note_read(_key(), other, 5.0)
    for part, target in first.holders.take_news():
        second.holders.note(part, target, 5.1)
    assert second.cache_source(_key(), third, 6.0).id == other
    assert second.cache_source(_key(), home, 6.0).id == other
    assert first.holders.take_news() == []


def test_peers_are_told_again_before_they_forget_and_not_each_time():
    chooser = _chooser(_view(6))
    told_s = []
    for second in range(25):
        chooser.note_read(_key(), TargetId("i-1"), float(second))
        if chooser.holders.take_news():
            told_s.append(second)
    assert told_s == [0, 10, 20]


def _home_with(number: int, part: str) -> TargetId:
    """Return the home of `part` once the target `number` has joined five."""
    view = TargetView()
    view.apply_list([_listed(n) for n in (*range(5), number)], 1)
    return _chooser(view).choose(_key(part), ENGINE, set(), 0.0).listed.id


def _ranking(chooser: TargetChooser) -> list[TargetId]:
    """Return the three first choices for the part."""
    tried: list[TargetId] = []
    for _ in range(3):
        record = chooser.choose(_key(), ENGINE, set(tried), 0.0)
        tried.append(record.listed.id)
    return tried


def test_holders_are_forgotten_with_time_and_number():
    holders = PrefixHolders(life_s=10.0, part_limit=2)
    a, c = part_key("a"), part_key("c")
    for second, part in enumerate((a, part_key("b"), c)):
        holders.note(part, 1, float(second))
    assert not holders.holds(a, 1, 3.0)
    assert holders.holds(c, 1, 12.0)
    assert not holders.holds(c, 1, 12.1)
    holders.note(c, 2, 5.0)
    assert holders.latest(c, 6.0) == [2, 1]
