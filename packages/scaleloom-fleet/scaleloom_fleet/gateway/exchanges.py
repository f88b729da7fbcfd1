"""One request at one target: sent once, its answer passed on or judged."""

import logging

import trio

from scaleloom_core.fleet_load import target_key
from scaleloom_core.ids import TargetId
from scaleloom_core.listed import ListedTarget
from scaleloom_core.routing import RequestKind
from scaleloom_core.target_delays import PERCENT
from scaleloom_core.target_news import AnswerNews
from scaleloom_core.target_outcomes import ONE_ANSWERED, ONE_FAILED, Outcomes
from scaleloom_core.target_records import TargetRecord
from scaleloom_fleet.gateway.answer_news import take_in
from scaleloom_fleet.gateway.choosing import is_recalled
from scaleloom_fleet.gateway.crash_gate import give_back_trial, may_be_sent
from scaleloom_fleet.gateway.figures import CACHE_SOURCES
from scaleloom_fleet.gateway.headers import request_for
from scaleloom_fleet.gateway.observing import note_end, note_out_of_time, observe
from scaleloom_fleet.gateway.passing import (
    WHOLE_ANSWER_LIMIT_BYTES,
    pass_stream,
    pass_whole,
)
from scaleloom_fleet.gateway.state import GatewayState
from scaleloom_fleet.gateway.verdicts import Verdict
from scaleloom_fleet.gateway.work import Work
from scaleloom_fleet.http1.callers import CallerGone
from scaleloom_fleet.http1.links import (
    AnswerBroken,
    AnswerHead,
    Link,
    OutgoingRequest,
    read_while_sending,
)
from scaleloom_fleet.http1.sockets import ConnectionLost, NoDescriptor

SURPLUS_LIMIT = 3
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
SAFE_PATIENCE = 0.8
STREAM_PATIENCE = 2.0
LEAST_PATIENCE_S = 0.4
_logger = logging.getLogger("scaleloom.gateway")


async def send_to(
    state: GatewayState, work: Work, record: TargetRecord, can_repeat: bool
) -> Verdict:
    """
    Send `work` to one target and pass its answer on.

    Parameters
    ----------
    can_repeat : bool
        Whether another target may be tried if this one stays silent.

    Raises
    ------
    CallerGone
        If the caller has left before anything was sent.
    """
    target = record.listed
    link = await _open_link(state, work, record)
    if link is None:
        return Verdict.NEVER_SENT
    is_sent = False
    try:
        is_sent = await _is_sent(state, work, record)
        if work.connection.has_just_left():
            # Nothing was sent yet, and nobody waits for the answer any more.
            is_sent = False
            raise CallerGone
    finally:
        if not is_sent:
            give_back_trial(state, work)
            state.pools.put_back(target.id, link)
    if not is_sent:
        return Verdict.NEVER_SENT
    is_whole = False
    try:
        verdict = await _exchange(state, work, record, link, can_repeat)
        is_whole = verdict is not Verdict.SILENT and verdict is not Verdict.BROKEN
    except (AnswerBroken, ConnectionLost):
        verdict = Verdict.BROKEN
    except trio.Cancelled:
        note_out_of_time(work)
        raise
    finally:
        if is_whole:
            state.pools.put_back(target.id, link)
        else:
            state.given_up.give_up(target.id, link)
    _judge(state, record, verdict)
    if verdict is Verdict.BROKEN or verdict is Verdict.SILENT:
        work.end_check = state.crashes.checks.note_broken(target, work.digest)
    note_end(work, verdict)
    return verdict


async def _open_link(
    state: GatewayState, work: Work, record: TargetRecord
) -> Link | None:
    """Return a link to a target, or None if there is none."""
    is_repeatable = work.match.route.is_repeatable
    try:
        link = await state.pools.acquire(record.listed, is_repeatable)
    except NoDescriptor:
        # It is the router that is short of something, and not the target.
        _logger.warning("no descriptor for a target")
        return None
    if link is None:
        record.note_unreachable(trio.current_time())
        _tell_away(record)
    return link


async def _is_sent(state: GatewayState, work: Work, record: TargetRecord) -> bool:
    """Return whether `work` is sent to the target that was chosen, after all."""
    work.trial_number = None
    if is_recalled(state, work) or not _still_takes_work(state, record):
        return False
    is_let = await may_be_sent(state, work, record.listed.id)
    return is_let and _still_takes_work(state, record)


def _still_takes_work(state: GatewayState, record: TargetRecord) -> bool:
    """Return whether a target has not asked for rest, or left, since it was chosen."""
    return state.view.may_be_sent(record, trio.current_time())


def _tell_away(record: TargetRecord) -> None:
    """Log that a target takes no connection and is left alone for a while."""
    fields = {"target": record.listed.id, "absence_ms": int(record.absence_s * 1000)}
    _logger.info("target away", extra=fields)


def _judge(state: GatewayState, record: TargetRecord, verdict: Verdict) -> None:
    """Take what `verdict` tells of the target into its record, and tell peers."""
    if verdict is Verdict.RESTING or verdict is Verdict.MISPLACED:
        return
    if verdict is Verdict.ANSWERED:
        if record.absence_s > 0.0:
            _logger.info("target back", extra={"target": record.listed.id})
        record.note_answer()
        outcomes = ONE_ANSWERED
    else:
        record.note_failure()
        outcomes = ONE_FAILED
    state.outcomes.note(target_key(record.listed.id), outcomes)


async def _exchange(
    state: GatewayState,
    work: Work,
    record: TargetRecord,
    link: Link,
    can_repeat: bool,
) -> Verdict:
    """Send the request over `link` and pass its answer on."""
    names = state.adapter.headers
    last_id = work.splitter.last_id if work.splitter else None
    now_s = trio.current_time()
    source = _cache_source(state, work, record.listed.id, now_s)
    outgoing = request_for(
        record.listed, work.match, work.request, names, last_id, source, now_s
    )
    is_warm = state.chooser.is_warm(work.placement, record.listed.id, now_s)
    work.sends += 1
    may_have_run_before = work.may_have_run
    work.may_have_run = True
    observe(state, work, record, is_warm)
    if source is not None:
        state.figures.add(CACHE_SOURCES)
    link.start(outgoing)
    with trio.move_on_after(_head_patience_s(work, can_repeat)) as scope:
        head, news = await _own_head(state, work, record.listed.id, link, outgoing)
    if scope.cancelled_caught:
        return Verdict.SILENT
    if news.is_not_run:
        work.may_have_run = may_have_run_before
        await _skip_body(link)
        if news.is_misplaced:
            return Verdict.MISPLACED
        return Verdict.RESTING if news.rest_s > 0.0 else Verdict.NOT_RUN
    if not 200 <= head.status < 300:
        body = await link.read_body(WHOLE_ANSWER_LIMIT_BYTES)
        work.failure = (head, body)
        return Verdict.FAILED if head.status >= 500 else Verdict.ANSWERED
    _note_read(state, work, record.listed.id)
    if work.match.route.kind is not RequestKind.STREAM:
        _note_begun(state, work, record, now_s)
        return await pass_whole(state, work, link, head)

    def note_first_data() -> None:
        # A target that has to read a long prompt first is late and not slow.
        if is_warm:
            _note_begun(state, work, record, now_s)

    patience_s = _head_patience_s(work, can_repeat)
    return await pass_stream(state, work, link, head, patience_s, note_first_data)


def _note_begun(
    state: GatewayState, work: Work, record: TargetRecord, sent_s: float
) -> None:
    """Take in how long the target took to begin its answer, and tell peers."""
    now_s = trio.current_time()
    ratio = state.usual_delays.ratio(work.match.route.name, now_s - sent_s)
    outcomes = Outcomes(begun=1, delays_pct=int(ratio * PERCENT))
    record.note_outcomes(outcomes, is_near=True, now_s=now_s)
    state.outcomes.note(target_key(record.listed.id), outcomes)


def _cache_source(
    state: GatewayState, work: Work, target: TargetId, now_s: float
) -> ListedTarget | None:
    """Return whose cache `target` is to copy from, if any."""
    key = work.placement
    if not work.match.policy.is_engine or key.shared_part is None:
        return None
    return state.chooser.cache_source(key, target, now_s)


def _note_read(state: GatewayState, work: Work, target: TargetId) -> None:
    """Note that `target`, which began its answer, keeps the prompt's shared part."""
    if work.match.policy.is_engine:
        now_s = trio.current_time()
        state.chooser.note_read(work.placement, target, now_s)


def _head_patience_s(work: Work, can_repeat: bool) -> float:
    """Return how long a target may stay silent before another is tried."""
    if not can_repeat:
        return float("inf")
    route = work.match.route
    share = STREAM_PATIENCE if route.kind is RequestKind.STREAM else SAFE_PATIENCE
    return max(LEAST_PATIENCE_S, share * route.objective_ms / 1000.0)


async def _skip_body(link: Link) -> None:
    """Read over the body of an answer whose head has said all."""
    try:
        await link.read_body(WHOLE_ANSWER_LIMIT_BYTES)
    except AnswerBroken:
        # The proof stands; the link is closed, since its answer isn't whole.
        return


async def _own_head(
    state: GatewayState,
    work: Work,
    target: TargetId,
    link: Link,
    outgoing: OutgoingRequest,
) -> tuple[AnswerHead, AnswerNews]:
    """Return the head of this request's own answer, passing over surplus ones."""
    id_name = state.adapter.headers.request_id.lower()
    own_id = work.match.request_id.encode("latin-1")
    head = await read_while_sending(link)
    for _ in range(SURPLUS_LIMIT):
        # What a surplus answer says of its target is as true.
        news = take_in(state, target, head)
        if head.find(id_name) == own_id:
            return head, news
        await link.skip_answer(outgoing)
        head = await link.read_head()
    raise AnswerBroken("only answers to other requests came")
