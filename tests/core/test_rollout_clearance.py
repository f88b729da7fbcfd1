"""Tests of which routers have left the version that is replaced."""

from scaleloom_core.fleet_roster import LIVELY_S, GroupId
from scaleloom_core.ids import DataCentreName, InstanceId
from scaleloom_core.rollouts.clearance import DrainProgress

FIRST, SECOND = InstanceId("10.0.0.1:1"), InstanceId("10.0.0.2:1")
THERE = GroupId(DataCentreName("there"))


def test_a_router_that_nobody_is_heard_by_waits_for_nobody():
    assert DrainProgress().is_complete(0.0)


def test_the_fleet_is_clear_once_every_router_that_is_heard_is():
    progress = DrainProgress()
    progress.record_router(FIRST, True, 0.0)
    progress.record_router(SECOND, False, 0.0)
    assert not progress.is_complete(0.1)
    progress.record_router(SECOND, True, 0.2)
    assert progress.is_complete(0.2)


def test_a_router_that_falls_back_is_unclear_again():
    progress = DrainProgress()
    progress.record_router(FIRST, True, 0.0)
    progress.record_router(FIRST, False, 0.1)
    assert not progress.is_complete(0.1)


def test_a_router_that_is_not_heard_is_not_waited_for():
    progress = DrainProgress()
    progress.record_router(FIRST, False, 0.0)
    assert not progress.is_complete(LIVELY_S - 0.1)
    assert progress.is_complete(LIVELY_S)


def test_a_group_is_clear_only_as_a_whole():
    progress = DrainProgress()
    progress.record_group(THERE, 2, 3, 0.0)
    assert not progress.is_complete(0.0)
    progress.record_group(THERE, 3, 3, 0.1)
    assert progress.is_complete(0.1)


def test_a_group_that_is_not_heard_is_not_waited_for():
    progress = DrainProgress()
    progress.record_group(THERE, 0, 3, 0.0)
    assert progress.is_complete(LIVELY_S)


def test_only_members_that_are_heard_and_clear_are_counted():
    progress = DrainProgress()
    progress.record_router(FIRST, True, 0.0)
    progress.record_router(SECOND, True, 1.0)
    assert progress.count_drained([FIRST, SECOND], 1.0) == 2
    assert progress.count_drained([FIRST, SECOND], LIVELY_S + 0.1) == 1
    assert progress.count_drained([SECOND], 1.0) == 1
    progress.record_router(SECOND, False, 1.1)
    assert progress.count_drained([FIRST, SECOND], 1.1) == 1
