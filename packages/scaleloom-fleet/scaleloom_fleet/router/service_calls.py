"""Request handlers of plain services: retryable calls and idempotent calls."""

import random
import uuid
from dataclasses import dataclass, replace

import trio
from returns.result import Failure, Result, Success

from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.idempotency_keys import MAX_KEY_LENGTH, IdempotencyKey
from scaleloom_core.ids import AttemptId, ChatId, ServiceName, TargetId
from scaleloom_core.records import Customer, Service
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.answer_ends import read_complete
from scaleloom_fleet.http.asgi import Reply, Request
from scaleloom_fleet.http.clients import TRANSPORT_ERRORS, SendState
from scaleloom_fleet.http.problems import problem_reply
from scaleloom_fleet.router.offers import (
    FIRST_SERVER_ERROR,
    OfferResult,
    OfferStatus,
    open_offer,
)
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.utils.clock import now_s, wall_s
from scaleloom_fleet.utils.tracing import hop_span, root_span

KEY_HEADER = "idempotency-key"
REPLAYED_HEADER = "x-scaleloom-replayed"
OWNER_TIMEOUT_S = 3.0
OWNER_RETRY_INTERVAL_S = 0.1
MAX_SERVICE_ATTEMPTS = 3
DEFAULT_CONTENT_TYPE = "application/octet-stream"


@dataclass(frozen=True)
class CallContext:
    """One call of a plain service, parsed and authenticated."""

    request_id: str
    customer: Customer
    service: Service
    method: str
    path: str
    content_type: str
    body: bytes
    deadline_at_s: float
    received_wall_s: float
    key: IdempotencyKey | None = None

    def time_left_s(self) -> float:
        """Return the time left until the deadline, in seconds."""
        return max(0.0, self.deadline_at_s - now_s())


async def handle_service(state: RouterState, request: Request) -> Reply | None:
    """Handle a request to `/services/{service}/{path}`."""
    state.metrics.count("requests")
    ratio = state.settings.observe.trace_ratio
    with root_span("router", request.headers, ratio, path=request.path):
        prepared = await _prepare(state, request)
        context = prepared.value_or(None)
        if context is None:
            return problem_reply(_early_refusal(request, prepared.failure()))
        run = _run_idempotent if context.key else _run_retryable
        return await state.watch.serve(request, lambda: run(state, context))


def _early_refusal(request: Request, error: FleetError) -> FleetError:
    """
    Return the error for a request refused before a target was chosen.

    A request with an idempotency key may have run in an earlier attempt through
    another router, so this refusal does not prove that it never ran.
    """
    return _without_proof(error) if KEY_HEADER in request.headers else error


def _without_proof(error: FleetError) -> FleetError:
    """Return `error` with an unknown outcome, as earlier attempts may have run."""
    return replace(error, outcome=Outcome.UNKNOWN, attempt_sent=False)


async def handle_request_status(state: RouterState, request: Request) -> Reply | None:
    """Handle `GET /v1/requests/{service}/{key}` for the customer's own requests."""
    authenticated = state.authenticate(request.headers)
    customer = authenticated.value_or(None)
    if customer is None:
        return problem_reply(_without_proof(authenticated.failure()))
    service = state.config.fold.find_service(request.path_params["service"])
    if service is None:
        return problem_reply(
            _without_proof(_unknown_service(request.path_params["service"]))
        )
    key = IdempotencyKey(customer.name, service.name, request.path_params["key"])
    context = CallContext(
        request_id=uuid.uuid4().hex,
        customer=customer,
        service=service,
        method="GET",
        path=f"/once/{key.text}",
        content_type=DEFAULT_CONTENT_TYPE,
        body=b"",
        deadline_at_s=now_s() + state.settings.limits.deadline_s,
        received_wall_s=wall_s(),
        key=key,
    )
    return await state.watch.serve(request, lambda: _run_idempotent(state, context))


async def _prepare(
    state: RouterState, request: Request
) -> Result[CallContext, FleetError]:
    """Authenticate and parse `request`, or return the error for the caller."""
    received_wall_s = wall_s()
    authenticated = state.authenticate(request.headers)
    customer = authenticated.value_or(None)
    if customer is None:
        return authenticated
    service = state.config.fold.find_service(request.path_params["service"])
    if service is None:
        return Failure(_unknown_service(request.path_params["service"]))
    key = _read_key(request, customer, service)
    if isinstance(key, Failure):
        return key
    limits = state.settings.limits
    received = await request.read_body(limits.body_limit_bytes, limits.body_timeout_s)
    return received.map(
        lambda body: CallContext(
            request_id=uuid.uuid4().hex,
            customer=customer,
            service=service,
            method=request.method,
            path="/call/" + request.path_params["path"],
            content_type=request.headers.get("content-type", DEFAULT_CONTENT_TYPE),
            body=body,
            deadline_at_s=now_s() + limits.deadline_s,
            received_wall_s=received_wall_s,
            key=key.unwrap(),
        )
    )


def _unknown_service(name: str) -> FleetError:
    """Return the error for a service that is not configured."""
    detail = f"Unknown service: {name!r}."
    return FleetError(ErrorKind.UNKNOWN_SERVICE, detail)


def _read_key(
    request: Request, customer: Customer, service: Service
) -> Result[IdempotencyKey | None, FleetError]:
    """Return the idempotency key of a call, or None if its method is retryable."""
    if request.method in service.repeatable_methods:
        return Success(None)
    text = request.headers.get(KEY_HEADER, "").strip('"')
    if not text:
        detail = (
            f"{request.method} requests to service {service.name!r} are not retryable "
            "and require an Idempotency-Key header, preferably a UUIDv7."
        )
        return Failure(FleetError(ErrorKind.KEY_REQUIRED, detail))
    if len(text) > MAX_KEY_LENGTH or not text.isprintable() or "/" in text:
        detail = (
            f"Invalid Idempotency-Key {text[:40]!r}: expected at most "
            f"{MAX_KEY_LENGTH} printable characters without '/'."
        )
        return Failure(FleetError(ErrorKind.BAD_REQUEST, detail))
    return Success(IdempotencyKey(customer.name, ServiceName(service.name), text))


def _call_headers(
    state: RouterState, context: CallContext, attempt: AttemptId
) -> dict[str, str]:
    """Return the headers that carry one offer of a call to a sidecar."""
    hop = hops.Hop(
        attempt=attempt,
        customer=context.customer.name,
        chat=ChatId(context.path),
        customer_weight=context.customer.weight,
        priority=context.customer.priority,
        is_final=True,
        time_left_s=context.time_left_s(),
        received_wall_s=context.received_wall_s,
    )
    headers = hops.hop_headers(hop, state.settings.instance.fleet_secret)
    headers["content-type"] = context.content_type
    if context.key is not None:
        headers[KEY_HEADER] = context.key.text
    return headers


async def _run_retryable(state: RouterState, context: CallContext) -> Reply:
    """Offer a retryable call to available targets in turn until one answers."""
    state.retry_budget.record_request()
    service = context.service.name
    targets = state.services.open_targets(service, state.membership, now_s())
    random.shuffle(targets)
    error = FleetError(
        ErrorKind.NO_TARGET,
        f"No available target for service {context.service.name!r}.",
        1.0,
    )
    for target in targets[:MAX_SERVICE_ATTEMPTS]:
        outcome = await _offer_call(state, context, target)
        if isinstance(outcome, Reply) and outcome.status < FIRST_SERVER_ERROR:
            state.metrics.count("served")
            return outcome
        error = _error_after(outcome, error)
        if not _was_refused(outcome) and not state.retry_budget.try_acquire():
            break
    return problem_reply(error, context.request_id)


def _was_refused(outcome: Reply | OfferResult) -> bool:
    """Return whether the sidecar refused the call."""
    return (
        isinstance(outcome, OfferResult) and outcome.offer_status is OfferStatus.REFUSED
    )


def _error_after(outcome: Reply | OfferResult, previous: FleetError) -> FleetError:
    """
    Return the error to report after one more failed offer.

    Once an attempt may have reached a target, a later refusal does not prove
    that the call never ran; the outcome is then reported as unknown.
    """
    if isinstance(outcome, Reply):
        detail = f"The target responded with status {outcome.status}."
        return FleetError(ErrorKind.TARGET_FAILED, detail, attempt_sent=True)
    if outcome.offer_status is OfferStatus.REFUSED and previous.attempt_sent:
        return replace(outcome.refusal, outcome=Outcome.UNKNOWN, attempt_sent=True)
    if outcome.offer_status is OfferStatus.REFUSED:
        return outcome.refusal
    return FleetError(ErrorKind.TARGET_FAILED, outcome.detail, attempt_sent=True)


async def _offer_call(
    state: RouterState, context: CallContext, target: TargetId
) -> Reply | OfferResult:
    """Offer a call to one sidecar; return the complete reply or the failed offer."""
    attempt = AttemptId(uuid.uuid4().hex)
    headers = _call_headers(state, context, attempt)
    with trio.move_on_after(context.time_left_s()):
        with hop_span("offer", target=target):
            async with open_offer(
                state,
                target,
                context.method,
                context.path,
                headers,
                context.body,
                attempt,
            ) as result:
                if result.offer_status is not OfferStatus.ANSWERED:
                    return result
                return await _read_reply(context, result)
    return OfferResult(OfferStatus.FAILED, detail="The deadline of the request passed.")


async def _read_reply(context: CallContext, result: OfferResult) -> Reply | OfferResult:
    """Read an answer to its end and return it as the reply."""
    try:
        body = await read_complete(result.response, context.method)
    except TRANSPORT_ERRORS as error:
        detail = f"The response ended early: {type(error).__name__}."
        return OfferResult(OfferStatus.FAILED, detail=detail)
    headers = {"x-request-id": context.request_id}
    if REPLAYED_HEADER in result.headers:
        headers[REPLAYED_HEADER] = result.headers[REPLAYED_HEADER]
    content_type = result.headers.get("content-type", DEFAULT_CONTENT_TYPE)
    return Reply(result.response.status, body, content_type, headers)


@dataclass
class _OwnerSearch:
    """State of the attempts to reach the owner of an idempotency key."""

    deadline_s: float
    may_have_been_sent: bool = False
    refusal: FleetError | None = None

    def is_timed_out(self) -> bool:
        """Return whether the time limit of the search is reached."""
        return now_s() >= self.deadline_s


async def _run_idempotent(state: RouterState, context: CallContext) -> Reply:
    """
    Call the owner of the idempotency key, retrying while it is unreachable.

    A retry with the same key is safe: the owner runs the call at most once.
    """
    timeout_s = min(OWNER_TIMEOUT_S, context.time_left_s())
    search = _OwnerSearch(deadline_s=now_s() + timeout_s)
    while True:
        reply = await _call_owner(state, context, search)
        if reply is not None:
            state.metrics.count("served")
            return reply
        if _is_final(search.refusal) or search.is_timed_out():
            return problem_reply(_owner_error(context, search), context.request_id)
        await trio.sleep(OWNER_RETRY_INTERVAL_S)


async def _call_owner(
    state: RouterState, context: CallContext, search: _OwnerSearch
) -> Reply | None:
    """
    Call the owner of the key slot once.

    Returns
    -------
    Reply or None
        The answer, or None; `search` then contains the reason.
    """
    search.refusal = None
    owner = state.config.fold.slot_owners(context.service.name).get(
        context.key.key_slot
    )
    if owner is None or state.address_of(owner.target) is None:
        return None
    outcome = await _offer_call(state, context, owner.target)
    if isinstance(outcome, Reply):
        return outcome
    if outcome.offer_status is OfferStatus.REFUSED:
        search.refusal = outcome.refusal
    elif outcome.send_state is SendState.MAYBE_SENT:
        search.may_have_been_sent = True
    return None


_TRANSIENT_REFUSALS = (ErrorKind.NOT_OWNER, ErrorKind.TARGET_DRAINING)


def _is_final(refusal: FleetError | None) -> bool:
    """Return whether a refusal of the owner ends the search."""
    return refusal is not None and refusal.kind not in _TRANSIENT_REFUSALS


def _owner_error(context: CallContext, search: _OwnerSearch) -> FleetError:
    """
    Return the error for a call that its owner did not answer.

    Once an attempt may have reached the owner, a later refusal does not prove
    that the call never ran; the outcome is then reported as unknown.
    """
    if search.refusal is None:
        detail = f"The owner of idempotency key {context.key.text!r} is unreachable."
        return FleetError(
            ErrorKind.OWNER_UNREACHABLE,
            detail,
            2.0,
            attempt_sent=search.may_have_been_sent,
        )
    if search.may_have_been_sent:
        return replace(search.refusal, outcome=Outcome.UNKNOWN, attempt_sent=True)
    return search.refusal
