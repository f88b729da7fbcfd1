"""News from a router: configuration, the log's tail, and one's own standing."""

import logging

import trio

from scaleloom_core.fold import GapError
from scaleloom_core.ids import InstanceId
from scaleloom_core.membership import Member, Role
from scaleloom_core.placement import leader
from scaleloom_fleet.control.config_store import from_wire
from scaleloom_fleet.sidecar.announcing import leave
from scaleloom_fleet.sidecar.state import SidecarState
from scaleloom_fleet.utils.addresses import Address
from scaleloom_fleet.utils.clock import now_s, wall_s
from scaleloom_wire.control_pb2 import Datagram, SyncReply, SyncRequest

SYNCS_PER_LEASE = 6
SYNC_TIMEOUT_S = 0.5
SYNC_TRIES = 3
ROUTER_SILENCE_S = 5.0
FETCH_TIMEOUT_S = 2.0
MILLISECONDS_PER_S = 1000.0
_logger = logging.getLogger("scaleloom.sync")


async def run_sync(state: SidecarState) -> None:
    """Ask a router for news until cancelled."""
    while True:
        for _ in range(SYNC_TRIES):
            router = choose_router(state)
            if router is None or await _sync_with(state, router):
                break
        await trio.sleep(_interval_s(state))


def _interval_s(state: SidecarState) -> float:
    """Return the time between questions, short enough to keep a lease."""
    sync_s = state.settings.platform.sync_s
    if state.owner is None:
        return sync_s
    return min(sync_s, state.settings.lease.lease_s / SYNCS_PER_LEASE)


def choose_router(state: SidecarState) -> Member | None:
    """Return the router to ask: one of the own data centre if there is any."""
    usable = state.membership.usable(Role.ROUTER, now_s())
    own = state.settings.instance.data_centre
    near = [member for member in usable if member.data_centre == own]
    by_name = {member.instance: member for member in near or usable}
    name = leader(state.name, list(by_name))
    return by_name.get(name)


async def _sync_with(state: SidecarState, router: Member) -> bool:
    """Exchange news with one router, and return whether it answered."""
    asked_at_s = now_s()
    question = Datagram(sync_request=_request(state))
    address = Address(router.host, router.control_port)
    answer = await state.datagrams.ask(address, question, SYNC_TIMEOUT_S)
    if answer is None:
        state.membership.note_silent(
            InstanceId(router.instance), now_s(), ROUTER_SILENCE_S
        )
        return False
    await _take(state, router, answer.sync_reply, asked_at_s)
    return True


def _request(state: SidecarState) -> SyncRequest:
    """Return the question that tells of this sidecar."""
    return SyncRequest(
        version=state.config.fold.version,
        incarnation=state.owner.me.incarnation if state.owner else "",
        cached_chats=len(state.admission.known),
        load=state.admission.load,
        settled_token=state.settled_token,
        is_leaving=state.admission.is_leaving,
    )


async def _take(
    state: SidecarState, router: Member, reply: SyncReply, asked_at_s: float
) -> None:
    """Take in a router's news."""
    try:
        state.config.apply(from_wire(reply.records))
    except GapError:
        _logger.info("records missing", extra={"router": router.instance})
    is_behind = state.config.fold.version < reply.version
    if is_behind or not state.config.is_loaded:
        await _fetch(state, router)
    if state.owner is not None:
        _confirm_lease(state, reply, asked_at_s)
    _note_standing(state, reply)


async def _fetch(state: SidecarState, router: Member) -> None:
    """Fetch what is missing in one call."""
    address = Address(router.host, router.grpc_port)
    reply = await state.caller.fetch(
        address, state.config.fold.version, FETCH_TIMEOUT_S
    )
    found = reply.value_or(None)
    if found is not None:
        state.config.take_fetched(found)


def _confirm_lease(state: SidecarState, reply: SyncReply, asked_at_s: float) -> None:
    """Extend the lease if this sidecar holds all that the log held."""
    observe_owners(state)
    if not reply.is_tail_known:
        return
    if state.config.fold.version < reply.tail_version:
        return
    reading_began_s = asked_at_s - reply.tail_age_ms / MILLISECONDS_PER_S
    state.owner.confirm(reading_began_s)


def observe_owners(state: SidecarState) -> None:
    """Tell the key owner whom the log names."""
    owners = state.config.fold.owners_of(state.owner.service)
    state.owner.observe(owners, now_s(), wall_s())


def _note_standing(state: SidecarState, reply: SyncReply) -> None:
    """Leave or stay, as the list and the configuration say."""
    if reply.is_listed:
        state.was_listed = True
    target = state.config.fold.target(state.name)
    is_told = target is not None and target.is_leaving
    has_vanished = state.was_listed and not reply.is_listed
    if state.is_stopping or is_told or has_vanished or reply.is_listed_leaving:
        leave(state)
    else:
        state.admission.stay()
