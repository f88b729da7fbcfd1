"""Tests of operators' orders, and of the versions that a later order inherits."""

from nose2.tools import params

from scaleloom_core.ids import ServiceName, Version
from scaleloom_core.rollouts.decisions import Decision, InheritedVersions
from scaleloom_core.rollouts.orders import RolloutChange, RolloutOrder, RolloutOrders
from scaleloom_core.rollouts.stages import RolloutSnapshot, Stage

FIRST, SECOND = ServiceName("a"), ServiceName("b")
OLD, NEW, OLDER = Version("v1"), Version("v2"), Version("v0")


def _order(service: ServiceName, position: int) -> RolloutOrder:
    """Return an order for the new version."""
    return RolloutOrder(service, NEW, 20.0, position)


def _decision(stage: Stage) -> Decision:
    """Return the logged decision on a roll-out of the new version."""
    replaced, rejected = frozenset({OLD}), frozenset({OLDER})
    snapshot = RolloutSnapshot(FIRST, 4, stage, 100, replaced, rejected)
    return Decision(snapshot, NEW)


def test_the_newest_order_of_each_service_is_active():
    changes = [RolloutChange(s, _order(s, p)) for s, p in ((SECOND, 1), (FIRST, 2))]
    changes.append(RolloutChange(FIRST, _order(FIRST, 3)))
    orders = RolloutOrders().with_changes(changes, 4)
    assert [(o.service, o.position) for o in orders.orders] == [(FIRST, 3), (SECOND, 1)]


def test_a_withdrawn_order_is_no_longer_active():
    first = RolloutOrders().with_changes([RolloutChange(FIRST, _order(FIRST, 1))], 2)
    withdrawn = first.with_changes([RolloutChange(FIRST, None)], 3)
    assert withdrawn.orders == ()
    assert withdrawn.is_newer_than(first) and not first.is_newer_than(withdrawn)


def test_the_withdrawal_of_an_unknown_order_changes_nothing():
    assert RolloutOrders().with_changes([RolloutChange(FIRST, None)], 1).orders == ()


def test_a_completed_roll_out_does_not_reject_its_version():
    inherited = _decision(Stage.DONE).inherited_by_next()
    assert inherited == InheritedVersions(frozenset({OLD}), frozenset({OLDER}))


@params(Stage.RUNNING, Stage.PROMOTING, Stage.ROLLED_BACK)
def test_an_incomplete_roll_out_rejects_its_version(stage):
    inherited = _decision(stage).inherited_by_next()
    assert inherited.rejected == {OLDER, NEW}


def test_a_version_ordered_again_is_neither_replaced_nor_rejected():
    inherited = InheritedVersions(
        frozenset({OLD, NEW}), frozenset({NEW, OLDER})
    ).excluding(NEW)
    assert inherited == InheritedVersions(frozenset({OLD}), frozenset({OLDER}))
