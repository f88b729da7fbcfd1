"""Callers and requests that are refused since this router can bear no more."""

import logging
import socket

import trio

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.own_limits import Limit
from scaleloom_fleet.gateway.answering import answer_error
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerGone,
    RequestRejected,
)

# Its next connection leads a caller to another router, which has room at once.
ELSEWHERE_AFTER_S = 0.1
# A request that is on its way is there by then. Closing before it is read would
# reset the connection, and the caller would see no answer.
READING_PATIENCE_S = 0.5
# These hold most of the descriptors that the router keeps spare; more callers
# wait to be accepted, for some milliseconds if they send their requests at once.
REFUSALS_AT_ONCE = 16
# Ten of these fit into the time after which lateness counts.
TICK_S = 0.05
# Where no limit is set, a reading of the settings may still set one.
SETTINGS_CHECK_S = 1.0
_logger = logging.getLogger("scaleloom.limits")


async def watch_lateness(state: GatewayState) -> None:
    """Measure how late the process's timers are, for as long as it runs."""
    while True:
        if not state.settings.limits.lateness_s:
            await trio.sleep(SETTINGS_CHECK_S)
            continue
        due_s = trio.current_time() + TICK_S
        await trio.sleep_until(due_s)
        now_s = trio.current_time()
        state.own_limits.lateness.note(now_s - due_s, now_s)


def may_accept(state: GatewayState) -> bool:
    """Return whether one more caller could be refused if need be."""
    return state.refused_now < REFUSALS_AT_ONCE


def lacking_for_caller(
    state: GatewayState, connection: socket.socket, taken: int
) -> Limit | None:
    """
    Return what is lacking for a caller that was accepted, if anything.

    Parameters
    ----------
    taken : int
        How many callers were taken that are not counted yet.
    """
    # The kernel gives out the lowest number, so all below it are in use.
    in_use = connection.fileno() + 1
    callers = len(state.connections) + taken
    return state.own_limits.lacking_for_caller(callers, in_use)


def lacking_for_request(state: GatewayState) -> Limit | None:
    """Return what is lacking for one more request of a caller, if anything."""
    return state.own_limits.lacking_for_request(
        len(state.connections), state.serving, trio.current_time()
    )


async def refuse_caller(
    state: GatewayState, connection: socket.socket, lacking: Limit
) -> None:
    """
    Answer a caller's first request with a refusal, and end the connection.

    Whoever starts this has counted it in `refused_now`.
    """
    caller = CallerConnection(connection)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            await _read_request(state, caller)
            await refuse(state, caller, lacking)
            nursery.cancel_scope.cancel()
    finally:
        state.refused_now -= 1
        caller.close()


async def _read_request(state: GatewayState, caller: CallerConnection) -> None:
    """Return once a request has come, or is not expected to."""
    try:
        with trio.move_on_after(READING_PATIENCE_S):
            await caller.read_request(state.caller_limits())
    except (CallerGone, RequestRejected):
        return


async def refuse(state: GatewayState, caller: CallerConnection, lacking: Limit) -> None:
    """Say that nothing ran, and that another connection is to be used."""
    _note_refused(state, lacking)
    error = FleetError(
        ErrorKind.ROUTER_FULL,
        f"This router is at the limit of its {lacking.value}.",
        retry_after_s=ELSEWHERE_AFTER_S,
        outcome=Outcome.NOT_RUN,
    )
    try:
        await answer_error(caller, error, is_stopping=True)
    except CallerGone:
        return


def _note_refused(state: GatewayState, lacking: Limit) -> None:
    """Count a refusal, and log the limit now and then."""
    state.metrics.count(f"refusals.{ErrorKind.ROUTER_FULL.value}")
    state.metrics.count(f"own_limits.{lacking.value}")
    told = state.own_limits.note_refused(lacking, trio.current_time())
    if told is None:
        return
    fields = {
        "limit": lacking.value,
        "refused": told,
        "connections": len(state.connections),
        "in_flight": sum(state.load.own.values()),
    }
    _logger.warning("at a limit of its own", extra=fields)
