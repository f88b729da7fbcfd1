"""Cancellation of request handlers whose callers have disconnected."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from scaleloom_fleet.http.asgi import HandlerResult, Request

WATCH_DELAY_S = 0.25


@dataclass(eq=False)
class _ServedRequest:
    """A request being served, and the cancel scopes of its handler and its watch."""

    request: Request
    serve_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    watch_scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class DisconnectWatch:
    """
    Cancels the handlers of requests whose callers disconnect.

    A watch is a task, which is too costly for a short request, so a watch starts only
    after a request has been served for at least `WATCH_DELAY_S`.
    """

    def __init__(self) -> None:
        self._unwatched: set[_ServedRequest] = set()

    async def run(self) -> None:
        """Start the watches of long requests until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                pending = list(self._unwatched)
                await trio.sleep(WATCH_DELAY_S)
                for served in pending:
                    if served in self._unwatched:
                        self._unwatched.discard(served)
                        nursery.start_soon(_watch, served)

    async def serve(
        self, request: Request, serve: Callable[[], Awaitable[HandlerResult]]
    ) -> HandlerResult:
        """Return the result of `serve`, or None if the caller disconnects."""
        served = _ServedRequest(request)
        self._unwatched.add(served)
        try:
            with served.serve_scope:
                return await serve()
            return None
        finally:
            self._unwatched.discard(served)
            served.watch_scope.cancel()


async def _watch(served: _ServedRequest) -> None:
    """Cancel the handler of a request when its caller disconnects."""
    with served.watch_scope:
        await served.request.wait_disconnect()
        served.serve_scope.cancel()
