"""Keeps streams that have begun at the software version that began them."""

import logging

import trio

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.stream_origins import (
    OriginKnowledge,
    ResumptionRefusal,
    bound_of_begun,
    resumption_refusal,
    stream_key,
)
from scaleloom_fleet.gateway import metric_definitions
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.state import GatewayState

# Another router may know the origin, or this one a moment later.
UNKNOWN_RETRY_AFTER_S = 0.2
# A target of the version may come back.
ABSENT_RETRY_AFTER_S = 1.0
GOES_ON = "goes_on"
_logger = logging.getLogger("scaleloom.gateway")


async def bind_resumption(
    state: GatewayState, context: RequestContext
) -> FleetError | None:
    """Bind a stream that its caller resumes; return its refusal if it can't go on."""
    known = await _find_origin(state, context)
    ready = state.view.ready_for_streams(context.match.service)
    refusal = resumption_refusal(known, [record.listed for record in ready])
    outcome = GOES_ON if refusal is None else refusal.value
    state.metrics_registry.add(metric_definitions.STREAMS_RESUMED, outcome)
    if refusal is None:
        context.bound = known.bound
        return None
    fields = {
        "request": context.match.request_id,
        "begun_by": context.match.begun_by,
        "service": context.match.service,
        "why": refusal.value,
        "source": known.source.value,
    }
    _logger.info("stream not resumed", extra=fields)
    return _refusal_error(refusal)


async def _find_origin(state: GatewayState, context: RequestContext) -> OriginKnowledge:
    """Return what is known of the origin of the stream that is resumed."""
    match = context.match
    key = stream_key(match.service, match.customer, match.begun_by or "")
    return await state.origin_exchange.find_origin(key, match.service)


def is_version_absent(state: GatewayState, context: RequestContext) -> bool:
    """Return whether the stream has begun and no ready target may go on with it."""
    bound = context.bound
    if bound is None:
        return False
    ready = state.view.ready_for_streams(context.match.service)
    return not any(bound.allows(record.listed) for record in ready)


def is_of_same_version(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> bool:
    """Return whether a run is known to be of the version that began the stream."""
    newest = state.view.records.get(exchange.target.id)
    listed = [exchange.target] if newest is None else [exchange.target, newest.listed]
    return context.bound is not None and all(map(context.bound.allows, listed))


def record_repeated_events(context: RequestContext, exchange: Exchange) -> None:
    """Log that a run repeats or breaks the order of a stream that has begun."""
    resumed = exchange.resumed_events
    if resumed is None or not (resumed.has_repeated or resumed.fault):
        return
    fields = {
        "request": context.match.request_id,
        "service": context.match.service,
        "target": exchange.target.id,
        "why": resumed.fault or "a run began again",
    }
    _logger.info("events of resumed stream not passed on", extra=fields)


def is_narrowed(state: GatewayState, context: RequestContext) -> bool:
    """Return whether the stream may not go on at some of the ready targets."""
    bound = context.bound
    if bound is None:
        return False
    ready = state.view.ready_targets(context.match.service)
    return not all(bound.allows(record.listed) for record in ready)


def version_absent_error() -> FleetError:
    """Return the error of a stream whose version has no ready target."""
    return _refusal_error(ResumptionRefusal.VERSION_ABSENT)


def _refusal_error(refusal: ResumptionRefusal) -> FleetError:
    """Return the error of a stream that can't go on."""
    if refusal is ResumptionRefusal.ORIGIN_UNKNOWN:
        return FleetError(
            ErrorKind.STREAM_ORIGIN_UNKNOWN,
            "No router knows which software version began the stream.",
            retry_after_s=UNKNOWN_RETRY_AFTER_S,
        )
    return FleetError(
        ErrorKind.STREAM_VERSION_ABSENT,
        "No target of the version that began the stream is ready; begin it anew.",
        retry_after_s=ABSENT_RETRY_AFTER_S,
    )


def record_first_event(
    state: GatewayState, context: RequestContext, exchange: Exchange
) -> None:
    """
    Bind a resumable stream to the version whose first event is about to be sent.

    Its origin is recorded under the id of the request that began it.
    """
    match, tables = context.match, state.stream_origins
    if not match.route.is_resumable:
        return
    now_s = trio.current_time()
    if context.bound is None:
        newest = state.view.records.get(exchange.target.id)
        only = tables.only_listed(match.service, now_s)
        listed = None if newest is None else newest.listed
        context.bound = bound_of_begun(exchange.target, listed, only)
    if not context.bound.version:
        return
    begun_by = match.begun_by or match.request_id
    must_announce = tables.record_begun(
        match.service, match.customer, begun_by, context.bound.version, now_s
    )
    if must_announce:
        state.origin_exchange.request_announcement()
