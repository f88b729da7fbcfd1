"""Quarantine of requests suspected of crashing targets."""

import trio

from scaleloom_core.crash_table import (
    MIN_QUARANTINE_CRASHES,
    SendDecision,
    SendPermission,
)
from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import TargetId
from scaleloom_fleet.gateway.attempt_results import (
    BROKEN_RESULTS,
    AnswerEnd,
    AttemptResult,
)
from scaleloom_fleet.gateway.crash_tracker import TrialOutcome
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.state import GatewayState

# After the store failed to record a trial, the time before it is asked again and
# before refused callers are asked to retry.
STORE_RETRY_S = 1.0


def find_decision(state: GatewayState, context: RequestContext) -> SendDecision | None:
    """Return the decision on a suspected request, or None if it is not suspected."""
    tracker = state.crashes
    if not tracker.table.suspect_count or not tracker.table.is_suspect(context.digest):
        return None
    return tracker.send_decision(context.digest)


async def wait_for_permission(
    state: GatewayState, context: RequestContext, until_s: float
) -> FleetError | None:
    """
    Return the refusal of `context`, or None if the request may be sent.

    While another router runs a trial of the same request, waits until `until_s` for its
    outcome: an answer clears the request.
    """
    while (decision := find_decision(state, context)) is not None:
        context.is_on_trial = decision.permission is SendPermission.TRIAL_ONLY
        if context.is_on_trial and not _is_trial_unrecorded(state, decision):
            return None
        if not decision.is_trial_running or trio.current_time() >= until_s:
            return _quarantine_refusal(decision)
        with trio.move_on_at(min(until_s, decision.retry_at_s)):
            await state.crashes.changed.wait()
    context.is_on_trial = False
    return None


def _is_trial_unrecorded(state: GatewayState, decision: SendDecision) -> bool:
    """Return whether the request needs a recorded trial and the store records none."""
    is_store_failing = trio.current_time() < state.crashes.store_retry_at_s
    return is_store_failing and decision.crash_count >= MIN_QUARANTINE_CRASHES


def _quarantine_refusal(decision: SendDecision) -> FleetError:
    """Return the refusal of a quarantined request."""
    wait_s = decision.retry_at_s - trio.current_time()
    return FleetError(
        ErrorKind.REQUEST_QUARANTINED,
        f"{decision.crash_count} targets crashed while they ran this request.",
        retry_after_s=wait_s if wait_s > 0.0 else STORE_RETRY_S,
    )


async def may_send(
    state: GatewayState, context: RequestContext, target: TargetId
) -> bool:
    """
    Return whether `context` may be sent to `target` now.

    A suspected request is sent only as a trial, one at a time in the whole fleet. While
    the store cannot record trials it is sent all the same, unless
    `MIN_QUARANTINE_CRASHES` or more targets crashed under it.
    """
    decision = find_decision(state, context)
    if decision is None:
        return True
    if decision.permission is not SendPermission.TRIAL_ONLY or not context.is_on_trial:
        return False
    tracker = state.crashes
    outcome = TrialOutcome.UNCOUNTED
    if trio.current_time() >= tracker.store_retry_at_s:
        outcome = await tracker.begin_trial(context.digest, target)
    if outcome is TrialOutcome.BEGUN:
        trial = tracker.table.find_running_trial(context.digest, trio.current_time())
        context.trial_number = trial.number if trial is not None else None
    if outcome is not TrialOutcome.UNCOUNTED:
        return outcome is TrialOutcome.BEGUN
    tracker.store_retry_at_s = trio.current_time() + STORE_RETRY_S
    return decision.crash_count < MIN_QUARANTINE_CRASHES


def cancel_trial(state: GatewayState, context: RequestContext) -> None:
    """Cancel the trial begun for `context`, if any, since the request is not sent."""
    if context.trial_number is not None:
        state.crashes.cancel_trial(context.digest, context.trial_number)
        context.trial_number = None


async def record_result(
    state: GatewayState, context: RequestContext, result: AttemptResult
) -> None:
    """Record what the result of an attempt says about the request."""
    tracker = state.crashes
    if result in BROKEN_RESULTS and context.probe is not None:
        if tracker.table.find_history(context.digest) is not None:
            # One more crash may quarantine the request, so wait for the probe.
            await context.probe.is_done.wait()
    elif context.answer_end is AnswerEnd.WHOLE:
        # The target was still running at the end, so the request did not crash it.
        tracker.record_answer(context.digest)
