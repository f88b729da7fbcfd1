"""The store's documents, taken in from wherever they come."""

import logging

import trio
from returns.result import Failure

from scaleloom_core.evacuations import Evacuations
from scaleloom_core.ids import EntryKey
from scaleloom_core.listed import ListedTarget
from scaleloom_core.rollouts.orders import RolloutOrders
from scaleloom_fleet.gateway.state import GatewayState

_logger = logging.getLogger("scaleloom.store")


def apply_config_document(state: GatewayState, document: bytes) -> None:
    """Take a configuration into force, or report why it cannot be read."""
    if document == state.config_document:
        return
    decoded = state.adapter.decode_routing(document)
    if isinstance(decoded, Failure):
        _logger.error("configuration unreadable", extra={"why": decoded.failure()})
        return
    routing = decoded.unwrap()
    if state.apply_routing(routing, document):
        state.note_knowledge()
        _logger.info("configuration in force", extra={"version": routing.version})


def apply_evacuations(state: GatewayState, told: Evacuations) -> None:
    """Take `told` into force, unless what is known rests on more."""
    if not told.is_newer_than(state.evacuations):
        return
    before, state.evacuations = state.evacuations, told
    if told.data_centres == before.data_centres:
        return
    state.view.evacuate(told.data_centres, trio.current_time())
    fields = {"data_centres": sorted(told.data_centres), "position": told.position}
    _logger.info("evacuations in force", extra=fields)
    state.report_soon()


def apply_rollouts(state: GatewayState, told: RolloutOrders) -> None:
    """Take operators' orders into force, unless what is known rests on more."""
    state.rollouts.apply(told, state.router_count, trio.current_time())


def apply_target_documents(
    state: GatewayState, documents: dict[str, bytes], position: int, at_s: float
) -> bool:
    """
    Take in a whole reading of the list of targets.

    Parameters
    ----------
    at_s : float
        When the reading was right, on the runtime's clock.

    Returns
    -------
    bool
        Whether it is as new as what was known.
    """
    listed = _decode_entries(state, documents)
    now_s = trio.current_time()
    if state.freshness.was_away(now_s):
        state.view.allow_lapses(now_s)
    if not state.view.apply_list(listed, position, now_s):
        return False
    state.chooser.cold.forget_others(set(state.view.records))
    state.note_knowledge()
    state.note_listed(documents)
    state.freshness.confirm(at_s)
    return True


def _decode_entries(
    state: GatewayState, documents: dict[str, bytes]
) -> list[ListedTarget]:
    """Return the targets of a list; entries that did not change are not read again."""
    listed: list[ListedTarget] = []
    for key, document in documents.items():
        entry = EntryKey(key)
        known = state.view.find_entry(entry)
        if state.listed_documents.get(key) == document:
            # What could not be read before can't be now.
            if known is not None:
                listed.append(known.listed)
            continue
        decoded = state.adapter.decode_target(entry, document)
        if isinstance(decoded, Failure):
            fields = {"entry": key, "why": decoded.failure()}
            _logger.warning("entry of a target unreadable", extra=fields)
            continue
        listed.append(decoded.unwrap())
    return listed
