"""Orders to the engine to load the model that the configuration assigns."""

import logging

import trio

from scaleloom_core.records import Assignment
from scaleloom_fleet.platform.engine import EngineLoad, LoadOrder
from scaleloom_fleet.sidecar.load_sampling import query_peer
from scaleloom_fleet.sidecar.state import SidecarState

ORDER_INTERVAL_S = 0.5
_logger = logging.getLogger("scaleloom.orders")


async def run_orders(state: SidecarState) -> None:
    """Apply the current assignment periodically until cancelled."""
    while True:
        if state.config.is_loaded:
            await _apply_assignment(state)
        await trio.sleep(ORDER_INTERVAL_S)


async def _apply_assignment(state: SidecarState) -> None:
    """Order the engine to load the assigned model unless it is already loaded."""
    fold = state.config.fold
    assignment = fold.find_assignment(state.name)
    if assignment is None:
        state.loaded_assignment = None
        return
    token = fold.state.changed_at[f"assignment/{state.name}"]
    if state.settled_token >= token:
        return
    load_result = await state.engine.read_load()
    report: EngineLoad | None = load_result.value_or(None)
    if report is None:
        return
    if _has_loaded(report, assignment):
        _mark_loaded(state, assignment, token)
        return
    if not await _may_reload(state, assignment):
        return
    await _order_load(state, assignment, token)


def _has_loaded(report: EngineLoad, assignment: Assignment) -> bool:
    """Return whether the engine has loaded `assignment`."""
    return (
        not report.is_loading
        and report.model == assignment.model
        and report.version == assignment.version
        and set(assignment.adapters) <= set(report.adapters)
    )


def _mark_loaded(state: SidecarState, assignment: Assignment, token: int) -> None:
    """Serve the assigned model, which the engine has loaded."""
    previous = state.loaded_assignment
    state.loaded_assignment = assignment
    state.settled_token = token
    is_same_model = previous is not None and previous.model == assignment.model
    if not is_same_model or previous.version != assignment.version:
        state.admission.known.clear()
    _logger.info("engine has loaded its assignment", extra={"token": token})


async def _may_reload(state: SidecarState, assignment: Assignment) -> bool:
    """Return whether all targets named by `wait_for` have loaded their assignments."""
    changed_at = state.config.fold.state.changed_at
    for peer in assignment.wait_for:
        if state.config.fold.find_assignment(peer) is None:
            continue
        reply = await query_peer(state, peer)
        changed_offset = changed_at.get(f"assignment/{peer}", -1)
        if reply is None or reply.settled_token < changed_offset:
            return False
    return True


async def _order_load(state: SidecarState, assignment: Assignment, token: int) -> None:
    """Order the engine to load, and drain the engine first if the weights change."""
    previous = state.loaded_assignment
    retains_weights = (
        previous is not None
        and previous.model == assignment.model
        and previous.version == assignment.version
    )
    if not retains_weights:
        state.loaded_assignment = None
        await _wait_idle(state)
    model = state.config.fold.find_model(assignment.model)
    weight_bytes = model.weight_bytes if model and not retains_weights else 0
    order_result = await state.engine.order_load(
        LoadOrder(assignment, weight_bytes), token
    )
    problem = None if order_result.value_or(True) is None else order_result.failure()
    _logger.info(
        "load order sent to the engine", extra={"token": token, "problem": problem}
    )


async def _wait_idle(state: SidecarState) -> None:
    """Wait until no request is in flight, at most `drain_limit_s` seconds."""
    with trio.move_on_after(state.settings.stop.drain_limit_s):
        while state.admission.load:
            await trio.sleep(ORDER_INTERVAL_S / 5)
