"""Ends of answers that only the end of the target's connection marks."""

import trio

from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1 import sockets
from scaleloom_fleet.http1.links import AnswerProtocolError, Link
from scaleloom_fleet.utils.addresses import Address

# A process that ends may close its listening socket after the connection.
PROCESS_END_S = 0.005
# A target that neither accepts nor refuses a connection may be busy.
CHECK_LIMIT_S = 0.25
# What the caller needs to get the end before its deadline.
END_MARGIN_S = 0.05


async def check_target_at_end(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> None:
    """
    Check whether an answer that ended with its connection may be passed on as it came.

    A process that ends closes its connections as behind a complete answer. Only a
    refused connection shows that; one that leaves as planned may have closed its port
    long before, so it is not asked.

    Raises
    ------
    AnswerProtocolError
        If only the end of the connection marks the end, and either the target is gone
        or it has reported a success without having read the request.
    """
    if exchange.link.head.has_known_end:
        return
    if is_unread_success(exchange.link):
        raise AnswerProtocolError("answer ended before the request was sent")
    if not is_leaving(state, exchange) and await _is_gone(context, exchange):
        raise AnswerProtocolError("target is gone at the end of its answer")


def is_unread_success(link: Link) -> bool:
    """Return whether a success has come without the server having got the request."""
    return link.has_unsent and 200 <= link.head.status < 300


async def _is_gone(context: RequestContext, exchange: Exchange) -> bool:
    """Return whether the target refuses connections, as far as there is time to ask."""
    now_s = trio.current_time()
    latest_s = context.match.deadline_s - END_MARGIN_S
    with trio.move_on_at(min(now_s + CHECK_LIMIT_S, latest_s)):
        await trio.sleep(PROCESS_END_S)
        target = exchange.target
        return await sockets.is_refused(Address(target.host, target.port))
    return False


def is_leaving(state: GatewayState, exchange: Exchange) -> bool:
    """Return whether the target leaves as planned."""
    newest = state.view.records.get(exchange.target.id)
    return newest is None or not newest.is_ready
