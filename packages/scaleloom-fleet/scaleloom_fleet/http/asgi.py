"""Requests, replies and routes on the ASGI interface of the HTTP server."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

import msgspec
import trio
from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError

JSON_TYPE = "application/json"
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class CallerDisconnected(Exception):
    """Raised if the caller disconnects before its request body is complete."""


@dataclass
class Request:
    """One HTTP request as the server received it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    receive: Receive
    send: Send
    path_params: dict[str, str] = field(default_factory=dict)

    async def read_body(
        self, limit_bytes: int, timeout_s: float
    ) -> Result[bytes, FleetError]:
        """
        Return the complete body, or the reason to refuse the request.

        Parameters
        ----------
        limit_bytes : int
            Maximum size. A larger body is refused as soon as its size is known.
        timeout_s : float
            Maximum time until the body is complete, in seconds.

        Raises
        ------
        CallerDisconnected
            If the caller disconnects before the body is complete.
        """
        declared_size = self.headers.get("content-length", "0")
        if declared_size.isdigit() and int(declared_size) > limit_bytes:
            return Failure(_body_too_large(int(declared_size), limit_bytes))
        with trio.move_on_after(timeout_s):
            return await self._collect_body(limit_bytes)
        detail = f"The request body was not complete within {timeout_s:g} s."
        return Failure(FleetError(ErrorKind.SENDER_TIMEOUT, detail))

    async def _collect_body(self, limit_bytes: int) -> Result[bytes, FleetError]:
        """Read messages until the body is complete or larger than the limit."""
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnected
            part = message.get("body", b"")
            size += len(part)
            if size > limit_bytes:
                return Failure(_body_too_large(size, limit_bytes))
            parts.append(part)
            if not message.get("more_body", False):
                return Success(b"".join(parts))

    async def wait_disconnect(self) -> None:
        """Wait until the caller disconnects."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


def _body_too_large(size: int, limit_bytes: int) -> FleetError:
    """Return the error for a body larger than the limit."""
    detail = f"The request body has at least {size} bytes; the limit is {limit_bytes}."
    return FleetError(ErrorKind.BODY_TOO_LARGE, detail)


@dataclass
class Reply:
    """A complete response that is not streamed."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: dict[str, str] = field(default_factory=dict)


class StreamCompleted:
    """
    The result of a handler that has sent a complete stream except for its end.

    The end of a response makes the server report a disconnect. The application
    therefore sends it only after the watch for a disconnect of the caller has ended.
    """


HandlerResult = Reply | StreamCompleted | None


def json_reply(value: object, status: int = 200) -> Reply:
    """Return a reply with `value` as JSON."""
    return Reply(status, msgspec.json.encode(value))


async def send_reply(send: Send, reply: Reply) -> None:
    """Send a complete reply."""
    headers = {
        "content-type": reply.content_type,
        "content-length": str(len(reply.body)),
        **reply.headers,
    }
    await start_response(send, reply.status, headers)
    await send({"type": "http.response.body", "body": reply.body})


async def start_response(send: Send, status: int, headers: dict[str, str]) -> None:
    """Send the status and headers of a response."""
    encoded = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers.items()]
    await send({"type": "http.response.start", "status": status, "headers": encoded})


async def send_body_part(send: Send, part: bytes) -> None:
    """Send a part of the body of a response."""
    await send({"type": "http.response.body", "body": part, "more_body": True})


async def end_response(send: Send) -> None:
    """Send the end of the body of a response."""
    await send({"type": "http.response.body", "body": b""})


Handler = Callable[[Request], Awaitable[HandlerResult]]


@dataclass(frozen=True)
class Route:
    """
    A method, a path pattern and the handler for matching requests.

    A segment ``{name}`` matches any one segment; a last segment ``{name*}`` matches the
    rest of the path.
    """

    method: str
    path: str
    handler: Handler

    def match(self, segments: list[str]) -> dict[str, str] | None:
        """Return the path parameters if `segments` match this route, else None."""
        pattern = self.path.strip("/").split("/")
        params: dict[str, str] = {}
        for position, part in enumerate(pattern):
            if part.endswith("*}"):
                params[part[1:-2]] = "/".join(segments[position:])
                return params
            if position >= len(segments):
                return None
            if part.startswith("{"):
                params[part[1:-1]] = segments[position]
            elif part != segments[position]:
                return None
        return params if len(pattern) == len(segments) else None


ANY_METHOD = "*"


def find_route(routes: list[Route], request: Request) -> Result[Handler, FleetError]:
    """Return the handler for `request`, and set the path parameters of `request`."""
    segments = request.path.strip("/").split("/")
    is_path_known = False
    for route in routes:
        params = route.match(segments)
        if params is None:
            continue
        is_path_known = True
        if route.method in (ANY_METHOD, request.method):
            request.path_params = params
            return Success(route.handler)
    if is_path_known:
        detail = f"{request.path!r} does not support the method {request.method}."
        return Failure(FleetError(ErrorKind.METHOD_NOT_ALLOWED, detail))
    return Failure(
        FleetError(ErrorKind.NOT_FOUND, f"Path {request.path!r} does not exist.")
    )


def make_request(scope: dict[str, Any], receive: Receive, send: Send) -> Request:
    """Return the request for an ASGI scope."""
    headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in scope["headers"]}
    query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
    return Request(scope["method"], scope["path"], query, headers, receive, send)
