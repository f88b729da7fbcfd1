"""Request handler of the chat completion endpoint."""

from scaleloom_fleet.http.asgi import HandlerResult, Request
from scaleloom_fleet.http.problems import problem_reply
from scaleloom_fleet.router.chat_context import REQUEST_HEADER, read_chat_context
from scaleloom_fleet.router.chat_search import route_chat
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.utils.clock import now_s
from scaleloom_fleet.utils.tracing import root_span


async def handle_chat(state: RouterState, request: Request) -> HandlerResult:
    """Handle `POST /v1/chat/completions`."""
    started_s = now_s()
    state.metrics.count("requests")
    ratio = state.settings.observe.trace_ratio
    with root_span("router", request.headers, ratio, path=request.path):
        parsed = await read_chat_context(state, request)
        context = parsed.value_or(None)
        if context is None:
            state.metrics.count("refused")
            request_id = request.headers.get(REQUEST_HEADER)
            return problem_reply(parsed.failure(), request_id)
        state.retry_budget.record_request()
        reply = await state.watch.serve(
            request, lambda: route_chat(state, request, context)
        )
    state.metrics.timing("request", now_s() - started_s)
    return reply
