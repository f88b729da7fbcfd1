"""What an answer says of its target: read here, and nowhere else."""

import logging
import re
import time
from datetime import UTC, datetime

import trio

from scaleloom_core.ids import TargetId
from scaleloom_core.target_news import AnswerNews
from scaleloom_fleet.gateway import figures
from scaleloom_fleet.gateway.interfaces import HeaderNames
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.http1.links import AnswerHead

MISDIRECTED = 421
TURNED_AWAY = 503
SAID = b"1"
_RETRY_AFTER, _DATE = b"retry-after", b"date"
# Longer numbers say nothing more, and take long to be read.
_SECONDS = re.compile(rb"\d{1,400}(\.\d{0,400})?")
_DATE_FORMAT = "%a, %d %b %Y %H:%M:%S GMT"
MS_PER_S = 1000.0
LONGEST_TOLD_S = 86_400.0
_logger = logging.getLogger("scaleloom.targets")


def take_in(state: GatewayState, target: TargetId, head: AnswerHead) -> AnswerNews:
    """Remember what the head of an answer of `target` says of it, and return that."""
    news = read_news(head, state.adapter.headers)
    if news.is_misplaced or news.speaks_of_target:
        now_s = trio.current_time()
        _tell(state, target, news, now_s)
        state.view.note_news(target, news, now_s)
    return news


def read_news(head: AnswerHead, names: HeaderNames) -> AnswerNews:
    """Return what the head of an answer says of its target."""
    is_misplaced = head.status == MISDIRECTED
    return AnswerNews(
        is_not_run=is_misplaced or head.find(names.not_run.lower()) is not None,
        is_misplaced=is_misplaced,
        rest_s=_rest_s(head),
        is_leaving=head.find(names.leaving.lower()) == SAID,
    )


def _rest_s(head: AnswerHead) -> float:
    """Return for how long the target wants nothing, 0 if it doesn't say."""
    told = head.find(_RETRY_AFTER)
    if head.status != TURNED_AWAY or told is None:
        return 0.0
    if _SECONDS.fullmatch(told):
        return float(told)
    until = _read_date(told)
    if until is None:
        _logger.warning("rest unreadable", extra={"told": repr(told[:40])})
        return 0.0
    # By the target's own clock where it tells that; ours may differ.
    said = _read_date(head.find(_DATE) or b"")
    since_s = time.time() if said is None else said.timestamp()
    return max(0.0, until.timestamp() - since_s)


def _read_date(told: bytes) -> datetime | None:
    """Return the date of a header, or None if it is none."""
    try:
        return datetime.strptime(told.decode(), _DATE_FORMAT).replace(tzinfo=UTC)
    except ValueError:
        return None


def _tell(
    state: GatewayState, target: TargetId, news: AnswerNews, now_s: float
) -> None:
    """Log and count what is new of a target."""
    known = state.view.news.find(target)
    if news.rest_s > 0.0:
        state.figures.add(figures.RESTS)
        if known is None or not known.is_resting(now_s):
            rest_ms = int(min(news.rest_s, LONGEST_TOLD_S) * MS_PER_S)
            _logger.info("target rests", extra={"target": target, "rest_ms": rest_ms})
    if news.is_leaving and (known is None or not known.is_leaving):
        _logger.info("target leaves", extra={"target": target})
