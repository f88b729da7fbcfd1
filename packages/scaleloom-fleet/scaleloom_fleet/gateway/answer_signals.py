"""Signals that targets send in their answers: back-off, draining, not run."""

import logging
import re
import time
from datetime import UTC, datetime

import trio

from scaleloom_core.ids import TargetId
from scaleloom_core.target_signals import AnswerSignals
from scaleloom_fleet.gateway import metric_definitions
from scaleloom_fleet.gateway.interfaces import HeaderNames
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.links import AnswerHead

MISDIRECTED = 421
SERVICE_UNAVAILABLE = 503
FLAG_SET = b"1"
_RETRY_AFTER, _DATE = b"retry-after", b"date"
# Bounds the digits, since very long numbers take long to parse.
_DECIMAL_SECONDS = re.compile(rb"\d{1,400}(\.\d{0,400})?")
_DATE_FORMAT = "%a, %d %b %Y %H:%M:%S GMT"
MS_PER_S = 1000.0
MAX_LOGGED_S = 86_400.0
_logger = logging.getLogger("scaleloom.targets")


def record_signals(
    state: GatewayState, target: TargetId, head: AnswerHead
) -> AnswerSignals:
    """Record the signals in the head of an answer of `target`, and return them."""
    signals = read_signals(head, state.adapter.headers)
    if signals.is_misdirected or signals.concerns_target:
        now_s = trio.current_time()
        _report_changes(state, target, signals, now_s)
        state.view.record_signals(target, signals, now_s)
    return signals


def read_signals(head: AnswerHead, names: HeaderNames) -> AnswerSignals:
    """Return the signals in the head of an answer."""
    is_misplaced = head.status == MISDIRECTED
    return AnswerSignals(
        is_not_run=is_misplaced or head.find(names.not_run.lower()) is not None,
        is_misdirected=is_misplaced,
        retry_after_s=_retry_after_s(head),
        is_draining=head.find(names.leaving.lower()) == FLAG_SET,
    )


def _retry_after_s(head: AnswerHead) -> float:
    """Return the back-off that the target asks for in seconds, 0 if none."""
    value = head.find(_RETRY_AFTER)
    if head.status != SERVICE_UNAVAILABLE or value is None:
        return 0.0
    if _DECIMAL_SECONDS.fullmatch(value):
        return float(value)
    resume_at = _read_date(value)
    if resume_at is None:
        _logger.warning(
            "Retry-After header unreadable", extra={"told": repr(value[:40])}
        )
        return 0.0
    # Measured from the Date of the answer if it has one: the clocks may differ.
    sent_at = _read_date(head.find(_DATE) or b"")
    sent_s = time.time() if sent_at is None else sent_at.timestamp()
    return max(0.0, resume_at.timestamp() - sent_s)


def _read_date(value: bytes) -> datetime | None:
    """Return the date in a header value, or None if it holds none."""
    try:
        return datetime.strptime(value.decode(), _DATE_FORMAT).replace(tzinfo=UTC)
    except ValueError:
        return None


def _report_changes(
    state: GatewayState, target: TargetId, signals: AnswerSignals, now_s: float
) -> None:
    """Log and count signals that differ from those known of the target."""
    known = state.view.signals.find(target)
    if signals.retry_after_s > 0.0:
        state.metrics_registry.add(metric_definitions.BACK_OFFS_ASKED)
        if known is None or not known.is_backing_off(now_s):
            rest_ms = int(min(signals.retry_after_s, MAX_LOGGED_S) * MS_PER_S)
            _logger.info(
                "target asked for back-off",
                extra={"target": target, "rest_ms": rest_ms},
            )
    if signals.is_draining and (known is None or not known.is_draining):
        _logger.info("target is draining", extra={"target": target})
