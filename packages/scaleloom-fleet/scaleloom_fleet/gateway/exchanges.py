"""One exchange of a request with one target: sent once, its answer passed on."""

import logging

import msgspec
import trio

from scaleloom_core.fleet_load import target_key
from scaleloom_core.ids import TargetId
from scaleloom_core.memory_account import SHORT_MESSAGE_BYTES
from scaleloom_core.routing import RequestKind
from scaleloom_core.target_delays import PERCENT
from scaleloom_core.target_entries import ListedTarget
from scaleloom_core.target_outcomes import Outcomes
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.target_signals import AnswerSignals
from scaleloom_fleet.gateway.answer_signals import record_signals
from scaleloom_fleet.gateway.attempt_results import AttemptResult
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.forwarding import (
    BUFFERED_ANSWER_LIMIT_BYTES,
    forward_complete,
    forward_stream,
)
from scaleloom_fleet.gateway.headers import outgoing_request
from scaleloom_fleet.gateway.hedges import limit_overlap
from scaleloom_fleet.gateway.hedging import claim_answer, stop_if_answered
from scaleloom_fleet.gateway.metric_definitions import PROMPT_PARTS_COPIED
from scaleloom_fleet.gateway.quarantine import cancel_trial, may_send
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.request_metrics import record_retry_refused
from scaleloom_fleet.gateway.rollout_observations import begin_observation
from scaleloom_fleet.gateway.silences import (
    MIN_HEAD_TIMEOUT_S,
    has_fallen_silent,
    head_timeout_s,
)
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.target_selection import is_rolled_back
from scaleloom_fleet.gateway.unknown_ends import check_target_at_end
from scaleloom_fleet.http1.callers import CallerDisconnected
from scaleloom_fleet.http1.connections import ConnectionLost
from scaleloom_fleet.http1.links import (
    AnswerHead,
    AnswerProtocolError,
    Link,
)
from scaleloom_fleet.http1.requesting import read_while_sending
from scaleloom_fleet.http1.sockets import OutOfDescriptors

SURPLUS_ANSWER_LIMIT = 3
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_logger = logging.getLogger("scaleloom.gateway")


async def begin_exchange(
    state: GatewayState, context: RequestContext, record: TargetRecord
) -> Exchange | None:
    """
    Send `context` to one target; return None if it was not sent.

    Raises
    ------
    CallerDisconnected
        If the caller disconnected before anything was sent.
    """
    link = await _open_link(state, context, record)
    if link is None:
        return None
    is_sent = False
    try:
        is_sent = await _may_still_send(state, context, record, link)
        await stop_if_answered(context)
        if context.connection.check_disconnected():
            # Nothing has been sent yet, and no caller waits for the answer any more.
            is_sent = False
            raise CallerDisconnected
        is_sent = is_sent and _pay_for_retry(state, context)
    finally:
        if not is_sent:
            cancel_trial(state, context)
            state.link_pools.release(record.listed.id, link)
    return _send(state, context, record, link) if is_sent else None


async def read_answer(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> AttemptResult:
    """
    Pass the answer on, until it ends or the target falls silent.

    In the latter case nothing is given up: a further call goes on reading.
    """
    try:
        if exchange.signals is None:
            result = await _read_head(state, context, exchange)
            if result is not None:
                return result
        if context.match.route.kind is not RequestKind.STREAM:
            return await forward_complete(state, context, exchange)
        return await _forward_stream(state, context, exchange)
    except (AnswerProtocolError, ConnectionLost):
        return AttemptResult.BROKEN


async def _open_link(
    state: GatewayState, context: RequestContext, record: TargetRecord
) -> Link | None:
    """Return a link to a target, or None if none could be opened."""
    is_retryable = context.match.route.is_retryable
    try:
        link = await state.link_pools.acquire(record.listed, is_retryable)
    except OutOfDescriptors:
        # The router lacks a descriptor; the target is not at fault.
        _logger.warning("no file descriptor left to connect to a target")
        return None
    if link is None:
        record.mark_unreachable(trio.current_time())
        _log_ejection(record)
    return link


async def _may_still_send(
    state: GatewayState, context: RequestContext, record: TargetRecord, link: Link
) -> bool:
    """Return whether `context` may still be sent to the chosen target over `link`."""
    context.trials = {}
    if is_rolled_back(state, context) or not _accepts_requests(state, record):
        return False
    if not _may_go_on_at(state, context, record):
        return False
    if not await may_send(state, context, record.listed.id):
        return False
    # The target may have crashed while the store recorded the trial, which would then
    # be blamed for the crash.
    is_link_usable = not context.trials or link.is_open_and_empty()
    return is_link_usable and _accepts_requests(state, record)


def _pay_for_retry(state: GatewayState, context: RequestContext) -> bool:
    """Charge the retry budget if the request was sent before; return whether it may."""
    if not context.is_retry:
        return True
    window = state.retry_windows.get(context.match.service)
    if window.try_acquire(trio.current_time(), state.router_count):
        return True
    record_retry_refused(state, context)
    return False


def _may_go_on_at(
    state: GatewayState, context: RequestContext, record: TargetRecord
) -> bool:
    """Return whether a stream that has begun may go on at a target, as listed now."""
    newest = state.view.records.get(record.listed.id, record)
    return context.bound is None or context.bound.allows(newest.listed)


def _accepts_requests(state: GatewayState, record: TargetRecord) -> bool:
    """Return whether a target has not started to back off or drain since its choice."""
    return state.view.still_accepts(record, trio.current_time())


def _log_ejection(record: TargetRecord) -> None:
    """Log that a target accepts no connection and is ejected for some time."""
    fields = {"target": record.listed.id, "absence_ms": int(record.ejection_s * 1000)}
    _logger.info("target ejected", extra=fields)


def _send(
    state: GatewayState, context: RequestContext, record: TargetRecord, link: Link
) -> Exchange:
    """Send the request over `link`, as far as that is possible without blocking."""
    now_s = trio.current_time()
    target = record.listed
    source = _cache_source(state, context, target.id, now_s)
    outgoing = outgoing_request(
        target,
        context.match,
        context.request,
        state.adapter.headers,
        context.answer.last_event_id,
        source,
        now_s,
    )
    is_warm = state.chooser.is_cached(context.placement, target.id, now_s)
    exchange = Exchange(
        record, target, link, outgoing, context.placement, is_warm, sent_s=now_s
    )
    context.send_count += 1
    exchange.is_return = target.id in context.left_silent
    context.ran_at.add(target.id)
    context.left_silent.discard(target.id)
    context.is_retry = True
    limit_overlap(context.hedges)
    begin_observation(state, context, exchange)
    if source is not None:
        state.metrics_registry.add(PROMPT_PARTS_COPIED)
    try:
        link.start(outgoing)
    except ConnectionLost:
        # Reading the answer reports it.
        return exchange
    return exchange


async def _read_head(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> AttemptResult | None:
    """Read the head of the answer; return the result unless a success follows it."""
    timeout_s = head_timeout_s(context, exchange)
    while exchange.signals is None:
        with trio.move_on_after(timeout_s) as scope:
            exchange.signals = await _read_matching_head(state, context, exchange)
        if scope.cancelled_caught and has_fallen_silent(exchange):
            return AttemptResult.SILENT
    head, signals = exchange.link.head, exchange.signals
    if signals.is_not_run:
        _record_not_run(context, exchange)
        await _skip_body(exchange.link)
        return _not_run_result(signals)
    if exchange.observation is not None:
        exchange.observation.has_known_end = head.has_known_end
    if not 200 <= head.status < 300:
        return await _read_failure(state, context, exchange, head)
    await claim_answer(state, context, exchange)
    exchange.has_succeeded = True
    _release_request_body(context, exchange)
    _record_cached_prompt(state, context, exchange)
    if context.match.route.kind is not RequestKind.STREAM:
        _record_first_byte(state, context, exchange)
    return None


def _release_request_body(context: RequestContext, exchange: Exchange) -> None:
    """Drop a long body that was sent whole, if the request is not sent again."""
    if context.match.route.is_retryable or exchange.link.has_unsent:
        return
    if len(context.request.body) > SHORT_MESSAGE_BYTES:
        context.keep_digest()
        context.request.release_body()
        exchange.outgoing = msgspec.structs.replace(exchange.outgoing, body=b"")


def _record_not_run(context: RequestContext, exchange: Exchange) -> None:
    """Record that the target has not run the request this time."""
    context.send_count -= 1
    if exchange.is_return:
        context.left_silent.add(exchange.target.id)
    else:
        context.ran_at.discard(exchange.target.id)


def _not_run_result(signals: AnswerSignals) -> AttemptResult:
    """Return the result of an exchange whose target has not run the request."""
    if signals.is_misdirected:
        return AttemptResult.WRONG_TARGET
    if signals.retry_after_s > 0.0:
        return AttemptResult.BACKING_OFF
    return AttemptResult.NOT_RUN


async def _read_failure(
    state: GatewayState, context: RequestContext, exchange: Exchange, head: AnswerHead
) -> AttemptResult:
    """Read an answer that is no success, to be forwarded if none follows."""
    body = await exchange.link.read_body(
        BUFFERED_ANSWER_LIMIT_BYTES, context.kept_reservation
    )
    await check_target_at_end(state, context, exchange)
    if head.status >= 500 or context.answer.is_begun:
        context.failure = context.failure or (head, body)
        return AttemptResult.FAILED
    await claim_answer(state, context, exchange)
    context.failure = (head, body)
    return AttemptResult.ANSWERED


async def _forward_stream(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> AttemptResult:
    """Pass the events of the answer on."""

    def record_first_data() -> None:
        # A long prompt that must be read first delays the answer of a healthy target.
        if exchange.is_warm:
            _record_first_byte(state, context, exchange)

    return await forward_stream(state, context, exchange, record_first_data)


def _record_first_byte(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> None:
    """Record how long the target took to begin its answer, also for peers."""
    now_s = trio.current_time()
    ratio = state.baseline_delays.record_ratio(
        context.match.route.name, now_s - exchange.sent_s
    )
    outcomes = Outcomes(started=1, delay_sum_pct=int(ratio * PERCENT))
    exchange.record.record_outcomes(outcomes, is_own_group=True, now_s=now_s)
    state.outcomes.add(target_key(exchange.target.id), outcomes)


def _cache_source(
    state: GatewayState, context: RequestContext, target: TargetId, now_s: float
) -> ListedTarget | None:
    """Return the target whose cache `target` is to copy from, if any."""
    key = context.placement
    if not context.match.policy.is_engine or key.shared_part is None:
        return None
    return state.chooser.cache_source(key, target, now_s, context.bound)


def _record_cached_prompt(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> None:
    """Record that the target, which began its answer, caches the shared prompt part."""
    if context.match.policy.is_engine:
        now_s = trio.current_time()
        target, key = exchange.target.id, exchange.placement
        exchange.has_new_holder = not state.chooser.is_cached(key, target, now_s)
        state.chooser.record_cached(key, target, now_s)


async def _skip_body(link: Link) -> None:
    """Discard the body of an answer whose head says all, unless it is slow."""
    try:
        with trio.move_on_after(MIN_HEAD_TIMEOUT_S):
            await link.read_body(BUFFERED_ANSWER_LIMIT_BYTES)
    except AnswerProtocolError:
        # The head has proved that nothing ran; the link is closed as incomplete.
        return


async def _read_matching_head(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> AnswerSignals:
    """
    Read the head of the answer to this request, and return its signals.

    Skips up to `SURPLUS_ANSWER_LIMIT` surplus answers that come before it on the link.
    A call that was cancelled may be repeated.

    Raises
    ------
    AnswerProtocolError
        If only answers to other requests came.
    """
    link = exchange.link
    id_name = state.adapter.headers.request_id.lower()
    own_id = context.match.request_id.encode("latin-1")
    for _ in range(SURPLUS_ANSWER_LIMIT):
        head = link.head or await read_while_sending(link)
        # The signals in a surplus answer are valid as well.
        signals = record_signals(state, exchange.target.id, head)
        if head.find(id_name) == own_id:
            return signals
        await link.skip_surplus_answer(exchange.outgoing)
    raise AnswerProtocolError("received only answers to other requests")
