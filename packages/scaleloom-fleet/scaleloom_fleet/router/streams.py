"""Relay of streamed answers; a broken stream is resumed at its offset."""

import httpcore
import msgspec
import trio

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import AttemptId, TargetId
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.asgi import (
    Request,
    StreamCompleted,
    send_body_part,
    start_response,
)
from scaleloom_fleet.http.problems import make_problem
from scaleloom_fleet.http.relay import StreamRelay
from scaleloom_fleet.router.offers import OfferStatus, open_offer
from scaleloom_fleet.router.state import RouterState

STREAM_TYPE = "text/event-stream"
REQUEST_HEADER = "x-request-id"
MAX_RESUMES = 3
# Before the second and later resumes, growing: the first one is made at once.
RESUME_PAUSE_S = 0.2
CANCEL_TIMEOUT_S = 1.0
HTTP_OK = 200


async def relay_stream(
    state: RouterState,
    request: Request,
    request_id: str,
    target: TargetId,
    response: httpcore.Response,
    attempt: AttemptId,
) -> StreamCompleted:
    """Relay a streamed answer; a stream that cannot be resumed ends with an error."""
    headers = {
        "content-type": STREAM_TYPE,
        "cache-control": "no-cache",
        REQUEST_HEADER: request_id,
    }
    await start_response(request.send, response.status, headers)
    relay = StreamRelay(request.send)
    try:
        is_complete = await relay.forward(response)
        resumes = 0
        while not is_complete and resumes < MAX_RESUMES:
            await trio.sleep(resumes * RESUME_PAUSE_S)
            resumes += 1
            state.metrics.count("resumes")
            is_complete = await _resume(state, target, attempt, relay)
    except trio.Cancelled:
        with trio.CancelScope(shield=True):
            await _cancel_stream(state, target, attempt)
        raise
    state.metrics.count("served" if is_complete else "cut")
    if not is_complete:
        await send_body_part(request.send, _truncation_event(request_id))
    return StreamCompleted()


async def _resume(
    state: RouterState, target: TargetId, attempt: AttemptId, relay: StreamRelay
) -> bool:
    """Resume a broken stream at its offset; return whether it was completed."""
    headers = {hops.SECRET_HEADER: state.settings.instance.fleet_secret}
    path = f"/streams/{attempt}?from={relay.offset}"
    async with open_offer(state, target, "GET", path, headers, b"", attempt) as result:
        if result.offer_status is not OfferStatus.ANSWERED:
            return False
        if result.response.status != HTTP_OK:
            return False
        return await relay.forward(result.response)


async def _cancel_stream(
    state: RouterState, target: TargetId, attempt: AttemptId
) -> None:
    """Cancel the stream at the sidecar after its caller disconnected."""
    address = state.address_of(target)
    if address is None:
        return
    headers = {hops.SECRET_HEADER: state.settings.instance.fleet_secret}
    url = address.url(f"/streams/{attempt}")
    await state.client.request("DELETE", url, headers, timeout_s=CANCEL_TIMEOUT_S)


def _truncation_event(request_id: str) -> bytes:
    """Return the event that marks a streamed answer as truncated."""
    detail = "The streamed answer broke off and could not be resumed."
    error = FleetError(ErrorKind.ANSWER_TRUNCATED, detail, attempt_sent=True)
    body = msgspec.json.encode(make_problem(error, request_id))
    return b"data: " + body + b"\n\n"
