"""One attempt of a request at one target: sent once, its answer forwarded or judged."""

import logging

import trio

from scaleloom_core.fleet_load import target_key
from scaleloom_core.ids import TargetId
from scaleloom_core.routing import RequestKind
from scaleloom_core.target_delays import PERCENT
from scaleloom_core.target_entries import ListedTarget
from scaleloom_core.target_outcomes import ONE_ANSWERED, ONE_FAILED, Outcomes
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.target_signals import AnswerSignals
from scaleloom_fleet.gateway.answer_signals import record_signals
from scaleloom_fleet.gateway.attempt_results import (
    BROKEN_RESULTS,
    AnswerEnd,
    AttemptResult,
    answer_end,
)
from scaleloom_fleet.gateway.forwarding import (
    BUFFERED_ANSWER_LIMIT_BYTES,
    forward_complete,
    forward_stream,
)
from scaleloom_fleet.gateway.headers import outgoing_request
from scaleloom_fleet.gateway.metric_definitions import PROMPT_PARTS_COPIED
from scaleloom_fleet.gateway.quarantine import cancel_trial, may_send
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.request_metrics import record_answer_end, record_silence
from scaleloom_fleet.gateway.rollout_observations import (
    begin_observation,
    record_end,
    record_timeout,
)
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.target_selection import is_rolled_back
from scaleloom_fleet.http1.callers import CallerDisconnected
from scaleloom_fleet.http1.links import (
    AnswerHead,
    AnswerProtocolError,
    Link,
    OutgoingRequest,
    read_while_sending,
)
from scaleloom_fleet.http1.sockets import ConnectionLost, OutOfDescriptors

SURPLUS_ANSWER_LIMIT = 3
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SAFE_TIMEOUT_RATIO = 0.8
STREAM_TIMEOUT_RATIO = 2.0
MIN_HEAD_TIMEOUT_S = 0.4
_logger = logging.getLogger("scaleloom.gateway")


async def send_to(
    state: GatewayState, context: RequestContext, record: TargetRecord, can_retry: bool
) -> AttemptResult:
    """
    Send `context` to one target and forward the answer.

    Parameters
    ----------
    can_retry : bool
        Whether another target may be attempted if this one stays silent.

    Raises
    ------
    CallerDisconnected
        If the caller disconnected before anything was sent.
    """
    target = record.listed
    context.answer_end = None
    context.has_new_holder = False
    context.has_succeeded = False
    link = await _open_link(state, context, record)
    if link is None:
        return AttemptResult.NEVER_SENT
    is_sent = False
    try:
        is_sent = await _may_still_send(state, context, record, link)
        if context.connection.check_disconnected():
            # Nothing has been sent yet, and no caller waits for the answer any more.
            is_sent = False
            raise CallerDisconnected
    finally:
        if not is_sent:
            cancel_trial(state, context)
            state.link_pools.release(target.id, link)
    if not is_sent:
        return AttemptResult.NEVER_SENT
    is_complete = False
    try:
        result = await _exchange(state, context, record, link, can_retry)
        is_complete = result not in BROKEN_RESULTS
    except (AnswerProtocolError, ConnectionLost):
        result = AttemptResult.BROKEN
    except trio.Cancelled:
        record_timeout(context)
        state.crashes.prober.record_abandoned(target, context.causes)
        raise
    finally:
        if is_complete:
            state.link_pools.release(target.id, link)
        else:
            state.abandoned_links.abandon(target.id, link)
    if result is AttemptResult.SILENT:
        record_silence(context, target.id, link)
    context.answer_end = end = answer_end(link.head, result)
    if end is not None:
        record_answer_end(state, context, target.id, link, end)
    if end is AnswerEnd.BROKEN:
        _forget_cached_prompt(state, context, target.id)
    _record_outcome(state, record, result)
    _probe_after_end(state, context, record, result)
    record_end(context, result)
    return result


def _probe_after_end(
    state: GatewayState,
    context: RequestContext,
    record: TargetRecord,
    result: AttemptResult,
) -> None:
    """Have the target probed if it may have crashed at the end of an exchange."""
    target, prober = record.listed, state.crashes.prober
    if result in BROKEN_RESULTS:
        if result is AttemptResult.SILENT:
            prober.record_abandoned(target, context.causes)
        context.probe = prober.probe_after_break(target, context.causes)
    elif context.answer_end is AnswerEnd.UNKNOWN and not _is_leaving(state, record):
        if context.has_succeeded:
            prober.probe_after_unknown_end(target, context.causes)
        else:
            # A failure clears the request, but not the parts that it shares.
            prober.probe_after_unknown_end(target, (context.digest,))


def _is_leaving(state: GatewayState, record: TargetRecord) -> bool:
    """
    Return whether a target leaves as planned.

    It ends soon after a complete answer, so that an unknown end is no sign of a crash.
    """
    newest = state.view.records.get(record.listed.id)
    return newest is None or not newest.is_ready


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


def _record_outcome(
    state: GatewayState, record: TargetRecord, result: AttemptResult
) -> None:
    """Record `result` for the target, also in the reports to peers."""
    if result is AttemptResult.BACKING_OFF or result is AttemptResult.WRONG_TARGET:
        return
    if result is AttemptResult.ANSWERED:
        if record.ejection_s > 0.0:
            _logger.info(
                "target returned from ejection", extra={"target": record.listed.id}
            )
        record.record_answer()
        outcomes = ONE_ANSWERED
    else:
        record.record_failure()
        outcomes = ONE_FAILED
    state.outcomes.add(target_key(record.listed.id), outcomes)


async def _exchange(
    state: GatewayState,
    context: RequestContext,
    record: TargetRecord,
    link: Link,
    can_retry: bool,
) -> AttemptResult:
    """Send the request over `link` and forward the answer."""
    names = state.adapter.headers
    last_id = context.splitter.last_id if context.splitter else None
    now_s = trio.current_time()
    source = _cache_source(state, context, record.listed.id, now_s)
    outgoing = outgoing_request(
        record.listed, context.match, context.request, names, last_id, source, now_s
    )
    is_warm = state.chooser.is_cached(context.placement, record.listed.id, now_s)
    context.send_count += 1
    may_have_run_before = context.may_have_run
    context.may_have_run = True
    begin_observation(state, context, record, is_warm)
    if source is not None:
        state.metrics_registry.add(PROMPT_PARTS_COPIED)
    context.sent_to = record.listed
    link.start(outgoing)
    with trio.move_on_after(_head_timeout_s(context, can_retry)) as scope:
        head, signals = await _read_matching_head(
            state, context, record.listed.id, link, outgoing
        )
    if scope.cancelled_caught:
        return AttemptResult.SILENT
    if signals.is_not_run:
        context.may_have_run = may_have_run_before
        await _skip_body(link)
        if signals.is_misdirected:
            return AttemptResult.WRONG_TARGET
        return (
            AttemptResult.BACKING_OFF
            if signals.retry_after_s > 0.0
            else AttemptResult.NOT_RUN
        )
    if context.observation is not None:
        context.observation.has_known_end = head.has_known_end
    if not 200 <= head.status < 300:
        body = await link.read_body(BUFFERED_ANSWER_LIMIT_BYTES)
        context.failure = (head, body)
        return AttemptResult.FAILED if head.status >= 500 else AttemptResult.ANSWERED
    context.has_succeeded = True
    _record_cached_prompt(state, context, record.listed.id)
    if context.match.route.kind is not RequestKind.STREAM:
        _record_first_byte(state, context, record, now_s)
        return await forward_complete(state, context, link, head)

    def record_first_data() -> None:
        # A long prompt that must be read first delays the answer of a healthy target.
        if is_warm:
            _record_first_byte(state, context, record, now_s)

    timeout_s = _head_timeout_s(context, can_retry)
    return await forward_stream(
        state, context, link, head, timeout_s, record_first_data
    )


def _record_first_byte(
    state: GatewayState, context: RequestContext, record: TargetRecord, sent_s: float
) -> None:
    """Record how long the target took to begin its answer, also for peers."""
    now_s = trio.current_time()
    ratio = state.baseline_delays.record_ratio(context.match.route.name, now_s - sent_s)
    outcomes = Outcomes(started=1, delay_sum_pct=int(ratio * PERCENT))
    record.record_outcomes(outcomes, is_own_group=True, now_s=now_s)
    state.outcomes.add(target_key(record.listed.id), outcomes)


def _cache_source(
    state: GatewayState, context: RequestContext, target: TargetId, now_s: float
) -> ListedTarget | None:
    """Return the target whose cache `target` is to copy from, if any."""
    key = context.placement
    if not context.match.policy.is_engine or key.shared_part is None:
        return None
    return state.chooser.cache_source(key, target, now_s, context.bound)


def _record_cached_prompt(
    state: GatewayState, context: RequestContext, target: TargetId
) -> None:
    """Record that `target`, which began its answer, caches the shared prompt part."""
    if context.match.policy.is_engine:
        now_s = trio.current_time()
        context.has_new_holder = not state.chooser.is_cached(
            context.placement, target, now_s
        )
        state.chooser.record_cached(context.placement, target, now_s)


def _forget_cached_prompt(
    state: GatewayState, context: RequestContext, target: TargetId
) -> None:
    """Forget what only an answer that broke off has told of the cache of `target`."""
    if context.has_new_holder:
        state.chooser.forget_cached(context.placement, target)


def _head_timeout_s(context: RequestContext, can_retry: bool) -> float:
    """Return how long a target may stay silent before another is attempted."""
    if not can_retry:
        return float("inf")
    route = context.match.route
    ratio = (
        STREAM_TIMEOUT_RATIO if route.kind is RequestKind.STREAM else SAFE_TIMEOUT_RATIO
    )
    return max(MIN_HEAD_TIMEOUT_S, ratio * route.objective_ms / 1000.0)


async def _skip_body(link: Link) -> None:
    """Discard the body of an answer whose head says all."""
    try:
        await link.read_body(BUFFERED_ANSWER_LIMIT_BYTES)
    except AnswerProtocolError:
        # The head has proved that nothing ran; the link is closed as incomplete.
        return


async def _read_matching_head(
    state: GatewayState,
    context: RequestContext,
    target: TargetId,
    link: Link,
    outgoing: OutgoingRequest,
) -> tuple[AnswerHead, AnswerSignals]:
    """
    Return the head of the answer to this request and its signals.

    Skips up to `SURPLUS_ANSWER_LIMIT` surplus answers that come before it on the link.

    Raises
    ------
    AnswerProtocolError
        If only answers to other requests came.
    """
    id_name = state.adapter.headers.request_id.lower()
    own_id = context.match.request_id.encode("latin-1")
    head = await read_while_sending(link)
    for _ in range(SURPLUS_ANSWER_LIMIT):
        # The signals in a surplus answer are valid as well.
        signals = record_signals(state, target, head)
        if head.find(id_name) == own_id:
            return head, signals
        await link.skip_surplus_answer(outgoing)
        head = await link.read_head()
    raise AnswerProtocolError("received only answers to other requests")
