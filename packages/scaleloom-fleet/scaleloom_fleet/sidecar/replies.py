"""Parsing of a router's request and the replies common to all handlers."""

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.asgi import Reply
from scaleloom_fleet.http.problems import problem_reply
from scaleloom_fleet.sidecar.state import SidecarState


def read_authentic_hop(
    state: SidecarState, headers: dict[str, str]
) -> Result[hops.Hop, Reply]:
    """Return the hop that a router sent, or the reply that refuses the request."""
    if not state.is_authentic(headers):
        return Failure(forbidden_reply())
    try:
        return Success(hops.read_hop(headers))
    except (KeyError, msgspec.DecodeError) as error:
        refusal = FleetError(ErrorKind.BAD_REQUEST, f"Invalid hop header: {error}")
        return Failure(problem_reply(refusal))


def refusal_reply(state: SidecarState, attempt: str, error: FleetError) -> Reply:
    """Return the reply that reports a refusal to the router."""
    state.metrics.count(f"refusals.{error.kind.value}")
    reply = problem_reply(error)
    reply.headers.update(hops.refusal_headers(error))
    reply.headers.update(attempt_headers(state, attempt))
    reply.body = error.detail.encode()
    return reply


def attempt_headers(state: SidecarState, attempt: str) -> dict[str, str]:
    """Return the headers that every reply to a router carries."""
    headers = {hops.ATTEMPT_HEADER: attempt}
    if state.admission.is_draining:
        headers[hops.LEAVING_HEADER] = "1"
    return headers


def forbidden_reply() -> Reply:
    """Return the reply to a request without the secret of the fleet."""
    detail = "Only processes of the fleet may send requests to a sidecar."
    return problem_reply(FleetError(ErrorKind.FORBIDDEN, detail))
