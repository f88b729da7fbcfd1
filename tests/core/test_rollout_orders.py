"""Tests of operators' orders, and of what one leaves to the next."""

from nose2.tools import params

from scaleloom_core.ids import ServiceName, Version
from scaleloom_core.rollouts.decisions import Decision, InheritedVersions
from scaleloom_core.rollouts.orders import RolloutChange, RolloutOrder, RolloutOrders
from scaleloom_core.rollouts.stages import Stage, Standing

FIRST, SECOND = ServiceName("a"), ServiceName("b")
OLD, NEW, OLDER = Version("v1"), Version("v2"), Version("v0")


def _order(service: ServiceName, position: int) -> RolloutOrder:
    """Return an order for the new version."""
    return RolloutOrder(service, NEW, 20.0, position)


def _decision(stage: Stage) -> Decision:
    """Return what was written of a roll-out to the new version."""
    replaced, rejected = frozenset({OLD}), frozenset({OLDER})
    snapshot = Standing(FIRST, 4, stage, 100, replaced, rejected)
    return Decision(snapshot, NEW)


def test_the_newest_order_of_each_service_stands():
    changes = [RolloutChange(s, _order(s, p)) for s, p in ((SECOND, 1), (FIRST, 2))]
    changes.append(RolloutChange(FIRST, _order(FIRST, 3)))
    orders = RolloutOrders().followed_by(changes, 4)
    assert [(o.service, o.position) for o in orders.orders] == [(FIRST, 3), (SECOND, 1)]


def test_an_order_that_is_taken_back_stands_no_more():
    begun = RolloutOrders().followed_by([RolloutChange(FIRST, _order(FIRST, 1))], 2)
    ended = begun.followed_by([RolloutChange(FIRST, None)], 3)
    assert ended.orders == ()
    assert ended.is_newer_than(begun) and not begun.is_newer_than(ended)


def test_an_order_taken_back_that_was_never_heard_of_changes_nothing():
    assert RolloutOrders().followed_by([RolloutChange(FIRST, None)], 1).orders == ()


def test_what_is_done_leaves_no_rejection_of_its_version():
    left = _decision(Stage.DONE).inherited_by_next()
    assert left == InheritedVersions(frozenset({OLD}), frozenset({OLDER}))


@params(Stage.RUNNING, Stage.PROMOTING, Stage.ROLLED_BACK)
def test_what_is_not_done_leaves_its_version_rejected(stage):
    left = _decision(stage).inherited_by_next()
    assert left.rejected == {OLDER, NEW}


def test_a_version_that_is_ordered_again_is_taken_out_of_both():
    left = InheritedVersions(frozenset({OLD, NEW}), frozenset({NEW, OLDER})).excluding(
        NEW
    )
    assert left == InheritedVersions(frozenset({OLD}), frozenset({OLDER}))
