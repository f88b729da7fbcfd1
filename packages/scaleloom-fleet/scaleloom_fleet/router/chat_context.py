"""Parsing of chat completion requests: customer, model, chat and deadline."""

import uuid
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from scaleloom_core.chats import (
    ChatRequest,
    derive_chat_id,
    is_returning,
    parse_chat_request,
)
from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import AdapterName, ChatId
from scaleloom_core.records import Customer, Model
from scaleloom_core.target_pools import find_model, may_use_model
from scaleloom_fleet.http.asgi import Request
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.utils.clock import now_s

CHAT_HEADER = "x-chat-id"
DEADLINE_HEADER = "x-deadline-s"
REQUEST_HEADER = "x-request-id"


@dataclass(frozen=True)
class ChatContext:
    """One chat completion request, parsed and authorized."""

    request_id: str
    customer: Customer
    model: Model
    adapter: AdapterName | None
    chat: ChatId
    is_returning: bool
    body: bytes
    deadline_at_s: float

    def time_left_s(self) -> float:
        """Return the time left until the deadline, in seconds."""
        return max(0.0, self.deadline_at_s - now_s())


async def read_chat_context(
    state: RouterState, request: Request
) -> Result[ChatContext, FleetError]:
    """Authenticate and parse `request`, or return the error for the caller."""
    authenticated = state.authenticate(request.headers)
    customer = authenticated.value_or(None)
    if customer is None:
        return authenticated
    limits = state.settings.limits
    received = await request.read_body(limits.body_limit_bytes, limits.body_timeout_s)
    return received.bind(lambda body: _parse_body(state, request, customer, body))


def _parse_body(
    state: RouterState, request: Request, customer: Customer, body: bytes
) -> Result[ChatContext, FleetError]:
    """Parse `body` and check that `customer` may use the requested model."""
    try:
        parsed = parse_chat_request(body)
        deadline_s = _parse_deadline_s(state, request)
    except (msgspec.DecodeError, ValueError) as error:
        return Failure(FleetError(ErrorKind.BAD_REQUEST, str(error)))
    model, adapter = find_model(state.config.fold, parsed.model)
    if model is None:
        detail = f"Unknown model: {parsed.model!r}."
        return Failure(FleetError(ErrorKind.UNKNOWN_MODEL, detail))
    if not may_use_model(model, customer.name):
        detail = f"Customer {customer.name!r} may not use model {parsed.model!r}."
        return Failure(FleetError(ErrorKind.FORBIDDEN, detail))
    return Success(
        _make_context(request, customer, model, adapter, parsed, body, deadline_s)
    )


def _make_context(
    request: Request,
    customer: Customer,
    model: Model,
    adapter: AdapterName | None,
    parsed: ChatRequest,
    body: bytes,
    deadline_s: float,
) -> ChatContext:
    """Return the context of an authorized request."""
    chat_name = request.headers.get(CHAT_HEADER)
    return ChatContext(
        request_id=request.headers.get(REQUEST_HEADER) or uuid.uuid4().hex,
        customer=customer,
        model=model,
        adapter=adapter,
        chat=derive_chat_id(customer.name, chat_name, parsed),
        is_returning=is_returning(parsed),
        body=body,
        deadline_at_s=now_s() + deadline_s,
    )


def _parse_deadline_s(state: RouterState, request: Request) -> float:
    """
    Return how long the caller waits for the response to start, in seconds.

    The configured deadline applies if the request has no deadline header.

    Raises
    ------
    ValueError
        If the header is not a positive finite number.
    """
    header = request.headers.get(DEADLINE_HEADER)
    if header is None:
        return state.settings.limits.deadline_s
    deadline_s = float(header)
    if not 0 < deadline_s < float("inf"):
        raise ValueError(
            f"Invalid {DEADLINE_HEADER}: {header!r}; expected a positive number "
            "of seconds."
        )
    return deadline_s
