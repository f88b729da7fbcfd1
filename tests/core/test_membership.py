"""Tests of the membership of instances."""

from scaleloom_core.membership import Membership, MemberState, Role
from tests.fixtures.configs import member


def test_a_lagging_list_does_not_override_fresher_evidence():
    membership = Membership(evidence_ttl_s=30.0)
    membership.apply_list([member("e1")], 0.0)
    membership.mark_draining("e1", 1.0)
    membership.apply_list([member("e1")], 2.0)
    assert membership.get_state("e1", 2.0) is MemberState.DRAINING
    assert not membership.is_usable("e1", 2.0)
    assert membership.is_usable("e1", 40.0)


def test_an_instance_that_left_the_list_gets_no_new_work():
    membership = Membership()
    membership.apply_list([member("e1"), member("e2")], 0.0)
    membership.apply_list([member("e2")], 1.0)
    assert [item.instance for item in membership.usable_members(Role.SIDECAR, 1.0)] == [
        "e2"
    ]
    assert membership.find("e1") is not None


def test_changes_are_applied_like_a_complete_list():
    membership = Membership()
    membership.apply_list([member("e1")], 0.0)
    membership.apply_changes([member("e2")], ["e1"], 1.0)
    assert not membership.is_listed("e1") and membership.is_listed("e2")


def test_flapping_is_damped():
    membership = Membership()
    for number in range(4):
        membership.apply_list([member("e1")], 2.0 * number)
        membership.apply_list([], 2.0 * number + 1.0)
    membership.apply_list([member("e1")], 8.0)
    assert not membership.is_usable("e1", 8.0)
    assert membership.is_usable("e1", 60.0)


def test_the_version_increases_when_unreachability_expires():
    membership = Membership()
    membership.apply_list([member("e1")], 0.0)
    membership.mark_unreachable("e1", 1.0, 2.0)
    unreachable_version = membership.version
    membership.apply_expiries(2.0)
    assert membership.version == unreachable_version and not membership.is_usable(
        "e1", 2.0
    )
    membership.apply_expiries(3.1)
    assert membership.version > unreachable_version and membership.is_usable("e1", 3.1)
