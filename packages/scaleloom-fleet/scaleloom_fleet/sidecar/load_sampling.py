"""Samples of the load of the pool, and the answers to control datagrams."""

import random

import trio

from scaleloom_core.fold import region_of
from scaleloom_core.ids import ChatId, CustomerId, InstanceId, TargetId
from scaleloom_core.load_bound import LoadSample
from scaleloom_core.records import Assignment
from scaleloom_core.target_pools import accepts_work
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
FRESH_SAMPLE_PEERS = 16
FRESH_SAMPLE_TIMEOUT_S = 0.05


def handle_datagram(state: SidecarState, datagram: Datagram) -> Datagram | None:
    """Handle one datagram, and return its answer or None if it needs no answer."""
    handler = _HANDLERS.get(datagram.WhichOneof("body"))
    return handler(state, datagram) if handler else None


def _answer_sample_request(state: SidecarState, _datagram: Datagram) -> Datagram:
    """Return the load and state of this target for a peer or a router."""
    return Datagram(
        sample_reply=SampleReply(
            load=state.admission.load,
            finishes_per_s=state.admission.finishes_per_s(now_s()),
            is_leaving=state.admission.is_draining,
            settled_token=state.settled_token,
            cached_chats=len(state.admission.known),
        )
    )


def _answer_chat_request(state: SidecarState, datagram: Datagram) -> Datagram:
    """Return the status of a chat at this target for a router."""
    view = state.admission.chat_status(ChatId(datagram.chat_request.chat), now_s())
    return Datagram(
        chat_reply=ChatReply(
            is_known=view.is_known,
            sent_to=view.sent_to or "",
            load=view.load,
            allowed_load=view.allowed_load,
        )
    )


def _handle_placed(state: SidecarState, datagram: Datagram) -> None:
    """Record which target admitted a chat whose home is this target."""
    placed = datagram.placed
    state.admission.record_placement(
        CustomerId(placed.customer),
        ChatId(placed.chat),
        TargetId(placed.target),
        now_s(),
    )


def _handle_leaving(state: SidecarState, datagram: Datagram) -> None:
    """Remove a draining peer from the mean load of the pool."""
    state.admission.mean.remove_peer(TargetId(datagram.sender))


async def run_sampling(state: SidecarState) -> None:
    """Sample a few peers periodically until cancelled."""
    bound = state.settings.bound
    while True:
        peers = pool_peers(state)
        state.admission.mean.keep_only(set(peers))
        if state.owner is not None or state.admission.load > 0:
            _send_sample_requests(state, peers, bound.sample_peers)
        await trio.sleep(bound.sample_interval_s)
        _expire_samples(state)


async def sample_now(state: SidecarState) -> None:
    """Sample the pool once, because an admission depends on its mean load."""
    state.metrics.count("fresh_samples")
    _send_sample_requests(state, pool_peers(state), FRESH_SAMPLE_PEERS)
    with trio.move_on_after(FRESH_SAMPLE_TIMEOUT_S):
        while state.pending_samples.by_nonce:
            await state.pending_samples.all_answered.wait()


def _send_sample_requests(
    state: SidecarState, peers: list[TargetId], limit: int
) -> None:
    """Query at most `limit` of `peers`, chosen at random, for their load."""
    for peer in random.sample(peers, min(len(peers), limit)):
        member = state.membership.find(InstanceId(peer))
        if member is None:
            continue
        address = Address(member.host, member.control_port)
        request = Datagram(sample_request=SampleRequest())
        nonce = state.datagrams.send(address, request)
        state.pending_samples.by_nonce[nonce] = (peer, now_s())


def _handle_sample_reply(state: SidecarState, datagram: Datagram) -> None:
    """Apply a peer's answer to a sample request that is still pending."""
    sent = state.pending_samples.by_nonce.pop(datagram.nonce, None)
    if sent is None:
        return
    peer, sent_at_s = sent
    reply = datagram.sample_reply
    state.unanswered_since_s.pop(peer, None)
    if reply.is_leaving:
        state.admission.mean.remove_peer(peer)
    else:
        sample = LoadSample(reply.load, reply.finishes_per_s, sent_at_s)
        state.admission.mean.add_sample(peer, sample)
    if not state.pending_samples.by_nonce:
        state.pending_samples.all_answered.set()
        state.pending_samples.all_answered = trio.Event()


def _expire_samples(state: SidecarState) -> None:
    """Drop requests past the timeout, and record since when their peers are silent."""
    sent_before_s = now_s() - SAMPLE_TIMEOUT_S
    late = [
        nonce
        for nonce, (_, sent_s) in state.pending_samples.by_nonce.items()
        if sent_s <= sent_before_s
    ]
    for nonce in late:
        peer, sent_at_s = state.pending_samples.by_nonce.pop(nonce)
        state.unanswered_since_s.setdefault(peer, sent_at_s)


def pool_peers(state: SidecarState) -> list[TargetId]:
    """Return the other targets of this target's pool."""
    if state.owner is not None:
        return service_peers(state)
    if state.loaded_assignment is None:
        return []
    fold = state.config.fold
    region = region_of(fold, state.settings.instance.data_centre)
    return [
        item.name
        for item in fold.objects_of(Assignment)
        if item.model == state.loaded_assignment.model
        and item.name != state.name
        and _is_same_region(state, item.name, region)
        and accepts_work(fold, state.membership, item.name, now_s())
    ]


def service_peers(state: SidecarState) -> list[TargetId]:
    """Return the other configured targets of this sidecar's service."""
    targets = state.services.all_targets(state.owner.service)
    return [target for target in targets if target != state.name]


def _is_same_region(state: SidecarState, peer: TargetId, region: str) -> bool:
    """Return whether `peer` is in `region`."""
    member = state.membership.find(InstanceId(peer))
    if member is None:
        return False
    return region_of(state.config.fold, member.data_centre) == region


async def query_peer(state: SidecarState, peer: TargetId) -> SampleReply | None:
    """Return the load and state of a peer, or None if the peer does not answer."""
    member = state.membership.find(InstanceId(peer))
    if member is None:
        return None
    address = Address(member.host, member.control_port)
    request = Datagram(sample_request=SampleRequest())
    answer = await state.datagrams.request(address, request, SAMPLE_TIMEOUT_S)
    return answer.sample_reply if answer is not None else None


_HANDLERS = {
    "sample_request": _answer_sample_request,
    "sample_reply": _handle_sample_reply,
    "chat_request": _answer_chat_request,
    "placed": _handle_placed,
    "leaving": _handle_leaving,
}
