"""How long a target may send nothing before others are attempted as well."""

from scaleloom_core.routing import RequestKind
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.request_context import RequestContext

SAFE_TIMEOUT_RATIO = 0.8
STREAM_TIMEOUT_RATIO = 2.0
MIN_HEAD_TIMEOUT_S = 0.4
EVENT_TIMEOUT_S = 1.0
UNLIMITED_S = float("inf")


def head_timeout_s(context: RequestContext, exchange: Exchange) -> float:
    """Return how long the target may take to begin its answer."""
    if not _may_hedge(context, exchange):
        return UNLIMITED_S
    route = context.match.route
    ratio = (
        STREAM_TIMEOUT_RATIO if route.kind is RequestKind.STREAM else SAFE_TIMEOUT_RATIO
    )
    return max(MIN_HEAD_TIMEOUT_S, ratio * route.objective_ms / 1000.0)


def event_timeout_s(context: RequestContext, exchange: Exchange) -> float:
    """Return how long the target may take until the next event."""
    if not exchange.has_sent_events:
        return head_timeout_s(context, exchange)
    return EVENT_TIMEOUT_S if _may_hedge(context, exchange) else UNLIMITED_S


def _may_hedge(context: RequestContext, exchange: Exchange) -> bool:
    """Return whether others may be attempted, and are not yet, beside the target."""
    is_hedged = any(hedge.silent is exchange for hedge in context.hedges)
    return context.may_retry and (not is_hedged or context.answering is exchange)


def has_fallen_silent(exchange: Exchange) -> bool:
    """
    Return whether the target has sent nothing, now that its time is up.

    A router that stood still finds its timers expired although input has arrived.
    """
    link = exchange.link
    return not link.has_unprocessed and link.is_open_and_empty()
