"""Routing of a chat completion to the first candidate target that answers."""

import uuid
from dataclasses import dataclass, field, replace
from enum import Enum

import trio

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.ids import AttemptId, InstanceId, TargetId
from scaleloom_core.placement import CandidateSearch, Offer
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.answer_ends import read_complete
from scaleloom_fleet.http.asgi import HandlerResult, Reply, Request
from scaleloom_fleet.http.clients import TRANSPORT_ERRORS
from scaleloom_fleet.http.problems import problem_reply
from scaleloom_fleet.router.chat_context import REQUEST_HEADER, ChatContext
from scaleloom_fleet.router.offers import (
    FIRST_SERVER_ERROR,
    OfferResult,
    OfferStatus,
    open_offer,
)
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.router.streams import STREAM_TYPE, relay_stream
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s
from scaleloom_fleet.utils.tracing import hop_span
from scaleloom_wire.control_pb2 import Datagram, Placed

COMPLETIONS_METHOD = "POST"
COMPLETIONS_PATH = "/v1/chat/completions"
JSON_TYPE = "application/json"
DEFAULT_RETRY_AFTER_S = 1.0

# Refusals that only concern the choice of a target. The caller gets another
# refusal instead, if there is one.
_REDIRECT_KINDS = (ErrorKind.REDIRECT, ErrorKind.PEER_LESS_LOADED, ErrorKind.NOT_READY)


class SearchAction(Enum):
    """Next action of the search after one offer."""

    REPLY = "settled"
    TRY_NEXT = "next"
    GIVE_UP = "stop"


@dataclass(frozen=True)
class StepResult:
    """Next action after one offer, with the reply to the caller if there is one."""

    action: SearchAction
    reply: HandlerResult = None


@dataclass
class _ChatSearch:
    """State of the search for a target, with the errors of its failed offers."""

    state: RouterState
    request: Request
    context: ChatContext
    candidate_search: CandidateSearch
    errors: list[FleetError] = field(default_factory=list)


async def route_chat(
    state: RouterState, request: Request, context: ChatContext
) -> HandlerResult:
    """Offer a chat completion to candidate targets in turn until one answers."""
    table = state.pools.table(context.model.name, context.adapter, now_s())
    candidates = table.candidates(context.chat)
    candidate_search = CandidateSearch(candidates, state.settings.limits.hop_limit)
    search = _ChatSearch(state, request, context, candidate_search)
    while (offer := _next_allowed_offer(search)) is not None:
        if context.time_left_s() <= 0:
            break
        step = await _make_offer(search, offer)
        if step.action is SearchAction.REPLY:
            return step.reply
        if step.action is SearchAction.GIVE_UP:
            break
    state.metrics.count("shed")
    return problem_reply(_final_error(search), context.request_id)


def _next_allowed_offer(search: _ChatSearch) -> Offer | None:
    """Return the next offer whose target's circuit breaker admits a request."""
    while (offer := search.candidate_search.next_offer()) is not None:
        if search.state.breaker(offer.target).allows(now_s()):
            return offer
    return None


async def _make_offer(search: _ChatSearch, offer: Offer) -> StepResult:
    """Make one offer and return the next action of the search."""
    state, context = search.state, search.context
    attempt = AttemptId(uuid.uuid4().hex)
    headers = _hop_headers(search, offer, attempt)
    state.metrics.count("attempts")
    with trio.move_on_after(context.time_left_s()) as answer_deadline:
        with hop_span("offer", target=offer.target, standing=offer.role.value):
            async with open_offer(
                state,
                offer.target,
                COMPLETIONS_METHOD,
                COMPLETIONS_PATH,
                headers,
                context.body,
                attempt,
            ) as result:
                answer_deadline.deadline = float("inf")
                return await _handle_result(search, offer, result, attempt)
    state.breaker(offer.target).abandon_probe()
    detail = f"Request {context.request_id} received no response before its deadline."
    error = FleetError(ErrorKind.DEADLINE_PASSED, detail, attempt_sent=True)
    return StepResult(SearchAction.REPLY, problem_reply(error, context.request_id))


def _hop_headers(
    search: _ChatSearch, offer: Offer, attempt: AttemptId
) -> dict[str, str]:
    """Return the headers that carry one offer to a sidecar."""
    context = search.context
    hop = hops.Hop(
        attempt=attempt,
        customer=context.customer.name,
        chat=context.chat,
        customer_weight=context.customer.weight,
        priority=context.customer.priority,
        model=context.model.name,
        is_returning=context.is_returning,
        is_final=offer.is_final,
        standing=offer.role,
        time_left_s=context.time_left_s(),
    )
    headers = hops.hop_headers(hop, search.state.settings.instance.fleet_secret)
    headers["content-type"] = JSON_TYPE
    return headers


async def _handle_result(
    search: _ChatSearch, offer: Offer, result: OfferResult, attempt: AttemptId
) -> StepResult:
    """Relay the answer to an offer, or record why there is none."""
    if result.offer_status is OfferStatus.REFUSED:
        search.errors.append(result.refusal)
        _apply_refusal(search, offer, result.refusal)
        return StepResult(SearchAction.TRY_NEXT)
    if result.offer_status is OfferStatus.FAILED:
        return _record_failure(search, ErrorKind.TARGET_FAILED, result.detail)
    _notify_home(search, offer)
    if not result.headers.get("content-type", "").startswith(STREAM_TYPE):
        return await _relay_buffered(search, result)
    end = await relay_stream(
        search.state,
        search.request,
        search.context.request_id,
        offer.target,
        result.response,
        attempt,
    )
    return StepResult(SearchAction.REPLY, end)


def _apply_refusal(search: _ChatSearch, offer: Offer, refusal: FleetError) -> None:
    """Count a refusal and pass the target that it names to the candidate search."""
    search.state.metrics.count(f"refusals.{refusal.kind.value}")
    alternative = TargetId(refusal.alternative) if refusal.alternative else None
    if refusal.kind is ErrorKind.REDIRECT:
        search.candidate_search.apply_redirect(offer, alternative)
    elif refusal.kind is ErrorKind.PEER_LESS_LOADED:
        search.candidate_search.apply_deferral(offer, alternative)
    else:
        search.candidate_search.apply_refusal(alternative)


def _record_failure(search: _ChatSearch, kind: ErrorKind, detail: str) -> StepResult:
    """Record a failed attempt; try the next candidate if the retry budget allows."""
    search.errors.append(FleetError(kind, detail, attempt_sent=True))
    may_retry = search.state.retry_budget.try_acquire()
    return StepResult(SearchAction.TRY_NEXT if may_retry else SearchAction.GIVE_UP)


def _notify_home(search: _ChatSearch, offer: Offer) -> None:
    """Notify the chat's home target that another target accepted the chat."""
    home = search.candidate_search.home
    if home is None or home == offer.target:
        return
    member = search.state.membership.find(InstanceId(home))
    if member is None:
        return
    context = search.context
    placed = Placed(
        chat=context.chat, target=offer.target, customer=context.customer.name
    )
    address = Address(member.host, member.control_port)
    search.state.datagrams.send(address, Datagram(placed=placed))


async def _relay_buffered(search: _ChatSearch, result: OfferResult) -> StepResult:
    """Read a non-streamed answer to its end and return it as the reply."""
    try:
        body = await read_complete(result.response, COMPLETIONS_METHOD)
    except TRANSPORT_ERRORS as error:
        detail = f"The response ended early: {type(error).__name__}."
        return _record_failure(search, ErrorKind.ANSWER_TRUNCATED, detail)
    status = result.response.status
    if status >= FIRST_SERVER_ERROR:
        detail = f"The target responded with status {status}."
        return _record_failure(search, ErrorKind.TARGET_FAILED, detail)
    search.state.metrics.count("served")
    content_type = result.headers.get("content-type", JSON_TYPE)
    headers = {REQUEST_HEADER: search.context.request_id}
    return StepResult(SearchAction.REPLY, Reply(status, body, content_type, headers))


def _final_error(search: _ChatSearch) -> FleetError:
    """
    Return the error for a request that no candidate accepted.

    Once an attempt may have reached an engine, a later refusal does not prove
    that the request never ran; the outcome is then reported as unknown.
    """
    if not search.errors:
        detail = f"No available target serves model {search.context.model.name!r}."
        return FleetError(ErrorKind.NO_TARGET, detail, DEFAULT_RETRY_AFTER_S)
    informative = [item for item in search.errors if item.kind not in _REDIRECT_KINDS]
    informative = informative or search.errors
    retry_delays_s = [
        item.retry_after_s for item in informative if item.retry_after_s is not None
    ]
    retry_after_s = min(retry_delays_s, default=DEFAULT_RETRY_AFTER_S)
    final = replace(informative[-1], retry_after_s=retry_after_s)
    if any(item.attempt_sent for item in search.errors):
        return replace(final, outcome=Outcome.UNKNOWN, attempt_sent=True)
    return final
