"""Tests of which routers have stopped using the replaced version."""

from scaleloom_core.fleet_roster import ALIVE_TIMEOUT_S, GroupId
from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_core.rollouts.drain_progress import DrainProgress

FIRST, SECOND = InstanceId("10.0.0.1:1"), InstanceId("10.0.0.2:1")
OTHER_GROUP = GroupId(DataCentreName("there"))


def test_without_reports_draining_is_complete():
    assert DrainProgress().is_complete(0.0)


def test_draining_is_complete_once_all_alive_routers_have_drained():
    progress = DrainProgress()
    progress.record_router(FIRST, True, 0.0)
    progress.record_router(SECOND, False, 0.0)
    assert not progress.is_complete(0.1)
    progress.record_router(SECOND, True, 0.2)
    assert progress.is_complete(0.2)


def test_a_router_that_switches_back_has_not_drained():
    progress = DrainProgress()
    progress.record_router(FIRST, True, 0.0)
    progress.record_router(FIRST, False, 0.1)
    assert not progress.is_complete(0.1)


def test_a_router_without_recent_reports_is_ignored():
    progress = DrainProgress()
    progress.record_router(FIRST, False, 0.0)
    assert not progress.is_complete(ALIVE_TIMEOUT_S - 0.1)
    assert progress.is_complete(ALIVE_TIMEOUT_S)


def test_a_group_has_drained_once_all_its_routers_have():
    progress = DrainProgress()
    progress.record_group(OTHER_GROUP, 2, 3, 0.0)
    assert not progress.is_complete(0.0)
    progress.record_group(OTHER_GROUP, 3, 3, 0.1)
    assert progress.is_complete(0.1)


def test_a_group_without_recent_reports_is_ignored():
    progress = DrainProgress()
    progress.record_group(OTHER_GROUP, 0, 3, 0.0)
    assert progress.is_complete(ALIVE_TIMEOUT_S)


def test_only_drained_members_with_recent_reports_are_counted():
    progress = DrainProgress()
    progress.record_router(FIRST, True, 0.0)
    progress.record_router(SECOND, True, 1.0)
    assert progress.count_drained([FIRST, SECOND], 1.0) == 2
    assert progress.count_drained([FIRST, SECOND], ALIVE_TIMEOUT_S + 0.1) == 1
    assert progress.count_drained([SECOND], 1.0) == 1
    progress.record_router(SECOND, False, 1.1)
    assert progress.count_drained([FIRST, SECOND], 1.1) == 1
