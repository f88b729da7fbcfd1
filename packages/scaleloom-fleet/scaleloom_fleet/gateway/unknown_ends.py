"""Ends of answers that only the end of the target's connection marks."""

import trio

from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.links import AnswerProtocolError

# A process that ends may close its listening socket after the connection.
PROCESS_END_S = 0.01


async def check_target_runs(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> None:
    """
    Check, before the end of an answer is passed on, that its target still runs.

    A process that ends closes its connections as behind a complete answer.

    Raises
    ------
    AnswerProtocolError
        If only the end of the connection marks the end, and the target accepts no
        connection any more.
    """
    if exchange.link.head.has_known_end:
        return
    await trio.sleep(PROCESS_END_S)
    if is_leaving(state, exchange):
        # Its end is planned, and no crash to be recorded.
        is_running = await state.crashes.prober.is_running(exchange.target)
    else:
        is_running = await _has_not_crashed(state, context, exchange)
    if is_running is False:
        raise AnswerProtocolError("target is gone at the end of its answer")


async def _has_not_crashed(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> bool:
    """Have the target probed, also for the records of crashes; return the result."""
    # A failure clears the request, but not the parts that it shares.
    causes = context.causes if exchange.has_succeeded else (context.digest,)
    probe = state.crashes.prober.probe_after_unknown_end(exchange.target, causes)
    exchange.probe = probe
    await probe.is_done.wait()
    return not probe.has_crashed


def is_leaving(state: GatewayState, exchange: Exchange) -> bool:
    """Return whether the target leaves as planned."""
    newest = state.view.records.get(exchange.target.id)
    return newest is None or not newest.is_ready
