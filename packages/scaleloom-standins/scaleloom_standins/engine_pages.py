"""The HTTP pages of a stand-in engine."""

import msgspec
import trio
from returns.result import Failure

from scaleloom_fleet.http.asgi import (
    Reply,
    Request,
    Route,
    end_response,
    json_reply,
    send_body_part,
    start_response,
)
from scaleloom_fleet.http.problems import StreamAborted
from scaleloom_fleet.platform.engine import FENCING_HEADER, LoadOrder
from scaleloom_fleet.utils.tracing import hop_span, read_context
from scaleloom_standins.completions import Prompt, split_events
from scaleloom_standins.engine import EngineModel, EngineStream, load_assignment

BODY_LIMIT_BYTES = 32 << 20
BODY_TIMEOUT_S = 20.0
STREAM_TYPE = "text/event-stream"
LOADING_STATUS = 503
STALE_TOKEN = 412


async def _send_stream(
    model: EngineModel, request: Request, stream: EngineStream, offset: int
) -> None:
    """Send a stream from `offset` to its end."""
    await start_response(request.send, 200, {"content-type": STREAM_TYPE})
    while True:
        has_news = stream.has_news
        is_done = stream.is_done
        for part in split_events(bytes(stream.parts[offset:])):
            await send_body_part(request.send, part)
            offset += len(part)
            if model.faults.now.cut_streams > 0:
                model.faults.now.cut_streams -= 1
                raise StreamAborted
        if is_done:
            break
        await has_news.wait()
    if stream.is_cancelled:
        raise StreamAborted
    await end_response(request.send)


def engine_routes(model: EngineModel) -> list[Route]:
    """Return the pages of the engine."""

    async def handle_completion(request: Request) -> Reply | None:
        with hop_span("target", read_context(request.headers)):
            received = await request.read_body(BODY_LIMIT_BYTES, BODY_TIMEOUT_S)
            if isinstance(received, Failure):
                return Reply(400)
            if model.is_loading:
                return Reply(LOADING_STATUS)
            prompt = msgspec.json.decode(received.unwrap(), type=Prompt)
            headers = request.headers
            stream_id = headers.get("x-stream-id", str(len(model.served)))
            chat = headers.get("x-chat-id", stream_id)
            priority = int(headers.get("x-priority", "0"))
            stream = model.begin(stream_id, chat, priority, prompt)
            if prompt.stream:
                return await _send_stream(model, request, stream, 0)
            while not stream.is_done:
                await stream.has_news.wait()
            return Reply(200, bytes(stream.parts))

    async def handle_resume(request: Request) -> Reply | None:
        stream = model.streams.get(request.path_params["stream"])
        if stream is None:
            return Reply(404)
        offset = int(request.query.get("from", "0"))
        return await _send_stream(model, request, stream, offset)

    async def handle_cancel(request: Request) -> Reply:
        stream = model.streams.get(request.path_params["stream"])
        if stream is not None:
            stream.is_cancelled = True
            model.cancelled += 1
            stream.scope.cancel()
        return json_reply({})

    async def handle_load(request: Request) -> Reply:
        return json_reply(model.report())

    async def handle_events(request: Request) -> Reply:
        after = int(request.query.get("after", "-1"))
        before_s = trio.current_time() - model.faults.now.lag_s
        return json_reply({"events": model.cache.events_after(after, before_s)})

    async def handle_order(request: Request) -> Reply:
        received = await request.read_body(BODY_LIMIT_BYTES, BODY_TIMEOUT_S)
        token = int(request.headers.get(FENCING_HEADER, "-1"))
        if token < model.newest_token:
            return Reply(STALE_TOKEN)
        model.newest_token = token
        await load_assignment(
            model, msgspec.json.decode(received.unwrap(), type=LoadOrder)
        )
        return json_reply({})

    async def handle_figures(request: Request) -> Reply:
        return json_reply(
            {
                "begun": model.begun,
                "cancelled": model.cancelled,
                "served": model.served,
                "prompt_tokens": model.prompt_tokens,
                "cached_prompt_tokens": model.cached_prompt_tokens,
                "peak_running": model.peak_running,
                "open_streams": len(model.streams),
            }
        )

    return [
        Route("POST", "/v1/chat/completions", model.faults.faulty(handle_completion)),
        Route("GET", "/streams/{stream}", handle_resume),
        Route("DELETE", "/streams/{stream}", handle_cancel),
        Route("GET", "/load", model.faults.faulty(handle_load)),
        Route("GET", "/cache/events", model.faults.faulty(handle_events)),
        Route("POST", "/orders", model.faults.faulty(handle_order)),
        Route("GET", "/figures", handle_figures),
        model.faults.route(),
    ]
