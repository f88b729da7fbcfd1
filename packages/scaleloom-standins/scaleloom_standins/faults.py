"""Faults that a stand-in takes as inputs, and the pages that set them."""

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
FAULT_TIMEOUT_S = 5.0
DOWN_STATUS = 503
CUT_HEADERS = {"content-length": "1"}
Handler = Callable[[Request], Awaitable[Reply | None]]


class Faults(msgspec.Struct):
    """What is wrong with a stand-in now.

    Parameters
    ----------
    is_down : bool
        Every request is answered 503 before it has any effect.
    delay_s : float
        Every request is delayed by this before it has any effect.
    lost_answers : int
        So many requests take effect and get no answer.
    lag_s : float
        How old what is reported is.
    lost_events : int
        So many cache events are never published.
    cut_streams : int
        So many streams break after their first part.
    burst_tokens : int
        So many tokens of an answer are given at once.
    """

    is_down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    lag_s: float = 0.0
    lost_events: int = 0
    cut_streams: int = 0
    burst_tokens: int = 1


class FaultBox:
    """Holds the faults of one stand-in."""

    def __init__(self, faults: Faults | None = None) -> None:
        self.now = faults or Faults()

    def faulty(self, handler: Handler) -> Handler:
        """Return `handler` with this box's faults around it."""

        async def guarded(request: Request) -> Reply | None:
            if self.now.is_down:
                return Reply(DOWN_STATUS)
            if self.now.delay_s:
                await trio.sleep(self.now.delay_s)
            reply = await handler(request)
            if self.now.lost_answers > 0:
                self.now.lost_answers -= 1
                await start_response(request.send, 200, CUT_HEADERS)
                raise StreamAborted
            return reply

        return guarded

    def route(self) -> Route:
        """Return the page that sets the faults."""
        return Route("PUT", "/faults", self._handle_set)

    async def _handle_set(self, request: Request) -> Reply:
        """Replace the faults."""
        received = await request.read_body(FAULT_BODY_LIMIT_BYTES, FAULT_TIMEOUT_S)
        if isinstance(received, Failure):
            return Reply(400)
        self.now = msgspec.json.decode(received.unwrap(), type=Faults)
        return json_reply(self.now)
