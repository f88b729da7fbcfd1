"""Plans for intents: the steps of each target and their cost."""

import copy

import msgspec

from scaleloom_core.fold import Fold, required_replicas
from scaleloom_core.ids import RecordId, TargetId
from scaleloom_core.intents import Intent
from scaleloom_core.records import (
    Assignment,
    Change,
    ConfigObject,
    FoldState,
    Model,
    Target,
    object_key,
)


class TargetFacts(msgspec.Struct, frozen=True):
    """State of a target that a plan depends on."""

    target: TargetId
    is_live: bool = True
    cached_chats: int = 0
    load: int = 0


class PlanStep(msgspec.Struct, frozen=True):
    """Step of one target in a plan."""

    target: TargetId
    action: str
    model: str
    bytes_to_load: int
    cached_chats_lost: int
    load_moved: int
    wait_for: tuple[TargetId, ...] = ()


class Plan(msgspec.Struct, frozen=True):
    """Unconfirmed change of the configuration, with its cost."""

    base_version: int
    puts: tuple[ConfigObject, ...]
    removals: tuple[str, ...]
    steps: tuple[PlanStep, ...]
    warnings: tuple[str, ...]
    bytes_to_load: int
    loading_s: float
    cached_chats_lost: int
    load_moved_share: float

    def to_change(self, record_id: RecordId, author: str) -> Change:
        """Return the record that puts this plan into force."""
        return Change(
            record_id=record_id,
            base_version=self.base_version,
            author=author,
            puts=self.puts,
            removals=self.removals,
            depends_on=self._dependencies(),
            summary=f"{len(self.steps)} target steps",
        )

    def _dependencies(self) -> tuple[str, ...]:
        """Return the keys that the plan depends on besides those that it changes."""
        models = {f"model/{step.model}" for step in self.steps if step.model}
        targets = {f"target/{step.target}" for step in self.steps}
        return tuple(sorted(models | targets))


def make_plan(
    fold: Fold,
    intent: Intent,
    facts: list[TargetFacts],
    weight_store_bytes_per_s: float,
) -> Plan:
    """
    Return the plan that puts `intent` into force.

    Parameters
    ----------
    fold : Fold
        Current configuration, which is not changed.
    intent : Intent
        Objects to put and keys to remove.
    facts : list of TargetFacts
        Current state of the targets.
    weight_store_bytes_per_s : float
        Throughput of the weight store, shared by all loads, in bytes a second.
    """
    planned = _apply_intent(fold, intent)
    facts_by_target = {item.target: item for item in facts}
    desired = _assign(planned, facts_by_target)
    current = {item.name: item for item in fold.objects_of(Assignment)}
    steps = _steps(planned, current, desired, facts_by_target)
    bytes_to_load = sum(step.bytes_to_load for step in steps)
    return Plan(
        base_version=fold.version,
        puts=(*intent.puts, *_changed(current, desired)),
        removals=(*intent.removals, *_removed(current, desired)),
        steps=tuple(steps),
        warnings=tuple(_warnings(planned, desired)),
        bytes_to_load=bytes_to_load,
        loading_s=bytes_to_load / weight_store_bytes_per_s,
        cached_chats_lost=sum(step.cached_chats_lost for step in steps),
        load_moved_share=_moved_share(steps, facts),
    )


def _apply_intent(fold: Fold, intent: Intent) -> Fold:
    """Return a copy of the fold with `intent` applied."""
    objects = dict(fold.state.objects)
    for config_object in intent.puts:
        objects[object_key(config_object)] = config_object
    for key in intent.removals:
        objects.pop(key, None)
    return Fold(FoldState(version=fold.version, objects=copy.copy(objects)))


def _assign(
    planned: Fold, facts: dict[TargetId, TargetFacts]
) -> dict[TargetId, Assignment]:
    """
    Return the assignments of engines to models.

    Engines keep their model if it still needs them. Missing replicas are assigned
    to the free engines with the fewest cached chats.
    """
    engines = [
        target
        for target in planned.objects_of(Target)
        if target.service is None and not target.is_leaving
    ]
    free = {engine.name for engine in engines}
    assigned: dict[TargetId, Assignment] = {}
    models = sorted(planned.objects_of(Model), key=lambda model: model.name)
    for model in models:
        _keep_current(planned, model, free, assigned, facts)
    for model in models:
        _assign_missing(planned, model, free, assigned, facts)
    return _order_rollout(planned, assigned)


def _keep_current(
    planned: Fold,
    model: Model,
    free: set[TargetId],
    assigned: dict[TargetId, Assignment],
    facts: dict[TargetId, TargetFacts],
) -> None:
    """Keep the required number of engines of `model`, those with the most chats."""
    engines_of_model = [
        item.name
        for item in planned.objects_of(Assignment)
        if item.model == model.name and item.name in free
    ]
    engines_of_model.sort(key=lambda target: _cached_chats(facts, target), reverse=True)
    for target in engines_of_model[: required_replicas(planned, model)]:
        assigned[target] = _assignment_to(target, model)
        free.discard(target)


def _assign_missing(
    planned: Fold,
    model: Model,
    free: set[TargetId],
    assigned: dict[TargetId, Assignment],
    facts: dict[TargetId, TargetFacts],
) -> None:
    """Assign free engines to `model` up to its required number of replicas."""
    assigned_count = sum(item.model == model.name for item in assigned.values())
    missing = required_replicas(planned, model) - assigned_count
    by_cached_chats = sorted(
        free, key=lambda target: (_cached_chats(facts, target), target)
    )
    for target in by_cached_chats[: max(0, missing)]:
        assigned[target] = _assignment_to(target, model)
        free.discard(target)


def _assignment_to(target: TargetId, model: Model) -> Assignment:
    """Return an assignment of `target` to the current version of `model`."""
    return Assignment(target, model.name, model.version, model.adapters)


def _cached_chats(facts: dict[TargetId, TargetFacts], target: TargetId) -> int:
    """Return the number of chats that `target` has cached."""
    found = facts.get(target)
    return found.cached_chats if found else 0


def _order_rollout(
    planned: Fold, assigned: dict[TargetId, Assignment]
) -> dict[TargetId, Assignment]:
    """
    Return the assignments with the order in which engines reload.

    An engine that releases a model or changes its version waits for the previous
    engine of that model. A model is therefore never reloaded on all engines at
    once, and its last engine keeps serving until another one is ready.
    """
    ordered: dict[TargetId, Assignment] = {}
    previous_by_model: dict[str, TargetId] = {}
    for target in sorted(assigned):
        after = assigned[target]
        before = planned.find_assignment(target)
        ordered[target] = after
        if before is None or _is_same_load(before, after):
            if before is not None and before.wait_for:
                ordered[target] = before
            continue
        previous = previous_by_model.get(before.model)
        waits = (previous,) if previous else _first_wait(planned, assigned, before)
        ordered[target] = msgspec.structs.replace(after, wait_for=waits)
        previous_by_model[before.model] = target
    return ordered


def _first_wait(
    planned: Fold, assigned: dict[TargetId, Assignment], before: Assignment
) -> tuple[TargetId, ...]:
    """Return the engines that the first engine to reload a model waits for."""
    others = [
        target
        for target, item in sorted(assigned.items())
        if item.model == before.model and target != before.name
    ]
    if any(_is_assigned(planned, target, before.model) for target in others):
        return ()
    return tuple(others[:1])


def _is_assigned(planned: Fold, target: TargetId, model: str) -> bool:
    """Return whether `target` is currently assigned to `model`."""
    assignment = planned.find_assignment(target)
    return assignment is not None and assignment.model == model


def _is_same_load(before: Assignment, after: Assignment) -> bool:
    """Return whether both assignments need the same model and adapters loaded."""
    return (before.model, before.version, before.adapters) == (
        after.model,
        after.version,
        after.adapters,
    )


def _steps(
    planned: Fold,
    current: dict[TargetId, Assignment],
    desired: dict[TargetId, Assignment],
    facts: dict[TargetId, TargetFacts],
) -> list[PlanStep]:
    """Return the steps of all targets whose load changes."""
    steps = []
    for target in sorted({*current, *desired}):
        before, after = current.get(target), desired.get(target)
        if before and after and _is_same_load(before, after):
            continue
        facts_of_target = facts.get(target) or TargetFacts(target, is_live=False)
        model = planned.find_model(after.model) if after else None
        steps.append(_step(target, before, after, facts_of_target, model, desired))
    return steps


def _step(
    target: TargetId,
    before: Assignment | None,
    after: Assignment | None,
    facts_of_target: TargetFacts,
    model: Model | None,
    desired: dict[TargetId, Assignment],
) -> PlanStep:
    """Return the step of `target`."""
    chats_lost = facts_of_target.cached_chats if before else 0
    load_moved = facts_of_target.load if before else 0
    if after is None:
        return PlanStep(target, "release", before.model, 0, chats_lost, load_moved)
    weight_bytes = model.weight_bytes if model else 0
    if before is None:
        return PlanStep(target, "load", after.model, weight_bytes, 0, 0)
    only_adapters = (before.model, before.version) == (after.model, after.version)
    if only_adapters:
        return PlanStep(target, "adapters", after.model, 0, 0, 0)
    return PlanStep(
        target,
        "reload",
        after.model,
        weight_bytes,
        chats_lost,
        load_moved,
        after.wait_for,
    )


def _changed(
    current: dict[TargetId, Assignment], desired: dict[TargetId, Assignment]
) -> list[Assignment]:
    """Return the new and changed assignments."""
    return [item for name, item in desired.items() if current.get(name) != item]


def _removed(
    current: dict[TargetId, Assignment], desired: dict[TargetId, Assignment]
) -> list[str]:
    """Return the keys of the assignments that are removed."""
    return [f"assignment/{name}" for name in current if name not in desired]


def _warnings(planned: Fold, desired: dict[TargetId, Assignment]) -> list[str]:
    """Return warnings about models with too few engines or an interruption."""
    warnings = []
    for model in planned.objects_of(Model):
        count = sum(item.model == model.name for item in desired.values())
        required = required_replicas(planned, model)
        if count < required:
            warnings.append(
                f"Model {model.name!r} asks for {required} engines and gets {count}."
            )
        if required == 1 and _reloads(planned, desired, model):
            warnings.append(
                f"Model {model.name!r} has one engine and is not served while "
                "that engine reloads."
            )
    return warnings


def _reloads(planned: Fold, desired: dict[TargetId, Assignment], model: Model) -> bool:
    """Return whether an engine of `model` loads another version of it."""
    engines_of_model = [item for item in desired.values() if item.model == model.name]
    return any(
        (before := planned.find_assignment(item.name)) is not None
        and before.model == item.model
        and before.version != item.version
        for item in engines_of_model
    )


def _moved_share(steps: list[PlanStep], facts: list[TargetFacts]) -> float:
    """Return the share of the current load that moves to other targets."""
    total = sum(item.load for item in facts)
    return sum(step.load_moved for step in steps) / total if total else 0.0
