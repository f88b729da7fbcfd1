"""HTTP routes of the simulated engine."""

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
from scaleloom_standins.engine import EngineSimulator, EngineStream, load_assignment

BODY_LIMIT_BYTES = 32 << 20
BODY_TIMEOUT_S = 20.0
STREAM_TYPE = "text/event-stream"
LOADING_STATUS = 503
STALE_TOKEN_STATUS = 412


async def _send_stream(
    simulator: EngineSimulator, request: Request, stream: EngineStream, offset: int
) -> None:
    """Send `stream` from byte `offset` to its end, waiting for parts as needed."""
    await start_response(request.send, 200, {"content-type": STREAM_TYPE})
    while True:
        changed = stream.changed
        is_done = stream.is_done
        for part in split_events(bytes(stream.parts[offset:])):
            await send_body_part(request.send, part)
            offset += len(part)
            if simulator.faults.current.cut_streams > 0:
                simulator.faults.current.cut_streams -= 1
                raise StreamAborted
        if is_done:
            break
        await changed.wait()
    if stream.is_cancelled:
        raise StreamAborted
    await end_response(request.send)


def engine_routes(simulator: EngineSimulator) -> list[Route]:
    """Return the routes of the engine."""

    async def handle_completion(request: Request) -> Reply | None:
        with hop_span("target", read_context(request.headers)):
            received = await request.read_body(BODY_LIMIT_BYTES, BODY_TIMEOUT_S)
            if isinstance(received, Failure):
                return Reply(400)
            if simulator.is_loading:
                return Reply(LOADING_STATUS)
            prompt = msgspec.json.decode(received.unwrap(), type=Prompt)
            headers = request.headers
            stream_id = headers.get("x-stream-id", str(len(simulator.served)))
            chat = headers.get("x-chat-id", stream_id)
            priority = int(headers.get("x-priority", "0"))
            stream = simulator.start(stream_id, chat, priority, prompt)
            if prompt.stream:
                return await _send_stream(simulator, request, stream, 0)
            while not stream.is_done:
                await stream.changed.wait()
            return Reply(200, bytes(stream.parts))

    async def handle_resume(request: Request) -> Reply | None:
        stream = simulator.streams.get(request.path_params["stream"])
        if stream is None:
            return Reply(404)
        offset = int(request.query.get("from", "0"))
        return await _send_stream(simulator, request, stream, offset)

    async def handle_cancel(request: Request) -> Reply:
        stream = simulator.streams.get(request.path_params["stream"])
        if stream is not None:
            stream.is_cancelled = True
            simulator.cancelled += 1
            stream.scope.cancel()
        return json_reply({})

    async def handle_load(request: Request) -> Reply:
        return json_reply(simulator.delayed_load())

    async def handle_events(request: Request) -> Reply:
        after = int(request.query.get("after", "-1"))
        before_s = trio.current_time() - simulator.faults.current.lag_s
        return json_reply({"events": simulator.cache.events_after(after, before_s)})

    async def handle_order(request: Request) -> Reply:
        received = await request.read_body(BODY_LIMIT_BYTES, BODY_TIMEOUT_S)
        token = int(request.headers.get(FENCING_HEADER, "-1"))
        if token < simulator.newest_token:
            return Reply(STALE_TOKEN_STATUS)
        simulator.newest_token = token
        await load_assignment(
            simulator, msgspec.json.decode(received.unwrap(), type=LoadOrder)
        )
        return json_reply({})

    async def handle_figures(request: Request) -> Reply:
        return json_reply(
            {
                "begun": simulator.begun,
                "cancelled": simulator.cancelled,
                "served": simulator.served,
                "prompt_tokens": simulator.prompt_tokens,
                "cached_prompt_tokens": simulator.cached_prompt_tokens,
                "peak_running": simulator.peak_running,
                "open_streams": len(simulator.streams),
            }
        )

    return [
        Route("POST", "/v1/chat/completions", simulator.faults.wrap(handle_completion)),
        Route("GET", "/streams/{stream}", handle_resume),
        Route("DELETE", "/streams/{stream}", handle_cancel),
        Route("GET", "/load", simulator.faults.wrap(handle_load)),
        Route("GET", "/cache/events", simulator.faults.wrap(handle_events)),
        Route("POST", "/orders", simulator.faults.wrap(handle_order)),
        Route("GET", "/figures", handle_figures),
        simulator.faults.route(),
    ]
