"""Offer of a request to one sidecar, and its result."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum

import httpcore
import trio

from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import TargetId
from scaleloom_fleet.http import hops
from scaleloom_fleet.http.clients import (
    NEVER_SENT_ERRORS,
    TRANSPORT_ERRORS,
    SendState,
    decode_headers,
    describe_error,
    get_send_state,
)
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.utils.clock import now_s
from scaleloom_fleet.utils.tracing import context_headers

FIRST_SERVER_ERROR = 500


class OfferStatus(Enum):
    """Result of an offer, known before any byte of an answer is relayed."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass
class OfferResult:
    """
    Result of an offer.

    Parameters
    ----------
    offer_status : OfferStatus
        How the offer ended; decides which of the other fields are set.
    response : httpcore.Response or None
        The response, open for reading.
    headers : dict of str to str
        Headers of the response.
    refusal : FleetError or None
        Why the sidecar refused the request.
    send_state : SendState
        Whether a failed offer may have reached the sidecar.
    detail : str
        Description of the failure.
    """

    offer_status: OfferStatus
    response: httpcore.Response | None = None
    headers: dict[str, str] | None = None
    refusal: FleetError | None = None
    send_state: SendState = SendState.MAYBE_SENT
    detail: str = ""


@asynccontextmanager
async def open_offer(
    state: RouterState,
    target: TargetId,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    attempt: str,
) -> AsyncIterator[OfferResult]:
    """
    Offer a request to the sidecar of `target` and yield the result.

    A response without the id of this attempt belongs to another request and
    counts as a failure.
    """
    address = state.address_of(target)
    if address is None:
        detail = f"Unknown address of target {target!r}."
        yield OfferResult(
            OfferStatus.FAILED, send_state=SendState.NEVER_SENT, detail=detail
        )
        return
    all_headers = {**headers, **context_headers()}
    stream = state.client.stream(method, address.url(path), all_headers, body)
    try:
        response = await stream.__aenter__()
    except (*NEVER_SENT_ERRORS, *TRANSPORT_ERRORS) as error:
        state.mark_unreachable(target)
        yield OfferResult(
            OfferStatus.FAILED,
            send_state=get_send_state(error),
            detail=describe_error(error),
        )
        return
    try:
        yield await _read_response(state, target, response, attempt)
    finally:
        with trio.CancelScope(shield=True):
            await stream.__aexit__(None, None, None)


def matches_attempt(headers: dict[str, str], attempt: str) -> bool:
    """Return whether a response with `headers` belongs to `attempt`."""
    return headers.get(hops.ATTEMPT_HEADER) == attempt


async def _read_response(
    state: RouterState, target: TargetId, response: httpcore.Response, attempt: str
) -> OfferResult:
    """Return the result of an offer from the headers of its response."""
    headers = decode_headers(response)
    if hops.LEAVING_HEADER in headers:
        state.mark_draining(target)
    if not matches_attempt(headers, attempt):
        state.mark_unreachable(target)
        detail = f"Response of target {target!r} does not match the id of this attempt."
        return OfferResult(OfferStatus.FAILED, detail=detail)
    if hops.REFUSAL_HEADER not in headers:
        state.record_answer(target)
        return OfferResult(OfferStatus.ANSWERED, response, headers)
    try:
        detail = (await response.aread()).decode("utf-8", "replace")
    except TRANSPORT_ERRORS:
        detail = ""
    refusal = hops.read_refusal(headers, detail)
    if refusal.kind is ErrorKind.TARGET_FAILED:
        state.breaker(target).record_failure(now_s())
        return OfferResult(OfferStatus.FAILED, headers=headers, detail=detail)
    state.record_answer(target)
    return OfferResult(OfferStatus.REFUSED, headers=headers, refusal=refusal)
