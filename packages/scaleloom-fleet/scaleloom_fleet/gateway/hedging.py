"""Attempts at other targets while a silent one may still go on."""

from collections.abc import Awaitable, Callable
from functools import partial

import trio

from scaleloom_core.errors import FleetError
from scaleloom_core.routing import RequestKind
from scaleloom_fleet.gateway.attempt_results import AttemptResult
from scaleloom_fleet.gateway.exchange_ends import end_exchange
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.hedges import UNLIMITED_S, Hedge
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.request_metrics import record_silence, record_silence_end
from scaleloom_fleet.gateway.silences import has_fallen_silent
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.callers import CallerDisconnected

# A slot, the retry budget or a target may have become available by then.
ATTEMPT_INTERVAL_S = 1.0
# What has arrived is read within this time, unless the process is very late.
READ_TIME_S = 0.02

AttemptOthers = Callable[[], Awaitable[FleetError | None]]
ReadAnswer = Callable[[], Awaitable[AttemptResult]]


async def attempt_beside(
    state: GatewayState,
    context: RequestContext,
    silent: Exchange,
    read_answer: ReadAnswer,
    attempt_others: AttemptOthers,
) -> Hedge:
    """
    Attempt other targets until one of them or the silent one goes on.

    A silence proves nothing: the silent target keeps the request until another one has
    got it, and has begun to answer or has not refused it for a moment.

    Parameters
    ----------
    read_answer : callable
        Goes on reading from the silent target.
    attempt_others : callable
        Attempts other targets; returns the error if none of them answered.

    Raises
    ------
    CallerDisconnected
        If the caller disconnects meanwhile.
    """
    hedge = Hedge(silent, silent.link.received_s)
    record_silence(context, silent)
    context.answering = None
    context.hedges.append(hedge)
    try:
        async with trio.open_nursery() as nursery:
            read_on = partial(_read_on, state, context, hedge, read_answer)
            nursery.start_soon(read_on, nursery.cancel_scope)
            nursery.start_soon(_give_up_in_time, hedge)
            await _attempt_until_decided(hedge, attempt_others)
            _complete_if_answered(context, nursery.cancel_scope)
    finally:
        context.hedges.remove(hedge)
        if not (hedge.is_taken_over or hedge.has_gone_on):
            record_silence_end(state, context, hedge)
    if hedge.is_disconnected:
        raise CallerDisconnected
    return hedge


async def _read_on(
    state: GatewayState,
    context: RequestContext,
    hedge: Hedge,
    read_answer: ReadAnswer,
    scope: trio.CancelScope,
) -> None:
    """Go on reading from the silent target, until another one takes over."""
    with hedge.silent_scope:
        try:
            hedge.result = await read_answer()
        except CallerDisconnected:
            hedge.is_disconnected = True
            hedge.others_scope.cancel()
        _complete_if_answered(context, scope)
    hedge.is_decided.set()
    hedge.limit(UNLIMITED_S)
    if hedge.silent_scope.cancelled_caught and not hedge.is_disconnected:
        _take_over(state, context, hedge)


async def _give_up_in_time(hedge: Hedge) -> None:
    """
    Give the silent target up at `give_up_s`, unless it goes on before.

    After a pause of the process that time and what the target has sent meanwhile come
    to notice at once, and the task that reads may run after this one.
    """
    while not hedge.is_decided.is_set():
        hedge.is_limit_changed = trio.Event()
        with trio.move_on_at(hedge.give_up_s):
            await hedge.is_limit_changed.wait()
            continue
        if not has_fallen_silent(hedge.silent):
            await trio.sleep(READ_TIME_S)
        if trio.current_time() >= hedge.give_up_s:
            hedge.silent_scope.cancel()
            return


def _complete_if_answered(context: RequestContext, scope: trio.CancelScope) -> None:
    """Let no disconnect of a caller that has its answer cancel what is left to do."""
    scope.shield = context.connection.is_answer_complete


async def _attempt_until_decided(hedge: Hedge, attempt_others: AttemptOthers) -> None:
    """Attempt other targets, again at intervals while the silent one stays silent."""
    with hedge.others_scope:
        while not hedge.is_decided.is_set():
            try:
                hedge.error = await attempt_others()
            except CallerDisconnected:
                hedge.is_disconnected = True
                hedge.silent_scope.cancel()
                return
            if hedge.is_taken_over or hedge.is_disconnected:
                return
            with trio.move_on_after(ATTEMPT_INTERVAL_S):
                await hedge.is_decided.wait()


async def claim_answer(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> None:
    """Pass on the answer of `exchange` from now on, and give up all others."""
    if context.match.route.kind is RequestKind.STREAM:
        await _wait_for_others(context, exchange)
    await _stop_if_given_up(context, exchange)
    await stop_if_answered(context)
    context.answering = exchange
    exchange.has_claimed = True
    for hedge in context.hedges:
        if hedge.silent is exchange:
            hedge.has_gone_on = True
            hedge.limit(UNLIMITED_S)
            record_silence_end(state, context, hedge)
            hedge.others_scope.cancel()
            return
        _take_over(state, context, hedge)


async def _wait_for_others(context: RequestContext, exchange: Exchange) -> None:
    """
    Wait until no other target may run the stream of a target that was silent.

    Two targets must not both run a stream, and another one that got it may run it.
    """
    for hedge in context.hedges:
        while hedge.silent is exchange and hedge.may_be_replaced:
            hedge.is_kept = trio.Event()
            await hedge.is_kept.wait()


async def _stop_if_given_up(context: RequestContext, exchange: Exchange) -> None:
    """Wait for the cancellation if the exchange is given up, as its time is up."""
    if any(
        h.silent is exchange and h.silent_scope.cancel_called for h in context.hedges
    ):
        await trio.sleep_forever()


async def stop_if_answered(context: RequestContext) -> None:
    """Wait for the cancellation if another exchange's answer is passed on."""
    if context.answering is not None:
        await trio.sleep_forever()


def _take_over(state: GatewayState, context: RequestContext, hedge: Hedge) -> None:
    """Give up the silent target, whose request another target has got."""
    if hedge.is_taken_over:
        return
    hedge.is_taken_over = True
    record_silence_end(state, context, hedge)
    hedge.silent_scope.cancel()
    if hedge.result is None:
        context.left_silent.add(hedge.silent.target.id)
    result = hedge.result or AttemptResult.SILENT
    end_exchange(state, context, hedge.silent, result)
