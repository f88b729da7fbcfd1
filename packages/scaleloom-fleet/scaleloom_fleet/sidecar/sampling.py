"""Samples of the pool's load, and answers to those who sample this target."""

import random

import trio

from scaleloom_core.fold import region_of
from scaleloom_core.ids import ChatId, CustomerId, InstanceId, TargetId
from scaleloom_core.load import LoadSample
from scaleloom_core.pools import is_open
from scaleloom_core.records import Assignment
from scaleloom_fleet.sidecar.state import SidecarState
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s
from scaleloom_wire.control_pb2 import (
    ChatReply,
    Datagram,
    SampleReply,
    SampleRequest,
)

SAMPLE_TIMEOUT_S = 0.2
FRESH_PEERS = 16
FRESH_TIMEOUT_S = 0.05


def answer_datagram(state: SidecarState, datagram: Datagram) -> Datagram | None:
    """Return the answer to one datagram, if it wants one."""
    answer = _ANSWERS.get(datagram.WhichOneof("body"))
    return answer(state, datagram) if answer else None


def _answer_sample(state: SidecarState, _datagram: Datagram) -> Datagram:
    """Tell a peer or a router how this target fares."""
    return Datagram(
        sample_reply=SampleReply(
            load=state.admission.load,
            finishes_per_s=state.admission.finishes_per_s(now_s()),
            is_leaving=state.admission.is_leaving,
            settled_token=state.settled_token,
            cached_chats=len(state.admission.known),
        )
    )


def _answer_chat(state: SidecarState, datagram: Datagram) -> Datagram:
    """Tell a router what this target knows of a chat."""
    view = state.admission.view_of(ChatId(datagram.chat_request.chat), now_s())
    return Datagram(
        chat_reply=ChatReply(
            is_known=view.is_known,
            sent_to=view.sent_to or "",
            load=view.load,
            allowed_load=view.allowed_load,
        )
    )


def _take_placed(state: SidecarState, datagram: Datagram) -> None:
    """Remember where a chat of this home was taken in."""
    placed = datagram.placed
    state.admission.note_placed(
        CustomerId(placed.customer),
        ChatId(placed.chat),
        TargetId(placed.target),
        now_s(),
    )


def _take_leaving(state: SidecarState, datagram: Datagram) -> None:
    """Take a leaving peer out of the pool's mean."""
    state.admission.mean.drop_peer(TargetId(datagram.sender))


async def run_sampling(state: SidecarState) -> None:
    """Sample a few peers again and again, until cancelled."""
    bound = state.settings.bound
    while True:
        peers = find_peers(state)
        state.admission.mean.keep_only(set(peers))
        if state.owner is not None or state.admission.load > 0:
            _sample_some(state, peers, bound.sample_peers)
        await trio.sleep(bound.sample_interval_s)
        _give_up_late(state)


async def sample_now(state: SidecarState) -> None:
    """Sample the pool once, since an admission depends on its mean."""
    state.metrics.count("fresh_samples")
    _sample_some(state, find_peers(state), FRESH_PEERS)
    with trio.move_on_after(FRESH_TIMEOUT_S):
        while state.samples.asked:
            await state.samples.all_answered.wait()


def _sample_some(state: SidecarState, peers: list[TargetId], most: int) -> None:
    """Ask at most `most` of `peers` for their load."""
    for peer in random.sample(peers, min(len(peers), most)):
        member = state.membership.find(InstanceId(peer))
        if member is None:
            continue
        address = Address(member.host, member.control_port)
        question = Datagram(sample_request=SampleRequest())
        nonce = state.datagrams.tell(address, question)
        state.samples.asked[nonce] = (peer, now_s())


def _take_sample(state: SidecarState, datagram: Datagram) -> None:
    """Take in a peer's answer to a sample that is still awaited."""
    asked = state.samples.asked.pop(datagram.nonce, None)
    if asked is None:
        return
    peer, asked_at_s = asked
    reply = datagram.sample_reply
    state.unanswered_since_s.pop(peer, None)
    if reply.is_leaving:
        state.admission.mean.drop_peer(peer)
    else:
        sample = LoadSample(reply.load, reply.finishes_per_s, asked_at_s)
        state.admission.mean.note_sample(peer, sample)
    if not state.samples.asked:
        state.samples.all_answered.set()
        state.samples.all_answered = trio.Event()


def _give_up_late(state: SidecarState) -> None:
    """Count the samples that were not answered in time as silence."""
    oldest_s = now_s() - SAMPLE_TIMEOUT_S
    late = [
        nonce for nonce, (_, at_s) in state.samples.asked.items() if at_s <= oldest_s
    ]
    for nonce in late:
        peer, asked_at_s = state.samples.asked.pop(nonce)
        state.unanswered_since_s.setdefault(peer, asked_at_s)


def find_peers(state: SidecarState) -> list[TargetId]:
    """Return the other targets of this target's pool."""
    if state.owner is not None:
        return service_peers(state)
    if state.loaded is None:
        return []
    fold = state.config.fold
    region = region_of(fold, state.settings.instance.data_centre)
    return [
        item.name
        for item in fold.all_of(Assignment)
        if item.model == state.loaded.model
        and item.name != state.name
        and _is_near(state, item.name, region)
        and is_open(fold, state.membership, item.name, now_s())
    ]


def service_peers(state: SidecarState) -> list[TargetId]:
    """Return the other configured targets of this sidecar's service."""
    targets = state.services.all_of(state.owner.service)
    return [target for target in targets if target != state.name]


def _is_near(state: SidecarState, peer: TargetId, region: str) -> bool:
    """Return whether `peer` stands in `region`."""
    member = state.membership.find(InstanceId(peer))
    if member is None:
        return False
    return region_of(state.config.fold, member.data_centre) == region


async def ask_peer(state: SidecarState, peer: TargetId) -> SampleReply | None:
    """Return what a peer says of itself, or None if it does not answer."""
    member = state.membership.find(InstanceId(peer))
    if member is None:
        return None
    address = Address(member.host, member.control_port)
    question = Datagram(sample_request=SampleRequest())
    answer = await state.datagrams.ask(address, question, SAMPLE_TIMEOUT_S)
    return answer.sample_reply if answer is not None else None


_ANSWERS = {
    "sample_request": _answer_sample,
    "sample_reply": _take_sample,
    "chat_request": _answer_chat,
    "placed": _take_placed,
    "leaving": _take_leaving,
}
