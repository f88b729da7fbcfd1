"""One attempt of a request at one target: sent once, its answer forwarded or judged."""

import logging

import trio

from scaleloom_core.fleet_load import target_key
from scaleloom_core.ids import TargetId
from scaleloom_core.listed import ListedTarget
from scaleloom_core.routing import RequestKind
from scaleloom_core.target_delays import PERCENT
from scaleloom_core.target_news import AnswerNews
from scaleloom_core.target_outcomes import ONE_ANSWERED, ONE_FAILED, Outcomes
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway.answer_news import record_signals
from scaleloom_fleet.gateway.choosing import is_rolled_back
from scaleloom_fleet.gateway.crash_gate import cancel_trial, may_send
from scaleloom_fleet.gateway.figures import CACHE_SOURCES
from scaleloom_fleet.gateway.headers import outgoing_request
from scaleloom_fleet.gateway.observing import note_end, note_out_of_time, observe
from scaleloom_fleet.gateway.passing import (
    WHOLE_ANSWER_LIMIT_BYTES,
    forward_stream,
    forward_whole,
)
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.verdicts import Verdict
from scaleloom_fleet.gateway.work import Work
from scaleloom_fleet.http1.callers import CallerGone
from scaleloom_fleet.http1.links import (
    AnswerBroken,
    AnswerHead,
    Link,
    OutgoingRequest,
    read_while_sending,
)
from scaleloom_fleet.http1.sockets import ConnectionLost, NoDescriptor

SURPLUS_ANSWER_LIMIT = 3
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
SAFE_TIMEOUT_RATIO = 0.8
STREAM_TIMEOUT_RATIO = 2.0
MIN_HEAD_TIMEOUT_S = 0.4
_logger = logging.getLogger("scaleloom.gateway")


async def send_to(
    state: GatewayState, context: Work, record: TargetRecord, can_retry: bool
) -> Verdict:
    """
    Send `context` to one target and forward the answer.

    Parameters
    ----------
    can_retry : bool
        Whether another target may be attempted if this one stays silent.

    Raises
    ------
    CallerGone
        If the caller disconnected before anything was sent.
    """
    target = record.listed
    link = await _open_link(state, context, record)
    if link is None:
        return Verdict.NEVER_SENT
    is_sent = False
    try:
        is_sent = await _may_still_send(state, context, record)
        if context.connection.has_just_left():
            # Nothing has been sent yet, and no caller waits for the answer any more.
            is_sent = False
            raise CallerGone
    finally:
        if not is_sent:
            cancel_trial(state, context)
            state.pools.put_back(target.id, link)
    if not is_sent:
        return Verdict.NEVER_SENT
    is_whole = False
    try:
        result = await _exchange(state, context, record, link, can_retry)
        is_whole = result is not Verdict.SILENT and result is not Verdict.BROKEN
    except (AnswerBroken, ConnectionLost):
        result = Verdict.BROKEN
    except trio.Cancelled:
        note_out_of_time(context)
        raise
    finally:
        if is_whole:
            state.pools.put_back(target.id, link)
        else:
            state.given_up.abandon(target.id, link)
    _record_outcome(state, record, result)
    if result is Verdict.BROKEN or result is Verdict.SILENT:
        context.probe = state.crashes.checks.probe_after_break(target, context.digest)
    note_end(context, result)
    return result


async def _open_link(
    state: GatewayState, context: Work, record: TargetRecord
) -> Link | None:
    """Return a link to a target, or None if none could be opened."""
    is_repeatable = context.match.route.is_repeatable
    try:
        link = await state.pools.acquire(record.listed, is_repeatable)
    except NoDescriptor:
        # The router lacks a descriptor; the target is not at fault.
        _logger.warning("no file descriptor left to connect to a target")
        return None
    if link is None:
        record.note_unreachable(trio.current_time())
        _log_ejection(record)
    return link


async def _may_still_send(
    state: GatewayState, context: Work, record: TargetRecord
) -> bool:
    """Return whether `context` may still be sent to the chosen target."""
    context.trial_number = None
    if is_rolled_back(state, context) or not _accepts_requests(state, record):
        return False
    is_permitted = await may_send(state, context, record.listed.id)
    return is_permitted and _accepts_requests(state, record)


def _accepts_requests(state: GatewayState, record: TargetRecord) -> bool:
    """Return whether a target has not started to back off or drain since its choice."""
    return state.view.may_be_sent(record, trio.current_time())


def _log_ejection(record: TargetRecord) -> None:
    """Log that a target accepts no connection and is ejected for some time."""
    fields = {"target": record.listed.id, "absence_ms": int(record.absence_s * 1000)}
    _logger.info("target ejected", extra=fields)


def _record_outcome(state: GatewayState, record: TargetRecord, result: Verdict) -> None:
    """Record `result` for the target, also in the reports to peers."""
    if result is Verdict.BACKING_OFF or result is Verdict.WRONG_TARGET:
        return
    if result is Verdict.ANSWERED:
        if record.absence_s > 0.0:
            _logger.info(
                "target returned from ejection", extra={"target": record.listed.id}
            )
        record.note_answer()
        outcomes = ONE_ANSWERED
    else:
        record.note_failure()
        outcomes = ONE_FAILED
    state.outcomes.note(target_key(record.listed.id), outcomes)


async def _exchange(
    state: GatewayState,
    context: Work,
    record: TargetRecord,
    link: Link,
    can_retry: bool,
) -> Verdict:
    """Send the request over `link` and forward the answer."""
    names = state.adapter.headers
    last_id = context.splitter.last_id if context.splitter else None
    now_s = trio.current_time()
    source = _cache_source(state, context, record.listed.id, now_s)
    outgoing = outgoing_request(
        record.listed, context.match, context.request, names, last_id, source, now_s
    )
    is_warm = state.chooser.is_warm(context.placement, record.listed.id, now_s)
    context.send_count += 1
    may_have_run_before = context.may_have_run
    context.may_have_run = True
    observe(state, context, record, is_warm)
    if source is not None:
        state.figures.add(CACHE_SOURCES)
    link.start(outgoing)
    with trio.move_on_after(_head_timeout_s(context, can_retry)) as scope:
        head, signals = await _own_head(
            state, context, record.listed.id, link, outgoing
        )
    if scope.cancelled_caught:
        return Verdict.SILENT
    if signals.is_not_run:
        context.may_have_run = may_have_run_before
        await _skip_body(link)
        if signals.is_misplaced:
            return Verdict.WRONG_TARGET
        return Verdict.BACKING_OFF if signals.rest_s > 0.0 else Verdict.NOT_RUN
    if not 200 <= head.status < 300:
        body = await link.read_body(WHOLE_ANSWER_LIMIT_BYTES)
        context.failure = (head, body)
        return Verdict.FAILED if head.status >= 500 else Verdict.ANSWERED
    _record_cached_prompt(state, context, record.listed.id)
    if context.match.route.kind is not RequestKind.STREAM:
        _record_first_byte(state, context, record, now_s)
        return await forward_whole(state, context, link, head)

    def record_first_data() -> None:
        # A long prompt that must be read first delays the answer of a healthy target.
        if is_warm:
            _record_first_byte(state, context, record, now_s)

    timeout_s = _head_timeout_s(context, can_retry)
    return await forward_stream(
        state, context, link, head, timeout_s, record_first_data
    )


def _record_first_byte(
    state: GatewayState, context: Work, record: TargetRecord, sent_s: float
) -> None:
    """Record how long the target took to begin its answer, also for peers."""
    now_s = trio.current_time()
    ratio = state.usual_delays.ratio(context.match.route.name, now_s - sent_s)
    outcomes = Outcomes(begun=1, delays_pct=int(ratio * PERCENT))
    record.note_outcomes(outcomes, is_near=True, now_s=now_s)
    state.outcomes.note(target_key(record.listed.id), outcomes)


def _cache_source(
    state: GatewayState, context: Work, target: TargetId, now_s: float
) -> ListedTarget | None:
    """Return the target whose cache `target` is to copy from, if any."""
    key = context.placement
    if not context.match.policy.is_engine or key.shared_part is None:
        return None
    return state.chooser.cache_source(key, target, now_s)


def _record_cached_prompt(state: GatewayState, context: Work, target: TargetId) -> None:
    """Record that `target`, which began its answer, caches the shared prompt part."""
    if context.match.policy.is_engine:
        now_s = trio.current_time()
        state.chooser.note_read(context.placement, target, now_s)


def _head_timeout_s(context: Work, can_retry: bool) -> float:
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
        await link.read_body(WHOLE_ANSWER_LIMIT_BYTES)
    except AnswerBroken:
        # The head has proved that nothing ran; the link is closed as incomplete.
        return


async def _own_head(
    state: GatewayState,
    context: Work,
    target: TargetId,
    link: Link,
    outgoing: OutgoingRequest,
) -> tuple[AnswerHead, AnswerNews]:
    """
    Return the head of the answer to this request and its signals.

    Skips up to `SURPLUS_ANSWER_LIMIT` surplus answers that come before it on the link.

    Raises
    ------
    AnswerBroken
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
        await link.skip_answer(outgoing)
        head = await link.read_head()
    raise AnswerBroken("received only answers to other requests")
