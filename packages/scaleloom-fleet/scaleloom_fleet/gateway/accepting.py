"""The loop that takes connections and their requests."""

import logging
import socket

import trio

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_fleet.gateway.answering import answer_error, answer_rejection
from scaleloom_fleet.gateway.attempts import serve
from scaleloom_fleet.gateway.limiting import (
    lacking_for_caller,
    lacking_for_request,
    may_accept,
    refuse,
    refuse_caller,
)
from scaleloom_fleet.gateway.measuring import note_malformed, note_unserved
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerGone,
    CallerRequest,
    RequestRejected,
)

ACCEPT_BATCH = 64
# The store answers a process that has just started within some hundredths of a
# second; callers wait that long unaccepted rather than be refused.
KNOWLEDGE_PATIENCE_S = 0.3
_logger = logging.getLogger("scaleloom.gateway")


async def accept_forever(
    state: GatewayState, listener: socket.socket, nursery: trio.Nursery
) -> None:
    """Serve every connection that arrives at `listener`, once enough is known."""
    with trio.move_on_after(KNOWLEDGE_PATIENCE_S):
        await state.known.wait()
    while True:
        await trio.lowlevel.wait_readable(listener)
        accepted = taken = 0
        while accepted < ACCEPT_BATCH and may_accept(state):
            connection = sockets.accept_ready(listener)
            if connection is None:
                break
            accepted += 1
            lacking = lacking_for_caller(state, connection, taken)
            if lacking is not None:
                state.refused_now += 1
                nursery.start_soon(refuse_caller, state, connection, lacking)
                continue
            taken += 1
            nursery.start_soon(serve_connection, state, connection)
        if not accepted:
            # Out of descriptors, or too many are being refused: the connection
            # stays ready and would spin.
            await trio.sleep(sockets.ACCEPT_PAUSE_S)


async def serve_connection(state: GatewayState, connection: socket.socket) -> None:
    """Answer the requests of one connection until either side ends it."""
    caller = CallerConnection(connection, state.note_sent)
    state.connections.add(caller)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            await _serve_requests(state, caller)
            nursery.cancel_scope.cancel()
    finally:
        state.connections.discard(caller)
        caller.close()


async def _serve_requests(state: GatewayState, caller: CallerConnection) -> None:
    """Answer requests one after another."""
    try:
        while True:
            request = await caller.read_request(state.caller_limits())
            lacking = lacking_for_request(state)
            if lacking is not None:
                await refuse(state, caller, lacking)
                return
            state.note_sent(len(request.body))
            state.serving += 1
            try:
                await _serve_one(state, caller, request)
            finally:
                state.serving -= 1
            if not caller.finish():
                return
    except CallerGone:
        return
    except RequestRejected as rejection:
        note_malformed(state)
        await _reject(caller, rejection.status)


async def _serve_one(
    state: GatewayState, caller: CallerConnection, request: CallerRequest
) -> None:
    """Answer one request; a fault of our own ends it, and nothing else."""
    try:
        await serve(state, caller, request)
    except CallerGone:
        raise
    except Exception:
        _logger.exception("request failed unexpectedly")
        error = FleetError(ErrorKind.INTERNAL, "An error of the router's own.")
        note_unserved(state, error)
        if caller.is_answer_begun:
            caller.reset()
            raise CallerGone from None
        await answer_error(caller, error, state.is_stopping)


async def _reject(caller: CallerConnection, status: int) -> None:
    """Answer what was no proper request."""
    try:
        await answer_rejection(caller, status)
    except CallerGone:
        return
