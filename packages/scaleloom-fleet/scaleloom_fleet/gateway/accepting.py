"""Accept loop of the front listener, and the loop that serves one connection."""

import logging
import socket

import trio

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.link_share import SHORT_TRANSFER_BYTES
from scaleloom_core.memory_account import MemoryUse
from scaleloom_core.process_limits import CALLER_MEMORY_BYTES, Resource
from scaleloom_fleet.gateway.attempts import serve
from scaleloom_fleet.gateway.error_responses import send_error, send_rejection
from scaleloom_fleet.gateway.overload_refusals import (
    close_unread,
    closes_unread,
    exceeded_by_caller,
    exceeded_by_request,
    may_accept,
    refuse,
    refuse_caller,
)
from scaleloom_fleet.gateway.request_metrics import record_malformed, record_unserved
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.task_guard import run_once
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerDisconnected,
    CallerRequest,
    MemoryExhausted,
    RequestRejected,
)

ACCEPT_BATCH = 64
# The store answers a newly started process within some hundredths of a second, so
# delaying the first accept costs callers less than a refusal.
STARTUP_WAIT_S = 0.3
_logger = logging.getLogger("scaleloom.gateway")


async def accept_forever(
    state: GatewayState, listener: socket.socket, nursery: trio.Nursery
) -> None:
    """
    Accept connections on `listener` and serve each one in `nursery`.

    The first connection is accepted once all ports of the process are open and a
    configuration and some targets are known, or after `STARTUP_WAIT_S`.
    """
    with trio.move_on_after(STARTUP_WAIT_S):
        await state.may_accept_callers.wait()
        await state.config_and_targets_loaded.wait()
    while listener.fileno() >= 0:
        try:
            await trio.lowlevel.wait_readable(listener)
        except trio.ClosedResourceError:
            return
        if not _accept_waiting(state, listener, nursery):
            # No descriptor is left, or too many refusals are in progress: the pending
            # connection keeps the listener readable, so the loop would spin.
            await trio.sleep(sockets.ACCEPT_RETRY_S)


async def accept_rest(
    state: GatewayState, listener: socket.socket, nursery: trio.Nursery
) -> None:
    """
    Accept all connections that wait at `listener`, and close it.

    Closing it resets those that were not accepted, though their requests may have
    arrived.
    """
    while listener.fileno() >= 0:
        if _accept_waiting(state, listener, nursery) == ACCEPT_BATCH:
            # More may come as fast; the stop has to end in time all the same.
            await trio.lowlevel.checkpoint()
        elif may_accept(state):
            # None waits at this moment. Looking again after others had their turn would
            # leave the port open for as long as each turn brings another caller.
            sockets.close(listener)
            return
        else:
            await trio.sleep(sockets.ACCEPT_RETRY_S)


def _accept_waiting(
    state: GatewayState, listener: socket.socket, nursery: trio.Nursery
) -> int:
    """Accept some of the connections that wait; return how many."""
    accepted = 0
    while accepted < ACCEPT_BATCH and may_accept(state):
        connection = sockets.accept_nowait(listener)
        if connection is None:
            break
        accepted += 1
        _admit_or_refuse(state, connection, nursery)
    return accepted


def _admit_or_refuse(
    state: GatewayState, connection: socket.socket, nursery: trio.Nursery
) -> None:
    """Start to serve a connection, or to refuse it."""
    if closes_unread(state):
        close_unread(state, connection)
        return
    limit = exceeded_by_caller(state, connection)
    if limit is not None:
        state.refusals_in_progress += 1
        nursery.start_soon(
            run_once, state, "refusal", refuse_caller, state, connection, limit
        )
        return
    caller = _register(state, connection)
    nursery.start_soon(run_once, state, "caller", _serve_caller, state, caller)


def _register(state: GatewayState, connection: socket.socket) -> CallerConnection:
    """
    Return a connection, counted among those that are being served.

    It is counted before its task runs: a stop must not take the process for idle in
    between.
    """
    caller = CallerConnection(
        connection, state.record_sent_bytes, state.memory, state.link_gate
    )
    state.connections.add(caller)
    state.memory.reserve(MemoryUse.CALLERS, CALLER_MEMORY_BYTES)
    return caller


async def serve_connection(state: GatewayState, connection: socket.socket) -> None:
    """Serve the requests of one connection until either side closes it."""
    await _serve_caller(state, _register(state, connection))


async def _serve_caller(state: GatewayState, caller: CallerConnection) -> None:
    """Serve the requests of a registered connection until either side closes it."""
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            await _serve_requests(state, caller)
            await caller.discard_rest()
            nursery.cancel_scope.cancel()
    finally:
        state.connections.discard(caller)
        state.memory.release(MemoryUse.CALLERS, CALLER_MEMORY_BYTES)
        caller.close()


async def _serve_requests(state: GatewayState, caller: CallerConnection) -> None:
    """Serve the requests of one connection one after another."""
    try:
        while True:
            request = await caller.read_request(state.caller_limits)
            try:
                is_refused = await _serve_or_refuse(state, caller, request)
            finally:
                request.release_body()
            if is_refused or not caller.finish():
                return
    except CallerDisconnected:
        return
    except MemoryExhausted:
        await refuse(state, caller, Resource.MEMORY)
    except RequestRejected as rejection:
        record_malformed(state)
        await _reject(caller, rejection.status)


async def _serve_or_refuse(
    state: GatewayState, caller: CallerConnection, request: CallerRequest
) -> bool:
    """Serve one request unless it exceeds a limit; return whether it was refused."""
    limit = exceeded_by_request(state)
    if limit is not None:
        await refuse(state, caller, limit)
        return True
    # The rest of a long body was recorded as it was read.
    state.record_sent_bytes(min(len(request.body), SHORT_TRANSFER_BYTES))
    state.requests_in_progress += 1
    try:
        await _serve_one(state, caller, request)
    finally:
        state.requests_in_progress -= 1
    return False


async def _serve_one(
    state: GatewayState, caller: CallerConnection, request: CallerRequest
) -> None:
    """Serve one request; an unexpected exception fails only this request."""
    try:
        await serve(state, caller, request)
    except CallerDisconnected:
        raise
    except Exception:
        _logger.exception("request failed unexpectedly")
        error = FleetError(ErrorKind.INTERNAL, "Unexpected error in the router.")
        record_unserved(state, error)
        if caller.is_answer_started:
            caller.reset()
            raise CallerDisconnected from None
        await send_error(caller, error, state.is_stopping)


async def _reject(caller: CallerConnection, status: int) -> None:
    """Answer a malformed request with `status`."""
    try:
        await send_rejection(caller, status)
    except CallerDisconnected:
        return
