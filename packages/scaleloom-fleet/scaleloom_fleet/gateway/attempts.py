"""Handling of one request: attempts at targets until one answers or none is left."""

import logging

import trio

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.hashing import HASH_SPAN, hash_text
from scaleloom_core.queue_order import QueuedRequest
from scaleloom_core.retry_after import RetryAfterQueue
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.target_signals import RAMP_UP_S
from scaleloom_fleet.gateway import metric_definitions
from scaleloom_fleet.gateway.attempt_results import NOT_RUN_RESULTS, AttemptResult
from scaleloom_fleet.gateway.error_responses import send_error
from scaleloom_fleet.gateway.event_splitter import EventSplitter
from scaleloom_fleet.gateway.exchanges import NOT_RUN_STATUSES, send_to
from scaleloom_fleet.gateway.forwarding import forward_answer
from scaleloom_fleet.gateway.matching import Match, match_request
from scaleloom_fleet.gateway.quarantine import (
    is_retry_refused,
    record_result,
    wait_for_permission,
)
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.request_metrics import (
    record_disconnect,
    record_retry_refused,
    record_served,
    record_unserved,
)
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.stream_origins import (
    bind_resumption,
    is_narrowed,
    is_version_absent,
    version_absent_error,
)
from scaleloom_fleet.gateway.target_selection import (
    backoff_until_s,
    choose_target,
    is_evacuated,
)
from scaleloom_fleet.gateway.wait_queue import Waiter
from scaleloom_fleet.http1.callers import (
    CallerConnection,
    CallerDisconnected,
    CallerRequest,
)

ATTEMPT_LIMIT = 6
STOPPING_RETRY_AFTER_S = 0.05
QUEUE_SHARE_OF_OBJECTIVE = 0.22
# A caller that retried later would have too little time left for the answer.
RETRY_AFTER_SHARE_OF_TIME_LEFT = 0.3
# Retry-After values are rounded to this step, which is added to them so that no
# retry comes too early.
RETRY_AFTER_STEP_S = 0.01
# A prompt may have as many parts as fit into a header.
MAX_LOGGED_PARTS = 8
# Operators end an evacuation after some seconds at the earliest.
EVACUATED_RETRY_AFTER_S = 3.0
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
    context = RequestContext(connection, request, match, match.placement)
    if match.route.is_resumable:
        context.splitter = EventSplitter()
    state.retry_windows.get(match.service).record_request(trio.current_time())
    try:
        with trio.CancelScope(deadline=match.deadline_s) as scope:
            connection.cancel_on_disconnect(scope)
            error = await _attempt_targets(state, context)
    except CallerDisconnected:
        record_disconnect(state, context)
        raise
    if connection.is_disconnected:
        state.statsd.count("left")
        record_disconnect(state, context)
        raise CallerDisconnected
    if scope.cancelled_caught:
        error = _timeout_error(context)
    state.statsd.timing("request", trio.current_time() - match.received_s)
    if error is None:
        state.statsd.count("served")
        record_served(state, context)
        return
    await _send_failure(state, context, error)


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
    if context.is_answer_started:
        context.connection.reset()
        return
    if context.failure is not None and _can_forward(context.failure[0].status):
        await forward_answer(state, context, *context.failure)
        return
    await send_error(context.connection, error, state.is_stopping)


def _can_forward(status: int) -> bool:
    """Return whether a target's failure with `status` may be forwarded unchanged."""
    return status not in NOT_RUN_STATUSES


async def _attempt_targets(
    state: GatewayState, context: RequestContext
) -> FleetError | None:
    """Attempt targets until one answers; return the error if none does."""
    if context.match.is_resumption:
        refusal = await bind_resumption(state, context)
        if refusal is not None:
            return refusal
    for _ in range(ATTEMPT_LIMIT):
        refusal = await wait_for_permission(state, context, _wait_until_s(context))
        if refusal is not None:
            return _quarantine_error(state, context, refusal)
        record = await _acquire_target(state, context)
        if record is None:
            return _no_answer_error(state, context)
        can_retry = _may_retry(context, 1)
        context.attempted.add(record.listed.id)
        state.statsd.count("attempts")
        outcome = metric_definitions.ABANDONED
        try:
            result = await send_to(state, context, record, can_retry)
            outcome = result.value
        finally:
            state.metrics_registry.add(metric_definitions.ATTEMPTS, outcome)
            _release_slot(state, context, record)
        await record_result(state, context, result)
        if result is AttemptResult.ANSWERED:
            return _failure_error(context)
        if is_version_absent(state, context):
            return _version_absent_error(state, context)
        if not _should_continue(state, context, result):
            return _no_answer_error(state, context)
    return _no_answer_error(state, context)


def _release_slot(
    state: GatewayState, context: RequestContext, record: TargetRecord
) -> None:
    """Release the slot that the attempt held at its target."""
    state.wait_queue.release(record, context.match.customer)
    state.retry_after_scheduler.record_freed_slot(
        context.match.service, trio.current_time()
    )


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
    if context.is_answer_started:
        return None
    return FleetError(_K.TARGET_FAILED, "The target answered with an error.")


def _may_retry(context: RequestContext, more: int) -> bool:
    """Return whether the request may be retried at another target."""
    route = context.match.route
    return route.is_retryable and context.send_count + more < route.attempt_limit


def _should_continue(
    state: GatewayState, context: RequestContext, result: AttemptResult
) -> bool:
    """Return whether another target is to be attempted after `result`."""
    if result is AttemptResult.NEVER_SENT:
        return True
    is_not_run = result in NOT_RUN_RESULTS
    if not is_not_run and not _may_retry(context, 0):
        return False
    if is_not_run:
        context.send_count -= 1
    if context.splitter is not None:
        context.splitter.drop_partial()
    if is_retry_refused(state, context, _wait_until_s(context)):
        # Leaves the retry budget to requests that can still be served.
        return False
    window = state.retry_windows.get(context.match.service)
    if window.try_acquire(trio.current_time(), state.router_count):
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


async def _acquire_target(
    state: GatewayState, context: RequestContext
) -> TargetRecord | None:
    """Return a target with a slot acquired for the request, or None."""
    match = context.match

    def choose() -> TargetRecord | None:
        return choose_target(state, context)

    must_wait = state.wait_queue.must_wait(match.service)
    if not must_wait or is_narrowed(state, context):
        record = choose()
        if record is not None:
            state.wait_queue.acquire(record, match.customer)
            return record
    if is_evacuated(state, match.service):
        return None
    waiter = Waiter(
        _queued_request(state, context),
        _wait_until_s(context),
        choose,
        excludes_targets=bool(context.attempted)
        or context.is_on_trial
        or is_narrowed(state, context),
    )
    return await state.wait_queue.wait(match.service, waiter)


def _wait_until_s(context: RequestContext) -> float:
    """Return until when a request may wait before it is sent."""
    match = context.match
    max_wait_s = QUEUE_SHARE_OF_OBJECTIVE * match.route.objective_ms / 1000.0
    return match.received_s + max_wait_s


def _queued_request(state: GatewayState, context: RequestContext) -> QueuedRequest:
    """Return the entry of a request in the wait queue."""
    match = context.match
    now_s = trio.current_time()
    return QueuedRequest(
        request_id=match.request_id,
        customer=match.customer,
        priority=match.priority,
        route_priority=match.route.priority,
        deadline_s=match.deadline_s,
        is_overdue=match.is_overdue(now_s),
        needs_prefill=not state.chooser.has_holder(
            context.placement, match.policy, now_s
        ),
    )
