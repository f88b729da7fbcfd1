"""Injection of faults into stand-ins, and the HTTP route that sets them."""

from collections.abc import Awaitable, Callable

import msgspec
import trio
from returns.result import Failure

from scaleloom_fleet.http.asgi import (
    Reply,
    Request,
    Route,
    json_reply,
    start_response,
)
from scaleloom_fleet.http.problems import StreamAborted

FAULT_BODY_LIMIT_BYTES = 65536
FAULT_BODY_TIMEOUT_S = 5.0
DOWN_STATUS = 503
TRUNCATED_HEADERS = {"content-length": "1"}
Handler = Callable[[Request], Awaitable[Reply | None]]


class Faults(msgspec.Struct):
    """
    Faults injected into a stand-in.

    Parameters
    ----------
    is_down : bool
        Answer every request with 503 before it has any effect.
    delay_s : float
        Delay of every request before it has any effect, in seconds.
    lost_answers : int
        Number of next requests that take effect but get a truncated response.
    lag_s : float
        Age of reported data, in seconds.
    lost_events : int
        Number of next cache events that are not published.
    cut_streams : int
        Number of next streams that are aborted after one part.
    burst_tokens : int
        Number of tokens of a response that are generated at once.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    lag_s: float = 0.0
    lost_events: int = 0
    cut_streams: int = 0
    burst_tokens: int = 1


class FaultInjector:
    """Current faults of one stand-in."""

    def __init__(self, faults: Faults | None = None) -> None:
        self.current = faults or Faults()

    def wrap(self, handler: Handler) -> Handler:
        """Return a handler that applies the current faults around `handler`."""

        async def handle_with_faults(request: Request) -> Reply | None:
            if self.current.is_down:
                return Reply(DOWN_STATUS)
            if self.current.delay_s:
                await trio.sleep(self.current.delay_s)
            reply = await handler(request)
            if self.current.lost_answers > 0:
                self.current.lost_answers -= 1
                await start_response(request.send, 200, TRUNCATED_HEADERS)
                raise StreamAborted
            return reply

        return handle_with_faults

    def route(self) -> Route:
        """Return the route that sets the faults."""
        return Route("PUT", "/faults", self._handle_set)

    async def _handle_set(self, request: Request) -> Reply:
        """Replace the current faults by those in the body."""
        received = await request.read_body(FAULT_BODY_LIMIT_BYTES, FAULT_BODY_TIMEOUT_S)
        if isinstance(received, Failure):
            return Reply(400)
        self.current = msgspec.json.decode(received.unwrap(), type=Faults)
        return json_reply(self.current)
