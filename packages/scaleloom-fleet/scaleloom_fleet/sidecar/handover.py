"""Hand-over of key slots to successors while this target drains."""

import logging
import uuid
from collections import defaultdict

import trio
from returns.result import Failure

from scaleloom_core.idempotency import IdempotencyEntry, RunState, StoredAnswer
from scaleloom_core.idempotency_keys import IdempotencyKey
from scaleloom_core.ids import (
    CustomerId,
    Incarnation,
    InstanceId,
    RecordId,
    SlotNumber,
    TargetId,
)
from scaleloom_core.key_owner import Transfer
from scaleloom_core.ownership import Inheritance
from scaleloom_core.placement import rendezvous_leader
from scaleloom_core.records import SlotRelease, encode_record
from scaleloom_core.refusals import Refusal
from scaleloom_core.target_pools import accepts_work
from scaleloom_fleet.sidecar.load_sampling import service_peers
from scaleloom_fleet.sidecar.state import SidecarState
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s
from scaleloom_wire.control_pb2 import (
    HandOverReply,
    HandOverRequest,
    OnceRecord,
    RefusalRecord,
    SlotTenure,
)

HANDOVER_CALL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
HANDOVER_INTERVAL_S = 0.3
HANDOVER_LIMIT_S = 15.0
_logger = logging.getLogger("scaleloom.handover")


async def run_handover(state: SidecarState) -> None:
    """Hand over the key slots while this target drains, until cancelled."""
    while True:
        await trio.sleep(HANDOVER_INTERVAL_S)
        if state.admission.is_draining or state.owner.has_fenced_slots:
            await hand_over_all(state)


async def wait_handed_over(state: SidecarState) -> None:
    """Wait, up to a limit, until no slot is owned here or no successor is left."""
    with trio.move_on_after(HANDOVER_LIMIT_S):
        while state.owner.tenures and _slots_by_successor(state):
            await trio.sleep(POLL_INTERVAL_S)


async def hand_over_all(state: SidecarState) -> None:
    """
    Hand every slot to a successor; `run_handover` retries the slots that fail.

    No request runs in a fenced slot any more, even if the hand-over fails: the release
    may be in the log although the answer to the append was lost.
    """
    slots_by_successor = _slots_by_successor(state)
    for slots in slots_by_successor.values():
        state.owner.fence(slots)
    with trio.move_on_after(state.settings.stop.drain_limit_s):
        while state.owner.table.running_count():
            await trio.sleep(POLL_INTERVAL_S)
    for successor, slots in slots_by_successor.items():
        await _hand_over(state, successor, slots)


def _slots_by_successor(state: SidecarState) -> dict[TargetId, list[SlotNumber]]:
    """Return the slots owned here by the peer that shall take them over."""
    fold = state.config.fold
    eligible = [
        peer
        for peer in service_peers(state)
        if accepts_work(fold, state.membership, peer, now_s())
        and peer not in state.unanswered_since_s
    ]
    slots_by_successor: dict[TargetId, list[SlotNumber]] = defaultdict(list)
    for slot in sorted(state.owner.tenures):
        successor = rendezvous_leader(f"{state.owner.service}/{slot}", eligible)
        if successor is not None:
            slots_by_successor[TargetId(successor)].append(slot)
    return slots_by_successor


async def _hand_over(
    state: SidecarState, successor: TargetId, slots: list[SlotNumber]
) -> None:
    """Send `slots` to `successor`, then append their release to the log."""
    member = state.membership.find(InstanceId(successor))
    slots = [slot for slot in slots if slot in state.owner.tenures]
    epochs = {slot: state.owner.tenures[slot].epoch for slot in slots}
    transfer_id = str(uuid.uuid4())
    request = _make_request(state, transfer_id, slots)
    address = Address(member.host, member.grpc_port)
    call_result = await state.control_client.hand_over(
        address, request, HANDOVER_CALL_TIMEOUT_S
    )
    reply: HandOverReply | None = call_result.value_or(None)
    if reply is None or not reply.is_held:
        _logger.warning("hand-over of key slots failed", extra={"successor": successor})
        return
    release = SlotRelease(
        record_id=RecordId(transfer_id),
        service=state.owner.service,
        slots=tuple((slot, epochs[slot]) for slot in slots),
        target=successor,
        incarnation=Incarnation(reply.incarnation),
        transfer_id=transfer_id,
    )
    append_result = await state.log.append(encode_record(release))
    is_lost = isinstance(append_result, Failure)
    _logger.info(
        "key slots handed over",
        extra={"successor": successor, "slots": len(slots), "is_lost": is_lost},
    )


def _make_request(
    state: SidecarState, transfer_id: str, slots: list[SlotNumber]
) -> HandOverRequest:
    """Return the message that carries the slots and their idempotency entries."""
    transfer = state.owner.prepare_transfer(transfer_id, slots, now_s())
    return HandOverRequest(
        transfer_id=transfer_id,
        service=state.owner.service,
        tenures=[
            SlotTenure(
                slot=slot,
                active_wait_s=item.active_wait_s,
                dated_from_s=item.dated_from_s,
                undated_wait_s=item.undated_wait_s,
            )
            for slot, item in transfer.inheritances.items()
        ],
        records=[_encode_entry(entry) for entry in transfer.entries],
        refusals=[
            RefusalRecord(
                customer=refusal.key.customer,
                key=refusal.key.text,
                refused_wall_s=refusal.refused_wall_s,
            )
            for refusal in transfer.refusals
        ],
    )


def _encode_entry(entry: IdempotencyEntry) -> OnceRecord:
    """Return the message for one idempotency entry."""
    record = OnceRecord(
        customer=entry.key.customer,
        key=entry.key.text,
        body_digest=entry.body_digest,
        run_state=entry.state.value,
        has_answer=entry.answer is not None,
    )
    if entry.answer is not None:
        record.status = entry.answer.status
        record.content_type = entry.answer.content_type
        record.body = entry.answer.body
    return record


def _decode_entry(state: SidecarState, record: OnceRecord) -> IdempotencyEntry:
    """Return the idempotency entry that a message carries."""
    answer = None
    if record.has_answer:
        answer = StoredAnswer(record.status, record.content_type, record.body)
    key = _make_key(state, record.customer, record.key)
    return IdempotencyEntry(
        key, record.body_digest, RunState(record.run_state), now_s(), answer
    )


def _make_key(state: SidecarState, customer: str, text: str) -> IdempotencyKey:
    """Return an idempotency key of this sidecar's service."""
    return IdempotencyKey(CustomerId(customer), state.owner.service, text)


async def receive_hand_over(
    state: SidecarState, request: HandOverRequest
) -> HandOverReply:
    """Store a predecessor's slots until the log names this sidecar as their owner."""
    if state.owner is None or request.service != state.owner.service:
        reason = f"This sidecar does not serve {request.service!r}."
        return HandOverReply(is_held=False, reason=reason)
    if state.is_stopping or state.admission.is_draining:
        return HandOverReply(is_held=False, reason="This sidecar is draining.")
    transfer = Transfer(
        transfer_id=request.transfer_id,
        inheritances={
            SlotNumber(item.slot): Inheritance(
                item.active_wait_s, item.dated_from_s, item.undated_wait_s
            )
            for item in request.tenures
        },
        entries=tuple(_decode_entry(state, record) for record in request.records),
        received_at_s=now_s(),
        refusals=tuple(
            Refusal(
                _make_key(state, record.customer, record.key),
                record.refused_wall_s,
                now_s(),
            )
            for record in request.refusals
        ),
    )
    state.owner.receive_transfer(transfer)
    return HandOverReply(is_held=True, incarnation=state.owner.claimant.incarnation)
