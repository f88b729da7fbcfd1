"""Why a chat lands where it does, as its candidates themselves tell."""

import msgspec
import trio

from scaleloom_core.chats import stated_chat_id
from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import ChatId, CustomerId, InstanceId, TargetId
from scaleloom_core.pools import find_model
from scaleloom_core.retries import BreakerState
from scaleloom_fleet.http.asgi import Reply, Request, json_reply
from scaleloom_fleet.http.problems import problem_reply
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s
from scaleloom_wire.control_pb2 import ChatReply, ChatRequest, Datagram

ASK_TIMEOUT_S = 0.3


class CandidateView(msgspec.Struct, frozen=True):
    """What one candidate knows of the chat, and whether it has room."""

    target: TargetId
    is_reachable: bool
    is_offered: bool
    has_prefix: bool = False
    sent_to: str = ""
    load: int = 0
    allowed_load: int = 0


class Explanation(msgspec.Struct, frozen=True):
    """Why a chat lands where it does."""

    chat: ChatId
    model: str
    version: int
    candidates: list[CandidateView]
    reason: str


async def handle_explain(state: RouterState, request: Request, operator: str) -> Reply:
    """Answer why a customer's chat lands where it does."""
    query = request.query
    model, adapter = find_model(state.config.fold, query.get("model", ""))
    customer, stated = query.get("customer", ""), query.get("chat", "")
    if model is None or not customer or not stated:
        detail = "Ask with ?model=NAME&customer=NAME&chat=ID for a model that exists."
        return problem_reply(FleetError(ErrorKind.BAD_REQUEST, detail))
    chat = stated_chat_id(CustomerId(customer), stated)
    targets = state.pools.table(model.name, adapter, now_s()).candidates(chat)
    views = await _ask_all(state, chat, targets)
    return json_reply(
        Explanation(
            chat=chat,
            model=model.name,
            version=state.config.fold.version,
            candidates=views,
            reason=_reason(views),
        )
    )


async def _ask_all(
    state: RouterState, chat: ChatId, targets: tuple[TargetId, ...]
) -> list[CandidateView]:
    """Return the candidates' views, best candidate first."""
    views: dict[TargetId, CandidateView] = {}

    async def ask(target: TargetId) -> None:
        views[target] = _view(state, target, await _ask(state, chat, target))

    async with trio.open_nursery() as nursery:
        for target in targets:
            nursery.start_soon(ask, target)
    return [views[target] for target in targets]


async def _ask(state: RouterState, chat: ChatId, target: TargetId) -> ChatReply | None:
    """Return what one candidate says."""
    member = state.membership.find(InstanceId(target))
    if member is None:
        return None
    address = Address(member.host, member.control_port)
    question = Datagram(chat_request=ChatRequest(chat=chat))
    answer = await state.datagrams.ask(address, question, ASK_TIMEOUT_S)
    return answer.chat_reply if answer is not None else None


def _view(
    state: RouterState, target: TargetId, reply: ChatReply | None
) -> CandidateView:
    """Return one candidate's view."""
    is_offered = state.breaker(target).state(now_s()) is not BreakerState.OPEN
    if reply is None:
        return CandidateView(target, is_reachable=False, is_offered=is_offered)
    return CandidateView(
        target=target,
        is_reachable=True,
        is_offered=is_offered,
        has_prefix=reply.is_known,
        sent_to=reply.sent_to,
        load=reply.load,
        allowed_load=reply.allowed_load,
    )


def _reason(views: list[CandidateView]) -> str:
    """Return in words where the next turn goes."""
    if not views:
        return "No open target serves the model."
    home = views[0]
    if not home.is_reachable:
        return f"The home {home.target!r} does not answer; the next candidate is asked."
    if home.sent_to:
        return f"The home {home.target!r} sent the chat to {home.sent_to!r}."
    if home.load + 1 > home.allowed_load:
        return (
            f"The home {home.target!r} carries {home.load} requests and may carry "
            f"{home.allowed_load}; it names a peer with room."
        )
    if home.has_prefix:
        return f"The home {home.target!r} holds the prefix and has room."
    return (
        f"{home.target!r} is the home by rendezvous hashing and has room; it holds no "
        "prefix of the chat, so a peer that carries less may be named."
    )
