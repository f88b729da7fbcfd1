"""Applies the platform's documents to the state, whether read from store or peers."""

import logging

import trio
from returns.result import Failure, Result

from scaleloom_core.evacuations import Evacuations
from scaleloom_core.ids import EntryKey
from scaleloom_core.rollouts.orders import RolloutOrders
from scaleloom_core.target_entries import ListedTarget
from scaleloom_fleet.gateway.headers import is_header_value
from scaleloom_fleet.gateway.state import GatewayState

# The store's limit for a record is an eighth of that.
MAX_CONFIG_BYTES = 1 << 21
# An entry takes 0.2 kB with its key, so that a list of 12,000 takes 2.4 MB.
MAX_TARGETS_BYTES = 1 << 23
_logger = logging.getLogger("scaleloom.store")


def apply_config_document(state: GatewayState, document: bytes) -> None:
    """Apply a configuration if it is newer, or log why it cannot be decoded."""
    if document == state.config_document:
        return
    decoded = state.adapter.decode_routing(document)
    if isinstance(decoded, Failure):
        _logger.error("cannot decode configuration", extra={"why": decoded.failure()})
        return
    routing = decoded.unwrap()
    if state.apply_routing(routing, document):
        state.update_loaded_event()
        _logger.info("configuration applied", extra={"version": routing.version})


def apply_evacuations(state: GatewayState, received: Evacuations) -> None:
    """Apply evacuations if they are newer than those in force."""
    if not received.is_newer_than(state.evacuations):
        return
    before, state.evacuations = state.evacuations, received
    if received.data_centres == before.data_centres:
        return
    state.view.evacuate(received.data_centres, trio.current_time())
    fields = {
        "data_centres": sorted(received.data_centres),
        "position": received.position,
    }
    _logger.info("evacuations applied", extra=fields)
    state.request_report()


def apply_rollouts(state: GatewayState, received: RolloutOrders) -> None:
    """Apply operators' roll-out orders if they are newer than those in force."""
    state.rollouts.apply(received, state.router_count, trio.current_time())
    state.stream_origins.versions.ordered = frozenset(state.rollouts.by_service)


def apply_target_documents(
    state: GatewayState, documents: dict[str, bytes], position: int, confirmed_s: float
) -> bool:
    """
    Apply a complete list of targets.

    Parameters
    ----------
    documents : dict of str to bytes
        The entries by their keys.
    position : int
        The offset up to which the topic had been read.
    confirmed_s : float
        When the list was known to be up to date, on the runtime's clock.

    Returns
    -------
    bool
        False if the list is older than the one in force.
    """
    listed = _decode_entries(state, documents)
    now_s = trio.current_time()
    if state.freshness.was_unavailable(now_s):
        state.view.retain_expired(now_s)
    if not state.view.apply_list(listed, position, now_s):
        return False
    state.chooser.cold_schedule.keep_only(set(state.view.records))
    state.update_loaded_event()
    state.update_listed_documents(documents)
    state.freshness.confirm(confirmed_s)
    state.stream_origins.versions.record_listed(listed, confirmed_s)
    return True


def _decode_entries(
    state: GatewayState, documents: dict[str, bytes]
) -> list[ListedTarget]:
    """Return the targets of a list; only entries that changed are decoded."""
    listed: list[ListedTarget] = []
    for key, document in documents.items():
        entry = EntryKey(key)
        known = state.view.find_by_entry(entry)
        if state.listed_documents.get(key) == document:
            # An unchanged entry without a record could not be decoded before either.
            if known is not None:
                listed.append(known.listed)
            continue
        decoded = _decode_target(state, entry, document)
        if isinstance(decoded, Failure):
            fields = {"entry": key, "why": decoded.failure()}
            _logger.warning("cannot decode target entry", extra=fields)
            continue
        listed.append(decoded.unwrap())
    return listed


def _decode_target(
    state: GatewayState, key: EntryKey, document: bytes
) -> Result[ListedTarget, str]:
    """Return the target of an entry, or why it is invalid."""
    if not is_header_value(key):
        return Failure("the key can't be sent in the head of a request")
    return state.adapter.decode_target(key, document)
