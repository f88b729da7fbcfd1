"""Tests of the targets that serve a model or a service."""

from scaleloom_core.membership import Membership
from scaleloom_core.records import Change, Customer, DataCentre, Service, Target
from scaleloom_core.target_pools import EnginePools, ServiceTargets, find_model
from tests.fixtures.configs import ENGINES, append_record, configured_fold, member


def _pools(fold):
    membership = Membership()
    membership.apply_list([member(name) for name in ENGINES], 0.0)
    return EnginePools(fold, membership, "sala-a"), membership


def _targets(table):
    return {item.target for item in table.members}


def test_a_pool_has_the_available_targets_of_its_model():
    fold = configured_fold(3)
    pools, membership = _pools(fold)
    assert _targets(pools.table("dossier", None, 0.0)) == {"e1", "e2", "e3"}
    membership.mark_draining("e2", 1.0)
    assert _targets(pools.table("dossier", None, 1.0)) == {"e1", "e3"}
    append_record(fold, Change("c", 0, "ana", (Target("e3", is_leaving=True),)))
    assert _targets(pools.table("dossier", None, 2.0)) == {"e1"}
    assert _targets(pools.table("dossier", "unknown", 2.0)) == set()


def test_a_change_of_customers_does_not_rebuild_the_tables():
    fold = configured_fold(3)
    pools, _ = _pools(fold)
    before = pools.table("dossier", None, 0.0)
    append_record(fold, Change("c", 0, "ana", (Customer("third", ()),)))
    assert pools.table("dossier", None, 0.0) is before


def test_targets_of_another_region_are_not_near():
    fold = configured_fold(2)
    regions = (DataCentre("sala-a", "south"), DataCentre("sala-b", "north"))
    append_record(fold, Change("c", 0, "ana", regions))
    membership = Membership()
    membership.apply_list([member(name) for name in ENGINES], 0.0)
    remote = EnginePools(fold, membership, "sala-b").table("dossier", None, 0.0)
    assert not any(item.is_same_region for item in remote.members)


def test_a_service_has_its_configured_targets():
    fold = configured_fold(1)
    puts = (Service("tags"), Target("e3", service="tags"), Target("e4", service="tags"))
    append_record(fold, Change("c", 0, "ana", puts))
    _, membership = _pools(fold)
    services = ServiceTargets(fold)
    assert services.all_targets("tags") == ["e3", "e4"]
    membership.mark_draining("e3", 1.0)
    assert services.open_targets("tags", membership, 1.0) == ["e4"]


def test_a_model_is_found_by_its_name_and_adapter():
    fold = configured_fold(1)
    assert find_model(fold, "dossier")[0].name == "dossier"
    assert find_model(fold, "dossier:unknown") == (None, None)
    assert find_model(fold, "nothing") == (None, None)
