"""Synchronisation with a router: configuration, lease and draining."""

import logging

import trio

from scaleloom_core.fold import GapError
from scaleloom_core.ids import InstanceId
from scaleloom_core.membership import Member, Role
from scaleloom_core.placement import rendezvous_leader
from scaleloom_fleet.control.config_store import from_wire
from scaleloom_fleet.sidecar.draining import start_draining
from scaleloom_fleet.sidecar.state import SidecarState
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s, wall_s
from scaleloom_wire.control_pb2 import Datagram, SyncReply, SyncRequest

SYNCS_PER_LEASE = 6
SYNC_TIMEOUT_S = 0.5
SYNC_ATTEMPTS = 3
ROUTER_UNREACHABLE_S = 5.0
FETCH_TIMEOUT_S = 2.0
MILLISECONDS_PER_S = 1000.0
_logger = logging.getLogger("scaleloom.sync")


async def run_sync(state: SidecarState) -> None:
    """Synchronise with a router periodically until cancelled."""
    while True:
        for _ in range(SYNC_ATTEMPTS):
            router = choose_router(state)
            if router is None or await _sync_with(state, router):
                break
        await trio.sleep(_interval_s(state))


def _interval_s(state: SidecarState) -> float:
    """Return the time between requests in seconds, short enough to keep the lease."""
    sync_s = state.settings.platform.sync_s
    if state.owner is None:
        return sync_s
    return min(sync_s, state.settings.lease.lease_s / SYNCS_PER_LEASE)


def choose_router(state: SidecarState) -> Member | None:
    """Return the router to query, preferably one in the same data centre."""
    usable = state.membership.usable_members(Role.ROUTER, now_s())
    own_data_centre = state.settings.instance.data_centre
    same_data_centre = [
        member for member in usable if member.data_centre == own_data_centre
    ]
    by_name = {member.instance: member for member in same_data_centre or usable}
    name = rendezvous_leader(state.name, list(by_name))
    return by_name.get(name)


async def _sync_with(state: SidecarState, router: Member) -> bool:
    """Synchronise with one router, and return whether the router answered."""
    sent_at_s = now_s()
    request = Datagram(sync_request=_make_request(state))
    address = Address(router.host, router.control_port)
    answer = await state.datagrams.request(address, request, SYNC_TIMEOUT_S)
    if answer is None:
        state.membership.mark_unreachable(
            InstanceId(router.instance), now_s(), ROUTER_UNREACHABLE_S
        )
        return False
    await _apply_reply(state, router, answer.sync_reply, sent_at_s)
    return True


def _make_request(state: SidecarState) -> SyncRequest:
    """Return the request, which reports the state of this sidecar."""
    return SyncRequest(
        version=state.config.fold.version,
        incarnation=state.owner.claimant.incarnation if state.owner else "",
        cached_chats=len(state.admission.known),
        load=state.admission.load,
        settled_token=state.settled_token,
        is_leaving=state.admission.is_draining,
    )


async def _apply_reply(
    state: SidecarState, router: Member, reply: SyncReply, sent_at_s: float
) -> None:
    """Apply the answer of a router."""
    try:
        state.config.apply(from_wire(reply.records))
    except GapError:
        _logger.info(
            "records missing in the answer of a router",
            extra={"router": router.instance},
        )
    is_behind = state.config.fold.version < reply.version
    if is_behind or not state.config.is_loaded:
        await _fetch_config(state, router)
    if state.owner is not None:
        _extend_lease(state, reply, sent_at_s)
    _update_draining(state, reply)


async def _fetch_config(state: SidecarState, router: Member) -> None:
    """Fetch the missing part of the configuration in one call."""
    address = Address(router.host, router.grpc_port)
    reply = await state.control_client.fetch(
        address, state.config.fold.version, FETCH_TIMEOUT_S
    )
    fetched = reply.value_or(None)
    if fetched is not None:
        state.config.apply_fetched(fetched)


def _extend_lease(state: SidecarState, reply: SyncReply, sent_at_s: float) -> None:
    """Extend the lease if this sidecar has read the log up to its tail."""
    update_slot_owners(state)
    if not reply.is_tail_known:
        return
    if state.config.fold.version < reply.tail_version:
        return
    reading_began_s = sent_at_s - reply.tail_age_ms / MILLISECONDS_PER_S
    state.owner.extend_lease(reading_began_s)


def update_slot_owners(state: SidecarState) -> None:
    """Pass the slot owners that the log names to the key owner."""
    owners = state.config.fold.slot_owners(state.owner.service)
    state.owner.apply_owners(owners, now_s(), wall_s())


def _update_draining(state: SidecarState, reply: SyncReply) -> None:
    """Start or stop draining according to the list and the configuration."""
    if reply.is_listed:
        state.was_listed = True
    target = state.config.fold.find_target(state.name)
    is_draining_in_config = target is not None and target.is_leaving
    is_removed_from_list = state.was_listed and not reply.is_listed
    if (
        state.is_stopping
        or is_draining_in_config
        or is_removed_from_list
        or reply.is_listed_leaving
    ):
        start_draining(state)
    else:
        state.admission.stop_draining()
