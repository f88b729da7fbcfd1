"""Refusal of callers and requests that exceed the limits of this process."""

import logging
import socket

import trio

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.memory_account import MemoryAccount, MemoryUse
from scaleloom_core.process_limits import CALLER_MEMORY_BYTES, Resource
from scaleloom_fleet.gateway.error_responses import send_error
from scaleloom_fleet.gateway.metric_definitions import STALLED_SECONDS, STALLS
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerDisconnected,
    MemoryExhausted,
    RequestRejected,
)

# A new connection most likely reaches another router with free capacity.
REFUSED_RETRY_AFTER_S = 0.1
# A request under way has arrived by then.
READ_TIMEOUT_S = 0.5
# Refusals use most of the spare descriptors; further callers wait to be accepted,
# for some milliseconds if their requests arrive at once.
MAX_CONCURRENT_REFUSALS = 16
# A tenth of the time after which lateness counts.
TICK_S = 0.05
# Callers begin to feel a pause as long as this.
STALL_S = 0.1
# A reload of the settings may set a limit where none was set.
SETTINGS_CHECK_S = 1.0
_logger = logging.getLogger("scaleloom.limits")


async def watch_lateness(state: GatewayState) -> None:
    """Measure the delay of the process's timers for as long as the process runs."""
    while True:
        is_limited = bool(state.settings.limits.lateness_s)
        due_s = trio.current_time() + (TICK_S if is_limited else SETTINGS_CHECK_S)
        await trio.sleep_until(due_s)
        now_s = trio.current_time()
        if is_limited:
            state.process_limits.lateness.record(now_s - due_s, now_s)
        if now_s - due_s > STALL_S:
            _record_stall(state, now_s - due_s)


def _record_stall(state: GatewayState, stalled_s: float) -> None:
    """Count and log that the process stood still for `stalled_s`."""
    state.metrics_registry.add(STALLS)
    state.metrics_registry.add(STALLED_SECONDS, amount=stalled_s)
    fields = {
        "stalled_ms": int(stalled_s * 1000),
        "connections": len(state.connections),
        "in_flight": sum(state.load.local.values()),
    }
    _logger.warning("process stood still", extra=fields)


def may_accept(state: GatewayState) -> bool:
    """Return whether one more caller could still be refused if necessary."""
    return state.refusals_in_progress < MAX_CONCURRENT_REFUSALS


def closes_unread(state: GatewayState) -> bool:
    """
    Return whether new connections are closed before anything is read from them.

    A router whose timers are late would take long even to refuse a request. The next
    attempt of a caller whose connection is closed unread reaches another router, as
    long as there is one.
    """
    return state.process_limits.lateness.is_over and state.has_live_peers


def close_unread(state: GatewayState, connection: socket.socket) -> None:
    """Close a new connection before anything is read from it."""
    connection.close()
    _record_refusal(state, Resource.PROCESSOR)


def exceeded_by_caller(
    state: GatewayState, connection: socket.socket
) -> Resource | None:
    """Return the limit that an accepted caller exceeds, if any."""
    # The kernel assigns the lowest free number, so all lower ones are in use.
    in_use = connection.fileno() + 1
    callers = len(state.connections)
    exhausted = state.process_limits.find_exhausted_for_caller(callers, in_use)
    has_room = state.memory.has_room(MemoryUse.CALLERS, CALLER_MEMORY_BYTES)
    if exhausted is None and not has_room:
        return Resource.MEMORY
    return exhausted


def exceeded_by_request(state: GatewayState) -> Resource | None:
    """Return the limit that one more request would exceed, if any."""
    return state.process_limits.find_exhausted_for_request(
        len(state.connections), state.requests_in_progress, trio.current_time()
    )


async def refuse_caller(
    state: GatewayState, connection: socket.socket, limit: Resource
) -> None:
    """
    Refuse the first request of a caller, and close the connection.

    The task that starts this has counted the refusal in `state.refusals_in_progress`.
    """
    caller = CallerConnection(connection, memory=_without_room())
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            await _read_request(state, caller)
            await refuse(state, caller, limit)
            await caller.discard_rest()
            nursery.cancel_scope.cancel()
    finally:
        state.refusals_in_progress -= 1
        caller.close()


def _without_room() -> MemoryAccount:
    """Return an account in which no long message fits."""
    account = MemoryAccount(0.0)
    account.reserve(MemoryUse.REQUESTS, 1)
    return account


async def _read_request(state: GatewayState, caller: CallerConnection) -> None:
    """Wait until a request, or the head of a long one, has arrived or none is due."""
    try:
        with trio.move_on_after(READ_TIMEOUT_S):
            await caller.read_request(state.caller_limits)
    except (CallerDisconnected, MemoryExhausted, RequestRejected):
        return


async def refuse(
    state: GatewayState, caller: CallerConnection, limit: Resource
) -> None:
    """Answer that nothing ran and that another connection is to be used."""
    _record_refusal(state, limit)
    error = FleetError(
        ErrorKind.ROUTER_FULL,
        f"The router is at the limit of its {limit.value}.",
        retry_after_s=REFUSED_RETRY_AFTER_S,
        outcome=Outcome.NOT_RUN,
    )
    try:
        await send_error(caller, error, is_stopping=True)
    except CallerDisconnected:
        return


def _record_refusal(state: GatewayState, limit: Resource) -> None:
    """Count a refusal, and log the limit at intervals."""
    state.statsd.count(f"refusals.{ErrorKind.ROUTER_FULL.value}")
    state.statsd.count(f"own_limits.{limit.value}")
    refused_count = state.process_limits.record_refusal(limit, trio.current_time())
    if refused_count is None:
        return
    fields = {
        "limit": limit.value,
        "refused": refused_count,
        "connections": len(state.connections),
        "in_flight": sum(state.load.local.values()),
    }
    _logger.warning("process limit reached; refusing new work", extra=fields)
