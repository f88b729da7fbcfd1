"""Metrics and log lines about the outcome of a request."""

import logging

import trio

from scaleloom_core.errors import FleetError, Outcome
from scaleloom_fleet.gateway import figures
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.work import Work

_logger = logging.getLogger("scaleloom.gateway")


def record_served(state: GatewayState, context: Work) -> None:
    """Count a request that a target answered, and observe its duration."""
    match = context.match
    kind = match.route.kind.value
    state.figures.add(figures.REQUESTS, figures.SERVED, kind)
    duration_s = trio.current_time() - match.received_s
    state.figures.observe(figures.WHOLE, duration_s, kind)


def record_disconnect(state: GatewayState, context: Work) -> None:
    """Count a request whose caller disconnected."""
    state.figures.add(figures.REQUESTS, figures.LEFT, context.match.route.kind.value)


def record_unserved(
    state: GatewayState, error: FleetError, kind: str = figures.NO_KIND
) -> None:
    """Count a request that ended in `error`."""
    is_refused = error.known_outcome is Outcome.NOT_RUN
    outcome = figures.REFUSED if is_refused else figures.FAILED
    state.figures.add(figures.REQUESTS, outcome, kind)
    state.figures.add(figures.UNSERVED, error.kind.value)


def record_malformed(state: GatewayState) -> None:
    """Count a malformed request."""
    state.figures.add(figures.REQUESTS, figures.REFUSED, figures.NO_KIND)
    state.figures.add(figures.UNSERVED, figures.MALFORMED)


def record_retry_refused(state: GatewayState, context: Work) -> None:
    """Count and log a retry that the retry budget does not allow."""
    service = context.match.service
    state.figures.add(figures.RETRIES_REFUSED, service)
    fields = {"request": context.match.request_id, "service": service}
    _logger.info("retry refused by the retry budget", extra=fields)
