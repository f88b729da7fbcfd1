"""Metrics and log lines about the outcome of a request."""

import logging

import trio

from scaleloom_core.errors import FleetError, Outcome
from scaleloom_core.ids import TargetId
from scaleloom_fleet.gateway import metric_definitions
from scaleloom_fleet.gateway.attempt_results import AnswerEnd
from scaleloom_fleet.gateway.exchange_state import Exchange
from scaleloom_fleet.gateway.hedges import Hedge
from scaleloom_fleet.gateway.request_context import RequestContext
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.links import Link

MS_PER_S = 1000.0
_logger = logging.getLogger("scaleloom.gateway")


def record_served(state: GatewayState, context: RequestContext) -> None:
    """Count a request that a target answered, and observe its duration."""
    match = context.match
    kind = match.route.kind.value
    state.metrics_registry.add(
        metric_definitions.REQUESTS, metric_definitions.SERVED, kind
    )
    duration_s = trio.current_time() - match.received_s
    state.metrics_registry.observe(metric_definitions.REQUEST_SECONDS, duration_s, kind)


def record_disconnect(state: GatewayState, context: RequestContext) -> None:
    """Count a request whose caller disconnected."""
    state.metrics_registry.add(
        metric_definitions.REQUESTS,
        metric_definitions.CALLER_LEFT,
        context.match.route.kind.value,
    )


def record_unserved(
    state: GatewayState, error: FleetError, kind: str = metric_definitions.NO_KIND
) -> None:
    """Count a request that ended in `error`."""
    is_refused = error.known_outcome is Outcome.NOT_RUN
    outcome = metric_definitions.REFUSED if is_refused else metric_definitions.FAILED
    state.metrics_registry.add(metric_definitions.REQUESTS, outcome, kind)
    state.metrics_registry.add(metric_definitions.REQUESTS_UNSERVED, error.kind.value)


def record_malformed(state: GatewayState) -> None:
    """Count a malformed request."""
    state.metrics_registry.add(
        metric_definitions.REQUESTS,
        metric_definitions.REFUSED,
        metric_definitions.NO_KIND,
    )
    state.metrics_registry.add(
        metric_definitions.REQUESTS_UNSERVED, metric_definitions.MALFORMED
    )


def record_retry_refused(state: GatewayState, context: RequestContext) -> None:
    """Count and log a retry that the retry budget does not allow."""
    service = context.match.service
    state.metrics_registry.add(metric_definitions.RETRIES_REFUSED, service)
    fields = {"request": context.match.request_id, "service": service}
    _logger.info("retry refused by the retry budget", extra=fields)


def record_answer_end(
    state: GatewayState,
    context: RequestContext,
    target: TargetId,
    link: Link,
    end: AnswerEnd,
) -> None:
    """Count how the answer on `link` ended, and log one that may be incomplete."""
    head = link.head
    state.metrics_registry.add(
        metric_definitions.ANSWERS, head.delimiter.value, end.value
    )
    if end is AnswerEnd.COMPLETE:
        return
    fields = {
        "request": context.match.request_id,
        "target": target,
        "status": head.status,
        "delimiter": head.delimiter.value,
        "end": end.value,
        "bytes": link.body_bytes,
        "lost": link.loss.name if link.loss else None,
        "lost_at": link.loss.reported_to.value if link.loss else None,
    }
    _logger.info("answer not known to be complete", extra=fields)


def record_silence(context: RequestContext, exchange: Exchange) -> None:
    """Log that a target has sent nothing for as long as another may be attempted."""
    silent_s = trio.current_time() - exchange.link.received_s
    fields = {
        "request": context.match.request_id,
        "target": exchange.target.id,
        "silent_ms": int(silent_s * MS_PER_S),
        "has_begun": context.answer.is_begun,
        "sends": context.send_count,
    }
    _logger.info("target silent", extra=fields)


def record_silence_end(
    state: GatewayState, context: RequestContext, hedge: Hedge
) -> None:
    """Count and log how the silence of a target ended for the request."""
    end = hedge.silence_end
    state.metrics_registry.add(metric_definitions.SILENCES, end.value)
    fields = {
        "request": context.match.request_id,
        "target": hedge.silent.target.id,
        "silent_ms": int((trio.current_time() - hedge.silent_since_s) * MS_PER_S),
        "end": end.value,
        "sends": context.send_count,
    }
    _logger.info("silence ended", extra=fields)
