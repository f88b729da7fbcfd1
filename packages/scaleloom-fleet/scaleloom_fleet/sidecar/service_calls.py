"""Handlers of calls to a plain HTTP service, with or without an idempotency key."""

from dataclasses import replace
from functools import partial

import trio
from returns.result import Failure

from scaleloom_core.admission import Ticket
from scaleloom_core.errors import ErrorKind, FleetError, Outcome
from scaleloom_core.hashing import digest_bytes
from scaleloom_core.idempotency import IdempotencyDecision, Permission, StoredAnswer
from scaleloom_core.idempotency_keys import IdempotencyKey
from scaleloom_core.ids import ServiceName
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.asgi import Reply, Request
from scaleloom_fleet.http.clients import RequestFailure, SendState
from scaleloom_fleet.platform.engine import FENCING_HEADER
from scaleloom_fleet.sidecar.replies import (
    attempt_headers,
    read_authentic_hop,
    refusal_reply,
)
from scaleloom_fleet.sidecar.state import KeyedRun, SidecarState
from scaleloom_fleet.utils.clock import now_s, wall_s
from scaleloom_fleet.utils.tracing import context_headers, hop_span, read_context

KEY_HEADER = "idempotency-key"
REPLAYED_HEADER = "x-scaleloom-replayed"
DEFAULT_CONTENT_TYPE = "application/octet-stream"
STALE_TOKEN_STATUS = 412
DEFAULT_KEY_WAIT_S = 60.0


async def handle_call(state: SidecarState, request: Request) -> Reply | None:
    """Answer a call to the plain service of this sidecar."""
    hop_result = read_authentic_hop(state, request.headers)
    hop = hop_result.value_or(None)
    if hop is None:
        return hop_result.failure()
    limits = state.settings.limits
    body_result = await request.read_body(
        limits.body_limit_bytes, limits.body_timeout_s
    )
    if isinstance(body_result, Failure):
        error = replace(body_result.failure(), outcome=Outcome.UNKNOWN)
        return refusal_reply(state, hop.attempt, error)
    with hop_span("sidecar", read_context(request.headers), target=state.name):
        if KEY_HEADER in request.headers:
            return await _call_with_key(state, request, hop, body_result.unwrap())
        return await _call_without_key(state, request, hop, body_result.unwrap())


async def _call_without_key(
    state: SidecarState, request: Request, hop: hops.Hop, body: bytes
) -> Reply:
    """Admit a call without an idempotency key and forward it to the target."""
    admission_result = state.admission.decide(hop.offer, now_s())
    if isinstance(admission_result, Failure):
        return refusal_reply(state, hop.attempt, admission_result.failure())
    ticket = admission_result.unwrap()
    try:
        result = await state.client.request(
            request.method, _target_url(state, request), _target_headers(request), body
        )
    finally:
        state.admission.finish(ticket, now_s(), is_served=True)
    answer = result.value_or(None)
    if answer is None:
        error = FleetError(
            ErrorKind.TARGET_FAILED, result.failure().detail, attempt_sent=True
        )
        return refusal_reply(state, hop.attempt, error)
    content_type = answer.headers.get("content-type", DEFAULT_CONTENT_TYPE)
    return Reply(
        answer.status, answer.body, content_type, attempt_headers(state, hop.attempt)
    )


def _target_url(state: SidecarState, request: Request) -> str:
    """Return the URL of a call at the target."""
    return state.target_address.url("/" + request.path_params["path"])


def _target_headers(request: Request) -> dict[str, str]:
    """Return the headers that every call to the target carries."""
    content_type = request.headers.get("content-type", DEFAULT_CONTENT_TYPE)
    return {"content-type": content_type, **context_headers()}


async def _call_with_key(
    state: SidecarState, request: Request, hop: hops.Hop, body: bytes
) -> Reply:
    """Run a call with an idempotency key, or answer from its earlier run."""
    key = _make_key(state, hop, request.headers[KEY_HEADER])
    digest = digest_bytes(f"{request.method} {request.path}\x00".encode() + body)
    time_left_s = hop.time_left_s or DEFAULT_KEY_WAIT_S
    with trio.move_on_after(time_left_s):
        while True:
            begin_result = state.owner.begin(
                key, digest, hop.received_wall_s, now_s(), wall_s()
            )
            decision: IdempotencyDecision | None = begin_result.value_or(None)
            if decision is not None:
                return await _replay_or_run(state, request, hop, key, body, decision)
            run = state.keyed_runs.get(key)
            is_running = begin_result.failure().kind is ErrorKind.KEY_IN_PROGRESS
            if run is None or not is_running:
                return refusal_reply(state, hop.attempt, begin_result.failure())
            await run.has_ended.wait()
    detail = f"The request with key {key.text!r} is still running."
    error = FleetError(ErrorKind.KEY_IN_PROGRESS, detail, 1.0)
    return refusal_reply(state, hop.attempt, error)


def _make_key(state: SidecarState, hop: hops.Hop, text: str) -> IdempotencyKey:
    """Return the idempotency key, scoped to its customer and this service."""
    return IdempotencyKey(hop.customer, ServiceName(state.owner.service), text)


async def _replay_or_run(
    state: SidecarState,
    request: Request,
    hop: hops.Hop,
    key: IdempotencyKey,
    body: bytes,
    decision: IdempotencyDecision,
) -> Reply:
    """Replay a stored answer, or start the run of the request and wait for its end."""
    if decision.permission is Permission.REPLAY:
        return _replayed_reply(state, hop, decision.answer)
    admission_result = state.admission.decide(hop.offer, now_s())
    if isinstance(admission_result, Failure):
        return _refuse_admission(state, hop, key, admission_result.failure())
    run = KeyedRun()
    state.keyed_runs[key] = run
    headers = {
        **_target_headers(request),
        KEY_HEADER: key.text,
        FENCING_HEADER: str(state.owner.fencing_token),
    }
    send = partial(
        state.unpooled_client.request,
        request.method,
        _target_url(state, request),
        headers,
        body,
    )
    epoch = state.owner.epoch_of(key)
    state.nursery.start_soon(
        _run_to_end, state, hop, key, epoch, run, admission_result.unwrap(), send
    )
    await run.has_ended.wait()
    return run.reply


def _refuse_admission(
    state: SidecarState, hop: hops.Hop, key: IdempotencyKey, error: FleetError
) -> Reply:
    """
    Refuse a run that admission control did not admit.

    A draining target doesn't state that the request has not run, so that the router
    may send the same attempt to the successor as soon as the log names the successor.
    """
    if error.kind is not ErrorKind.TARGET_DRAINING:
        return _refuse_run(state, hop, key, error)
    state.owner.table.abandon(key)
    unproved = replace(error, outcome=Outcome.UNKNOWN)
    return refusal_reply(state, hop.attempt, unproved)


def _refuse_run(
    state: SidecarState, hop: hops.Hop, key: IdempotencyKey, error: FleetError
) -> Reply:
    """
    Refuse a run that was not dispatched.

    The key owner remembers the refusal, so that the stated outcome stays true.
    """
    refusal = state.owner.refuse_run(key, error, hop.received_wall_s, now_s(), wall_s())
    return refusal_reply(state, hop.attempt, refusal)


def _replayed_reply(state: SidecarState, hop: hops.Hop, answer: StoredAnswer) -> Reply:
    """Return the reply that replays the answer of an earlier run."""
    state.metrics.count("replayed")
    headers = {REPLAYED_HEADER: "1", **attempt_headers(state, hop.attempt)}
    return Reply(answer.status, answer.body, answer.content_type, headers)


async def _run_to_end(
    state: SidecarState,
    hop: hops.Hop,
    key: IdempotencyKey,
    epoch: int,
    run: KeyedRun,
    ticket: Ticket,
    send,
) -> None:
    """Run the request to its end, even if its caller has disconnected."""
    try:
        if state.owner.may_dispatch(key, epoch, now_s()):
            result = await send()
            run.reply = _record_outcome(state, hop, key, result)
        else:
            state.owner.table.abandon(key)
            detail = "The lease expired before the request was sent to the target."
            error = FleetError(ErrorKind.LEASE_LAPSED, detail, 1.0)
            run.reply = refusal_reply(state, hop.attempt, error)
    finally:
        state.admission.finish(ticket, now_s(), is_served=True)
        del state.keyed_runs[key]
        run.has_ended.set()


def _record_outcome(
    state: SidecarState, hop: hops.Hop, key: IdempotencyKey, result
) -> Reply:
    """Record the outcome of a run, and return the reply to the router."""
    answer = result.value_or(None)
    if answer is None:
        return _record_failure(state, hop, key, result.failure())
    if answer.status == STALE_TOKEN_STATUS:
        state.owner.table.mark_unknown(key)
        detail = "The target rejected the fencing token: the key has a newer owner."
        return refusal_reply(
            state, hop.attempt, FleetError(ErrorKind.OUTCOME_UNKNOWN, detail)
        )
    content_type = answer.headers.get("content-type", DEFAULT_CONTENT_TYPE)
    state.owner.table.finish(
        key, StoredAnswer(answer.status, content_type, answer.body)
    )
    state.metrics.count("ran_once")
    service = state.config.fold.find_service(state.owner.service)
    state.metrics.count("service_weight", service.kind_weight if service else 1.0)
    return Reply(
        answer.status, answer.body, content_type, attempt_headers(state, hop.attempt)
    )


def _record_failure(
    state: SidecarState, hop: hops.Hop, key: IdempotencyKey, failure: RequestFailure
) -> Reply:
    """
    Record a run without an answer.

    A request that was never sent has not run; any other may have run.
    """
    if failure.send_state is SendState.NEVER_SENT:
        detail = f"The target is unreachable: {failure.detail}"
        return _refuse_run(
            state, hop, key, FleetError(ErrorKind.NO_TARGET, detail, 1.0)
        )
    state.owner.table.mark_unknown(key)
    detail = f"The target did not answer the request: {failure.detail}"
    error = FleetError(ErrorKind.OUTCOME_UNKNOWN, detail, attempt_sent=True)
    return refusal_reply(state, hop.attempt, error)


async def handle_key_status(state: SidecarState, request: Request) -> Reply:
    """Answer with the outcome recorded for an idempotency key."""
    hop_result = read_authentic_hop(state, request.headers)
    hop = hop_result.value_or(None)
    if hop is None:
        return hop_result.failure()
    key = _make_key(state, hop, request.path_params["key"])
    stored = state.owner.look_up(key, hop.received_wall_s, now_s(), wall_s())
    if isinstance(stored, Failure):
        return refusal_reply(state, hop.attempt, stored.failure())
    return _replayed_reply(state, hop, stored.unwrap())
