"""Small pages for machines: one answer to a question without a body."""

import socket
from collections.abc import Awaitable, Callable

import msgspec
import trio

from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerGone,
    CallerLimits,
    CallerRequest,
    RequestRejected,
)

# A reader that takes no bytes must not keep a page and a descriptor for ever.
SEND_TIMEOUT_S = 5.0
# Another method could turn the connection into something else.
METHODS = frozenset({b"GET", b"HEAD"})
NOT_ALLOWED = 405
_LIMITS = CallerLimits(
    header_bytes=8192,
    body_bytes=0,
    header_timeout_s=3.0,
    idle_timeout_s=30.0,
    body_timeout_s=1.0,
)


class Page(msgspec.Struct, frozen=True):
    """What is answered to one question."""

    status: int
    body: bytes = b""
    content_type: bytes | None = None


MakePage = Callable[[bytes], Awaitable[Page]]


async def answer_forever(
    make_page: MakePage,
    listener: socket.socket,
    nursery: trio.Nursery,
    connection_limit: int | None = None,
) -> None:
    """
    Answer every question that arrives at `listener`.

    Parameters
    ----------
    make_page : callable
        Returns the answer to a path.
    connection_limit : int or None
        How many connections are answered at a time; others are closed.
    """
    open_connections: set[socket.socket] = set()

    async def answer(connection: socket.socket) -> None:
        try:
            await _answer_connection(make_page, connection)
        finally:
            open_connections.discard(connection)

    while True:
        connection = await sockets.accept(listener)
        if connection_limit is not None and len(open_connections) >= connection_limit:
            connection.close()
            continue
        open_connections.add(connection)
        nursery.start_soon(answer, connection)


async def _answer_connection(make_page: MakePage, connection: socket.socket) -> None:
    """Answer the questions of one connection."""
    caller = CallerConnection(connection)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.read_forever)
            await _answer_questions(make_page, caller)
            nursery.cancel_scope.cancel()
    finally:
        caller.close()


async def _page_for(request: CallerRequest, make_page: MakePage) -> Page:
    """Return the answer to one question."""
    if request.method not in METHODS:
        return Page(NOT_ALLOWED)
    return await make_page(request.target.partition(b"?")[0])


async def _answer_questions(make_page: MakePage, caller: CallerConnection) -> None:
    """Answer one question after another."""
    try:
        while True:
            request = await caller.read_request(_LIMITS)
            page = await _page_for(request, make_page)
            headers = [(b"Content-Length", str(len(page.body)).encode())]
            if page.content_type is not None:
                headers.append((b"Content-Type", page.content_type))
            with trio.move_on_after(SEND_TIMEOUT_S):
                await caller.send_answer(page.status, b"", headers, page.body)
            if not caller.finish():
                return
    except (CallerGone, RequestRejected):
        return
