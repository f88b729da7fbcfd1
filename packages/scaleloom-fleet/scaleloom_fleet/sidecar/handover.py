"""Hand-over of keys to a successor on a planned stop."""

import logging
import uuid
from collections import defaultdict

import trio
from returns.result import Failure

from scaleloom_core.ids import (
    CustomerId,
    Incarnation,
    InstanceId,
    RecordId,
    SlotNumber,
    TargetId,
)
from scaleloom_core.keys import OnceKey
from scaleloom_core.once import KeptAnswer, OnceEntry, RunState
from scaleloom_core.owner import Transfer
from scaleloom_core.ownership import Inheritance
from scaleloom_core.placement import leader
from scaleloom_core.pools import is_open
from scaleloom_core.records import SlotRelease, encode_record
from scaleloom_core.refusals import Refusal
from scaleloom_fleet.sidecar.sampling import service_peers
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

HAND_OVER_TIMEOUT_S = 5.0
RUN_POLL_S = 0.05
DEPARTURE_INTERVAL_S = 0.3
DEPARTURE_LIMIT_S = 15.0
_logger = logging.getLogger("scaleloom.handover")


async def run_departure(state: SidecarState) -> None:
    """Hand the keys over whenever this target is leaving, until cancelled."""
    while True:
        await trio.sleep(DEPARTURE_INTERVAL_S)
        if state.admission.is_leaving or state.owner.has_fenced:
            await hand_over_all(state)


async def wait_handed_over(state: SidecarState) -> None:
    """Return once nothing is owned here, or nobody can take it in time."""
    with trio.move_on_after(DEPARTURE_LIMIT_S):
        while state.owner.tenures and _by_successor(state):
            await trio.sleep(RUN_POLL_S)


async def hand_over_all(state: SidecarState) -> None:
    """
    Hand every slot to a successor; what fails is tried again.

    A slot once fenced runs nothing more here, whatever comes of it, since its
    release may be in the log although the append's answer was lost.
    """
    shares = _by_successor(state)
    for slots in shares.values():
        state.owner.fence(slots)
    with trio.move_on_after(state.settings.stop.drain_limit_s):
        while state.owner.table.running_count():
            await trio.sleep(RUN_POLL_S)
    for successor, slots in shares.items():
        await _hand_over(state, successor, slots)


def _by_successor(state: SidecarState) -> dict[TargetId, list[SlotNumber]]:
    """Return which of the open peers gets which of the slots owned here."""
    fold = state.config.fold
    eligible = [
        peer
        for peer in service_peers(state)
        if is_open(fold, state.membership, peer, now_s())
        and peer not in state.unanswered_since_s
    ]
    shares: dict[TargetId, list[SlotNumber]] = defaultdict(list)
    for slot in sorted(state.owner.tenures):
        successor = leader(f"{state.owner.service}/{slot}", eligible)
        if successor is not None:
            shares[TargetId(successor)].append(slot)
    return shares


async def _hand_over(
    state: SidecarState, successor: TargetId, slots: list[SlotNumber]
) -> None:
    """Hand `slots` to `successor`, then let the log name it."""
    member = state.membership.find(InstanceId(successor))
    slots = [slot for slot in slots if slot in state.owner.tenures]
    epochs = {slot: state.owner.tenures[slot].epoch for slot in slots}
    transfer_id = str(uuid.uuid4())
    request = _request(state, transfer_id, slots)
    address = Address(member.host, member.grpc_port)
    replied = await state.caller.hand_over(address, request, HAND_OVER_TIMEOUT_S)
    reply: HandOverReply | None = replied.value_or(None)
    if reply is None or not reply.is_held:
        _logger.warning("hand-over failed", extra={"successor": successor})
        return
    release = SlotRelease(
        record_id=RecordId(transfer_id),
        service=state.owner.service,
        slots=tuple((slot, epochs[slot]) for slot in slots),
        target=successor,
        incarnation=Incarnation(reply.incarnation),
        transfer_id=transfer_id,
    )
    appended = await state.log.append(encode_record(release))
    is_lost = isinstance(appended, Failure)
    _logger.info(
        "slots handed over",
        extra={"successor": successor, "slots": len(slots), "is_lost": is_lost},
    )


def _request(
    state: SidecarState, transfer_id: str, slots: list[SlotNumber]
) -> HandOverRequest:
    """Return the message that carries the slots and their keys."""
    transfer = state.owner.pass_on(transfer_id, slots, now_s())
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
        records=[_to_wire(entry) for entry in transfer.entries],
        refusals=[
            RefusalRecord(
                customer=refusal.key.customer,
                key=refusal.key.text,
                refused_wall_s=refusal.refused_wall_s,
            )
            for refusal in transfer.refusals
        ],
    )


def _to_wire(entry: OnceEntry) -> OnceRecord:
    """Return one entry as a message."""
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


def _from_wire(state: SidecarState, record: OnceRecord) -> OnceEntry:
    """Return one entry from a message."""
    answer = None
    if record.has_answer:
        answer = KeptAnswer(record.status, record.content_type, record.body)
    key = _key(state, record.customer, record.key)
    return OnceEntry(
        key, record.body_digest, RunState(record.run_state), now_s(), answer
    )


def _key(state: SidecarState, customer: str, text: str) -> OnceKey:
    """Return a key of this sidecar's service."""
    return OnceKey(CustomerId(customer), state.owner.service, text)


async def receive_hand_over(
    state: SidecarState, request: HandOverRequest
) -> HandOverReply:
    """Hold a predecessor's slots until the log names this sidecar."""
    if state.owner is None or request.service != state.owner.service:
        reason = f"No slots of {request.service!r} belong here."
        return HandOverReply(is_held=False, reason=reason)
    if state.is_stopping or state.admission.is_leaving:
        return HandOverReply(is_held=False, reason="This sidecar is leaving.")
    transfer = Transfer(
        transfer_id=request.transfer_id,
        inheritances={
            SlotNumber(item.slot): Inheritance(
                item.active_wait_s, item.dated_from_s, item.undated_wait_s
            )
            for item in request.tenures
        },
        entries=tuple(_from_wire(state, record) for record in request.records),
        received_at_s=now_s(),
        refusals=tuple(
            Refusal(
                _key(state, record.customer, record.key),
                record.refused_wall_s,
                now_s(),
            )
            for record in request.refusals
        ),
    )
    state.owner.receive(transfer)
    return HandOverReply(is_held=True, incarnation=state.owner.me.incarnation)
