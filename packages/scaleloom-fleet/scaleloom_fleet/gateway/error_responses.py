"""Error answers that the gateway itself sends, as problem details."""

import msgspec
import trio

from scaleloom_core.errors import ERROR_RESPONSES, FleetError, Outcome, RetryAdvice
from scaleloom_fleet.http1.callers import CallerConnection
from scaleloom_fleet.http1.links import HeaderList

PROBLEM_TYPE = b"application/problem+json"
DEFAULT_RETRY_AFTER_S = 0.3
# No caller has more time left than a day.
MAX_RETRY_AFTER_S = 86_400.0
_REASONS = {
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}


class Problem(msgspec.Struct, frozen=True):
    """Body of an error answer, as problem details (RFC 9457)."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str


def closing_headers(is_stopping: bool) -> HeaderList:
    """Return the header that makes callers of a stopping process reconnect."""
    return [(b"Connection", b"close")] if is_stopping else []


async def send_error(
    connection: CallerConnection, error: FleetError, is_stopping: bool
) -> None:
    """Send the answer that the table of errors defines for `error`."""
    answer = ERROR_RESPONSES[error.kind]
    problem = Problem(
        error.kind.value,
        answer.title,
        answer.status,
        error.detail,
        error.known_outcome.value,
    )
    headers = closing_headers(is_stopping)
    is_not_run = error.known_outcome is Outcome.NOT_RUN
    if is_not_run and answer.advice is RetryAdvice.LATER:
        after_s = error.retry_after_s or DEFAULT_RETRY_AFTER_S
        after_s = min(after_s, MAX_RETRY_AFTER_S)
        headers.append((b"Retry-After", f"{after_s:.2f}".encode()))
    await send_problem(connection, answer.status, problem, headers)


async def send_problem(
    connection: CallerConnection, status: int, problem: Problem, headers: HeaderList
) -> None:
    """Send a complete answer with `problem` as its body."""
    body = msgspec.json.encode(problem)
    all_headers = [
        (b"Content-Type", PROBLEM_TYPE),
        (b"Content-Length", str(len(body)).encode()),
        *headers,
    ]
    # A caller that reads nothing must not keep the request open.
    with trio.move_on_after(1.0):
        await connection.send_answer(
            status, _REASONS.get(status, b""), all_headers, body
        )


async def send_rejection(connection: CallerConnection, status: int) -> None:
    """Answer a malformed request, and ask the caller to close the connection."""
    problem = Problem("bad_request", "Malformed request", status, "", "not_run")
    await send_problem(connection, status, problem, [(b"Connection", b"close")])
