"""The page that tells the platform's balancer whether to send connections."""

import socket

import trio

from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerGone,
    CallerLimits,
    RequestRejected,
)

_LIMITS = CallerLimits(
    header_bytes=8192,
    body_bytes=0,
    header_timeout_s=3.0,
    idle_timeout_s=30.0,
    body_timeout_s=1.0,
)
_EMPTY = [(b"Content-Length", b"0")]


async def answer_forever(
    state: GatewayState, listener: socket.socket, nursery: trio.Nursery
) -> None:
    """Answer every question that arrives at `listener`."""
    while True:
        await trio.lowlevel.wait_readable(listener)
        connection = sockets.accept_ready(listener)
        if connection is not None:
            nursery.start_soon(_answer_connection, state, connection)


async def _answer_connection(state: GatewayState, connection: socket.socket) -> None:
    """Answer the questions of one connection."""
    caller = CallerConnection(connection)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            await _answer_questions(state, caller)
            nursery.cancel_scope.cancel()
    finally:
        caller.close()


async def _answer_questions(state: GatewayState, caller: CallerConnection) -> None:
    """Answer one question after another."""
    try:
        while True:
            request = await caller.read_request(_LIMITS)
            is_asked = request.target.partition(b"?")[0] == state.adapter.ready_path
            status = 404
            if is_asked:
                status = 200 if state.is_ready else 503
            await caller.send_answer(status, b"", list(_EMPTY), b"")
            if not caller.finish():
                return
    except (CallerGone, RequestRejected):
        return
