"""A minimal HTTP server for GET and HEAD, used for readiness and metrics."""

import socket
from collections.abc import Awaitable, Callable

import msgspec
import trio

from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.task_guard import run_once
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerDisconnected,
    CallerLimits,
    CallerRequest,
    RequestRejected,
)

# A client that does not read must not keep a page and a file descriptor forever.
SEND_TIMEOUT_S = 5.0
# Methods such as CONNECT would change the protocol of the connection.
ALLOWED_METHODS = frozenset({b"GET", b"HEAD"})
METHOD_NOT_ALLOWED = 405
_LIMITS = CallerLimits(
    header_bytes=8192,
    body_bytes=0,
    header_timeout_s=3.0,
    idle_timeout_s=30.0,
    body_timeout_s=1.0,
)


class Page(msgspec.Struct, frozen=True):
    """The response to one request."""

    status: int
    body: bytes = b""
    content_type: bytes | None = None


PageHandler = Callable[[bytes], Awaitable[Page]]


async def serve_pages(
    state: GatewayState,
    handler: PageHandler,
    listener: socket.socket,
    nursery: trio.Nursery,
    connection_limit: int | None = None,
) -> None:
    """
    Serve every connection that is accepted at `listener`.

    Parameters
    ----------
    handler : callable
        Returns the page for a path.
    connection_limit : int or None
        How many connections are served at a time; others are closed.
    """
    open_connections: set[socket.socket] = set()

    async def answer(connection: socket.socket) -> None:
        try:
            await _serve_connection(handler, connection)
        finally:
            open_connections.discard(connection)

    while True:
        connection = await sockets.accept(listener)
        if connection_limit is not None and len(open_connections) >= connection_limit:
            connection.close()
            continue
        open_connections.add(connection)
        nursery.start_soon(run_once, state, "page", answer, connection)


async def _serve_connection(handler: PageHandler, connection: socket.socket) -> None:
    """Serve the requests of one connection."""
    caller = CallerConnection(connection)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            await _serve_requests(handler, caller)
            nursery.cancel_scope.cancel()
    finally:
        caller.close()


async def _get_page(request: CallerRequest, handler: PageHandler) -> Page:
    """Return the page for one request."""
    if request.method not in ALLOWED_METHODS:
        return Page(METHOD_NOT_ALLOWED)
    return await handler(request.target.partition(b"?")[0])


async def _serve_requests(handler: PageHandler, caller: CallerConnection) -> None:
    """Respond to requests until the client disconnects or sends an invalid one."""
    try:
        while True:
            request = await caller.read_request(lambda: _LIMITS)
            page = await _get_page(request, handler)
            headers = [(b"Content-Length", str(len(page.body)).encode())]
            if page.content_type is not None:
                headers.append((b"Content-Type", page.content_type))
            with trio.move_on_after(SEND_TIMEOUT_S):
                await caller.send_answer(page.status, b"", headers, page.body)
            if not caller.finish():
                return
    except (CallerDisconnected, RequestRejected):
        return
