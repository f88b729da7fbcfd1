"""Handlers that admit, forward, resume and cancel chat completions."""

import httpcore
import trio
from returns.result import Failure

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.answer_ends import read_complete
from scaleloom_fleet.http.asgi import (
    HandlerResult,
    Reply,
    Request,
    StreamCompleted,
    json_reply,
    start_response,
)
from scaleloom_fleet.http.clients import (
    NEVER_SENT_ERRORS,
    TRANSPORT_ERRORS,
    decode_headers,
    describe_error,
)
from scaleloom_fleet.http.problems import StreamAborted, problem_reply
from scaleloom_fleet.http.relay import StreamRelay
from scaleloom_fleet.sidecar.load_sampling import sample_now
from scaleloom_fleet.sidecar.open_streams import OpenStream
from scaleloom_fleet.sidecar.replies import (
    attempt_headers,
    forbidden_reply,
    read_authentic_hop,
    refusal_reply,
)
from scaleloom_fleet.sidecar.state import SidecarState
from scaleloom_fleet.utils.clock import now_s
from scaleloom_fleet.utils.tracing import context_headers, hop_span, read_context

COMPLETIONS_METHOD = "POST"
COMPLETIONS_PATH = "/v1/chat/completions"
EVENT_STREAM_TYPE = "text/event-stream"
STREAM_ID_HEADER = "x-stream-id"
PRIORITY_HEADER = "x-priority"
CHAT_HEADER = "x-chat-id"
MIN_SERVER_ERROR_STATUS = 500
HTTP_OK = 200
MAX_RESUMES = 3
# Before the second and later resumes, growing: the first one is made at once.
RESUME_PAUSE_S = 0.2


async def handle_completion(state: SidecarState, request: Request) -> HandlerResult:
    """Admit a completion and forward it to the engine, or refuse it."""
    hop_result = read_authentic_hop(state, request.headers)
    hop = hop_result.value_or(None)
    if hop is None:
        return hop_result.failure()
    with hop_span("sidecar", read_context(request.headers), target=state.name):
        if not state.serves(hop.model):
            detail = f"The engine has not loaded model {hop.model!r} yet."
            return refusal_reply(
                state, hop.attempt, FleetError(ErrorKind.NOT_READY, detail)
            )
        limits = state.settings.limits
        body_result = await request.read_body(
            limits.body_limit_bytes, limits.body_timeout_s
        )
        if isinstance(body_result, Failure):
            return refusal_reply(state, hop.attempt, body_result.failure())
        if state.admission.needs_fresh_mean(now_s()):
            await sample_now(state)
        admission_result = state.admission.decide(hop.offer, now_s())
        if isinstance(admission_result, Failure):
            return refusal_reply(state, hop.attempt, admission_result.failure())
        state.metrics.count("admitted")
        stream = OpenStream(hop.attempt, admission_result.unwrap())
        state.streams[hop.attempt] = stream
        headers = _engine_headers(hop)
        return await _read_stream(
            state,
            request,
            stream,
            lambda: _forward_request(
                state, request, stream, headers, body_result.unwrap()
            ),
        )


def _engine_headers(hop: hops.Hop) -> dict[str, str]:
    """Return the headers of the request to the engine."""
    return {
        "content-type": "application/json",
        STREAM_ID_HEADER: hop.attempt,
        PRIORITY_HEADER: str(hop.priority),
        CHAT_HEADER: hop.chat,
        **context_headers(),
    }


async def _read_stream(
    state: SidecarState, request: Request, stream: OpenStream, forward
) -> HandlerResult:
    """Run `forward` as the stream's only reader, then release or retain the stream."""
    reader_number = stream.take_over()
    try:
        return await state.disconnect_watch.serve(request, forward)
    finally:
        if stream.reader_number == reader_number:
            _finish_reading(state, stream)


def _finish_reading(state: SidecarState, stream: OpenStream) -> None:
    """Release the slot of an ended stream, or wait for the router to resume."""
    if stream.is_ended:
        _release_slot(state, stream)
    else:
        state.nursery.start_soon(_cancel_unless_resumed, state, stream)


def _release_slot(state: SidecarState, stream: OpenStream) -> None:
    """
    Release the slot of an ended stream.

    The stream stays resumable for `resume_wait_s`, since its last bytes may have been
    lost on the way to the router.
    """
    if stream.is_slot_released:
        return
    stream.is_slot_released = True
    state.admission.finish(stream.ticket, now_s(), stream.is_complete)
    state.nursery.start_soon(_remove_after_wait, state, stream)


async def _remove_after_wait(state: SidecarState, stream: OpenStream) -> None:
    """Remove an ended stream once the time to resume the stream has passed."""
    await trio.sleep(state.settings.target.resume_wait_s)
    state.streams.pop(stream.attempt, None)


async def _cancel_unless_resumed(state: SidecarState, stream: OpenStream) -> None:
    """Cancel a stream without a reader unless a reader resumes it in time."""
    reader_changed = stream.reader_changed
    with trio.move_on_after(state.settings.target.resume_wait_s):
        await reader_changed.wait()
        return
    await _cancel_stream(state, stream)


async def _cancel_stream(state: SidecarState, stream: OpenStream) -> None:
    """Cancel a stream at the engine and release its slot."""
    state.metrics.count("cancelled")
    stream.mark_ended(is_complete=False)
    await state.engine.cancel(stream.attempt)
    _release_slot(state, stream)


async def _forward_request(
    state: SidecarState,
    request: Request,
    stream: OpenStream,
    headers: dict[str, str],
    body: bytes,
) -> HandlerResult:
    """Send the request to the engine and forward its answer."""
    url = state.target_address.url(COMPLETIONS_PATH)
    try:
        async with state.client.stream(
            COMPLETIONS_METHOD, url, headers, body
        ) as response:
            return await _forward_answer(state, request, stream, response)
    except (*NEVER_SENT_ERRORS, *TRANSPORT_ERRORS) as error:
        stream.mark_ended(is_complete=False)
        return _engine_failure_reply(state, stream, describe_error(error))


def _engine_failure_reply(
    state: SidecarState, stream: OpenStream, detail: str
) -> Reply:
    """Return the reply that reports a failure of the engine to the router."""
    error = FleetError(ErrorKind.TARGET_FAILED, detail, attempt_sent=True)
    return refusal_reply(state, stream.attempt, error)


async def _forward_answer(
    state: SidecarState,
    request: Request,
    stream: OpenStream,
    response: httpcore.Response,
) -> HandlerResult:
    """Forward an answer of the engine, as a stream if the engine streams the answer."""
    headers = decode_headers(response)
    if response.status >= MIN_SERVER_ERROR_STATUS:
        stream.mark_ended(is_complete=False)
        return _engine_failure_reply(
            state, stream, f"The engine answered with status {response.status}."
        )
    content_type = headers.get("content-type", "")
    if not content_type.startswith(EVENT_STREAM_TYPE):
        body = await read_complete(response, COMPLETIONS_METHOD)
        stream.mark_ended(is_complete=True)
        return Reply(
            response.status, body, content_type, attempt_headers(state, stream.attempt)
        )
    await _start_answer(state, request, stream, response.status)
    relay = StreamRelay(request.send)
    is_complete = await relay.forward(response)
    return await _forward_to_end(state, stream, relay, is_complete)


async def _start_answer(
    state: SidecarState, request: Request, stream: OpenStream, status: int
) -> None:
    """Send the status and headers of a streamed answer to the router."""
    headers = {
        "content-type": EVENT_STREAM_TYPE,
        **attempt_headers(state, stream.attempt),
    }
    await start_response(request.send, status, headers)


async def _forward_to_end(
    state: SidecarState, stream: OpenStream, relay: StreamRelay, is_complete: bool
) -> StreamCompleted:
    """
    Resume a cut stream at the engine until the stream is complete.

    Raises
    ------
    StreamAborted
        If the stream is still incomplete after `MAX_RESUMES` resumes.
    """
    resumes = 0
    while not is_complete and resumes < MAX_RESUMES:
        await trio.sleep(resumes * RESUME_PAUSE_S)
        resumes += 1
        state.metrics.count("engine_resumes")
        is_complete = await _resume_at_engine(state, stream, relay)
    stream.mark_ended(is_complete)
    if not is_complete:
        raise StreamAborted
    return StreamCompleted()


async def _resume_at_engine(
    state: SidecarState, stream: OpenStream, relay: StreamRelay
) -> bool:
    """Resume the engine's stream at the relay's offset; return whether it completed."""
    path = f"/streams/{stream.attempt}?from={relay.offset}"
    try:
        url = state.target_address.url(path)
        async with state.client.stream("GET", url) as response:
            if response.status != HTTP_OK:
                return False
            return await relay.forward(response)
    except (*NEVER_SENT_ERRORS, *TRANSPORT_ERRORS):
        return False


async def handle_resume(state: SidecarState, request: Request) -> HandlerResult:
    """Resume a stream whose router lost its connection."""
    if not state.is_authentic(request.headers):
        return forbidden_reply()
    stream = state.streams.get(request.path_params["attempt"])
    offset = request.query.get("from", "")
    if stream is None or not offset.isdigit():
        detail = f"There is no stream {request.path_params['attempt']!r} to resume."
        return problem_reply(FleetError(ErrorKind.NOT_FOUND, detail))
    relay = StreamRelay(request.send, int(offset))

    async def forward() -> StreamCompleted:
        await _start_answer(state, request, stream, HTTP_OK)
        return await _forward_to_end(state, stream, relay, is_complete=False)

    return await _read_stream(state, request, stream, forward)


async def handle_cancel(state: SidecarState, request: Request) -> Reply:
    """Cancel a stream whose caller has disconnected."""
    if not state.is_authentic(request.headers):
        return forbidden_reply()
    stream = state.streams.get(request.path_params["attempt"])
    if stream is None:
        return json_reply({"is_cancelled": False})
    stream.take_over()
    await _cancel_stream(state, stream)
    return json_reply({"is_cancelled": True})
