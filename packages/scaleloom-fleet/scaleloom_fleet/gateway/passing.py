"""A target's answer, passed on to the caller."""

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
EVENT_PATIENCE_S = 1.0


async def pass_whole(
    state: GatewayState, work: Work, link: Link, head: AnswerHead
) -> Verdict:
    """Pass on an answer that is short enough to be gathered first."""
    parts: list[bytes] = []
    size = 0
    while (part := await link.read_data()) is not None:
        parts.append(part)
        size += len(part)
        if size > WHOLE_ANSWER_LIMIT_BYTES:
            return await _pass_long(state, work, link, head, b"".join(parts))
    if work.observation is not None:
        work.observation.note_whole(trio.current_time())
    _note_first_byte(state, work)
    await pass_answer(state, work, head, b"".join(parts))
    return Verdict.ANSWERED


async def pass_answer(
    state: GatewayState, work: Work, head: AnswerHead, body: bytes
) -> None:
    """Send a target's whole answer to the caller."""
    headers = answer_headers(head, keeps_length=False)
    headers.append((b"Content-Length", str(len(body)).encode()))
    headers += closing_headers(state.is_stopping)
    work.is_answer_begun = True
    await work.connection.send_answer(head.status, head.reason, headers, body)


def _note_first_byte(state: GatewayState, work: Work) -> None:
    """Note how long the caller waited for the first byte of a success."""
    waited_s = trio.current_time() - work.match.received_s
    state.figures.observe(FIRST_BYTE, waited_s, work.match.route.kind.value)


async def _begin_answer(
    state: GatewayState, work: Work, head: AnswerHead, keeps_length: bool
) -> None:
    """Send the head of an answer whose body follows."""
    _note_first_byte(state, work)
    headers = answer_headers(head, keeps_length)
    headers += closing_headers(state.is_stopping)
    work.is_answer_begun = True
    await work.connection.send_head(head.status, head.reason, headers)


async def _pass_long(
    state: GatewayState, work: Work, link: Link, head: AnswerHead, gathered: bytes
) -> Verdict:
    """Pass on a long answer as it arrives."""
    part: bytes | None = gathered
    while part is not None:
        await _send_part(state, work, head, part, keeps_length=True)
        part = await link.read_data()
    await work.connection.send_end()
    return Verdict.ANSWERED


async def _send_part(
    state: GatewayState, work: Work, head: AnswerHead, part: bytes, keeps_length: bool
) -> None:
    """Send a part on; what that takes is the caller's time, also if it is cut."""
    observation = work.observation
    since_s = trio.current_time() if observation is not None else 0.0
    try:
        if not work.is_answer_begun:
            await _begin_answer(state, work, head, keeps_length)
        await work.connection.send_data(part)
    finally:
        if observation is not None:
            observation.note_held_up(trio.current_time() - since_s)


async def pass_stream(
    state: GatewayState,
    work: Work,
    link: Link,
    head: AnswerHead,
    patience_s: float,
    note_first_data: Callable[[], None],
) -> Verdict:
    """
    Pass a stream's events on as they arrive.

    Parameters
    ----------
    patience_s : float
        How long the target may stay silent before another is tried.
    """
    is_first = True
    splitter = work.splitter
    can_repeat = patience_s < float("inf")
    while True:
        with trio.move_on_after(patience_s) as scope:
            part = await link.read_data()
        if scope.cancelled_caught:
            return Verdict.SILENT
        if part is None:
            break
        note_part(work, len(part))
        if is_first:
            note_first_data()
            is_first = False
        ready = part if splitter is None else splitter.take(part)
        if not ready:
            continue
        await _send_part(state, work, head, ready, keeps_length=splitter is None)
        patience_s = EVENT_PATIENCE_S if can_repeat else float("inf")
    if splitter is not None and splitter.has_partial:
        raise AnswerBroken("the last event is not whole")
    if not work.is_answer_begun:
        await _begin_answer(state, work, head, keeps_length=False)
    await work.connection.send_end()
    return Verdict.ANSWERED
