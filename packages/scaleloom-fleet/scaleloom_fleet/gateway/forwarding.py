"""Forwarding of a target's answer to the caller."""

from collections.abc import Callable
from functools import partial

import trio

from scaleloom_core.memory_account import (
    SHORT_MESSAGE_BYTES,
    MemoryUse,
    MessageReservation,
)
from scaleloom_fleet.gateway.attempt_results import AttemptResult
from scaleloom_fleet.gateway.error_responses import closing_headers
from scaleloom_fleet.gateway.event_splitter import (
    EventBoundary,
    EventSplitter,
    UnsplitBody,
)
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.headers import answer_headers
from scaleloom_fleet.gateway.hedging import claim_answer
from scaleloom_fleet.gateway.metric_definitions import FIRST_BYTE_SECONDS
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.resumed_events import ResumedEvents
from scaleloom_fleet.gateway.rollout_observations import record_body_part
from scaleloom_fleet.gateway.silences import event_timeout_s, has_fallen_silent
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.stream_origins import (
    is_of_same_version,
    record_first_event,
)
from scaleloom_fleet.gateway.unknown_ends import check_target_at_end
from scaleloom_fleet.http1.input_pace import InputBound
from scaleloom_fleet.http1.links import (
    AnswerHead,
    AnswerProtocolError,
    BodyDelimiter,
    Link,
)

BUFFERED_ANSWER_LIMIT_BYTES = 1 << 20
# An incomplete event is held back, as a short answer is.
MAX_EVENT_BYTES = 1 << 20
EVENT_STREAM_TYPE = b"text/event-stream"


async def forward_complete(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> AttemptResult:
    """Forward an answer, which is buffered first if it is short and fits."""
    reservation = MessageReservation(state.memory, MemoryUse.ANSWERS)
    try:
        body, is_whole = await _read_buffered(exchange.link, reservation)
        if not is_whole:
            reservation.release()
            return await _forward_long(state, context, exchange, body)
        await check_target_at_end(state, context, exchange)
        if exchange.observation is not None:
            exchange.observation.record_body_complete(trio.current_time())
        _record_first_byte(state, context)
        await forward_answer(state, context, exchange.link.head, body)
        return AttemptResult.ANSWERED
    finally:
        reservation.release()


async def _read_buffered(
    link: Link, reservation: MessageReservation
) -> tuple[bytes, bool]:
    """Return the body, and whether it is whole; the rest is not to be buffered."""
    body = bytearray()
    while (part := await link.read_data()) is not None:
        body += part
        if len(body) > BUFFERED_ANSWER_LIMIT_BYTES:
            return bytes(body), False
        if not reservation.try_hold(len(body)):
            return bytes(body), False
    return bytes(body), True


async def forward_answer(
    state: GatewayState, context: RequestContext, head: AnswerHead, body: bytes
) -> None:
    """Send a target's answer, which has been read to its end, to the caller."""
    has_body = head.delimiter is not BodyDelimiter.NO_BODY
    headers = answer_headers(head, keeps_length=not has_body)
    if has_body and head.has_known_end:
        headers.append((b"Content-Length", str(len(body)).encode()))
    headers += closing_headers(state.is_stopping)
    await context.answer.send_whole(head, headers, body)


def _record_first_byte(state: GatewayState, context: RequestContext) -> None:
    """Observe the time from the request to the first byte of a success."""
    elapsed_s = trio.current_time() - context.match.received_s
    state.metrics_registry.observe(
        FIRST_BYTE_SECONDS, elapsed_s, context.match.route.kind.value
    )


async def _begin_answer(
    state: GatewayState, context: RequestContext, exchange: Exchange, keeps_length: bool
) -> None:
    """Send the head of an answer whose body follows."""
    _record_first_byte(state, context)
    headers = answer_headers(exchange.link.head, keeps_length)
    headers += closing_headers(state.is_stopping)
    await context.answer.begin(exchange, headers)


async def _forward_long(
    state: GatewayState, context: RequestContext, exchange: Exchange, buffered: bytes
) -> AttemptResult:
    """Forward a long answer as it arrives."""
    part: bytes | None = buffered
    while part is not None:
        await _send_part(state, context, exchange, part, keeps_length=True)
        part = await exchange.link.read_data()
    await check_target_at_end(state, context, exchange)
    await context.answer.end(exchange)
    return AttemptResult.ANSWERED


async def _send_part(
    state: GatewayState,
    context: RequestContext,
    exchange: Exchange,
    part: bytes,
    keeps_length: bool,
) -> None:
    """
    Forward a part of the body.

    The time this takes is attributed to the caller, even if it is cancelled.
    """
    observation = exchange.observation
    started_s = trio.current_time() if observation is not None else 0.0
    # It is held until the caller has taken it, whether it fits or not.
    long_bytes = len(part) if len(part) > SHORT_MESSAGE_BYTES else 0
    state.memory.reserve(MemoryUse.ANSWERS, long_bytes)
    try:
        if not context.answer.is_begun:
            record_first_event(state, context, exchange)
            await _begin_answer(state, context, exchange, keeps_length)
        exchange.has_sent_events = True
        await context.answer.send_part(exchange, part)
    finally:
        state.memory.release(MemoryUse.ANSWERS, long_bytes)
        if observation is not None:
            observation.record_backpressure(trio.current_time() - started_s)


async def forward_stream(
    state: GatewayState,
    context: RequestContext,
    exchange: Exchange,
    record_first_data: Callable[[], None],
) -> AttemptResult:
    """
    Forward the events of a stream as they arrive, until it ends or falls silent.

    Parameters
    ----------
    record_first_data : callable
        Called once when the first data arrives.
    """
    link = exchange.link
    is_events = _is_event_stream(link.head)
    events = _choose_splitter(state, context, exchange, is_events)
    while True:
        with trio.move_on_after(event_timeout_s(context, exchange)) as scope:
            part = await link.read_data()
        if scope.cancelled_caught:
            if has_fallen_silent(exchange):
                return AttemptResult.SILENT
            continue
        if exchange.is_ended:
            # Another target has taken over, and the cancellation is on its way.
            await trio.sleep_forever()
        if part is None:
            break
        if link.body_bytes == len(part):
            record_first_data()
        record_body_part(exchange, len(part))
        ready = events.feed(part)
        if events.partial_bytes > MAX_EVENT_BYTES:
            raise link.exceed(InputBound.EVENT)
        if events.partial_bytes > SHORT_MESSAGE_BYTES:
            context.kept_reservation.hold(events.partial_bytes)
        if ready:
            if context.answering is not exchange:
                await claim_answer(state, context, exchange)
            keeps_length = not is_events
            await _send_part(state, context, exchange, ready, keeps_length)
        if exchange.resumed_events is not None:
            exchange.resumed_events.check()
    if events.has_partial:
        raise AnswerProtocolError("stream ended in the middle of an event")
    rest = b""
    if exchange.resumed_events is not None:
        rest = exchange.resumed_events.finish()
    _check_unknown_end(context, link)
    await check_target_at_end(state, context, exchange)
    if context.answering is not exchange:
        await claim_answer(state, context, exchange)
    if rest:
        await _send_part(state, context, exchange, rest, keeps_length=False)
    if not context.answer.is_begun:
        await _begin_answer(state, context, exchange, keeps_length=False)
    await context.answer.end(exchange)
    return AttemptResult.ANSWERED


def _choose_splitter(
    state: GatewayState, context: RequestContext, exchange: Exchange, is_events: bool
) -> EventSplitter | ResumedEvents | EventBoundary | UnsplitBody:
    """
    Return what splits the body of an answer on a stream route.

    Raises
    ------
    AnswerProtocolError
        If a stream has begun that this answer is no part of.
    """
    answer = context.answer
    is_resumed = answer.is_begun and answer.run is not exchange
    if not is_events:
        if is_resumed:
            raise AnswerProtocolError("answer to a resumed stream is no stream")
        return UnsplitBody()
    if answer.splitter is None:
        return EventBoundary()
    exchange.splits_events = True
    if is_resumed and exchange.resumed_events is None:
        exchange.resumed_events = ResumedEvents(
            answer.splitter,
            answer.last_event_id or b"",
            partial(is_of_same_version, state, context, exchange),
        )
    return exchange.resumed_events or answer.splitter


def _is_event_stream(head: AnswerHead) -> bool:
    """
    Return whether the answer on a stream route is a stream of events.

    One that names no type is taken for a stream if nothing else tells its end.
    """
    content_type = head.find(b"content-type")
    if content_type is None:
        return not head.has_known_end
    return content_type.lower().startswith(EVENT_STREAM_TYPE)


def _check_unknown_end(context: RequestContext, link: Link) -> None:
    """
    Check that the end of a stream may be passed on if it is unknown.

    Raises
    ------
    AnswerProtocolError
        If the stream has no event, or if the caller was promised to be told its end.
    """
    if link.head.has_known_end:
        return
    if not link.body_bytes:
        raise AnswerProtocolError("connection ended before the first event")
    if context.answer.is_begun and not context.connection.ends_with_connection:
        raise AnswerProtocolError("connection ended, maybe before the last event")
