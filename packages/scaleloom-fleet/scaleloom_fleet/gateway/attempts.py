"""A request's way over one target or several, to its one answer."""

import logging

import trio

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.hashing import HASH_SPAN, hash_text
from scaleloom_core.return_times import ReturnLine
from scaleloom_core.target_news import RETURN_RAMP_S
from scaleloom_core.target_records import TargetRecord
from scaleloom_core.waiting_order import Claim
from scaleloom_fleet.gateway import figures
from scaleloom_fleet.gateway.answering import answer_error
from scaleloom_fleet.gateway.choosing import (
    choose_target,
    is_evacuated,
    rests_until_s,
)
from scaleloom_fleet.gateway.crash_gate import (
    note_verdict,
    wait_for_leave,
)
from scaleloom_fleet.gateway.events import EventSplitter
from scaleloom_fleet.gateway.exchanges import PROMISES_NOT_RUN, send_to
from scaleloom_fleet.gateway.matching import Match, match_request
from scaleloom_fleet.gateway.measuring import (
    note_left,
    note_repeat_refused,
    note_served,
    note_unserved,
)
from scaleloom_fleet.gateway.passing import pass_answer
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.verdicts import TURNED_AWAY, Verdict
from scaleloom_fleet.gateway.waiting import Waiter
from scaleloom_fleet.gateway.work import Work
from scaleloom_fleet.http1.callers import CallerConnection, CallerGone, CallerRequest

HOP_LIMIT = 6
STOPPING_RETRY_AFTER_S = 0.05
QUEUE_SHARE_OF_OBJECTIVE = 0.22
# A caller that came back later would have too little time for the answer.
RETURN_SHARE_OF_TIME_LEFT = 0.3
# Times are told in steps of this; a moment too soon would be in vain.
TOLD_STEP_S = 0.01
# Operators take an evacuation back after seconds at the soonest.
EVACUATED_RETURN_S = 3.0
_K = ErrorKind
_STOPPING = FleetError(
    _K.NOT_READY, "This router is stopping.", retry_after_s=STOPPING_RETRY_AFTER_S
)
_logger = logging.getLogger("scaleloom.gateway")


async def serve(
    state: GatewayState, connection: CallerConnection, request: CallerRequest
) -> None:
    """
    Answer one request.

    Raises
    ------
    CallerGone
        If the caller left meanwhile.
    """
    matched = match_request(state.routing, request, state.adapter.headers)
    match: Match | None = matched.value_or(None)
    state.metrics.count("requests")
    if match is None:
        await _refuse(state, connection, matched.failure())
        return
    if match.deadline_s > state.last_answer_s:
        await _refuse(state, connection, _STOPPING, match.route.kind.value)
        return
    work = Work(connection, request, match, match.placement)
    if match.route.is_resumable:
        work.splitter = EventSplitter()
    state.windows.of(match.service).note_request(trio.current_time())
    try:
        with trio.CancelScope(deadline=match.deadline_s) as scope:
            connection.watch(scope)
            error = await _try_targets(state, work)
    except CallerGone:
        note_left(state, work)
        raise
    if connection.has_left:
        state.metrics.count("left")
        note_left(state, work)
        raise CallerGone
    if scope.cancelled_caught:
        error = _late(work)
    state.metrics.timing("request", trio.current_time() - match.received_s)
    if error is None:
        state.metrics.count("served")
        note_served(state, work)
        return
    await _conclude(state, work, error)


async def _refuse(
    state: GatewayState,
    connection: CallerConnection,
    error: FleetError,
    kind: str = figures.NO_KIND,
) -> None:
    """Refuse a request before a target was chosen."""
    state.metrics.count(f"refusals.{error.kind.value}")
    note_unserved(state, error, kind)
    await answer_error(connection, error, state.is_stopping)


def _late(work: Work) -> FleetError:
    """Return the error of a request whose time ran out."""
    if work.may_have_run:
        return FleetError(_K.DEADLINE_PASSED, "The time for the answer ran out.")
    return FleetError(_K.OVERLOADED, "No place became free in time.")


def _return_after_s(state: GatewayState, work: Work) -> float | None:
    """
    Return when the caller should come back, or None for the usual time.

    Where all targets rest, that is when the first of them has rested, however much
    later than the caller's own time. A router that holds nothing is not busy: it has
    just started, or reaches no target for a moment, and both end sooner than places
    become free.
    """
    now_s = trio.current_time()
    match = work.match
    rested_s = rests_until_s(state, match.service)
    if rested_s is not None:
        # Sooner, the caller would come in vain; all at once, in each other's way.
        spread_s = RETURN_RAMP_S * hash_text(match.request_id) / HASH_SPAN
        return rested_s - now_s + spread_s + TOLD_STEP_S
    latest_s = RETURN_SHARE_OF_TIME_LEFT * (match.deadline_s - now_s)
    if is_evacuated(state, match.service):
        return min(latest_s, EVACUATED_RETURN_S)
    if not state.load.own:
        return None
    line = ReturnLine(match.service, match.priority, match.customer)
    return min(latest_s, state.returns.book(line, now_s))


async def _conclude(state: GatewayState, work: Work, error: FleetError) -> None:
    """Give a request that got no success its final answer."""
    fields = {
        "request": work.match.request_id,
        "digest": f"{work.digest:016x}",
        "kind": error.kind.value,
        "service": work.match.service,
        "sends": work.sends,
        "held_ms": int((trio.current_time() - work.match.received_s) * 1000),
        "tried": sorted(work.tried),
        "version": state.routing.version if state.routing else None,
        "list_age_ms": state.freshness.age_ms(trio.current_time()),
        "routers": state.router_count,
        "held_there": sum(state.load.held(target) for target in work.tried),
    }
    _logger.info("request not served", extra=fields)
    state.metrics.count(f"failures.{error.kind.value}")
    note_unserved(state, error, work.match.route.kind.value)
    if work.is_answer_begun:
        work.connection.reset()
        return
    if work.failure is not None and _can_pass_on(work.failure[0].status):
        await pass_answer(state, work, *work.failure)
        return
    await answer_error(work.connection, error, state.is_stopping)


def _can_pass_on(status: int) -> bool:
    """Return whether a target's failure may be passed on as it is."""
    return status not in PROMISES_NOT_RUN


async def _try_targets(state: GatewayState, work: Work) -> FleetError | None:
    """Try targets until one answers; return the error if none did."""
    for _ in range(HOP_LIMIT):
        held = await wait_for_leave(state, work, _patient_until_s(work))
        if held is not None:
            return _no_leave(state, work, held)
        record = await _admit(state, work)
        if record is None:
            return _no_answer(state, work)
        can_repeat = _may_send_again(work, 1)
        work.tried.add(record.listed.id)
        state.metrics.count("attempts")
        told = figures.ABANDONED
        try:
            verdict = await send_to(state, work, record, can_repeat)
            told = verdict.value
        finally:
            state.figures.add(figures.ATTEMPTS, told)
            _release(state, work, record)
        await note_verdict(state, work, verdict)
        if verdict is Verdict.ANSWERED:
            return _client_error(work)
        if not _goes_on(state, work, verdict):
            return _no_answer(state, work)
    return _no_answer(state, work)


def _release(state: GatewayState, work: Work, record: TargetRecord) -> None:
    """Give the place at a target back."""
    state.waiting.release(record, work.match.customer)
    state.returns.note_freed(work.match.service, trio.current_time())


def _no_leave(state: GatewayState, work: Work, held: FleetError) -> FleetError:
    """Return the error of a request that is sent to no further target."""
    return _no_answer(state, work) if work.may_have_run else held


def _client_error(work: Work) -> FleetError | None:
    """Return the error to conclude with if the answer was a failure."""
    if work.is_answer_begun:
        return None
    return FleetError(_K.TARGET_FAILED, "The target answered with a failure.")


def _may_send_again(work: Work, more: int) -> bool:
    """Return whether the request may run at another target besides."""
    route = work.match.route
    return route.is_repeatable and work.sends + more < route.attempt_limit


def _goes_on(state: GatewayState, work: Work, verdict: Verdict) -> bool:
    """Return whether another target is to be tried after `verdict`."""
    if verdict is Verdict.NEVER_SENT:
        return True
    is_proof = verdict in TURNED_AWAY
    if not is_proof and not _may_send_again(work, 0):
        return False
    if is_proof:
        work.sends -= 1
    if work.splitter is not None:
        work.splitter.drop_partial()
    window = state.windows.of(work.match.service)
    if window.try_spend(trio.current_time(), state.router_count):
        return True
    note_repeat_refused(state, work)
    return False


def _no_answer(state: GatewayState, work: Work) -> FleetError:
    """Return the error of a request that no target answered."""
    if work.may_have_run:
        return FleetError(_K.TARGET_FAILED, "The target gave no whole answer.")
    return FleetError(
        _K.OVERLOADED,
        "Every target of the service is full or away.",
        retry_after_s=_return_after_s(state, work),
        outcome=Outcome.NOT_RUN,
    )


async def _admit(state: GatewayState, work: Work) -> TargetRecord | None:
    """Return a target with a place for the request, waiting a little for one."""
    match = work.match

    def choose() -> TargetRecord | None:
        return choose_target(state, work)

    if state.waiting.is_empty(match.service):
        record = choose()
        if record is not None:
            state.waiting.take(record, match.customer)
            return record
    if is_evacuated(state, match.service):
        return None
    waiter = Waiter(_claim(state, work), _patient_until_s(work), choose)
    return await state.waiting.wait(match.service, waiter)


def _patient_until_s(work: Work) -> float:
    """Return until when a request may wait before it is sent."""
    match = work.match
    patience_s = QUEUE_SHARE_OF_OBJECTIVE * match.route.objective_ms / 1000.0
    return match.received_s + patience_s


def _claim(state: GatewayState, work: Work) -> Claim:
    """Return what a request can say for itself while it waits."""
    match = work.match
    now_s = trio.current_time()
    return Claim(
        request_id=match.request_id,
        customer=match.customer,
        priority=match.priority,
        route_priority=match.route.priority,
        deadline_s=match.deadline_s,
        is_overdue=match.is_overdue(now_s),
        reads_prompt=not state.chooser.is_kept(work.placement, match.policy, now_s),
    )
