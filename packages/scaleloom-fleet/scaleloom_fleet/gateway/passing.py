"""Forwarding of a target's answer to the caller."""

from collections.abc import Callable

import trio

from scaleloom_fleet.gateway.answering import closing_headers
from scaleloom_fleet.gateway.figures import FIRST_BYTE
from scaleloom_fleet.gateway.headers import answer_headers
from scaleloom_fleet.gateway.observing import note_part
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.verdicts import Verdict
from scaleloom_fleet.gateway.work import Work
from scaleloom_fleet.http1.links import AnswerBroken, AnswerHead, Link

WHOLE_ANSWER_LIMIT_BYTES = 1 << 20
EVENT_TIMEOUT_S = 1.0


async def forward_whole(
    state: GatewayState, context: Work, link: Link, head: AnswerHead
) -> Verdict:
    """Forward an answer that is short enough to be buffered first."""
    parts: list[bytes] = []
    size = 0
    while (part := await link.read_data()) is not None:
        parts.append(part)
        size += len(part)
        if size > WHOLE_ANSWER_LIMIT_BYTES:
            return await _forward_long(state, context, link, head, b"".join(parts))
    if context.observation is not None:
        context.observation.note_whole(trio.current_time())
    _record_first_byte(state, context)
    await forward_answer(state, context, head, b"".join(parts))
    return Verdict.ANSWERED


async def forward_answer(
    state: GatewayState, context: Work, head: AnswerHead, body: bytes
) -> None:
    """Send a target's complete answer to the caller."""
    headers = answer_headers(head, keeps_length=False)
    headers.append((b"Content-Length", str(len(body)).encode()))
    headers += closing_headers(state.is_stopping)
    context.is_answer_begun = True
    await context.connection.send_answer(head.status, head.reason, headers, body)


def _record_first_byte(state: GatewayState, context: Work) -> None:
    """Observe the time from the request to the first byte of a success."""
    elapsed_s = trio.current_time() - context.match.received_s
    state.figures.observe(FIRST_BYTE, elapsed_s, context.match.route.kind.value)


async def _begin_answer(
    state: GatewayState, context: Work, head: AnswerHead, keeps_length: bool
) -> None:
    """Send the head of an answer whose body follows."""
    _record_first_byte(state, context)
    headers = answer_headers(head, keeps_length)
    headers += closing_headers(state.is_stopping)
    context.is_answer_begun = True
    await context.connection.send_head(head.status, head.reason, headers)


async def _forward_long(
    state: GatewayState, context: Work, link: Link, head: AnswerHead, buffered: bytes
) -> Verdict:
    """Forward a long answer as it arrives."""
    part: bytes | None = buffered
    while part is not None:
        await _send_part(state, context, head, part, keeps_length=True)
        part = await link.read_data()
    await context.connection.send_end()
    return Verdict.ANSWERED


async def _send_part(
    state: GatewayState,
    context: Work,
    head: AnswerHead,
    part: bytes,
    keeps_length: bool,
) -> None:
    """
    Forward a part of the body.

    The time this takes is attributed to the caller, even if it is cancelled.
    """
    observation = context.observation
    started_s = trio.current_time() if observation is not None else 0.0
    try:
        if not context.is_answer_begun:
            await _begin_answer(state, context, head, keeps_length)
        await context.connection.send_data(part)
    finally:
        if observation is not None:
            observation.note_held_up(trio.current_time() - started_s)


async def forward_stream(
    state: GatewayState,
    context: Work,
    link: Link,
    head: AnswerHead,
    timeout_s: float,
    record_first_data: Callable[[], None],
) -> Verdict:
    """
    Forward the events of a stream as they arrive.

    Parameters
    ----------
    timeout_s : float
        How long the target may stay silent before another is attempted.
    record_first_data : callable
        Called once when the first data arrives.
    """
    is_first = True
    splitter = context.splitter
    can_retry = timeout_s < float("inf")
    while True:
        with trio.move_on_after(timeout_s) as scope:
            part = await link.read_data()
        if scope.cancelled_caught:
            return Verdict.SILENT
        if part is None:
            break
        note_part(context, len(part))
        if is_first:
            record_first_data()
            is_first = False
        ready = part if splitter is None else splitter.feed(part)
        if not ready:
            continue
        await _send_part(state, context, head, ready, keeps_length=splitter is None)
        timeout_s = EVENT_TIMEOUT_S if can_retry else float("inf")
    if splitter is not None and splitter.has_partial:
        raise AnswerBroken("stream ended in the middle of an event")
    if not context.is_answer_begun:
        await _begin_answer(state, context, head, keeps_length=False)
    await context.connection.send_end()
    return Verdict.ANSWERED
