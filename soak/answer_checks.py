"""Whether answers are whole and belong to their requests, as callers saw them."""

from collections import defaultdict

from scaleloom_fleet.http1.links import BodyDelimiter
from soak.callers import CallerResult, Observations
from soak.disturbances import (
    RECOVERY_S,
    is_undisturbed,
    ran_undisturbed,
    was_path_undisturbed,
)
from soak.long_routes import is_long_kind
from soak.mixed_streams import EVENT_COUNT as MIXED_EVENT_COUNT
from soak.mixed_streams import MIXED, find_order_problem, whole_events
from soak.site import SoakSite
from soak.targets import SoakTarget
from tests.fixtures.cut_answers import EVENT_END, Ending, PlannedAnswer, chat_pieces
from tests.fixtures.stub_targets import EVENT_COUNT, event

STREAM_KINDS = ("stream", "stream-once")
EVENT_KINDS = (*STREAM_KINDS, "chat", MIXED)
SILENCE_LIMIT_S = 0.4
GATEWAY_ERROR_STATUSES = (502, 503, 504)
_WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))


def check_answers(site: SoakSite, observations: Observations) -> list[str]:
    """Return the answers with a wrong or incomplete content."""
    return [
        f"{result.request_id} ({result.kind}) of {result.gateway.name}"
        f" at {result.ended_s:.2f}: {problem}"
        for result in observations.results
        if (problem := _find_answer_problem(site, result)) is not None
    ]


def _find_answer_problem(site: SoakSite, result: CallerResult) -> str | None:
    """Return what is wrong with an answer, or None."""
    answer = result.answer
    if answer.status in GATEWAY_ERROR_STATUSES and "response-seal" in answer.headers:
        return "a target's seal on an error of the gateway"
    is_judged_apart = is_long_kind(result.kind)
    if answer.status != 200 or not answer.is_complete or is_judged_apart:
        return None
    if "response-seal" not in answer.headers:
        return "status 200 without a target's seal"
    if answer.headers.get("request-id") != result.request_id:
        return "the answer to another request"
    if answer.delimiter is BodyDelimiter.CONNECTION:
        return _find_unframed_problem(site, result)
    if _has_whole_body(result):
        return None
    if begins_whole_answer(result):
        return f"broken off, and framed as complete by {answer.delimiter.value}"
    return "unexpected body"


def _has_whole_body(result: CallerResult) -> bool:
    """Return whether the body is a whole one."""
    body = result.answer.body
    if result.kind != MIXED:
        return body in _whole_bodies(result)
    is_last = len(whole_events(body)) == MIXED_EVENT_COUNT - result.first_event + 1
    return is_last and _ends_between_events(body) and begins_whole_answer(result)


def begins_whole_answer(result: CallerResult) -> bool:
    """Return whether the body is that of the request as far as it goes."""
    body = result.answer.body
    if result.kind == MIXED:
        return find_order_problem(body, result.first_event) is None
    return any(whole.startswith(body) for whole in _whole_bodies(result))


def _whole_bodies(result: CallerResult) -> tuple[bytes, ...]:
    """Return the bodies that a complete answer may have."""
    plain_body = f"body of {result.request_id}"
    if result.kind in STREAM_KINDS:
        return (_WHOLE_STREAM,)
    if result.kind in EVENT_KINDS:
        chat_body = f"data: {plain_body}\n\n".encode()
        return (chat_body, b"".join(chat_pieces(result.request_id)))
    return (plain_body.encode(),)


def _find_unframed_problem(site: SoakSite, result: CallerResult) -> str | None:
    """
    Return what is wrong with an answer that its connection ended, or None.

    A gateway can't know whether such an answer of a target is whole, and may pass on
    that it doesn't, but not the half of an event.
    """
    answer = result.answer
    sent = _unframed_answers(site, result)
    if not sent:
        return "an end that can't be known, from targets that told theirs"
    if answer.headers.get("connection", "").lower() != "close":
        return "the end of the connection isn't announced"
    if _has_whole_body(result):
        return None
    if not begins_whole_answer(result):
        return "unexpected body"
    if not is_undisturbed(
        result.gateway.disturbances_s, result.started_s, result.ended_s
    ):
        # The kernel closes the connections of a process that is killed.
        return None
    if result.kind in EVENT_KINDS and not _ends_between_events(answer.body):
        return "ends inside an event, and not visibly"
    if any(each.ending is Ending.CLOSED and not each.is_crash for each in sent):
        return None
    if any(each.is_crash for each in sent):
        return _find_crash_problem(site, result)
    if not ran_undisturbed(site, result):
        # The connection to the target may have ended otherwise than it ended it.
        return None
    return "a connection that was reset was passed on as closed"


def _find_crash_problem(site: SoakSite, result: CallerResult) -> str | None:
    """
    Return what is wrong with the normal end of a part, if its targets crashed, or None.

    A gateway may find a target ready that has crashed, but not one to which no
    connection can be opened.
    """
    targets = [t for t in site.all_targets() if t.unframed_answers[result.request_id]]
    since_s = result.started_s - RECOVERY_S
    has_known_fate = all(
        target.has_crashed
        and is_undisturbed(target.path_disturbances_s, since_s, result.ended_s)
        for target in targets
    )
    return "ends as complete, and its target crashed" if has_known_fate else None


def _ends_between_events(body: bytes) -> bool:
    """Return whether the body of a stream ends where an event ends or may begin."""
    return not body or body.endswith(EVENT_END)


def _unframed_answers(site: SoakSite, result: CallerResult) -> list[PlannedAnswer]:
    """Return the answers of unknown length that targets sent to a request."""
    return [
        answer
        for target in site.all_targets()
        for answer in target.unframed_answers.get(result.request_id, ())
    ]


def was_broken_off(site: SoakSite, result: CallerResult) -> bool:
    """Return whether a target broke off its answer to a request."""
    return any(result.request_id in t.broken_off_ids for t in site.all_targets())


def check_whole_answers(site: SoakSite, observations: Observations) -> list[str]:
    """
    Return the whole answers of targets that didn't reach their callers whole.

    Judged are requests that reached one target, while nothing disturbed that and the
    gateway, and so quickly that no gateway gives a target up as silent.
    """
    arrivals: dict[str, list[SoakTarget]] = defaultdict(list)
    for target in site.all_targets():
        for arrival in target.arrivals:
            arrivals[arrival.request_id].append(target)
    return [
        f"{result.request_id} ({result.kind}) of {result.gateway.name}"
        f" at {result.ended_s:.2f} got status {result.answer.status}"
        for result in observations.results
        if len(arrivals[result.request_id]) == 1
        and result.request_id in arrivals[result.request_id][0].whole_ids
        and result.ended_s - result.started_s < SILENCE_LIMIT_S
        and not result.is_disconnected
        and _was_exchange_undisturbed(arrivals[result.request_id][0], result)
        and not _is_whole(result)
    ]


def _was_exchange_undisturbed(target: SoakTarget, result: CallerResult) -> bool:
    """Return whether nothing disturbed a request at its gateway and its target."""
    from_s, to_s = result.started_s, result.ended_s
    is_target_undisturbed = is_undisturbed(
        target.disturbances_s, from_s - RECOVERY_S, to_s
    )
    return is_target_undisturbed and was_path_undisturbed(
        result.gateway, target, from_s, to_s
    )


def _is_whole(result: CallerResult) -> bool:
    """Return whether a caller got the whole answer of a target."""
    answer = result.answer
    is_received = answer.status == 200 and answer.is_complete
    return is_received and _has_whole_body(result)
