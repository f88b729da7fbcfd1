"""Quarantine of requests that are, or hold a prompt part, suspected of crashes."""

import trio

from scaleloom_core.crash_history import (
    MIN_QUARANTINE_CRASHES,
    SendDecision,
    SendPermission,
)
from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import CauseDigest, TargetId
from scaleloom_fleet.gateway.attempt_results import (
    BROKEN_RESULTS,
    NOT_RUN_RESULTS,
    AnswerEnd,
    AttemptResult,
)
from scaleloom_fleet.gateway.crash_tracker import TrialOutcome
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.target_probes import TargetProbe

# After the store failed to record a trial, the time before it is asked again and
# before refused callers are asked to retry.
STORE_RETRY_S = 1.0


def find_suspects(
    state: GatewayState, context: RequestContext
) -> dict[CauseDigest, SendDecision]:
    """Return the decisions on the request and on those of its parts under suspicion."""
    tracker = state.crashes
    if not tracker.table.suspect_count:
        return {}
    return {
        cause: tracker.send_decision(cause)
        for cause in context.causes
        if tracker.table.is_suspect(cause)
    }


def find_decision(state: GatewayState, context: RequestContext) -> SendDecision | None:
    """Return the strictest decision on a request, or None without a suspicion."""
    decisions = find_suspects(state, context).values()
    return max(decisions, key=_strictness, default=None)


def _strictness(decision: SendDecision) -> tuple[bool, bool, float, int]:
    """Return a sort key that puts the decision that holds longest last."""
    is_quarantined = decision.permission is SendPermission.QUARANTINED
    is_final = is_quarantined and not decision.is_trial_running
    return is_quarantined, is_final, decision.retry_at_s, decision.crash_count


async def wait_for_permission(
    state: GatewayState, context: RequestContext, until_s: float
) -> FleetError | None:
    """
    Return the refusal of `context`, or None if the request may be sent.

    While another trial of the same request or prompt part is running, waits until
    `until_s` for its outcome: an answer clears both.
    """
    while (decision := find_decision(state, context)) is not None:
        context.is_on_trial = decision.permission is SendPermission.TRIAL_ONLY
        if context.is_on_trial and not _is_trial_unrecorded(state, decision):
            return None
        if not decision.is_trial_running or trio.current_time() >= until_s:
            return _quarantine_refusal(state, context, decision)
        with trio.move_on_at(min(until_s, decision.retry_at_s)):
            await state.crashes.changed.wait()
    context.is_on_trial = False
    return None


def is_retry_refused(
    state: GatewayState, context: RequestContext, until_s: float
) -> bool:
    """Return whether a retry, which may wait until `until_s`, would be refused now."""
    decision = find_decision(state, context)
    if decision is None:
        return False
    if decision.permission is SendPermission.TRIAL_ONLY:
        return _is_trial_unrecorded(state, decision)
    return not decision.is_trial_running or trio.current_time() >= until_s


def _is_trial_unrecorded(state: GatewayState, decision: SendDecision) -> bool:
    """Return whether the request needs a recorded trial and the store records none."""
    is_store_failing = trio.current_time() < state.crashes.store_retry_at_s
    return is_store_failing and decision.crash_count >= MIN_QUARANTINE_CRASHES


def _quarantine_refusal(
    state: GatewayState, context: RequestContext, decision: SendDecision
) -> FleetError:
    """Return the refusal of a quarantined request."""
    _name_parts(state, context)
    wait_s = decision.retry_at_s - trio.current_time()
    return FleetError(
        ErrorKind.REQUEST_QUARANTINED,
        f"{decision.crash_count} targets crashed while they ran this request, or"
        " others with the same part in their prompts.",
        retry_after_s=wait_s if wait_s > 0.0 else STORE_RETRY_S,
    )


async def may_send(
    state: GatewayState, context: RequestContext, target: TargetId
) -> bool:
    """
    Return whether `context` may be sent to `target` now.

    A suspected request, or one with a suspected prompt part, is sent only as a trial,
    one at a time in the whole fleet. While the store cannot record trials it is sent
    all the same, unless `MIN_QUARANTINE_CRASHES` or more targets crashed.
    """
    suspects = find_suspects(state, context)
    if not suspects:
        return True
    decision = max(suspects.values(), key=_strictness)
    if decision.permission is not SendPermission.TRIAL_ONLY or not context.is_on_trial:
        return False
    tracker = state.crashes
    outcome = TrialOutcome.UNCOUNTED
    if trio.current_time() >= tracker.store_retry_at_s:
        outcome = await tracker.begin_trial(tuple(suspects), target)
    if outcome is TrialOutcome.BEGUN:
        context.trials = tracker.running_trials(suspects)
    if outcome is not TrialOutcome.UNCOUNTED:
        return outcome is TrialOutcome.BEGUN
    tracker.store_retry_at_s = trio.current_time() + STORE_RETRY_S
    return decision.crash_count < MIN_QUARANTINE_CRASHES


def cancel_trial(state: GatewayState, context: RequestContext) -> None:
    """Cancel the trials begun with `context`, if any, since no target runs it."""
    for cause, number in context.trials.items():
        state.crashes.cancel_trial(cause, number)
    context.trials = {}


async def record_result(
    state: GatewayState,
    context: RequestContext,
    exchange: Exchange,
    result: AttemptResult,
) -> None:
    """Record what the result of an exchange says about the request and its parts."""
    tracker = state.crashes
    if result in BROKEN_RESULTS and exchange.probe is not None:
        await wait_for_probe(state, context, exchange.probe)
    elif result in NOT_RUN_RESULTS:
        cancel_trial(state, context)
    elif exchange.answer_end is AnswerEnd.COMPLETE:
        # The target was still running at the end, so the request did not crash it.
        tracker.record_answer((context.digest,))
        if exchange.has_succeeded:
            # A failure may come before the target has begun to write on the prompt.
            tracker.record_answer(context.part_digests)


async def wait_for_probe(
    state: GatewayState, context: RequestContext, probe: TargetProbe
) -> None:
    """Wait for `probe` if one more crash may quarantine the request."""
    _name_parts(state, context)
    if any(map(state.crashes.table.is_nearly_suspect, context.causes)):
        await probe.is_done.wait()


def _name_parts(state: GatewayState, context: RequestContext) -> None:
    """Remember the ids of the prompt's parts for operators."""
    names = zip(context.part_digests, context.match.prompt_parts)
    state.crashes.part_names.update(names)
