"""Tests of the rate at which a fleet sends to cold targets."""

from nose2.tools import params

from scaleloom_core.cold_targets import TURN_S, USED_RATE_SHARE, ColdSendSchedule
from scaleloom_core.fleet_roster import (
    ROUTER_RETENTION_S,
    STARTUP_SETTLE_S,
    FleetMember,
    FleetRoster,
    GroupId,
)
from scaleloom_core.ids import InstanceId, TargetId
from scaleloom_core.routing import ServicePolicy
from scaleloom_core.target_entries import ListedTarget
from scaleloom_core.target_records import MIN_EJECTION_S
from scaleloom_core.targets import TargetView
from tests.fixtures.targets import (
    HERE,
    SERVICE,
    THERE,
    listed_target,
    placement_key,
    target_chooser,
    target_view,
)

LIMIT_PER_S = 23.0
# What the users allow a cold target in one second.
MAX_SENT_PER_SECOND = 1.5 * LIMIT_PER_S + 5
COLD_START_S = 3.0
POLICY = ServicePolicy(
    SERVICE,
    token_capacity=1000,
    cold_start_s=COLD_START_S,
    cold_requests_per_s=LIMIT_PER_S,
)
TARGET = TargetId("i-cold")


def _schedules(routers: int, known_count: int | None = None) -> list[ColdSendSchedule]:
    """Return the schedules of `routers` routers that know of `known_count`."""
    count = routers if known_count is None else known_count
    return [
        ColdSendSchedule(f"10.0.0.{n}:1", router_count=count) for n in range(routers)
    ]


def _sent_in_seconds(schedules: list[ColdSendSchedule], seconds: int) -> list[int]:
    """Return what routers with unlimited demand send in each second."""
    step_s = TURN_S / 10
    sent = [0] * seconds
    for step in range(int(seconds / step_s)):
        now_s = (step + 0.5) * step_s
        for schedule in schedules:
            while schedule.may_send(TARGET, LIMIT_PER_S, now_s):
                schedule.record_sent(TARGET, LIMIT_PER_S, now_s)
                sent[int(now_s)] += 1
    return sent


@params(1, 5, 23, 68, 190)
def test_a_fleet_under_load_respects_the_rate_limit_of_a_cold_target(routers):
    sent = _sent_in_seconds(_schedules(routers), 60)
    assert max(sent) <= MAX_SENT_PER_SECOND
    mean = sum(sent) / len(sent)
    assert abs(mean - USED_RATE_SHARE * LIMIT_PER_S) < 2.5


def test_unused_turns_do_not_accumulate():
    schedules = _schedules(68)
    for schedule in schedules:
        schedule.may_send(TARGET, LIMIT_PER_S, 0.0)
    at_once = 0
    for schedule in schedules:
        while schedule.may_send(TARGET, LIMIT_PER_S, 60.0):
            schedule.record_sent(TARGET, LIMIT_PER_S, 60.0)
            at_once += 1
    assert at_once < 15


def test_an_overestimated_fleet_size_reduces_the_rate():
    assert (
        sum(_sent_in_seconds(_schedules(23, known_count=46), 20))
        < 0.6 * 20 * LIMIT_PER_S
    )


def test_nothing_is_sent_while_the_fleet_size_is_unknown():
    assert not _schedules(1, known_count=0)[0].may_send(TARGET, LIMIT_PER_S, 0.0)


def _roster_with_peers(routers: int) -> FleetRoster:
    """Return a roster, started at 0 s, with reports of `routers` others at 1 s."""
    roster = FleetRoster(InstanceId("10.0.0.1:1"), HERE, 0.0)
    for number in range(routers):
        member = FleetMember(InstanceId(f"10.0.1.{number}:1"), number, False)
        roster.record_heard(member, GroupId(HERE), 1.0)
    return roster


def test_the_fleet_size_is_unknown_right_after_the_start():
    roster = _roster_with_peers(4)
    assert roster.sender_count(STARTUP_SETTLE_S - 0.1) == 0
    assert roster.sender_count(STARTUP_SETTLE_S) == 5


def test_silent_routers_count_as_senders():
    roster = _roster_with_peers(4)
    assert roster.fleet_size(60.0) == 5
    assert roster.sender_count(60.0) == 5
    assert roster.sender_count(ROUTER_RETENTION_S) == 5


def test_an_isolated_router_counts_all_routers_that_were_named():
    roster = FleetRoster(InstanceId("10.0.0.1:1"), HERE, 0.0)
    for number in range(6):
        roster.add(InstanceId(f"10.0.1.{number}:1"), 0.5)
    assert roster.sender_count(30.0) == 7


def _with_cold(number: int, cold_left_ms: int) -> ListedTarget:
    """Return a listed target that reports for how long it stays cold."""
    listed = listed_target(number)
    return ListedTarget(
        listed.id,
        listed.service,
        listed.host,
        listed.port,
        listed.data_centre,
        listed.slots,
        cold_left_ms=cold_left_ms,
    )


def _cold_ids(view: TargetView, now_s: float) -> set[str]:
    """Return the targets of `view` that count as cold."""
    return {
        r.listed.id for r in view.records.values() if r.is_cold(COLD_START_S, now_s)
    }


def test_a_target_is_cold_for_the_time_in_its_entry():
    view = TargetView()
    view.apply_list([_with_cold(0, 2000), _with_cold(1, 0)], 1, now_s=10.0)
    assert _cold_ids(view, 11.9) == {"i-0"}
    assert _cold_ids(view, 12.1) == set()


def test_reading_an_entry_again_does_not_extend_the_cold_time():
    view = TargetView()
    for position, now_s in enumerate((10.0, 10.7, 11.4, 12.1)):
        view.apply_list([_with_cold(0, 2000)], position, now_s)
    assert _cold_ids(view, 12.2) == set()


def test_a_target_may_become_cold_at_any_moment():
    view = TargetView()
    view.apply_list([_with_cold(0, 0)], 1, now_s=10.0)
    digest = view.digest
    view.apply_list([_with_cold(0, 3000)], 2, now_s=20.0)
    assert _cold_ids(view, 22.9) == {"i-0"}
    assert view.digest != digest, "peers would not request the change"


def test_targets_count_as_cold_after_an_evacuation():
    view = target_view(2)
    there = [listed_target(n, data_centre=THERE) for n in (2, 3)]
    view.apply_list([*(r.listed for r in view.records.values()), *there], 2)
    view.evacuate(frozenset({THERE}), 10.0)
    view.evacuate(frozenset(), 20.0)
    assert _cold_ids(view, 20.0 + COLD_START_S - 0.1) == {"i-2", "i-3"}
    assert _cold_ids(view, 20.0 + COLD_START_S) == set()


def test_a_target_counts_as_cold_after_an_ejection():
    view = target_view(2)
    view.records[TargetId("i-0")].mark_unreachable(10.0)
    readmitted_s = 10.0 + MIN_EJECTION_S
    assert _cold_ids(view, readmitted_s + COLD_START_S - 0.1) == {"i-0"}
    assert _cold_ids(view, readmitted_s + COLD_START_S) == set()


def test_the_chooser_respects_the_rate_limit_of_an_idle_cold_target():
    view = target_view(2)
    chooser = target_chooser(view)
    chooser.cold_schedule = ColdSendSchedule("10.0.0.1:1", router_count=1)
    for _ in range(50):
        chooser.load.add_request(TargetId("i-0"))
    view.records[TargetId("i-1")].cold_until_s = COLD_START_S
    accepted = 0
    for step in range(100):
        now_s = step / 100.0
        record = chooser.choose(placement_key(None), POLICY, set(), now_s)
        if record is not None and record.listed.id == "i-1":
            chooser.record_sent(record, POLICY, now_s)
            accepted += 1
    assert 0 < accepted <= MAX_SENT_PER_SECOND


def test_a_service_without_a_cold_rate_is_not_limited():
    view = target_view(1)
    chooser = target_chooser(view)
    view.records[TargetId("i-0")].cold_until_s = COLD_START_S
    plain = ServicePolicy(SERVICE, token_capacity=1000)
    assert chooser.choose(placement_key(), plain, set(), 0.0) is not None
    assert chooser.choose(placement_key(), POLICY, set(), 0.0) is None


def test_a_cold_home_hands_its_requests_to_the_next():
    view = target_view(6)
    chooser = target_chooser(view)
    home = chooser.choose(placement_key(), POLICY, set(), 0.0).listed
    view.records[home.id].cold_until_s = COLD_START_S
    chooser.cold_schedule = ColdSendSchedule("10.0.0.1:1", router_count=0)
    assert chooser.choose(placement_key(), POLICY, set(), 0.0).listed != home
