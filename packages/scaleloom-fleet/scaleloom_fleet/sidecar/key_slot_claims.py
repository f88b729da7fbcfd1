"""Claims of key slots that no live target owns."""

import logging
import random
import uuid

import trio

from scaleloom_core.fold import NO_EPOCH
from scaleloom_core.ids import InstanceId, RecordId, SlotNumber, TargetId
from scaleloom_core.membership import MemberState
from scaleloom_core.ownership import key_slots_to_claim
from scaleloom_core.records import SlotClaim, encode_record
from scaleloom_core.target_pools import accepts_work
from scaleloom_fleet.sidecar.load_sampling import service_peers
from scaleloom_fleet.sidecar.router_sync import update_slot_owners
from scaleloom_fleet.sidecar.state import SidecarState
from scaleloom_fleet.utils.clock import now_s

CLAIM_INTERVAL_S = 0.7
CLAIM_JITTER_S = 0.3
_logger = logging.getLogger("scaleloom.claims")


async def run_claims(state: SidecarState) -> None:
    """Claim key slots periodically until cancelled."""
    while True:
        await trio.sleep(CLAIM_INTERVAL_S + random.uniform(0, CLAIM_JITTER_S))
        if state.is_stopping or state.admission.is_draining:
            continue
        if not state.config.is_loaded or not state.owner.is_lease_held(now_s()):
            continue
        await _claim_slots(state)


async def run_owner_updates(state: SidecarState) -> None:
    """Apply every change of the slot owners in the log until cancelled."""
    while True:
        update_slot_owners(state)
        await state.config.wait_for_change()


async def _claim_slots(state: SidecarState) -> None:
    """Append one claim that names every slot that this sidecar should own."""
    fold = state.config.fold
    if (
        fold.find_target(state.name) is None
        or fold.find_service(state.owner.service) is None
    ):
        return
    owners = fold.slot_owners(state.owner.service)
    alive_peers = {peer for peer in service_peers(state) if _is_alive(state, peer)}
    eligible = [peer for peer in alive_peers if _is_eligible(state, peer)]
    slots = key_slots_to_claim(
        state.owner.service,
        owners,
        state.owner.claimant,
        alive_peers | {state.name},
        [*eligible, state.name],
    )
    if slots:
        await _append_claim(state, owners, slots)


def _is_alive(state: SidecarState, peer: TargetId) -> bool:
    """Return whether `peer` is alive and so retains its slots."""
    member_state = state.membership.get_state(InstanceId(peer), now_s())
    if member_state is MemberState.GONE:
        return False
    silent_since_s = state.unanswered_since_s.get(peer)
    if silent_since_s is None:
        return True
    return now_s() - silent_since_s < state.settings.lease.suspect_s


def _is_eligible(state: SidecarState, peer: TargetId) -> bool:
    """Return whether `peer` may claim more slots."""
    return accepts_work(state.config.fold, state.membership, peer, now_s())


async def _append_claim(
    state: SidecarState, owners: dict, slots: list[SlotNumber]
) -> None:
    """
    Append a claim to the log.

    The result of the append is only logged: if its answer is lost, the owners read
    from the log show whether the claim was accepted.
    """
    expected = tuple(
        (slot, owners[slot].epoch if slot in owners else NO_EPOCH) for slot in slots
    )
    claim = SlotClaim(
        record_id=RecordId(str(uuid.uuid4())),
        service=state.owner.service,
        slots=expected,
        target=state.name,
        incarnation=state.owner.claimant.incarnation,
    )
    appended = await state.log.append(encode_record(claim))
    _logger.info(
        "claim of key slots sent to the log",
        extra={"slot_count": len(slots), "offset": appended.value_or(None)},
    )
