"""The walk of one completion over its candidates until one answers."""

import uuid
from dataclasses import dataclass, field, replace
from enum import Enum

import trio

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.ids import AttemptId, InstanceId, TargetId
from scaleloom_core.placement import Offer, RouteSearch
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.asgi import Answered, Reply, Request
from scaleloom_fleet.http.clients import BROKEN
from scaleloom_fleet.http.problems import problem_reply
from scaleloom_fleet.router.chat_work import REQUEST_HEADER, ChatWork
from scaleloom_fleet.router.offers import (
    FIRST_SERVER_ERROR,
    OfferEnd,
    OfferResult,
    open_offer,
)
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.router.streams import STREAM_TYPE, relay_stream
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s
from scaleloom_fleet.utils.tracing import hop_span
from scaleloom_wire.control_pb2 import Datagram, Placed

COMPLETIONS_PATH = "/v1/chat/completions"
JSON_TYPE = "application/json"
DEFAULT_SHED_RETRY_S = 1.0

# Refusals that only say where to ask instead.
_STEERING = (ErrorKind.REDIRECT, ErrorKind.PEER_HAS_FEWER, ErrorKind.NOT_READY)


class Progress(Enum):
    """What follows one offer."""

    SETTLED = "settled"
    NEXT = "next"
    STOP = "stop"


@dataclass(frozen=True)
class StepEnd:
    """What follows one offer, and the reply if the request is settled."""

    progress: Progress
    reply: Answered = None


@dataclass
class _Walk:
    """One completion on its way, and what it met so far."""

    state: RouterState
    request: Request
    work: ChatWork
    search: RouteSearch
    errors: list[FleetError] = field(default_factory=list)


async def place_chat(state: RouterState, request: Request, work: ChatWork) -> Answered:
    """Offer a completion to one sidecar after another until one answers."""
    table = state.pools.table(work.model.name, work.adapter, now_s())
    candidates = table.candidates(work.chat)
    search = RouteSearch(candidates, state.settings.limits.hop_limit)
    walk = _Walk(state, request, work, search)
    while (offer := _next_usable(walk)) is not None:
        if work.time_left_s() <= 0:
            break
        step = await _try_offer(walk, offer)
        if step.progress is Progress.SETTLED:
            return step.reply
        if step.progress is Progress.STOP:
            break
    state.metrics.count("shed")
    return problem_reply(_shed_error(walk), work.request_id)


def _next_usable(walk: _Walk) -> Offer | None:
    """Return the next offer whose target is not known to be failing."""
    while (offer := walk.search.next_offer()) is not None:
        if walk.state.breaker(offer.target).allows(now_s()):
            return offer
    return None


async def _try_offer(walk: _Walk, offer: Offer) -> StepEnd:
    """Make one offer and return what follows it."""
    state, work = walk.state, walk.work
    attempt = AttemptId(uuid.uuid4().hex)
    headers = _hop_headers(walk, offer, attempt)
    state.metrics.count("attempts")
    with trio.move_on_after(work.time_left_s()) as until_answer:
        with hop_span("offer", target=offer.target, standing=offer.standing.value):
            async with open_offer(
                state,
                offer.target,
                "POST",
                COMPLETIONS_PATH,
                headers,
                work.body,
                attempt,
            ) as result:
                until_answer.deadline = float("inf")
                return await _take_result(walk, offer, result, attempt)
    state.breaker(offer.target).note_abandoned()
    detail = f"No answer began within the deadline of request {work.request_id}."
    error = FleetError(ErrorKind.DEADLINE_PASSED, detail, attempt_sent=True)
    return StepEnd(Progress.SETTLED, problem_reply(error, work.request_id))


def _hop_headers(walk: _Walk, offer: Offer, attempt: AttemptId) -> dict[str, str]:
    """Return the headers of one offer."""
    work = walk.work
    hop = hops.Hop(
        attempt=attempt,
        customer=work.customer.name,
        chat=work.chat,
        customer_weight=work.customer.weight,
        priority=work.customer.priority,
        model=work.model.name,
        is_returning=work.is_returning,
        is_final=offer.is_final,
        standing=offer.standing,
        time_left_s=work.time_left_s(),
    )
    headers = hops.hop_headers(hop, walk.state.settings.instance.fleet_secret)
    headers["content-type"] = JSON_TYPE
    return headers


async def _take_result(
    walk: _Walk, offer: Offer, result: OfferResult, attempt: AttemptId
) -> StepEnd:
    """Act on what came of an offer."""
    if result.end is OfferEnd.REFUSED:
        walk.errors.append(result.refusal)
        _note_refusal(walk, offer, result.refusal)
        return StepEnd(Progress.NEXT)
    if result.end is OfferEnd.FAILED:
        return _fail(walk, ErrorKind.TARGET_FAILED, result.detail)
    _tell_home(walk, offer)
    if not result.headers.get("content-type", "").startswith(STREAM_TYPE):
        return await _relay_whole(walk, result)
    end = await relay_stream(
        walk.state,
        walk.request,
        walk.work.request_id,
        offer.target,
        result.response,
        attempt,
    )
    return StepEnd(Progress.SETTLED, end)


def _note_refusal(walk: _Walk, offer: Offer, refusal: FleetError) -> None:
    """Let a refusal steer the search."""
    walk.state.metrics.count(f"refusals.{refusal.kind.value}")
    alternative = TargetId(refusal.alternative) if refusal.alternative else None
    if refusal.kind is ErrorKind.REDIRECT:
        walk.search.note_redirect(offer, alternative)
    elif refusal.kind is ErrorKind.PEER_HAS_FEWER:
        walk.search.note_send_on(offer, alternative)
    else:
        walk.search.note_refusal(alternative)


def _fail(walk: _Walk, kind: ErrorKind, detail: str) -> StepEnd:
    """Record a failed attempt and go on as far as the retry budget allows."""
    walk.errors.append(FleetError(kind, detail, attempt_sent=True))
    may_retry = walk.state.retry_budget.try_spend()
    return StepEnd(Progress.NEXT if may_retry else Progress.STOP)


def _tell_home(walk: _Walk, offer: Offer) -> None:
    """Let the chat's home know that another target took the chat in."""
    home = walk.search.home
    if home is None or home == offer.target:
        return
    member = walk.state.membership.find(InstanceId(home))
    if member is None:
        return
    work = walk.work
    placed = Placed(chat=work.chat, target=offer.target, customer=work.customer.name)
    address = Address(member.host, member.control_port)
    walk.state.datagrams.tell(address, Datagram(placed=placed))


async def _relay_whole(walk: _Walk, result: OfferResult) -> StepEnd:
    """Return an answer that is not streamed, once it is whole."""
    try:
        body = await result.response.aread()
    except BROKEN as error:
        detail = f"The answer was cut: {type(error).__name__}."
        return _fail(walk, ErrorKind.ANSWER_CUT, detail)
    status = result.response.status
    if status >= FIRST_SERVER_ERROR:
        detail = f"The target answered {status}."
        return _fail(walk, ErrorKind.TARGET_FAILED, detail)
    walk.state.metrics.count("served")
    content_type = result.headers.get("content-type", JSON_TYPE)
    headers = {REQUEST_HEADER: walk.work.request_id}
    return StepEnd(Progress.SETTLED, Reply(status, body, content_type, headers))


def _shed_error(walk: _Walk) -> FleetError:
    """
    Return the final answer for a request that nobody took.

    Once an attempt may have reached an engine, a later refusal no longer
    proves that nothing ran.
    """
    if not walk.errors:
        detail = f"No target serves {walk.work.model.name!r} now."
        return FleetError(ErrorKind.NO_TARGET, detail, DEFAULT_SHED_RETRY_S)
    telling = [item for item in walk.errors if item.kind not in _STEERING]
    telling = telling or walk.errors
    waits_s = [item.retry_after_s for item in telling if item.retry_after_s is not None]
    wait_s = min(waits_s, default=DEFAULT_SHED_RETRY_S)
    final = replace(telling[-1], retry_after_s=wait_s)
    if any(item.attempt_sent for item in walk.errors):
        return replace(final, outcome=Outcome.UNKNOWN, attempt_sent=True)
    return final
