"""Tests of the choice of a target within the load bound."""

from nose2.tools import params

from scaleloom_core.fleet_load import PEER_REPORT_RETENTION_S, FleetLoad, target_key
from scaleloom_core.ids import InstanceId, TargetId
from scaleloom_core.service_pools import LARGE_POOL, RETENTION_PER_TARGET_S
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


def test_a_home_accepts_less_the_more_is_sent_between_reports():
    view = target_view(6)
    chooser = target_chooser(view)
    home = chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id

    def accepted_at_home(sends_per_interval: int) -> int:
        load = FleetLoad()
        chooser.load = load
        for peer in range(4):
            load.update_peer(InstanceId(f"p-{peer}"), {}, 0.0)
        for report in range(60):
            for _ in range(sends_per_interval):
                load.add_request(home)
                load.remove_request(home)
            load.local_report(report * load.report_interval_s)
        for record in view.records.values():
            for _ in range(6):
                load.add_request(record.listed.id)
        while chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id == home:
            load.add_request(home)
        return load.in_flight(home)

    assert accepted_at_home(0) == accepted_at_home(0) > accepted_at_home(5)


@params(1, 2, 3)
def test_all_routers_agree_on_the_home_of_a_shared_part(seed):
    part = placement_key(f"part-{seed}")
    homes = {
        target_chooser(target_view()).choose(part, ENGINE, set(), 0.0).listed.id
        for _ in range(5)
    }
    assert len(homes) == 1


def test_the_bound_is_respected_when_all_requests_share_one_part():
    view = target_view(6)
    chooser = target_chooser(view)
    for _ in range(200):
        record = chooser.choose(placement_key(), ENGINE, set(), 0.0)
        loads = [chooser.load.in_flight(target) for target in view.records]
        mean = sum(loads) / len(loads)
        assert chooser.load.in_flight(record.listed.id) + 1 <= 2.0 * mean + 3
        chooser.load.add_request(record.listed.id)


def test_reports_of_peers_count_until_they_fall_silent():
    view = target_view(6)
    chooser = target_chooser(view)
    home = chooser.choose(placement_key(), ENGINE, set(), 0.0).listed.id
    report = {target_key(home): 30}
    chooser.load.update_peer(InstanceId("peer"), report, now_s=1.0)
    assert chooser.choose(placement_key(), ENGINE, set(), 1.0).listed.id != home
    chooser.load.remove_silent(1.0 + PEER_REPORT_RETENTION_S + 0.1)
    assert chooser.choose(placement_key(), ENGINE, set(), 3.0).listed.id == home


def test_a_large_pool_is_cached():
    view = target_view(LARGE_POOL)
    chooser = target_chooser(view)
    first = chooser.choose(placement_key(), ENGINE, set(), 0.0)
    for record in view.records.values():
        if record is not first:
            chooser.load.add_request(record.listed.id)
    stale_s = RETENTION_PER_TARGET_S * LARGE_POOL / 2
    fresh_s = RETENTION_PER_TARGET_S * LARGE_POOL
    filled = _filled_at_home(chooser, first, stale_s)
    assert filled == BOUND_HEADROOM
    assert _filled_at_home(chooser, first, fresh_s) > filled


def _filled_at_home(chooser: TargetChooser, home: TargetRecord, now_s: float) -> int:
    """Fill the home of a part up to the load bound; return its requests in flight."""
    while chooser.choose(placement_key(), ENGINE, set(), now_s) is home:
        chooser.load.add_request(home.listed.id)
    return chooser.load.in_flight(home.listed.id)


def test_a_target_removed_from_a_cached_pool_is_not_chosen():
    view = target_view(LARGE_POOL)
    chooser = target_chooser(view)
    first = chooser.choose(placement_key(), ENGINE, set(), 0.0)
    first.mark_unreachable(0.0)
    second = chooser.choose(placement_key(), ENGINE, set(), 0.0)
    assert second is not first
    remaining = [
        listed_target(n) for n in range(LARGE_POOL) if f"i-{n}" != second.listed.id
    ]
    view.apply_list(remaining, 2)
    assert chooser.choose(placement_key(), ENGINE, set(), 0.0) not in (first, second)


def test_requests_are_counted_until_they_end():
    load = FleetLoad()
    target = TargetId("i-1")
    load.add_request(target)
    load.add_request(target)
    load.remove_request(target)
    assert (load.in_flight(target), load.local_report(0.0)) == (
        1,
        {target_key(target): 1},
    )


def test_no_target_is_chosen_in_a_full_service():
    view = target_view(2)
    chooser = target_chooser(view)
    while (
        record := chooser.choose(placement_key(None), PLAIN, set(), 0.0)
    ) is not None:
        chooser.load.add_request(record.listed.id)
    assert not chooser.has_capacity(SERVICE, 0.0)
    assert chooser.load.in_flight(TargetId("i-0")) == chooser.load.in_flight(
        TargetId("i-1")
    )


def test_plain_requests_prefer_the_own_data_centre():
    view = TargetView()
    near = [listed_target(n) for n in range(2)]
    remote = [listed_target(n, data_centre=THERE) for n in range(2, 4)]
    view.apply_list(near + remote, 1)
    record = target_chooser(view).choose(placement_key(None), PLAIN, set(), 0.0)
    assert record.listed.data_centre == HERE


def test_an_attempted_target_is_not_chosen_again():
    chooser = target_chooser(target_view(3))
    attempted: set[TargetId] = set()
    for _ in range(3):
        attempted.add(chooser.choose(placement_key(), ENGINE, attempted, 0.0).listed.id)
    assert len(attempted) == 3
    assert chooser.choose(placement_key(), ENGINE, attempted, 0.0) is None


def test_engines_get_no_more_requests_than_slots():
    view = target_view(2)
    chooser = target_chooser(view)
    slots = view.records[TargetId("i-0")].listed.slots
    accepted = 0
    while (record := chooser.choose(placement_key(), ENGINE, set(), 0.0)) is not None:
        chooser.load.add_request(record.listed.id)
        accepted += 1
    assert accepted == 2 * slots


def test_plain_services_get_more_requests_than_slots():
    view = target_view(2)
    chooser = target_chooser(view)
    slots = view.records[TargetId("i-0")].listed.slots
    key = placement_key(None)
    accepted = 0
    while (record := chooser.choose(key, PLAIN, set(), 0.0)) is not None:
        chooser.load.add_request(record.listed.id)
        accepted += 1
    assert accepted > 2 * slots


def test_ejected_targets_count_in_the_mean_load_of_the_bound():
    view = target_view(10)
    chooser = target_chooser(view)
    ejected = [TargetId(f"i-{number}") for number in range(4)]
    for target in ejected:
        view.records[target].failure_ejected_until_s = 5.0
    in_use = [target for target in view.records if target not in ejected]
    for target in in_use:
        for _ in range(15):
            chooser.load.add_request(target)
    home = chooser.choose(placement_key(), ENGINE, set(), 1.0).listed.id
    while chooser.choose(placement_key(), ENGINE, set(), 1.0).listed.id == home:
        chooser.load.add_request(home)
    in_flight = [chooser.load.in_flight(target) for target in view.records]
    assert chooser.load.in_flight(home) <= 2.0 * sum(in_flight) / len(in_flight) + 3
