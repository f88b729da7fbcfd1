"""Replies in `application/problem+json` for errors, and the ASGI application."""

import logging
import math
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from scaleloom_core.errors import (
    DEFAULT_RETRY_AFTER_S,
    ErrorKind,
    FleetError,
    RetryAdvice,
)
from scaleloom_fleet.http.asgi import (
    CallerDisconnected,
    HandlerResult,
    Receive,
    Reply,
    Request,
    Route,
    Send,
    StreamCompleted,
    end_response,
    find_route,
    make_request,
    send_reply,
)

PROBLEM_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:scaleloom:error:"

_logger = logging.getLogger("scaleloom.http")


class StreamAborted(Exception):
    """Raised to abort a streamed response, so that its caller sees it as truncated."""


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of an error reply, as specified by RFC 9457."""

    type: str
    title: str
    status: int
    detail: str
    kind: str
    outcome: str
    retry: str
    attempt_sent: bool | None = None
    retry_after_s: float | None = None
    request_id: str | None = None
    error: dict[str, str] | None = None


def make_problem(error: FleetError, request_id: str | None = None) -> Problem:
    """Return the body of the reply for `error`."""
    response = error.response
    return Problem(
        type=TYPE_PREFIX + error.kind.value,
        title=response.title,
        status=response.status,
        detail=error.detail,
        kind=error.kind.value,
        outcome=error.known_outcome.value,
        retry=response.advice.value,
        attempt_sent=error.attempt_sent,
        retry_after_s=_retry_after_s(error),
        request_id=request_id,
        error={"message": error.detail, "type": error.kind.value},
    )


def problem_reply(error: FleetError, request_id: str | None = None) -> Reply:
    """Return the reply for `error`, and log the error."""
    body = msgspec.json.encode(make_problem(error, request_id))
    headers: dict[str, str] = {}
    retry_after_s = _retry_after_s(error)
    if retry_after_s is not None:
        headers["retry-after"] = str(max(1, math.ceil(retry_after_s)))
    _logger.log(
        error.response.log_level,
        "request refused",
        extra={
            "kind": error.kind.value,
            "detail": error.detail,
            "request_id": request_id,
        },
    )
    return Reply(error.response.status, body, PROBLEM_TYPE, headers)


def _retry_after_s(error: FleetError) -> float | None:
    """Return the time to wait before a retry, or None if a retry does not help."""
    if error.response.advice in (RetryAdvice.NEVER, RetryAdvice.NEW_KEY):
        return None
    if error.retry_after_s is None:
        return DEFAULT_RETRY_AFTER_S
    return round(error.retry_after_s, 3)


Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]


def make_application(
    routes: list[Route], extra_headers: Callable[[], dict[str, str]] = dict
) -> Application:
    """
    Return an ASGI application over `routes`.

    Parameters
    ----------
    routes : list of Route
        The first route that matches a request handles the request.
    extra_headers : callable
        Returns headers to add to every reply that is not streamed, such as
        ``connection: close`` while the process stops.
    """

    async def application(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _acknowledge_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        request = make_request(scope, receive, send)
        reply = await _handle(routes, request)
        if isinstance(reply, StreamCompleted):
            await end_response(send)
        elif reply is not None:
            reply.headers.update(extra_headers())
            await send_reply(send, reply)

    return application


async def _acknowledge_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the lifespan messages of the server, which need no action."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _handle(routes: list[Route], request: Request) -> HandlerResult:
    """Run the handler for `request`, and return what remains to be sent."""
    found = find_route(routes, request)
    handler = found.value_or(None)
    if handler is None:
        return problem_reply(found.failure())
    try:
        return await handler(request)
    except CallerDisconnected:
        return None
    except StreamAborted:
        raise
    except Exception:
        _logger.exception(
            "request handler raised an exception", extra={"path": request.path}
        )
        detail = "The request failed with an internal error; the log has the details."
        return problem_reply(FleetError(ErrorKind.INTERNAL, detail))
