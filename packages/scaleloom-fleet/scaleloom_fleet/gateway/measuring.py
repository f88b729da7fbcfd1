"""What is counted and logged of one request on its way."""

import logging

import trio

from scaleloom_core.errors import FleetError, Outcome
from scaleloom_fleet.gateway import figures
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.work import Work

_logger = logging.getLogger("scaleloom.gateway")


def note_served(state: GatewayState, work: Work) -> None:
    """Count a request that a target answered, and its time."""
    match = work.match
    kind = match.route.kind.value
    state.figures.add(figures.REQUESTS, figures.SERVED, kind)
    held_s = trio.current_time() - match.received_s
    state.figures.observe(figures.WHOLE, held_s, kind)


def note_left(state: GatewayState, work: Work) -> None:
    """Count a request whose caller left."""
    state.figures.add(figures.REQUESTS, figures.LEFT, work.match.route.kind.value)


def note_unserved(
    state: GatewayState, error: FleetError, kind: str = figures.NO_KIND
) -> None:
    """Count a request that ended in `error`."""
    is_refused = error.known_outcome is Outcome.NOT_RUN
    outcome = figures.REFUSED if is_refused else figures.FAILED
    state.figures.add(figures.REQUESTS, outcome, kind)
    state.figures.add(figures.UNSERVED, error.kind.value)


def note_malformed(state: GatewayState) -> None:
    """Count what was no proper request."""
    state.figures.add(figures.REQUESTS, figures.REFUSED, figures.NO_KIND)
    state.figures.add(figures.UNSERVED, figures.MALFORMED)


def note_repeat_refused(state: GatewayState, work: Work) -> None:
    """Count and log a repeat that the budget forbids."""
    service = work.match.service
    state.figures.add(figures.RETRIES_REFUSED, service)
    fields = {"request": work.match.request_id, "service": service}
    _logger.info("repeat refused", extra=fields)
