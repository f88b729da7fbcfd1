"""Handling of one request: attempts at targets until one answers or none is left."""

import logging
from functools import partial

import msgspec
import trio

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.hashing import HASH_SPAN, hash_text
from scaleloom_core.memory_account import MemoryUse, MessageReservation
from scaleloom_core.retry_after import RetryAfterQueue
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.target_signals import RAMP_UP_S
from scaleloom_fleet.gateway import metric_definitions
from scaleloom_fleet.gateway.attempt_results import NOT_RUN_RESULTS, AttemptResult
from scaleloom_fleet.gateway.caller_answer import CallerAnswer
from scaleloom_fleet.gateway.error_responses import send_error
from scaleloom_fleet.gateway.event_splitter import EventSplitter
from scaleloom_fleet.gateway.exchange_ends import (
    abandon_exchange,
    end_exchange,
    release_slot,
)
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.exchanges import (
    NOT_RUN_STATUSES,
    begin_exchange,
    read_answer,
)
from scaleloom_fleet.gateway.forwarding import forward_answer
from scaleloom_fleet.gateway.hedging import attempt_beside
from scaleloom_fleet.gateway.matching import Match, match_request
from scaleloom_fleet.gateway.quarantine import (
    is_retry_refused,
    record_result,
    wait_for_permission,
    wait_for_probe,
)
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.request_metrics import (
    record_disconnect,
    record_retry_refused,
    record_served,
    record_unserved,
)
from scaleloom_fleet.gateway.slots import acquire_target, wait_until_s
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.stream_origins import (
    bind_resumption,
    is_version_absent,
    version_absent_error,
)
from scaleloom_fleet.gateway.target_selection import (
    backoff_until_s,
    is_evacuated,
)
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerDisconnected,
    CallerRequest,
)

ATTEMPT_LIMIT = 6
STOPPING_RETRY_AFTER_S = 0.05
# A caller that retried later would have too little time left for the answer.
RETRY_AFTER_SHARE_OF_TIME_LEFT = 0.3
# Retry-After values are rounded to this step, which is added to them so that no
# retry comes too early.
RETRY_AFTER_STEP_S = 0.01
# A prompt may have as many parts as fit into a header.
MAX_LOGGED_PARTS = 8
# Operators end an evacuation after some seconds at the earliest.
EVACUATED_RETRY_AFTER_S = 3.0
# A stream that was taken from a silent target goes back to it if no other serves it;
# its caller leaves after a pause of some seconds.
RETURN_INTERVAL_S = 0.25
# Results after which a further send is not limited by the route.
FREE_RESULTS = NOT_RUN_RESULTS | {AttemptResult.NEVER_SENT}
_K = ErrorKind
_STOPPING = FleetError(
    _K.NOT_READY, "The router is stopping.", retry_after_s=STOPPING_RETRY_AFTER_S
)
_logger = logging.getLogger("scaleloom.gateway")


async def serve(
    state: GatewayState, connection: CallerConnection, request: CallerRequest
) -> None:
    """
    Answer one request.

    Raises
    ------
    CallerDisconnected
        If the caller disconnects before the request is answered.
    """
    matched = match_request(state.routing, request, state.adapter.headers)
    match: Match | None = matched.value_or(None)
    state.statsd.count("requests")
    if match is None:
        await _refuse(state, connection, matched.failure())
        return
    if match.deadline_s > state.shutdown_deadline_s:
        await _refuse(state, connection, _STOPPING, match.route.kind.value)
        return
    answer = CallerAnswer(connection, _splitter(match))
    context = RequestContext(connection, request, match, match.placement, answer)
    reservation = MessageReservation(state.memory, MemoryUse.ANSWERS)
    context.kept_reservation = reservation
    try:
        await _serve_matched(state, context)
    finally:
        reservation.release()


async def _serve_matched(state: GatewayState, context: RequestContext) -> None:
    """Answer a request whose route is known."""
    connection, match = context.connection, context.match
    state.retry_windows.get(match.service).record_request(trio.current_time())
    try:
        with trio.CancelScope(deadline=match.deadline_s) as scope:
            connection.cancel_on_disconnect(scope)
            error = await _attempt_targets(state, context)
    except CallerDisconnected:
        record_disconnect(state, context)
        raise
    if connection.is_disconnected and not connection.is_answer_complete:
        state.statsd.count("left")
        record_disconnect(state, context)
        raise CallerDisconnected
    if scope.cancelled_caught:
        error = _timeout_error(context)
    if error is None and not connection.is_answer_complete:
        error = _no_answer_error(state, context)
    state.statsd.timing("request", trio.current_time() - match.received_s)
    if error is None:
        state.statsd.count("served")
        record_served(state, context)
        return
    await _send_failure(state, context, error)


def _splitter(match: Match) -> EventSplitter | None:
    """Return what splits the answer, if the stream may be resumed."""
    return EventSplitter() if match.route.is_resumable else None


async def _refuse(
    state: GatewayState,
    connection: CallerConnection,
    error: FleetError,
    kind: str = metric_definitions.NO_KIND,
) -> None:
    """Refuse a request before a target was chosen."""
    state.statsd.count(f"refusals.{error.kind.value}")
    record_unserved(state, error, kind)
    await send_error(connection, error, state.is_stopping)


def _timeout_error(context: RequestContext) -> FleetError:
    """Return the error of a request whose deadline passed."""
    if context.may_have_run:
        return FleetError(
            _K.DEADLINE_PASSED, "The deadline passed before the target answered."
        )
    return FleetError(_K.OVERLOADED, "No target had a free slot in time.")


def _retry_after_s(state: GatewayState, context: RequestContext) -> float | None:
    """
    Return when the caller should retry, in seconds, or None for the default.

    If all targets are backing off, this is the time until the first of them resumes,
    even beyond the caller's deadline. A router with no requests in flight is not busy:
    it has just started or reaches no target at the moment, and both end sooner than
    slots become free.
    """
    now_s = trio.current_time()
    match = context.match
    resume_s = backoff_until_s(state, match.service)
    if resume_s is not None:
        # An earlier retry would find no target. The delay is spread over the ramp so
        # that the retries do not all arrive at once.
        spread_s = RAMP_UP_S * hash_text(match.request_id) / HASH_SPAN
        return resume_s - now_s + spread_s + RETRY_AFTER_STEP_S
    latest_s = RETRY_AFTER_SHARE_OF_TIME_LEFT * (match.deadline_s - now_s)
    if is_evacuated(state, match.service):
        return min(latest_s, EVACUATED_RETRY_AFTER_S)
    if not state.load.local:
        return None
    queue = RetryAfterQueue(match.service, match.priority, match.customer)
    return min(latest_s, state.retry_after_scheduler.reserve(queue, now_s))


async def _send_failure(
    state: GatewayState, context: RequestContext, error: FleetError
) -> None:
    """Log and count a request that was not served, and send its final answer."""
    fields = {
        "request": context.match.request_id,
        "digest": f"{context.digest:016x}",
        "parts": context.match.prompt_parts[:MAX_LOGGED_PARTS],
        "kind": error.kind.value,
        "service": context.match.service,
        "sends": context.send_count,
        "held_ms": int((trio.current_time() - context.match.received_s) * 1000),
        "tried": sorted(context.attempted),
        "version": state.routing.version if state.routing else None,
        "list_age_ms": state.freshness.age_ms(trio.current_time()),
        "routers": state.router_count,
        "held_there": sum(state.load.in_flight(target) for target in context.attempted),
    }
    _logger.info("request not served", extra=fields)
    state.statsd.count(f"failures.{error.kind.value}")
    record_unserved(state, error, context.match.route.kind.value)
    if context.answer.is_begun:
        context.connection.reset()
        return
    if context.failure is not None and _can_forward(context.failure[0].status):
        await forward_answer(state, context, *context.failure)
        return
    await send_error(context.connection, error, state.is_stopping)


def _can_forward(status: int) -> bool:
    """Return whether a target's failure with `status` may be forwarded unchanged."""
    return status not in NOT_RUN_STATUSES


class Takeover(msgspec.Struct, frozen=True):
    """
    The end of an attempt whose silent target was given up for another one.

    Parameters
    ----------
    error : FleetError or None
        The error that the request ended in at the other one.
    """

    error: FleetError | None


async def _attempt_targets(
    state: GatewayState, context: RequestContext
) -> FleetError | None:
    """Attempt targets until one answers; return the error if none does."""
    if context.match.is_resumption:
        refusal = await bind_resumption(state, context)
        if refusal is not None:
            return refusal
    error = await _attempt_in_turn(state, context)
    while error is not None and context.may_return:
        await trio.sleep(RETURN_INTERVAL_S)
        error = await _attempt_in_turn(state, context)
    return error


async def _attempt_in_turn(
    state: GatewayState, context: RequestContext
) -> FleetError | None:
    """Attempt one target after another; return the error if none answers."""
    for _ in range(ATTEMPT_LIMIT):
        refusal = await wait_for_permission(state, context, wait_until_s(context))
        if refusal is not None:
            return _quarantine_error(state, context, refusal)
        record = await acquire_target(state, context)
        if record is None:
            return _no_answer_error(state, context)
        result = await _attempt(state, context, record)
        if isinstance(result, Takeover):
            return result.error
        if result is AttemptResult.ANSWERED:
            return _failure_error(context)
        if is_version_absent(state, context):
            return _version_absent_error(state, context)
        if not _should_continue(state, context, result):
            return _no_answer_error(state, context)
    return _no_answer_error(state, context)


async def _attempt(
    state: GatewayState, context: RequestContext, record: TargetRecord
) -> AttemptResult | Takeover:
    """Attempt one target with an acquired slot, and others while it is silent."""
    context.attempted.add(record.listed.id)
    state.statsd.count("attempts")
    outcome = metric_definitions.ABANDONED
    exchange = None
    try:
        exchange = await begin_exchange(state, context, record)
        outcome = AttemptResult.NEVER_SENT.value
    finally:
        if exchange is None:
            release_slot(state, context, record, outcome)
    if exchange is None:
        return AttemptResult.NEVER_SENT
    try:
        result = await _read_to_end(state, context, exchange)
    except BaseException as error:
        abandon_exchange(state, context, exchange, _is_cancellation(error))
        raise
    if isinstance(result, Takeover):
        return result
    end_exchange(state, context, exchange, result)
    await record_result(state, context, exchange, result)
    return result


def _is_cancellation(error: BaseException) -> bool:
    """Return whether `error` is nothing but a cancellation, maybe of several tasks."""
    if isinstance(error, BaseExceptionGroup):
        return error.split(trio.Cancelled)[1] is None
    return isinstance(error, trio.Cancelled)


async def _read_to_end(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> AttemptResult | Takeover:
    """Pass the answer on to its end, or until another target takes over."""
    read = partial(read_answer, state, context, exchange)
    attempt_others = partial(_attempt_others, state, context, exchange)
    result = await read()
    while result is AttemptResult.SILENT:
        hedge = await attempt_beside(state, context, exchange, read, attempt_others)
        if hedge.is_taken_over:
            return Takeover(hedge.error)
        result = hedge.result
    return result


async def _attempt_others(
    state: GatewayState, context: RequestContext, silent: Exchange
) -> FleetError | None:
    """Attempt other targets than a silent one; return the error if none answers."""
    if any(map(state.crashes.table.is_nearly_suspect, context.causes)):
        probe = state.crashes.prober.probe_after_break(silent.target, context.causes)
        await wait_for_probe(state, context, probe)
    if is_version_absent(state, context):
        return _version_absent_error(state, context)
    # Others that refused the request or were unreachable may accept it by now.
    context.attempted = set(context.ran_at)
    if not _should_continue(state, context, AttemptResult.SILENT):
        return _no_answer_error(state, context)
    return await _attempt_in_turn(state, context)


def _version_absent_error(state: GatewayState, context: RequestContext) -> FleetError:
    """Return the error of a stream that can go on at no target."""
    if context.may_have_run:
        return _no_answer_error(state, context)
    return version_absent_error()


def _quarantine_error(
    state: GatewayState, context: RequestContext, refusal: FleetError
) -> FleetError:
    """Return `refusal`, or the error of a request that may have run before."""
    return _no_answer_error(state, context) if context.may_have_run else refusal


def _failure_error(context: RequestContext) -> FleetError | None:
    """Return the error for an answer that was a failure, or None if it is forwarded."""
    if context.answer.is_begun:
        return None
    return FleetError(_K.TARGET_FAILED, "The target answered with an error.")


def _should_continue(
    state: GatewayState, context: RequestContext, result: AttemptResult
) -> bool:
    """Return whether another target is to be attempted after `result`."""
    if not context.is_retry:
        return True
    if not context.answer.may_be_continued:
        return False
    if result not in FREE_RESULTS and not context.may_retry:
        return False
    if is_retry_refused(state, context, wait_until_s(context)):
        return False
    window = state.retry_windows.get(context.match.service)
    if window.may_acquire(trio.current_time(), state.router_count):
        return True
    record_retry_refused(state, context)
    return False


def _no_answer_error(state: GatewayState, context: RequestContext) -> FleetError:
    """Return the error of a request that no target answered."""
    if context.may_have_run:
        return FleetError(_K.TARGET_FAILED, "The target sent no complete answer.")
    return FleetError(
        _K.OVERLOADED,
        "Every target of the service is full or unavailable.",
        retry_after_s=_retry_after_s(state, context),
        outcome=Outcome.NOT_RUN,
    )
