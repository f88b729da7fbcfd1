"""What the end of an exchange with a target leaves behind."""

import logging

import trio

from scaleloom_core.fleet_load import target_key
from scaleloom_core.target_outcomes import ONE_ANSWERED, ONE_FAILED
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway import metric_definitions
from scaleloom_fleet.gateway.attempt_results import (
    BROKEN_RESULTS,
    AnswerEnd,
    AttemptResult,
    answer_end,
)
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.hedges import keep_silent_targets
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.request_metrics import record_answer_end
from scaleloom_fleet.gateway.rollout_observations import record_end, record_timeout
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.stream_origins import record_repeated_events
from scaleloom_fleet.gateway.unknown_ends import is_leaving

_UNCOUNTED_RESULTS = frozenset({AttemptResult.BACKING_OFF, AttemptResult.WRONG_TARGET})
_logger = logging.getLogger("scaleloom.gateway")


def end_exchange(
    state: GatewayState,
    context: RequestContext,
    exchange: Exchange,
    result: AttemptResult,
) -> None:
    """Release the link and the slot, and record `result`."""
    target = exchange.target.id
    keep_silent_targets(context.hedges, exchange)
    if result in BROKEN_RESULTS:
        state.abandoned_links.abandon(target, exchange.link)
    else:
        state.link_pools.release(target, exchange.link)
    exchange.answer_end = end = answer_end(exchange.link.head, result)
    if end is not None:
        record_answer_end(state, context, target, exchange.link, end)
    if end is AnswerEnd.BROKEN and result is not AttemptResult.SILENT:
        _forget_cached_prompt(state, exchange)
    record_repeated_events(context, exchange)
    _clear_answering(context, exchange)
    _record_outcome(state, exchange, result)
    _probe_after_end(state, context, exchange, result)
    record_end(exchange, result)
    exchange.is_ended = True
    release_slot(state, context, exchange.record, result.value)


def _clear_answering(context: RequestContext, exchange: Exchange) -> None:
    """Let another target's answer be passed on after what this one has sent."""
    if context.answering is exchange:
        context.answering = None
    if exchange.has_claimed:
        context.answer.go_back_to_sent()


def abandon_exchange(
    state: GatewayState, context: RequestContext, exchange: Exchange, is_cancelled: bool
) -> None:
    """
    Release the link and the slot of an exchange that nobody waits for any more.

    Parameters
    ----------
    is_cancelled : bool
        Whether the deadline passed, the caller disconnected or another target's
        answer is passed on.
    """
    if exchange.is_ended:
        return
    keep_silent_targets(context.hedges, exchange)
    if is_cancelled:
        record_timeout(context, exchange)
        state.crashes.prober.record_abandoned(exchange.target, context.causes)
    state.abandoned_links.abandon(exchange.target.id, exchange.link)
    exchange.is_ended = True
    release_slot(state, context, exchange.record, metric_definitions.ABANDONED)


def release_slot(
    state: GatewayState, context: RequestContext, record: TargetRecord, outcome: str
) -> None:
    """Count an attempt and release the slot that it used at its target."""
    state.metrics_registry.add(metric_definitions.ATTEMPTS, outcome)
    state.wait_queue.release(record, context.match.customer)
    state.retry_after_scheduler.record_freed_slot(
        context.match.service, trio.current_time()
    )


def _record_outcome(
    state: GatewayState, exchange: Exchange, result: AttemptResult
) -> None:
    """Record `result` for the target, also in the reports to peers."""
    if result in _UNCOUNTED_RESULTS:
        return
    record, target = exchange.record, exchange.target.id
    if result is AttemptResult.ANSWERED:
        if record.ejection_s > 0.0:
            _logger.info("target returned from ejection", extra={"target": target})
        record.record_answer()
        outcomes = ONE_ANSWERED
    else:
        record.record_failure()
        outcomes = ONE_FAILED
    state.outcomes.add(target_key(target), outcomes)


def _forget_cached_prompt(state: GatewayState, exchange: Exchange) -> None:
    """Forget what only an answer that broke off has told of the target's cache."""
    if exchange.has_new_holder:
        state.chooser.forget_cached(exchange.placement, exchange.target.id)


def _probe_after_end(
    state: GatewayState,
    context: RequestContext,
    exchange: Exchange,
    result: AttemptResult,
) -> None:
    """Have the target probed if it may have crashed at the end of an exchange."""
    target, prober = exchange.target, state.crashes.prober
    if result in BROKEN_RESULTS:
        if result is AttemptResult.SILENT:
            prober.record_abandoned(target, context.causes)
        exchange.probe = prober.probe_after_break(target, context.causes)
    elif exchange.answer_end is AnswerEnd.UNKNOWN and not is_leaving(state, exchange):
        # A failure clears the request, but not the parts that it shares.
        causes = context.causes if exchange.has_succeeded else (context.digest,)
        prober.probe_after_unknown_end(target, causes)
