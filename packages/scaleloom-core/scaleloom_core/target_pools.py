"""The targets that serve a model or service, by configuration and membership."""

from collections import defaultdict

from scaleloom_core.fold import Fold, region_of
from scaleloom_core.ids import (
    AdapterName,
    InstanceId,
    ModelName,
    ServiceName,
    TargetId,
)
from scaleloom_core.membership import Membership
from scaleloom_core.placement import PlacementTable, PoolMember
from scaleloom_core.records import (
    EVERY_CUSTOMER,
    Assignment,
    DataCentre,
    Model,
    Target,
)


class EnginePools:
    """
    Placement tables of all models, rebuilt when their inputs change.

    Parameters
    ----------
    fold : Fold
        The configuration in force.
    membership : Membership
        The instances believed to exist.
    data_centre : str
        Where this process runs; targets in its region are preferred.
    """

    def __init__(self, fold: Fold, membership: Membership, data_centre: str) -> None:
        self._fold = fold
        self._membership = membership
        self._data_centre = data_centre
        self._tables: dict[tuple[str, str], PlacementTable] = {}
        self._table_inputs: tuple[int, int] | None = None
        self._by_model: dict[ModelName, list[Assignment]] = {}
        self._grouped_at: int | None = None

    def table(
        self, model: ModelName, adapter: AdapterName | None, now_s: float
    ) -> PlacementTable:
        """Return the placement table of `model` with `adapter`."""
        self._membership.apply_expiries(now_s)
        config_version = self._fold.version_of(Assignment, Target, DataCentre)
        inputs = (config_version, self._membership.version)
        if inputs != self._table_inputs:
            self._tables.clear()
            self._table_inputs = inputs
        key = (model, adapter or "")
        table = self._tables.get(key)
        if table is None:
            table = PlacementTable(self._members(model, adapter, now_s))
            self._tables[key] = table
        return table

    def _members(
        self, model: ModelName, adapter: AdapterName | None, now_s: float
    ) -> list[PoolMember]:
        """Return the targets that serve `model` with `adapter`."""
        region = region_of(self._fold, self._data_centre)
        members = []
        for assignment in self._assignments_to(model):
            if adapter is not None and adapter not in assignment.adapters:
                continue
            if not accepts_work(self._fold, self._membership, assignment.name, now_s):
                continue
            members.append(self._pool_member(assignment.name, region))
        return members

    def _assignments_to(self, model: ModelName) -> list[Assignment]:
        """Return the assignments to `model`, which are grouped once for all models."""
        version = self._fold.version_of(Assignment)
        if self._grouped_at != version:
            self._by_model = defaultdict(list)
            for assignment in self._fold.objects_of(Assignment):
                self._by_model[assignment.model].append(assignment)
            self._grouped_at = version
        return self._by_model.get(model, [])

    def _pool_member(self, target: TargetId, region: str) -> PoolMember:
        """Return `target` as a member of a pool."""
        member = self._membership.find(InstanceId(target))
        is_near = region_of(self._fold, member.data_centre) == region
        return PoolMember(target, is_same_region=is_near)


def accepts_work(
    fold: Fold, membership: Membership, target: TargetId, now_s: float
) -> bool:
    """Return whether `target` may be offered new work."""
    configured = fold.find_target(target)
    if configured is None or configured.is_leaving:
        return False
    return membership.is_usable(InstanceId(target), now_s)


class ServiceTargets:
    """
    The configured targets of each plain service.

    Parameters
    ----------
    fold : Fold
        The configuration in force.
    """

    def __init__(self, fold: Fold) -> None:
        self._fold = fold
        self._by_service: dict[ServiceName, list[TargetId]] = {}
        self._grouped_at: int | None = None

    def all_targets(self, service: ServiceName) -> list[TargetId]:
        """Return the targets configured for `service`, including draining ones."""
        version = self._fold.version_of(Target)
        if self._grouped_at != version:
            self._by_service = defaultdict(list)
            for target in self._fold.objects_of(Target):
                if target.service is not None:
                    self._by_service[target.service].append(target.name)
            self._grouped_at = version
        return self._by_service.get(service, [])

    def open_targets(
        self, service: ServiceName, membership: Membership, now_s: float
    ) -> list[TargetId]:
        """Return the targets of `service` that may be offered new work."""
        return [
            target
            for target in self.all_targets(service)
            if accepts_work(self._fold, membership, target, now_s)
        ]


def may_use_model(model: Model, customer: str) -> bool:
    """Return whether `customer` may use `model`."""
    return EVERY_CUSTOMER in model.customers or customer in model.customers


def find_model(fold: Fold, name: str) -> tuple[Model | None, AdapterName | None]:
    """
    Return the model and adapter that `name` refers to, or two times None.

    A name is a model, or a model and one of its adapters joined by a colon.
    """
    model_name, _, adapter = name.partition(":")
    model = fold.find_model(model_name)
    if model is None:
        return None, None
    if adapter and adapter not in model.adapters:
        return None, None
    return model, AdapterName(adapter) if adapter else None
