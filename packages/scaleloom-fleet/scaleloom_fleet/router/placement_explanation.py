"""Explanation of where a chat is routed, from reports of its candidates."""

import msgspec
import trio

from scaleloom_core.chats import chat_id_from_name
from scaleloom_core.errors import ErrorKind, FleetError
from scaleloom_core.ids import ChatId, CustomerId, InstanceId, TargetId
from scaleloom_core.retry_budget import BreakerState
from scaleloom_core.target_pools import find_model
from scaleloom_fleet.http.asgi import Reply, Request, json_reply
from scaleloom_fleet.http.problems import problem_reply
from scaleloom_fleet.router.state import RouterState
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s
from scaleloom_wire.control_pb2 import ChatReply, ChatRequest, Datagram

QUERY_TIMEOUT_S = 0.3


class CandidateView(msgspec.Struct, frozen=True):
    """One candidate's state of the chat and its load."""

    target: TargetId
    is_reachable: bool
    is_offered: bool
    has_prefix: bool = False
    sent_to: str = ""
    load: int = 0
    allowed_load: int = 0


class Explanation(msgspec.Struct, frozen=True):
    """Candidates of a chat and the reason for its routing."""

    chat: ChatId
    model: str
    version: int
    candidates: list[CandidateView]
    reason: str


async def handle_explain(state: RouterState, request: Request, operator: str) -> Reply:
    """Handle `GET /admin/explain`: explain where a customer's chat is routed."""
    query = request.query
    model, adapter = find_model(state.config.fold, query.get("model", ""))
    customer, chat_name = query.get("customer", ""), query.get("chat", "")
    if model is None or not customer or not chat_name:
        detail = (
            "Expected ?model=NAME&customer=NAME&chat=ID with the name of a known model."
        )
        return problem_reply(FleetError(ErrorKind.BAD_REQUEST, detail))
    chat = chat_id_from_name(CustomerId(customer), chat_name)
    targets = state.pools.table(model.name, adapter, now_s()).candidates(chat)
    views = await _query_candidates(state, chat, targets)
    return json_reply(
        Explanation(
            chat=chat,
            model=model.name,
            version=state.config.fold.version,
            candidates=views,
            reason=_describe_reason(views),
        )
    )


async def _query_candidates(
    state: RouterState, chat: ChatId, targets: tuple[TargetId, ...]
) -> list[CandidateView]:
    """Query all candidates and return their views, best candidate first."""
    views: dict[TargetId, CandidateView] = {}

    async def query(target: TargetId) -> None:
        views[target] = _make_view(
            state, target, await _query_candidate(state, chat, target)
        )

    async with trio.open_nursery() as nursery:
        for target in targets:
            nursery.start_soon(query, target)
    return [views[target] for target in targets]


async def _query_candidate(
    state: RouterState, chat: ChatId, target: TargetId
) -> ChatReply | None:
    """Return the reply of one candidate, or None if it does not reply in time."""
    member = state.membership.find(InstanceId(target))
    if member is None:
        return None
    address = Address(member.host, member.control_port)
    query = Datagram(chat_request=ChatRequest(chat=chat))
    answer = await state.datagrams.request(address, query, QUERY_TIMEOUT_S)
    return answer.chat_reply if answer is not None else None


def _make_view(
    state: RouterState, target: TargetId, reply: ChatReply | None
) -> CandidateView:
    """Return the view of a candidate; `reply` is None if it did not answer."""
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


def _describe_reason(views: list[CandidateView]) -> str:
    """Describe where the next turn of the chat is routed."""
    if not views:
        return "No available target serves the model."
    home = views[0]
    if not home.is_reachable:
        return f"The home {home.target!r} does not answer; the next candidate is tried."
    if home.sent_to:
        return f"The home {home.target!r} redirects the chat to {home.sent_to!r}."
    if home.load + 1 > home.allowed_load:
        return (
            f"The home {home.target!r} has {home.load} requests in flight and a load "
            f"bound of {home.allowed_load}; it names a peer with free slots."
        )
    if home.has_prefix:
        return f"The home {home.target!r} holds the prefix and has a free slot."
    return (
        f"The home {home.target!r}, chosen by rendezvous hashing, has a free slot but "
        "no prefix of the chat; it may name a less loaded peer."
    )
