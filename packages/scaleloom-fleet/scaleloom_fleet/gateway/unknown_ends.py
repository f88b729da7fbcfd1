"""Ends of answers that only the end of the target's connection marks."""

from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.links import AnswerProtocolError


async def check_target_runs(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> None:
    """
    Check, before the end of an answer is passed on, that its target has not crashed.

    A process that ends closes its connections as behind a complete answer. One that
    leaves as planned ends soon after such an answer, so it is not asked.

    Raises
    ------
    AnswerProtocolError
        If only the end of the connection marks the end, and the target crashed.
    """
    if exchange.link.head.has_known_end or is_leaving(state, exchange):
        return
    # A failure clears the request, but not the parts that it shares.
    causes = context.causes if exchange.has_succeeded else (context.digest,)
    prober = state.crashes.prober
    exchange.probe = prober.probe_after_unknown_end(exchange.target, causes)
    await exchange.probe.is_done.wait()
    if exchange.probe.has_crashed:
        raise AnswerProtocolError("target crashed at the end of its answer")


def is_leaving(state: GatewayState, exchange: Exchange) -> bool:
    """Return whether the target leaves as planned."""
    newest = state.view.records.get(exchange.target.id)
    return newest is None or not newest.is_ready
